//! Suspends, half-closes and closes the connections of a link, and settles what was open on them.

use super::connection::{Connection, ConnectionWork, Outgoing};
use super::lifecycle::{EndReason, Verdict};
use super::liveness::Liveness;
use super::{Link, QUIET_TIMEOUT};
use crate::core::{FromHub, SetUp, ToHub};
use crate::metrics;
use crate::net::binary;
use tokio::time::Instant;

/// Maximum number of connections to one hub that are closed for writing and still read.
const MAX_HALF_CLOSED_CONNECTIONS: usize = 4;

impl Link {
    /// Treats the hub as dead and closes its connections. A hub that is only cut off still holds the set-ups on its
    /// silent connections and may run them when it is reachable again. A set-up is therefore settled only when its
    /// connection is closed, and it may have run.
    pub(super) fn declare_dead(&mut self, now: Instant, why: &str) {
        metrics::HUBS_DEAD.increment();
        let silent_ms = self.liveness.silence(now).as_millis() as u64;
        let (open, standing) = (self.open_connections(), self.standing_calls.len());
        tracing::info!(link = self.id.0, why, silent_ms, open, standing, "hub declared dead");
        self.close_all();
        self.standing_calls.clear();
        self.liveness = Liveness::new(now);
        self.events.push(FromHub::Dead);
    }

    /// Closes all connections and settles all set-ups: those that have begun may have run, the others never did.
    pub(super) fn close_all(&mut self) {
        let mut never_begun: Vec<SetUp> = self.waiting_set_ups.drain(..).collect();
        for mut connection in std::mem::take(&mut self.connections) {
            let open = connection.open_set_ups.len();
            tracing::debug!(link = self.id.0, connection = connection.id, open, "connection closed");
            let work = connection.take_work();
            drop(connection);
            self.report_broken(&work);
            never_begun.extend(work.unwritten.into_iter().filter_map(|outgoing| match outgoing {
                Outgoing::SetUp(set_up) => Some(set_up),
                _ => None,
            }));
        }
        self.events.extend(never_begun.into_iter().map(|s| FromHub::Unreachable(s.call, s.attempt)));
    }

    /// Closes the idle connection that has been silent for longest, if more than `keep` are open. Calls that stand do
    /// not depend on the connection they were set up on.
    pub(super) fn close_silent(&mut self, now: Instant, keep: usize) {
        if self.open_connections() <= keep {
            return;
        }
        let silent = |c: &Connection| {
            !c.lifecycle.is_half_closed() && c.is_idle() && now - c.last_heard >= QUIET_TIMEOUT
        };
        let candidates = self.connections.iter().enumerate().filter(|(_, c)| silent(c));
        let longest_silent = candidates.min_by_key(|(_, c)| c.last_heard).map(|(index, _)| index);
        let Some(index) = longest_silent else { return };
        if let Err(reason) = self.read_available(index) {
            self.connection_lost(index, reason);
        } else if self.connections.get(index).is_some_and(silent) {
            self.close_idle(index, EndReason::Silent);
        }
    }

    /// Closes a connection that has no unanswered set-ups and nothing to write. It is closed for writing only, and read
    /// until the hub closes it too, as the hub may still write to it. Where descriptors are short it is closed at once.
    pub(super) fn close_idle(&mut self, index: usize, reason: EndReason) {
        let lingers = self.try_half_close(index);
        let id = self.connections.get(index).map_or(0, |connection| connection.id);
        if !lingers {
            self.connections.remove(index);
        }
        let open = self.open_connections();
        tracing::debug!(link = self.id.0, connection = id, ?reason, open, lingers, "connection closed");
    }

    /// Closes a connection with unanswered set-ups, which settles them, and reads it until the hub closes it too.
    pub(super) fn half_close(&mut self, index: usize, reason: EndReason) {
        if !self.try_half_close(index) {
            return self.connection_lost(index, reason);
        }
        let Some(connection) = self.connections.get_mut(index) else { return };
        metrics::HUB_CONNECTIONS_LOST.increment();
        tracing::debug!(
            link = self.id.0,
            connection = connection.id,
            open = connection.open_set_ups.len(),
            ?reason,
            "connection half-closed"
        );
        let work = connection.take_work();
        self.settle(work);
    }

    /// Closes a connection for writing, if it may be read any further; returns whether it is closed so.
    pub(super) fn try_half_close(&mut self, index: usize) -> bool {
        let half_closed = self.connections.len() - self.open_connections();
        if half_closed >= MAX_HALF_CLOSED_CONNECTIONS || self.connection_limit.is_exhausted() {
            return false;
        }
        self.connections.get_mut(index).is_some_and(|connection| connection.half_close().is_ok())
    }

    /// Closes the half-closed connections if another link waits for a descriptor.
    pub(super) fn free_descriptors(&mut self) {
        if self.connection_limit.has_waiters() {
            self.read_all_connections();
            self.connections.retain(|c| !c.lifecycle.is_half_closed());
        }
    }

