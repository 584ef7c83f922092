//! The real [`Disk`]: a folder of one process, readable by its owner alone.

use super::Disk;
use std::fmt;
use std::fs::{self, DirBuilder, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

/// The file whose lock says that a process has the folder.
pub const LOCK: &str = "lock";
const FOLDER_MODE: u32 = 0o700;
const FILE_MODE: u32 = 0o600;

/// Why a folder could not be had.
#[derive(Debug)]
pub enum OpenError {
    /// Another process has it.
    InUse,
    /// It cannot be made, read or locked.
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
    /// Held for as long as this lives; the system lets it go when the process ends, however it ends.
    _lock: Option<File>,
    /// The file that was appended to last.
    appending: Option<(String, File)>,
}

impl Folder {
    /// Makes the folder if it is not there, and takes it for this process alone.
    pub fn open(path: &Path) -> Result<Folder, OpenError> {
        DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(path)?;
        // One that was there may be open to others, and what is kept names hubs and their addresses. Danger: one
        // with other files in it is not ours to close to those who use it.
        if path.join(LOCK).exists() || fs::read_dir(path)?.next().is_none() {
            fs::set_permissions(path, fs::Permissions::from_mode(FOLDER_MODE))?;
        }
        let mut options = OpenOptions::new();
        let lock = options.write(true).create(true).truncate(false).mode(FILE_MODE).open(path.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.into(), _lock: Some(lock), appending: None }),
            Err(TryLockError::WouldBlock) => Err(OpenError::InUse),
            Err(TryLockError::Error(error)) => Err(OpenError::Io(error)),
        }
    }

    /// Looks into a folder that another process may have. Nothing is to be written through it.
    pub fn look(path: &Path) -> io::Result<Folder> {
        fs::read_dir(path)?;
        Ok(Folder { path: path.into(), _lock: None, appending: None })
    }
}

impl Folder {
    /// The file to append to. Danger: a sync reports only errors since its file was opened, so that the same one
    /// must stay open from the append to its sync.
    fn appending(&mut self, name: &str) -> io::Result<&mut File> {
        let held = self.appending.take().filter(|(held, _)| held == name);
        let held = match held {
            Some(held) => held,
            None => (name.into(), OpenOptions::new().append(true).open(self.path.join(name))?),
        };
        Ok(&mut self.appending.insert(held).1)
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str, most: usize) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.path.join(name)) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut bytes = Vec::new();
        file.take(most as u64 + 1).read_to_end(&mut bytes)?;
        if bytes.len() > most {
            return Err(io::Error::new(io::ErrorKind::InvalidData, format!("longer than {most} bytes")));
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
        self.appending(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.appending(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.appending.take_if(|(held, _)| held == name);
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            done => done,
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn names(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }
}
