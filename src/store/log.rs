//! An append-only log in segments: records count from the sync that covers them on.
//!
//! Each record has a sequence, one more than that of the record before it. A batch of records is appended and
//! synced once (group commit). A segment that failed, and the one that a start finds, is never written to again:
//! the next begins a new one, which tells the sequence of its first record. So what stands in an older segment
//! from that sequence on never counted, and what is missing before it is a loss that can be told from a torn
//! tail. Bounded by checkpoints: once one lasts, [`Log::forget`] removes what it covers.

use super::snapshot::{encode, read, Fault, Header, HEADER};
use super::Disk;
use std::io;

/// No record's payload is longer.
pub const RECORD_MOST: usize = 64 * 1024;
/// A segment over this wants a checkpoint and a new one.
pub const SEGMENT_FULL: usize = 1024 * 1024;
/// No segment is longer: it was full before its last batch.
const SEGMENT_MOST: usize = SEGMENT_FULL + BATCH_MOST;
/// No batch is longer, in bytes with its frames.
pub const BATCH_MOST: usize = 1024 * 1024;
/// Length of a record's frame: length, sequence, checksum.
const FRAME: usize = 16;
/// Length of a segment's head: a header, and the sequence of its first record.
const HEAD: usize = HEADER + 8;

/// One record, as it is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Its number: from 1 on, without gaps.
    pub sequence: u64,
    /// What its owner wrote.
    pub payload: &'a [u8],
}

/// Why a record cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadRecord {
    /// The file ends within it.
    Short,
    /// It claims to be longer than any.
    Length,
    /// Its checksum does not fit.
    Sum,
    /// Its sequence is not the next.
    Sequence,
}

/// Writes a record's bytes.
pub fn frame(out: &mut Vec<u8>, record: Record) {
    let length = (record.payload.len() as u32).to_be_bytes();
    let sequence = record.sequence.to_be_bytes();
    out.extend_from_slice(&length);
    out.extend_from_slice(&sequence);
    out.extend_from_slice(&sum(length, sequence, record.payload).to_be_bytes());
    out.extend_from_slice(record.payload);
}

/// Reads the record that the bytes begin with; `None` at their end. Its length is bounded before it is used.
pub fn next_record(bytes: &[u8]) -> Result<Option<Record<'_>>, BadRecord> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let (length, rest) = bytes.split_first_chunk::<4>().ok_or(BadRecord::Short)?;
    let (sequence, rest) = rest.split_first_chunk::<8>().ok_or(BadRecord::Short)?;
    let (told, rest) = rest.split_first_chunk::<4>().ok_or(BadRecord::Short)?;
    let most = u32::from_be_bytes(*length) as usize;
    if most > RECORD_MOST {
        return Err(BadRecord::Length);
    }
    let payload = rest.get(..most).ok_or(BadRecord::Short)?;
    if sum(*length, *sequence, payload) != u32::from_be_bytes(*told) {
        return Err(BadRecord::Sum);
    }
    Ok(Some(Record { sequence: u64::from_be_bytes(*sequence), payload }))
}

fn sum(length: [u8; 4], sequence: [u8; 8], payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c_append(crc32c::crc32c(&length), &sequence), payload)
}

/// Something in the segments that a start should know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A segment's end could not be read, from this byte on. None of it was ever said to last.
    TornTail {
        /// The file.
        file: String,
        /// The first bad byte.
        at: usize,
        /// What is wrong there.
        what: BadRecord,
    },
    /// Records that did last are missing: from this sequence on, up to before that one.
    Lost {
        /// The file in which they stood, if it is there.
        file: Option<String>,
        /// The first bad byte of it.
        at: usize,
        /// The first that is missing.
        from: u64,
        /// The first that is there again.
        to: u64,
    },
    /// A segment whose head cannot be used.
    Head {
        /// The file.
        file: String,
        /// What is wrong with it.
        fault: Fault,
    },
}

/// What [`Log::open`] found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replayed {
    /// Records handed out.
    pub records: u64,
    /// The last sequence that counts, whether it was handed out or is covered by the checkpoint.
    pub last: u64,
    /// What could not be read.
    pub findings: Vec<Finding>,
}

