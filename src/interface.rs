//! The decision module's interface: settings, events and actions as plain types.
//! It has no decisions and no tuned values; `logic.rs` has all of them.
//!
//! A server is a table hub as the decision module sees it: identity, place, phase and load. The controllers
//! are the session controllers that share the servers.

use std::fmt;
use std::ops::{Add, Sub};

/// A point in time or a duration, in whole microseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// This duration times `factor`, rounded down; a negative factor gives zero.
    pub fn scale(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
    /// The duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// A call's id, never reused. It is below 2^62, as timer tokens hold it next to the kind of timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A server's id, which it keeps across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u64);

/// Whether a call may be attempted again once an earlier attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat has no further effect, and the call may be refused.
    Free,
    /// Only a repeat that the receiver recognises is safe; this module makes none.
    Guarded,
    /// It must not run twice.
    SingleShot,
}

/// A class of calls.
#[derive(Clone, Debug)]
pub struct Class {
    /// Longest set-up time that earns the full worth.
    pub objective: Micros,
    /// How long a caller keeps trying, from the first try.
    pub deadline: Micros,
    /// Worth of a call that is established within the objective.
    pub worth: f64,
    /// Part of the worth that a call established later earns.
    pub late_worth: f64,
    /// Whether an attempt may be repeated.
    pub idempotency: Idempotency,
    /// Places that the class may use; empty means any.
    pub places: Vec<i64>,
    /// Mean duration of an established call.
    pub hold_time: Micros,
}

/// Settings of a controller, fixed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of controllers that share the servers.
    pub balancers: u32,
    /// The call classes.
    pub classes: Vec<Class>,
    /// Part of its capacity that a server has at least right after its start.
    pub cold_from: f64,
    /// Time after its start by which a server has its full capacity.
    pub warm_up: Micros,
    /// Load, in multiples of its present capacity, that overloads a cold server if it lasts `overload_for`.
    pub overload_factor: f64,
    /// Duration of such a load that overloads a cold server: the window of its budget.
    pub overload_for: Micros,
    /// Time after a server was told to drain, or to end, from which it gets no new calls.
    pub drain_grace: Micros,
    /// Time after a time-out, a cut or a cancel in which the call is not attempted again.
    pub release: Micros,
    /// Time after which the network resends a set-up that waits; zero: never.
    pub resend: Micros,
    /// Attempts allowed per call.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Controllers may send messages to each other.
    pub may_message_peers: bool,
    /// The longest retry-after that refused callers get; zero: they get none.
    pub max_retry_after: Micros,
    /// This controller's index among the controllers, from 0.
    pub index: u32,
    /// Changes of the server list are sent only to subscribers.
    pub must_subscribe: bool,
    /// This controller's own place, where the servers are the exchanges of a mesh; no call is sent there.
    pub own_place: Option<i64>,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no call class.
    NoClasses,
    /// A count that must be at least 1 is zero.
    Zero(&'static str),
    /// A number is outside its range.
    OutOfRange(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "settings name no call class"),
            SettingsError::Zero(what) => write!(f, "{what} must be at least 1"),
            SettingsError::OutOfRange(what) => write!(f, "{what} is out of range"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// A server's load report; a figure that was not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free lines.
    pub free: Option<f64>,
    /// Lines in all, free or not.
    pub size: Option<f64>,
    /// Time that a message waits for the processor.
    pub wait: Option<Micros>,
    /// Busy part of the processor, 0 to 1.
    pub utilisation: Option<f64>,
    /// Messages in the processor's queue.
    pub queue: Option<f64>,
    /// New set-ups a second that the server can take from all senders.
    pub can_take: Option<f64>,
    /// Part of its new set-ups that each sender is asked to hold back.
    pub hold_back: Option<f64>,
}

impl Report {
    /// Whether it has any figure from which a throttle is set.
    pub fn has_load_figure(&self) -> bool {
        self.hold_back.or(self.utilisation).or(self.queue).is_some() || self.wait.is_some()
    }
}

/// A server's phase according to the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// In service.
    Up,
    /// Completing its calls and taking no new ones once its grace is over.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The server's id.
    pub server: ServerId,
    /// The server's place, by which calls name their first choice.
    pub place: i64,
    /// The server's phase.
    pub phase: Phase,
    /// The server's latest start; `None`: long ago.
    pub born: Option<Micros>,
    /// The earliest time at which the phase may have been announced; `None`: now.
    pub phase_since: Option<Micros>,
}

