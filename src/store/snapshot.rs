//! Snapshots: a header with a checksum, a payload with another, and two generations of each file.

use super::Disk;
use std::fmt;
use std::io;

/// The first bytes of every file.
const MAGIC: [u8; 8] = *b"PETRELDK";
/// The version of the frame itself: header and checksums.
const FRAME: u16 = 1;
/// Length of a header, in bytes.
pub const HEADER: usize = 40;
/// No payload is longer: 4,096 hubs with long names fit four times.
pub const PAYLOAD_MOST: usize = 16 * 1024 * 1024;
/// So many files that could not be used are kept; the next takes the last one's place.
const ASIDE_MOST: usize = 8;

/// What a header tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// What the payload is of.
    pub kind: u16,
    /// The version of the payload's form.
    pub version: u16,
    /// Rises by one with each snapshot under a name.
    pub generation: u64,
}

/// Why bytes are no snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It ends before its header or payload does.
    Short,
    /// More follows than the header tells.
    Long,
    /// It does not begin as our files do.
    Foreign,
    /// Its frame is of a later version than this program knows.
    NewerFrame(u16),
    /// The header's checksum does not fit.
    Header,
    /// The payload's checksum does not fit.
    Payload,
    /// It is of another kind.
    Kind(u16),
    /// Its owner does not take the payload: why.
    Refused(String),
    /// It could not be read.
    Unread(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Short => write!(f, "it is cut short"),
            Fault::Long => write!(f, "more follows than its header tells"),
            Fault::Foreign => write!(f, "it is no file of petreldock"),
            Fault::NewerFrame(version) => write!(f, "its frame is of the later version {version}"),
            Fault::Header => write!(f, "its header's checksum does not fit"),
            Fault::Payload => write!(f, "its payload's checksum does not fit"),
            Fault::Kind(kind) => write!(f, "it is of another kind, {kind}"),
            Fault::Refused(why) => write!(f, "{why}"),
            Fault::Unread(why) => write!(f, "it cannot be read: {why}"),
        }
    }
}

/// Writes a file's bytes: header and payload.
pub fn encode(header: Header, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FRAME.to_be_bytes());
    bytes.extend_from_slice(&header.kind.to_be_bytes());
    bytes.extend_from_slice(&header.version.to_be_bytes());
    bytes.extend_from_slice(&[0; 2]);
    bytes.extend_from_slice(&header.generation.to_be_bytes());
    bytes.extend_from_slice(&(payload.len() as u64).to_be_bytes());
    bytes.extend_from_slice(&crc32c::crc32c(payload).to_be_bytes());
    let sum = crc32c::crc32c(&bytes);
    bytes.extend_from_slice(&sum.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads a file's bytes. Nothing that they claim is believed before its checksum fits.
pub fn read(bytes: &[u8]) -> Result<(Header, &[u8]), Fault> {
    let Some((header, payload)) = bytes.split_first_chunk::<HEADER>() else {
        return Err(if MAGIC.starts_with(bytes) || bytes.starts_with(&MAGIC) {
            Fault::Short
        } else {
            Fault::Foreign
        });
    };
    if !header.starts_with(&MAGIC) {
        return Err(Fault::Foreign);
    }
    let short = |at: usize| u16::from_be_bytes([header[at], header[at + 1]]);
    let long = |at: usize| header[at..at + 8].iter().fold(0, |n: u64, b| n << 8 | u64::from(*b));
    let word = |at: usize| header[at..at + 4].iter().fold(0, |n: u32, b| n << 8 | u32::from(*b));
    if crc32c::crc32c(&header[..HEADER - 4]) != word(HEADER - 4) {
        return Err(Fault::Header);
    }
    if short(8) != FRAME {
        return Err(Fault::NewerFrame(short(8)));
    }
    match (payload.len() as u64).cmp(&long(24)) {
        std::cmp::Ordering::Less => return Err(Fault::Short),
        std::cmp::Ordering::Greater => return Err(Fault::Long),
        std::cmp::Ordering::Equal => {}
    }
    if crc32c::crc32c(payload) != word(32) {
        return Err(Fault::Payload);
    }
    Ok((Header { kind: short(10), version: short(12), generation: long(16) }, payload))
}

/// A file that could not be used, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetAside {
    /// Its name.
    pub file: String,
    /// Why.
    pub fault: Fault,
    /// Its new name; `None`: it could not be renamed and stays.
    pub to: Option<String>,
}

/// What was found under a name.
#[derive(Debug)]
pub struct Loaded<T> {
    /// What its owner made of the payload, if any file was of use.
    pub found: Option<T>,
    /// The header of the one that was.
    pub header: Option<Header>,
    /// It is the generation before the last one.
    pub fallback: bool,
    /// Those that were not.
    pub aside: Vec<SetAside>,
}

