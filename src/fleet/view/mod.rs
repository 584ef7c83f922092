//! Who is in the fleet: a machine without I/O and clocks, `handle(now, event, &mut out)`.
//!
//! The protocol is SWIM by the library foca. What it lacks stands here: suspects are asked directly, time that
//! this process slept through counts for nobody's death, who hears nothing doubts itself, views that differ are
//! found and mended, facts are passed on at a fixed cost, and every table has a bound (docs/VIEW.md).

pub mod facts;

use super::wire::{self, Envelope, Form, Identity, Kind, Record, Refused, DATAGRAM_MOST};
use crate::interface::Micros;
use facts::{Book, Facts};
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
pub const MEMBERS_MOST: usize = 4_096;
/// The longest body, whatever the names in its envelope.
const BODY_MOST: usize = DATAGRAM_MOST - 172;
/// Who is gone stays known for so long, so that a late rumour does not bring it back.
const GONE_KEPT: Duration = Duration::from_secs(1_800);
/// Seeds that are asked at a time.
const SEEDS_EACH: usize = 8;
/// Sums over a view: one a bucket of addresses.
const BUCKETS: usize = 32;
/// Datagrams of entries that answer one message of sums.
const PAGES: usize = 4;
/// Members that facts are passed on to at a time.
const FACTS_TO: usize = 2;
/// Records that are new are passed on so often, times the logarithm of the fleet's size.
const FACTS_TIMES: u32 = 3;
/// Pages of an operator's answer that are kept while it asks for them.
const SHOWN_KEPT: Micros = Micros(5_000_000);
/// Notes that were said once about others under the own name.
const NAMED_MOST: usize = 64;

/// What a view starts from.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The fleet's name; datagrams of others are not heard.
    pub fleet: String,
    /// This process.
    pub own: Identity,
    /// Addresses that are asked for the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Addresses outside of these are neither heard nor believed in.
    pub prefixes: Vec<IpNet>,
    /// Within about this a crash is known to most.
    pub detection: Micros,
    /// For random choices.
    pub seed: u64,
}

/// The lengths of time that follow from the detection time.
#[derive(Clone, Copy, Debug)]
struct Pace {
    probe: Micros,
    answer: Micros,
    suspicion: Micros,
    gossip: Micros,
    facts: Micros,
    sync: Micros,
    /// No answer for so long: it may be this process that is cut off, one way or both.
    alone: Micros,
    /// A wake that is later than this was slept through.
    late: Micros,
}

impl Pace {
    fn of(detection: Micros) -> Pace {
        let part = |n: u64| Micros((detection.0 / n).max(1_000));
        Pace {
            probe: part(12),
            answer: part(30),
            suspicion: part(2),
            gossip: part(24),
            facts: part(10),
            sync: part(3),
            alone: part(3),
            late: part(25),
        }
    }
}

/// What a view is told.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A datagram, and where it came from.
    Datagram(SocketAddr, &'a [u8]),
    /// The time of [`View::next`] has come. Datagrams that are waiting are to be handed in before.
    Wake,
    /// The own facts as they are now.
    Own(Facts),
    /// The process ends now, as planned.
    Leave,
}

/// What a view says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Something to log.
    News(News),
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A member is there.
    Up(Identity),
    /// A member is gone.
    Gone(Identity),
    /// This process was held to be gone, and is back under a later generation.
    Back(u64),
    /// This process got no answer for a while; whom it held to be gone meanwhile counts as there again.
    Recanted(usize),
    /// Another process has this one's name; whether this one is the one that holds it, by the later start.
    SameName(Identity, bool),
}

/// Datagrams and what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Sent, and their bytes.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Heard.
    pub heard: u64,
    /// Too long.
    pub too_long: u64,
    /// Not of this fleet.
    pub foreign: u64,
    /// Torn.
    pub torn: u64,
    /// Of a later form.
    pub newer: u64,
    /// From or about addresses outside of the prefixes.
    pub strangers: u64,
    /// No room in the tables.
    pub full: u64,
    /// Claimed to come from here.
    pub own: u64,
    /// Suspicions that this process raised.
    pub suspected: u64,
    /// Wakes that came too late, by the time that others were given for them.
    pub late: u64,
}

