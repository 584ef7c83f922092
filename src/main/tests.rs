//! The times of a planned end.

use super::*;

#[test]
fn a_planned_end_is_over_before_the_kill_also_where_deadlines_are_short() {
    let ending = |ms: u64| Ending::before_kill(Some(Micros(ms * 1000)));
    let millis = Duration::from_millis;
    assert_eq!(ending(9_000), Ending { refused: millis(3_200), over: millis(3_500) });
    assert_eq!(ending(1_200), Ending { refused: millis(1_400), over: millis(1_700) });
    assert_eq!(ending(100).over, STAY, "callers come for so long in any case");
}
