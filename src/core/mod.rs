//! The protocol-independent core. It owns the decision module, the call table and the timer wheel.
//!
//! The core runs as a single task ([`run`]). Socket code sends it [`Input`]s through a bounded queue and
//! receives commands through queues. The decision module ([`Controller`]) chooses what to do; the core keeps
//! the state of calls and hubs and enforces the rules even if another component has a bug: one final answer
//! per call, one attempt at a time, the release pause between attempts, and no new set-ups to a drained hub.

pub mod outcome;
mod past_attempts;
mod recent_calls;
pub mod timer_wheel;
mod types;
mod unknown_releases;

pub use types::*;

use crate::config::{Config, Limits, WireNames};
use crate::interface::*;
use crate::learning::{Identity, LearnedHub, LearnedState, RestoredState, StateCollector};
use crate::metrics;
use crate::Controller;
use outcome::ObservedEnd;
use past_attempts::PastAttempts;
use recent_calls::RecentCalls;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use timer_wheel::{TimerKey, TimerWheel, TICK_LENGTH};
use tokio::sync::{mpsc, watch};
use tokio::time::{Duration, Instant, MissedTickBehavior};
use unknown_releases::UnknownReleases;

/// Capacity of the queue of inputs. Socket code waits while it is full.
pub const INPUT_QUEUE_CAPACITY: usize = 4096;
/// Number of inputs handled in a row before the timers are checked again.
const INPUTS_PER_TICK_CHECK: usize = 64;
/// Capacity of the queue of messages to one front.
pub const FRONT_QUEUE_CAPACITY: usize = 65_536;
/// How long the names of ended calls are remembered, so that late messages about them are recognised as late.
const ENDED_CALL_RETENTION: Micros = Micros(30_000_000);
/// Upper bound on the number of ended calls remembered within [`ENDED_CALL_RETENTION`].
const MAX_ENDED_CALLS: usize = 32_768;
/// Time after the start at which the process reports itself ready even if some hubs have not reported their
/// state.
const READY_TIMEOUT: Micros = Micros(1_000_000);
/// Maximum number of hubs known at once, including removed ones. Further hubs in a list are ignored.
const MAX_HUBS: usize = 4096;
/// Number of removed hubs that are remembered, so that a hub that returns keeps its id.
const MAX_GONE_HUBS: usize = 1024;
/// Upper bound on how long a caller waits for an answer, unless a class of the settings has a longer
/// deadline.
const MAX_CALLER_WAIT: Micros = Micros(60_000_000);
/// Number of hubs whose learned state is collected at one tick, so that no call waits for all hubs.
const HUBS_COLLECTED_PER_TICK: usize = 128;

/// Unix time. The system clock is read once; after that the monotonic clock, which tests can pause, advances
/// it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Creates a clock from the current system time.
    pub fn system() -> Clock {
        let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Clock { base: Micros(elapsed.as_micros() as u64), start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.base + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a time to an [`Instant`], for sleeping until it.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.base).0)
    }
}

/// Starts the link to the hub at an endpoint and returns the sender of its commands.
pub type ConnectHub = Box<dyn FnMut(LinkId, &str) -> mpsc::Sender<ToHub> + Send>;

/// State of a hub that is or was named by a list or by the operator's file.
struct HubState {
    id: ServerId,
    uid: Arc<str>,
    endpoint: Arc<str>,
    place: i64,
    born: Option<Micros>,
    phase: Phase,
    /// When the hub was told to drain or was removed; `None` while it is in service.
    leaving_since: Option<Micros>,
    link: Option<(LinkId, mpsc::Sender<ToHub>)>,
    /// Whether its current link has reported the hub's state.
    reported: bool,
    /// The hub comes from the operator's file, so no list removes it.
    configured: bool,
    /// The hub is new since the last list that was passed to the decision module.
    newly_listed: bool,
    /// Number of the last list update that named this hub.
    last_listed: u64,
}

impl HubState {
    fn identity(&self) -> Identity {
        let (uid, endpoint) = (self.uid.clone(), self.endpoint.clone());
        Identity { uid, endpoint, place: self.place, born: self.born }
    }

    /// Whether the hub is gone, has no link left and may be replaced by a new hub.
    fn is_removable(&self) -> bool {
        self.phase == Phase::Gone && self.link.is_none() && !self.configured
    }
}

/// The open attempt of a call at a hub.
#[derive(Debug)]
struct Attempt {
    link: LinkId,
    server: ServerId,
    /// Number of the attempt within its call, counted from 0 as the decision module does.
    index: u32,
    /// Number of the attempt, unique among all attempts of this process.
    number: u64,
    sent_at: Micros,
    times_out_at: Micros,
    /// The timer of its time-out.
    timer: TimerKey,
    /// Set when the attempt is given up: the outcome that it ends with.
    give_up_reason: Option<Outcome>,
}

/// A call that is being set up, is established or is being given up.
struct Call {
    id: CallId,
    name: CallName,
    front: FrontId,
    origin: Origin,
    class: Arc<str>,
    /// Whether the set-up may be repeated at a hub once it may have run.
    idempotency: Idempotency,
    number: Arc<str>,
    description: Description,
    /// Size of the open set-up; zero once it is answered.
    open_bytes: usize,
    deadline: Micros,
    /// The final answer was given, or none is due any more.
    answered: bool,
    established: bool,
    attempt: Option<Attempt>,
    attempts_sent: u32,
    /// An attempt ended without proof that it never ran.
    may_have_run: bool,
    /// End of the release pause: no further attempt starts earlier.
    not_before: Micros,
    /// Timers of the call, other than its attempt's time-out, that have not come due.
    timers: Vec<TimerKey>,
}

impl Call {
    /// Whether a further attempt, or telling the caller that nothing ran, could do harm.
    fn must_not_repeat(&self) -> bool {
        self.idempotency != Idempotency::Free && self.may_have_run
    }

    /// Whether an attempt is open that may run and must not be repeated.
    fn has_open_single_attempt(&self) -> bool {
        self.idempotency != Idempotency::Free && self.attempt.is_some()
    }
}

/// What to do when a timer of the core fires.
enum TimerEvent {
    /// A timer that the decision module asked for, with its call and token.
    Module(CallId, u64),
    /// The end of the release pause of a call that came again after its caller had left.
    Start(NewCall),
    /// The time-out of the attempt with this number.
    Attempt(CallId, u64),
    Deadline(CallId),
    /// The end of the time that open calls get when the process shuts down.
    Shutdown,
}

