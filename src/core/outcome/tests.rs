//! Each row of the table of ends.

use super::*;

#[test]
fn each_row_of_the_table() {
    let released = |cause, note| AttemptEnd::Released(Cause(cause), note);
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
        (AttemptEnd::ReleasedUnanswered(Cause(16)), Outcome::Success, Outcome::Broken, true, false),
        (AttemptEnd::ReleasedUnanswered(Cause(41)), Outcome::Broken, Outcome::Broken, true, true),
        (AttemptEnd::GivenUp, Outcome::Withdrawn, Outcome::Broken, true, true),
        (AttemptEnd::CancelledUnsent, Outcome::Unreachable, Outcome::Broken, false, false),
        (AttemptEnd::ConnectionLost, Outcome::Broken, Outcome::Broken, true, true),
        (AttemptEnd::Unreachable, Outcome::Unreachable, Outcome::Broken, false, false),
        (AttemptEnd::NotSentDraining, Outcome::Unreachable, Outcome::Broken, false, false),
        (AttemptEnd::NotSentExpired, Outcome::Void, Outcome::Broken, false, false),
    ];
    for (seen, before, after, may_have_run, pause) in rows {
        assert_eq!(outcome_of(seen, false, None), before, "{seen:?}");
        assert_eq!(outcome_of(seen, true, None), after, "{seen:?}");
        assert_eq!(!before.proves_unrun(), may_have_run, "{seen:?}");
        assert_eq!(before.awaits_release(), pause, "{seen:?}");
    }
    for ending in [Outcome::TimedOut, Outcome::Withdrawn] {
        assert_eq!(outcome_of(AttemptEnd::GivenUp, false, Some(ending)), ending);
        assert_eq!(
            outcome_of(AttemptEnd::ConnectionLost, false, Some(ending)),
            ending,
            "what was decided first counts"
        );
        assert_eq!(outcome_of(AttemptEnd::CancelledUnsent, false, Some(ending)), Outcome::Unreachable);
        assert!(ending.awaits_release() && !ending.proves_unrun());
    }
}
