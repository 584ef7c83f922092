//! A simulated disk: what was not synced may be lost, kept out of order or torn when its power goes.
#![allow(dead_code)]

use petreldock::store::Disk;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::io;

/// What is lost at once, where a file was not synced.
const SECTOR: usize = 16;

#[derive(Clone)]
enum Change {
    Link(String, usize),
    Unlink(String),
    Rename(String, String),
}

#[derive(Clone, Default)]
struct File {
    bytes: Vec<u8>,
    /// So many of them are known to last.
    synced: usize,
}

/// The disk. Each step of an operation counts, and the power can go after any.
#[derive(Clone, Default)]
pub struct SimDisk {
    files: Vec<File>,
    /// Names as they are seen, and as they are known to last.
    names: BTreeMap<String, usize>,
    lasting: BTreeMap<String, usize>,
    /// Changes of names since the folder was synced.
    changes: Vec<Change>,
    pub steps: usize,
    /// The power goes before this step.
    pub cut_at: Option<usize>,
    /// So much room is left, in bytes.
    pub room: Option<usize>,
    /// Syncs of files fail, and what they held is not known.
    pub failing_syncs: bool,
    pub read_only: bool,
}

fn apply(names: &mut BTreeMap<String, usize>, change: &Change) {
    match change {
        Change::Link(name, file) => drop(names.insert(name.clone(), *file)),
        Change::Unlink(name) => drop(names.remove(name)),
        Change::Rename(from, to) => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
    }
}

impl SimDisk {
    /// The same disk, whose power goes before a step.
    pub fn cut(mut self, at: usize) -> SimDisk {
        self.cut_at = Some(at);
        self
    }

    fn step(&mut self) -> io::Result<()> {
        if self.cut_at.is_some_and(|at| self.steps >= at) {
            return Err(io::Error::other("no power"));
        }
        self.steps += 1;
        Ok(())
    }

    fn change(&mut self, change: Change) -> io::Result<()> {
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        self.step()?;
        apply(&mut self.names, &change);
        self.changes.push(change);
        Ok(())
    }

    /// Each sector that is written is a step of its own.
    fn write(&mut self, file: usize, bytes: &[u8]) -> io::Result<()> {
        for sector in bytes.chunks(SECTOR) {
            self.step()?;
            if self.read_only {
                return Err(io::ErrorKind::ReadOnlyFilesystem.into());
            }
            if self.room.is_some_and(|room| self.files[file].bytes.len() + sector.len() > room) {
                return Err(io::ErrorKind::StorageFull.into());
            }
            self.files[file].bytes.extend_from_slice(sector);
        }
        Ok(())
    }

    fn settle(&mut self, file: usize) -> io::Result<()> {
        self.step()?;
        if self.failing_syncs {
            return Err(io::Error::other("a failing device"));
        }
        self.files[file].synced = self.files[file].bytes.len();
        Ok(())
    }

    /// What is found after the power went: any part of the un-synced changes, and torn un-synced files.
    pub fn after_power_loss(&self, seed: u64) -> SimDisk {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut disk = SimDisk { files: self.files.clone(), ..SimDisk::default() };
        disk.names = self.lasting.clone();
        let most = rng.next_u32() as usize % (self.changes.len() + 1);
        for (nth, change) in self.changes.iter().enumerate() {
            // In order up to a point, or any of them.
            let kept = if seed & 1 == 0 { nth < most } else { rng.next_u32() & 1 == 0 };
            if kept {
                apply(&mut disk.names, change);
            }
        }
        for file in disk.files.iter_mut().filter(|f| f.synced < f.bytes.len()) {
            let kept = rng.next_u32() as usize % (file.bytes.len() - file.synced + 1);
            file.bytes.truncate(file.synced + kept);
            for sector in file.bytes[file.synced..].chunks_mut(SECTOR) {
                match rng.next_u32() % 4 {
                    0 => sector.fill(0),
                    1 => sector.iter_mut().for_each(|b| *b = rng.next_u32() as u8),
                    _ => {}
                }
            }
        }
        disk.files.iter_mut().for_each(|f| f.synced = f.bytes.len());
        disk.lasting = disk.names.clone();
        disk
    }

    /// Changes a file's bytes, as a failing medium does.
    pub fn damage(&mut self, name: &str, damage: impl FnOnce(&mut Vec<u8>)) {
        let file = self.names[name];
        damage(&mut self.files[file].bytes);
    }

    /// Lays a file down, synced.
    pub fn lay(&mut self, name: &str, bytes: &[u8]) {
        self.files.push(File { bytes: bytes.into(), synced: bytes.len() });
        self.names.insert(name.into(), self.files.len() - 1);
        self.lasting = self.names.clone();
    }
}

impl Disk for SimDisk {
    fn read(&mut self, name: &str, most: usize) -> io::Result<Option<Vec<u8>>> {
        match self.names.get(name).map(|f| &self.files[*f].bytes) {
            Some(bytes) if bytes.len() > most => Err(io::ErrorKind::InvalidData.into()),
            bytes => Ok(bytes.cloned()),
        }
    }

    fn put(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.remove(name)?;
        self.files.push(File::default());
        let file = self.files.len() - 1;
        self.change(Change::Link(name.into(), file))?;
        self.write(file, bytes)?;
        self.settle(file)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let file = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.write(file, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let file = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.settle(file)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if !self.names.contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.change(Change::Rename(from.into(), to.into()))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match self.names.contains_key(name) {
            true => self.change(Change::Unlink(name.into())),
            false => Ok(()),
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.lasting = self.names.clone();
        self.changes.clear();
        Ok(())
    }

    fn file_names(&mut self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }
}