/// A log under one name, of one kind.
#[derive(Debug)]
pub struct Log {
    name: &'static str,
    kind: u16,
    version: u16,
    /// The number of the current segment, and whether it may still be written to.
    segment: u64,
    open: bool,
    /// Bytes in it.
    bytes: usize,
    /// The next record's sequence.
    next: u64,
}

/// One segment as it is read.
struct Segment {
    file: String,
    version: u16,
    first: u64,
    bytes: Vec<u8>,
}

impl Log {
    /// A log that has not been opened. Its records are of that version of their owner's form.
    pub fn new(name: &'static str, kind: u16, version: u16) -> Log {
        Log { name, kind, version, segment: 0, open: false, bytes: 0, next: 1 }
    }

    fn file(&self, number: u64) -> String {
        format!("{}.{number:010}", self.name)
    }

    /// The numbers of the segments that are there, in order.
    fn numbers(&self, disk: &mut impl Disk) -> io::Result<Vec<u64>> {
        let number = |name: &String| {
            let digits = name.strip_prefix(self.name)?.strip_prefix('.')?;
            (digits.len() == 10).then(|| digits.parse().ok()).flatten()
        };
        let mut numbers: Vec<u64> = disk.names()?.iter().filter_map(number).collect();
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Reads every record after the sequence `after`, which a checkpoint covers, in order; `visit` is told the
    /// version of its form with each. The next batch begins a new segment.
    ///
    /// # Errors
    /// The folder cannot be read at all. What is wrong with a single segment is a [`Finding`].
    pub fn open(
        &mut self,
        disk: &mut impl Disk,
        after: u64,
        mut visit: impl FnMut(u16, Record),
    ) -> io::Result<Replayed> {
        let mut replayed = Replayed { last: after, ..Replayed::default() };
        let numbers = self.numbers(disk)?;
        let mut waiting: Option<Segment> = None;
        for number in &numbers {
            let Some(segment) = self.head(disk, *number, &mut replayed.findings) else { continue };
            let follows = Some(segment.first);
            if let Some(before) = waiting.replace(segment) {
                replay(&before, follows, &mut replayed, &mut visit);
            }
        }
        if let Some(last) = waiting {
            replay(&last, None, &mut replayed, &mut visit);
        }
        // Danger: what a killed process wrote and did not sync is read here, and could still be lost.
        if let Some(last) = numbers.last() {
            disk.sync(&self.file(*last))?;
        }
        self.segment = numbers.last().copied().unwrap_or(0);
        self.next = replayed.last + 1;
        self.open = false;
        Ok(replayed)
    }

    fn head(&self, disk: &mut impl Disk, number: u64, findings: &mut Vec<Finding>) -> Option<Segment> {
        let file = self.file(number);
        let read = match disk.read(&file, HEAD + SEGMENT_MOST) {
            Ok(bytes) => {
                let bytes = bytes?;
                let head = bytes.get(..HEAD).unwrap_or(&bytes);
                read(head)
                    .map(|(header, first)| (header, first.try_into().map(u64::from_be_bytes), bytes.clone()))
            }
            Err(error) => Err(Fault::Unread(error.to_string())),
        };
        match read {
            Ok((header, Ok(first), bytes)) if header.kind == self.kind => {
                Some(Segment { file, version: header.version, first, bytes })
            }
            Ok((header, ..)) => {
                findings.push(Finding::Head { file, fault: Fault::Kind(header.kind) });
                None
            }
            Err(fault) => {
                findings.push(Finding::Head { file, fault });
                None
            }
        }
    }

    /// The sequence that the next record gets.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The current segment is long enough for a checkpoint.
    pub fn is_full(&self) -> bool {
        self.bytes >= SEGMENT_FULL
    }

    /// Begins a new segment, whose first record is the next one. Called before a checkpoint is taken, so that
    /// what the checkpoint covers stands in the older ones alone.
    pub fn rotate(&mut self, disk: &mut impl Disk) -> io::Result<()> {
        self.open = false;
        self.segment += 1;
        let header = Header { kind: self.kind, version: self.version, generation: self.segment };
        let file = self.file(self.segment);
        // Danger: without its name on the disk, a segment is lost with all that is synced in it.
        let made =
            disk.put(&file, &encode(header, &self.next.to_be_bytes())).and_then(|()| disk.sync_folder());
        if made.is_err() {
            // Tried again under another number: what is left of this one must not pile up.
            let _ = disk.remove(&file);
        }
        made?;
        (self.open, self.bytes) = (true, HEAD);
        Ok(())
    }

    /// Appends records and syncs once. On success all of them last, and the first one's sequence is given.
    /// After an error none of them counts, and the segment is never written to again.
    ///
    /// # Errors
    /// `InvalidInput` where a record or the batch is too long, which changes nothing; else the device's error.
    pub fn commit(&mut self, disk: &mut impl Disk, payloads: &[&[u8]]) -> io::Result<u64> {
        let length: usize = payloads.iter().map(|p| p.len() + FRAME).sum();
        if length > BATCH_MOST || payloads.iter().any(|p| p.len() > RECORD_MOST) {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "a record or a batch is too long"));
        }
        if !self.open || self.is_full() {
            self.rotate(disk)?;
        }
        let first = self.next;
        let mut bytes = Vec::with_capacity(length);
        for (sequence, payload) in (first..).zip(payloads) {
            frame(&mut bytes, Record { sequence, payload });
        }
        // What an append or a sync that failed has left is not known: the segment is over, unless both are well.
        self.open = false;
        let file = self.file(self.segment);
        disk.append(&file, &bytes)?;
        disk.sync(&file)?;
        self.open = true;
        self.bytes += bytes.len();
        self.next = first + payloads.len() as u64;
        Ok(first)
    }

    /// Removes the segments that hold nothing after the sequence `covered`. The current one stays.
    pub fn forget(&mut self, disk: &mut impl Disk, covered: u64) -> io::Result<usize> {
        let mut findings = Vec::new();
        let numbers = self.numbers(disk)?;
        let firsts: Vec<Option<u64>> =
            numbers.iter().map(|n| self.head(disk, *n, &mut findings).map(|s| s.first)).collect();
        let mut removed = 0;
        for (nth, number) in numbers.iter().enumerate() {
            // All that counts in a segment, also in one whose head is bad, comes before the first of a later one.
            if !firsts[nth + 1..].iter().flatten().any(|first| *first <= covered + 1) {
                break;
            }
            disk.remove(&self.file(*number))?;
            removed += 1;
        }
        if removed > 0 {
            disk.sync_folder()?;
        }
        Ok(removed)
    }
}

