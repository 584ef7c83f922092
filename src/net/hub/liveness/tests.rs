//! Tests of the conclusions drawn from failed dials, silence and unanswered probes.

use super::*;
use crate::net::connection_limit::DESCRIPTORS_EXHAUSTED;
use io::ErrorKind::{ConnectionRefused, Other, TimedOut};

const SHORT: Duration = Duration::from_millis(600);
const LONG: Duration = Duration::from_secs(6);

/// Whether a dial that fails now shows that the hub is dead, after the given times of failing dials and of silence.
fn is_dead(error: io::ErrorKind, open: bool, failing: Duration, silence: Duration) -> bool {
    let start = Instant::now();
    let now = start + failing.max(silence);
    let mut liveness = Liveness::new(now - silence);
    liveness.failing_since = Some(now - failing);
    liveness.dial_failed(now, error, open)
}

#[test]
fn a_failed_dial_declares_a_hub_dead_only_if_the_error_proves_it() {
    assert!(is_dead(ConnectionRefused, false, Duration::ZERO, Duration::ZERO));
    assert!(!is_dead(ConnectionRefused, true, LONG, LONG), "a draining hub's listener");
    assert!(!is_dead(TimedOut, false, SHORT, SHORT) && is_dead(TimedOut, false, LONG, SHORT));
    assert!(!is_dead(TimedOut, true, LONG, SHORT) && is_dead(TimedOut, true, SHORT, LONG));
    assert!(!is_dead(Other, false, LONG, LONG), "a local error");
    assert!(!is_dead(DESCRIPTORS_EXHAUSTED, false, LONG, LONG), "no file descriptor left");
}

#[test]
fn a_hub_is_unresponsive_only_after_a_long_silence_with_an_unanswered_probe() {
    let start = Instant::now();
    let mut liveness = Liveness::new(start);
    let late = start + 2 * LONG;
    assert!(!liveness.is_unresponsive(late), "no probe was sent");
    liveness.record_connected(late);
    assert!(!liveness.is_unresponsive(late + SHORT), "probed just now");
    assert!(liveness.is_unresponsive(late + PROBE_ANSWER_TIMEOUT));
    liveness.record_heard(late + PROBE_ANSWER_TIMEOUT);
    assert!(!liveness.is_unresponsive(late + 2 * LONG), "it answered");
    liveness.record_connected(late + PROBE_ANSWER_TIMEOUT);
    assert!(!liveness.is_unresponsive(late + LONG), "silent for less than {SILENCE_TIMEOUT:?}");
    assert!(liveness.is_unresponsive(late + 2 * LONG));
}
