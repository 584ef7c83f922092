//! Who is in the fleet: a machine without I/O and clocks, `handle(now, event, &mut out)`.
//!
//! The protocol is SWIM by the library foca. What it lacks stands here: suspects are asked directly, time that
//! this process lost_time through counts for nobody's death, who hears nothing doubts itself, views that differ are
//! found and mended, facts are passed on at a fixed cost, and every table has a bound (docs/VIEW.md).

pub mod facts;

use super::wire::{self, DropReason, Envelope, Identity, Kind, Record, WireCodec, MAX_DATAGRAM_BYTES};
use crate::interface::Micros;
use facts::{Facts, FactsTable};
use foca::{AccumulatingRuntime, Foca, Member, Message, NoCustomBroadcast, OwnedNotification, State, Timer};
use ipnet::IpNet;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Addresses that the table holds, live and gone. Danger: a stranger under the prefixes may invent members.
pub const MAX_MEMBERS: usize = 4_096;
/// The longest body, whatever the names in its envelope.
const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - 172;
/// Who is gone stays known for so long, so that a late rumour does not bring it back.
const DOWN_MEMBER_TTL: Duration = Duration::from_secs(1_800);
/// Seeds that are asked at a time.
const MAX_SEEDS_PER_JOIN: usize = 8;
/// Sums over a view: one a bucket of addresses.
const BUCKETS: usize = 32;
/// Datagrams of entries that answer one message of sums.
const MAX_SYNC_DATAGRAMS: usize = 4;
/// Members that facts are passed on to at a time.
const FACTS_FANOUT: usize = 2;
/// Records that are new are passed on so often, times the logarithm of the fleet's size.
const FACTS_RETRANSMIT_MULTIPLIER: u32 = 3;
/// Pages of an operator's answer that are kept while it asks for them.
const STATUS_CACHE_TTL: Micros = Micros(5_000_000);
/// Notes that were said once about others under the own name.
const MAX_REPORTED_DUPLICATES: usize = 64;

/// What a view starts from.
#[derive(Clone, Debug)]
pub struct ViewConfig {
    /// The fleet's name; datagrams of others are not heard.
    pub fleet: String,
    /// This process.
    pub own: Identity,
    /// Addresses that are asked for the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Addresses outside of these are neither heard nor accepted in.
    pub prefixes: Vec<IpNet>,
    /// Within about this a crash is known to most.
    pub detection: Micros,
    /// For random choices.
    pub seed: u64,
}

/// The lengths of time that follow from the detection time.
#[derive(Clone, Copy, Debug)]
struct Timing {
    probe_period: Micros,
    probe_timeout: Micros,
    suspicion_timeout: Micros,
    gossip_period: Micros,
    facts_period: Micros,
    sync_period: Micros,
    /// No answer for so long: it may be this process that is cut off, one way or both.
    isolation_timeout: Micros,
    /// A wake that is later than this was lost_time through.
    max_lateness: Micros,
}

impl Timing {
    fn for_detection(detection: Micros) -> Timing {
        let part = |n: u64| Micros((detection.0 / n).max(1_000));
        Timing {
            probe_period: part(12),
            probe_timeout: part(30),
            suspicion_timeout: part(2),
            gossip_period: part(24),
            facts_period: part(10),
            sync_period: part(3),
            isolation_timeout: part(3),
            max_lateness: part(25),
        }
    }
}

/// What a view is told.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A datagram, and where it came from.
    Datagram(SocketAddr, &'a [u8]),
    /// The time of [`View::next_wake`] has come. Datagrams that are waiting are to be handed in before.
    Wake,
    /// The own facts as they are now.
    OwnFacts(Facts),
    /// The process ends now, as planned.
    Leave,
}

/// What a view says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Something to log.
    Notify(Notification),
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A member is there.
    MemberUp(Identity),
    /// A member is gone.
    MemberDown(Identity),
    /// This process was held to be gone, and is back under a later generation.
    Rejoined(u64),
    /// This process got no answer for a while; whom it held to be gone meanwhile counts as there again.
    VerdictsRetracted(usize),
    /// Another process has this one's name; whether this one is the one that holds it, by the later start.
    DuplicateName(Identity, bool),
}

/// Datagrams and what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Sent, and their bytes.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Heard.
    pub received: u64,
    /// Too long.
    pub too_long: u64,
    /// Not of this fleet.
    pub foreign: u64,
    /// Torn.
    pub corrupt: u64,
    /// Of a later form.
    pub unsupported_version: u64,
    /// From or about addresses outside of the prefixes.
    pub outside_prefixes: u64,
    /// No room in the tables.
    pub table_full: u64,
    /// Claimed to come from here.
    pub own_address: u64,
    /// Suspicions that this process raised.
    pub suspected: u64,
    /// Wakes that came too late, by the time that others were given for them.
    pub late_wakes: u64,
}

