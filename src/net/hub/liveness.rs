//! Decides from dials, silence and unanswered probes whether a table hub's process is alive.
//!
//! | outcome of a dial | no connection is open | open connections are silent |
//! | --- | --- | --- |
//! | refused | dead at once | dead after [`SILENCE_TIMEOUT`] if a test message is unanswered; a draining hub may only have closed its listener |
//! | timed out, unreachable | dead after [`DIAL_FAILURE_TIMEOUT`] of such dials | dead after [`UNREACHABLE_SILENCE_TIMEOUT`] |
//! | connected, but the hub sends nothing | dead after [`SILENCE_TIMEOUT`] | dead after [`SILENCE_TIMEOUT`] |
//!
//! Only messages of the hub count as signs of life, as the kernel accepts connections for a process that hangs. On each
//! new connection a hub sends its state before anything else, so a new connection is a probe that a living process
//! answers at once.

use std::io;
use tokio::time::{Duration, Instant};

/// Time of failing dials, with no connection open, after which the hub's machine counts as failed.
const DIAL_FAILURE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Silence on open connections after which a dial that times out or finds the machine unreachable shows that it failed.
const UNREACHABLE_SILENCE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Silence after which an unanswered probe shows that the process hangs. The calls that stood there must be released
/// within 8 s of the hub's last message, and their releases may have to be repeated for 0.7 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(6_500);
/// Time that a hub has to answer a probe before the probe counts as unanswered.
const PROBE_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Signs of life of one hub's process.
pub(super) struct Liveness {
    /// When the hub last sent anything on any connection.
    last_heard: Instant,
    /// Since when a probe has been unanswered.
    probe_pending_since: Option<Instant>,
    /// Since when every dial has failed.
    failing_since: Option<Instant>,
}

impl Liveness {
    /// The state of a hub that counts as last heard at `now` and has no pending probe.
    pub(super) fn new(now: Instant) -> Liveness {
        Liveness { last_heard: now, probe_pending_since: None, failing_since: None }
    }

    /// Records that the hub sent something; this answers a pending probe.
    pub(super) fn record_heard(&mut self, now: Instant) {
        *self = Liveness::new(now);
    }

    /// Records a new connection. It counts as a probe, as the hub has to send its state on it.
    pub(super) fn record_connected(&mut self, now: Instant) {
        self.failing_since = None;
        self.record_probe(now);
    }

    /// Records that an answer of the hub is due from now on, unless one was due already.
    pub(super) fn record_probe(&mut self, now: Instant) {
        self.probe_pending_since.get_or_insert(now);
    }

    /// Whether a probe is unanswered.
    pub(super) fn is_probe_pending(&self) -> bool {
        self.probe_pending_since.is_some()
    }

    /// Whether a failed dial shows that the hub is dead; `open` tells whether connections to it are open. Local errors,
    /// such as having no file descriptor left, say nothing about the hub.
    pub(super) fn dial_failed(&mut self, now: Instant, error: io::ErrorKind, open: bool) -> bool {
        use io::ErrorKind::{ConnectionRefused, HostUnreachable, NetworkUnreachable, TimedOut};
        if error == crate::net::connection_limit::DESCRIPTORS_EXHAUSTED {
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

    /// How long the hub has sent nothing.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        now - self.last_heard
    }

    /// Whether the hub has left a probe unanswered for so long that its process must hang. Unread input must be handled
    /// before this result is relied on.
    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        let unanswered = self.probe_pending_since.is_some_and(|since| now - since >= PROBE_ANSWER_TIMEOUT);
        unanswered && self.silence(now) >= SILENCE_TIMEOUT
    }
}

#[cfg(test)]
mod tests;