impl Counters {
    /// Datagrams, or parts of them, that were dropped.
    pub fn dropped(&self) -> u64 {
        self.too_long + self.foreign + self.torn + self.newer + self.strangers + self.full + self.own
    }

    fn count(&mut self, refused: Refused) {
        *match refused {
            Refused::TooLong => &mut self.too_long,
            Refused::Foreign => &mut self.foreign,
            Refused::Torn => &mut self.torn,
            Refused::Newer => &mut self.newer,
            Refused::Stranger => &mut self.strangers,
            Refused::Full => &mut self.full,
            Refused::Own => &mut self.own,
        } += 1;
    }
}

/// Where a member is in its life, as seen from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Its own facts have not come yet; of this process: nobody has answered yet.
    Joining,
    /// There.
    Alive,
    /// It did not answer; it counts as there.
    Suspect,
    /// It said that it is about to end.
    Leaving,
    /// It left, or answered nobody.
    Gone,
}

/// One member, as seen from here.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
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

impl Seen {
    /// It counts as there.
    pub fn is_live(&self) -> bool {
        self.phase != Phase::Gone
    }
}

#[derive(Clone, Debug)]
enum Due {
    Swim(Timer<Identity>),
    Join,
    Facts,
    Sync,
    Look,
    Doubt(Identity, u16),
}

#[derive(Clone, Debug)]
struct Known {
    identity: Identity,
    live: bool,
    since: Micros,
    /// Of the identity: sums over hundreds of members are asked for many times a second.
    hash: u64,
    bucket: usize,
}

struct Shown {
    nonce: u64,
    at: Micros,
    text: String,
}

type Swim = Foca<Identity, Form, StdRng, NoCustomBroadcast>;

/// The view of one process.
pub struct View {
    setup: Setup,
    pace: Pace,
    swim: Swim,
    runtime: AccumulatingRuntime<Identity>,
    rng: StdRng,
    /// What is due, in the time that counts: the clock's less `slept`.
    timers: BTreeMap<(Micros, u64), Due>,
    numbered: u64,
    /// When who is gone will be forgotten, an address once: a flood of lives must not fill the timers.
    forgets: BTreeMap<SocketAddr, (Micros, u64)>,
    slept: Micros,
    started: Micros,
    /// Who was ever told of, live or gone, until the protocol forgets it.
    known: BTreeMap<SocketAddr, Known>,
    book: Book,
    facts: Facts,
    answered: bool,
    leaving: bool,
    /// When anybody last answered this process, in the time that counts.
    answer: Micros,
    /// Who was held to be gone while nobody answered.
    verdicts: BTreeSet<Identity>,
    named: BTreeSet<Identity>,
    shown: Option<Shown>,
    counters: Counters,
    transmissions: u8,
}

impl View {
    /// A view that knows itself alone.
    pub fn new(setup: Setup, now: Micros) -> View {
        let pace = Pace::of(setup.detection);
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let swim = swim(&setup, &pace, &mut rng, 4);
        let mut view = View {
            pace,
            swim,
            runtime: AccumulatingRuntime::new(),
            rng,
            timers: BTreeMap::new(),
            numbered: 0,
            forgets: BTreeMap::new(),
            slept: Micros(0),
            started: now,
            known: BTreeMap::new(),
            book: Book::default(),
            facts: Facts::default(),
            answered: false,
            leaving: false,
            answer: now,
            verdicts: BTreeSet::new(),
            named: BTreeSet::new(),
            shown: None,
            counters: Counters::default(),
            transmissions: 4,
            setup,
        };
        // Danger: hundreds that start at once must not go on at once; every period starts at a random phase.
        for (period, due) in [
            (view.pace.gossip, Due::Join),
            (view.pace.facts, Due::Facts),
            (view.pace.sync, Due::Sync),
            (view.pace.sync, Due::Look),
        ] {
            let after = view.phase(period);
            view.after(now, after, due);
        }
        view
    }

    /// When [`Event::Wake`] is wanted.
    pub fn next(&self) -> Micros {
        self.timers.first_key_value().map_or(Micros(u64::MAX), |((due, _), _)| *due + self.slept)
    }

