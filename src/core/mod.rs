//! The core: owns the module, the call table and the timer wheel, and knows no wire.
//!
//! One task runs it ([`run`]). Socket code reaches it through a bounded queue of [`Input`]s, and it
//! answers through queues. The module decides; the core keeps the books and guards the rules
//! against bugs elsewhere: one final answer a call, one attempt at a time, the release pause, drains.

pub mod ends;
mod types;
pub mod wheel;

pub use types::*;

use crate::config::{Config, Limits, Names};
use crate::interface::*;
use crate::learning::{Identity, Kept, Memory, Painter, Picture};
use crate::metrics;
use crate::Controller;
use ends::Seen;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::time::{Duration, Instant, MissedTickBehavior};
use wheel::{Wheel, TICK};

/// How many inputs may wait before socket code has to.
pub const QUEUE: usize = 4096;
/// ... and how many of them are taken in between two looks at the clock's ticks.
const TURN: usize = 64;
/// How many answers may wait for a front.
pub const ANSWERS: usize = 65_536;
/// Ended calls stay known this long, so that late messages about them are not taken for news.
const ENDED_KEPT: Micros = Micros(30_000_000);
/// ... but no more than so many.
const ENDED_MOST: usize = 32_768;
/// The front passes its test this long after the start, though not all hubs have told their state.
const READY_AFTER: Micros = Micros(1_000_000);
/// Hubs in service and gone at most; what a list names beyond them is left out.
const HUBS_MOST: usize = 4096;
/// Hubs that are gone stay known up to so many, so that one that comes back keeps its id.
const GONE_MOST: usize = 1024;
/// A caller is taken to wait no longer than this, or than the longest deadline of the settings. Danger: the
/// timers of a set-up stay till then, also once it is over.
const WAIT_MOST: Micros = Micros(60_000_000);
/// So many hubs' beliefs are gathered at one tick: no call waits for all of them.
const PAINTED_EACH: usize = 128;

/// The Unix clock: read once, and moved on by the monotonic one, which tests can pause.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the system's clock.
    pub fn system() -> Clock {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Clock { base: Micros(since.as_micros() as u64), start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.base + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// The instant of a time, for sleeping until it.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.base).0)
    }
}

/// Opens the link to a hub at an endpoint.
pub type Connect = Box<dyn FnMut(LinkId, &str) -> mpsc::Sender<ToHub> + Send>;

struct HubState {
    id: ServerId,
    uid: Arc<str>,
    endpoint: Arc<str>,
    place: i64,
    born: Option<Micros>,
    phase: Phase,
    /// When it was told to drain or to be gone.
    told: Option<Micros>,
    link: Option<(LinkId, mpsc::Sender<ToHub>)>,
    heard: bool,
    fixed: bool,
    /// No list has been passed on since it was first named.
    fresh: bool,
    /// Which list named it last.
    named: u64,
}

impl HubState {
    fn identity(&self) -> Identity {
        let (uid, endpoint) = (self.uid.clone(), self.endpoint.clone());
        Identity { uid, endpoint, place: self.place, born: self.born }
    }

    /// Gone, with no link left that could speak for it.
    fn forgettable(&self) -> bool {
        self.phase == Phase::Gone && self.link.is_none() && !self.fixed
    }
}

#[derive(Debug)]
struct Attempt {
    link: LinkId,
    server: ServerId,
    /// Its number within the call, as the module counts.
    copy: u32,
    /// Its own number.
    number: u64,
    sent: Micros,
    /// When it times out.
    until: Micros,
    /// Set once it is being given up: how it will have ended.
    ending: Option<Outcome>,
}

struct Call {
    id: CallId,
    name: CallName,
    front: FrontId,
    origin: Origin,
    class: Arc<str>,
    /// What a repeat of it does at a hub.
    effect: Idempotency,
    number: Arc<str>,
    description: Description,
    deadline: Micros,
    /// The final answer is given, or none is owed any more.
    answered: bool,
    standing: bool,
    out: Option<Attempt>,
    sent: u32,
    /// An attempt of it ended without proof that it never ran.
    may_have_run: bool,
    not_before: Micros,
}

impl Call {
    /// Whether to have it run again, or to tell its caller that nothing ran, may do harm.
    fn once(&self) -> bool {
        self.effect != Idempotency::Free && self.may_have_run
    }
}

enum Due {
    Module(u64),
    Attempt(CallId, u64),
    Deadline(CallId),
    Stop,
}

/// Where pictures of what is believed go; the latest wins.
pub type Pictures = watch::Sender<Option<Arc<Picture>>>;

/// Hands out what is believed, every so often.
struct Keeping {
    pictures: Pictures,
    every: Micros,
    next: Micros,
    painter: Option<Painter>,
}

/// How the core is, for its fronts and for the end of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The hubs have told their state, or have had their time to.
    pub settled: bool,
    /// The program is to end.
    pub stopping: bool,
    /// Calls whose final answer is owed.
    pub unanswered: usize,
}

/// What the core has to do, for those who tell others of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Set-ups that callers brought, since the start.
    pub offered: u64,
    /// Set-ups out at hubs, and calls that stand there.
    pub open: u32,
    /// The newest event of the change log.
    pub seq: u64,
    /// The program is to end.
    pub stopping: bool,
}

