//! The decision module's interface: settings, events and actions as plain types.
//! No decisions and no tuned values stand here; those are all in `logic.rs`.

use std::fmt;
use std::ops::{Add, Sub};

/// A moment or a span, in whole microseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// This span times `factor`, rounded down; a negative factor gives nought.
    pub fn scale(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
    /// The span in seconds.
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

/// A call's id, never used twice; below 2^62, so that timers can name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A core server's id; the same after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u64);

/// What may be repeated once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats and refusals are free.
    Free,
    /// Repeats only where the effect is recognised.
    Guarded,
    /// Never to run twice.
    SingleShot,
}

/// One class of calls.
#[derive(Clone, Debug)]
pub struct Class {
    /// Set-up time that earns the full worth.
    pub objective: Micros,
    /// How long a caller keeps trying, from the first try.
    pub deadline: Micros,
    /// Worth of a call that stands in time.
    pub worth: f64,
    /// Share of the worth left when it stands later.
    pub late_worth: f64,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// Places the class may use; empty means any.
    pub places: Vec<i64>,
    /// Mean length of a call.
    pub hold_time: Micros,
}

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many gateways share the servers.
    pub balancers: u32,
    /// The call classes.
    pub classes: Vec<Class>,
    /// A server starts at this part of its capacity, or more.
    pub cold_from: f64,
    /// It is warm no later than this after its start.
    pub warm_up: Micros,
    /// Multiple of present capacity that pushes a cold server over.
    pub overload_factor: f64,
    /// ... when kept up for this long: the window of the cold budget.
    pub overload_for: Micros,
    /// Nothing new goes to a server this long after it was told to drain or to be gone.
    pub drain_grace: Micros,
    /// Nothing for a call within this after a time-out, cut or cancel.
    pub release: Micros,
    /// A waiting set-up is sent again by the network after this; nought: never.
    pub resend: Micros,
    /// Attempts allowed for one call.
    pub max_attempts: u32,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Gateways may send each other messages.
    pub may_message_peers: bool,
    /// The longest stay-away that callers obey; nought: they get no such advice.
    pub max_retry_after: Micros,
    /// This gateway's number among them.
    pub index: u32,
    /// Changes of the list come only to subscribers.
    pub must_subscribe: bool,
    /// The gateway's own place where servers are exchanges of a mesh.
    pub own_place: Option<i64>,
}

/// Why settings were refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class.
    NoClasses,
    /// A count that must be at least one is nought.
    Zero(&'static str),
    /// A number lies outside its range.
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

/// A load report; what was not told is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free lines.
    pub free: Option<f64>,
    /// Lines in all.
    pub size: Option<f64>,
    /// Wait at the processor.
    pub wait: Option<Micros>,
    /// Share of the processor that is busy.
    pub utilisation: Option<f64>,
    /// Messages waiting.
    pub queue: Option<f64>,
    /// New set-ups a second it can take from all senders.
    pub can_take: Option<f64>,
    /// Share of new set-ups each sender is asked to hold back.
    pub hold_back: Option<f64>,
}

impl Report {
    /// Whether any figure is told that a share comes from.
    pub fn has_load_figure(&self) -> bool {
        self.hold_back.or(self.utilisation).or(self.queue).is_some() || self.wait.is_some()
    }
}

/// What the list knows of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// In service.
    Up,
    /// Completing its work.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// Its place: what a call names as first choice.
    pub place: i64,
    /// Its phase.
    pub phase: Phase,
    /// Its latest start; `None`: long ago.
    pub born: Option<Micros>,
    /// Since when its phase counts as told, at the earliest; `None`: from now on.
    pub phase_since: Option<Micros>,
}