    /// This process, as it is known by now.
    pub fn own(&self) -> &Identity {
        self.swim.identity()
    }

    /// The fleet's name.
    pub fn fleet(&self) -> &str {
        &self.setup.fleet
    }

    /// What became of the datagrams.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The most that any table holds: addresses, timers, or news that wait to be passed on.
    pub fn held(&self) -> usize {
        let tables = [self.book.len(), self.known.len(), self.timers.len(), self.swim.updates_backlog()];
        tables.into_iter().fold(self.swim.iter_membership_state().len(), usize::max)
    }

    /// Everyone who counts as there, this process too.
    pub fn live(&self) -> impl Iterator<Item = &Identity> {
        self.swim.iter_members().map(Member::id).chain([self.own()])
    }

    /// Equal views have equal hashes: over who is there, in which life.
    pub fn hash(&self) -> u64 {
        self.sums_of().iter().fold(0, |sum: u64, bucket| sum.wrapping_add(*bucket))
    }

    /// Everyone, sorted by name: who is there, and who is gone for a while.
    pub fn members(&self, now: Micros) -> Vec<Seen> {
        let mut seen: Vec<Seen> = Vec::with_capacity(self.known.len() + 1);
        let facts = |identity: &Identity| self.book.of(now, identity);
        let leaving = |f: &Option<(Facts, Micros)>| f.as_ref().is_some_and(|f| f.0.leaving);
        let own = facts(self.own());
        let phase = match (self.answered, leaving(&own)) {
            (_, true) => Phase::Leaving,
            (true, _) => Phase::Alive,
            (false, _) => Phase::Joining,
        };
        let identity = self.own().clone();
        seen.push(Seen { identity, phase, since: self.started, displaced: false, facts: own });
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
            seen.push(Seen { identity: member.id().clone(), phase, since, displaced: false, facts });
        }
        seen.sort_by(|a, b| {
            let key =
                |s: &Seen| (s.identity.name.clone(), !s.is_live(), std::cmp::Reverse(holds(&s.identity)));
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
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Out>) {
        self.wake_up(now);
        let local = now - self.slept;
        match event {
            Event::Datagram(from, bytes) => {
                if let Err(refused) = self.datagram(now, local, from, bytes, out) {
                    self.counters.count(refused);
                }
            }
            Event::Wake => {
                while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= local) {
                    let due = entry.remove();
                    self.due(now, local, due, out);
                }
            }
            Event::Own(facts) => {
                self.facts = facts;
                self.facts.leaving |= self.leaving;
            }
            Event::Leave => {
                self.leaving = true;
                self.facts.leaving = true;
                let _ = self.swim.leave_cluster(&mut self.runtime);
            }
        }
        self.drive(now, local, out);
    }

    /// Danger: a process that was stopped, or got no processor, finds all its deadlines past at once, and its
    /// own silence would be others' death. What it slept through is taken out of the time that counts.
    fn wake_up(&mut self, now: Micros) {
        let Some(((due, _), _)) = self.timers.first_key_value() else { return };
        let late = (now - self.slept) - *due;
        if late > self.pace.late {
            self.slept = self.slept + late;
            self.counters.late += 1;
        }
    }

    fn after(&mut self, local: Micros, after: Micros, due: Due) {
        self.numbered += 1;
        self.timers.insert((local + after, self.numbered), due);
    }

    /// A random part of a period.
    fn phase(&mut self, period: Micros) -> Micros {
        Micros(self.rng.random_range(0..=period.0))
    }

    /// A period, a quarter more or less.
    fn about(&mut self, period: Micros) -> Micros {
        period.scale(0.75) + self.phase(Micros(period.0 / 2))
    }

    fn seal(&self, local: Micros, kind: Kind, body: &[u8]) -> Vec<u8> {
        wire::seal(&self.setup.fleet, self.own(), kind, self.unsure(local), body)
    }

