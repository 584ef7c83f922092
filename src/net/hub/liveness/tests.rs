//! What failed dials, silence and unanswered questions show.

use super::*;
use crate::net::doors::NONE_LEFT;
use io::ErrorKind::{ConnectionRefused, Other, TimedOut};

const SHORT: Duration = Duration::from_millis(600);
const LONG: Duration = Duration::from_secs(6);

/// Whether a dial that fails now shows that the hub is dead, after so much silence and failing dials.
fn is_dead(error: io::ErrorKind, open: bool, failing: Duration, silence: Duration) -> bool {
    let start = Instant::now();
    let now = start + failing.max(silence);
    let mut liveness = Liveness::new(now - silence);
    liveness.failing_since = Some(now - failing);
    liveness.dial_failed(now, error, open)
}

#[test]
fn a_hub_is_dead_only_where_the_dial_shows_it() {
    assert!(is_dead(ConnectionRefused, false, Duration::ZERO, Duration::ZERO));
    assert!(!is_dead(ConnectionRefused, true, LONG, LONG), "a draining hub's listener");
    assert!(!is_dead(TimedOut, false, SHORT, SHORT) && is_dead(TimedOut, false, LONG, SHORT));
    assert!(!is_dead(TimedOut, true, LONG, SHORT) && is_dead(TimedOut, true, SHORT, LONG));
    assert!(!is_dead(Other, false, LONG, LONG), "an error of our own");
    assert!(!is_dead(NONE_LEFT, false, LONG, LONG), "no descriptor left");
}

#[test]
fn a_hub_is_unresponsive_only_once_it_was_silent_for_long_with_a_question_open() {
    let start = Instant::now();
    let mut liveness = Liveness::new(start);
    let late = start + 2 * LONG;
    assert!(!liveness.is_unresponsive(late), "nothing was asked");
    liveness.record_connected(late);
    assert!(!liveness.is_unresponsive(late + SHORT), "asked just now");
    assert!(liveness.is_unresponsive(late + PROBE_ANSWER_TIMEOUT));
    liveness.record_heard(late + PROBE_ANSWER_TIMEOUT);
    assert!(!liveness.is_unresponsive(late + 2 * LONG), "it answered");
    liveness.record_connected(late + PROBE_ANSWER_TIMEOUT);
    assert!(!liveness.is_unresponsive(late + LONG), "silent for less than {SILENCE_TIMEOUT:?}");
    assert!(liveness.is_unresponsive(late + 2 * LONG));
}