/// What a server list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as last saved, possibly stale.
    Saved,
    /// Nothing, as the request for it failed: the previous list remains valid.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call was established and ended normally.
    Success,
    /// A signalling fault, or all lines of the called number busy.
    Failure,
    /// Refused by the server for want of lines, or by a tandem exchange; never ran.
    Overloaded,
    /// Refused by a full processor; never ran.
    ProcessorFull,
    /// Not answered in time.
    TimedOut,
    /// There was no connection; never ran.
    Unreachable,
    /// The set-up or the established call was cut.
    Broken,
    /// Cancelled.
    Withdrawn,
    /// Not sent.
    Void,
}

impl Outcome {
    /// Whether this outcome proves that the set-up never ran.
    pub fn proves_never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ProcessorFull | Outcome::Unreachable | Outcome::Void)
    }

    /// Whether the set-up's resources may stay in use for a while, so that the call waits for the release.
    pub fn awaits_release(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Broken | Outcome::Withdrawn)
    }
}

/// A new call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewCall {
    /// The call's id.
    pub id: CallId,
    /// Index into `Settings::classes`.
    pub class: usize,
    /// Place of the first-choice server.
    pub place: i64,
    /// The called number, if known.
    pub number: Option<u64>,
    /// When the caller gives up this try.
    pub deadline: Micros,
    /// The caller dials again after a try that failed.
    pub repeat: bool,
    /// The call was established before, was cut and comes again.
    pub returned: bool,
    /// The call is in transit: only its first choice may take it.
    pub transit: bool,
}

/// The end of an attempt, with the load report that came with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The attempt's call.
    pub id: CallId,
    /// The attempt's number within the call, from 0.
    pub attempt: u32,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The call is over and needs no final answer.
    pub over: bool,
    /// All lines of the called number are busy.
    pub number_busy: bool,
    /// The load that the server reported with it.
    pub report: Report,
}

/// What is known and estimated of a server, as far as it is of use after a restart. Unknown figures are 0, or
/// 1 for `weight` and `pass`. The names of the fields are those of the stored file. Rates are in set-ups a
/// second of all controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEstimate {
    /// When the server last answered; the other figures are as old.
    pub heard: Micros,
    /// Peak rate: the most that it was seen to carry while warm.
    pub carried: f64,
    /// Service rate: what it can carry now, as reported or estimated.
    pub carries: f64,
    /// The rate that it last reported it can take.
    pub can_take: f64,
    /// Expected wait for its processor.
    pub wait: Micros,
    /// Smoothed set-up time of own calls.
    pub delay: Micros,
    /// Its weight in the random choice of a server for a diverted call, up to 1.
    pub weight: f64,
    /// Part of own calls that is let through to it, up to 1.
    pub pass: f64,
    /// Part of own calls that its throttle holds back, up to 1.
    pub share: f64,
    /// When the throttle expires.
    pub share_until: Micros,
    /// It seems dead, and gets trial calls only.
    pub silent: bool,
    /// It counts as cold until then.
    pub cold_until: Micros,
}

impl Default for ServerEstimate {
    fn default() -> ServerEstimate {
        let none = Micros(0);
        ServerEstimate {
            heard: none,
            carried: 0.0,
            carries: 0.0,
            can_take: 0.0,
            wait: none,
            delay: none,
            weight: 1.0,
            pass: 1.0,
            share: 0.0,
            share_until: none,
            silent: false,
            cold_until: none,
        }
    }
}

/// An event that a controller handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Estimates from before a restart: the mean hold time of calls in seconds, if known, and those of
    /// servers that the next server list names for the first time.
    Restored(Option<f64>, Vec<(ServerId, ServerEstimate)>),
    /// The server list or changes of it.
    List(ListKind, Vec<Entry>),
    /// A new call.
    Call(NewCall),
    /// An attempt established its call: call, server, attempt, time since the send.
    Established(CallId, ServerId, u32, Micros),
    /// An attempt ended.
    Ended(AttemptEnd),
    /// The caller gave up or hung up.
    CallerLeft(CallId),
    /// The timer with this token is due.
    Timer(u64),
    /// The answer to a probe, or an unsolicited load report.
    Probed(ServerId, Outcome, Report),
    /// A message from another controller: its index and the content.
    PeerMessage(u32, Vec<u8>),
}

/// An action that a controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up of this call to this server, with this time-out.
    Send(CallId, ServerId, Micros),
    /// Final answer: refused, with a retry-after; zero: none.
    Refuse(CallId, Micros),
    /// Final answer: failed, as an attempt may have run.
    Fail(CallId),
    /// Cancel this attempt of this call.
    Cancel(CallId, u32),
    /// Set a timer of this call for this time, to be returned with this token. It is not needed any more once the call
    /// has been answered or is over.
    Timer(CallId, Micros, u64),
    /// Send a message to the controller with this index.
    SendToPeer(u32, Vec<u8>),
    /// Subscribe to the server list.
    Subscribe,
}
