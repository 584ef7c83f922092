//! Tracks the releases (BYE) that a connection's caller has not confirmed, and when each has to be sent again on another
//! connection.
//!
//! When a caller's machine fails or the network is cut, its connections stay open: the kernel accepts what is written
//! to them, and nobody reads it. A caller answers a BYE with 200 at once, so a BYE without a 200 is repeated on another
//! connection after [`REPEAT_TIMEOUT`], unless its own connection turns out to work. Callers need not answer a BYE:
//! bytes read later than [`MAX_ROUND_TRIP_TIME`] after the BYE was written count too. They do not prove that the BYE
//! was read, but that the path works, and TCP then delivers in order what was written before. Bytes read sooner may
//! have been sent before the path was cut and prove nothing.
//!
//! This module does no I/O and reads no clock: the connection reports what was written and read, and when.

use crate::core::{CallName, Cause};
use std::collections::VecDeque;
use tokio::time::{Duration, Instant};

/// Time after which a BYE without a 200 or other sign that the connection works is repeated. Callers are 8 to 25 ms
/// away and answer at once. Two repeats, one after the other, must reach a caller within 1 s of the hub's release.
pub const REPEAT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay between the two checks at which a BYE must be overdue before it is repeated. After a pause of the whole machine
/// the timeout has expired at once, while callers still need a round trip to answer. With the second check, the
/// result also does not depend on the order in which the runtime reports timers and sockets.
pub const RECHECK_DELAY: Duration = Duration::from_millis(50);
/// Time after a BYE was written in which bytes read may have been sent before it arrived.
pub const MAX_ROUND_TRIP_TIME: Duration = Duration::from_millis(100);
/// Time between attempts to repeat an overdue BYE while no other connection can take it.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of connections on which a BYE is repeated.
pub const MAX_REPEATS: usize = 2;
/// Maximum number of BYEs that are repeated in one batch.
pub const MAX_BATCH_SIZE: usize = 128;
/// Time between two batches, in which the connections that took the repeats can write them.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of BYEs tracked per connection. At the limit the oldest are dropped.
pub const MAX_TRACKED_RELEASES: usize = 8192;
/// Age up to which a BYE without a 200 is sent again when its connection closes, even if the connection worked.
pub const RESEND_ON_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Age at which a BYE that no connection could take is left for the next connection that opens, and is not tried again
/// every [`RETRY_INTERVAL`].
pub const UNDELIVERED_TIMEOUT: Duration = Duration::from_secs(10);

/// The release of one call to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The call.
    pub call: CallName,
    /// The Q.850 cause of the release.
    pub cause: Cause,
    /// Connections on which it was sent and not confirmed; it is not sent on them again.
    pub tried_connections: Vec<u64>,
}

impl Release {
    /// Creates a release that has not been sent yet.
    pub fn new(call: CallName, cause: Cause) -> Release {
        Release { call, cause, tried_connections: Vec::new() }
    }
}

/// A BYE whose 200 has not been received.
#[derive(Debug)]
struct UnconfirmedBye {
    release: Release,
    /// When it was queued for writing.
    queued_at: Instant,
    /// Total number of bytes written on the connection once the BYE is.
    end: u64,
    /// When it was written completely or, before that, when the kernel first accepted less than all of it.
    waiting_since: Option<Instant>,
    /// Whether it is written completely.
    is_written: bool,
    /// When a check first found it overdue.
    overdue_since: Option<Instant>,
}

/// The unconfirmed BYEs of one connection.
#[derive(Debug)]
pub struct ReleaseTracker {
    /// Number of the connection.
    connection: u64,
    /// Total number of bytes written on the connection.
    written: u64,
    /// When bytes were last read from the connection.
    read_at: Option<Instant>,
    /// BYEs that may have to be repeated, the oldest first.
    unconfirmed: VecDeque<UnconfirmedBye>,
    /// BYEs that are sent again only if the connection closes soon: bytes were read after they were written, or they
    /// were repeated often enough.
    resend_on_close: VecDeque<UnconfirmedBye>,
    /// Releases for the next connection that opens.
    undelivered: Vec<Release>,
    /// No check is made before this time.
    not_before: Option<Instant>,
    /// A BYE was overdue and nothing has been read since.
    is_unresponsive: bool,
}

impl ReleaseTracker {
    /// Creates the tracker of a connection on which nothing has been written yet.
    pub fn new(connection: u64) -> ReleaseTracker {
        ReleaseTracker {
            connection,
            written: 0,
            read_at: None,
            unconfirmed: VecDeque::new(),
            resend_on_close: VecDeque::new(),
            undelivered: Vec::new(),
            not_before: None,
            is_unresponsive: false,
        }
    }

    /// Records that a BYE was queued; `end` is the total number of bytes written on the connection once the BYE is.
    pub fn on_queued(&mut self, now: Instant, release: Release, end: u64) {
        self.drop_expired(now);
        if self.unconfirmed.len() + self.resend_on_close.len() >= MAX_TRACKED_RELEASES {
            let _ = self.resend_on_close.pop_front().or_else(|| self.unconfirmed.pop_front());
        }
        let may_repeat = release.tried_connections.len() < MAX_REPEATS;
        let unconfirmed = UnconfirmedBye {
            release,
            queued_at: now,
            end,
            waiting_since: None,
            is_written: false,
            overdue_since: None,
        };
        match may_repeat {
            true => self.unconfirmed.push_back(unconfirmed),
            false => self.resend_on_close.push_back(unconfirmed),
        }
    }

