//! The membership view: a state machine without I/O or clocks, driven by `handle(now, event, &mut out)`.
//!
//! The protocol is SWIM as implemented by the library foca. This module adds direct queries to suspected members,
//! compensation for time during which this process did not run, distrust of its own verdicts while it is isolated,
//! anti-entropy between views, dissemination of facts at a bounded cost, and a bound for every table.

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

/// Maximum number of addresses in the member table, live and down. Needed because any host under the prefixes can
/// invent members.
pub const MAX_MEMBERS: usize = 4_096;
/// Maximum length of a body, which leaves room for an envelope with the longest names.
const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - 172;
/// How long a member that is down is remembered, so that a late rumour does not bring it back.
const DOWN_MEMBER_TTL: Duration = Duration::from_secs(1_800);
/// Maximum number of seeds and former members that are contacted in one attempt to join.
const MAX_SEEDS_PER_JOIN: usize = 8;
/// Number of address buckets, each with one hash sum, by which two views are compared.
const BUCKETS: usize = 32;
/// Maximum number of [`Kind::Entries`] datagrams sent in reply to one message of sums.
const MAX_SYNC_DATAGRAMS: usize = 4;
/// Number of members that each round of facts is sent to.
const FACTS_FANOUT: usize = 2;
/// A new record is sent this many times the binary logarithm of the fleet's size.
const FACTS_RETRANSMIT_MULTIPLIER: u32 = 3;
/// How long a rendered status report is kept while an operator's tool fetches its pages.
const STATUS_CACHE_TTL: Micros = Micros(5_000_000);
/// Maximum number of other processes with this one's name that are reported, each once.
const MAX_REPORTED_DUPLICATES: usize = 64;

/// Configuration of a view.
#[derive(Clone, Debug)]
pub struct ViewConfig {
    /// The fleet's name. Datagrams of other fleets are dropped.
    pub fleet: String,
    /// The identity of this process.
    pub own: Identity,
    /// Addresses that are contacted to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Addresses outside these prefixes are neither listened to nor accepted as members.
    pub prefixes: Vec<IpNet>,
    /// Approximate time within which most members detect a crash.
    pub detection: Micros,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Periods and timeouts derived from the detection time.
#[derive(Clone, Copy, Debug)]
struct Timing {
    probe_period: Micros,
    probe_timeout: Micros,
    suspicion_timeout: Micros,
    gossip_period: Micros,
    facts_period: Micros,
    sync_period: Micros,
    /// Without an answer for this long, this process may itself be cut off, in one direction or both.
    isolation_timeout: Micros,
    /// If a timer fires later than this, the process is taken to have been suspended.
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

/// An input of the view.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A datagram and its source address.
    Datagram(SocketAddr, &'a [u8]),
    /// The time given by [`View::next_wake`] has come. Pending datagrams must be handed in first.
    Wake,
    /// The current facts of this process.
    OwnFacts(Facts),
    /// The process is shutting down as planned.
    Leave,
}

/// An output of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Something to log.
    Notify(Notification),
}

/// A change that is worth logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A member is up.
    MemberUp(Identity),
    /// A member is down.
    MemberDown(Identity),
    /// Others had declared this process down, or knew a later generation of it, and it has rejoined under the given
    /// generation.
    Rejoined(u64),
    /// This process received no answer for a while. The members that it declared down during that time, of the given
    /// number, count as alive again.
    VerdictsRetracted(usize),
    /// Another process has the same name. The flag tells whether this process owns the name, because it started
    /// later.
    DuplicateName(Identity, bool),
}

/// Counters of datagrams and other events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received whose envelope and sender were accepted.
    pub received: u64,
    /// Dropped: too long.
    pub too_long: u64,
    /// Dropped: of another protocol or fleet.
    pub foreign: u64,
    /// Dropped: wrong checksum or length.
    pub corrupt: u64,
    /// Dropped: requires a reader of a later version.
    pub unsupported_version: u64,
    /// Dropped: from or about an address outside the prefixes.
    pub outside_prefixes: u64,
    /// Dropped: no room in the tables.
    pub table_full: u64,
    /// Dropped: the sender address is that of this process.
    pub own_address: u64,
    /// Suspicions raised by this process.
    pub suspected: u64,
    /// Wakes that came too late. The time lost does not count against other members.
    pub late_wakes: u64,
}

