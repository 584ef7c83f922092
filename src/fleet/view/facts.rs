//! Facts that each member states about itself, and the table of all members' facts. Only the owner of a record
//! increments its version.

use crate::fleet::wire::{self, Identity, Record, MAX_FACTS_BYTES};
use crate::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Tags of the encoded facts.
mod tag {
    pub const OFFERED: u8 = 1;
    pub const OPEN_CALLS: u8 = 2;
    pub const CHANGE_LOG_SEQ: u8 = 3;
    pub const PROGRAM: u8 = 4;
    pub const LEAVING: u8 = 5;
}

/// The facts of one member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Calls offered to the member per second.
    pub offered: u32,
    /// Set-ups awaiting an answer from a hub, plus established calls.
    pub open_calls: u32,
    /// Sequence number of the newest change-log event that the member has received.
    pub change_log_seq: u64,
    /// Version of the member's program.
    pub program: String,
    /// The member is about to shut down as planned.
    pub leaving: bool,
    /// Facts with tags that this version does not know, preserved as they are.
    pub unknown: BTreeMap<u8, Vec<u8>>,
}

impl Facts {
    /// Encodes the facts. Those that do not fit are omitted.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut put = |tag: u8, value: &[u8]| {
            if bytes.len() + 2 + value.len() <= MAX_FACTS_BYTES {
                bytes.extend_from_slice(&[tag, value.len() as u8]);
                bytes.extend_from_slice(value);
            }
        };
        if self.leaving {
            put(tag::LEAVING, &[]);
        }
        put(tag::OFFERED, &self.offered.to_be_bytes());
        put(tag::OPEN_CALLS, &self.open_calls.to_be_bytes());
        put(tag::CHANGE_LOG_SEQ, &self.change_log_seq.to_be_bytes());
        put(tag::PROGRAM, &self.program.as_bytes()[..self.program.len().min(32)]);
        self.unknown.iter().for_each(|(tag, value)| put(*tag, value));
        bytes
    }

    /// Decodes facts. Unknown tags are preserved, and a truncated entry ends the decoding.
    pub fn decode(mut bytes: &[u8]) -> Facts {
        let mut facts = Facts::default();
        while let [tag, length, rest @ ..] = bytes {
            let Some((value, rest)) = rest.split_at_checked(usize::from(*length)) else { break };
            bytes = rest;
            let number = |v: &[u8]| v.iter().take(8).fold(0u64, |n, b| n << 8 | u64::from(*b));
            match *tag {
                tag::OFFERED => facts.offered = number(value) as u32,
                tag::OPEN_CALLS => facts.open_calls = number(value) as u32,
                tag::CHANGE_LOG_SEQ => facts.change_log_seq = number(value),
                tag::PROGRAM => facts.program = String::from_utf8_lossy(value).into_owned(),
                tag::LEAVING => facts.leaving = true,
                tag => {
                    facts.unknown.insert(tag, value.to_vec());
                }
            }
        }
        facts
    }
}

/// The latest facts of one member.
#[derive(Clone, Debug)]
struct Entry {
    generation: u64,
    version: u32,
    facts: Arc<[u8]>,
    /// When the record arrived, and how old it was then.
    received_at: Micros,
    age_at_receipt: Micros,
    /// How often the record was forwarded.
    times_sent: u32,
}

/// The facts of all members, one entry an address. The view bounds the number of entries.
#[derive(Clone, Debug, Default)]
pub struct FactsTable {
    entries: BTreeMap<SocketAddr, Entry>,
    /// The address after which the next datagram continues.
    resume_after: Option<SocketAddr>,
    version: u32,
}

