//! Maps the reasons why calls end to Q.850 causes and their texts, and the causes that peers send to refusals.

use super::frame::{append_element, element, Elements};
use crate::core::{Cause, RefusalNote};

/// Why a call or an attempt ends, as reported to an IAX2 peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The controller refused the call; trying again is harmless.
    Refused,
    /// The call failed before the caller's deadline.
    Failed,
    /// No answer arrived before the caller's deadline.
    DeadlinePassed,
    /// An attempt was given up: it timed out, or the caller or the controller withdrew it.
    GivenUp,
    /// An established call is released with this cause.
    Released(Cause),
    /// The NEW is malformed or has an unsupported protocol version.
    Malformed,
    /// The limit on concurrent calls is reached.
    CallLimitReached,
}

/// Returns the Q.850 cause sent for a reason.
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

/// Returns the text sent with a cause, as Q.850 names it.
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

/// Encodes the information elements of a REJECT or HANGUP.
pub fn cause_elements(reason: EndReason) -> Vec<u8> {
    let (cause, mut out) = (cause_for(reason), Vec::new());
    append_element(&mut out, element::CAUSE, cause_text(cause).as_bytes());
    append_element(&mut out, element::CAUSECODE, &[cause.0]);
    out
}

/// Decodes the cause of a peer's REJECT or HANGUP. Without a cause code, a REJECT means call rejected (21) and a
/// HANGUP means normal call clearing (16).
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