impl Counters {
    /// Number of datagrams and entries that were dropped.
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

/// State of a member, as seen by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Its facts have not arrived yet. For this process itself: no member has answered yet.
    Joining,
    /// Alive.
    Alive,
    /// It did not answer a probe. It still counts as live.
    Suspect,
    /// It announced that it is about to shut down.
    Leaving,
    /// It left or was declared down.
    Gone,
}

/// One member, as seen by this process.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberInfo {
    /// The member's identity.
    pub identity: Identity,
    /// The member's state.
    pub phase: Phase,
    /// Time of the last change between live and down.
    pub since: Micros,
    /// Another process with the same name started later and owns the name.
    pub displaced: bool,
    /// The member's facts and their age.
    pub facts: Option<(Facts, Micros)>,
}

impl MemberInfo {
    /// Whether the member counts as live.
    pub fn is_live(&self) -> bool {
        self.phase != Phase::Gone
    }
}

/// What to do when a timer fires.
#[derive(Clone, Debug)]
enum TimerKind {
    Swim(Timer<Identity>),
    Join,
    Facts,
    Sync,
    Housekeeping,
    QuerySuspect(Identity, u16),
}

/// A member that was reported up or down.
#[derive(Clone, Debug)]
struct KnownMember {
    identity: Identity,
    live: bool,
    since: Micros,
    /// Cached hash of the identity: the sums over hundreds of members are computed many times a second.
    hash: u64,
    bucket: usize,
}

/// The report of the last status request, kept while its pages are fetched.
struct StatusCache {
    nonce: u64,
    at: Micros,
    text: String,
}

type Swim = Foca<Identity, WireCodec, StdRng, NoCustomBroadcast>;

/// The membership view of one process.
pub struct View {
    config: ViewConfig,
    timing: Timing,
    swim: Swim,
    runtime: AccumulatingRuntime<Identity>,
    rng: StdRng,
    /// Pending timers in effective time, which is the clock less `lost_time`.
    timers: BTreeMap<(Micros, u64), TimerKind>,
    timer_seq: u64,
    /// The timer that removes each down member, at most one an address, so that a flood of generations cannot fill
    /// `timers`.
    removal_timers: BTreeMap<SocketAddr, (Micros, u64)>,
    lost_time: Micros,
    started: Micros,
    /// Every member that was reported up or down, until the protocol removed it.
    known: BTreeMap<SocketAddr, KnownMember>,
    facts_table: FactsTable,
    facts: Facts,
    joined: bool,
    leaving: bool,
    /// When a member last answered this process, in effective time.
    last_answer: Micros,
    /// Members that were declared down while this process was isolated.
    isolated_verdicts: BTreeSet<Identity>,
    reported_duplicates: BTreeSet<Identity>,
    status_cache: Option<StatusCache>,
    counters: Counters,
    transmissions: u8,
}