    fn send(&mut self, local: Micros, to: SocketAddr, kind: Kind, body: &[u8], out: &mut Vec<Out>) {
        let bytes = self.seal(local, kind, body);
        // Danger: an answer must not go where an address in a datagram alone sent it.
        if bytes.len() > DATAGRAM_MOST || !self.allowed(to) {
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        out.push(Out::Send(to, bytes));
    }

    fn allowed(&self, address: SocketAddr) -> bool {
        address.port() != 0 && self.setup.prefixes.iter().any(|p| p.contains(&address.ip()))
    }

    /// Nobody answered for a while. Danger: whoever is cut off, if only one way, finds all others silent; its
    /// verdicts are not to be believed, not by itself either once somebody is heard.
    fn unsure(&self, local: Micros) -> bool {
        local - self.answer > self.pace.alone
    }

    fn entry(&self, address: SocketAddr) -> Option<&Member<Identity>> {
        self.swim.iter_membership_state().find(|m| m.id().address == address)
    }

    /// A live member, by random choice.
    fn anyone(&mut self) -> Option<SocketAddr> {
        let live: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().address).collect();
        live.choose(&mut self.rng).copied()
    }

    // ---- datagrams ----

    fn datagram(
        &mut self,
        now: Micros,
        local: Micros,
        from: SocketAddr,
        bytes: &[u8],
        out: &mut Vec<Out>,
    ) -> Result<(), Refused> {
        if !self.setup.prefixes.iter().any(|p| p.contains(&from.ip())) && !from.ip().is_loopback() {
            return Err(Refused::Stranger);
        }
        let Envelope { kind, unsure, sender, body } = wire::open(&self.setup.fleet, bytes)?;
        if kind == Kind::Ask {
            return self.ask(now, from, body, out);
        }
        if !self.allowed(sender.address) || sender.name.is_empty() || !self.allowed(from) {
            return Err(Refused::Stranger);
        }
        if sender.address == self.own().address {
            return Err(Refused::Own);
        }
        // Whoever is live stands in an index; the protocol's own table is searched for others alone.
        let live = self.known.get(&sender.address).filter(|k| k.live && k.identity == sender);
        let active = live.is_some();
        let known = if active { None } else { self.entry(sender.address).map(|m| m.id().clone()) };
        if !active && known.is_none() {
            self.make_room(0)?;
        }
        self.counters.heard += 1;
        // One that was held to be gone while nobody answered talks: none of those verdicts is worth anything.
        if self.verdicts.contains(&sender) {
            self.recant(local, out);
        }
        if let Some(known) = &known {
            if foca::Identity::win_addr_conflict(known, &sender) {
                // A start with a clock that went back would never be heard: it is told what to be later than.
                let body = known.generation.to_be_bytes();
                self.send(local, sender.address, Kind::Outdated, &body, out);
                return Ok(());
            }
        }
        match kind {
            Kind::Swim => {
                let (head, entries) = wire::read_swim(body)?;
                if head.src != sender {
                    return Err(Refused::Torn);
                }
                let announced = head.message == Message::Announce;
                if announced && !entries.is_empty() {
                    return Err(Refused::Torn);
                }
                // Danger: the library tells whom it holds to be gone so, and that one would have to come back.
                if unsure && head.message == Message::TurnUndead {
                    return Ok(());
                }
                let answers =
                    matches!(head.message, Message::Ack(_) | Message::ForwardedAck { .. } | Message::Feed);
                if answers && head.dst.address == self.own().address {
                    self.answer = local;
                }
                let all = entries.len();
                let entries = self.believable(entries, &sender, unsure);
                let screened = if entries.len() < all { Some(wire::swim(&head, &entries)) } else { None };
                let _ = self.swim.handle_data(screened.as_deref().unwrap_or(body), &mut self.runtime);
            }
            Kind::Facts if active => {
                for record in wire::read_records(body)? {
                    self.take(now, record);
                }
            }
            Kind::Sync | Kind::Synced if active => {
                let theirs: [u64; BUCKETS] = wire::read_numbers(body)?;
                self.answer_sums(local, sender.address, &theirs, out);
                if kind == Kind::Sync {
                    let sums = self.sums();
                    self.send(local, sender.address, Kind::Synced, &sums, out);
                }
            }
            Kind::Entries if active => {
                let mut rest = body;
                let entries = wire::read_entries(&mut rest)?;
                let entries = self.believable(entries, &sender, unsure);
                let _ = self.swim.apply_many(entries.into_iter(), true, &mut self.runtime);
            }
            Kind::Doubt if active => {
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
                    let next = self.own().after(generation);
                    let _ = self.swim.change_identity(next, &mut self.runtime);
                    let _ = self.swim.announce(sender, &mut self.runtime);
                    out.push(Out::News(News::Back(self.own().generation)));
                }
            }
            // From whom is not known, or no longer: SWIM tells it first.
            _ => {}
        }
        Ok(())
    }

    /// Makes room for one more address than are coming; who has been gone longest is forgotten first, who is there never.
    fn make_room(&mut self, coming: usize) -> Result<(), Refused> {
        if self.swim.iter_membership_state().len() + coming < MEMBERS_MOST {
            return Ok(());
        }
        let since = |m: &Member<Identity>| self.known.get(&m.id().address).map_or(Micros(0), |k| k.since);
        let gone = self.swim.iter_membership_state().filter(|m| m.state() == State::Down);
        let oldest = gone.min_by_key(|m| since(m)).map(|m| m.id().clone()).ok_or(Refused::Full)?;
        self.known.remove(&oldest.address);
        if let Some(key) = self.forgets.remove(&oldest.address) {
            self.timers.remove(&key);
        }
        let _ = self.swim.handle_timer(Timer::RemoveDown(oldest), &mut self.runtime);
        Ok(())
    }

    /// The entries that may be believed: addresses under the prefixes, no more than the table holds, and no
    /// suspicions of one who may be cut off itself.
    fn believable(
        &mut self,
        entries: Vec<Member<Identity>>,
        sender: &Identity,
        unsure: bool,
    ) -> Vec<Member<Identity>> {
        let full = self.swim.iter_membership_state().len() + entries.len() > MEMBERS_MOST;
        // Danger: the library bounds neither its members nor the news of them that wait to be passed on.
        let mut waiting = self.swim.updates_backlog();
        let mut coming = 0;
        let mut believed = Vec::with_capacity(entries.len());
        for entry in entries {
            let (id, own) = (entry.id(), entry.id().address == self.own().address);
            if !self.allowed(id.address) || id.name.is_empty() {
                self.counters.count(Refused::Stranger);
                continue;
            }
            if unsure && entry.state() != State::Alive && id != sender {
                continue;
            }
            waiting += 1;
            if waiting > MEMBERS_MOST && !own && !self.known.contains_key(&id.address) {
                self.counters.count(Refused::Full);
                continue;
            }
            if full && !own && !self.known.contains_key(&id.address) && self.entry(id.address).is_none() {
                if let Err(refused) = self.make_room(coming) {
                    self.counters.count(refused);
                    continue;
                }
                coming += 1;
            }
            believed.push(entry);
        }
        believed
    }

    /// Takes a record of facts in, of members that are known.
    fn take(&mut self, now: Micros, record: Record) {
        let known = self.known.get(&record.address);
        let lives = known.is_some_and(|k| k.live && k.identity.generation <= record.generation);
        if record.address != self.own().address && lives {
            self.book.take(now, record);
        }
    }

    /// Takes back what was held while nobody answered: whoever it is about counts as there again. The others
    /// need no new life for this process's mistake.
    fn recant(&mut self, local: Micros, out: &mut Vec<Out>) {
        let verdicts = std::mem::take(&mut self.verdicts);
        out.push(Out::News(News::Recanted(verdicts.len())));
        let table: Vec<Member<Identity>> = self.swim.iter_membership_state().cloned().collect();
        self.setup.own = self.own().clone();
        // The library has no way back for a member that is down; a new instance has.
        self.swim = swim(&self.setup, &self.pace, &mut self.rng, self.transmissions);
        self.timers.retain(|_, due| !matches!(due, Due::Swim(_) | Due::Doubt(..)));
        self.forgets.clear();
        let back = table.into_iter().map(|m| match verdicts.contains(m.id()) || m.state() != State::Down {
            true => Member::new(m.id().clone(), m.incarnation(), State::Alive),
            false => m,
        });
        let _ = self.swim.apply_many(back, false, &mut self.runtime);
        self.after(local, Micros(0), Due::Join);
    }

    // ---- sums over the view ----

    /// One sum a bucket, over who is there; equal views have equal sums.
    fn sums(&self) -> Vec<u8> {
        self.sums_of().iter().flat_map(|s| s.to_be_bytes()).collect()
    }

    fn sums_of(&self) -> [u64; BUCKETS] {
        let mut sums = [0u64; BUCKETS];
        let live = self.known.values().filter(|k| k.live).map(|k| (k.bucket, k.hash));
        for (bucket, hash) in live.chain([(bucket(self.own().address), hash_of(self.own()))]) {
            sums[bucket] = sums[bucket].wrapping_add(hash);
        }
        sums
    }

    /// Sends what is held of the buckets that differ: who is there, and who is known to be gone.
    fn answer_sums(&mut self, local: Micros, to: SocketAddr, theirs: &[u64; BUCKETS], out: &mut Vec<Out>) {
        let own = self.sums_of();
        let differs: Vec<bool> = own.iter().zip(theirs).map(|(a, b)| a != b).collect();
        if differs.iter().all(|d| !d) {
            return;
        }
        let mut entries: Vec<Member<Identity>> = Vec::new();
        let this = Member::new(self.own().clone(), 0, State::Alive);
        for member in self.swim.iter_membership_state().chain([&this]) {
            if differs[bucket(member.id().address)] {
                entries.push(member.clone());
            }
        }
        // More than fits goes another time, from another place on.
        if !entries.is_empty() {
            let start = self.rng.random_range(0..entries.len());
            entries.rotate_left(start);
        }
        let mut rest = &entries[..];
        for _ in 0..PAGES {
            let (body, taken) = wire::entries(rest, BODY_MOST);
            if taken == 0 {
                break;
            }
            rest = &rest[taken..];
            self.send(local, to, Kind::Entries, &body, out);
        }
        // A difference was found: the next look comes sooner.
        let soon = self.phase(self.pace.gossip);
        self.timers.retain(|_, due| !matches!(due, Due::Sync));
        self.after(local, self.pace.gossip + soon, Due::Sync);
    }

    // ---- what is due ----

    fn due(&mut self, now: Micros, local: Micros, due: Due, out: &mut Vec<Out>) {
        match due {
            Due::Swim(timer) => {
                if let Timer::RemoveDown(identity) = &timer {
                    self.forgets.remove(&identity.address);
                }
                let _ = self.swim.handle_timer(timer, &mut self.runtime);
            }
            Due::Join => self.join(local),
            Due::Facts => {
                self.pass_facts_on(now, local, out);
                let after = self.about(self.pace.facts);
                self.after(local, after, Due::Facts);
            }
            Due::Sync => {
                let after = self.about(self.pace.sync);
                self.after(local, after, Due::Sync);
                if let Some(to) = self.anyone().filter(|_| !self.leaving) {
                    let sums = self.sums();
                    self.send(local, to, Kind::Sync, &sums, out);
                }
            }
            Due::Look => {
                self.look(out);
                let after = self.about(self.pace.sync);
                self.after(local, after, Due::Look);
            }
            Due::Doubt(identity, refutations) => self.doubt(local, &identity, refutations, out),
        }
    }

    /// Asks for the fleet: all seeds while alone, one of those not seen now and then, as a split may have left
    /// them on the other side and forgotten.
    fn join(&mut self, local: Micros) {
        let alone = self.swim.num_members() == 0;
        let period =
            if alone { Micros(self.setup.detection.0 / 6) } else { Micros(self.setup.detection.0 * 2) };
        let after = self.about(period);
        self.after(local, after, Due::Join);
        if self.leaving {
            return;
        }
        let own = self.own().address;
        let live: BTreeSet<SocketAddr> = self.live().map(|i| i.address).collect();
        let mut ask: Vec<Identity> =
            self.setup.seeds.iter().filter(|s| !live.contains(s)).map(|s| Identity::at(*s)).collect();
        if alone {
            let gone = self.swim.iter_membership_state().filter(|m| m.state() == State::Down);
            ask.extend(gone.map(|m| m.id().clone()));
        }
        ask.retain(|i| i.address != own);
        let most = if alone { SEEDS_EACH } else { 1 };
        ask.shuffle(&mut self.rng);
        for identity in ask.into_iter().take(most) {
            let _ = self.swim.announce(identity, &mut self.runtime);
        }
    }

    fn pass_facts_on(&mut self, now: Micros, local: Micros, out: &mut Vec<Out>) {
        let own = self.own().clone();
        self.book.state(now, &own, &self.facts, Micros(self.setup.detection.0 * 2));
        let size = self.swim.num_members() + 1;
        let most = FACTS_TIMES * (usize::BITS - size.leading_zeros());
        let records = self.book.give(now, BODY_MOST, most.div_ceil(FACTS_TO as u32));
        if records.is_empty() {
            return;
        }
        let mut body = Vec::with_capacity(BODY_MOST);
        records.iter().for_each(|r| wire::record(&mut body, r));
        for _ in 0..FACTS_TO {
            if let Some(to) = self.anyone() {
                self.send(local, to, Kind::Facts, &body, out);
            }
        }
    }

    /// Asks a suspect directly, until it has refuted or is gone: gossip alone may be too slow either way.
    fn doubt(&mut self, local: Micros, identity: &Identity, refutations: u16, out: &mut Vec<Out>) {
        let still = self.entry(identity.address).is_some_and(|m| {
            m.id() == identity && m.state() == State::Suspect && m.incarnation() == refutations
        });
        if !still {
            return;
        }
        let body: Vec<u8> =
            [identity.generation, u64::from(refutations)].iter().flat_map(|n| n.to_be_bytes()).collect();
        self.send(local, identity.address, Kind::Doubt, &body, out);
        self.after(local, Micros(self.pace.suspicion.0 / 6), Due::Doubt(identity.clone(), refutations));
    }

    /// Looks after what no event brings up.
    fn look(&mut self, out: &mut Vec<Out>) {
        let size = self.swim.num_members() as u32 + 1;
        // As memberlist has it: four times the decimal logarithm of the size.
        let times = (4.0 * f64::from(size + 1).log10()).ceil().clamp(4.0, 24.0) as u8;
        if times != self.transmissions {
            self.transmissions = times;
            let _ = self.swim.set_config(protocol(&self.pace, times));
        }
        let own = self.own().clone();
        let others = self.swim.iter_members().map(Member::id).filter(|i| i.name == own.name);
        let others: Vec<Identity> = others.cloned().collect();
        for other in others {
            if self.named.len() < NAMED_MOST && self.named.insert(other.clone()) {
                let ours = holds(&own) > holds(&other);
                out.push(Out::News(News::SameName(other, ours)));
            }
        }
        let table: BTreeSet<SocketAddr> =
            self.swim.iter_membership_state().map(|m| m.id().address).chain([own.address]).collect();
        self.known.retain(|a, _| table.contains(a));
        self.verdicts.retain(|i| self.known.get(&i.address).is_some_and(|k| k.identity == *i && !k.live));
        self.book.retain(|a| table.contains(a));
    }

    /// Does what the protocol's library said is to be done.
    fn drive(&mut self, now: Micros, local: Micros, out: &mut Vec<Out>) {
        while let Some((to, body)) = self.runtime.to_send() {
            self.send(local, to.address, Kind::Swim, &body, out);
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            let after = Micros(after.as_micros() as u64);
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                self.counters.suspected += 1;
                let doubt = Due::Doubt(member_id.clone(), *incarnation);
                self.after(local, Micros(0), doubt);
            }
            let forgets = match &timer {
                Timer::RemoveDown(identity) => Some(identity.address),
                _ => None,
            };
            self.after(local, after, Due::Swim(timer));
            let key = (local + after, self.numbered);
            if let Some(before) = forgets.and_then(|address| self.forgets.insert(address, key)) {
                self.timers.remove(&before);
            }
        }
        while let Some(note) = self.runtime.to_notify() {
            match note {
                OwnedNotification::MemberUp(identity) => self.seen(now, identity, true, out),
                OwnedNotification::MemberDown(identity) => {
                    if self.unsure(local) && self.verdicts.len() < MEMBERS_MOST {
                        self.verdicts.insert(identity.clone());
                    }
                    self.seen(now, identity, false, out);
                }
                OwnedNotification::Rename(_, identity) => {
                    if let Some(known) = self.known.get_mut(&identity.address) {
                        known.hash = hash_of(&identity);
                        known.identity = identity;
                    }
                }
                OwnedNotification::Active => self.answered = true,
                OwnedNotification::Rejoin(identity) => {
                    self.setup.own = identity.clone();
                    out.push(Out::News(News::Back(identity.generation)));
                }
                OwnedNotification::Idle | OwnedNotification::Defunct => {}
            }
        }
    }

    fn seen(&mut self, now: Micros, identity: Identity, live: bool, out: &mut Vec<Out>) {
        let before = self.known.get(&identity.address);
        if before.is_some_and(|k| k.live == live && k.identity == identity) {
            return;
        }
        out.push(Out::News(if live { News::Up(identity.clone()) } else { News::Gone(identity.clone()) }));
        let (hash, bucket) = (hash_of(&identity), bucket(identity.address));
        self.known.insert(identity.address, Known { identity, live, since: now, hash, bucket });
    }

    // ---- operators ----

    /// Answers an operator on this machine, a page at a time.
    fn ask(&mut self, now: Micros, from: SocketAddr, body: &[u8], out: &mut Vec<Out>) -> Result<(), Refused> {
        let ip = from.ip();
        // Danger: this is the one answer that goes to where a datagram came from.
        let here = ip.is_loopback() || ip == self.own().address.ip();
        if !here {
            return Err(Refused::Stranger);
        }
        let [nonce, page] = wire::read_numbers(body)?;
        let fresh = self.shown.as_ref().is_some_and(|s| s.nonce == nonce && now - s.at < SHOWN_KEPT);
        if !fresh {
            let text = super::show::render(self, now);
            self.shown = Some(Shown { nonce, at: now, text });
        }
        let text = self.shown.as_ref().map_or("", |s| &s.text);
        let body = super::show::page(nonce, page, text.as_bytes(), BODY_MOST);
        let bytes = wire::seal(&self.setup.fleet, self.own(), Kind::Told, false, &body);
        out.push(Out::Send(from, bytes));
        Ok(())
    }
}