/// Channel for exported learned state; receivers see only the latest value.
pub type LearnedStateSender = watch::Sender<Option<Arc<LearnedState>>>;

/// Periodic export of the learned state.
struct StateExport {
    sender: LearnedStateSender,
    interval: Micros,
    next_at: Micros,
    collector: Option<StateCollector>,
}

/// State of the core, as used by the fronts and by the shutdown of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The hubs have reported their state, or the time allowed for this has passed.
    pub ready: bool,
    /// The process is shutting down.
    pub stopping: bool,
    /// Number of calls that still wait for their final answer.
    pub unanswered: usize,
    /// Number of callers' releases that wait to be passed on to hubs.
    pub unsent_releases: usize,
}

/// Current load of this process, as reported to other controllers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSummary {
    /// Number of set-ups received from callers since the start.
    pub offered: u64,
    /// Number of calls at hubs, both set-ups without an answer and established calls.
    pub open_calls: u32,
    /// Sequence number of the newest change-log event seen.
    pub seq: u64,
    /// The process is shutting down.
    pub stopping: bool,
}

/// State of the core. It reads no clock: callers pass the current time to each method.
pub struct Core {
    controller: Controller,
    names: WireNames,
    /// Idempotency and deadline of each class.
    classes: Vec<(Idempotency, Micros)>,
    /// The longest time that a caller is taken to wait.
    longest_wait: Micros,
    limits: Limits,
    max_attempts: u32,
    fronts: Vec<mpsc::Sender<ToFront>>,
    connect: ConnectHub,
    status: watch::Sender<Status>,
    stopping: bool,
    /// The shutdown time has passed, so no answer of a hub could arrive in time.
    refuse_new_calls: bool,
    started: Micros,
    timers: TimerWheel<TimerEvent>,
    calls: BTreeMap<CallId, Call>,
    call_by_name: HashMap<CallName, CallId>,
    /// Number of calls that still wait for their final answer.
    unanswered: usize,
    /// Total size of the open set-ups.
    open_bytes: usize,
    /// Calls that were at a hub and are over, or that a hub released and this process does not know.
    ended_calls: RecentCalls,
    unknown_releases: UnknownReleases,
    /// What the attempts of ended calls mean for set-ups under the same names.
    past_attempts: PastAttempts,
    hubs: Vec<HubState>,
    hub_by_uid: HashMap<Arc<str>, usize>,
    hub_by_id: BTreeMap<ServerId, usize>,
    /// Hubs that a new hub may replace, ordered by the time at which they were removed.
    removable_hubs: BTreeSet<(Micros, usize)>,
    hub_by_link: BTreeMap<LinkId, usize>,
    /// Index of the hub whose link leads to an address.
    hub_by_endpoint: HashMap<Arc<str>, usize>,
    /// Links that were told to close and still have set-ups whose end is not known.
    closing_links: BTreeSet<LinkId>,
    /// Calls that have an attempt at a link.
    calls_by_link: BTreeSet<(LinkId, CallId)>,
    last_call_id: u64,
    last_attempt_number: u64,
    last_link_id: u64,
    last_hub_id: u64,
    /// Number of hub list updates applied so far.
    update_count: u64,
    full_list_received: bool,
    /// No change log is configured, or all its events up to now were received since the start.
    change_log_current: bool,
    restored: Option<RestoredState>,
    export: Option<StateExport>,
    offered: u64,
    seq: u64,
    load_sender: Option<watch::Sender<LoadSummary>>,
}

impl Core {
    /// Creates a core that knows no hubs. `status` is kept up to date for the fronts.
    pub fn new(
        config: &Config,
        fronts: Vec<mpsc::Sender<ToFront>>,
        connect: ConnectHub,
        status: watch::Sender<Status>,
        now: Micros,
    ) -> Result<Core, SettingsError> {
        Ok(Core {
            controller: Controller::new(config.settings.clone(), config.seed, now)?,
            names: config.names.clone(),
            classes: config.settings.classes.iter().map(|c| (c.idempotency, c.deadline)).collect(),
            longest_wait: longest_wait(&config.settings.classes),
            limits: config.limits.clone(),
            max_attempts: config.settings.max_attempts,
            fronts,
            connect,
            status,
            stopping: false,
            refuse_new_calls: false,
            started: now,
            timers: TimerWheel::new(now),
            calls: BTreeMap::new(),
            call_by_name: HashMap::new(),
            unanswered: 0,
            open_bytes: 0,
            ended_calls: RecentCalls::new(ENDED_CALL_RETENTION, MAX_ENDED_CALLS),
            unknown_releases: UnknownReleases::default(),
            past_attempts: PastAttempts::new(longest_wait(&config.settings.classes)),
            hubs: Vec::new(),
            hub_by_uid: HashMap::new(),
            hub_by_id: BTreeMap::new(),
            removable_hubs: BTreeSet::new(),
            hub_by_link: BTreeMap::new(),
            hub_by_endpoint: HashMap::new(),
            closing_links: BTreeSet::new(),
            calls_by_link: BTreeSet::new(),
            last_call_id: 0,
            last_attempt_number: 0,
            last_link_id: 0,
            last_hub_id: 0,
            update_count: 0,
            full_list_received: false,
            change_log_current: config.change_log.is_none(),
            restored: None,
            export: None,
            offered: 0,
            seq: 0,
            load_sender: None,
        })
    }

    /// Sets the state that an earlier run saved. It is applied to the hubs that the next lists name.
    pub fn restore(&mut self, restored: RestoredState) {
        self.restored = Some(restored);
    }

    /// Sends the learned state to `sender` at every `interval`, starting once a list was received.
    pub fn export_state(&mut self, sender: LearnedStateSender, interval: Micros, now: Micros) {
        self.export = Some(StateExport { sender, interval, next_at: now + interval, collector: None });
    }

    /// Sends the current load to a channel at every tick.
    pub fn publish_load(&mut self, sender: watch::Sender<LoadSummary>) {
        self.load_sender = Some(sender);
    }

    /// Returns the number of calls in the table.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of timers that are set.
    pub fn waiting_timers(&self) -> usize {
        self.timers.len()
    }

    /// Returns the number of known hubs, including removed ones.
    pub fn known_hubs(&self) -> usize {
        self.hubs.len()
    }

    /// Adds the hubs of the operator's file. No list removes them.
    pub fn add_configured_hubs(&mut self, now: Micros, hubs: Vec<Hub>) {
        for hub in &hubs {
            if let Some(index) = self.find_or_add_hub(hub) {
                self.hubs[index].configured = true;
            }
        }
        self.apply_hub_list(now, HubListUpdate { full: false, hubs, effective_since: now, seq: 0 });
    }