    /// Suspends or closes the connections that need it; see [`lifecycle`]. After an answer that was corrupted, cut short
    /// or lost, a connection can stay open and deliver nothing more, neither for its other set-ups nor for its standing
    /// calls. The hub repeats on the next connection what it could not deliver.
    pub(super) fn judge_connections(&mut self) {
        let now = Instant::now();
        let verdict =
            |c: &Connection, link: &Link| c.verdict(now, link.latest_answered_start, &link.standing_calls);
        while let Some(index) = self.connections.iter().position(|c| verdict(c, self).is_some()) {
            // On a machine short of CPU time, the deadline may pass while the answer is already in the socket's
            // buffer, as another connection is read first. So the connection is read once more before it is judged.
            let ended = self.read_available(index).err().map(Verdict::End);
            match ended.or_else(|| self.connections.get(index).and_then(|c| verdict(c, self))) {
                Some(Verdict::Suspend(reason)) => self.suspend(index, reason),
                Some(Verdict::HalfClose(reason)) => self.half_close(index, reason),
                Some(Verdict::End(reason)) => self.connection_lost(index, reason),
                None => {}
            }
        }
    }

    /// Takes a connection out of service and gives its set-ups up. If the give-ups cannot be written at once, only
    /// closing the connection settles the set-ups.
    pub(super) fn suspend(&mut self, index: usize, reason: EndReason) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(index) else { return };
        metrics::HUB_CONNECTIONS_SUSPENDED.increment();
        tracing::debug!(
            link = self.id.0,
            connection = connection.id,
            open = connection.open_set_ups.len(),
            standing = self.standing_calls.len(),
            ?reason,
            "connection suspended"
        );
        connection.lifecycle.suspend(Instant::now(), reason);
        let withdrawn = connection.withdraw_queued_set_ups();
        connection.abandon_open_set_ups();
        let written = connection.write(now, self.set_up_cutoff, &mut self.events);
        if written.is_err() || connection.has_unsent_output() {
            self.half_close(index, reason);
        }
        self.redial();
        for set_up in withdrawn {
            self.handle_command(ToHub::SetUp(set_up));
        }
    }

    /// Removes a connection that has ended. Only the set-ups that had begun on it are broken; the others are queued again.
    pub(super) fn connection_lost(&mut self, index: usize, reason: EndReason) {
        let mut connection = self.connections.remove(index);
        if connection.lifecycle.is_half_closed() {
            self.report_discarded_input(&connection);
            tracing::debug!(
                link = self.id.0,
                connection = connection.id,
                ?reason,
                "half-closed connection ended"
            );
            return;
        }
        metrics::HUB_CONNECTIONS_LOST.increment();
        self.report_discarded_input(&connection);
        tracing::debug!(
            link = self.id.0,
            connection = connection.id,
            open = connection.open_set_ups.len(),
            standing = self.standing_calls.len(),
            ?reason,
            "connection lost"
        );
        // Counted so that a hub that resets each connection it accepts is not dialled in a tight loop.
        self.resets_in_a_row += u32::from(connection.last_heard == connection.opened_at);
        let work = connection.take_work();
        drop(connection);
        self.settle(work);
    }

    /// Reports the set-ups that had begun on a connection that is closed now as broken, dials another connection, and
    /// queues there what had not been written.
    pub(super) fn settle(&mut self, work: ConnectionWork) {
        self.report_broken(&work);
        self.redial();
        for outgoing in work.unwritten {
            match outgoing {
                Outgoing::SetUp(set_up) => self.handle_command(ToHub::SetUp(set_up)),
                Outgoing::Release(call, cause) => self.handle_command(ToHub::Release(call, cause)),
                // The set-up of a give-up was broken with this connection.
                Outgoing::GiveUp(..) | Outgoing::Abandon(..) | Outgoing::ReleaseAck(_) | Outgoing::Test => {}
            }
        }
    }

    pub(super) fn report_broken(&mut self, work: &ConnectionWork) {
        let broken = work.begun.iter().map(|(call, set_up)| FromHub::ConnectionLost(*call, set_up.attempt));
        self.events.extend(broken);
    }

    /// Counts and logs the incomplete message that ends with a connection.
    pub(super) fn report_discarded_input(&self, connection: &Connection) {
        let input = connection.input.unconsumed();
        if input.is_empty() {
            return;
        }
        metrics::HUB_MESSAGES_DISCARDED.increment();
        let incomplete_ms =
            connection.lifecycle.partial_since().map_or(0, |since| since.elapsed().as_millis() as u64);
        let kind = binary::kind_of(input);
        tracing::debug!(
            link = self.id.0,
            connection = connection.id,
            ?kind,
            bytes = input.len(),
            incomplete_ms,
            "incomplete message discarded"
        );
    }
}
