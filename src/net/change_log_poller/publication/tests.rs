use super::*;

const HOLD: Micros = Micros(1_000_000);
const SECOND: Micros = Micros(1_000_000);
const START: Micros = Micros(100_000_000);

/// Times relative to the start of a response that was requested and arrived at these numbers of milliseconds.
fn times(requested_ms: u64, began_ms: u64, hold: Micros) -> ResponseTimes {
    let at = |ms: u64| START + Micros(ms * 1_000);
    ResponseTimes { requested_at: at(requested_ms), began_at: at(began_ms), hold }
}

#[test]
fn an_event_of_a_prompt_held_response_counts_from_its_arrival() {
    let mut earliest = EarliestPublication::new(START);
    earliest.poll_succeeded(times(0, 2, Micros(0)), false);
    earliest.poll_succeeded(times(2, 1_004, HOLD), false);
    let since = earliest.poll_succeeded(times(1_004, 1_704, HOLD), true);
    assert!(since >= START + Micros(1_700_000) && since <= START + Micros(1_704_000), "{since:?}");
}

#[test]
fn an_event_of_a_response_that_was_not_held_counts_from_the_latest_response() {
    let mut earliest = EarliestPublication::new(START);
    earliest.poll_succeeded(times(0, 0, Micros(0)), false);
    earliest.poll_succeeded(times(0, 1_000, HOLD), false);
    let since = earliest.poll_succeeded(times(1_900, 2_000, HOLD), true);
    assert_eq!(since, START + SECOND);
}

#[test]
fn an_event_of_a_late_response_counts_from_its_publication() {
    let mut earliest = EarliestPublication::new(START);
    earliest.poll_succeeded(times(0, 1_000, Micros(0)), false);
    // Published 0.5 s after the request, and a second late.
    let since = earliest.poll_succeeded(times(1_000, 2_500, HOLD), true);
    assert_eq!(since, START + Micros(1_500_000));
}

#[test]
fn a_late_response_that_was_not_held_counts_from_the_latest_one() {
    let mut earliest = EarliestPublication::new(START);
    earliest.poll_succeeded(times(0, 1_000, Micros(0)), false);
    let since = earliest.poll_succeeded(times(3_000, 4_000, HOLD), true);
    assert_eq!(
        since, START,
        "the first response was as late, and contained what was published before its request"
    );
}

#[test]
fn an_event_after_a_failed_poll_counts_from_the_latest_response() {
    let mut earliest = EarliestPublication::new(START);
    earliest.poll_succeeded(times(0, 1_000, HOLD), false);
    earliest.poll_failed();
    let since = earliest.poll_succeeded(times(2_000, 2_900, HOLD), true);
    assert_eq!(since, START + SECOND);
    let next = earliest.poll_succeeded(times(2_900, 3_500, HOLD), true);
    assert_eq!(next, START + Micros(3_500_000), "a later one counts from its arrival again");
}

#[test]
fn a_change_log_that_is_prompt_again_counts_as_prompt() {
    let mut earliest = EarliestPublication::new(START);
    earliest.poll_succeeded(times(0, 3_000, HOLD), false);
    earliest.poll_succeeded(times(3_000, 4_000, HOLD), false);
    let since = earliest.poll_succeeded(times(4_000, 4_700, HOLD), true);
    assert_eq!(since, START + Micros(4_700_000));
}