    /// Processes one input.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Offer(offer) => self.handle_offer(now, offer),
            Input::Withdrawn(front, origin, name) => {
                // A lost connection withdraws only the set-ups that came in on it.
                let known = self.call_by_name.get(&name).and_then(|id| self.calls.get(id));
                if known.is_some_and(|c| c.origin == origin) {
                    self.handle_withdrawal(now, front, name);
                }
            }
            Input::Shutdown(by) => {
                self.stopping = true;
                self.timers.add(by, TimerEvent::Shutdown);
            }
            Input::Hangup(front, name, cause) => self.handle_hangup(now, front, name, cause),
            Input::Media(front, name, frame) => {
                let call = self.call_by_name.get(&name).and_then(|id| self.calls.get(id));
                let call = call.filter(|c| c.established && c.front == front);
                if let Some(attempt) = call.and_then(|c| c.attempt.as_ref()) {
                    let (link, message) = (attempt.link, ToHub::Media(name, frame));
                    self.to_hub(link, message);
                }
            }
            Input::Hub(link, event) => self.handle_hub_event(now, link, event),
            Input::HubList(update) => self.apply_hub_list(now, update),
            Input::ChangeLogCurrent => self.change_log_current = true,
            Input::ExportState => self.collect_state(now, usize::MAX),
        }
    }

    /// Collects the learned state of up to `max_hubs` further hubs, and exports it once all are collected.
    fn collect_state(&mut self, now: Micros, max_hubs: usize) {
        // Before the first list no hub is known. An export now would overwrite the state that the last run
        // saved with an empty one.
        let Some(export) = self.export.as_mut().filter(|_| !self.hubs.is_empty()) else { return };
        let (hubs, controller) = (&self.hubs, &self.controller);
        let learned_hub = |i: usize| {
            let hub = hubs.get(i).filter(|h| h.phase != Phase::Gone)?;
            Some(LearnedHub { hub: hub.identity(), estimate: controller.estimate(hub.id)? })
        };
        let collector = export.collector.get_or_insert_default();
        if let Some(mut learned_hubs) = collector.collect(hubs.len(), max_hubs, learned_hub) {
            let unlisted = self.restored.iter().flat_map(|restored| restored.unlisted(now)).cloned();
            learned_hubs.extend(unlisted.take(MAX_HUBS.saturating_sub(hubs.len())));
            let learned = LearnedState { at: now, hold: controller.mean_hold_secs(), hubs: learned_hubs };
            export.collector = None;
            export.next_at = now + export.interval;
            export.sender.send_replace(Some(Arc::new(learned)));
        }
    }

    /// Passes the saved state of hubs that a list names for the first time to the decision module.
    fn recall_new_hubs(&mut self, now: Micros) {
        let Some(restored) = &mut self.restored else { return };
        let newly_listed = self.hubs.iter_mut().filter(|h| h.newly_listed);
        let mut recalled = Vec::new();
        for hub in newly_listed {
            hub.newly_listed = false;
            recalled.extend(restored.recall(&hub.identity(), now).map(|estimate| (hub.id, estimate)));
        }
        let hold = restored.hold(now);
        if restored.is_empty() {
            self.restored = None;
        }
        if hold.is_some() || !recalled.is_empty() {
            self.dispatch(now, Event::Restored(hold, recalled));
        }
    }

    /// Handles the timers that are due and publishes the current status and load.
    pub fn tick(&mut self, now: Micros) {
        for (key, event) in self.timers.advance(now) {
            match event {
                TimerEvent::Module(id, token) => {
                    if let Some(call) = self.calls.get_mut(&id) {
                        call.timers.retain(|timer| *timer != key);
                    }
                    self.dispatch(now, Event::Timer(token));
                }
                TimerEvent::Start(new_call) => {
                    if self.calls.get(&new_call.id).is_some_and(|c| !c.answered) {
                        self.dispatch(now, Event::Call(new_call));
                    }
                }
                TimerEvent::Attempt(id, number) => {
                    let attempt =
                        self.calls.get(&id).filter(|c| !c.established).and_then(|c| c.attempt.as_ref());
                    if attempt.is_some_and(|a| a.number == number && a.give_up_reason.is_none()) {
                        self.give_up(id, Outcome::TimedOut);
                    }
                }
                // The decision module answers shortly before the deadline. This ensures a final answer by the
                // deadline even if it does not.
                TimerEvent::Deadline(id) => {
                    if self.calls.get(&id).is_some_and(|c| !c.answered) {
                        self.give_final_answer(now, Action::Fail(id));
                        self.dispatch(now, Event::CallerLeft(id));
                    }
                }
                // Calls still open when the process must end are refused; otherwise their callers would get
                // no answer.
                TimerEvent::Shutdown => {
                    self.refuse_new_calls = true;
                    let open = self.calls.values().filter(|c| !c.answered).map(|c| c.id);
                    let open: Vec<CallId> = open.collect();
                    for id in open {
                        self.give_final_answer(now, Action::Refuse(id, Micros(0)));
                        self.dispatch(now, Event::CallerLeft(id));
                    }
                }
            }
        }
        self.ended_calls.forget_expired(now);
        self.past_attempts.forget_expired(now);
        self.pass_on_unknown_releases(now);
        if self.export.as_ref().is_some_and(|e| e.next_at <= now || e.collector.is_some()) {
            self.collect_state(now, HUBS_COLLECTED_PER_TICK);
        }
        if let Some(sender) = &self.load_sender {
            let (open_calls, stopping) = (self.calls_by_link.len() as u32, self.stopping);
            sender.send_replace(LoadSummary { offered: self.offered, open_calls, seq: self.seq, stopping });
        }
        let previous = *self.status.borrow();
        let ready = previous.ready || self.started + READY_TIMEOUT <= now || self.has_initial_state();
        let unanswered = self.unanswered;
        let unsent_releases = self.unknown_releases.len();
        let status = Status { ready, stopping: self.stopping, unanswered, unsent_releases };
        if status != previous {
            self.status.send_replace(status);
        }
    }

    /// Whether the change log was read and every hub of the list has reported its state since the start. The
    /// list in the configuration is not enough: it may be older than a drain that is already in effect.
    fn has_initial_state(&self) -> bool {
        let expected = |h: &&HubState| h.phase == Phase::Up && !h.configured;
        self.full_list_received
            && self.change_log_current
            && self.hubs.iter().filter(expected).all(|h| h.reported)
    }

    // ---- callers ----

    fn handle_offer(&mut self, now: Micros, offer: Offer) {
        self.offered += 1;
        metrics::CALLS_OFFERED.increment();
        if let Some(known) = self.call_by_name.get(&offer.call).and_then(|id| self.calls.get(id)) {
            // A retransmission of an open set-up is ignored, because it is answered only once. One from
            // another connection, or of a call that is established or still being given up at a hub, must not
            // start a second attempt, but its sender must get an answer. A refusal would say that nothing ran.
            if known.answered || known.origin != offer.origin {
                let may_run = known.must_not_repeat() || known.has_open_single_attempt();
                let message = match known.answered && may_run {
                    true => ToFront::Fail(offer.origin, offer.call),
                    false => ToFront::Refuse(offer.origin, offer.call, Micros(0)),
                };
                self.to_front(offer.front, message);
            }
            return;
        }
        if self.past_attempts.may_not_run_again(offer.call) {
            metrics::CALLS_FAILED.increment();
            return self.to_front(offer.front, ToFront::Fail(offer.origin, offer.call));
        }
        if self.refuse_new_calls {
            metrics::CALLS_REFUSED.increment();
            return self.to_front(offer.front, ToFront::Refuse(offer.origin, offer.call, Micros(0)));
        }
        let class = self.names.classes.get(&*offer.class).copied();
        let Some((class, (idempotency, class_deadline))) =
            class.and_then(|c| Some((c, *self.classes.get(c)?)))
        else {
            return self.to_front(offer.front, ToFront::Fail(offer.origin, offer.call));
        };
        let deadline = offer.deadline.unwrap_or(now + class_deadline).min(now + self.longest_wait);
        // The number of calls alone does not bound the memory: set-ups of 16 KiB each would exhaust it long
        // before the table is full.
        let open_bytes = offer.open_bytes();
        if self.calls.len() >= self.limits.max_open
            || self.open_bytes + open_bytes > self.limits.max_open_bytes
        {
            return self.to_front(offer.front, ToFront::Refuse(offer.origin, offer.call, Micros(0)));
        }
        self.last_call_id += 1;
        let id = CallId(self.last_call_id);
        let new_call = NewCall {
            id,
            class,
            place: offer.place,
            number: number_key(&offer.number),
            deadline,
            repeat: offer.repeat,
            returned: offer.returned,
            transit: false,
        };
        let not_before = self.past_attempts.release_pause_end(offer.call);
        tracing::debug!(call = %offer.call, within_us = (deadline - now).0, "call accepted");
        self.open_bytes += open_bytes;
        self.unanswered += 1;
        self.call_by_name.insert(offer.call, id);
        let deadline_timer = self.timers.add(deadline, TimerEvent::Deadline(id));
        let call = Call {
            id,
            name: offer.call,
            front: offer.front,
            origin: offer.origin,
            class: offer.class,
            idempotency,
            number: offer.number,
            description: offer.description,
            open_bytes,
            deadline,
            answered: false,
            established: false,
            attempt: None,
            attempts_sent: 0,
            may_have_run: false,
            not_before,
            timers: vec![deadline_timer],
        };
        self.calls.insert(id, call);
        if now < not_before {
            let timer = self.timers.add(not_before, TimerEvent::Start(new_call));
            self.calls.entry(id).and_modify(|call| call.timers.push(timer));
        } else {
            self.dispatch(now, Event::Call(new_call));
        }
    }

    fn handle_withdrawal(&mut self, now: Micros, front: FrontId, name: CallName) {
        let Some(id) = self.call_by_name.get(&name).copied() else { return };
        if !self.calls.get(&id).is_some_and(|c| c.front == front && !c.answered) {
            return;
        }
        self.mark_answered(id);
        self.dispatch(now, Event::CallerLeft(id));
        self.give_up(id, Outcome::Withdrawn);
        self.remove_call_if_over(now, id);
    }

    fn handle_hangup(&mut self, now: Micros, front: FrontId, name: CallName, cause: Cause) {
        let Some(id) = self.call_by_name.get(&name).copied() else {
            // The call may have been set up before this process started.
            if !self.ended_calls.contains(name) && !self.unknown_releases.add(now, name, cause) {
                metrics::UNKNOWN_RELEASES_DROPPED.increment();
            }
            return;
        };
        let established = self.calls.get(&id).filter(|c| c.front == front && c.established);
        if let Some(link) = established.and_then(|c| c.attempt.as_ref()).map(|a| a.link) {
            self.to_hub(link, ToHub::Release(name, cause));
            self.end_attempt(now, id, Outcome::Withdrawn, false, Report::default());
        }
        // Any connection may release an established call, but only the connection that a set-up came in on
        // may end the set-up.
    }

    /// Passes releases of calls that this process does not know on to all hubs, since any of them may hold the call.
    fn pass_on_unknown_releases(&mut self, now: Micros) {
        let due = self.unknown_releases.take_due(now);
        if due.is_empty() {
            return;
        }
        let links: Vec<LinkId> = self.hub_by_link.keys().copied().collect();
        for (name, cause) in due {
            links.iter().for_each(|link| self.to_hub(*link, ToHub::ReleaseUnknown(name, cause)));
        }
    }

    // ---- hubs ----

    fn handle_hub_event(&mut self, now: Micros, link: LinkId, event: FromHub) {
        let index = self.hub_by_link.get(&link).copied();
        // From a link that is closing, only the ends of its set-ups are accepted.
        let ends_set_up = matches!(
            event,
            FromHub::GivenUp { .. }
                | FromHub::ConnectionLost(..)
                | FromHub::Unreachable(..)
                | FromHub::NotSent(..)
                | FromHub::Closed
        );
        if index.is_none() && !(ends_set_up && self.closing_links.contains(&link)) {
            return;
        }
        match event {
            FromHub::Answered(name, description) => self.handle_answer(now, link, name, description),
            FromHub::Released(name, cause, note, report) => {
                let Some((id, call)) = self.call_at_link(link, name) else {
                    self.forward_load_report(now, index, report);
                    // The call may have been set up before this process started, so all fronts get the
                    // release. A call that already ended here must not be released a second time.
                    if !self.call_by_name.contains_key(&name) && !self.has_ended(name) {
                        for front in 0..self.fronts.len() {
                            self.to_front(FrontId(front), ToFront::Release(None, name, cause));
                        }
                        self.ended_calls.record(now, name);
                    }
                    return;
                };
                let outcome = outcome::outcome_of(ObservedEnd::Released(cause, note), call.established, None);
                if call.established {
                    let (front, origin) = (call.front, call.origin);
                    metrics::CALLS_RELEASED.increment();
                    self.to_front(front, ToFront::Release(Some(origin), name, cause));
                }
                self.end_attempt(now, id, outcome, note == RefusalNote::NumberBusy, report);
            }
            FromHub::ReleasedUnanswered(name, cause, report) => {
                self.handle_release_before_answer(now, link, name, cause, report);
            }
            FromHub::GivenUp { attempt, call, began } => {
                self.handle_set_up_end(
                    now,
                    call,
                    attempt,
                    if began { ObservedEnd::GivenUp } else { ObservedEnd::CancelledUnsent },
                );
            }
            FromHub::ConnectionLost(name, attempt) => {
                self.handle_set_up_end(now, name, attempt, ObservedEnd::ConnectionLost)
            }
            FromHub::Unreachable(name, attempt) => {
                self.handle_set_up_end(now, name, attempt, ObservedEnd::Unreachable)
            }
            FromHub::NotSent(name, attempt) => {
                let expired =
                    self.open_attempt(name, attempt).is_none_or(|(_, open)| now >= open.times_out_at);
                self.handle_set_up_end(
                    now,
                    name,
                    attempt,
                    if expired { ObservedEnd::NotSentExpired } else { ObservedEnd::NotSentDraining },
                );
            }
            FromHub::LoadReport(report) => {
                if let Some(index) = index {
                    self.hubs[index].reported = true;
                }
                self.forward_load_report(now, index, report);
            }
            FromHub::Closed => {
                self.closing_links.remove(&link);
                // Ends attempts that the link has failed to report: with its connections closed, none is
                // open.
                self.end_attempts_at_link(now, link, |_| true);
            }
            FromHub::Dead => self.cut_established_calls(now, link, index, "dead"),
            FromHub::Media(name, frame) => {
                let call = self.call_at_link(link, name).map(|(_, c)| (c.established, c.front, c.origin));
                if let Some((true, front, origin)) = call {
                    self.to_front(front, ToFront::Media(origin, name, frame));
                }
            }
        }
    }

    /// Handles a hub's release that arrived before its answer. The call was, or may have been, established at
    /// the hub and is over. The caller must be told of the end within 1 s, and there is no answer to pass on
    /// first, so the call fails. A further attempt would hide the end of this call from the caller and answer
    /// it with a different one. An answer that arrives later belongs to no call.
    fn handle_release_before_answer(
        &mut self,
        now: Micros,
        link: LinkId,
        name: CallName,
        cause: Cause,
        report: Report,
    ) {
        let Some((id, call)) = self.call_at_link(link, name) else { return };
        let outcome = outcome::outcome_of(ObservedEnd::ReleasedUnanswered(cause), call.established, None);
        self.fail_without_give_up(now, id);
        self.end_attempt(now, id, outcome, false, report);
    }

    /// Fails the call if it has no final answer yet. The open attempt is not given up, because the hub has
    /// already ended it.
    fn fail_without_give_up(&mut self, now: Micros, id: CallId) {
        let Some(call) = self.calls.get(&id).filter(|c| !c.answered) else { return };
        let (front, message) = (call.front, ToFront::Fail(call.origin, call.name));
        metrics::CALLS_FAILED.increment();
        tracing::debug!(call = %call.name, "call failed: released before its answer");
        self.mark_answered(id);
        self.to_front(front, message);
        self.dispatch(now, Event::CallerLeft(id));
    }

    fn forward_load_report(&mut self, now: Micros, index: Option<usize>, report: Report) {
        if let Some(index) = index.filter(|_| report != Report::default()) {
            self.dispatch(now, Event::Probed(self.hubs[index].id, Outcome::Success, report));
        }
    }

    fn handle_answer(&mut self, now: Micros, link: LinkId, name: CallName, description: Description) {
        let id = self.call_by_name.get(&name).copied();
        let call = id.and_then(|id| self.calls.get_mut(&id));
        let attempt = call.and_then(|c| {
            c.attempt.as_ref().filter(|a| a.link == link).map(|a| (a.give_up_reason, c.established))
        });
        match (id, attempt) {
            (Some(_), Some((_, true))) => {}
            (Some(id), Some((None, false))) if self.calls.get(&id).is_some_and(|c| !c.answered) => {
                self.mark_answered(id);
                let Some(call) = self.calls.get_mut(&id) else { return };
                call.established = true;
                let Some(attempt) = &call.attempt else { return };
                let (front, origin, server, index) = (call.front, call.origin, attempt.server, attempt.index);
                let answer_time = now - attempt.sent_at;
                metrics::CALLS_ANSWERED.increment();
                tracing::debug!(call = %name, attempt = attempt.number, link = link.0, "call answered");
                self.to_front(front, ToFront::Answer(origin, name, description));
                self.dispatch(now, Event::Established(id, server, index, answer_time));
            }
            // The answer crossed the give-up, or the call has ended. The hub holds a call without a caller,
            // so the call is released there and the answer is not passed on. A give-up that is still to be
            // written releases the call as well.
            _ if id.is_some() || self.has_ended(name) => {
                self.to_hub(link, ToHub::Release(name, Cause::NORMAL));
            }
            // An answer for an unknown call has no meaning and is ignored.
            _ => {}
        }
    }

    /// Handles the end of an attempt whose call was not established, as reported by its link.
    fn handle_set_up_end(&mut self, now: Micros, name: CallName, number: u64, end: ObservedEnd) {
        let Some((id, attempt)) = self.open_attempt(name, number) else { return };
        let outcome = outcome::outcome_of(end, false, attempt.give_up_reason);
        // Only the hub ends an established call.
        if self.calls.get(&id).is_some_and(|c| !c.established) {
            self.end_attempt(now, id, outcome, false, Report::default());
        }
    }

    /// Releases the calls that were established at a hub whose process is dead or replaced.
    fn cut_established_calls(&mut self, now: Micros, link: LinkId, index: Option<usize>, why: &'static str) {
        let cut = self.end_attempts_at_link(now, link, |call| call.established);
        let hub = index.map_or("", |index| &*self.hubs[index].uid);
        if cut > 0 {
            tracing::info!(hub, link = link.0, why, cut, "calls cut");
        }
    }

    /// Ends the selected attempts at a link whose hub process is dead or gone. Returns how many of their
    /// calls were established.
    fn end_attempts_at_link(&mut self, now: Micros, link: LinkId, which: impl Fn(&Call) -> bool) -> u64 {
        let mut cut = 0;
        let ids = self.calls_by_link.range((link, CallId(0))..=(link, CallId(u64::MAX)));
        let ids: Vec<CallId> = ids.map(|(_, id)| *id).collect();
        for id in ids {
            let Some(call) = self.calls.get(&id).filter(|c| which(c)) else { continue };
            if call.established {
                let message = ToFront::Release(Some(call.origin), call.name, Cause::TEMPORARY_FAILURE);
                self.to_front(call.front, message);
                cut += 1;
            }
            let outcome = outcome::outcome_of(
                ObservedEnd::ConnectionLost,
                call.established,
                call.attempt.as_ref().and_then(|a| a.give_up_reason),
            );
            self.end_attempt(now, id, outcome, false, Report::default());
        }
        metrics::CALLS_CUT.add(cut);
        cut
    }

    fn call_at_link(&self, link: LinkId, name: CallName) -> Option<(CallId, &Call)> {
        let id = *self.call_by_name.get(&name)?;
        let call = self.calls.get(&id)?;
        call.attempt.as_ref().filter(|a| a.link == link).map(|_| (id, call))
    }

    fn open_attempt(&self, name: CallName, number: u64) -> Option<(CallId, &Attempt)> {
        let id = *self.call_by_name.get(&name)?;
        let attempt = self.calls.get(&id)?.attempt.as_ref()?;
        Some((id, attempt)).filter(|(_, a)| a.number == number)
    }

    fn end_attempt(&mut self, now: Micros, id: CallId, outcome: Outcome, number_busy: bool, report: Report) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(attempt) = call.attempt.take() else { return };
        self.calls_by_link.remove(&(attempt.link, id));
        self.timers.remove(attempt.timer);
        call.established = false;
        call.may_have_run |= !outcome.proves_never_ran();
        tracing::debug!(call = %call.name, attempt = attempt.number, link = attempt.link.0, ?outcome, "attempt ended");
        if outcome.awaits_release() {
            call.not_before = now + self.limits.release;
        }
        let end = AttemptEnd {
            id,
            attempt: attempt.index,
            server: attempt.server,
            outcome,
            over: call.answered,
            number_busy,
            report,
        };
        self.dispatch(now, Event::Ended(end));
        self.remove_call_if_over(now, id);
    }

    fn give_up(&mut self, id: CallId, reason: Outcome) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let name = call.name;
        let Some(attempt) = call.attempt.as_mut().filter(|a| a.give_up_reason.is_none()) else { return };
        attempt.give_up_reason = Some(reason);
        tracing::debug!(call = %name, attempt = attempt.number, ending = ?reason, "giving up attempt");
        let (link, number) = (attempt.link, attempt.number);
        self.to_hub(link, ToHub::GiveUp(name, number));
    }

    /// Records that the call has its final answer, or that none is due any more. No attempt follows, so its timers end,
    /// and what an attempt would send is released.
    fn mark_answered(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.answered) else { return };
        call.answered = true;
        self.unanswered -= 1;
        self.open_bytes -= std::mem::take(&mut call.open_bytes);
        call.class = Arc::default();
        call.number = Arc::default();
        call.description = Description::default();
        let attempt_timer = call.attempt.as_ref().map(|attempt| attempt.timer);
        for timer in std::mem::take(&mut call.timers).into_iter().chain(attempt_timer) {
            self.timers.remove(timer);
        }
    }

    fn remove_call_if_over(&mut self, now: Micros, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.answered && c.attempt.is_none()) {
            if let Some(call) = self.calls.remove(&id) {
                self.call_by_name.remove(&call.name);
                // A call that was never sent to a hub needs no memory, and a flood of these would displace the others.
                if call.attempts_sent > 0 {
                    self.ended_calls.record(now, call.name);
                    self.past_attempts.record(now, call.name, call.not_before, call.must_not_repeat());
                }
            }
        }
    }

    /// Whether the call ended here, or was released by its caller, not long ago.
    fn has_ended(&self, name: CallName) -> bool {
        self.ended_calls.contains(name) || self.unknown_releases.contains(name)
    }

    // ---- hub list ----

    /// Returns the index of a hub's state and adds the hub if it is new. Hubs are replaced for as long as the
    /// process runs, so the number of removed hubs must be bounded: at the limit a new hub takes over the
    /// slot of the hub that was removed first, with an id of its own.
    fn find_or_add_hub(&mut self, hub: &Hub) -> Option<usize> {
        if let Some(index) = self.hub_by_uid.get(&*hub.uid) {
            return Some(*index);
        }
        let oldest =
            self.removable_hubs.first().copied().filter(|_| self.removable_hubs.len() >= MAX_GONE_HUBS);
        if oldest.is_none() && self.hubs.len() >= MAX_HUBS {
            return None;
        }
        self.last_hub_id += 1;
        let state = HubState {
            id: ServerId(self.last_hub_id),
            uid: hub.uid.as_str().into(),
            endpoint: hub.endpoint.as_str().into(),
            place: hub.place,
            born: hub.born,
            phase: Phase::Up,
            leaving_since: None,
            link: None,
            reported: false,
            configured: false,
            newly_listed: true,
            last_listed: 0,
        };
        let index = match oldest {
            Some(oldest) => {
                self.removable_hubs.remove(&oldest);
                let old = &self.hubs[oldest.1];
                self.hub_by_uid.remove(&old.uid);
                self.hub_by_id.remove(&old.id);
                oldest.1
            }
            None => self.hubs.len(),
        };
        self.hub_by_uid.insert(state.uid.clone(), index);
        self.hub_by_id.insert(state.id, index);
        match oldest {
            Some(_) => self.hubs[index] = state,
            None => self.hubs.push(state),
        }
        Some(index)
    }

    fn apply_hub_list(&mut self, now: Micros, update: HubListUpdate) {
        self.update_count += 1;
        self.seq = self.seq.max(update.seq);
        let mut named: Vec<usize> = Vec::with_capacity(update.hubs.len());
        for hub in &update.hubs {
            let Some(index) = self.find_or_add_hub(hub) else { continue };
            let state = &mut self.hubs[index];
            // A different start time or address means another process: calls at the old one are cut.
            let other = state.born != hub.born && hub.phase == Phase::Up
                || !hub.endpoint.is_empty() && *state.endpoint != *hub.endpoint;
            if !hub.endpoint.is_empty() {
                state.endpoint = hub.endpoint.as_str().into();
            }
            state.place = hub.place;
            state.born = hub.born.or(state.born.filter(|_| hub.phase != Phase::Up));
            if state.phase != hub.phase || other {
                tracing::debug!(hub = %state.uid, phase = ?hub.phase, endpoint = %state.endpoint, other, "hub list entry changed");
            }
            state.phase = hub.phase;
            state.last_listed = self.update_count;
            if other {
                self.close_link(now, index);
            }
            if hub.phase == Phase::Up && !hub.endpoint.is_empty() {
                self.replace_predecessor(now, index, &mut named);
            }
            named.push(index);
        }
        if update.full {
            let absent =
                |h: &HubState| h.last_listed != self.update_count && !h.configured && h.phase != Phase::Gone;
            let absent: Vec<usize> = (0..self.hubs.len()).filter(|i| absent(&self.hubs[*i])).collect();
            for index in absent {
                self.hubs[index].phase = Phase::Gone;
                named.push(index);
            }
        }
        named.sort_unstable();
        named.dedup();
        for index in &named {
            self.apply_phase(now, *index, update.effective_since.min(now));
        }
        let entry = |h: &HubState| Entry {
            server: h.id,
            place: h.place,
            phase: h.phase,
            born: h.born,
            phase_since: h.leaving_since,
        };
        let (kind, entries) = match self.full_list_received && !update.full {
            true => (ListKind::Changes, named.iter().map(|i| entry(&self.hubs[*i])).collect()),
            false => {
                let kind = if update.full { ListKind::Full } else { ListKind::Saved };
                (kind, self.hubs.iter().filter(|h| h.phase != Phase::Gone).map(entry).collect())
            }
        };
        self.full_list_received |= update.full;
        if self.restored.is_some() {
            self.recall_new_hubs(now);
        }
        self.dispatch(now, Event::List(kind, entries));
    }

    /// Removes another hub that had the address of a hub that comes into service. The list may name the end
    /// of the old hub only later; until then the old link would dial the new process and attribute its
    /// messages to the old hub.
    fn replace_predecessor(&mut self, now: Micros, index: usize, named: &mut Vec<usize>) {
        let old = self.hub_by_endpoint.get(&self.hubs[index].endpoint).copied();
        if let Some(old) = old.filter(|i| *i != index && !self.hubs[*i].configured) {
            tracing::debug!(hub = %self.hubs[old].uid, by = %self.hubs[index].uid, "hub replaced by another at its address");
            self.hubs[old].phase = Phase::Gone;
            self.close_link(now, old);
            named.push(old);
        }
    }

    /// Opens, closes or restricts a hub's link according to its phase. If the phase is new, it takes effect
    /// at `effective_since`.
    fn apply_phase(&mut self, now: Micros, index: usize, effective_since: Micros) {
        if self.hubs[index].phase == Phase::Gone {
            self.close_link(now, index);
        }
        let state = &mut self.hubs[index];
        if state.phase == Phase::Up && state.link.is_none() {
            self.last_link_id += 1;
            let link = LinkId(self.last_link_id);
            state.link = Some((link, (self.connect)(link, &state.endpoint)));
            self.hub_by_link.insert(link, index);
            self.hub_by_endpoint.insert(state.endpoint.clone(), index);
        }
        let previous = state.leaving_since;
        state.leaving_since = match state.phase {
            Phase::Up => None,
            _ => Some(previous.unwrap_or(effective_since)),
        };
        if previous != state.leaving_since {
            let message = ToHub::SetUpCutoff(state.leaving_since.map(|t| t + self.limits.drain_grace));
            if let Some(link) = state.link.as_ref().map(|l| l.0) {
                self.to_hub(link, message);
            }
        }
        if let Some(previous) = previous {
            self.removable_hubs.remove(&(previous, index));
        }
        let state = &self.hubs[index];
        if let Some(since) = state.leaving_since.filter(|_| state.is_removable()) {
            self.removable_hubs.insert((since, index));
        }
    }

    fn close_link(&mut self, now: Micros, index: usize) {
        if let Some((link, sender)) = self.hubs[index].link.take() {
            let _ = sender.try_send(ToHub::Close);
            self.hub_by_link.remove(&link);
            self.hub_by_endpoint.retain(|_, i| *i != index);
            self.closing_links.insert(link);
            self.hubs[index].reported = false;
            // Established calls end now. A set-up stays open until its connection is closed, which the link
            // reports.
            let why = if self.hubs[index].phase == Phase::Gone { "gone" } else { "replaced" };
            self.cut_established_calls(now, link, Some(index), why);
        }
    }

    // ---- decision module ----

    /// Passes an event to the decision module and carries out its actions. Events that result from the
    /// actions are passed to it afterwards, in order.
    fn dispatch(&mut self, now: Micros, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.controller.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send(id, server, timeout) => {
                        if !self.start_attempt(now, id, server, timeout) {
                            let index = self.calls.get_mut(&id).map_or(0, |c| {
                                c.attempts_sent += 1;
                                c.attempts_sent - 1
                            });
                            let over = self.calls.get(&id).is_none_or(|c| c.answered);
                            events.push_back(Event::Ended(AttemptEnd {
                                id,
                                attempt: index,
                                server,
                                outcome: Outcome::Void,
                                over,
                                number_busy: false,
                                report: Report::default(),
                            }));
                        }
                    }
                    Action::Refuse(..) | Action::Fail(_) => self.give_final_answer(now, action),
                    Action::Cancel(id, index) => {
                        let attempt =
                            self.calls.get(&id).filter(|c| !c.established).and_then(|c| c.attempt.as_ref());
                        if attempt.is_some_and(|a| a.index == index) {
                            self.give_up(id, Outcome::Withdrawn);
                        }
                    }
                    Action::Timer(id, at, token) => {
                        if let Some(call) = self.calls.get_mut(&id).filter(|c| !c.answered) {
                            call.timers.push(self.timers.add(at, TimerEvent::Module(id, token)));
                        }
                    }
                    // Session controllers cannot send each other these messages, and list changes arrive
                    // without a subscription.
                    Action::SendToPeer(..) | Action::Subscribe => {}
                }
            }
        }
    }

    /// Starts an attempt unless a rule forbids it. The decision module follows the rules itself; the checks
    /// here protect against its bugs and against changes that happened while it decided.
    fn start_attempt(&mut self, now: Micros, id: CallId, server: ServerId, timeout: Micros) -> bool {
        let hub = self.hub_by_id.get(&server).and_then(|i| self.hubs.get(*i));
        let Some((hub, (link, sender))) = hub.and_then(|h| h.link.as_ref().map(|l| (h, l))) else {
            return false;
        };
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let drained = hub.leaving_since.is_some_and(|t| t + self.limits.drain_grace <= now);
        let until = (now + timeout).min(call.deadline);
        if drained
            || call.answered
            || call.attempt.is_some()
            || call.must_not_repeat()
            || now < call.not_before
            || until <= now
            || call.attempts_sent >= self.max_attempts
        {
            tracing::debug!(call = %call.name, hub = %hub.uid, drained, sent = call.attempts_sent, "attempt not sent: a rule forbids it");
            return false;
        }
        self.last_attempt_number += 1;
        let number = self.last_attempt_number;
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
        metrics::RETRIES.add(u64::from(call.attempts_sent > 0));
        tracing::debug!(call = %call.name, attempt = number, link = link.0, hub = %hub.uid, copy = call.attempts_sent, "attempt sent");
        call.attempt = Some(Attempt {
            link: *link,
            server,
            index: call.attempts_sent,
            number,
            sent_at: now,
            times_out_at: until,
            timer: self.timers.add(until, TimerEvent::Attempt(id, number)),
            give_up_reason: None,
        });
        self.calls_by_link.insert((*link, id));
        call.attempts_sent += 1;
        true
    }

    /// Gives a call its final answer, once. A refusal tells the caller that nothing ran and that it may dial
    /// again, so a call that may have run and must not run twice is failed instead.
    fn give_final_answer(&mut self, now: Micros, action: Action) {
        let (Action::Refuse(id, _) | Action::Fail(id)) = action else { return };
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.answered) else { return };
        let action =
            if call.must_not_repeat() || call.has_open_single_attempt() { Action::Fail(id) } else { action };
        let (front, origin, name) = (call.front, call.origin, call.name);
        self.mark_answered(id);
        tracing::debug!(call = %name, refused = matches!(action, Action::Refuse(..)), "call ended without an answer");
        let message = match action {
            Action::Refuse(_, retry_after) => {
                metrics::CALLS_REFUSED.increment();
                ToFront::Refuse(origin, name, retry_after)
            }
            _ => {
                metrics::CALLS_FAILED.increment();
                ToFront::Fail(origin, name)
            }
        };
        self.to_front(front, message);
        self.give_up(id, Outcome::Withdrawn);
        self.remove_call_if_over(now, id);
    }

    fn to_front(&self, front: FrontId, message: ToFront) {
        let Some(sender) = self.fronts.get(front.0) else { return };
        if let Err(mpsc::error::TrySendError::Full(lost)) = sender.try_send(message) {
            tracing::error!(front = front.0, "message queue of the front is full, dropped {lost:?}");
        }
    }

    fn to_hub(&self, link: LinkId, message: ToHub) {
        let hub = self.hub_by_link.get(&link).and_then(|i| self.hubs.get(*i));
        let Some((_, sender)) = hub.and_then(|h| h.link.as_ref()) else { return };
        if let Err(mpsc::error::TrySendError::Full(lost)) = sender.try_send(message) {
            tracing::error!(link = link.0, "command queue of the hub link is full, dropped {lost:?}");
        }
    }
}

