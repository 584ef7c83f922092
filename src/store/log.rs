//! An append-only log in segments, whose records are durable from the sync that covers them.
//!
//! Sequence numbers of records have no gaps. A batch of records is appended and synced once (group commit). A
//! segment whose append or sync failed, and the last segment found at a start, are never written to again: the
//! next batch begins a new segment, whose header gives the sequence of its first record. Records from that
//! sequence on in an older segment were never committed, and records missing before it were lost, which
//! distinguishes damage from a torn tail. Checkpoints bound the log: once one is durable,
//! [`Log::remove_covered_segments`] removes the segments that it covers.
//!
//! A segment begins with a snapshot header whose payload is the sequence of its first record. Each record has
//! its length (4 bytes), its sequence (8 bytes), a CRC-32C of length, sequence and payload (4 bytes), and the
//! payload. Integers are in big-endian order.

use super::snapshot::{decode, encode, FileError, Header, HEADER_BYTES};
use super::Disk;
use std::io;

/// Maximum length of a record's payload, in bytes.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;
/// Length, in bytes, from which a segment is full: a checkpoint is due and the next batch begins a new segment.
pub const SEGMENT_ROTATION_BYTES: usize = 1024 * 1024;
/// Maximum length of a segment, in bytes: a batch is only appended to a segment that is not full.
const MAX_SEGMENT_BYTES: usize = SEGMENT_ROTATION_BYTES + MAX_BATCH_BYTES;
/// Maximum length of a batch, in bytes, including the record headers.
pub const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// Length of a record's header, in bytes: length, sequence and checksum.
const RECORD_HEADER_BYTES: usize = 16;
/// Length of a segment's header, in bytes: a snapshot header and the sequence of the first record.
const SEGMENT_HEADER_BYTES: usize = HEADER_BYTES + 8;

/// One record of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Sequence number, from 1 on, without gaps.
    pub sequence: u64,
    /// The data that the owner of the log wrote.
    pub payload: &'a [u8],
}

/// Why a record cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The file ends within the record.
    Truncated,
    /// Its length field exceeds [`MAX_RECORD_BYTES`].
    TooLong,
    /// Its checksum does not match.
    Checksum,
    /// Its sequence is not the expected one.
    OutOfSequence,
}

/// Appends the encoded record to `out`.
pub fn encode_record(out: &mut Vec<u8>, record: Record) {
    let length = (record.payload.len() as u32).to_be_bytes();
    let sequence = record.sequence.to_be_bytes();
    out.extend_from_slice(&length);
    out.extend_from_slice(&sequence);
    out.extend_from_slice(&checksum(length, sequence, record.payload).to_be_bytes());
    out.extend_from_slice(record.payload);
}

/// Decodes the record at the start of `bytes`; `None` if there are no bytes. The length field is checked against
/// its maximum before it is used.
///
/// # Errors
/// The record is truncated, too long or corrupt.
pub fn next_record(bytes: &[u8]) -> Result<Option<Record<'_>>, RecordError> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let (length, rest) = bytes.split_first_chunk::<4>().ok_or(RecordError::Truncated)?;
    let (sequence, rest) = rest.split_first_chunk::<8>().ok_or(RecordError::Truncated)?;
    let (stored_checksum, rest) = rest.split_first_chunk::<4>().ok_or(RecordError::Truncated)?;
    let payload_length = u32::from_be_bytes(*length) as usize;
    if payload_length > MAX_RECORD_BYTES {
        return Err(RecordError::TooLong);
    }
    let payload = rest.get(..payload_length).ok_or(RecordError::Truncated)?;
    if checksum(*length, *sequence, payload) != u32::from_be_bytes(*stored_checksum) {
        return Err(RecordError::Checksum);
    }
    Ok(Some(Record { sequence: u64::from_be_bytes(*sequence), payload }))
}

fn checksum(length: [u8; 4], sequence: [u8; 8], payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c_append(crc32c::crc32c(&length), &sequence), payload)
}

/// Damage, loss or a torn tail found while a log is replayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayIssue {
    /// The end of a segment cannot be decoded, which an interrupted write explains: none of it was committed.
    TornTail {
        /// Name of the segment's file.
        file: String,
        /// Offset of the first bad byte.
        offset: usize,
        /// The error at that offset.
        error: RecordError,
    },
    /// Committed records are missing.
    Lost {
        /// Name of the file that held them, if it is there.
        file: Option<String>,
        /// Offset of the first bad byte in that file.
        offset: usize,
        /// Sequence of the first missing record.
        from: u64,
        /// Sequence of the first record after the missing ones.
        to: u64,
    },
    /// The header of a segment cannot be used.
    BadHeader {
        /// Name of the segment's file.
        file: String,
        /// Why the header cannot be used.
        error: FileError,
    },
}

