//! Dials a table hub, and probes by dials and test messages whether it is alive.

use super::connection::{Connection, Outgoing};
use super::lifecycle::EndReason;
use super::{Link, MAX_CONNECTIONS};
use crate::metrics;
use crate::net::connection_limit::{self, ConnectionPermit};
use crate::net::dial::dial;
use std::collections::VecDeque;
use std::io;
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant};

/// Delay before the next dial once [`RESETS_BEFORE_DELAY`] connections in a row have ended without a byte received.
const RESET_REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Number of consecutive connections that may end without a byte received before redials are delayed.
const RESETS_BEFORE_DELAY: u32 = 2;
/// Number of connections that are kept open. With two, a failure of one shows while the other still carries traffic.
const TARGET_CONNECTIONS: usize = 2;
/// Upper bound of the delay between failed dials.
const MAX_DIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Delay before the next dial after a failed one; it doubles with each further failure.
pub(super) const MIN_DIAL_BACKOFF: Duration = Duration::from_millis(100);

impl Link {
    /// Number of connections to keep in service: [`TARGET_CONNECTIONS`], or fewer if there are more hubs than file
    /// descriptors, but at least one while calls or queued commands need it.
    pub(super) fn target_connections(&self) -> usize {
        let needed = !self.waiting_set_ups.is_empty()
            || self.urgent_releases(Instant::now()) > 0
            || !self.standing_calls.is_empty();
        self.connection_limit.allowance(TARGET_CONNECTIONS).max(usize::from(needed))
    }

    /// Starts a dial unless one is running or the maximum of connections is open.
    pub(super) fn start_dial(&mut self) {
        if self.target_connections() == 0 {
            self.next_dial = None;
            return;
        }
        if self.dials.is_empty() && self.open_connections() < MAX_CONNECTIONS {
            self.next_dial = None;
            let (address, limit) = (self.address, self.limits.dial_timeout);
            let now = Instant::now();
            let is_urgent = !self.waiting_set_ups.is_empty()
                || self.urgent_releases(now) > 0
                || self.is_quiet_with_calls(now);
            let permit = self.connection_limit.acquire(is_urgent);
            self.dials.spawn(async move {
                let address = address.ok_or(io::ErrorKind::InvalidInput)?;
                let permit = permit.await?;
                Ok((dial(address, limit).await?, permit))
            });
        }
    }

    /// Dials at once, or after a delay if the hub accepts connections only to reset them.
    pub(super) fn redial(&mut self) {
        match self.resets_in_a_row < RESETS_BEFORE_DELAY {
            true => self.start_dial(),
            false => self.next_dial = self.next_dial.or(Some(Instant::now() + RESET_REDIAL_DELAY)),
        }
    }

    /// Adds the new connection, or schedules the next dial and judges by the error whether the hub is dead.
    pub(super) fn dial_finished(&mut self, result: io::Result<(TcpStream, ConnectionPermit)>) {
        match result {
            Ok((stream, permit)) => self.dial_succeeded(stream, permit),
            Err(error) => self.dial_failed(&error),
        }
    }

    /// Adds the new connection. One that is not needed any more is closed, as its dial only checked that the hub is
    /// reachable. While calls stand it is kept, as the hub repeats on it the releases lost on a silent connection.
    pub(super) fn dial_succeeded(&mut self, stream: TcpStream, permit: ConnectionPermit) {
        let now = Instant::now();
        self.backoff = MIN_DIAL_BACKOFF;
        self.next_dial = None;
        let needed = self.connections_in_service() < self.target_connections().max(1)
            || self.answers_overdue(now)
            || !self.standing_calls.is_empty();
        self.connections_opened += 1;
        metrics::HUB_DIALS.increment();
        let id = self.connections_opened;
        let open = self.open_connections() + 1;
        tracing::debug!(link = self.id.0, connection = id, open, needed, "connection opened");
        let mut connection = Connection::new(id, stream, VecDeque::new(), permit, now);
        if !needed {
            self.connections.push(connection);
            return self.close_idle(self.connections.len() - 1, EndReason::Surplus);
        }
        self.last_connected = now;
        self.liveness.record_connected(now);
        let releases = self.waiting_releases.drain(..);
        connection.queue.extend(releases.map(|(_, call, cause)| Outgoing::Release(call, cause)));
        connection.queue.extend(self.waiting_set_ups.drain(..).map(Outgoing::SetUp));
        self.connections.push(connection);
        self.close_silent(now, self.target_connections().max(1));
    }

    /// Schedules the next dial, and judges by the error whether the hub is dead.
    pub(super) fn dial_failed(&mut self, error: &io::Error) {
        let now = Instant::now();
        // Messages that arrived during the dial are still unread and may show that the hub is alive.
        self.read_all_connections();
        metrics::HUB_DIAL_FAILURES.increment();
        let (silent_ms, standing) =
            (self.liveness.silence(now).as_millis() as u64, self.standing_calls.len());
        let (open, waiting) = (self.open_connections(), self.waiting_set_ups.len());
        tracing::debug!(link = self.id.0, %error, waiting, open, silent_ms, standing, "dial failed");
        self.report_waiting_unreachable();
        self.next_dial = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_DIAL_BACKOFF);
        let open = self.open_connections() > 0;
        if open {
            self.probe_open_connections(now, error.kind());
        }
        // The calls of a process that died are over, and nothing else reports that. A refused connection
        // proves that the process is gone; a machine that failed does not even refuse.
        if self.liveness.dial_failed(now, error.kind(), open) && (open || !self.standing_calls.is_empty()) {
            self.declare_dead(now, &error.to_string());
        }
    }

    /// Checks that the hub is alive by dialling it, if necessary in place of a connection that is silent and idle. If
    /// all connections are open and none is idle, each has a set-up that waits for an answer, which serves as the probe.
    pub(super) fn probe(&mut self, now: Instant) {
        if self.open_connections() >= MAX_CONNECTIONS || self.connection_limit.is_exhausted() {
            self.close_silent(now, 1);
        }
        if self.open_connections() >= MAX_CONNECTIONS {
            self.liveness.record_probe(now);
        }
        self.start_dial();
    }

    /// Sends a test message on the open connections if a new one was refused or no file descriptor was left for it. A
    /// draining hub may have closed its listener and keep its calls, but it answers tests. If the configuration forbids
    /// tests, a hub in service that refuses connections and stays silent counts as probed all the same.
    pub(super) fn probe_open_connections(&mut self, now: Instant, error: io::ErrorKind) {
        let refused = error == io::ErrorKind::ConnectionRefused;
        let dial_unavailable = refused || error == connection_limit::DESCRIPTORS_EXHAUSTED;
        if !dial_unavailable || !self.is_quiet_with_calls(now) || self.liveness.is_probe_pending() {
            return;
        }
        if self.limits.may_probe {
            self.open_connections_mut().for_each(|c| c.queue.push_back(Outgoing::Test));
        }
        if self.limits.may_probe || refused && self.set_up_cutoff.is_none() {
            self.liveness.record_probe(now);
        }
    }
}
