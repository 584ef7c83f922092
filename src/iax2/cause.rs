//! The one table of how calls reason, in IAX2's words: a Q.850 cause code and its text.

use super::frame::{append_element, element, Elements};
use crate::core::{Cause, RefusalNote};

/// How a call, or an attempt, ends towards an IAX2 peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The module refused the call; another try is harmless.
    Refused,
    /// The call failed before its caller's time was up.
    Failed,
    /// No answer came before the caller's time was up.
    DeadlinePassed,
    /// An attempt is given up: timed out, or withdrawn by its caller or the module.
    GivenUp,
    /// A call that stood is released with this cause.
    Released(Cause),
    /// The NEW cannot be read, or speaks another version.
    Malformed,
    /// No call number is left.
    CallLimitReached,
}

/// The cause that an ending is told with.
pub fn cause_for(reason: EndReason) -> Cause {
    match reason {
        EndReason::Refused | EndReason::CallLimitReached => Cause(42),
        EndReason::Failed => Cause::TEMPORARY_FAILURE,
        EndReason::DeadlinePassed => Cause::TIMER_EXPIRY,
        EndReason::GivenUp => Cause::NORMAL,
        EndReason::Released(cause) => cause,
        EndReason::Malformed => Cause(96),
    }
}

/// Q.850's words for a cause.
pub fn cause_text(cause: Cause) -> &'static str {
    match cause.0 {
        16 => "Normal call clearing",
        17 => "User busy",
        21 => "Call rejected",
        31 => "Normal, unspecified",
        34 => "No circuit/channel available",
        41 => "Temporary failure",
        42 => "Switching equipment congestion",
        47 => "Resource unavailable, unspecified",
        96 => "Mandatory information element is missing",
        102 => "Recovery on timer expiry",
        _ => "Interworking, unspecified",
    }
}

/// The elements of a REJECT or HANGUP.
pub fn cause_elements(reason: EndReason) -> Vec<u8> {
    let (cause, mut out) = (cause_for(reason), Vec::new());
    append_element(&mut out, element::CAUSE, cause_text(cause).as_bytes());
    append_element(&mut out, element::CAUSECODE, &[cause.0]);
    out
}

/// What a hub's REJECT or HANGUP means to the core. Without a code, a rejection is just that, and
/// a hang-up is normal clearing.
pub fn parse_cause(elements: &Elements, is_reject: bool) -> (Cause, RefusalNote) {
    let code = elements.number(element::CAUSECODE).and_then(|c| u8::try_from(c).ok()).filter(|c| *c > 0);
    match code {
        Some(17) => (Cause::BUSY, RefusalNote::NumberBusy),
        Some(34) => (Cause::NO_CIRCUIT, RefusalNote::Congestion),
        Some(42) => (Cause::NO_CIRCUIT, RefusalNote::Throttled),
        Some(code) => (Cause(code), RefusalNote::None),
        None if is_reject => (Cause(21), RefusalNote::None),
        None => (Cause::NORMAL, RefusalNote::None),
    }
}

#[cfg(test)]
mod tests;