/// The snapshots under one name, of one kind.
#[derive(Debug)]
pub struct Snapshots {
    name: &'static str,
    kind: u16,
    generation: u64,
    /// The current file is known to be whole. Danger: one that is not must never take the place of the
    /// generation before it, which may be the only good copy.
    sound: bool,
}

impl Snapshots {
    /// Snapshots under `name`, of a kind; nothing is read yet.
    pub fn new(name: &'static str, kind: u16) -> Snapshots {
        Snapshots { name, kind, generation: 0, sound: false }
    }

    /// The names of the current file and of the generation before it.
    pub fn files(&self) -> [String; 2] {
        [self.name.to_string(), format!("{}.prev", self.name)]
    }

    fn beside(&self) -> String {
        format!("{}.new", self.name)
    }

    /// Checks one file without changing anything; `None`: there is none.
    pub fn check<T>(
        &self,
        disk: &mut impl Disk,
        file: &str,
        accept: &mut impl FnMut(Header, &[u8]) -> Result<T, String>,
    ) -> Option<Result<(Header, T), Fault>> {
        let bytes = match disk.read(file, HEADER + PAYLOAD_MOST) {
            Ok(bytes) => bytes?,
            Err(error) => return Some(Err(Fault::Unread(error.to_string()))),
        };
        let (header, payload) = match read(&bytes) {
            Ok(read) => read,
            Err(fault) => return Some(Err(fault)),
        };
        if header.kind != self.kind {
            return Some(Err(Fault::Kind(header.kind)));
        }
        Some(accept(header, payload).map(|found| (header, found)).map_err(Fault::Refused))
    }

    /// Reads the latest snapshot that is whole and that `accept` takes. What cannot be used is set aside
    /// under another name and told; it never keeps anything from starting.
    pub fn load<T>(
        &mut self,
        disk: &mut impl Disk,
        mut accept: impl FnMut(Header, &[u8]) -> Result<T, String>,
    ) -> Loaded<T> {
        let mut loaded = Loaded { found: None, header: None, fallback: false, aside: Vec::new() };
        let _ = disk.remove(&self.beside());
        for (nth, file) in self.files().into_iter().enumerate() {
            match self.check(disk, &file, &mut accept) {
                None => {}
                Some(Ok((header, found))) => {
                    self.generation = header.generation;
                    self.sound = nth == 0;
                    (loaded.found, loaded.header, loaded.fallback) = (Some(found), Some(header), nth > 0);
                    break;
                }
                Some(Err(fault)) => {
                    let to = set_aside(disk, self.name, &file).ok();
                    loaded.aside.push(SetAside { file, fault, to });
                }
            }
        }
        loaded
    }

    /// Replaces the snapshot. On an error the last good one is still there, and the next call starts over
    /// with a file of its own.
    pub fn save(&mut self, disk: &mut impl Disk, version: u16, payload: &[u8]) -> io::Result<Header> {
        if payload.len() > PAYLOAD_MOST {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, format!("over {PAYLOAD_MOST} bytes")));
        }
        let header = Header { kind: self.kind, version, generation: self.generation + 1 };
        let [current, before] = self.files();
        disk.put(&self.beside(), &encode(header, payload))?;
        if self.sound {
            // Not sound again before the new one has its place: a retry must not move what is not there.
            self.sound = false;
            disk.rename(&current, &before)?;
        }
        disk.rename(&self.beside(), &current)?;
        (self.generation, self.sound) = (header.generation, true);
        disk.sync_folder()?;
        Ok(header)
    }

    /// Removes all generations, and what is left of one that was being written. What was set aside stays.
    pub fn forget(&mut self, disk: &mut impl Disk) -> io::Result<()> {
        let [current, before] = self.files();
        for name in [current, before, self.beside()] {
            disk.remove(&name)?;
        }
        (self.generation, self.sound) = (0, false);
        disk.sync_folder()
    }
}

/// Renames a file that cannot be used. The first few are kept for good, as they may be of use to a later
/// program or to whoever looks for the cause.
fn set_aside(disk: &mut impl Disk, name: &str, file: &str) -> io::Result<String> {
    let names = disk.names()?;
    let slot = |n: usize| format!("{name}.bad-{n}");
    let free = (1..ASIDE_MOST).map(slot).find(|s| !names.contains(s));
    let to = free.unwrap_or_else(|| slot(ASIDE_MOST));
    disk.rename(file, &to)?;
    disk.sync_folder()?;
    Ok(to)
}
