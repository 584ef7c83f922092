//! What the core and the socket code tell each other. No wire stands here: names are opaque, and
//! causes are Q.850's, which all the wires share.

use crate::interface::{Micros, Report};
use bytes::Bytes;
use std::fmt;
use std::sync::Arc;

/// A call's name on the wires, the same on every leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallName(pub u64);

/// As the wires write it, for the logs.
impl fmt::Display for CallName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One life of a hub: a new one starts when its address or its start changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Where in its front a call came in; the core only hands it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Origin(pub u64);

/// Which front a call came in at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontId(pub usize);

/// A Q.850 cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cause(pub u8);

impl Cause {
    /// Normal call clearing.
    pub const NORMAL: Cause = Cause(16);
    /// User busy.
    pub const BUSY: Cause = Cause(17);
    /// No circuit or channel available.
    pub const NO_CIRCUIT: Cause = Cause(34);
    /// Temporary failure.
    pub const TEMPORARY_FAILURE: Cause = Cause(41);
    /// Resource unavailable, unspecified.
    pub const UNAVAILABLE: Cause = Cause(47);
    /// Recovery on timer expiry.
    pub const TIMER_EXPIRY: Cause = Cause(102);
}

/// What a hub adds to a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RefusalNote {
    /// Nothing.
    #[default]
    None,
    /// No circuit.
    Congestion,
    /// The processor is full.
    Throttled,
    /// Every line of the number is busy.
    NumberBusy,
}

/// A session's description: opaque here, and understood only by wires of the same form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Description {
    /// The form's name.
    pub format: &'static str,
    /// The description itself, passed on unchanged.
    pub bytes: Bytes,
}

/// A caller's set-up.
#[derive(Clone, Debug)]
pub struct Offer {
    /// At which front it came in.
    pub front: FrontId,
    /// Where in that front.
    pub origin: Origin,
    /// The call's name.
    pub call: CallName,
    /// The class's name.
    pub class: Arc<str>,
    /// The number called, as written.
    pub number: Arc<str>,
    /// The place of first choice.
    pub place: i64,
    /// When the caller stops waiting; `None`: it did not say, and is taken to wait as long as its class does.
    pub deadline: Option<Micros>,
    /// The caller dials again.
    pub repeat: bool,
    /// The call stood, was cut and comes again.
    pub returned: bool,
    /// The session's description.
    pub description: Description,
}

/// A set-up towards a hub.
#[derive(Clone, Debug)]
pub struct SetUp {
    /// The call.
    pub call: CallName,
    /// The attempt's own number, never used twice.
    pub attempt: u64,
    /// The class's name.
    pub class: Arc<str>,
    /// The number called.
    pub number: Arc<str>,
    /// When the answer is given up.
    pub until: Micros,
    /// The session's description.
    pub description: Description,
}

/// What the core has a hub's link do.
#[derive(Clone, Debug)]
pub enum ToHub {
    /// Start a set-up.
    SetUp(SetUp),
    /// Give a set-up up; [`FromHub::GivenUp`] answers it.
    GiveUp(CallName, u64),
    /// Release a call that stands, or an answer that came too late.
    Release(CallName, Cause),
    /// No set-up may begin after this time; `None`: they may again.
    SetUpCutoff(Option<Micros>),
    /// A media frame of a call that stands.
    Media(CallName, Description),
    /// The hub is gone: end all. What is open is settled, then [`FromHub::Closed`] comes.
    Close,
}

/// What a hub's link tells the core.
#[derive(Clone, Debug)]
pub enum FromHub {
    /// An answer.
    Answered(CallName, Description),
    /// A refusal, or the release of a call that stands.
    Released(CallName, Cause, RefusalNote, Report),
    /// The release of a set-up whose answer has not come, with a cause by which the call stood, or may have
    /// stood, at the hub: it is over there, and an answer may still come.
    ReleasedUnanswered(CallName, Cause, Report),
    /// A give-up is written (`began`), or the set-up was taken back before its first byte.
    GivenUp {
        /// Which attempt.
        attempt: u64,
        /// The call.
        call: CallName,
        /// Whether the set-up had begun on the socket.
        began: bool,
    },
    /// The connection broke with this set-up open.
    ConnectionLost(CallName, u64),
    /// No connection came up: the set-up never ran.
    Unreachable(CallName, u64),
    /// The set-up's time was up, or the hub drains, before its first byte: it never ran.
    NotSent(CallName, u64),
    /// The link ends as it was told to, its connections are closed, and all its set-ups are settled.
    Closed,
    /// The state of the hub.
    LoadReport(Report),
    /// The hub's process is dead, and the calls that stood there are cut. Set-ups that were open are told of
    /// one by one, each as it was settled.
    Dead,
    /// A media frame of a call that stands.
    Media(CallName, Description),
}

/// What the core tells a front.
#[derive(Clone, Debug)]
pub enum ToFront {
    /// The call stands.
    Answer(Origin, CallName, Description),
    /// Refused; the caller should stay away so long, if more than nought.
    Refuse(Origin, CallName, Micros),
    /// Failed.
    Fail(Origin, CallName),
    /// A call that stood is over. Without an origin the call is one from before this start.
    Release(Option<Origin>, CallName, Cause),
    /// A media frame.
    Media(Origin, CallName, Description),
}

/// A hub as a list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hub {
    /// Its name.
    pub uid: String,
    /// Its address, opaque here.
    pub endpoint: String,
    /// Its place.
    pub place: i64,
    /// Its phase.
    pub phase: crate::interface::Phase,
    /// Its late start, if any.
    pub born: Option<Micros>,
}

/// News of the list of hubs.
#[derive(Clone, Debug, PartialEq)]
pub struct HubListUpdate {
    /// The whole list, not only what has changed.
    pub full: bool,
    /// The hubs named.
    pub hubs: Vec<Hub>,
    /// Since when this counts as told, at the earliest: it may have been in the change log for a while.
    pub effective_since: Micros,
    /// The change log's event; nought: of no change log.
    pub seq: u64,
}

/// All that reaches the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A set-up.
    Offer(Offer),
    /// The caller gave its set-up up, or its connection is lost.
    Withdrawn(FrontId, Origin, CallName),
    /// The caller releases a call that stands.
    Hangup(FrontId, CallName, Cause),
    /// A caller's media frame.
    Media(FrontId, CallName, Description),
    /// Something from a hub.
    Hub(LinkId, FromHub),
    /// The program is to end: what is still open at this time is refused.
    Shutdown(Micros),
    /// News of the list.
    HubList(HubListUpdate),
    /// The change log was asked and has no more to tell than what came before this.
    ChangeLogCurrent,
    /// The program is about to end: what is believed is to be handed out now.
    ExportState,
}