impl Counters {
    /// Datagrams, or parts of them, that were dropped.
    pub fn dropped(&self) -> u64 {
        self.too_long
            + self.foreign
            + self.corrupt
            + self.unsupported_version
            + self.outside_prefixes
            + self.table_full
            + self.own_address
    }

    fn count(&mut self, reason: DropReason) {
        *match reason {
            DropReason::TooLong => &mut self.too_long,
            DropReason::Foreign => &mut self.foreign,
            DropReason::Corrupt => &mut self.corrupt,
            DropReason::UnsupportedVersion => &mut self.unsupported_version,
            DropReason::OutsidePrefixes => &mut self.outside_prefixes,
            DropReason::TableFull => &mut self.table_full,
            DropReason::OwnAddress => &mut self.own_address,
        } += 1;
    }
}

/// Where a member is in its life, as seen from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Its own facts have not come yet; of this process: nobody has joined yet.
    Joining,
    /// There.
    Alive,
    /// It did not answer; it counts as there.
    Suspect,
    /// It said that it is about to end.
    Leaving,
    /// It left, or joined nobody.
    Gone,
}

/// One member, as seen from here.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberInfo {
    /// Who.
    pub identity: Identity,
    /// Its phase.
    pub phase: Phase,
    /// Since when it is there, or gone.
    pub since: Micros,
    /// Another process has its name and started later: this one's is not counted on.
    pub displaced: bool,
    /// Its facts and their age.
    pub facts: Option<(Facts, Micros)>,
}

impl MemberInfo {
    /// It counts as there.
    pub fn is_live(&self) -> bool {
        self.phase != Phase::Gone
    }
}

#[derive(Clone, Debug)]
enum TimerKind {
    Swim(Timer<Identity>),
    Join,
    Facts,
    Sync,
    Housekeeping,
    QuerySuspect(Identity, u16),
}

#[derive(Clone, Debug)]
struct KnownMember {
    identity: Identity,
    live: bool,
    since: Micros,
    /// Of the identity: sums over hundreds of members are asked for many times a second.
    hash: u64,
    bucket: usize,
}

struct StatusCache {
    nonce: u64,
    at: Micros,
    text: String,
}

type Swim = Foca<Identity, WireCodec, StdRng, NoCustomBroadcast>;

/// The view of one process.
pub struct View {
    config: ViewConfig,
    timing: Timing,
    swim: Swim,
    runtime: AccumulatingRuntime<Identity>,
    rng: StdRng,
    /// What is due, in the time that counts: the clock's less `lost_time`.
    timers: BTreeMap<(Micros, u64), TimerKind>,
    timer_seq: u64,
    /// When who is gone will be forgotten, an address once: a flood of lives must not fill the timers.
    removal_timers: BTreeMap<SocketAddr, (Micros, u64)>,
    lost_time: Micros,
    started: Micros,
    /// Who was ever told of, live or gone, until the protocol forgets it.
    known: BTreeMap<SocketAddr, KnownMember>,
    facts_table: FactsTable,
    facts: Facts,
    joined: bool,
    leaving: bool,
    /// When anybody last joined this process, in the time that counts.
    last_answer: Micros,
    /// Who was held to be gone while nobody joined.
    isolated_verdicts: BTreeSet<Identity>,
    reported_duplicates: BTreeSet<Identity>,
    status_cache: Option<StatusCache>,
    counters: Counters,
    transmissions: u8,
}

impl View {
    /// A view that knows itself alone.
    pub fn new(config: ViewConfig, now: Micros) -> View {
        let timing = Timing::for_detection(config.detection);
        let mut rng = StdRng::seed_from_u64(config.seed);
        let swim = new_swim(&config, &timing, &mut rng, 4);
        let mut view = View {
            timing,
            swim,
            runtime: AccumulatingRuntime::new(),
            rng,
            timers: BTreeMap::new(),
            timer_seq: 0,
            removal_timers: BTreeMap::new(),
            lost_time: Micros(0),
            started: now,
            known: BTreeMap::new(),
            facts_table: FactsTable::default(),
            facts: Facts::default(),
            joined: false,
            leaving: false,
            last_answer: now,
            isolated_verdicts: BTreeSet::new(),
            reported_duplicates: BTreeSet::new(),
            status_cache: None,
            counters: Counters::default(),
            transmissions: 4,
            config,
        };
        // Danger: hundreds that start at once must not go on at once; every period starts at a random phase.
        for (period, due) in [
            (view.timing.gossip_period, TimerKind::Join),
            (view.timing.facts_period, TimerKind::Facts),
            (view.timing.sync_period, TimerKind::Sync),
            (view.timing.sync_period, TimerKind::Housekeeping),
        ] {
            let after = view.random_phase(period);
            view.schedule(now, after, due);
        }
        view
    }

