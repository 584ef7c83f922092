//! Which releases (BYE) a connection's caller has not confirmed, and when each is to be sent on another connection.
//!
//! A machine that vanished, or a network that was cut, leaves its connections open: what is written to them is
//! accepted by the kernel and read by nobody. A caller answers a BYE with 200 at once, so a BYE without a 200 is
//! repeated elsewhere after [`REPEAT_AFTER`], unless its connection shows that it lives. Callers need not answer a
//! BYE: bytes read later than [`ROUND_TRIP`] after the BYE was written count as such a sign. They don't prove that
//! the BYE was read, but that the path works, and then TCP delivers in order what was written before. Bytes read
//! sooner than that may have been sent before the path was cut, and prove nothing.
//!
//! No I/O and no clock in here: the connection says what was written and read, and when.

use crate::core::{CallName, Cause};
use std::collections::VecDeque;
use tokio::time::{Duration, Instant};

/// A BYE without a sign of life is repeated after this. Callers are 8 to 25 ms away and answer at once; two
/// repeats, one after the other, have to reach a caller within 1 s of the hub's release.
pub const REPEAT_AFTER: Duration = Duration::from_millis(300);
/// A BYE is repeated only if it is overdue at two checks so far apart. Where the processor was away, for all of the
/// machine, the time limit is over at once and callers need a round trip more. Nor does the second check rest on
/// the order in which the runtime tells timers and sockets.
pub const RECHECK_AFTER: Duration = Duration::from_millis(50);
/// Bytes read within this after a BYE was written may have been sent before it arrived.
pub const ROUND_TRIP: Duration = Duration::from_millis(100);
/// How soon to try again while no other connection can take an overdue BYE.
pub const RETRY_AFTER: Duration = Duration::from_millis(100);
/// So many connections get a BYE as its repeats, at most.
pub const MAX_REPEATS: usize = 2;
/// So many BYEs are repeated in one batch ...
pub const MAX_BATCH: usize = 128;
/// ... and the next batch follows after this, so that the connections that take them can write meanwhile.
pub const BATCH_PAUSE: Duration = Duration::from_millis(5);
/// BYEs that are tracked on one connection; of more, the oldest are forgotten.
pub const MAX_TRACKED: usize = 8192;
/// A BYE without a 200 is sent again if its connection ends within this.
pub const RESEND_ON_END: Duration = Duration::from_secs(1);
/// A BYE that no connection could take is kept for so long.
pub const KEPT_FOR: Duration = Duration::from_secs(10);

/// The release of one call towards its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The call.
    pub call: CallName,
    /// Why it ended.
    pub cause: Cause,
    /// The connections that swallowed it: it goes to none of them again.
    pub tried: Vec<u64>,
}

impl Release {
    /// One that was not sent yet.
    pub fn new(call: CallName, cause: Cause) -> Release {
        Release { call, cause, tried: Vec::new() }
    }
}

/// A BYE without a 200.
#[derive(Debug)]
struct Unconfirmed {
    release: Release,
    /// When it was queued for writing.
    queued_at: Instant,
    /// How many bytes of the connection are written once it is.
    end: u64,
    /// When it was written whole, else when the kernel first took less than all of it.
    waiting_since: Option<Instant>,
    /// Whether it is written whole.
    is_written: bool,
    /// When it was first found overdue.
    overdue_since: Option<Instant>,
}

/// The unconfirmed BYEs of one connection.
#[derive(Debug)]
pub struct ReleaseTracker {
    /// The connection's number.
    connection: u64,
    /// Bytes written on the connection so far.
    written: u64,
    /// When bytes were last read from it.
    read_at: Option<Instant>,
    /// BYEs that may have to be repeated, the oldest first.
    unconfirmed: VecDeque<Unconfirmed>,
    /// BYEs that are repeated only if the connection ends soon: it was heard from after they were written, or
    /// they were repeated often enough.
    settled: VecDeque<Unconfirmed>,
    /// No check before this.
    not_before: Option<Instant>,
    /// A BYE was overdue, and nothing has been read since.
    is_silent: bool,
}

impl ReleaseTracker {
    /// The tracker of a connection on which nothing was written yet.
    pub fn new(connection: u64) -> ReleaseTracker {
        ReleaseTracker {
            connection,
            written: 0,
            read_at: None,
            unconfirmed: VecDeque::new(),
            settled: VecDeque::new(),
            not_before: None,
            is_silent: false,
        }
    }

    /// A BYE was queued for writing; `end` bytes of the connection are written once it is.
    pub fn queued(&mut self, now: Instant, release: Release, end: u64) {
        self.forget_settled(now);
        if self.unconfirmed.len() + self.settled.len() >= MAX_TRACKED {
            let _ = self.settled.pop_front().or_else(|| self.unconfirmed.pop_front());
        }
        let may_repeat = release.tried.len() < MAX_REPEATS;
        let unconfirmed = Unconfirmed {
            release,
            queued_at: now,
            end,
            waiting_since: None,
            is_written: false,
            overdue_since: None,
        };
        match may_repeat {
            true => self.unconfirmed.push_back(unconfirmed),
            false => self.settled.push_back(unconfirmed),
        }
    }