impl FactsTable {
    /// Publishes the facts of this process under a new version if they have changed or are older than
    /// `refresh_after`.
    pub fn publish(&mut self, now: Micros, own: &Identity, facts: &Facts, refresh_after: Micros) {
        let bytes = facts.encode();
        let same = |e: &Entry| {
            e.facts[..] == bytes && e.generation == own.generation && now - e.received_at < refresh_after
        };
        if self.entries.get(&own.address).is_some_and(same) {
            return;
        }
        // Receivers ignore a record whose version they already have, so that each publication needs a new version.
        self.version += 1;
        let (generation, version) = (own.generation, self.version);
        let entry = Entry {
            generation,
            version,
            facts: bytes.into(),
            received_at: now,
            age_at_receipt: Micros(0),
            times_sent: 0,
        };
        self.entries.insert(own.address, entry);
    }

    /// Merges a record if it is newer than the known one. Returns whether it was.
    pub fn merge(&mut self, now: Micros, record: Record) -> bool {
        let Record { address, generation, version, age_ms, facts } = record;
        // Facts must never go back to an earlier version, in whatever order and however often records arrive.
        let known = self.entries.get(&address).map(|e| (e.generation, e.version));
        if known.is_some_and(|known| (generation, version) <= known) {
            return false;
        }
        let age = Micros(u64::from(age_ms) * 1000);
        self.entries.insert(
            address,
            Entry { generation, version, facts, received_at: now, age_at_receipt: age, times_sent: 0 },
        );
        true
    }

    /// The records for a datagram of `room` bytes, each sent at most `max_sends` times. Half of the room goes to the
    /// youngest records, so that new facts spread fast. The other half continues round-robin after the last datagram,
    /// least often sent records first, so that no record is starved.
    pub fn records_to_send(&mut self, now: Micros, room: usize, max_sends: u32) -> Vec<Record> {
        let resume_after = self.resume_after.take();
        let is_after = |a: &SocketAddr| resume_after.is_none_or(|r| *a > r);
        let pending = || self.entries.iter().filter(|(_, e)| e.times_sent < max_sends);
        let age = |e: &Entry| e.age_at_receipt + (now - e.received_at);
        let mut youngest: Vec<(Micros, SocketAddr)> = pending().map(|(a, e)| (age(e), *a)).collect();
        let mut round_robin: Vec<(u32, bool, SocketAddr)> =
            pending().map(|(a, e)| (e.times_sent, !is_after(a), *a)).collect();
        youngest.sort_unstable();
        round_robin.sort_unstable();
        let mut added = BTreeSet::new();
        let mut records = Vec::new();
        let mut room_left = room / 2;
        for (_, address) in youngest {
            if !self.push_record(now, address, &mut room_left, &mut records) {
                break;
            }
            added.insert(address);
        }
        room_left += room - room / 2;
        for (.., address) in round_robin {
            if added.contains(&address) {
                continue;
            }
            if !self.push_record(now, address, &mut room_left, &mut records) {
                break;
            }
            self.resume_after = Some(address);
        }
        records
    }

    /// Adds the record of a member. Returns false if it does not fit.
    fn push_record(
        &mut self,
        now: Micros,
        address: SocketAddr,
        room_left: &mut usize,
        records: &mut Vec<Record>,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&address) else { return true };
        let age_ms = (entry.age_at_receipt + (now - entry.received_at)).0 / 1000;
        let record = Record {
            address,
            generation: entry.generation,
            version: entry.version,
            age_ms: age_ms.min(u64::from(u32::MAX)) as u32,
            facts: entry.facts.clone(),
        };
        let bytes = wire::record_len(&record);
        if bytes > *room_left {
            return false;
        }
        *room_left -= bytes;
        entry.times_sent += 1;
        records.push(record);
        true
    }

    /// A member's facts and their age.
    pub fn get(&self, now: Micros, identity: &Identity) -> Option<(Facts, Micros)> {
        let entry = self.entries.get(&identity.address)?;
        // Facts of an earlier generation do not apply to this one.
        let is_current = entry.generation >= identity.generation;
        is_current.then(|| (Facts::decode(&entry.facts), entry.age_at_receipt + (now - entry.received_at)))
    }

    /// Removes the entries of all addresses for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.entries.retain(|a, _| keep(a));
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