/// The longest time that a caller is taken to wait for an answer.
fn longest_wait(classes: &[Class]) -> Micros {
    classes.iter().map(|class| class.deadline).fold(MAX_CALLER_WAIT, Micros::max)
}

/// Maps the number called to the key that the decision module uses: the value of its hexadecimal digits, or
/// an FNV-1a hash of any other text.
fn number_key(text: &str) -> Option<u64> {
    let hash = |t: &str| {
        t.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    };
    Some(text).filter(|t| !t.is_empty()).map(|t| u64::from_str_radix(t, 16).unwrap_or_else(|_| hash(t)))
}

/// Removes the set-ups that are withdrawn later in the same batch, and moves the withdrawals to the front. A
/// withdrawal that precedes a new set-up of the same name stays ahead of it.
///
/// Under CPU load a set-up may wait in the queue while its caller leaves. Handled one by one, it would be
/// sent to a hub although no caller waits for it.
fn drop_withdrawn_offers(batch: &mut Vec<Input>) {
    let key = |front: FrontId, origin: Origin, call: CallName| (front.0, origin.0, call);
    let mut withdrawn = HashSet::new();
    for input in batch.iter() {
        if let Input::Withdrawn(front, origin, call) = input {
            withdrawn.insert(key(*front, *origin, *call));
        }
    }
    if withdrawn.is_empty() {
        return;
    }
    // Iterates backwards, so that a set-up offered again after its withdrawal is kept.
    let mut withdrawn_later = HashSet::new();
    let mut keep: Vec<bool> = batch
        .iter()
        .rev()
        .map(|input| match input {
            Input::Withdrawn(front, origin, call) => {
                withdrawn_later.insert(key(*front, *origin, *call));
                true
            }
            Input::Offer(offer) => !withdrawn_later.remove(&key(offer.front, offer.origin, offer.call)),
            _ => true,
        })
        .collect();
    batch.retain(|_| keep.pop().unwrap_or(true));
    // Another input of the batch could otherwise start a further attempt of a call that the batch withdraws.
    batch.sort_by_key(|input| !matches!(input, Input::Withdrawn(..)));
}