/// The core's whole state. It reads no clock: time comes in.
pub struct Core {
    controller: Controller,
    names: Names,
    /// Idempotency and deadline of each class.
    classes: Vec<(Idempotency, Micros)>,
    limits: Limits,
    max_attempts: u32,
    fronts: Vec<mpsc::Sender<ToFront>>,
    connect: Connect,
    status: watch::Sender<Status>,
    stopping: bool,
    /// The end is so near that no hub's answer would come in time.
    refuses_new: bool,
    started: Micros,
    wheel: Wheel<Due>,
    calls: BTreeMap<CallId, Call>,
    by_name: HashMap<CallName, CallId>,
    /// Calls whose final answer is owed.
    unanswered: usize,
    /// Bytes of the descriptions that the calls hold.
    description_bytes: usize,
    ended: HashMap<CallName, Micros>,
    ended_by_age: VecDeque<(CallName, Micros)>,
    hubs: Vec<HubState>,
    by_uid: HashMap<Arc<str>, usize>,
    by_id: BTreeMap<ServerId, usize>,
    /// Hubs that may be forgotten, with since when they were told to go.
    gone: BTreeSet<(Micros, usize)>,
    links: BTreeMap<LinkId, usize>,
    /// Which hub's link leads to an address.
    linked: HashMap<Arc<str>, usize>,
    /// Links told to close, with set-ups that are not settled yet.
    closing: BTreeSet<LinkId>,
    /// Which calls have an attempt at which link.
    at: BTreeSet<(LinkId, CallId)>,
    last_call: u64,
    last_attempt: u64,
    last_link: u64,
    last_hub: u64,
    lists: u64,
    listed: bool,
    /// The change log, where there is one, was heard since the start.
    current: bool,
    memory: Option<Memory>,
    keeping: Option<Keeping>,
    offered: u64,
    seq: u64,
    figures: Option<watch::Sender<Figures>>,
}

impl Core {
    /// A core that knows no hub yet. `status` is kept up to date for the fronts.
    pub fn new(
        config: &Config,
        fronts: Vec<mpsc::Sender<ToFront>>,
        connect: Connect,
        status: watch::Sender<Status>,
        now: Micros,
    ) -> Result<Core, SettingsError> {
        Ok(Core {
            controller: Controller::new(config.settings.clone(), config.seed, now)?,
            names: config.names.clone(),
            classes: config.settings.classes.iter().map(|c| (c.idempotency, c.deadline)).collect(),
            limits: config.limits.clone(),
            max_attempts: config.settings.max_attempts,
            fronts,
            connect,
            status,
            stopping: false,
            refuses_new: false,
            started: now,
            wheel: Wheel::new(now),
            calls: BTreeMap::new(),
            by_name: HashMap::new(),
            unanswered: 0,
            description_bytes: 0,
            ended: HashMap::new(),
            ended_by_age: VecDeque::new(),
            hubs: Vec::new(),
            by_uid: HashMap::new(),
            by_id: BTreeMap::new(),
            gone: BTreeSet::new(),
            links: BTreeMap::new(),
            linked: HashMap::new(),
            closing: BTreeSet::new(),
            at: BTreeSet::new(),
            last_call: 0,
            last_attempt: 0,
            last_link: 0,
            last_hub: 0,
            lists: 0,
            listed: false,
            current: config.change_log.is_none(),
            memory: None,
            keeping: None,
            offered: 0,
            seq: 0,
            figures: None,
        })
    }

    /// Takes up what an earlier start knew. It is for the hubs that the next lists name.
    pub fn recollect(&mut self, memory: Memory) {
        self.memory = Some(memory);
    }

    /// Has what is believed handed out every so often, once a list has come.
    pub fn keep(&mut self, pictures: Pictures, every: Micros, now: Micros) {
        self.keeping = Some(Keeping { pictures, every, next: now + every, painter: None });
    }

    /// Has it said at every tick what there is to do.
    pub fn tell_figures(&mut self, figures: watch::Sender<Figures>) {
        self.figures = Some(figures);
    }

    /// Calls in the table.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Hubs that are known, in service and gone.
    pub fn known_hubs(&self) -> usize {
        self.hubs.len()
    }