/// Result of [`Log::open`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplaySummary {
    /// Number of records passed to the visitor.
    pub records: u64,
    /// Last sequence in use: of a record that was visited or lost, or that the checkpoint covers.
    pub last_sequence: u64,
    /// What could not be read, in the order of the segments.
    pub issues: Vec<ReplayIssue>,
}

/// An append-only log of one kind under one name.
#[derive(Debug)]
pub struct Log {
    name: &'static str,
    kind: u16,
    version: u16,
    /// Number of the current segment.
    segment: u64,
    /// Whether the current segment may still be written to.
    writable: bool,
    /// Length of the current segment, in bytes.
    segment_bytes: usize,
    /// Sequence of the next record.
    next_sequence: u64,
}

/// The content of one segment.
struct Segment {
    file: String,
    version: u16,
    first_sequence: u64,
    bytes: Vec<u8>,
}

impl Log {
    /// Creates a log without opening it; `version` is the version of the owner's record encoding that will be
    /// written.
    pub fn new(name: &'static str, kind: u16, version: u16) -> Log {
        Log { name, kind, version, segment: 0, writable: false, segment_bytes: 0, next_sequence: 1 }
    }

    fn segment_file(&self, number: u64) -> String {
        format!("{}.{number:010}", self.name)
    }

    /// Returns the numbers of the existing segments, in ascending order.
    fn segment_numbers(&self, disk: &mut impl Disk) -> io::Result<Vec<u64>> {
        let parse_number = |name: &String| {
            let digits = name.strip_prefix(self.name)?.strip_prefix('.')?;
            (digits.len() == 10).then(|| digits.parse().ok()).flatten()
        };
        let mut numbers: Vec<u64> = disk.file_names()?.iter().filter_map(parse_number).collect();
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Replays, in order, every record after the sequence `covered`, up to which a checkpoint covers the log.
    /// `visit` gets each record with the version of its encoding. The next batch begins a new segment.
    ///
    /// # Errors
    /// The folder cannot be read, or its last segment cannot be synced. What is wrong within a segment is reported
    /// as a [`ReplayIssue`].
    pub fn open(
        &mut self,
        disk: &mut impl Disk,
        covered: u64,
        mut visit: impl FnMut(u16, Record),
    ) -> io::Result<ReplaySummary> {
        let mut summary = ReplaySummary { last_sequence: covered, ..ReplaySummary::default() };
        let numbers = self.segment_numbers(disk)?;
        let mut previous: Option<Segment> = None;
        for number in &numbers {
            let Some(segment) = self.read_segment(disk, *number, &mut summary.issues) else { continue };
            let next_first = Some(segment.first_sequence);
            if let Some(previous) = previous.replace(segment) {
                replay_segment(&previous, next_first, &mut summary, &mut visit);
            }
        }
        if let Some(last) = previous {
            replay_segment(&last, None, &mut summary, &mut visit);
        }
        // Records that a killed process wrote but did not sync were replayed above, and could still be lost.
        if let Some(last) = numbers.last() {
            disk.sync(&self.segment_file(*last))?;
        }
        self.segment = numbers.last().copied().unwrap_or(0);
        self.next_sequence = summary.last_sequence + 1;
        self.writable = false;
        Ok(summary)
    }

    /// Reads a segment; if its header cannot be used, adds an issue and returns `None`.
    fn read_segment(
        &self,
        disk: &mut impl Disk,
        number: u64,
        issues: &mut Vec<ReplayIssue>,
    ) -> Option<Segment> {
        let file = self.segment_file(number);
        let read = match disk.read(&file, SEGMENT_HEADER_BYTES + MAX_SEGMENT_BYTES) {
            Ok(bytes) => {
                let bytes = bytes?;
                let header = bytes.get(..SEGMENT_HEADER_BYTES).unwrap_or(&bytes);
                decode(header)
                    .map(|(header, first)| (header, first.try_into().map(u64::from_be_bytes), bytes.clone()))
            }
            Err(error) => Err(FileError::Unreadable(error.to_string())),
        };
        match read {
            Ok((header, Ok(first), bytes)) if header.kind == self.kind => {
                Some(Segment { file, version: header.version, first_sequence: first, bytes })
            }
            Ok((header, ..)) => {
                issues.push(ReplayIssue::BadHeader { file, error: FileError::WrongKind(header.kind) });
                None
            }
            Err(error) => {
                issues.push(ReplayIssue::BadHeader { file, error });
                None
            }
        }
    }

    /// Returns the sequence that the next record gets.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns whether the current segment is full, so that a checkpoint is due.
    pub fn is_segment_full(&self) -> bool {
        self.segment_bytes >= SEGMENT_ROTATION_BYTES
    }

    /// Begins a new segment, whose first record is the next one. Called before a checkpoint is taken, so that only
    /// older segments hold the records that the checkpoint covers.
    pub fn rotate(&mut self, disk: &mut impl Disk) -> io::Result<()> {
        self.writable = false;
        self.segment += 1;
        let header = Header { kind: self.kind, version: self.version, generation: self.segment };
        let file = self.segment_file(self.segment);
        // Until its name is durable, a segment can be lost with all records synced in it.
        let result = disk
            .put(&file, &encode(header, &self.next_sequence.to_be_bytes()))
            .and_then(|()| disk.sync_folder());
        if result.is_err() {
            // A retry uses the next number: the remains of failed segments must not accumulate.
            let _ = disk.remove(&file);
        }
        result?;
        (self.writable, self.segment_bytes) = (true, SEGMENT_HEADER_BYTES);
        Ok(())
    }

    /// Appends records, syncs once, and returns the sequence of the first record. On success all of them are
    /// durable. After a device error none of them is committed, and the segment is never written to again.
    ///
    /// # Errors
    /// `InvalidInput` if a record or the batch is too long, which changes nothing; otherwise the device's error.
    pub fn commit(&mut self, disk: &mut impl Disk, payloads: &[&[u8]]) -> io::Result<u64> {
        let length: usize = payloads.iter().map(|p| p.len() + RECORD_HEADER_BYTES).sum();
        if length > MAX_BATCH_BYTES || payloads.iter().any(|p| p.len() > MAX_RECORD_BYTES) {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "record or batch exceeds its maximum length",
            ));
        }
        if !self.writable || self.is_segment_full() {
            self.rotate(disk)?;
        }
        let first = self.next_sequence;
        let mut bytes = Vec::with_capacity(length);
        for (sequence, payload) in (first..).zip(payloads) {
            encode_record(&mut bytes, Record { sequence, payload });
        }
        // The content of the segment is unknown after a failed append or sync: it is written to again only if both
        // succeed.
        self.writable = false;
        let file = self.segment_file(self.segment);
        disk.append(&file, &bytes)?;
        disk.sync(&file)?;
        self.writable = true;
        self.segment_bytes += bytes.len();
        self.next_sequence = first + payloads.len() as u64;
        Ok(first)
    }

    /// Removes the segments without a committed record after the sequence `covered`, except the last segment.
    /// Returns how many were removed.
    pub fn remove_covered_segments(&mut self, disk: &mut impl Disk, covered: u64) -> io::Result<usize> {
        let mut issues = Vec::new();
        let numbers = self.segment_numbers(disk)?;
        let first_sequences: Vec<Option<u64>> = numbers
            .iter()
            .map(|n| self.read_segment(disk, *n, &mut issues).map(|s| s.first_sequence))
            .collect();
        let mut removed = 0;
        for (index, number) in numbers.iter().enumerate() {
            // All committed records of a segment, even of one whose header is bad, precede the first record of any
            // later segment.
            if !first_sequences[index + 1..].iter().flatten().any(|first| *first <= covered + 1) {
                break;
            }
            disk.remove(&self.segment_file(*number))?;
            removed += 1;
        }
        if removed > 0 {
            disk.sync_folder()?;
        }
        Ok(removed)
    }
}