    /// Records a write, after which `written` bytes in total are written on the connection.
    pub fn on_written(&mut self, now: Instant, written: u64) {
        self.written = written;
        // BYEs are written in order, so only those at the back may not be marked yet.
        for bye in self.unconfirmed.iter_mut().rev().take_while(|bye| !bye.is_written) {
            bye.is_written = bye.end <= written;
            if bye.is_written {
                bye.waiting_since = Some(now);
                bye.overdue_since = None;
            }
            bye.waiting_since.get_or_insert(now);
        }
    }

    /// Records that bytes were read.
    pub fn on_read(&mut self, now: Instant) {
        self.read_at = Some(now);
        self.is_unresponsive = false;
    }

    /// Records that the 200 to the BYE of a call was read.
    pub fn on_confirmed(&mut self, call: CallName) {
        for byes in [&mut self.unconfirmed, &mut self.resend_on_close] {
            // Responses come in the order of their requests, so the search ends early.
            if let Some(index) = byes.iter().position(|bye| bye.release.call == call) {
                byes.remove(index);
                return;
            }
        }
    }

    /// Returns whether the caller seems unreachable on this connection, so that urgent messages go to other connections.
    pub fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// When the next check is due. All received data must be processed before it.
    pub fn check_at(&self) -> Option<Instant> {
        let due = self.unconfirmed.front()?.due()?;
        Some(self.not_before.map_or(due, |at| due.max(at)))
    }

    /// Passes each overdue BYE to `send_elsewhere`, which returns whether another connection took it.
    pub fn check(&mut self, now: Instant, mut send_elsewhere: impl FnMut(Release) -> bool) {
        if self.not_before.is_some_and(|at| now < at) {
            return;
        }
        self.not_before = None;
        for _ in 0..MAX_BATCH_SIZE {
            self.defer_delivered(now);
            let Some(bye) = self.unconfirmed.front_mut().filter(|bye| bye.is_due(now)) else { return };
            if bye.overdue_since.is_none() {
                self.mark_overdue(now);
                return;
            }
            self.is_unresponsive = true;
            let mut release = bye.release.clone();
            release.tried_connections.push(self.connection);
            if !send_elsewhere(release) {
                self.not_before = Some(now + RETRY_INTERVAL);
                return;
            }
            self.unconfirmed.pop_front();
        }
        self.not_before = Some(now + BATCH_INTERVAL);
    }

    /// Takes the releases that no connection could take for [`UNDELIVERED_TIMEOUT`]. They are not tracked any more.
    pub fn take_undelivered(&mut self) -> Vec<Release> {
        std::mem::take(&mut self.undelivered)
    }

    /// Consumes the tracker when its connection closes, and returns the releases to be sent on another one.
    pub fn on_close(self, now: Instant) -> impl Iterator<Item = Release> {
        let written = self.written;
        let is_recent_or_unwritten = move |bye: &UnconfirmedBye| {
            bye.end > written || now.saturating_duration_since(bye.queued_at) < RESEND_ON_CLOSE_TIMEOUT
        };
        let on_close = self.resend_on_close.into_iter().filter(is_recent_or_unwritten);
        let read_at = self.read_at;
        let needs_resend =
            move |bye: &UnconfirmedBye| !bye.is_delivered_by(read_at) || is_recent_or_unwritten(bye);
        let unconfirmed = self.unconfirmed.into_iter().filter(needs_resend);
        self.undelivered.into_iter().chain(on_close.chain(unconfirmed).map(|bye| bye.release))
    }

    /// Marks all BYEs that this check is the first to find overdue.
    fn mark_overdue(&mut self, now: Instant) {
        for bye in self.unconfirmed.iter_mut().take_while(|bye| bye.is_due(now)) {
            bye.overdue_since.get_or_insert(now);
        }
    }

    /// Stops repeating the oldest BYEs that were followed by a read, and those that no connection could take in time.
    fn defer_delivered(&mut self, now: Instant) {
        while let Some(bye) = self.unconfirmed.front() {
            if bye.is_delivered_by(self.read_at) {
                self.resend_on_close.extend(self.unconfirmed.pop_front());
            } else if now.saturating_duration_since(bye.queued_at) >= UNDELIVERED_TIMEOUT {
                self.undelivered.extend(self.unconfirmed.pop_front().map(|bye| bye.release));
            } else {
                break;
            }
        }
    }

    /// Drops BYEs that would no longer be sent again when the connection closes.
    fn drop_expired(&mut self, now: Instant) {
        let written = self.written;
        let is_expired = |bye: &UnconfirmedBye| {
            bye.end <= written && now.saturating_duration_since(bye.queued_at) >= RESEND_ON_CLOSE_TIMEOUT
        };
        while self.resend_on_close.front().is_some_and(is_expired) {
            self.resend_on_close.pop_front();
        }
    }
}

impl UnconfirmedBye {
    /// When it has to be checked next.
    fn due(&self) -> Option<Instant> {
        match self.overdue_since {
            Some(at) => Some(at + RECHECK_DELAY),
            None => self.waiting_since.map(|since| since + REPEAT_TIMEOUT),
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        self.due().is_some_and(|due| due <= now)
    }

    /// Returns whether bytes read at `read_at` show that the path worked after the BYE was written.
    fn is_delivered_by(&self, read_at: Option<Instant>) -> bool {
        let written_at = self.waiting_since.filter(|_| self.is_written);
        written_at
            .zip(read_at)
            .is_some_and(|(written_at, read_at)| read_at >= written_at + MAX_ROUND_TRIP_TIME)
    }
}

#[cfg(test)]
mod tests;
