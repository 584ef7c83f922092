//! Tests of the shutdown schedule.

use super::*;

#[test]
fn shutdown_ends_before_the_kill_even_with_short_deadlines() {
    let schedule = |ms: u64| ShutdownSchedule::before_kill(Some(Micros(ms * 1000)));
    let millis = Duration::from_millis;
    assert_eq!(schedule(9_000), ShutdownSchedule { refuse_after: millis(3_200), exit_after: millis(3_500) });
    assert_eq!(schedule(1_200), ShutdownSchedule { refuse_after: millis(1_400), exit_after: millis(1_700) });
    for deadline_ms in [100, 200, 300, 500] {
        let (schedule, kill) = (schedule(deadline_ms), millis(deadline_ms + 700));
        assert!(schedule.exit_after >= millis(700), "callers may still connect that long");
        assert!(schedule.exit_after + millis(100) <= kill, "ended before the kill: {schedule:?}");
        assert!(
            schedule.refuse_after + millis(300) <= schedule.exit_after,
            "refusals have time to be written: {schedule:?}"
        );
    }
}
