//! How an attempt can end and what that proves, in one table. Links say what they saw; what it means for
//! the call, and whether the set-up may have run, is looked up here and nowhere else.
//!
//! | seen | before the call stands | once it stands | may have run | pause |
//! | --- | --- | --- | --- | --- |
//! | release, cause 34 | no circuit, or with the note `throttled` processor full | cut | no | no |
//! | release, cause 102 | moot: it never left | cut | no | no |
//! | release, cause 41 | broken | cut | yes | yes |
//! | release ahead of its answer, cause 16 | the end; the call is failed | – | yes | no |
//! | release ahead of its answer, cause 41 | broken; the call is failed | – | yes | yes |
//! | release, any other cause | failure | the end (16, 31), else cut | yes | no |
//! | give-up written | what it was given up for | – | yes | yes |
//! | taken back before its first byte | never sent on | – | no | no |
//! | its connection lost after its first byte | broken, or what it was given up for | cut | yes | yes |
//! | no connection came up for it | never sent on | – | no | no |
//! | not sent: the hub drains | never sent on | – | no | no |
//! | not sent: its time was up | moot | – | no | no |
//! | its hub dead or replaced | broken, once its connection is closed | cut | yes | yes |
//!
//! Whatever is not proven not to have run may have run; a set-up of which one byte went out is not proven.

use super::types::{Cause, RefusalNote};
use crate::interface::Outcome;

/// What a link saw of an attempt's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The hub refused it, or released the call.
    Released(Cause, RefusalNote),
    /// The hub released a call that stood, or may have stood, ahead of its answer.
    ReleasedUnanswered(Cause),
    /// The give-up is written.
    GivenUp,
    /// It was taken back before its first byte.
    CancelledUnsent,
    /// Its connection was lost, or closed, after its first byte.
    ConnectionLost,
    /// No connection came up.
    Unreachable,
    /// The hub drains, and its first byte was still to go.
    NotSentDraining,
    /// Its time was up before its first byte.
    NotSentExpired,
}

/// How an attempt ended. `ending`: what it was being given up for, if it was. `standing`: its call stood.
pub fn outcome_of(seen: AttemptEnd, standing: bool, ending: Option<Outcome>) -> Outcome {
    match seen {
        AttemptEnd::Released(Cause::NORMAL | Cause(31), _) if standing => Outcome::Success,
        _ if standing => Outcome::Broken,
        AttemptEnd::ReleasedUnanswered(Cause::NORMAL) => Outcome::Success,
        AttemptEnd::ReleasedUnanswered(_) => Outcome::Broken,
        AttemptEnd::Released(Cause::NO_CIRCUIT, RefusalNote::Throttled) => Outcome::ProcessorFull,
        AttemptEnd::Released(Cause::NO_CIRCUIT, _) => Outcome::Overloaded,
        AttemptEnd::Released(Cause::TIMER_EXPIRY, _) => Outcome::Void,
        AttemptEnd::Released(Cause::TEMPORARY_FAILURE, _) => Outcome::Broken,
        AttemptEnd::Released(..) => Outcome::Failure,
        AttemptEnd::GivenUp => ending.unwrap_or(Outcome::Withdrawn),
        // What was decided first counts.
        AttemptEnd::ConnectionLost => ending.unwrap_or(Outcome::Broken),
        AttemptEnd::CancelledUnsent | AttemptEnd::Unreachable | AttemptEnd::NotSentDraining => {
            Outcome::Unreachable
        }
        AttemptEnd::NotSentExpired => Outcome::Void,
    }
}

#[cfg(test)]
mod tests;