    /// Adds hubs that no list names or takes away: those of the operator's file.
    pub fn fix(&mut self, now: Micros, hubs: Vec<Hub>) {
        for hub in &hubs {
            if let Some(index) = self.hub(hub) {
                self.hubs[index].fixed = true;
            }
        }
        self.list(now, News { all: false, hubs, told: now, seq: 0 });
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Offer(offer) => self.offer(now, offer),
            Input::Withdrawn(front, origin, name) => {
                // A lost connection withdraws its own set-ups alone.
                let known = self.by_name.get(&name).and_then(|id| self.calls.get(id));
                if known.is_some_and(|c| c.origin == origin) {
                    self.withdrawn(now, front, name);
                }
            }
            Input::Stop(by) => {
                self.stopping = true;
                self.wheel.add(by, Due::Stop);
            }
            Input::Hangup(front, name, cause) => self.hangup(now, front, name, cause),
            Input::Media(front, name, frame) => {
                let call = self.by_name.get(&name).and_then(|id| self.calls.get(id));
                let call = call.filter(|c| c.standing && c.front == front);
                if let Some(out) = call.and_then(|c| c.out.as_ref()) {
                    let (link, message) = (out.link, ToHub::Media(name, frame));
                    self.to_hub(link, message);
                }
            }
            Input::Hub(link, from) => self.heard(now, link, from),
            Input::List(news) => self.list(now, news),
            Input::Current => self.current = true,
            Input::Keep => self.paint(now, usize::MAX),
        }
    }

    /// Gathers the beliefs of up to `most` more hubs, and hands out the picture once it is whole.
    fn paint(&mut self, now: Micros, most: usize) {
        // Danger: before the first list nothing is known; what the last start knew must not give way to it.
        let Some(keeping) = self.keeping.as_mut().filter(|_| !self.hubs.is_empty()) else { return };
        let (hubs, controller) = (&self.hubs, &self.controller);
        let look = |i: usize| {
            let hub = hubs.get(i).filter(|h| h.phase != Phase::Gone)?;
            Some(Kept { hub: hub.identity(), belief: controller.estimate(hub.id)? })
        };
        let painter = keeping.painter.get_or_insert_default();
        if let Some(mut gathered) = painter.add(hubs.len(), most, look) {
            let unnamed = self.memory.iter().flat_map(|m| m.unnamed(now)).cloned();
            gathered.extend(unnamed.take(HUBS_MOST.saturating_sub(hubs.len())));
            let picture = Picture { at: now, hold: controller.mean_hold_secs(), hubs: gathered };
            keeping.painter = None;
            keeping.next = now + keeping.every;
            keeping.pictures.send_replace(Some(Arc::new(picture)));
        }
    }

    /// What an earlier start knew of the hubs that are named for the first time.
    fn recall(&mut self, now: Micros) {
        let Some(memory) = &mut self.memory else { return };
        let fresh = self.hubs.iter_mut().filter(|h| h.fresh);
        let mut recalled = Vec::new();
        for hub in fresh {
            hub.fresh = false;
            recalled.extend(memory.recall(&hub.identity(), now).map(|belief| (hub.id, belief)));
        }
        let hold = memory.hold(now);
        if memory.is_empty() {
            self.memory = None;
        }
        if hold.is_some() || !recalled.is_empty() {
            self.tell(now, Event::Restored(hold, recalled));
        }
    }

    /// Hands out what is due.
    pub fn tick(&mut self, now: Micros) {
        for due in self.wheel.advance(now) {
            match due {
                Due::Module(token) => self.tell(now, Event::Timer(token)),
                Due::Attempt(id, number) => {
                    let out = self.calls.get(&id).filter(|c| !c.standing).and_then(|c| c.out.as_ref());
                    if out.is_some_and(|o| o.number == number && o.ending.is_none()) {
                        self.give_up(id, Outcome::TimedOut);
                    }
                }
                // Guards the first rule: the module answers a little before; this is for its bugs.
                Due::Deadline(id) => {
                    if self.calls.get(&id).is_some_and(|c| !c.answered) {
                        self.finish(now, Action::Fail(id));
                    }
                }
                // What is open when the program must end is refused, else it would be lost.
                Due::Stop => {
                    self.refuses_new = true;
                    let open = self.calls.values().filter(|c| !c.answered).map(|c| c.id);
                    let open: Vec<CallId> = open.collect();
                    for id in open {
                        self.finish(now, Action::Refuse(id, Micros(0)));
                        self.tell(now, Event::CallerLeft(id));
                    }
                }
            }
        }
        while self.ended_by_age.front().is_some_and(|(_, at)| *at + ENDED_KEPT < now) {
            self.forget_oldest();
        }
        if self.keeping.as_ref().is_some_and(|k| k.next <= now || k.painter.is_some()) {
            self.paint(now, PAINTED_EACH);
        }
        if let Some(figures) = &self.figures {
            let (open, stopping) = (self.at.len() as u32, self.stopping);
            figures.send_replace(Figures { offered: self.offered, open, seq: self.seq, stopping });
        }
        let was = *self.status.borrow();
        let settled = was.settled || self.started + READY_AFTER <= now || self.informed();
        let status = Status { settled, stopping: self.stopping, unanswered: self.unanswered };
        if status != was {
            self.status.send_replace(status);
        }
    }

    /// Whether the start's news are in: the change log's, and the state of every hub. Danger: the list of the
    /// start may be older than a drain that counts as told.
    fn informed(&self) -> bool {
        let asked = |h: &&HubState| h.phase == Phase::Up && !h.fixed;
        self.listed && self.current && self.hubs.iter().filter(asked).all(|h| h.heard)
    }

    // ---- callers ----

    fn offer(&mut self, now: Micros, offer: Offer) {
        self.offered += 1;
        metrics::CALLS_OFFERED.increment();
        if let Some(known) = self.by_name.get(&offer.call).and_then(|id| self.calls.get(id)) {
            // A repeat of a set-up that is open: its answer is owed once. Danger: one from elsewhere, or
            // of a call that stands or is still being given up at a hub, must not get a second attempt,
            // nor leave whoever sent it without a word.
            if known.answered || known.origin != offer.origin {
                self.to_front(offer.front, ToFront::Refuse(offer.origin, offer.call, Micros(0)));
            }
            return;
        }
        if self.refuses_new {
            metrics::CALLS_REFUSED.increment();
            return self.to_front(offer.front, ToFront::Refuse(offer.origin, offer.call, Micros(0)));
        }
        let class = self.names.classes.get(&*offer.class).copied();
        let Some((class, (effect, waits))) = class.and_then(|c| Some((c, *self.classes.get(c)?))) else {
            return self.to_front(offer.front, ToFront::Fail(offer.origin, offer.call));
        };
        let longest = self.classes.iter().map(|(_, deadline)| *deadline).fold(WAIT_MOST, Micros::max);
        let deadline = offer.deadline.unwrap_or(now + waits).min(now + longest);
        // Danger: set-ups of 16 KiB each fill the memory long before the table is full.
        let held = self.description_bytes + offer.description.bytes.len();
        if self.calls.len() >= self.limits.max_open || held > self.limits.description_bytes {
            return self.to_front(offer.front, ToFront::Refuse(offer.origin, offer.call, Micros(0)));
        }
        self.last_call += 1;
        let id = CallId(self.last_call);
        let asked = NewCall {
            id,
            class,
            place: offer.place,
            number: number_of(&offer.number),
            deadline,
            repeat: offer.repeat,
            returned: offer.returned,
            transit: false,
        };
        tracing::debug!(call = %offer.call, within_us = (deadline - now).0, "taken");
        self.description_bytes = held;
        self.unanswered += 1;
        self.by_name.insert(offer.call, id);
        self.wheel.add(deadline, Due::Deadline(id));
        let call = Call {
            id,
            name: offer.call,
            front: offer.front,
            origin: offer.origin,
            class: offer.class,
            effect,
            number: offer.number,
            description: offer.description,
            deadline,
            answered: false,
            standing: false,
            out: None,
            sent: 0,
            may_have_run: false,
            not_before: Micros(0),
        };
        self.calls.insert(id, call);
        self.tell(now, Event::Call(asked));
    }

    fn withdrawn(&mut self, now: Micros, front: FrontId, name: CallName) {
        let Some(id) = self.by_name.get(&name).copied() else { return };
        let Some(call) = self.calls.get_mut(&id).filter(|c| c.front == front && !c.answered) else { return };
        call.answered = true;
        self.unanswered -= 1;
        self.tell(now, Event::CallerLeft(id));
        self.give_up(id, Outcome::Withdrawn);
        self.drop_if_over(now, id);
    }

    fn hangup(&mut self, now: Micros, front: FrontId, name: CallName, cause: Cause) {
        let Some(id) = self.by_name.get(&name).copied() else {
            // A call from before this start: whichever hub has it may hear of its release.
            if !self.ended.contains_key(&name) {
                let links: Vec<LinkId> = self.links.keys().copied().collect();
                links.into_iter().for_each(|link| self.to_hub(link, ToHub::Release(name, cause)));
                self.remember_ended(now, name);
            }
            return;
        };
        let standing = self.calls.get(&id).filter(|c| c.front == front && c.standing);
        if let Some(link) = standing.and_then(|c| c.out.as_ref()).map(|o| o.link) {
            self.to_hub(link, ToHub::Release(name, cause));
            self.end_attempt(now, id, Outcome::Withdrawn, false, Report::default());
        }
        // Danger: any connection may end what stands, but a set-up is ended by its own connection alone.
    }

    // ---- hubs ----

    fn heard(&mut self, now: Micros, link: LinkId, from: FromHub) {
        let index = self.links.get(&link).copied();
        // A link that closes has its set-ups settled, and is believed in nothing else.
        let settles = matches!(
            from,
            FromHub::GivenUp { .. }
                | FromHub::Broken(..)
                | FromHub::Unreachable(..)
                | FromHub::NotSent(..)
                | FromHub::Closed
        );
        if index.is_none() && !(settles && self.closing.contains(&link)) {
            return;
        }
        match from {
            FromHub::Stands(name, description) => self.stands(now, link, name, description),
            FromHub::Released(name, cause, note, report) => {
                let Some((id, call)) = self.at_link(link, name) else {
                    self.probed(now, index, report);
                    // A call from before this start. Danger: one that ended here must not end twice.
                    if !self.by_name.contains_key(&name) && !self.ended.contains_key(&name) {
                        for front in 0..self.fronts.len() {
                            self.to_front(FrontId(front), ToFront::Release(None, name, cause));
                        }
                        self.remember_ended(now, name);
                    }
                    return;
                };
                let outcome = ends::outcome(Seen::Released(cause, note), call.standing, None);
                if call.standing {
                    let (front, origin) = (call.front, call.origin);
                    metrics::CALLS_RELEASED.increment();
                    self.to_front(front, ToFront::Release(Some(origin), name, cause));
                }
                self.end_attempt(now, id, outcome, note == Note::Engaged, report);
            }
            FromHub::ReleasedUnanswered(name, cause, report) => {
                self.released_unanswered(now, link, name, cause, report);
            }
            FromHub::GivenUp { attempt, call, began } => {
                self.over(now, call, attempt, if began { Seen::GivenUp } else { Seen::TakenBack });
            }
            FromHub::Broken(name, attempt) => self.over(now, name, attempt, Seen::Lost),
            FromHub::Unreachable(name, attempt) => self.over(now, name, attempt, Seen::Unreachable),
            FromHub::NotSent(name, attempt) => {
                let late = self.attempt(name, attempt).is_none_or(|(_, out)| now >= out.until);
                self.over(now, name, attempt, if late { Seen::Late } else { Seen::Drained });
            }
            FromHub::State(report) => {
                if let Some(index) = index {
                    self.hubs[index].heard = true;
                }
                self.probed(now, index, report);
            }
            FromHub::Closed => {
                self.closing.remove(&link);
                // Guards against a link that forgot one: with its connections closed, nothing is out there.
                self.cut(now, link, |_| true);
            }
            FromHub::Dead => self.cut_standing(now, link, index, "dead"),
            FromHub::Media(name, frame) => {
                let call = self.at_link(link, name).map(|(_, c)| (c.standing, c.front, c.origin));
                if let Some((true, front, origin)) = call {
                    self.to_front(front, ToFront::Media(origin, name, frame));
                }
            }
        }
    }

    /// A hub's release overtook its answer: the call stood there, or may have, and is over. Its caller is owed
    /// the end within 1 s (PROTOCOL, 'The rules on sockets'), and there is no answer that could be passed on
    /// first. Danger: a further attempt would leave the caller untold of the end of the call that it made, and
    /// answered for another one. The answer that still comes is nobody's.
    fn released_unanswered(
        &mut self,
        now: Micros,
        link: LinkId,
        name: CallName,
        cause: Cause,
        report: Report,
    ) {
        let Some((id, call)) = self.at_link(link, name) else { return };
        let outcome = ends::outcome(Seen::ReleasedUnanswered(cause), call.standing, None);
        self.fail_without_give_up(now, id);
        self.end_attempt(now, id, outcome, false, report);
    }

    /// Gives the final answer 'failed' if one is owed, and leaves the attempt that is out alone: its hub has
    /// ended it.
    fn fail_without_give_up(&mut self, now: Micros, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.answered) else { return };
        call.answered = true;
        self.unanswered -= 1;
        let (front, message) = (call.front, ToFront::Fail(call.origin, call.name));
        metrics::CALLS_FAILED.increment();
        tracing::debug!(call = %call.name, "failed: released without an answer");
        self.to_front(front, message);
        self.tell(now, Event::CallerLeft(id));
    }

    fn probed(&mut self, now: Micros, index: Option<usize>, report: Report) {
        if let Some(index) = index.filter(|_| report != Report::default()) {
            self.tell(now, Event::Probed(self.hubs[index].id, Outcome::Success, report));
        }
    }

    fn stands(&mut self, now: Micros, link: LinkId, name: CallName, description: Description) {
        let id = self.by_name.get(&name).copied();
        let call = id.and_then(|id| self.calls.get_mut(&id));
        let out =
            call.and_then(|c| c.out.as_ref().filter(|o| o.link == link).map(|o| (o.ending, c.standing)));
        match (id, out) {
            (Some(_), Some((_, true))) => {}
            (Some(id), Some((None, false))) if self.calls.get(&id).is_some_and(|c| !c.answered) => {
                let Some(call) = self.calls.get_mut(&id) else { return };
                call.answered = true;
                self.unanswered -= 1;
                call.standing = true;
                self.description_bytes -= call.description.bytes.len();
                call.description = Description::default();
                let Some(out) = &call.out else { return };
                let (front, origin, server, copy) = (call.front, call.origin, out.server, out.copy);
                let took = now - out.sent;
                metrics::CALLS_ANSWERED.increment();
                tracing::debug!(call = %name, attempt = out.number, link = link.0, "stands");
                self.to_front(front, ToFront::Answer(origin, name, description));
                self.tell(now, Event::Established(id, server, copy, took));
            }
            // Danger: an answer that crosses the give-up. The hub holds a call that nobody has; it is
            // released there and never passed on. A give-up still to be written releases it as well.
            _ if id.is_some() || self.ended.contains_key(&name) => {
                self.to_hub(link, ToHub::Release(name, Cause::NORMAL));
            }
            // An id that nobody knows comes ahead of what a hub has to say, and means nothing.
            _ => {}
        }
    }

    /// A link saw an attempt end before its call stood.
    fn over(&mut self, now: Micros, name: CallName, attempt: u64, seen: Seen) {
        let Some((id, out)) = self.attempt(name, attempt) else { return };
        let outcome = ends::outcome(seen, false, out.ending);
        // One that stands is ended by its hub alone.
        if self.calls.get(&id).is_some_and(|c| !c.standing) {
            self.end_attempt(now, id, outcome, false, Report::default());
        }
    }

    /// Cuts the calls that stand at a hub whose process is over.
    fn cut_standing(&mut self, now: Micros, link: LinkId, index: Option<usize>, why: &'static str) {
        let cut = self.cut(now, link, |call| call.standing);
        let hub = index.map_or("", |index| &*self.hubs[index].uid);
        if cut > 0 {
            tracing::info!(hub, link = link.0, why, cut, "calls cut");
        }
    }

    /// What a hub had of these calls is over: its process is dead or gone. How many of them stood.
    fn cut(&mut self, now: Micros, link: LinkId, which: impl Fn(&Call) -> bool) -> u64 {
        let mut cut = 0;
        let at = self.at.range((link, CallId(0))..=(link, CallId(u64::MAX)));
        let at: Vec<CallId> = at.map(|(_, id)| *id).collect();
        for id in at {
            let Some(call) = self.calls.get(&id).filter(|c| which(c)) else { continue };
            if call.standing {
                let message = ToFront::Release(Some(call.origin), call.name, Cause::TEMPORARY_FAILURE);
                self.to_front(call.front, message);
                cut += 1;
            }
            let outcome = ends::outcome(Seen::Lost, call.standing, call.out.as_ref().and_then(|o| o.ending));
            self.end_attempt(now, id, outcome, false, Report::default());
        }
        metrics::CALLS_CUT.add(cut);
        cut
    }

    fn at_link(&self, link: LinkId, name: CallName) -> Option<(CallId, &Call)> {
        let id = *self.by_name.get(&name)?;
        let call = self.calls.get(&id)?;
        call.out.as_ref().filter(|o| o.link == link).map(|_| (id, call))
    }

    fn attempt(&self, name: CallName, number: u64) -> Option<(CallId, &Attempt)> {
        let id = *self.by_name.get(&name)?;
        let out = self.calls.get(&id)?.out.as_ref()?;
        Some((id, out)).filter(|(_, o)| o.number == number)
    }

    fn end_attempt(&mut self, now: Micros, id: CallId, outcome: Outcome, number_busy: bool, report: Report) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(out) = call.out.take() else { return };
        self.at.remove(&(out.link, id));
        call.standing = false;
        call.may_have_run |= !outcome.proves_never_ran();
        tracing::debug!(call = %call.name, attempt = out.number, link = out.link.0, ?outcome, "ended");
        if outcome.awaits_release() {
            call.not_before = now + self.limits.release;
        }
        let end = AttemptEnd {
            id,
            attempt: out.copy,
            server: out.server,
            outcome,
            over: call.answered,
            number_busy,
            report,
        };
        self.tell(now, Event::Ended(end));
        self.drop_if_over(now, id);
    }

    fn give_up(&mut self, id: CallId, ending: Outcome) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let name = call.name;
        let Some(out) = call.out.as_mut().filter(|o| o.ending.is_none()) else { return };
        out.ending = Some(ending);
        tracing::debug!(call = %name, attempt = out.number, ?ending, "giving up");
        let (link, number) = (out.link, out.number);
        self.to_hub(link, ToHub::GiveUp(name, number));
    }

    fn drop_if_over(&mut self, now: Micros, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.answered && c.out.is_none()) {
            if let Some(call) = self.calls.remove(&id) {
                self.description_bytes -= call.description.bytes.len();
                self.by_name.remove(&call.name);
                self.remember_ended(now, call.name);
            }
        }
    }

    fn remember_ended(&mut self, now: Micros, name: CallName) {
        self.ended.insert(name, now);
        self.ended_by_age.push_back((name, now));
        if self.ended_by_age.len() > ENDED_MOST {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((name, at)) = self.ended_by_age.pop_front() {
            if self.ended.get(&name) == Some(&at) {
                self.ended.remove(&name);
            }
        }
    }

    // ---- the list ----

    /// Where that hub's state is. Danger: hubs are replaced for as long as the program runs; the state of
    /// the one that has been gone longest makes room for a new one, which gets an id of its own.
    fn hub(&mut self, hub: &Hub) -> Option<usize> {
        if let Some(index) = self.by_uid.get(&*hub.uid) {
            return Some(*index);
        }
        let oldest = self.gone.first().copied().filter(|_| self.gone.len() >= GONE_MOST);
        if oldest.is_none() && self.hubs.len() >= HUBS_MOST {
            return None;
        }
        self.last_hub += 1;
        let state = HubState {
            id: ServerId(self.last_hub),
            uid: hub.uid.as_str().into(),
            endpoint: hub.endpoint.as_str().into(),
            place: hub.place,
            born: hub.born,
            phase: Phase::Up,
            told: None,
            link: None,
            heard: false,
            fixed: false,
            fresh: true,
            named: 0,
        };
        let index = match oldest {
            Some(oldest) => {
                self.gone.remove(&oldest);
                let old = &self.hubs[oldest.1];
                self.by_uid.remove(&old.uid);
                self.by_id.remove(&old.id);
                oldest.1
            }
            None => self.hubs.len(),
        };
        self.by_uid.insert(state.uid.clone(), index);
        self.by_id.insert(state.id, index);
        match oldest {
            Some(_) => self.hubs[index] = state,
            None => self.hubs.push(state),
        }
        Some(index)
    }

    fn list(&mut self, now: Micros, news: News) {
        self.lists += 1;
        self.seq = self.seq.max(news.seq);
        let mut named: Vec<usize> = Vec::with_capacity(news.hubs.len());
        for hub in &news.hubs {
            let Some(index) = self.hub(hub) else { continue };
            let state = &mut self.hubs[index];
            // A start or an address that differs is another process: what the old one had is cut.
            let other = state.born != hub.born && hub.phase == Phase::Up
                || !hub.endpoint.is_empty() && *state.endpoint != *hub.endpoint;
            if !hub.endpoint.is_empty() {
                state.endpoint = hub.endpoint.as_str().into();
            }
            state.place = hub.place;
            state.born = hub.born.or(state.born.filter(|_| hub.phase != Phase::Up));
            if state.phase != hub.phase || other {
                tracing::debug!(hub = %state.uid, phase = ?hub.phase, endpoint = %state.endpoint, other, "listed");
            }
            state.phase = hub.phase;
            state.named = self.lists;
            if other {
                self.close(now, index);
            }
            if hub.phase == Phase::Up && !hub.endpoint.is_empty() {
                self.succeed(now, index, &mut named);
            }
            named.push(index);
        }
        if news.all {
            let absent = |h: &HubState| h.named != self.lists && !h.fixed && h.phase != Phase::Gone;
            let absent: Vec<usize> = (0..self.hubs.len()).filter(|i| absent(&self.hubs[*i])).collect();
            for index in absent {
                self.hubs[index].phase = Phase::Gone;
                named.push(index);
            }
        }
        named.sort_unstable();
        named.dedup();
        for index in &named {
            self.place(now, *index, news.told.min(now));
        }
        let entry = |h: &HubState| Entry {
            server: h.id,
            place: h.place,
            phase: h.phase,
            born: h.born,
            phase_since: h.told,
        };
        let (kind, entries) = match self.listed && !news.all {
            true => (ListKind::Changes, named.iter().map(|i| entry(&self.hubs[*i])).collect()),
            false => {
                let kind = if news.all { ListKind::Full } else { ListKind::Saved };
                (kind, self.hubs.iter().filter(|h| h.phase != Phase::Gone).map(entry).collect())
            }
        };
        self.listed |= news.all;
        if self.memory.is_some() {
            self.recall(now);
        }
        self.tell(now, Event::List(kind, entries));
    }

    /// A hub that comes into service at an address succeeds whoever had it. Danger: the other's link, with its end
    /// still to be told, would dial the new process, and take its words for the old one's.
    fn succeed(&mut self, now: Micros, index: usize, named: &mut Vec<usize>) {
        let old = self.linked.get(&self.hubs[index].endpoint).copied();
        if let Some(old) = old.filter(|i| *i != index && !self.hubs[*i].fixed) {
            tracing::debug!(hub = %self.hubs[old].uid, by = %self.hubs[index].uid, "succeeded");
            self.hubs[old].phase = Phase::Gone;
            self.close(now, old);
            named.push(old);
        }
    }

    /// Has a hub's link be as the hub's phase wants it; a phase that is new counts as told since `told`.
    fn place(&mut self, now: Micros, index: usize, told: Micros) {
        if self.hubs[index].phase == Phase::Gone {
            self.close(now, index);
        }
        let state = &mut self.hubs[index];
        if state.phase == Phase::Up && state.link.is_none() {
            self.last_link += 1;
            let link = LinkId(self.last_link);
            state.link = Some((link, (self.connect)(link, &state.endpoint)));
            self.links.insert(link, index);
            self.linked.insert(state.endpoint.clone(), index);
        }
        let was = state.told;
        state.told = match state.phase {
            Phase::Up => None,
            _ => Some(was.unwrap_or(told)),
        };
        if was != state.told {
            let message = ToHub::NotAfter(state.told.map(|t| t + self.limits.drain_grace));
            if let Some(link) = state.link.as_ref().map(|l| l.0) {
                self.to_hub(link, message);
            }
        }
        if let Some(was) = was {
            self.gone.remove(&(was, index));
        }
        let state = &self.hubs[index];
        if let Some(told) = state.told.filter(|_| state.forgettable()) {
            self.gone.insert((told, index));
        }
    }

    fn close(&mut self, now: Micros, index: usize) {
        if let Some((link, sender)) = self.hubs[index].link.take() {
            let _ = sender.try_send(ToHub::Close);
            self.links.remove(&link);
            self.linked.retain(|_, i| *i != index);
            self.closing.insert(link);
            self.hubs[index].heard = false;
            // What stood is over. Danger: a set-up is out until its connection is closed; the link says when.
            let why = if self.hubs[index].phase == Phase::Gone { "gone" } else { "replaced" };
            self.cut_standing(now, link, Some(index), why);
        }
    }

    // ---- the module ----

    /// Tells the module, and does what it says; what that leads to at once is told next.
    fn tell(&mut self, now: Micros, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.controller.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send(id, server, timeout) => {
                        if !self.send(now, id, server, timeout) {
                            let copy = self.calls.get_mut(&id).map_or(0, |c| {
                                c.sent += 1;
                                c.sent - 1
                            });
                            let over = self.calls.get(&id).is_none_or(|c| c.answered);
                            events.push_back(Event::Ended(AttemptEnd {
                                id,
                                attempt: copy,
                                server,
                                outcome: Outcome::Void,
                                over,
                                number_busy: false,
                                report: Report::default(),
                            }));
                        }
                    }
                    Action::Refuse(..) | Action::Fail(_) => self.finish(now, action),
                    Action::Cancel(id, copy) => {
                        let out = self.calls.get(&id).filter(|c| !c.standing).and_then(|c| c.out.as_ref());
                        if out.is_some_and(|o| o.copy == copy) {
                            self.give_up(id, Outcome::Withdrawn);
                        }
                    }
                    Action::Timer(at, token) => self.wheel.add(at, Due::Module(token)),
                    // Session controllers have no way to talk to each other, and the list comes unasked.
                    Action::SendToPeer(..) | Action::Subscribe => {}
                }
            }
        }
    }

    /// Starts an attempt, unless a rule forbids it: the module's gate keeps the rules, and this
    /// guards them against its bugs and against what happened while its decision was made.
    fn send(&mut self, now: Micros, id: CallId, server: ServerId, timeout: Micros) -> bool {
        let hub = self.by_id.get(&server).and_then(|i| self.hubs.get(*i));
        let Some((hub, (link, sender))) = hub.and_then(|h| h.link.as_ref().map(|l| (h, l))) else {
            return false;
        };
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let drained = hub.told.is_some_and(|t| t + self.limits.drain_grace <= now);
        let until = (now + timeout).min(call.deadline);
        if drained
            || call.answered
            || call.out.is_some()
            || call.once()
            || now < call.not_before
            || until <= now
            || call.sent >= self.max_attempts
        {
            tracing::debug!(call = %call.name, hub = %hub.uid, drained, sent = call.sent, "not sent: a rule forbids it");
            return false;
        }
        self.last_attempt += 1;
        let number = self.last_attempt;
        let set_up = SetUp {
            call: call.name,
            attempt: number,
            class: call.class.clone(),
            number: call.number.clone(),
            until,
            description: call.description.clone(),
        };
        if sender.try_send(ToHub::SetUp(set_up)).is_err() {
            return false;
        }
        metrics::ATTEMPTS.increment();
        metrics::RETRIES.add(u64::from(call.sent > 0));
        tracing::debug!(call = %call.name, attempt = number, link = link.0, hub = %hub.uid, copy = call.sent, "sent");
        call.out =
            Some(Attempt { link: *link, server, copy: call.sent, number, sent: now, until, ending: None });
        self.at.insert((*link, id));
        call.sent += 1;
        self.wheel.add(until, Due::Attempt(id, number));
        true
    }

    /// Gives a final answer, once. Danger: 'refused' tells a caller that nothing ran, and that it may dial again.
    fn finish(&mut self, now: Micros, action: Action) {
        let (Action::Refuse(id, _) | Action::Fail(id)) = action else { return };
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.answered) else { return };
        let open = call.effect != Idempotency::Free && call.out.is_some();
        let action = if call.once() || open { Action::Fail(id) } else { action };
        call.answered = true;
        self.unanswered -= 1;
        let (front, origin, name) = (call.front, call.origin, call.name);
        tracing::debug!(call = %name, refused = matches!(action, Action::Refuse(..)), "answered");
        let message = match action {
            Action::Refuse(_, away) => {
                metrics::CALLS_REFUSED.increment();
                ToFront::Refuse(origin, name, away)
            }
            _ => {
                metrics::CALLS_FAILED.increment();
                ToFront::Fail(origin, name)
            }
        };
        self.to_front(front, message);
        self.give_up(id, Outcome::Withdrawn);
        self.drop_if_over(now, id);
    }

    fn to_front(&self, front: FrontId, message: ToFront) {
        let Some(sender) = self.fronts.get(front.0) else { return };
        if let Err(mpsc::error::TrySendError::Full(lost)) = sender.try_send(message) {
            tracing::error!(front = front.0, "the front takes nothing, lost {lost:?}");
        }
    }

    fn to_hub(&self, link: LinkId, message: ToHub) {
        let hub = self.links.get(&link).and_then(|i| self.hubs.get(*i));
        let Some((_, sender)) = hub.and_then(|h| h.link.as_ref()) else { return };
        if let Err(mpsc::error::TrySendError::Full(lost)) = sender.try_send(message) {
            tracing::error!(link = link.0, "the hub's link takes nothing, lost {lost:?}");
        }
    }
}

