//! Snapshots: files with a checksummed header and a checksummed payload, kept in two generations.
//!
//! The header has 40 bytes, its integers in big-endian order: the magic `PETRELDK` (bytes 0 to 7), the format
//! version (8), kind (10), payload version (12), two zero bytes (14), generation (16), payload length (24),
//! CRC-32C of the payload (32), and CRC-32C of the header up to here (36). The payload follows.

use super::Disk;
use std::fmt;
use std::io;

/// First bytes of every file.
const MAGIC: [u8; 8] = *b"PETRELDK";
/// Version of the file format: the layout of the header and its checksums.
const FORMAT_VERSION: u16 = 1;
/// Length of a header, in bytes.
pub const HEADER_BYTES: usize = 40;
/// Maximum length of a payload, in bytes: four times what 4,096 hubs with long names take.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of set-aside files under a name; any further file replaces the last of them.
const MAX_SET_ASIDE_FILES: usize = 8;

/// The header fields that a file's owner sets or sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Kind of data in the payload.
    pub kind: u16,
    /// Version of the payload's encoding.
    pub version: u16,
    /// Increases by one with each snapshot under a name.
    pub generation: u64,
}

/// Why a file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileError {
    /// The file ends within its header or payload.
    Truncated,
    /// Bytes follow the payload.
    TrailingBytes,
    /// The file does not begin with the magic.
    BadMagic,
    /// This program does not know the file's format version, given here.
    FormatVersion(u16),
    /// The header's checksum does not match.
    HeaderChecksum,
    /// The payload's checksum does not match.
    PayloadChecksum,
    /// The file is of another kind, given here.
    WrongKind(u16),
    /// The owner rejected the payload, for the reason given here.
    Rejected(String),
    /// The file could not be read, because of the error given here.
    Unreadable(String),
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::Truncated => write!(f, "it is cut short"),
            FileError::TrailingBytes => write!(f, "it is longer than its header states"),
            FileError::BadMagic => write!(f, "it is not a petreldock file"),
            FileError::FormatVersion(version) => write!(f, "its format is of the later version {version}"),
            FileError::HeaderChecksum => write!(f, "its header's checksum does not match"),
            FileError::PayloadChecksum => write!(f, "its payload's checksum does not match"),
            FileError::WrongKind(kind) => write!(f, "it is of another kind, {kind}"),
            FileError::Rejected(reason) => write!(f, "{reason}"),
            FileError::Unreadable(error) => write!(f, "it cannot be read: {error}"),
        }
    }
}

/// Encodes a file: header and payload.
pub fn encode(header: Header, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_be_bytes());
    bytes.extend_from_slice(&header.kind.to_be_bytes());
    bytes.extend_from_slice(&header.version.to_be_bytes());
    bytes.extend_from_slice(&[0; 2]);
    bytes.extend_from_slice(&header.generation.to_be_bytes());
    bytes.extend_from_slice(&(payload.len() as u64).to_be_bytes());
    bytes.extend_from_slice(&crc32c::crc32c(payload).to_be_bytes());
    let checksum = crc32c::crc32c(&bytes);
    bytes.extend_from_slice(&checksum.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Decodes a file. No field is used before the checksum that covers it was verified.
///
/// # Errors
/// The bytes are truncated, too long, corrupt, of another format, or of another version of the format.
pub fn decode(bytes: &[u8]) -> Result<(Header, &[u8]), FileError> {
    let Some((header, payload)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        return Err(if MAGIC.starts_with(bytes) || bytes.starts_with(&MAGIC) {
            FileError::Truncated
        } else {
            FileError::BadMagic
        });
    };
    if !header.starts_with(&MAGIC) {
        return Err(FileError::BadMagic);
    }
    let u16_at = |at: usize| u16::from_be_bytes([header[at], header[at + 1]]);
    let u64_at = |at: usize| header[at..at + 8].iter().fold(0, |n: u64, b| n << 8 | u64::from(*b));
    let u32_at = |at: usize| header[at..at + 4].iter().fold(0, |n: u32, b| n << 8 | u32::from(*b));
    if crc32c::crc32c(&header[..HEADER_BYTES - 4]) != u32_at(HEADER_BYTES - 4) {
        return Err(FileError::HeaderChecksum);
    }
    if u16_at(8) != FORMAT_VERSION {
        return Err(FileError::FormatVersion(u16_at(8)));
    }
    match (payload.len() as u64).cmp(&u64_at(24)) {
        std::cmp::Ordering::Less => return Err(FileError::Truncated),
        std::cmp::Ordering::Greater => return Err(FileError::TrailingBytes),
        std::cmp::Ordering::Equal => {}
    }
    if crc32c::crc32c(payload) != u32_at(32) {
        return Err(FileError::PayloadChecksum);
    }
    Ok((Header { kind: u16_at(10), version: u16_at(12), generation: u64_at(16) }, payload))
}

/// A file that could not be used and was set aside under another name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetAsideFile {
    /// Original name of the file.
    pub file: String,
    /// Why it could not be used.
    pub error: FileError,
    /// New name of the file, or `None` if it could not be renamed.
    pub renamed_to: Option<String>,
}

