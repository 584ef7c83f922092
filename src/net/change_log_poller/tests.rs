//! The pauses between polls that failed.

use super::*;

#[test]
fn a_change_log_that_is_back_is_asked_within_half_of_the_usual_grace() {
    let most = |failures| retry_delay(failures, 0);
    let least = |failures| retry_delay(failures, u32::MAX);
    assert_eq!((most(0), most(1)), (Duration::ZERO, Duration::ZERO), "a break is followed by a poll at once");
    for failures in 2..200 {
        assert!(most(failures) <= MAX_RETRY_DELAY && most(failures) >= most(failures - 1));
        assert!(least(failures) < most(failures), "those that lost it together come back one by one");
        assert!(least(failures) >= Duration::from_micros(INITIAL_RETRY_DELAY.0) / 2, "no storm");
    }
    assert!(IO_TIMEOUT + MAX_RETRY_DELAY <= Duration::from_secs(2) / 2, "a dial that hung, and one pause");
}
