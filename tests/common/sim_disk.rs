//! A simulated disk: at a power loss, unsynced changes may be lost, persisted out of order or torn.
#![allow(dead_code)]

use petreldock::store::Disk;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::io;

/// Unsynced bytes are damaged in units of this many bytes.
const SECTOR_BYTES: usize = 16;

/// A change of the directory.
#[derive(Clone)]
enum NameChange {
    Link(String, usize),
    Unlink(String),
    Rename(String, String),
}

#[derive(Clone, Default)]
struct File {
    bytes: Vec<u8>,
    /// Number of leading bytes that survive a power loss.
    synced_bytes: usize,
}

/// The disk. Every operation consists of counted steps, and the power can be lost before any of them.
#[derive(Clone, Default)]
pub struct SimDisk {
    files: Vec<File>,
    /// Index of the file under each name, as the program sees it.
    names: BTreeMap<String, usize>,
    /// The names that survive a power loss.
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the folder was last synced.
    unsynced_changes: Vec<NameChange>,
    /// Number of steps so far.
    pub steps: usize,
    /// The power is lost before this step; every later step fails.
    pub power_loss_at: Option<usize>,
    /// Greatest size of a file; a write beyond it fails as on a full disk.
    pub max_file_bytes: Option<usize>,
    /// Syncs of files fail, and their content is unknown afterwards.
    pub failing_syncs: bool,
    /// Changes fail as on a read-only file system.
    pub read_only: bool,
}

fn apply(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Link(name, file) => drop(names.insert(name.clone(), *file)),
        NameChange::Unlink(name) => drop(names.remove(name)),
        NameChange::Rename(from, to) => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
    }
}

impl SimDisk {
    /// Returns the disk with a power loss before the step `at`.
    pub fn with_power_loss_at(mut self, at: usize) -> SimDisk {
        self.power_loss_at = Some(at);
        self
    }

    fn step(&mut self) -> io::Result<()> {
        if self.power_loss_at.is_some_and(|at| self.steps >= at) {
            return Err(io::Error::other("power lost"));
        }
        self.steps += 1;
        Ok(())
    }

    fn change(&mut self, change: NameChange) -> io::Result<()> {
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        self.step()?;
        apply(&mut self.names, &change);
        self.unsynced_changes.push(change);
        Ok(())
    }

    /// Appends bytes to a file; every sector is a step of its own.
    fn write(&mut self, file: usize, bytes: &[u8]) -> io::Result<()> {
        for sector in bytes.chunks(SECTOR_BYTES) {
            self.step()?;
            if self.read_only {
                return Err(io::ErrorKind::ReadOnlyFilesystem.into());
            }
            if self.max_file_bytes.is_some_and(|limit| self.files[file].bytes.len() + sector.len() > limit) {
                return Err(io::ErrorKind::StorageFull.into());
            }
            self.files[file].bytes.extend_from_slice(sector);
        }
        Ok(())
    }

    fn sync_file(&mut self, file: usize) -> io::Result<()> {
        self.step()?;
        if self.failing_syncs {
            return Err(io::Error::other("simulated sync failure"));
        }
        self.files[file].synced_bytes = self.files[file].bytes.len();
        Ok(())
    }

    /// Returns the disk as found after a power loss: with some of the unsynced changes of names, and with files whose
    /// unsynced part is shortened or damaged.
    pub fn after_power_loss(&self, seed: u64) -> SimDisk {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut disk = SimDisk { files: self.files.clone(), ..SimDisk::default() };
        disk.names = self.durable_names.clone();
        let applied_count = rng.next_u32() as usize % (self.unsynced_changes.len() + 1);
        for (nth, change) in self.unsynced_changes.iter().enumerate() {
            // For even seeds a prefix of the changes persists, for odd seeds any subset of them.
            let is_kept = if seed & 1 == 0 { nth < applied_count } else { rng.next_u32() & 1 == 0 };
            if is_kept {
                apply(&mut disk.names, change);
            }
        }
        for file in disk.files.iter_mut().filter(|f| f.synced_bytes < f.bytes.len()) {
            let kept_bytes = rng.next_u32() as usize % (file.bytes.len() - file.synced_bytes + 1);
            file.bytes.truncate(file.synced_bytes + kept_bytes);
            for sector in file.bytes[file.synced_bytes..].chunks_mut(SECTOR_BYTES) {
                match rng.next_u32() % 4 {
                    0 => sector.fill(0),
                    1 => sector.iter_mut().for_each(|b| *b = rng.next_u32() as u8),
                    _ => {}
                }
            }
        }
        disk.files.iter_mut().for_each(|f| f.synced_bytes = f.bytes.len());
        disk.durable_names = disk.names.clone();
        disk
    }

    /// Alters the bytes of a file, as a failing medium does.
    pub fn damage(&mut self, name: &str, damage: impl FnOnce(&mut Vec<u8>)) {
        let file = self.names[name];
        damage(&mut self.files[file].bytes);
    }

    /// Adds a file that is already synced.
    pub fn add_synced_file(&mut self, name: &str, bytes: &[u8]) {
        self.files.push(File { bytes: bytes.into(), synced_bytes: bytes.len() });
        self.names.insert(name.into(), self.files.len() - 1);
        self.durable_names = self.names.clone();
    }
}

impl Disk for SimDisk {
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        match self.names.get(name).map(|f| &self.files[*f].bytes) {
            Some(bytes) if bytes.len() > max_bytes => Err(io::ErrorKind::InvalidData.into()),
            bytes => Ok(bytes.cloned()),
        }
    }

    fn put(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.remove(name)?;
        self.files.push(File::default());
        let file = self.files.len() - 1;
        self.change(NameChange::Link(name.into(), file))?;
        self.write(file, bytes)?;
        self.sync_file(file)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let file = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.write(file, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let file = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.sync_file(file)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if !self.names.contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.change(NameChange::Rename(from.into(), to.into()))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match self.names.contains_key(name) {
            true => self.change(NameChange::Unlink(name.into())),
            false => Ok(()),
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.durable_names = self.names.clone();
        self.unsynced_changes.clear();
        Ok(())
    }

    fn file_names(&mut self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }
}
