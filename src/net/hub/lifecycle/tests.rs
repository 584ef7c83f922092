//! Tests of the verdicts on connections.

use super::*;

const INTERVAL: Duration = Duration::from_millis(100);
const SUSPENDED: Option<Verdict> = Some(Verdict::Suspend(EndReason::MessageIncomplete));

/// A connection without set-ups and standing calls.
fn nothing_due() -> Observed<impl FnOnce() -> bool> {
    Observed { oldest_set_up: None, latest_answered_start: None, has_standing_calls: || false }
}

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
        assert_eq!(lifecycle.verdict(at, nothing_due()), None);
        lifecycle.record_input(at, false, true);
    }
    assert_eq!(lifecycle.verdict(start + MESSAGE_TIMEOUT, nothing_due()), SUSPENDED);
    lifecycle.suspend(start + MESSAGE_TIMEOUT, EndReason::MessageIncomplete);
    for at in times(start + MESSAGE_TIMEOUT, start + RELEASE_TIMEOUT) {
        assert!(!lifecycle.record_input(at, false, true) && !lifecycle.is_in_service());
        assert_eq!(lifecycle.verdict(at, nothing_due()), None);
    }
    let end = lifecycle.verdict(start + RELEASE_TIMEOUT, nothing_due());
    assert_eq!(end, Some(Verdict::End(EndReason::MessageIncomplete)));
}

#[test]
fn a_whole_message_brings_a_suspended_connection_back_also_with_the_next_one_incomplete() {
    for incomplete in [false, true] {
        let start = Instant::now();
        let mut lifecycle = Lifecycle::new();
        lifecycle.record_input(start, false, true);
        lifecycle.suspend(start + MESSAGE_TIMEOUT, EndReason::MessageIncomplete);
        let completed = start + Duration::from_secs(1);
        assert!(lifecycle.record_input(completed, true, incomplete));
        assert!(lifecycle.is_in_service());
        let later = lifecycle.verdict(completed + MESSAGE_TIMEOUT, nothing_due());
        assert_eq!(later, SUSPENDED.filter(|_| incomplete));
    }
}

#[test]
fn an_overtaken_connection_is_kept_while_calls_stand_on_it_until_the_release_limit() {
    let start = Instant::now();
    let overtaken = |has_standing_calls: bool| Observed {
        oldest_set_up: Some(start),
        latest_answered_start: Some(start + OVERTAKEN_ANSWER_TIMEOUT),
        has_standing_calls: move || has_standing_calls,
    };
    let end = Some(Verdict::End(EndReason::AnswerOvertaken));
    let half_close = Some(Verdict::HalfClose(EndReason::AnswerOvertaken));
    let mut lifecycle = Lifecycle::new();
    let suspended = Some(Verdict::Suspend(EndReason::AnswerOvertaken));
    assert_eq!(lifecycle.verdict(start + INTERVAL, overtaken(true)), suspended);
    assert_eq!(lifecycle.verdict(start + INTERVAL, overtaken(false)), half_close);
    lifecycle.suspend(start, EndReason::AnswerOvertaken);
    let before_limit = start + RELEASE_TIMEOUT - INTERVAL;
    assert_eq!(lifecycle.verdict(before_limit, overtaken(true)), None);
    assert_eq!(
        lifecycle.verdict(before_limit, overtaken(false)),
        half_close,
        "the calls have ended elsewhere"
    );
    assert_eq!(lifecycle.verdict(start + RELEASE_TIMEOUT, overtaken(true)), end);
    // What it begins to deliver is read to its end.
    lifecycle.record_input(before_limit, false, true);
    assert_eq!(lifecycle.verdict(start + RELEASE_TIMEOUT, overtaken(false)), None);
}

#[test]
fn a_half_closed_connection_ends_after_the_release_limit_or_the_byte_limit_and_never_returns() {
    let start = Instant::now();
    let end = Some(Verdict::End(EndReason::Lingered));
    let mut lifecycle = Lifecycle::new();
    lifecycle.half_close(start);
    assert!(!lifecycle.record_input(start, true, false) && !lifecycle.is_in_service());
    assert_eq!(lifecycle.verdict(start + RELEASE_TIMEOUT - INTERVAL, nothing_due()), None);
    assert_eq!(lifecycle.verdict(start + RELEASE_TIMEOUT, nothing_due()), end);
    lifecycle.record_bytes(MAX_LINGER_BYTES - 1);
    assert_eq!(lifecycle.verdict(start, nothing_due()), None);
    lifecycle.record_bytes(1);
    assert_eq!(lifecycle.verdict(start, nothing_due()), end);
}
