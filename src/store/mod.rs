//! Durable files in one folder, accessed through the small [`Disk`] trait: whole snapshots ([`Snapshots`]) and
//! an append-only [`Log`].
//!
//! A snapshot is written to a temporary file, synced, and renamed into place; the previous generation is kept
//! as a fallback. After a power loss at any point, either the previous or the new snapshot is found intact.
//! The content of a file is up to its owner: this module handles only bytes, kinds and versions.

mod folder;
mod log;
mod snapshot;

pub use folder::{Folder, OpenError, LOCK_FILE};
pub use log::{
    encode_record, next_record, Log, Record, RecordError, ReplayIssue, ReplaySummary, MAX_BATCH_BYTES,
    MAX_RECORD_BYTES, SEGMENT_ROTATION_BYTES,
};
pub use snapshot::{
    decode, encode, FileError, Header, Loaded, SetAsideFile, Snapshots, HEADER_BYTES, MAX_PAYLOAD_BYTES,
};

use std::io;

/// The storage under snapshots and logs: one folder with a flat set of file names. Tests implement it with a
/// simulated disk whose power fails.
///
/// Only [`Disk::put`], [`Disk::sync`] and [`Disk::sync_folder`] wait for the device.
pub trait Disk {
    /// Reads the whole file, or returns `None` if there is none.
    ///
    /// # Errors
    /// `InvalidData` if the file holds more than `max_bytes` bytes; otherwise the device's error.
    fn read(&mut self, name: &str, max_bytes: usize) -> io::Result<Option<Vec<u8>>>;

    /// Creates a file with these bytes and syncs it; an existing file of that name is removed first. After an
    /// error the content of the file is unknown: the file must be created anew, not synced again.
    fn put(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Appends bytes to an existing file. They are durable after the next [`Disk::sync`] of the file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the bytes appended to a file durable. After an error the content of the file is unknown, as with
    /// [`Disk::put`].
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file atomically, replacing any file of the new name. The change is durable after the next
    /// [`Disk::sync_folder`], and may be durable earlier.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; it is not an error if there is none.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes all renames and removals so far durable.
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Returns the names of all files.
    fn file_names(&mut self) -> io::Result<Vec<String>>;
}