/// The number called, as the module knows it: its hex digits, or a hash of other text.
fn number_of(text: &str) -> Option<u64> {
    let hash = |t: &str| {
        t.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    };
    Some(text).filter(|t| !t.is_empty()).map(|t| u64::from_str_radix(t, 16).unwrap_or_else(|_| hash(t)))
}

/// Danger: where the processor is short, a set-up may wait here while its caller leaves. Taken one by one, it
/// would be sent on for nobody. Takes out the set-ups that are withdrawn later in the same turn, and puts the
/// withdrawals first: those ahead of a new set-up of the same name stay there.
fn skip_withdrawn(turn: &mut Vec<Input>) {
    let key = |front: FrontId, origin: Origin, call: CallName| (front.0, origin.0, call);
    let mut gone = HashSet::new();
    for input in turn.iter() {
        if let Input::Withdrawn(front, origin, call) = input {
            gone.insert(key(*front, *origin, *call));
        }
    }
    if gone.is_empty() {
        return;
    }
    // From the last on: one that was withdrawn before, and comes again after that, stays.
    let mut left = HashSet::new();
    let mut keep: Vec<bool> = turn
        .iter()
        .rev()
        .map(|input| match input {
            Input::Withdrawn(front, origin, call) => {
                left.insert(key(*front, *origin, *call));
                true
            }
            Input::Offer(o) => !left.remove(&key(o.front, o.origin, o.call)),
            _ => true,
        })
        .collect();
    turn.retain(|_| keep.pop().unwrap_or(true));
    // What else is in the turn may lead to a further attempt of a call that is withdrawn in it.
    turn.sort_by_key(|input| !matches!(input, Input::Withdrawn(..)));
}