/// Hands out what counts of a segment: up to the first record of the one that follows.
fn replay(
    segment: &Segment,
    follows: Option<u64>,
    replayed: &mut Replayed,
    visit: &mut impl FnMut(u16, Record),
) {
    let end = follows.unwrap_or(u64::MAX);
    // Older ones are missing, and no checkpoint covers what stood there.
    if segment.first > replayed.last + 1 {
        let (from, to) = (replayed.last + 1, segment.first);
        replayed.findings.push(Finding::Lost { file: None, at: 0, from, to });
        replayed.last = segment.first - 1;
    }
    let (mut at, mut expected) = (HEAD, segment.first);
    let bad = loop {
        match next_record(&segment.bytes[at..]) {
            Ok(None) => break None,
            Ok(Some(record)) if record.sequence != expected => break Some(BadRecord::Sequence),
            Ok(Some(record)) => {
                at += FRAME + record.payload.len();
                expected += 1;
                // From the next segment's first on, nothing here was ever said to last.
                if record.sequence < end && record.sequence > replayed.last {
                    replayed.last = record.sequence;
                    replayed.records += 1;
                    visit(segment.version, record);
                }
            }
            Err(bad) => break Some(bad),
        }
    };
    let file = segment.file.clone();
    if follows.is_some() && expected < end && replayed.last + 1 < end {
        let from = replayed.last + 1;
        replayed.findings.push(Finding::Lost { file: Some(file), at, from, to: end });
        replayed.last = end - 1;
    } else if let Some(what) = bad {
        replayed.findings.push(Finding::TornTail { file, at, what });
    }
}