/// What kind of news a list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries alone.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as last seen, perhaps stale.
    Saved,
    /// An ask failed; the old list stands.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call stood and came to its end.
    Success,
    /// A signalling fault, or all lines of the number busy.
    Failure,
    /// Turned away by the server, for want of lines or by a tandem; never ran.
    Overloaded,
    /// Turned away by a full processor; never ran.
    ProcessorFull,
    /// No answer in time.
    TimedOut,
    /// No connection; never ran.
    Unreachable,
    /// The set-up or the call was cut.
    Broken,
    /// Called off.
    Withdrawn,
    /// Not sent.
    Void,
}

impl Outcome {
    /// Whether it proves that the set-up never ran.
    pub fn proves_never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ProcessorFull | Outcome::Unreachable | Outcome::Void)
    }

    /// Whether what the set-up held may stay taken for a while, so that the call must wait.
    pub fn awaits_release(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Broken | Outcome::Withdrawn)
    }
}

/// A new call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewCall {
    /// Its id.
    pub id: CallId,
    /// Index into `Settings::classes`.
    pub class: usize,
    /// Place of its first-choice server.
    pub place: i64,
    /// The number called.
    pub number: Option<u64>,
    /// When its caller gives this try up.
    pub deadline: Micros,
    /// The caller dials again.
    pub repeat: bool,
    /// It stood, was cut and comes again.
    pub returned: bool,
    /// It is in transit: only its destination will do.
    pub transit: bool,
}

/// How an attempt ended, and what was told with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Which call.
    pub id: CallId,
    /// Which attempt.
    pub attempt: u32,
    /// At which server.
    pub server: ServerId,
    /// How.
    pub outcome: Outcome,
    /// The call is over, nothing more is owed.
    pub over: bool,
    /// All lines of the number are busy.
    pub number_busy: bool,
    /// The load told with it.
    pub report: Report,
}

/// What is believed of a server that may be worth something to the next start. Nought stands for what is
/// not known, but for `weight` and `pass`, where 1 does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEstimate {
    /// When it was last heard of; what follows is as old.
    pub heard: Micros,
    /// The most calls a second it was seen to carry, warm, for all gateways.
    pub carried: f64,
    /// Set-ups a second that it is held to carry now.
    pub carries: f64,
    /// Set-ups a second that it last said it can take.
    pub can_take: f64,
    /// The wait at its processor.
    pub wait: Micros,
    /// Smoothed delay of own set-ups.
    pub delay: Micros,
    /// Its weight in the draw, up to 1.
    pub weight: f64,
    /// The part of own calls that is let through, up to 1.
    pub pass: f64,
    /// The share held back, up to 1,
    pub share: f64,
    /// ... and when it lapses.
    pub share_until: Micros,
    /// It gives signs of being dead.
    pub silent: bool,
    /// It is taken for cold until then.
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

/// What happens to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// What was known before the start: the mean length of a call, in seconds, if any, and of servers that
    /// the next list names for the first time.
    Restored(Option<f64>, Vec<(ServerId, ServerEstimate)>),
    /// News of the list.
    List(ListKind, Vec<Entry>),
    /// A new call.
    Call(NewCall),
    /// An attempt's call stands: call, server, attempt, time since the send.
    Established(CallId, ServerId, u32, Micros),
    /// An attempt ended.
    Ended(AttemptEnd),
    /// The caller left.
    CallerLeft(CallId),
    /// A timer is due.
    Timer(u64),
    /// A probe's answer, or news of lines that nobody asked for.
    Probed(ServerId, Outcome, Report),
    /// A message of a fellow gateway.
    PeerMessage(u32, Vec<u8>),
}

/// What an instance does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a set-up, with this time-out.
    Send(CallId, ServerId, Micros),
    /// Final answer: turned away, and how long the caller should stay away; nought: no advice.
    Refuse(CallId, Micros),
    /// Final answer: failed.
    Fail(CallId),
    /// Call an attempt off.
    Cancel(CallId, u32),
    /// Wake the instance at this time with this token.
    Timer(Micros, u64),
    /// Tell a fellow gateway something.
    SendToPeer(u32, Vec<u8>),
    /// Subscribe to the list.
    Subscribe,
}