/// Runs the core until every sender of its queue is gone.
///
/// Danger: where the processor is short, a timer that is due is seen before the sockets are, and what came there long
/// before would be handled after what the timer leads to. So the sockets are read before a tick, and all that waits is
/// taken together, departures first.
pub async fn run(mut core: Core, mut inputs: mpsc::Receiver<Input>, clock: Clock) {
    let mut ticks = tokio::time::interval(Duration::from_micros(TICK.0));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut waiting = Vec::with_capacity(TURN);
    loop {
        let ticked = tokio::select! {
            _ = ticks.tick() => true,
            count = inputs.recv_many(&mut waiting, QUEUE) => {
                if count == 0 {
                    return;
                }
                false
            }
        };
        if ticked {
            // It goes on once the runtime has polled the sockets and run the tasks that these woke.
            tokio::task::yield_now().await;
        }
        while waiting.len() < QUEUE {
            let Ok(input) = inputs.try_recv() else { break };
            waiting.push(input);
        }
        skip_withdrawn(&mut waiting);
        for (number, input) in waiting.drain(..).enumerate() {
            if number > 0 && number % TURN == 0 {
                core.tick(clock.now());
            }
            core.handle(clock.now(), input);
        }
        if ticked {
            core.tick(clock.now());
        }
    }
}