    /// When [`Event::Wake`] is wanted.
    pub fn next_wake(&self) -> Micros {
        self.timers.first_key_value().map_or(Micros(u64::MAX), |((due, _), _)| *due + self.lost_time)
    }

    /// This process, as it is known by now.
    pub fn own(&self) -> &Identity {
        self.swim.identity()
    }

    /// The fleet's name.
    pub fn fleet(&self) -> &str {
        &self.config.fleet
    }

    /// What became of the datagrams.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The most that any table holds: addresses, timers, or news that wait to be passed on.
    pub fn largest_table(&self) -> usize {
        let tables =
            [self.facts_table.len(), self.known.len(), self.timers.len(), self.swim.updates_backlog()];
        tables.into_iter().fold(self.swim.iter_membership_state().len(), usize::max)
    }

    /// Everyone who counts as there, this process too.
    pub fn live(&self) -> impl Iterator<Item = &Identity> {
        self.swim.iter_members().map(Member::id).chain([self.own()])
    }

    /// Equal views have equal hashes: over who is there, in which life.
    pub fn hash(&self) -> u64 {
        self.bucket_sums().iter().fold(0, |sum: u64, bucket| sum.wrapping_add(*bucket))
    }

    /// Everyone, sorted by name: who is there, and who is gone for a while.
    pub fn members(&self, now: Micros) -> Vec<MemberInfo> {
        let mut seen: Vec<MemberInfo> = Vec::with_capacity(self.known.len() + 1);
        let facts = |identity: &Identity| self.facts_table.get(now, identity);
        let leaving = |f: &Option<(Facts, Micros)>| f.as_ref().is_some_and(|f| f.0.leaving);
        let own = facts(self.own());
        let phase = match (self.joined, leaving(&own)) {
            (_, true) => Phase::Leaving,
            (true, _) => Phase::Alive,
            (false, _) => Phase::Joining,
        };
        let identity = self.own().clone();
        seen.push(MemberInfo { identity, phase, since: self.started, displaced: false, facts: own });
        for member in self.swim.iter_membership_state() {
            let facts = facts(member.id());
            let phase = match member.state() {
                State::Down => Phase::Gone,
                State::Suspect => Phase::Suspect,
                State::Alive if leaving(&facts) => Phase::Leaving,
                State::Alive if facts.is_none() => Phase::Joining,
                State::Alive => Phase::Alive,
            };
            let since = self.known.get(&member.id().address).map_or(now, |k| k.since);
            seen.push(MemberInfo { identity: member.id().clone(), phase, since, displaced: false, facts });
        }
        seen.sort_by(|a, b| {
            let key = |s: &MemberInfo| {
                (s.identity.name.clone(), !s.is_live(), std::cmp::Reverse(name_precedence(&s.identity)))
            };
            key(a).cmp(&key(b))
        });
        // Of those under one name, the one that holds it is the first.
        for at in 1..seen.len() {
            let (before, this) = seen.split_at_mut(at);
            let same = before.last().is_some_and(|b| b.identity.name == this[0].identity.name && b.is_live());
            this[0].displaced = same && this[0].is_live();
        }
        seen
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Output>) {
        self.discount_lost_time(now);
        let effective = now - self.lost_time;
        match event {
            Event::Datagram(from, bytes) => {
                if let Err(reason) = self.on_datagram(now, effective, from, bytes, out) {
                    self.counters.count(reason);
                }
            }
            Event::Wake => {
                while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= effective) {
                    let due = entry.remove();
                    self.on_timer(now, effective, due, out);
                }
            }
            Event::OwnFacts(facts) => {
                self.facts = facts;
                self.facts.leaving |= self.leaving;
            }
            Event::Leave => {
                self.leaving = true;
                self.facts.leaving = true;
                let _ = self.swim.leave_cluster(&mut self.runtime);
            }
        }
        self.apply_runtime(now, effective, out);
    }

    /// Danger: a process that was stopped, or got no processor, finds all its deadlines past at once, and its
    /// own silence would be others' death. What it lost_time through is taken out of the time that counts.
    fn discount_lost_time(&mut self, now: Micros) {
        let Some(((due, _), _)) = self.timers.first_key_value() else { return };
        let late = (now - self.lost_time) - *due;
        if late > self.timing.max_lateness {
            self.lost_time = self.lost_time + late;
            self.counters.late_wakes += 1;
        }
    }

    fn schedule(&mut self, effective: Micros, after: Micros, due: TimerKind) {
        self.timer_seq += 1;
        self.timers.insert((effective + after, self.timer_seq), due);
    }

    /// A random part of a period.
    fn random_phase(&mut self, period: Micros) -> Micros {
        Micros(self.rng.random_range(0..=period.0))
    }

    /// A period, a quarter more or less.
    fn jittered(&mut self, period: Micros) -> Micros {
        period.scale(0.75) + self.random_phase(Micros(period.0 / 2))
    }

    fn encode(&self, effective: Micros, kind: Kind, body: &[u8]) -> Vec<u8> {
        wire::encode_datagram(&self.config.fleet, self.own(), kind, self.is_isolated(effective), body)
    }

    fn send(&mut self, effective: Micros, to: SocketAddr, kind: Kind, body: &[u8], out: &mut Vec<Output>) {
        let bytes = self.encode(effective, kind, body);
        // Danger: an answer must not go where an address in a datagram alone sent it.
        if bytes.len() > MAX_DATAGRAM_BYTES || !self.is_allowed(to) {
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        out.push(Output::Send(to, bytes));
    }

    fn is_allowed(&self, address: SocketAddr) -> bool {
        address.port() != 0 && self.config.prefixes.iter().any(|p| p.contains(&address.ip()))
    }

    /// Nobody joined for a while. Danger: whoever is cut off, if only one way, finds all others silent; its
    /// isolated_verdicts are not to be accepted, not by itself either once somebody is heard.
    fn is_isolated(&self, effective: Micros) -> bool {
        effective - self.last_answer > self.timing.isolation_timeout
    }

    fn find_entry(&self, address: SocketAddr) -> Option<&Member<Identity>> {
        self.swim.iter_membership_state().find(|m| m.id().address == address)
    }

    /// A live member, by random choice.
    fn random_member(&mut self) -> Option<SocketAddr> {
        let live: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().address).collect();
        live.choose(&mut self.rng).copied()
    }

    // ---- datagrams ----

    fn on_datagram(
        &mut self,
        now: Micros,
        effective: Micros,
        from: SocketAddr,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        if !self.config.prefixes.iter().any(|p| p.contains(&from.ip())) && !from.ip().is_loopback() {
            return Err(DropReason::OutsidePrefixes);
        }
        let Envelope { kind, isolated, sender, body } = wire::decode_datagram(&self.config.fleet, bytes)?;
        if kind == Kind::StatusRequest {
            return self.answer_status_request(now, from, body, out);
        }
        if !self.is_allowed(sender.address) || sender.name.is_empty() || !self.is_allowed(from) {
            return Err(DropReason::OutsidePrefixes);
        }
        if sender.address == self.own().address {
            return Err(DropReason::OwnAddress);
        }
        // Whoever is live stands in an index; the protocol's own table is searched for others alone.
        let live = self.known.get(&sender.address).filter(|k| k.live && k.identity == sender);
        let active = live.is_some();
        let known = if active { None } else { self.find_entry(sender.address).map(|m| m.id().clone()) };
        if !active && known.is_none() {
            self.make_room(0)?;
        }
        self.counters.received += 1;
        // One that was held to be gone while nobody joined talks: none of those isolated_verdicts is worth anything.
        if self.isolated_verdicts.contains(&sender) {
            self.retract_verdicts(effective, out);
        }
        if let Some(known) = &known {
            if foca::Identity::win_addr_conflict(known, &sender) {
                // A start with a clock that went back would never be heard: it is told what to be later than.
                let body = known.generation.to_be_bytes();
                self.send(effective, sender.address, Kind::Outdated, &body, out);
                return Ok(());
            }
        }
        match kind {
            Kind::Swim => {
                let (head, entries) = wire::decode_swim(body)?;
                if head.src != sender {
                    return Err(DropReason::Corrupt);
                }
                let announced = head.message == Message::Announce;
                if announced && !entries.is_empty() {
                    return Err(DropReason::Corrupt);
                }
                // Danger: the library tells whom it holds to be gone so, and that one would have to come back.
                if isolated && head.message == Message::TurnUndead {
                    return Ok(());
                }
                let answers =
                    matches!(head.message, Message::Ack(_) | Message::ForwardedAck { .. } | Message::Feed);
                if answers && head.dst.address == self.own().address {
                    self.last_answer = effective;
                }
                let all = entries.len();
                let entries = self.screen_entries(entries, &sender, isolated);
                let screened =
                    if entries.len() < all { Some(wire::encode_swim(&head, &entries)) } else { None };
                let _ = self.swim.handle_data(screened.as_deref().unwrap_or(body), &mut self.runtime);
            }
            Kind::Facts if active => {
                for record in wire::read_records(body)? {
                    self.merge_facts(now, record);
                }
            }
            Kind::Sync | Kind::SyncReply if active => {
                let theirs: [u64; BUCKETS] = wire::read_numbers(body)?;
                self.send_differing_entries(effective, sender.address, &theirs, out);
                if kind == Kind::Sync {
                    let sums = self.encode_sums();
                    self.send(effective, sender.address, Kind::SyncReply, &sums, out);
                }
            }
            Kind::Entries if active => {
                let mut rest = body;
                let entries = wire::read_entries(&mut rest)?;
                let entries = self.screen_entries(entries, &sender, isolated);
                let _ = self.swim.apply_many(entries.into_iter(), true, &mut self.runtime);
            }
            Kind::SuspectQuery if active => {
                let [generation, refutations] = wire::read_numbers(body)?;
                if generation == self.own().generation && !self.leaving {
                    let doubted = Member::new(self.own().clone(), refutations as u16, State::Suspect);
                    let _ = self.swim.apply_many([doubted].into_iter(), true, &mut self.runtime);
                    // Whoever doubts hears the refutation first: every message of this process carries it.
                    let _ = self.swim.announce(sender, &mut self.runtime);
                }
            }
            Kind::Outdated => {
                let [generation] = wire::read_numbers(body)?;
                if generation > self.own().generation && !self.leaving {
                    let next = self.own().with_generation_after(generation);
                    let _ = self.swim.change_identity(next, &mut self.runtime);
                    let _ = self.swim.announce(sender, &mut self.runtime);
                    out.push(Output::Notify(Notification::Rejoined(self.own().generation)));
                }
            }
            // From whom is not known, or no longer: SWIM tells it first.
            _ => {}
        }
        Ok(())
    }

    /// Makes room for one more address than are coming; who has been gone longest is forgotten first, who is there never.
    fn make_room(&mut self, coming: usize) -> Result<(), DropReason> {
        if self.swim.iter_membership_state().len() + coming < MAX_MEMBERS {
            return Ok(());
        }
        let since = |m: &Member<Identity>| self.known.get(&m.id().address).map_or(Micros(0), |k| k.since);
        let gone = self.swim.iter_membership_state().filter(|m| m.state() == State::Down);
        let oldest = gone.min_by_key(|m| since(m)).map(|m| m.id().clone()).ok_or(DropReason::TableFull)?;
        self.known.remove(&oldest.address);
        if let Some(key) = self.removal_timers.remove(&oldest.address) {
            self.timers.remove(&key);
        }
        let _ = self.swim.handle_timer(Timer::RemoveDown(oldest), &mut self.runtime);
        Ok(())
    }

    /// The entries that may be accepted: addresses under the prefixes, no more than the table holds, and no
    /// suspicions of one who may be cut off itself.
    fn screen_entries(
        &mut self,
        entries: Vec<Member<Identity>>,
        sender: &Identity,
        isolated: bool,
    ) -> Vec<Member<Identity>> {
        let full = self.swim.iter_membership_state().len() + entries.len() > MAX_MEMBERS;
        // Danger: the library bounds neither its members nor the news of them that wait to be passed on.
        let mut waiting = self.swim.updates_backlog();
        let mut coming = 0;
        let mut accepted = Vec::with_capacity(entries.len());
        for entry in entries {
            let (id, own) = (entry.id(), entry.id().address == self.own().address);
            if !self.is_allowed(id.address) || id.name.is_empty() {
                self.counters.count(DropReason::OutsidePrefixes);
                continue;
            }
            if isolated && entry.state() != State::Alive && id != sender {
                continue;
            }
            waiting += 1;
            if waiting > MAX_MEMBERS && !own && !self.known.contains_key(&id.address) {
                self.counters.count(DropReason::TableFull);
                continue;
            }
            if full && !own && !self.known.contains_key(&id.address) && self.find_entry(id.address).is_none()
            {
                if let Err(reason) = self.make_room(coming) {
                    self.counters.count(reason);
                    continue;
                }
                coming += 1;
            }
            accepted.push(entry);
        }
        accepted
    }

    /// Takes a record of facts in, of members that are known.
    fn merge_facts(&mut self, now: Micros, record: Record) {
        let known = self.known.get(&record.address);
        let lives = known.is_some_and(|k| k.live && k.identity.generation <= record.generation);
        if record.address != self.own().address && lives {
            self.facts_table.merge(now, record);
        }
    }

    /// Takes back what was held while nobody joined: whoever it is about counts as there again. The others
    /// need no new life for this process's mistake.
    fn retract_verdicts(&mut self, effective: Micros, out: &mut Vec<Output>) {
        let isolated_verdicts = std::mem::take(&mut self.isolated_verdicts);
        out.push(Output::Notify(Notification::VerdictsRetracted(isolated_verdicts.len())));
        let table: Vec<Member<Identity>> = self.swim.iter_membership_state().cloned().collect();
        self.config.own = self.own().clone();
        // The library has no way back for a member that is down; a new instance has.
        self.swim = new_swim(&self.config, &self.timing, &mut self.rng, self.transmissions);
        self.timers.retain(|_, due| !matches!(due, TimerKind::Swim(_) | TimerKind::QuerySuspect(..)));
        self.removal_timers.clear();
        let back =
            table.into_iter().map(|m| match isolated_verdicts.contains(m.id()) || m.state() != State::Down {
                true => Member::new(m.id().clone(), m.incarnation(), State::Alive),
                false => m,
            });
        let _ = self.swim.apply_many(back, false, &mut self.runtime);
        self.schedule(effective, Micros(0), TimerKind::Join);
    }

    // ---- sums over the view ----

    /// One sum a bucket, over who is there; equal views have equal sums.
    fn encode_sums(&self) -> Vec<u8> {
        self.bucket_sums().iter().flat_map(|s| s.to_be_bytes()).collect()
    }

    fn bucket_sums(&self) -> [u64; BUCKETS] {
        let mut sums = [0u64; BUCKETS];
        let live = self.known.values().filter(|k| k.live).map(|k| (k.bucket, k.hash));
        for (bucket, hash) in live.chain([(bucket_of(self.own().address), identity_hash(self.own()))]) {
            sums[bucket] = sums[bucket].wrapping_add(hash);
        }
        sums
    }

    /// Sends what is held of the buckets that differ: who is there, and who is known to be gone.
    fn send_differing_entries(
        &mut self,
        effective: Micros,
        to: SocketAddr,
        theirs: &[u64; BUCKETS],
        out: &mut Vec<Output>,
    ) {
        let own = self.bucket_sums();
        let differs: Vec<bool> = own.iter().zip(theirs).map(|(a, b)| a != b).collect();
        if differs.iter().all(|d| !d) {
            return;
        }
        let mut entries: Vec<Member<Identity>> = Vec::new();
        let this = Member::new(self.own().clone(), 0, State::Alive);
        for member in self.swim.iter_membership_state().chain([&this]) {
            if differs[bucket_of(member.id().address)] {
                entries.push(member.clone());
            }
        }
        // More than fits goes another time, from another place on.
        if !entries.is_empty() {
            let start = self.rng.random_range(0..entries.len());
            entries.rotate_left(start);
        }
        let mut rest = &entries[..];
        for _ in 0..MAX_SYNC_DATAGRAMS {
            let (body, taken) = wire::encode_entries(rest, MAX_BODY_BYTES);
            if taken == 0 {
                break;
            }
            rest = &rest[taken..];
            self.send(effective, to, Kind::Entries, &body, out);
        }
        // A difference was found: the next look comes sooner.
        let soon = self.random_phase(self.timing.gossip_period);
        self.timers.retain(|_, due| !matches!(due, TimerKind::Sync));
        self.schedule(effective, self.timing.gossip_period + soon, TimerKind::Sync);
    }

    // ---- what is due ----

    fn on_timer(&mut self, now: Micros, effective: Micros, due: TimerKind, out: &mut Vec<Output>) {
        match due {
            TimerKind::Swim(timer) => {
                if let Timer::RemoveDown(identity) = &timer {
                    self.removal_timers.remove(&identity.address);
                }
                let _ = self.swim.handle_timer(timer, &mut self.runtime);
            }
            TimerKind::Join => self.join(effective),
            TimerKind::Facts => {
                self.gossip_facts(now, effective, out);
                let after = self.jittered(self.timing.facts_period);
                self.schedule(effective, after, TimerKind::Facts);
            }
            TimerKind::Sync => {
                let after = self.jittered(self.timing.sync_period);
                self.schedule(effective, after, TimerKind::Sync);
                if let Some(to) = self.random_member().filter(|_| !self.leaving) {
                    let sums = self.encode_sums();
                    self.send(effective, to, Kind::Sync, &sums, out);
                }
            }
            TimerKind::Housekeeping => {
                self.housekeep(out);
                let after = self.jittered(self.timing.sync_period);
                self.schedule(effective, after, TimerKind::Housekeeping);
            }
            TimerKind::QuerySuspect(identity, refutations) => {
                self.query_suspect(effective, &identity, refutations, out)
            }
        }
    }

    /// Asks for the fleet: all seeds while alone, one of those not seen now and then, as a split may have left
    /// them on the other side and forgotten.
    fn join(&mut self, effective: Micros) {
        let alone = self.swim.num_members() == 0;
        let period =
            if alone { Micros(self.config.detection.0 / 6) } else { Micros(self.config.detection.0 * 2) };
        let after = self.jittered(period);
        self.schedule(effective, after, TimerKind::Join);
        if self.leaving {
            return;
        }
        let own = self.own().address;
        let live: BTreeSet<SocketAddr> = self.live().map(|i| i.address).collect();
        let mut ask: Vec<Identity> = self
            .config
            .seeds
            .iter()
            .filter(|s| !live.contains(s))
            .map(|s| Identity::from_address(*s))
            .collect();
        if alone {
            let gone = self.swim.iter_membership_state().filter(|m| m.state() == State::Down);
            ask.extend(gone.map(|m| m.id().clone()));
        }
        ask.retain(|i| i.address != own);
        let most = if alone { MAX_SEEDS_PER_JOIN } else { 1 };
        ask.shuffle(&mut self.rng);
        for identity in ask.into_iter().take(most) {
            let _ = self.swim.announce(identity, &mut self.runtime);
        }
    }

    fn gossip_facts(&mut self, now: Micros, effective: Micros, out: &mut Vec<Output>) {
        let own = self.own().clone();
        self.facts_table.publish(now, &own, &self.facts, Micros(self.config.detection.0 * 2));
        let size = self.swim.num_members() + 1;
        let most = FACTS_RETRANSMIT_MULTIPLIER * (usize::BITS - size.leading_zeros());
        let records =
            self.facts_table.records_to_send(now, MAX_BODY_BYTES, most.div_ceil(FACTS_FANOUT as u32));
        if records.is_empty() {
            return;
        }
        let mut body = Vec::with_capacity(MAX_BODY_BYTES);
        records.iter().for_each(|r| wire::put_record(&mut body, r));
        for _ in 0..FACTS_FANOUT {
            if let Some(to) = self.random_member() {
                self.send(effective, to, Kind::Facts, &body, out);
            }
        }
    }

    /// Asks a suspect directly, until it has refuted or is gone: gossip alone may be too slow either way.
    fn query_suspect(
        &mut self,
        effective: Micros,
        identity: &Identity,
        refutations: u16,
        out: &mut Vec<Output>,
    ) {
        let still = self.find_entry(identity.address).is_some_and(|m| {
            m.id() == identity && m.state() == State::Suspect && m.incarnation() == refutations
        });
        if !still {
            return;
        }
        let body: Vec<u8> =
            [identity.generation, u64::from(refutations)].iter().flat_map(|n| n.to_be_bytes()).collect();
        self.send(effective, identity.address, Kind::SuspectQuery, &body, out);
        self.schedule(
            effective,
            Micros(self.timing.suspicion_timeout.0 / 6),
            TimerKind::QuerySuspect(identity.clone(), refutations),
        );
    }

    /// Looks after what no event brings up.
    fn housekeep(&mut self, out: &mut Vec<Output>) {
        let size = self.swim.num_members() as u32 + 1;
        // As memberlist has it: four times the decimal logarithm of the size.
        let times = (4.0 * f64::from(size + 1).log10()).ceil().clamp(4.0, 24.0) as u8;
        if times != self.transmissions {
            self.transmissions = times;
            let _ = self.swim.set_config(foca_config(&self.timing, times));
        }
        let own = self.own().clone();
        let others = self.swim.iter_members().map(Member::id).filter(|i| i.name == own.name);
        let others: Vec<Identity> = others.cloned().collect();
        for other in others {
            if self.reported_duplicates.len() < MAX_REPORTED_DUPLICATES
                && self.reported_duplicates.insert(other.clone())
            {
                let ours = name_precedence(&own) > name_precedence(&other);
                out.push(Output::Notify(Notification::DuplicateName(other, ours)));
            }
        }
        let table: BTreeSet<SocketAddr> =
            self.swim.iter_membership_state().map(|m| m.id().address).chain([own.address]).collect();
        self.known.retain(|a, _| table.contains(a));
        self.isolated_verdicts
            .retain(|i| self.known.get(&i.address).is_some_and(|k| k.identity == *i && !k.live));
        self.facts_table.retain(|a| table.contains(a));
    }

    /// Does what the protocol's library said is to be done.
    fn apply_runtime(&mut self, now: Micros, effective: Micros, out: &mut Vec<Output>) {
        while let Some((to, body)) = self.runtime.to_send() {
            self.send(effective, to.address, Kind::Swim, &body, out);
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            let after = Micros(after.as_micros() as u64);
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                self.counters.suspected += 1;
                let doubt = TimerKind::QuerySuspect(member_id.clone(), *incarnation);
                self.schedule(effective, Micros(0), doubt);
            }
            let forgets = match &timer {
                Timer::RemoveDown(identity) => Some(identity.address),
                _ => None,
            };
            self.schedule(effective, after, TimerKind::Swim(timer));
            let key = (effective + after, self.timer_seq);
            if let Some(before) = forgets.and_then(|address| self.removal_timers.insert(address, key)) {
                self.timers.remove(&before);
            }
        }
        while let Some(note) = self.runtime.to_notify() {
            match note {
                OwnedNotification::MemberUp(identity) => self.set_liveness(now, identity, true, out),
                OwnedNotification::MemberDown(identity) => {
                    if self.is_isolated(effective) && self.isolated_verdicts.len() < MAX_MEMBERS {
                        self.isolated_verdicts.insert(identity.clone());
                    }
                    self.set_liveness(now, identity, false, out);
                }
                OwnedNotification::Rename(_, identity) => {
                    if let Some(known) = self.known.get_mut(&identity.address) {
                        known.hash = identity_hash(&identity);
                        known.identity = identity;
                    }
                }
                OwnedNotification::Active => self.joined = true,
                OwnedNotification::Rejoin(identity) => {
                    self.config.own = identity.clone();
                    out.push(Output::Notify(Notification::Rejoined(identity.generation)));
                }
                OwnedNotification::Idle | OwnedNotification::Defunct => {}
            }
        }
    }

    fn set_liveness(&mut self, now: Micros, identity: Identity, live: bool, out: &mut Vec<Output>) {
        let before = self.known.get(&identity.address);
        if before.is_some_and(|k| k.live == live && k.identity == identity) {
            return;
        }
        out.push(Output::Notify(if live {
            Notification::MemberUp(identity.clone())
        } else {
            Notification::MemberDown(identity.clone())
        }));
        let (hash, bucket) = (identity_hash(&identity), bucket_of(identity.address));
        self.known.insert(identity.address, KnownMember { identity, live, since: now, hash, bucket });
    }

    // ---- operators ----

    /// Answers an operator on this machine, a page at a time.
    fn answer_status_request(
        &mut self,
        now: Micros,
        from: SocketAddr,
        body: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        let ip = from.ip();
        // Danger: this is the one answer that goes to where a datagram came from.
        let here = ip.is_loopback() || ip == self.own().address.ip();
        if !here {
            return Err(DropReason::OutsidePrefixes);
        }
        let [nonce, page] = wire::read_numbers(body)?;
        let fresh =
            self.status_cache.as_ref().is_some_and(|s| s.nonce == nonce && now - s.at < STATUS_CACHE_TTL);
        if !fresh {
            let text = super::show::render_json(self, now);
            self.status_cache = Some(StatusCache { nonce, at: now, text });
        }
        let text = self.status_cache.as_ref().map_or("", |s| &s.text);
        let body = super::show::encode_page(nonce, page, text.as_bytes(), MAX_BODY_BYTES);
        let bytes = wire::encode_datagram(&self.config.fleet, self.own(), Kind::StatusPage, false, &body);
        out.push(Output::Send(from, bytes));
        Ok(())
    }
}

