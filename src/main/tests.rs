//! The times of a planned end.

use super::*;

#[test]
fn a_planned_end_is_over_before_the_kill_also_where_deadlines_are_short() {
    let ending = |ms: u64| Ending::before_kill(Some(Micros(ms * 1000)));
    let millis = Duration::from_millis;
    assert_eq!(ending(9_000), Ending { refused: millis(3_200), over: millis(3_500) });
    assert_eq!(ending(1_200), Ending { refused: millis(1_400), over: millis(1_700) });
    for deadline_ms in [100, 200, 300, 500] {
        let (ending, kill) = (ending(deadline_ms), millis(deadline_ms + 700));
        assert!(ending.over >= millis(700), "callers come for so long in any case");
        assert!(ending.over + millis(100) <= kill, "it is over before the kill: {ending:?}");
        assert!(ending.refused + millis(300) <= ending.over, "refusals have time to be written: {ending:?}");
    }
}
