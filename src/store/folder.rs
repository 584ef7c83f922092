//! The [`Disk`] on a real file system: a folder that one process uses at a time and only its owner can read.

use super::Disk;
use std::fmt;
use std::fs::{self, DirBuilder, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

/// Name of the file that a process locks while it uses the folder.
pub const LOCK_FILE: &str = "lock";
const FOLDER_MODE: u32 = 0o700;
const FILE_MODE: u32 = 0o600;

/// Error of opening a folder.
#[derive(Debug)]
pub enum OpenError {
    /// Another process uses the folder.
    InUse,
    /// The folder cannot be created, read or locked.
    Io(io::Error),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::InUse => write!(f, "in use by another process"),
            OpenError::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for OpenError {}

impl From<io::Error> for OpenError {
    fn from(error: io::Error) -> OpenError {
        OpenError::Io(error)
    }
}

/// A folder on a real disk.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The locked file, if the folder was opened for writing. The system releases the lock when the process ends,
    /// however it ends.
    _lock: Option<File>,
    /// Name and handle of the file last appended to.
    append_file: Option<(String, File)>,
}

impl Folder {
    /// Creates the folder if it does not exist, and locks it for this process.
    ///
    /// # Errors
    /// [`OpenError::InUse`] if another process holds the lock.
    pub fn open(path: &Path) -> Result<Folder, OpenError> {
        DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(path)?;
        // An existing folder may be accessible to other users, and the stored files name hubs and their addresses.
        // Access is restricted only if the folder is empty or was used before: others may need access to a folder
        // with other files in it.
        if path.join(LOCK_FILE).exists() || fs::read_dir(path)?.next().is_none() {
            fs::set_permissions(path, fs::Permissions::from_mode(FOLDER_MODE))?;
        }
        let mut options = OpenOptions::new();
        let lock =
            options.write(true).create(true).truncate(false).mode(FILE_MODE).open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.into(), _lock: Some(lock), append_file: None }),
            Err(TryLockError::WouldBlock) => Err(OpenError::InUse),
            Err(TryLockError::Error(error)) => Err(OpenError::Io(error)),
        }
    }

    /// Opens a folder without locking it, as another process may be using it. Must not be used for writing.
    pub fn open_read_only(path: &Path) -> io::Result<Folder> {
        fs::read_dir(path)?;
        Ok(Folder { path: path.into(), _lock: None, append_file: None })
    }
}

impl Folder {
    /// Returns the handle to append to a file. A sync reports only the errors that occurred since its handle was
    /// opened, so the same handle must be used from an append to its sync.
    fn append_file(&mut self, name: &str) -> io::Result<&mut File> {
        let open = self.append_file.take().filter(|(open, _)| open == name);
        let open = match open {
            Some(open) => open,
            None => (name.into(), OpenOptions::new().append(true).open(self.path.join(name))?),
        };
        Ok(&mut self.append_file.insert(open).1)
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.path.join(name)) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut bytes = Vec::new();
        file.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
        if bytes.len() > max_bytes {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("file exceeds {max_bytes} bytes"),
            ));
        }
        Ok(Some(bytes))
    }

    fn put(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.remove(name)?;
        let mut options = OpenOptions::new();
        let mut file = options.write(true).create_new(true).mode(FILE_MODE).open(self.path.join(name))?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.append_file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.append_file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.append_file.take_if(|(open, _)| open == name);
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn file_names(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }
}
