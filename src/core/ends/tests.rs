//! Each row of the table of ends.

use super::*;

#[test]
fn each_row_of_the_table() {
    let released = |cause, note| Seen::Released(Cause(cause), note);
    let rows = [
        (released(34, Note::None), Outcome::Overloaded, Outcome::Broken, false, false),
        (released(34, Note::Congestion), Outcome::Overloaded, Outcome::Broken, false, false),
        (released(34, Note::Throttled), Outcome::ProcessorFull, Outcome::Broken, false, false),
        (released(102, Note::None), Outcome::Void, Outcome::Broken, false, false),
        (released(41, Note::None), Outcome::Broken, Outcome::Broken, true, true),
        (released(17, Note::Engaged), Outcome::Failure, Outcome::Broken, true, false),
        (released(47, Note::None), Outcome::Failure, Outcome::Broken, true, false),
        (released(16, Note::None), Outcome::Failure, Outcome::Success, true, false),
        (released(31, Note::None), Outcome::Failure, Outcome::Success, true, false),
        (released(0, Note::None), Outcome::Failure, Outcome::Broken, true, false),
        (released(127, Note::None), Outcome::Failure, Outcome::Broken, true, false),
        (Seen::ReleasedUnanswered(Cause(16)), Outcome::Success, Outcome::Broken, true, false),
        (Seen::ReleasedUnanswered(Cause(41)), Outcome::Broken, Outcome::Broken, true, true),
        (Seen::GivenUp, Outcome::Withdrawn, Outcome::Broken, true, true),
        (Seen::TakenBack, Outcome::Unreachable, Outcome::Broken, false, false),
        (Seen::Lost, Outcome::Broken, Outcome::Broken, true, true),
        (Seen::Unreachable, Outcome::Unreachable, Outcome::Broken, false, false),
        (Seen::Drained, Outcome::Unreachable, Outcome::Broken, false, false),
        (Seen::Late, Outcome::Void, Outcome::Broken, false, false),
    ];
    for (seen, before, after, may_have_run, pause) in rows {
        assert_eq!(outcome(seen, false, None), before, "{seen:?}");
        assert_eq!(outcome(seen, true, None), after, "{seen:?}");
        assert_eq!(!before.proves_never_ran(), may_have_run, "{seen:?}");
        assert_eq!(before.awaits_release(), pause, "{seen:?}");
    }
    for ending in [Outcome::TimedOut, Outcome::Withdrawn] {
        assert_eq!(outcome(Seen::GivenUp, false, Some(ending)), ending);
        assert_eq!(outcome(Seen::Lost, false, Some(ending)), ending, "what was decided first counts");
        assert_eq!(outcome(Seen::TakenBack, false, Some(ending)), Outcome::Unreachable);
        assert!(ending.awaits_release() && !ending.proves_never_ran());
    }
}
