//! Whether a table hub's process lives, judged by the clock.
//!
//! | what happened to a dial | no connection is open | connections are open and silent |
//! | --- | --- | --- |
//! | refused | dead at once | dead after [`SILENCE_TIMEOUT`], with a test message unanswered: one that drains may only have closed its listener |
//! | timed out, unreachable | dead after [`DIAL_FAILURE_TIMEOUT`] of such dials | dead after [`UNREACHABLE_SILENCE_TIMEOUT`] |
//! | came up, and the hub does not speak on it | dead after [`SILENCE_TIMEOUT`] | dead after [`SILENCE_TIMEOUT`] |
//!
//! Only what the hub says is a sign of life: the kernel of its machine accepts connections for a process that
//! hangs. A hub says its state before anything else on each new connection (PROTOCOL, 'Table hubs'), so that a new
//! connection is a question that a living process answers at once.

use std::io;
use tokio::time::{Duration, Instant};

/// Dials that got no answer for this long, with no connection open: the machine has vanished.
const DIAL_FAILURE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Silence after which a dial without an answer shows that the machine has vanished.
const UNREACHABLE_SILENCE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Silence after which a question without an answer shows that the process hangs. The calls that stood there are
/// released within 8 s of its last word, and their releases may have to be repeated for 0.7 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(6_500);
/// A question that is open for less than this shows nothing.
const PROBE_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What is known of one hub's process.
pub(super) struct Liveness {
    /// When the hub last said anything, on whichever connection.
    last_heard: Instant,
    /// Since when it has left a question unanswered.
    probe_pending_since: Option<Instant>,
    /// Since when all dials have failed.
    failing_since: Option<Instant>,
}

impl Liveness {
    /// A hub of which nothing is known yet.
    pub(super) fn new(now: Instant) -> Liveness {
        Liveness { last_heard: now, probe_pending_since: None, failing_since: None }
    }

    /// The hub said something.
    pub(super) fn record_heard(&mut self, now: Instant) {
        *self = Liveness::new(now);
    }

    /// A connection came up: the hub has to say its state on it.
    pub(super) fn record_connected(&mut self, now: Instant) {
        self.failing_since = None;
        self.record_probe(now);
    }

    /// The hub owes a word from now on.
    pub(super) fn record_probe(&mut self, now: Instant) {
        self.probe_pending_since.get_or_insert(now);
    }

    /// Whether it owes a word.
    pub(super) fn is_probe_pending(&self) -> bool {
        self.probe_pending_since.is_some()
    }

    /// Whether a dial that failed shows that the hub is dead. `open`: connections are open. Danger: an error of our
    /// own, such as having no descriptor left, shows nothing of the hub.
    pub(super) fn dial_failed(&mut self, now: Instant, error: io::ErrorKind, open: bool) -> bool {
        use io::ErrorKind::{ConnectionRefused, HostUnreachable, NetworkUnreachable, TimedOut};
        if error == crate::net::doors::NONE_LEFT {
            return false;
        }
        let failing = now - *self.failing_since.get_or_insert(now);
        match error {
            ConnectionRefused => !open,
            TimedOut | HostUnreachable | NetworkUnreachable if open => {
                self.silence(now) >= UNREACHABLE_SILENCE_TIMEOUT
            }
            TimedOut | HostUnreachable | NetworkUnreachable => failing >= DIAL_FAILURE_TIMEOUT,
            _ => false,
        }
    }

    /// For how long the hub has said nothing.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        now - self.last_heard
    }

    /// Whether the hub left a question unanswered for so long that its process hangs. What waits to be read must be
    /// taken in before.
    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        let unanswered = self.probe_pending_since.is_some_and(|since| now - since >= PROBE_ANSWER_TIMEOUT);
        unanswered && self.silence(now) >= SILENCE_TIMEOUT
    }
}

#[cfg(test)]
mod tests;