    /// The kernel took what it could; `written` bytes of the connection are written now.
    pub fn wrote(&mut self, now: Instant, written: u64) {
        self.written = written;
        // All but the last ones were marked before.
        for bye in self.unconfirmed.iter_mut().rev().take_while(|bye| !bye.is_written) {
            bye.is_written = bye.end <= written;
            if bye.is_written {
                bye.waiting_since = Some(now);
                bye.overdue_since = None;
            }
            bye.waiting_since.get_or_insert(now);
        }
    }

    /// Bytes were read.
    pub fn read(&mut self, now: Instant) {
        self.read_at = Some(now);
        self.is_silent = false;
    }

    /// The 200 to a BYE was read.
    pub fn confirmed(&mut self, call: CallName) {
        for byes in [&mut self.unconfirmed, &mut self.settled] {
            // Answers come in the order of their requests: it is one of the first.
            if let Some(index) = byes.iter().position(|bye| bye.release.call == call) {
                byes.remove(index);
                return;
            }
        }
    }

    /// Whether the connection is taken to be silent: what has to be heard soon goes elsewhere.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// When the next check is due. All that was received must be taken in before it.
    pub fn check_at(&self) -> Option<Instant> {
        let due = self.unconfirmed.front()?.due()?;
        Some(self.not_before.map_or(due, |at| due.max(at)))
    }

    /// Offers each overdue BYE to `send_elsewhere`, which says whether another connection took it.
    pub fn check(&mut self, now: Instant, mut send_elsewhere: impl FnMut(Release) -> bool) {
        if self.not_before.is_some_and(|at| now < at) {
            return;
        }
        self.not_before = None;
        for _ in 0..MAX_BATCH {
            self.settle_heard(now);
            let Some(bye) = self.unconfirmed.front_mut().filter(|bye| bye.is_due(now)) else { return };
            if bye.overdue_since.is_none() {
                self.mark_overdue(now);
                return;
            }
            self.is_silent = true;
            let mut release = bye.release.clone();
            release.tried.push(self.connection);
            if !send_elsewhere(release) {
                self.not_before = Some(now + RETRY_AFTER);
                return;
            }
            self.unconfirmed.pop_front();
        }
        self.not_before = Some(now + BATCH_PAUSE);
    }

    /// The connection has ended: what has to be sent on another one.
    pub fn end(self, now: Instant) -> impl Iterator<Item = Release> {
        let written = self.written;
        let is_owed = move |bye: &Unconfirmed| {
            bye.end > written || now.saturating_duration_since(bye.queued_at) < RESEND_ON_END
        };
        let settled = self.settled.into_iter().filter(is_owed);
        let read_at = self.read_at;
        let is_kept = move |bye: &Unconfirmed| match bye.is_settled_by(read_at) {
            true => is_owed(bye),
            false => now.saturating_duration_since(bye.queued_at) < KEPT_FOR,
        };
        let unconfirmed = self.unconfirmed.into_iter().filter(is_kept);
        settled.chain(unconfirmed).map(|bye| bye.release)
    }

    /// Marks all BYEs that are overdue now, at their first check.
    fn mark_overdue(&mut self, now: Instant) {
        for bye in self.unconfirmed.iter_mut().take_while(|bye| bye.is_due(now)) {
            bye.overdue_since.get_or_insert(now);
        }
    }

    /// Settles the first BYEs whose connection was heard from after they were written, and forgets those that
    /// nothing could take for too long.
    fn settle_heard(&mut self, now: Instant) {
        while let Some(bye) = self.unconfirmed.front() {
            if now.saturating_duration_since(bye.queued_at) >= KEPT_FOR {
                self.unconfirmed.pop_front();
            } else if bye.is_settled_by(self.read_at) {
                self.settled.extend(self.unconfirmed.pop_front());
            } else {
                break;
            }
        }
    }

    fn forget_settled(&mut self, now: Instant) {
        let written = self.written;
        let is_over = |bye: &Unconfirmed| {
            bye.end <= written && now.saturating_duration_since(bye.queued_at) >= RESEND_ON_END
        };
        while self.settled.front().is_some_and(is_over) {
            self.settled.pop_front();
        }
    }
}

impl Unconfirmed {
    /// When it is checked next.
    fn due(&self) -> Option<Instant> {
        match self.overdue_since {
            Some(at) => Some(at + RECHECK_AFTER),
            None => self.waiting_since.map(|since| since + REPEAT_AFTER),
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        self.due().is_some_and(|due| due <= now)
    }

    /// Whether bytes that were read at `read_at` show that the path worked after it was written.
    fn is_settled_by(&self, read_at: Option<Instant>) -> bool {
        let written_at = self.waiting_since.filter(|_| self.is_written);
        written_at.zip(read_at).is_some_and(|(written_at, read_at)| read_at >= written_at + ROUND_TRIP)
    }
}

#[cfg(test)]
mod tests;
