//! Delays between retries of failed polls.

use super::*;

#[test]
fn retry_delays_are_spread_and_bounded_by_half_of_the_usual_drain_grace() {
    let longest = |failures| retry_delay(failures, 0);
    let shortest = |failures| retry_delay(failures, u32::MAX);
    assert_eq!(
        (longest(0), longest(1)),
        (Duration::ZERO, Duration::ZERO),
        "the first retry after a failure is immediate"
    );
    for failures in 2..200 {
        assert!(longest(failures) <= MAX_RETRY_DELAY && longest(failures) >= longest(failures - 1));
        assert!(
            shortest(failures) < longest(failures),
            "controllers that failed together retry at random times"
        );
        assert!(shortest(failures) >= INITIAL_RETRY_DELAY / 2, "no tight loop of retries");
    }
    assert!(
        poll::IO_TIMEOUT + MAX_RETRY_DELAY <= Duration::from_secs(2) / 2,
        "a dial that times out and one delay take at most half of the grace"
    );
}