/// Result of loading a snapshot.
#[derive(Debug)]
pub struct Loaded<T> {
    /// The decoded payload, if any file could be used.
    pub value: Option<T>,
    /// Header of the file that was used.
    pub header: Option<Header>,
    /// Whether the previous generation was used instead of the current one.
    pub fallback: bool,
    /// The files that could not be used.
    pub set_aside: Vec<SetAsideFile>,
}

/// The snapshots of one kind under one name.
#[derive(Debug)]
pub struct Snapshots {
    name: &'static str,
    kind: u16,
    generation: u64,
    /// Whether the current file is known to be intact. Otherwise it must not replace the previous generation,
    /// which may be the only good copy.
    current_is_intact: bool,
}

impl Snapshots {
    /// Creates the snapshots of a kind under `name`, without reading any file.
    pub fn new(name: &'static str, kind: u16) -> Snapshots {
        Snapshots { name, kind, generation: 0, current_is_intact: false }
    }

    /// Returns the names of the current file and of the previous generation.
    pub fn files(&self) -> [String; 2] {
        [self.name.to_string(), format!("{}.prev", self.name)]
    }

    fn temporary_file(&self) -> String {
        format!("{}.new", self.name)
    }

    /// Reads and checks one file without changing anything; `None` if there is none.
    pub fn check<T>(
        &self,
        disk: &mut impl Disk,
        file: &str,
        accept: &mut impl FnMut(Header, &[u8]) -> Result<T, String>,
    ) -> Option<Result<(Header, T), FileError>> {
        let bytes = match disk.read(file, HEADER_BYTES + MAX_PAYLOAD_BYTES) {
            Ok(bytes) => bytes?,
            Err(error) => return Some(Err(FileError::Unreadable(error.to_string()))),
        };
        let (header, payload) = match decode(&bytes) {
            Ok(decoded) => decoded,
            Err(error) => return Some(Err(error)),
        };
        if header.kind != self.kind {
            return Some(Err(FileError::WrongKind(header.kind)));
        }
        Some(accept(header, payload).map(|value| (header, value)).map_err(FileError::Rejected))
    }

    /// Loads the latest snapshot that is intact and that `accept` can decode. Files that cannot be used are renamed
    /// and reported in the result; they never prevent a start.
    pub fn load<T>(
        &mut self,
        disk: &mut impl Disk,
        mut accept: impl FnMut(Header, &[u8]) -> Result<T, String>,
    ) -> Loaded<T> {
        let mut loaded = Loaded { value: None, header: None, fallback: false, set_aside: Vec::new() };
        let _ = disk.remove(&self.temporary_file());
        for (index, file) in self.files().into_iter().enumerate() {
            match self.check(disk, &file, &mut accept) {
                None => {}
                Some(Ok((header, value))) => {
                    self.generation = header.generation;
                    self.current_is_intact = index == 0;
                    (loaded.value, loaded.header, loaded.fallback) = (Some(value), Some(header), index > 0);
                    break;
                }
                Some(Err(error)) => {
                    let renamed_to = set_aside(disk, self.name, &file).ok();
                    loaded.set_aside.push(SetAsideFile { file, error, renamed_to });
                }
            }
        }
        loaded
    }

    /// Replaces the snapshot. After an error the last intact snapshot is still there, and the next call writes a
    /// new temporary file.
    ///
    /// # Errors
    /// `InvalidInput` if the payload is too long; otherwise the device's error.
    pub fn save(&mut self, disk: &mut impl Disk, version: u16, payload: &[u8]) -> io::Result<Header> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("payload exceeds {MAX_PAYLOAD_BYTES} bytes"),
            ));
        }
        let header = Header { kind: self.kind, version, generation: self.generation + 1 };
        let [current, previous] = self.files();
        disk.put(&self.temporary_file(), &encode(header, payload))?;
        if self.current_is_intact {
            // Cleared until the new file is in place: a retry must not rename a current file that is gone.
            self.current_is_intact = false;
            disk.rename(&current, &previous)?;
        }
        disk.rename(&self.temporary_file(), &current)?;
        (self.generation, self.current_is_intact) = (header.generation, true);
        disk.sync_folder()?;
        Ok(header)
    }

    /// Removes both generations and the temporary file. Files that were set aside stay.
    pub fn remove_all(&mut self, disk: &mut impl Disk) -> io::Result<()> {
        let [current, previous] = self.files();
        for name in [current, previous, self.temporary_file()] {
            disk.remove(&name)?;
        }
        (self.generation, self.current_is_intact) = (0, false);
        disk.sync_folder()
    }
}

/// Renames a file that cannot be used and returns its new name. The first few such files are never replaced, as a
/// later version of the program may be able to read them and they help to find the cause.
fn set_aside(disk: &mut impl Disk, name: &str, file: &str) -> io::Result<String> {
    let names = disk.file_names()?;
    let numbered = |n: usize| format!("{name}.bad-{n}");
    let free = (1..MAX_SET_ASIDE_FILES).map(numbered).find(|name| !names.contains(name));
    let to = free.unwrap_or_else(|| numbered(MAX_SET_ASIDE_FILES));
    disk.rename(file, &to)?;
    disk.sync_folder()?;
    Ok(to)
}