impl View {
    /// Creates a view that contains only this process.
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
        // Each period starts at a random phase, so that hundreds of processes that start at once do not send at once.
        for (period, kind) in [
            (view.timing.gossip_period, TimerKind::Join),
            (view.timing.facts_period, TimerKind::Facts),
            (view.timing.sync_period, TimerKind::Sync),
            (view.timing.sync_period, TimerKind::Housekeeping),
        ] {
            let after = view.random_phase(period);
            view.schedule(now, after, kind);
        }
        view
    }

    /// When [`Event::Wake`] is due.
    pub fn next_wake(&self) -> Micros {
        self.timers.first_key_value().map_or(Micros(u64::MAX), |((due, _), _)| *due + self.lost_time)
    }

    /// The current identity of this process.
    pub fn own(&self) -> &Identity {
        self.swim.identity()
    }

    /// The fleet's name.
    pub fn fleet(&self) -> &str {
        &self.config.fleet
    }

    /// The counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Size of the largest table: members, facts, timers, or updates that wait to be gossiped.
    pub fn largest_table(&self) -> usize {
        let tables =
            [self.facts_table.len(), self.known.len(), self.timers.len(), self.swim.updates_backlog()];
        tables.into_iter().fold(self.swim.iter_membership_state().len(), usize::max)
    }

    /// All live members, including this process.
    pub fn live(&self) -> impl Iterator<Item = &Identity> {
        self.swim.iter_members().map(Member::id).chain([self.own()])
    }

    /// Hash over the identities of all live members. Equal views have equal hashes.
    pub fn hash(&self) -> u64 {
        self.bucket_sums().iter().fold(0, |sum: u64, bucket| sum.wrapping_add(*bucket))
    }

    /// All members, live and recently down, sorted by name.
    pub fn members(&self, now: Micros) -> Vec<MemberInfo> {
        let mut members: Vec<MemberInfo> = Vec::with_capacity(self.known.len() + 1);
        let facts = |identity: &Identity| self.facts_table.get(now, identity);
        let leaving = |f: &Option<(Facts, Micros)>| f.as_ref().is_some_and(|f| f.0.leaving);
        let own = facts(self.own());
        let phase = match (self.joined, leaving(&own)) {
            (_, true) => Phase::Leaving,
            (true, _) => Phase::Alive,
            (false, _) => Phase::Joining,
        };
        let identity = self.own().clone();
        members.push(MemberInfo { identity, phase, since: self.started, displaced: false, facts: own });
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
            members.push(MemberInfo { identity: member.id().clone(), phase, since, displaced: false, facts });
        }
        members.sort_by(|a, b| {
            let key = |s: &MemberInfo| {
                (s.identity.name.clone(), !s.is_live(), std::cmp::Reverse(name_precedence(&s.identity)))
            };
            key(a).cmp(&key(b))
        });
        // Among members with the same name, the one that owns it sorts first.
        for at in 1..members.len() {
            let (before, this) = members.split_at_mut(at);
            let same = before.last().is_some_and(|b| b.identity.name == this[0].identity.name && b.is_live());
            this[0].displaced = same && this[0].is_live();
        }
        members
    }

    /// Handles one event.
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
                    let kind = entry.remove();
                    self.on_timer(now, effective, kind, out);
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

    /// Subtracts the time during which this process was suspended or starved. Otherwise all its deadlines would have
    /// passed at once, and it would declare other members down because of its own silence.
    fn discount_lost_time(&mut self, now: Micros) {
        let Some(((due, _), _)) = self.timers.first_key_value() else { return };
        let late = (now - self.lost_time) - *due;
        if late > self.timing.max_lateness {
            self.lost_time = self.lost_time + late;
            self.counters.late_wakes += 1;
        }
    }

    fn schedule(&mut self, effective: Micros, after: Micros, kind: TimerKind) {
        self.timer_seq += 1;
        self.timers.insert((effective + after, self.timer_seq), kind);
    }

    /// A random fraction of a period.
    fn random_phase(&mut self, period: Micros) -> Micros {
        Micros(self.rng.random_range(0..=period.0))
    }

    /// A period with a random variation of up to a quarter in either direction.
    fn jittered(&mut self, period: Micros) -> Micros {
        period.scale(0.75) + self.random_phase(Micros(period.0 / 2))
    }

    fn encode(&self, effective: Micros, kind: Kind, body: &[u8]) -> Vec<u8> {
        wire::encode_datagram(&self.config.fleet, self.own(), kind, self.is_isolated(effective), body)
    }

    fn send(&mut self, effective: Micros, to: SocketAddr, kind: Kind, body: &[u8], out: &mut Vec<Output>) {
        let bytes = self.encode(effective, kind, body);
        // The address may come from a datagram, so that it is checked: nobody outside the prefixes may be sent
        // anything.
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

    /// Whether no member has answered for a while. A process that is cut off, even in one direction only, finds all
    /// others silent. Other members must ignore its verdicts, and so must it once it hears from one of them again.
    fn is_isolated(&self, effective: Micros) -> bool {
        effective - self.last_answer > self.timing.isolation_timeout
    }

    fn find_entry(&self, address: SocketAddr) -> Option<&Member<Identity>> {
        self.swim.iter_membership_state().find(|m| m.id().address == address)
    }

    /// A random live member.
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
        // Live members are found in `known`. The protocol's own table is searched linearly, only for other senders.
        let live = self.known.get(&sender.address).filter(|k| k.live && k.identity == sender);
        let active = live.is_some();
        let known = if active { None } else { self.find_entry(sender.address).map(|m| m.id().clone()) };
        if !active && known.is_none() {
            self.make_room(0)?;
        }
        self.counters.received += 1;
        // A member that was declared down during isolation is sending, so none of the verdicts of that time can be
        // trusted.
        if self.isolated_verdicts.contains(&sender) {
            self.retract_verdicts(effective, out);
        }
        if let Some(known) = &known {
            if foca::Identity::win_addr_conflict(known, &sender) {
                // After a restart with a clock that was set back, the sender would be ignored for ever. It is told
                // which generation to exceed.
                let body = known.generation.to_be_bytes();
                self.send(effective, sender.address, Kind::Outdated, &body, out);
                return Ok(());
            }
        }
        match kind {
            Kind::Swim => {
                let (header, entries) = wire::decode_swim(body)?;
                if header.src != sender {
                    return Err(DropReason::Corrupt);
                }
                let is_announce = header.message == Message::Announce;
                if is_announce && !entries.is_empty() {
                    return Err(DropReason::Corrupt);
                }
                // The library sends this message to members that it considers down. A receiver would rejoin under a
                // new generation, so the message is ignored if the sender is isolated.
                if isolated && header.message == Message::TurnUndead {
                    return Ok(());
                }
                let is_answer =
                    matches!(header.message, Message::Ack(_) | Message::ForwardedAck { .. } | Message::Feed);
                if is_answer && header.dst.address == self.own().address {
                    self.last_answer = effective;
                }
                let total = entries.len();
                let entries = self.screen_entries(entries, &sender, isolated);
                let screened =
                    if entries.len() < total { Some(wire::encode_swim(&header, &entries)) } else { None };
                let _ = self.swim.handle_data(screened.as_deref().unwrap_or(body), &mut self.runtime);
            }
            Kind::Facts if active => {
                for record in wire::read_records(body)? {
                    self.merge_facts(now, record);
                }
            }
            Kind::Sync | Kind::SyncReply if active => {
                let peer_sums: [u64; BUCKETS] = wire::read_numbers(body)?;
                self.send_differing_entries(effective, sender.address, &peer_sums, out);
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
                    let suspect = Member::new(self.own().clone(), refutations as u16, State::Suspect);
                    let _ = self.swim.apply_many([suspect].into_iter(), true, &mut self.runtime);
                    // Every message of this process carries the refutation, so this one delivers it to the sender at
                    // once.
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
            // The sender is not an active member yet, or no longer one. It has to join by SWIM first.
            _ => {}
        }
        Ok(())
    }

    /// Makes room for one address beyond the `incoming` ones. Evicts the member that has been down longest, never a
    /// live one.
    fn make_room(&mut self, incoming: usize) -> Result<(), DropReason> {
        if self.swim.iter_membership_state().len() + incoming < MAX_MEMBERS {
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

    /// Returns the entries that may be applied: only addresses under the prefixes, no more than the table holds, and
    /// no suspicions raised by a sender that may be cut off itself.
    fn screen_entries(
        &mut self,
        entries: Vec<Member<Identity>>,
        sender: &Identity,
        isolated: bool,
    ) -> Vec<Member<Identity>> {
        let full = self.swim.iter_membership_state().len() + entries.len() > MAX_MEMBERS;
        // The library bounds neither its member table nor its backlog of updates.
        let mut backlog = self.swim.updates_backlog();
        let mut incoming = 0;
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
            backlog += 1;
            if backlog > MAX_MEMBERS && !own && !self.known.contains_key(&id.address) {
                self.counters.count(DropReason::TableFull);
                continue;
            }
            if full && !own && !self.known.contains_key(&id.address) && self.find_entry(id.address).is_none()
            {
                if let Err(reason) = self.make_room(incoming) {
                    self.counters.count(reason);
                    continue;
                }
                incoming += 1;
            }
            accepted.push(entry);
        }
        accepted
    }

    /// Merges a record of facts if its member is known to be live.
    fn merge_facts(&mut self, now: Micros, record: Record) {
        let known = self.known.get(&record.address);
        let is_current = known.is_some_and(|k| k.live && k.identity.generation <= record.generation);
        if record.address != self.own().address && is_current {
            self.facts_table.merge(now, record);
        }
    }

    /// Retracts what was declared during isolation: the members concerned count as alive again. They must not have to
    /// rejoin under a new generation because of this process's mistake.
    fn retract_verdicts(&mut self, effective: Micros, out: &mut Vec<Output>) {
        let verdicts = std::mem::take(&mut self.isolated_verdicts);
        out.push(Output::Notify(Notification::VerdictsRetracted(verdicts.len())));
        let table: Vec<Member<Identity>> = self.swim.iter_membership_state().cloned().collect();
        self.config.own = self.own().clone();
        // The library cannot revive a member that is down, so a new instance replaces it.
        self.swim = new_swim(&self.config, &self.timing, &mut self.rng, self.transmissions);
        self.timers.retain(|_, kind| !matches!(kind, TimerKind::Swim(_) | TimerKind::QuerySuspect(..)));
        self.removal_timers.clear();
        let restored =
            table.into_iter().map(|m| match verdicts.contains(m.id()) || m.state() != State::Down {
                true => Member::new(m.id().clone(), m.incarnation(), State::Alive),
                false => m,
            });
        let _ = self.swim.apply_many(restored, false, &mut self.runtime);
        self.schedule(effective, Micros(0), TimerKind::Join);
    }

    // ---- anti-entropy ----

    /// Encodes the hash sums of all buckets. Equal views have equal sums.
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

    /// Sends the entries of the buckets that differ, of live and of down members.
    fn send_differing_entries(
        &mut self,
        effective: Micros,
        to: SocketAddr,
        peer_sums: &[u64; BUCKETS],
        out: &mut Vec<Output>,
    ) {
        let own_sums = self.bucket_sums();
        let differs: Vec<bool> = own_sums.iter().zip(peer_sums).map(|(a, b)| a != b).collect();
        if differs.iter().all(|d| !d) {
            return;
        }
        let mut entries: Vec<Member<Identity>> = Vec::new();
        let own_entry = Member::new(self.own().clone(), 0, State::Alive);
        for member in self.swim.iter_membership_state().chain([&own_entry]) {
            if differs[bucket_of(member.id().address)] {
                entries.push(member.clone());
            }
        }
        // If not all entries fit, the random start makes a later reply cover the rest.
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
        // The views differ, so the next comparison comes sooner.
        let delay = self.random_phase(self.timing.gossip_period);
        self.timers.retain(|_, kind| !matches!(kind, TimerKind::Sync));
        self.schedule(effective, self.timing.gossip_period + delay, TimerKind::Sync);
    }

    // ---- timers ----

    fn on_timer(&mut self, now: Micros, effective: Micros, kind: TimerKind, out: &mut Vec<Output>) {
        match kind {
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

    /// Contacts other processes to join the fleet: seeds and down members while alone. Otherwise one seed that is not
    /// a live member, since a network split may have left it on the other side and removed it from the table.
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
        let mut targets: Vec<Identity> = self
            .config
            .seeds
            .iter()
            .filter(|s| !live.contains(s))
            .map(|s| Identity::from_address(*s))
            .collect();
        if alone {
            let gone = self.swim.iter_membership_state().filter(|m| m.state() == State::Down);
            targets.extend(gone.map(|m| m.id().clone()));
        }
        targets.retain(|i| i.address != own);
        let limit = if alone { MAX_SEEDS_PER_JOIN } else { 1 };
        targets.shuffle(&mut self.rng);
        for identity in targets.into_iter().take(limit) {
            let _ = self.swim.announce(identity, &mut self.runtime);
        }
    }

    fn gossip_facts(&mut self, now: Micros, effective: Micros, out: &mut Vec<Output>) {
        let own = self.own().clone();
        self.facts_table.publish(now, &own, &self.facts, Micros(self.config.detection.0 * 2));
        let size = self.swim.num_members() + 1;
        let max_sends = FACTS_RETRANSMIT_MULTIPLIER * (usize::BITS - size.leading_zeros());
        let records =
            self.facts_table.records_to_send(now, MAX_BODY_BYTES, max_sends.div_ceil(FACTS_FANOUT as u32));
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

    /// Queries a suspected member directly until it refutes or is declared down, since gossip may be too slow to
    /// deliver the suspicion or the refutation in time.
    fn query_suspect(
        &mut self,
        effective: Micros,
        identity: &Identity,
        refutations: u16,
        out: &mut Vec<Output>,
    ) {
        let still_suspected = self.find_entry(identity.address).is_some_and(|m| {
            m.id() == identity && m.state() == State::Suspect && m.incarnation() == refutations
        });
        if !still_suspected {
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

    /// Periodic maintenance of what no event triggers.
    fn housekeep(&mut self, out: &mut Vec<Output>) {
        let size = self.swim.num_members() as u32 + 1;
        // The same formula as in HashiCorp memberlist: four times the decimal logarithm of the size.
        let transmissions = (4.0 * f64::from(size + 1).log10()).ceil().clamp(4.0, 24.0) as u8;
        if transmissions != self.transmissions {
            self.transmissions = transmissions;
            let _ = self.swim.set_config(foca_config(&self.timing, transmissions));
        }
        let own = self.own().clone();
        let others = self.swim.iter_members().map(Member::id).filter(|i| i.name == own.name);
        let others: Vec<Identity> = others.cloned().collect();
        for other in others {
            if self.reported_duplicates.len() < MAX_REPORTED_DUPLICATES
                && self.reported_duplicates.insert(other.clone())
            {
                let owns_name = name_precedence(&own) > name_precedence(&other);
                out.push(Output::Notify(Notification::DuplicateName(other, owns_name)));
            }
        }
        let table: BTreeSet<SocketAddr> =
            self.swim.iter_membership_state().map(|m| m.id().address).chain([own.address]).collect();
        self.known.retain(|a, _| table.contains(a));
        self.isolated_verdicts
            .retain(|i| self.known.get(&i.address).is_some_and(|k| k.identity == *i && !k.live));
        self.facts_table.retain(|a| table.contains(a));
    }

    /// Applies the outputs of the SWIM library: datagrams, timers and notifications.
    fn apply_runtime(&mut self, now: Micros, effective: Micros, out: &mut Vec<Output>) {
        while let Some((to, body)) = self.runtime.to_send() {
            self.send(effective, to.address, Kind::Swim, &body, out);
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            let after = Micros(after.as_micros() as u64);
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                self.counters.suspected += 1;
                let query = TimerKind::QuerySuspect(member_id.clone(), *incarnation);
                self.schedule(effective, Micros(0), query);
            }
            let removed = match &timer {
                Timer::RemoveDown(identity) => Some(identity.address),
                _ => None,
            };
            self.schedule(effective, after, TimerKind::Swim(timer));
            let key = (effective + after, self.timer_seq);
            if let Some(before) = removed.and_then(|address| self.removal_timers.insert(address, key)) {
                self.timers.remove(&before);
            }
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
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

    // ---- status requests ----

    /// Answers a status request from this machine with one page of the report.
    fn answer_status_request(
        &mut self,
        now: Micros,
        from: SocketAddr,
        body: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        let ip = from.ip();
        // This is the only reply that goes to the source address of a datagram, which can be forged, so only local
        // addresses get one.
        let is_local = ip.is_loopback() || ip == self.own().address.ip();
        if !is_local {
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

/// The order of processes with the same name: the highest, which started last, owns the name.
fn name_precedence(identity: &Identity) -> (u64, SocketAddr) {
    (identity.generation, identity.address)
}

/// A hash that is the same in all processes (FNV-1a with a final mixing step).
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

/// The bucket of an address. It does not depend on the generation, so that a stale identity is found in the same
/// bucket.
fn bucket_of(address: SocketAddr) -> usize {
    let mut bytes = Vec::with_capacity(19);
    wire::put_address(&mut bytes, address);
    (hash_bytes(&bytes) >> 32) as usize % BUCKETS
}

fn foca_config(timing: &Timing, transmissions: u8) -> foca::Config {
    let duration = |m: Micros| Duration::from_micros(m.0);
    let non_zero = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let periodic = |frequency: Micros, members: usize| {
        Some(foca::PeriodicParams { frequency: duration(frequency), num_members: non_zero(members) })
    };
    foca::Config {
        probe_period: duration(timing.probe_period),
        probe_rtt: duration(timing.probe_timeout),
        num_indirect_probes: non_zero(3),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: duration(timing.suspicion_timeout),
        remove_down_after: Some(DOWN_MEMBER_TTL),
        max_packet_size: non_zero(MAX_BODY_BYTES),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: periodic(timing.sync_period, 1),
        periodic_gossip: periodic(timing.gossip_period, 3),
    }
}

fn new_swim(config: &ViewConfig, timing: &Timing, rng: &mut StdRng, transmissions: u8) -> Swim {
    let own = StdRng::seed_from_u64(rng.random());
    Foca::new(config.own.clone(), foca_config(timing, transmissions), own, WireCodec)
}