/// Which of two under one name holds it: the one that started later.
fn name_precedence(identity: &Identity) -> (u64, SocketAddr) {
    (identity.generation, identity.address)
}

/// A hash that all processes agree on (FNV-1a, mixed).
fn hash_bytes(bytes: &[u8]) -> u64 {
    let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3);
    let h = bytes.iter().fold(0xcbf2_9ce4_8422_2325, step);
    (h ^ (h >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn identity_hash(identity: &Identity) -> u64 {
    let mut bytes = Vec::with_capacity(96);
    wire::put_member(&mut bytes, &Member::new(identity.clone(), 0, State::Alive));
    hash_bytes(&bytes)
}

/// In which sum an address counts: the same for all its lives, so that an old one's place is looked at too.
fn bucket_of(address: SocketAddr) -> usize {
    let mut bytes = Vec::with_capacity(19);
    wire::put_address(&mut bytes, address);
    (hash_bytes(&bytes) >> 32) as usize % BUCKETS
}

fn foca_config(timing: &Timing, transmissions: u8) -> foca::Config {
    let span = |m: Micros| Duration::from_micros(m.0);
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let each = |frequency: Micros, members: usize| {
        Some(foca::PeriodicParams { frequency: span(frequency), num_members: some(members) })
    };
    foca::Config {
        probe_period: span(timing.probe_period),
        probe_rtt: span(timing.probe_timeout),
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: span(timing.suspicion_timeout),
        remove_down_after: Some(DOWN_MEMBER_TTL),
        max_packet_size: some(MAX_BODY_BYTES),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: each(timing.sync_period, 1),
        periodic_gossip: each(timing.gossip_period, 3),
    }
}

fn new_swim(config: &ViewConfig, timing: &Timing, rng: &mut StdRng, transmissions: u8) -> Swim {
    let own = StdRng::seed_from_u64(rng.random());
    Foca::new(config.own.clone(), foca_config(timing, transmissions), own, WireCodec)
}