/// Visits the committed records of a segment: those before `next_first`, the sequence of the first record of the
/// next segment.
fn replay_segment(
    segment: &Segment,
    next_first: Option<u64>,
    summary: &mut ReplaySummary,
    visit: &mut impl FnMut(u16, Record),
) {
    let end = next_first.unwrap_or(u64::MAX);
    // Older segments are missing, and no checkpoint covers their records.
    if segment.first_sequence > summary.last_sequence + 1 {
        let (from, to) = (summary.last_sequence + 1, segment.first_sequence);
        summary.issues.push(ReplayIssue::Lost { file: None, offset: 0, from, to });
        summary.last_sequence = segment.first_sequence - 1;
    }
    let (mut offset, mut expected) = (SEGMENT_HEADER_BYTES, segment.first_sequence);
    let error = loop {
        match next_record(&segment.bytes[offset..]) {
            Ok(None) => break None,
            Ok(Some(record)) if record.sequence != expected => break Some(RecordError::OutOfSequence),
            Ok(Some(record)) => {
                offset += RECORD_HEADER_BYTES + record.payload.len();
                expected += 1;
                // Records from the first sequence of the next segment on were never committed here.
                if record.sequence < end && record.sequence > summary.last_sequence {
                    summary.last_sequence = record.sequence;
                    summary.records += 1;
                    visit(segment.version, record);
                }
            }
            Err(error) => break Some(error),
        }
    };
    let file = segment.file.clone();
    if next_first.is_some() && expected < end && summary.last_sequence + 1 < end {
        let from = summary.last_sequence + 1;
        summary.issues.push(ReplayIssue::Lost { file: Some(file), offset, from, to: end });
        summary.last_sequence = end - 1;
    } else if let Some(error) = error {
        summary.issues.push(ReplayIssue::TornTail { file, offset, error });
    }
}
