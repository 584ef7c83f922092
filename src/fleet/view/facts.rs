//! What a member says of itself, and the book of what all have said. Only the owner counts a version up.

use crate::fleet::wire::{self, Identity, Record, FACTS_MOST};
use crate::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Tags of the facts' form.
mod tag {
    pub const OFFERED: u8 = 1;
    pub const OUT: u8 = 2;
    pub const SEQ: u8 = 3;
    pub const PROGRAM: u8 = 4;
    pub const LEAVING: u8 = 5;
}

/// A member's own small facts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Calls offered to it a second.
    pub offered: u32,
    /// Set-ups out at hubs, and calls that stand.
    pub out: u32,
    /// The newest change-log event that it has seen.
    pub seq: u64,
    /// Its program's version.
    pub program: String,
    /// It is about to end as planned.
    pub leaving: bool,
    /// Facts under other tags: of later parts, or of later versions.
    pub more: BTreeMap<u8, Vec<u8>>,
}

impl Facts {
    /// As they travel; what does not fit is left out, the last first.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut put = |tag: u8, value: &[u8]| {
            if bytes.len() + 2 + value.len() <= FACTS_MOST {
                bytes.extend_from_slice(&[tag, value.len() as u8]);
                bytes.extend_from_slice(value);
            }
        };
        if self.leaving {
            put(tag::LEAVING, &[]);
        }
        put(tag::OFFERED, &self.offered.to_be_bytes());
        put(tag::OUT, &self.out.to_be_bytes());
        put(tag::SEQ, &self.seq.to_be_bytes());
        put(tag::PROGRAM, &self.program.as_bytes()[..self.program.len().min(32)]);
        self.more.iter().for_each(|(tag, value)| put(*tag, value));
        bytes
    }

    /// Reads them; what is not whole or not understood is left as it is or out.
    pub fn decode(mut bytes: &[u8]) -> Facts {
        let mut facts = Facts::default();
        while let [tag, length, rest @ ..] = bytes {
            let Some((value, rest)) = rest.split_at_checked(usize::from(*length)) else { break };
            bytes = rest;
            let number = |v: &[u8]| v.iter().take(8).fold(0u64, |n, b| n << 8 | u64::from(*b));
            match *tag {
                tag::OFFERED => facts.offered = number(value) as u32,
                tag::OUT => facts.out = number(value) as u32,
                tag::SEQ => facts.seq = number(value),
                tag::PROGRAM => facts.program = String::from_utf8_lossy(value).into_owned(),
                tag::LEAVING => facts.leaving = true,
                tag => {
                    facts.more.insert(tag, value.to_vec());
                }
            }
        }
        facts
    }
}

/// What is known of one member.
#[derive(Clone, Debug)]
struct Entry {
    generation: u64,
    version: u32,
    facts: Arc<[u8]>,
    /// When it came, and how old it was then.
    came: Micros,
    age: Micros,
    /// How often it was passed on.
    sent: u32,
}

/// All members' facts: one entry an address, which the view bounds.
#[derive(Clone, Debug, Default)]
pub struct Book {
    entries: BTreeMap<SocketAddr, Entry>,
    /// Where the next datagram starts looking.
    from: Option<SocketAddr>,
    version: u32,
}

impl Book {
    /// States the own facts. They count as new when they have changed, and again after `again`.
    pub fn state(&mut self, now: Micros, own: &Identity, facts: &Facts, again: Micros) {
        let bytes = facts.encode();
        let same = |e: &Entry| e.facts[..] == bytes && e.generation == own.generation && now - e.came < again;
        if self.entries.get(&own.address).is_some_and(same) {
            return;
        }
        // Danger: two statements under one version would never replace one another.
        self.version += 1;
        let (generation, version) = (own.generation, self.version);
        let entry = Entry { generation, version, facts: bytes.into(), came: now, age: Micros(0), sent: 0 };
        self.entries.insert(own.address, entry);
    }

    /// Takes a record in, unless what is known is as new. Gives whether it was news.
    pub fn take(&mut self, now: Micros, record: Record) -> bool {
        let Record { address, generation, version, age_ms, facts } = record;
        // Danger: facts must never step back, in whatever order or however often they come.
        let known = self.entries.get(&address).map(|e| (e.generation, e.version));
        if known.is_some_and(|known| (generation, version) <= known) {
            return false;
        }
        let age = Micros(u64::from(age_ms) * 1000);
        self.entries.insert(address, Entry { generation, version, facts, came: now, age, sent: 0 });
        true
    }

    /// The records for a datagram of so many bytes, each passed on up to `most` times. Half of the room is for the
    /// youngest, so that news run ahead; half goes round from where the last datagram ended, the least passed on
    /// first, so that nothing is left behind.
    pub fn give(&mut self, now: Micros, room: usize, most: u32) -> Vec<Record> {
        let from = self.from.take();
        let after = |a: &SocketAddr| from.is_none_or(|f| *a > f);
        let waiting = || self.entries.iter().filter(|(_, e)| e.sent < most);
        let age = |e: &Entry| e.age + (now - e.came);
        let mut young: Vec<(Micros, SocketAddr)> = waiting().map(|(a, e)| (age(e), *a)).collect();
        let mut round: Vec<(u32, bool, SocketAddr)> =
            waiting().map(|(a, e)| (e.sent, !after(a), *a)).collect();
        young.sort_unstable();
        round.sort_unstable();
        let mut given = BTreeSet::new();
        let mut records = Vec::new();
        let mut left = room / 2;
        for (_, address) in young {
            if !self.put(now, address, &mut left, &mut records) {
                break;
            }
            given.insert(address);
        }
        left += room - room / 2;
        for (.., address) in round {
            if given.contains(&address) {
                continue;
            }
            if !self.put(now, address, &mut left, &mut records) {
                break;
            }
            self.from = Some(address);
        }
        records
    }

    /// Adds a member's record, if it fits.
    fn put(&mut self, now: Micros, address: SocketAddr, left: &mut usize, to: &mut Vec<Record>) -> bool {
        let Some(entry) = self.entries.get_mut(&address) else { return true };
        let age_ms = (entry.age + (now - entry.came)).0 / 1000;
        let record = Record {
            address,
            generation: entry.generation,
            version: entry.version,
            age_ms: age_ms.min(u64::from(u32::MAX)) as u32,
            facts: entry.facts.clone(),
        };
        let bytes = wire::record_bytes(&record);
        if bytes > *left {
            return false;
        }
        *left -= bytes;
        entry.sent += 1;
        to.push(record);
        true
    }

    /// A member's facts and their age.
    pub fn of(&self, now: Micros, identity: &Identity) -> Option<(Facts, Micros)> {
        let entry = self.entries.get(&identity.address)?;
        // An earlier life's facts say nothing of this one.
        let lives = entry.generation >= identity.generation;
        lives.then(|| (Facts::decode(&entry.facts), entry.age + (now - entry.came)))
    }

    /// Forgets whoever is not to be kept.
    pub fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.entries.retain(|a, _| keep(a));
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Nothing is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
