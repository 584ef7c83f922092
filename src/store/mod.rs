//! Durable files in one folder, over a small [`Disk`]: whole snapshots, and an append-only [`Log`].
//!
//! A snapshot is written whole beside the current one, synced, and renamed into its place; the one before
//! is kept as a fall-back. At whatever point the power goes, the previous or the new one is found, whole.
//! What is kept in a file is its owner's matter: this room knows bytes, kinds and versions. The form is
//! described byte by byte in `docs/FORMAT.md`.

mod folder;
mod log;
mod snapshot;

pub use folder::{Folder, OpenError, LOCK};
pub use log::{
    frame, next_record, BadRecord, Finding, Log, Record, Replayed, BATCH_MOST, RECORD_MOST, SEGMENT_FULL,
};
pub use snapshot::{encode, read, Fault, Header, Loaded, SetAside, Snapshots, HEADER, PAYLOAD_MOST};

use std::io;

/// What files are kept on: one folder with flat names. Tests put a simulated one here and cut its power.
///
/// Nothing but [`Disk::put`], [`Disk::sync`] and [`Disk::sync_folder`] waits for the device.
pub trait Disk {
    /// The whole file, or `None` if there is none.
    ///
    /// # Errors
    /// `InvalidData` where it holds more than `most` bytes, which are not read; else the device's error.
    fn read(&mut self, name: &str, most: usize) -> io::Result<Option<Vec<u8>>>;

    /// Makes a new file with these bytes and syncs it; what had the name is removed first. An error is
    /// final for that file: what it holds is not known, and it is not synced again but made anew.
    fn put(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Adds bytes at the end of a file that is there. They last from the next [`Disk::sync`] of it on.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes what was appended to a file last. An error is final for that file, as with [`Disk::put`].
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Gives a file another name, in one step; what had that name is gone. It lasts from the next
    /// [`Disk::sync_folder`] on, and may last earlier.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; one that is not there is none the worse.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes all renames and removals so far last.
    fn sync_folder(&mut self) -> io::Result<()>;

    /// The names of all files.
    fn names(&mut self) -> io::Result<Vec<String>>;
}