/// Which of two under one name holds it: the one that started later.
fn holds(identity: &Identity) -> (u64, SocketAddr) {
    (identity.generation, identity.address)
}

/// A hash that all processes agree on (FNV-1a, mixed).
fn hash_bytes(bytes: &[u8]) -> u64 {
    let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3);
    let h = bytes.iter().fold(0xcbf2_9ce4_8422_2325, step);
    (h ^ (h >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn hash_of(identity: &Identity) -> u64 {
    let mut bytes = Vec::with_capacity(96);
    wire::member(&mut bytes, &Member::new(identity.clone(), 0, State::Alive));
    hash_bytes(&bytes)
}

/// In which sum an address counts: the same for all its lives, so that an old one's place is looked at too.
fn bucket(address: SocketAddr) -> usize {
    let mut bytes = Vec::with_capacity(19);
    wire::address(&mut bytes, address);
    (hash_bytes(&bytes) >> 32) as usize % BUCKETS
}

fn protocol(pace: &Pace, transmissions: u8) -> foca::Config {
    let span = |m: Micros| Duration::from_micros(m.0);
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let each = |frequency: Micros, members: usize| {
        Some(foca::PeriodicParams { frequency: span(frequency), num_members: some(members) })
    };
    foca::Config {
        probe_period: span(pace.probe),
        probe_rtt: span(pace.answer),
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: span(pace.suspicion),
        remove_down_after: Some(GONE_KEPT),
        max_packet_size: some(BODY_MOST),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: each(pace.sync, 1),
        periodic_gossip: each(pace.gossip, 3),
    }
}

fn swim(setup: &Setup, pace: &Pace, rng: &mut StdRng, transmissions: u8) -> Swim {
    let own = StdRng::seed_from_u64(rng.random());
    Foca::new(setup.own.clone(), protocol(pace, transmissions), own, Form)
}
