//! Maps each way in which an attempt can end to its outcome.
//!
//! Links report what they observed ([`ObservedEnd`]). What that means for the call, and whether the set-up may
//! have run, is decided only here:
//!
//! | observed | before the call is established | once it is established | may have run | pause |
//! | --- | --- | --- | --- | --- |
//! | release, cause 34 | no circuit, or processor full with the note `throttled` | cut | no | no |
//! | release, cause 102 | void: it was never sent | cut | no | no |
//! | release, cause 41 | broken | cut | yes | yes |
//! | release before its answer, cause 16 | success; the call is failed | – | yes | no |
//! | release before its answer, cause 41 | broken; the call is failed | – | yes | yes |
//! | release, any other cause | failure | success (16, 31), else cut | yes | no |
//! | give-up written | the reason of the give-up | – | yes | yes |
//! | cancelled before its first byte | unreachable | – | no | no |
//! | connection lost after its first byte | broken, or the reason of the give-up | cut | yes | yes |
//! | no connection established | unreachable | – | no | no |
//! | not sent: the hub drains | unreachable | – | no | no |
//! | not sent: it expired | void | – | no | no |
//! | hub dead or replaced | broken, once its connection is closed | cut | yes | yes |
//!
//! A set-up may have run unless the end proves that it did not. As soon as one byte of it was written, there
//! is no such proof.

use super::types::{Cause, RefusalNote};
use crate::interface::Outcome;

/// The end of an attempt as observed by a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedEnd {
    /// The hub refused the set-up or released the call.
    Released(Cause, RefusalNote),
    /// The hub released a call before its answer arrived; the call was, or may have been, established.
    ReleasedUnanswered(Cause),
    /// The give-up was written.
    GivenUp,
    /// The set-up was cancelled before its first byte was written.
    CancelledUnsent,
    /// The connection was lost or closed after the first byte was written.
    ConnectionLost,
    /// No connection was established.
    Unreachable,
    /// The hub started to drain before the first byte was written.
    NotSentDraining,
    /// The set-up expired before its first byte was written.
    NotSentExpired,
}

/// Returns the outcome of an attempt. `established` tells whether its call was established, and
/// `give_up_reason` why the attempt was being given up, if it was.
pub fn outcome_of(end: ObservedEnd, established: bool, give_up_reason: Option<Outcome>) -> Outcome {
    match end {
        ObservedEnd::Released(Cause::NORMAL | Cause(31), _) if established => Outcome::Success,
        _ if established => Outcome::Broken,
        ObservedEnd::ReleasedUnanswered(Cause::NORMAL) => Outcome::Success,
        ObservedEnd::ReleasedUnanswered(_) => Outcome::Broken,
        ObservedEnd::Released(Cause::NO_CIRCUIT, RefusalNote::Throttled) => Outcome::ProcessorFull,
        ObservedEnd::Released(Cause::NO_CIRCUIT, _) => Outcome::Overloaded,
        ObservedEnd::Released(Cause::TIMER_EXPIRY, _) => Outcome::Void,
        ObservedEnd::Released(Cause::TEMPORARY_FAILURE, _) => Outcome::Broken,
        ObservedEnd::Released(..) => Outcome::Failure,
        ObservedEnd::GivenUp => give_up_reason.unwrap_or(Outcome::Withdrawn),
        // A give-up that was decided before the connection was lost determines the outcome.
        ObservedEnd::ConnectionLost => give_up_reason.unwrap_or(Outcome::Broken),
        ObservedEnd::CancelledUnsent | ObservedEnd::Unreachable | ObservedEnd::NotSentDraining => {
            Outcome::Unreachable
        }
        ObservedEnd::NotSentExpired => Outcome::Void,
    }
}

#[cfg(test)]
mod tests;
