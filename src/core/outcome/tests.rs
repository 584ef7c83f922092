//! Checks the outcome of every kind of attempt end.

use super::*;

#[test]
fn every_attempt_end_has_its_outcome_and_proof_of_not_having_run() {
    let released = |cause, note| ObservedEnd::Released(Cause(cause), note);
    let rows = [
        (released(34, RefusalNote::None), Outcome::Overloaded, Outcome::Broken, false, false),
        (released(34, RefusalNote::Congestion), Outcome::Overloaded, Outcome::Broken, false, false),
        (released(34, RefusalNote::Throttled), Outcome::ProcessorFull, Outcome::Broken, false, false),
        (released(102, RefusalNote::None), Outcome::Void, Outcome::Broken, false, false),
        (released(41, RefusalNote::None), Outcome::Broken, Outcome::Broken, true, true),
        (released(17, RefusalNote::NumberBusy), Outcome::Failure, Outcome::Broken, true, false),
        (released(47, RefusalNote::None), Outcome::Failure, Outcome::Broken, true, false),
        (released(16, RefusalNote::None), Outcome::Failure, Outcome::Success, true, false),
        (released(31, RefusalNote::None), Outcome::Failure, Outcome::Success, true, false),
        (released(0, RefusalNote::None), Outcome::Failure, Outcome::Broken, true, false),
        (released(127, RefusalNote::None), Outcome::Failure, Outcome::Broken, true, false),
        (ObservedEnd::ReleasedUnanswered(Cause(16)), Outcome::Success, Outcome::Broken, true, false),
        (ObservedEnd::ReleasedUnanswered(Cause(41)), Outcome::Broken, Outcome::Broken, true, true),
        (ObservedEnd::GivenUp, Outcome::Withdrawn, Outcome::Broken, true, true),
        (ObservedEnd::CancelledUnsent, Outcome::Unreachable, Outcome::Broken, false, false),
        (ObservedEnd::ConnectionLost, Outcome::Broken, Outcome::Broken, true, true),
        (ObservedEnd::Unreachable, Outcome::Unreachable, Outcome::Broken, false, false),
        (ObservedEnd::NotSentDraining, Outcome::Unreachable, Outcome::Broken, false, false),
        (ObservedEnd::NotSentExpired, Outcome::Void, Outcome::Broken, false, false),
    ];
    for (end, before, after, may_have_run, pause) in rows {
        assert_eq!(outcome_of(end, false, None), before, "{end:?}");
        assert_eq!(outcome_of(end, true, None), after, "{end:?}");
        assert_eq!(!before.proves_never_ran(), may_have_run, "{end:?}");
        assert_eq!(before.awaits_release(), pause, "{end:?}");
    }
    for reason in [Outcome::TimedOut, Outcome::Withdrawn] {
        assert_eq!(outcome_of(ObservedEnd::GivenUp, false, Some(reason)), reason);
        assert_eq!(
            outcome_of(ObservedEnd::ConnectionLost, false, Some(reason)),
            reason,
            "the earlier decision to give up counts"
        );
        assert_eq!(outcome_of(ObservedEnd::CancelledUnsent, false, Some(reason)), Outcome::Unreachable);
        assert!(reason.awaits_release() && !reason.proves_never_ran());
    }
}
