//! Messages between the core and the socket code. They are independent of the wire protocols: names are
//! opaque, and causes are those of Q.850, which all protocols share.

use crate::interface::{Micros, Report};
use bytes::Bytes;
use std::fmt;
use std::sync::Arc;

/// Name of a call in the wire protocols, the same on every leg of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallName(pub u64);

/// Formats the name as the wire protocols write it, for the logs.
impl fmt::Display for CallName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies the link to one hub process. A hub whose address or start time changes gets a new link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Where a call came in within its front, such as a connection. The core only passes it back to the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Origin(pub u64);

/// Identifies the front at which a call came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontId(pub usize);

/// A Q.850 cause value.
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

/// Detail that a hub adds to a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RefusalNote {
    /// No detail.
    #[default]
    None,
    /// No circuit is available.
    Congestion,
    /// The hub's processor is overloaded.
    Throttled,
    /// Every line of the called number is busy.
    NumberBusy,
}

/// A session description. It is opaque to the core, and only protocols that use the same format understand
/// it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Description {
    /// Name of the format.
    pub format: &'static str,
    /// The description itself, passed on unchanged.
    pub bytes: Bytes,
}

/// Size of an open set-up in the tables of the front, the core, the decision module and the link, without what its
/// caller chooses.
const OPEN_SET_UP_BYTES: usize = 1536;

/// A set-up from a caller.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The front at which it came in.
    pub front: FrontId,
    /// Where in that front it came in.
    pub origin: Origin,
    /// The call's name.
    pub call: CallName,
    /// The class's name.
    pub class: Arc<str>,
    /// The number called, as written.
    pub number: Arc<str>,
    /// The place of first choice.
    pub place: i64,
    /// When the caller stops waiting. If `None`, the deadline of the class applies.
    pub deadline: Option<Micros>,
    /// The caller repeats an earlier try.
    pub repeat: bool,
    /// The call was established before, was cut, and is set up again.
    pub returned: bool,
    /// The session's description.
    pub description: Description,
    /// Number of bytes that the front retains until the call has its final answer.
    pub retained_bytes: usize,
}

impl Offer {
    /// Number of bytes that the set-up takes, here and at its front, while it is open.
    pub fn open_bytes(&self) -> usize {
        OPEN_SET_UP_BYTES
            + self.retained_bytes
            + self.class.len()
            + self.number.len()
            + self.description.bytes.len()
    }
}

/// A set-up to be sent to a hub.
#[derive(Clone, Debug)]
pub struct SetUp {
    /// The call's name.
    pub call: CallName,
    /// Number of the attempt, unique within this process.
    pub attempt: u64,
    /// The class's name.
    pub class: Arc<str>,
    /// The number called.
    pub number: Arc<str>,
    /// Time until which an answer is waited for.
    pub until: Micros,
    /// The session's description.
    pub description: Description,
}

/// Commands from the core to the link of a hub.
#[derive(Clone, Debug)]
pub enum ToHub {
    /// Start a set-up.
    SetUp(SetUp),
    /// Give up a set-up; the link confirms with [`FromHub::GivenUp`].
    GiveUp(CallName, u64),
    /// Release an established call, or a call whose answer came too late.
    Release(CallName, Cause),
    /// Release a call that was set up before this process started, if the hub holds it.
    ReleaseUnknown(CallName, Cause),
    /// Start no set-up after this time; `None` lifts the restriction.
    SetUpCutoff(Option<Micros>),
    /// A media frame of an established call.
    Media(CallName, Description),
    /// The hub is gone: end everything. The link reports the end of each open set-up, then
    /// [`FromHub::Closed`].
    Close,
}

/// Events from the link of a hub to the core.
#[derive(Clone, Debug)]
pub enum FromHub {
    /// The hub answered a set-up.
    Answered(CallName, Description),
    /// The hub refused a set-up or released an established call.
    Released(CallName, Cause, RefusalNote, Report),
    /// The hub released a set-up that it has not answered, with a cause which means that the call was, or may
    /// have been, established. The call is over at the hub, and an answer may still arrive.
    ReleasedUnanswered(CallName, Cause, Report),
    /// A give-up was written to the socket, or the set-up was cancelled before its first byte was written.
    GivenUp {
        /// The attempt's number.
        attempt: u64,
        /// The call's name.
        call: CallName,
        /// Whether the first byte of the set-up had been written.
        began: bool,
    },
    /// The connection was lost while this set-up was open.
    ConnectionLost(CallName, u64),
    /// No connection was established: the set-up never ran.
    Unreachable(CallName, u64),
    /// The set-up expired, or the hub started to drain, before its first byte was written: it never ran.
    NotSent(CallName, u64),
    /// The link has ended as commanded: its connections are closed, and the end of each set-up was reported.
    Closed,
    /// A load report of the hub.
    LoadReport(Report),
    /// The hub's process is dead, and its established calls are cut. The end of each open set-up is reported
    /// separately.
    Dead,
    /// A media frame of an established call.
    Media(CallName, Description),
}

/// Messages from the core to a front.
#[derive(Clone, Debug)]
pub enum ToFront {
    /// The call was answered.
    Answer(Origin, CallName, Description),
    /// The call was refused. A time greater than 0 tells the caller how long to wait before the next try.
    Refuse(Origin, CallName, Micros),
    /// The call failed.
    Fail(Origin, CallName),
    /// An established call is over. The origin is `None` if the call was set up before this process started.
    Release(Option<Origin>, CallName, Cause),
    /// A media frame.
    Media(Origin, CallName, Description),
}

/// A hub as described by a hub list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hub {
    /// The hub's unique name.
    pub uid: String,
    /// The hub's address; not interpreted here.
    pub endpoint: String,
    /// The hub's place.
    pub place: i64,
    /// The hub's phase.
    pub phase: crate::interface::Phase,
    /// Time of the hub's latest start, if it was recent.
    pub born: Option<Micros>,
}

/// An update of the list of hubs.
#[derive(Clone, Debug, PartialEq)]
pub struct HubListUpdate {
    /// Whether this is the full list rather than only its changed entries.
    pub full: bool,
    /// The hubs of the update.
    pub hubs: Vec<Hub>,
    /// Earliest time at which the update took effect; it may have been in the change log for a while.
    pub effective_since: Micros,
    /// Sequence number of the change-log event; 0 if the update does not come from a change log.
    pub seq: u64,
}

/// Inputs of the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A set-up from a caller.
    Offer(Offer),
    /// The caller gave up its set-up, or its connection was lost.
    Withdrawn(FrontId, Origin, CallName),
    /// The caller releases an established call.
    Hangup(FrontId, CallName, Cause),
    /// A media frame from a caller.
    Media(FrontId, CallName, Description),
    /// An event from the link of a hub.
    Hub(LinkId, FromHub),
    /// The process is shutting down: set-ups still open at this time are refused.
    Shutdown(Micros),
    /// An update of the list of hubs.
    HubList(HubListUpdate),
    /// The change log was queried, and all its events up to now precede this input.
    ChangeLogCurrent,
    /// The process is about to end: export the learned state now.
    ExportState,
}
