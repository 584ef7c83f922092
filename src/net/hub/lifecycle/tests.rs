//! Tests of the verdicts on connections.

use super::*;

const INTERVAL: Duration = Duration::from_millis(100);
const SUSPENDED: Option<Verdict> = Some(Verdict::Suspend(EndReason::MessageIncomplete));

/// Times at which a piece of the same message arrives, from just after `start` to `end`.
fn times(start: Instant, end: Instant) -> impl Iterator<Item = Instant> {
    (1..).map(move |n| start + INTERVAL * n).take_while(move |at| *at < end)
}

#[test]
fn a_message_that_trickles_in_is_read_until_the_release_limit_and_no_longer() {
    let start = Instant::now();
    let mut lifecycle = Lifecycle::new();
    lifecycle.record_input(start, false, true);
    for at in times(start, start + MESSAGE_TIMEOUT) {
        assert_eq!(lifecycle.verdict(at, None, None), None);
        lifecycle.record_input(at, false, true);
    }
    assert_eq!(lifecycle.verdict(start + MESSAGE_TIMEOUT, None, None), SUSPENDED);
    lifecycle.suspend(start + MESSAGE_TIMEOUT);
    for at in times(start + MESSAGE_TIMEOUT, start + RELEASE_TIMEOUT) {
        assert!(!lifecycle.record_input(at, false, true) && !lifecycle.is_in_service());
        assert_eq!(lifecycle.verdict(at, None, None), None);
    }
    let end = lifecycle.verdict(start + RELEASE_TIMEOUT, None, None);
    assert_eq!(end, Some(Verdict::End(EndReason::MessageIncomplete)));
}

#[test]
fn a_whole_message_brings_a_suspended_connection_back_also_with_the_next_one_incomplete() {
    for incomplete in [false, true] {
        let start = Instant::now();
        let mut lifecycle = Lifecycle::new();
        lifecycle.record_input(start, false, true);
        lifecycle.suspend(start + MESSAGE_TIMEOUT);
        let completed = start + Duration::from_secs(1);
        assert!(lifecycle.record_input(completed, true, incomplete));
        assert!(lifecycle.is_in_service());
        let later = lifecycle.verdict(completed + MESSAGE_TIMEOUT, None, None);
        assert_eq!(later, SUSPENDED.filter(|_| incomplete));
    }
}