/// Runs the core until every sender of its queue is dropped.
///
/// Under CPU load a due timer may be seen before the sockets are polled, and an input that arrived long
/// before would be handled after the effects of the timer. So the sockets are read before a tick, and all
/// waiting inputs are taken as one batch, withdrawals first.
pub async fn run(mut core: Core, mut inputs: mpsc::Receiver<Input>, clock: Clock) {
    let mut ticks = tokio::time::interval(Duration::from_micros(TICK_LENGTH.0));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut waiting = Vec::with_capacity(INPUTS_PER_TICK_CHECK);
    loop {
        let ticked = tokio::select! {
            _ = ticks.tick() => true,
            count = inputs.recv_many(&mut waiting, INPUT_QUEUE_CAPACITY) => {
                if count == 0 {
                    return;
                }
                false
            }
        };
        if ticked {
            // Resumes after the runtime has polled the sockets and run the tasks that they woke.
            tokio::task::yield_now().await;
        }
        while waiting.len() < INPUT_QUEUE_CAPACITY {
            let Ok(input) = inputs.try_recv() else { break };
            waiting.push(input);
        }
        drop_withdrawn_offers(&mut waiting);
        for (number, input) in waiting.drain(..).enumerate() {
            if number > 0 && number % INPUTS_PER_TICK_CHECK == 0 {
                core.tick(clock.now());
            }
            core.handle(clock.now(), input);
        }
        if ticked {
            core.tick(clock.now());
        }
    }
}
