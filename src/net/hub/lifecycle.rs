//! Decides when a connection to a table hub leaves service, returns to it, and ends. It does no I/O and reads no clock.
//!
//! | observed | may still arrive | what follows | closed |
//! | --- | --- | --- | --- |
//! | a message is incomplete for [`MESSAGE_TIMEOUT`] | its rest, and releases behind it | suspended | [`RELEASE_TIMEOUT`] after the message began |
//! | an answer is overtaken by [`OVERTAKEN_ANSWER_TIMEOUT`] | it, and releases of the calls set up there | suspended | [`RELEASE_TIMEOUT`] later |
//! | the same, or suspended for it, without a call set up there | what the hub wrote before it saw the close | half-closed | as below |
//! | it is surplus, or silent and another one takes its place | what the hub wrote before it saw the close | half-closed | when the hub closes it; [`RELEASE_TIMEOUT`] or [`MAX_LINGER_BYTES`] later |
//! | a suspended connection delivers a whole message | more messages | in service again | – |
//!
//! The set-ups of a suspended connection are given up by a message, so that they wait no longer than if it was closed.
//! It gets no further ones, a new connection is opened beside it, and it is read on. A hub that pauses within a message
//! thus loses no release. An incomplete message is bounded in bytes by [`crate::net::buffer::MAX_MESSAGE_BYTES`].

use tokio::time::{Duration, Instant};

/// Time within which a message must be complete for its connection to stay in service.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_millis(300);
/// A set-up whose answer is missing although one that began this much later has been answered counts as lost. A hub
/// takes set-ups in order, and jitter is far smaller than this.
const OVERTAKEN_ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// Time within which a call that is over must be released. A suspended connection is read for this long.
pub(super) const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum number of bytes that are read on a half-closed connection.
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// Why a connection ends or is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndReason {
    /// The hub closed it.
    ClosedByHub,
    /// Reading or writing failed.
    Broken,
    /// The hub sent what is no message.
    MalformedMessage,
    /// A message of the hub stayed incomplete.
    MessageIncomplete,
    /// An answer is missing although a set-up that began later was answered.
    AnswerOvertaken,
    /// It was silent, and another connection takes its place.
    Silent,
    /// It was surplus and idle.
    Idle,
    /// It was not needed any more when its dial succeeded.
    Surplus,
    /// It was half-closed, and read up to a limit.
    Lingered,
}

/// What has to be done with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Take it out of service and read on.
    Suspend(EndReason),
    /// Close it for writing and read on.
    HalfClose(EndReason),
    /// Close it.
    End(EndReason),
}

/// What is known of a connection's set-ups and calls when it is judged.
pub(super) struct Observed<StandingCalls> {
    /// Start of the oldest unanswered set-up on the connection.
    pub(super) oldest_set_up: Option<Instant>,
    /// The latest start of a set-up that was answered on any connection to the hub.
    pub(super) latest_answered_start: Option<Instant>,
    /// Tells whether calls stand that were set up on the connection; asked only where it matters, as it is costly.
    pub(super) has_standing_calls: StandingCalls,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It takes set-ups.
    InService,
    /// It takes no set-ups since this time for this reason, and is read.
    Suspended(Instant, EndReason),
    /// It is closed for writing since this time. At most this many further bytes are read.
    HalfClosed(Instant, usize),
}

/// The phase of one connection, and what was observed on it.
pub(super) struct Lifecycle {
    phase: Phase,
    last_suspended: Option<Instant>,
    /// Since when the message at the front of the input is incomplete.
    partial_since: Option<Instant>,
    /// Start of a set-up that was given up late, if no message was handled since.
    suspect_since: Option<Instant>,
}

impl Lifecycle {
    /// The lifecycle of a connection that was just opened.
    pub(super) fn new() -> Lifecycle {
        Lifecycle { phase: Phase::InService, last_suspended: None, partial_since: None, suspect_since: None }
    }

    /// Whether the connection takes set-ups.
    pub(super) fn is_in_service(&self) -> bool {
        self.phase == Phase::InService
    }

    /// Whether the connection is closed for writing.
    pub(super) fn is_half_closed(&self) -> bool {
        matches!(self.phase, Phase::HalfClosed(..))
    }

    /// Since when the connection is suspended, if it is.
    pub(super) fn suspended_since(&self) -> Option<Instant> {
        match self.phase {
            Phase::Suspended(since, _) => Some(since),
            Phase::InService | Phase::HalfClosed(..) => None,
        }
    }

    /// Whether what the hub wrote before `now` may arrive late, as the connection was suspended not long ago.
    pub(super) fn may_deliver_late(&self, now: Instant) -> bool {
        self.last_suspended.is_some_and(|since| now - since < RELEASE_TIMEOUT)
    }

    /// Since when a message is incomplete, if one is.
    pub(super) fn partial_since(&self) -> Option<Instant> {
        self.partial_since
    }

    /// Whether a set-up was given up late and no message was handled since.
    pub(super) fn is_suspect(&self) -> bool {
        self.suspect_since.is_some()
    }

    /// Records a set-up that began at `started` and was given up late.
    pub(super) fn record_late_give_up(&mut self, started: Instant) {
        self.suspect_since.get_or_insert(started);
    }

    /// Records that a message was handled.
    pub(super) fn record_message(&mut self) {
        self.suspect_since = None;
    }

    /// Records the bytes received at `now`: whether they completed any message, and whether they leave one incomplete.
    /// Returns whether this brings a suspended connection back into service.
    pub(super) fn record_input(&mut self, now: Instant, completed: bool, incomplete: bool) -> bool {
        let since = self.partial_since.filter(|_| !completed).unwrap_or(now);
        self.partial_since = incomplete.then_some(since);
        let returns = completed && self.suspended_since().is_some();
        if returns {
            self.phase = Phase::InService;
        }
        returns
    }

    /// Records that this many bytes were read.
    pub(super) fn record_bytes(&mut self, count: usize) {
        if let Phase::HalfClosed(_, remaining) = &mut self.phase {
            *remaining = remaining.saturating_sub(count);
        }
    }

    /// Records that the connection is closed for writing.
    pub(super) fn half_close(&mut self, now: Instant) {
        self.phase = Phase::HalfClosed(now, MAX_LINGER_BYTES);
    }

    /// Takes the connection, whose set-ups are given up, out of service.
    pub(super) fn suspend(&mut self, now: Instant, reason: EndReason) {
        self.phase = Phase::Suspended(now, reason);
        self.last_suspended = Some(now);
        self.suspect_since = None;
    }

    /// Judges the connection by what was observed on it.
    pub(super) fn verdict(&self, now: Instant, observed: Observed<impl FnOnce() -> bool>) -> Option<Verdict> {
        match self.phase {
            Phase::InService => self.verdict_in_service(now, observed),
            Phase::Suspended(since, reason) => {
                if now - self.partial_since.unwrap_or(since) >= RELEASE_TIMEOUT {
                    return Some(Verdict::End(reason));
                }
                let is_needed = self.partial_since.is_some() || (observed.has_standing_calls)();
                (!is_needed).then_some(Verdict::HalfClose(reason))
            }
            Phase::HalfClosed(since, remaining) => {
                let over = now - since >= RELEASE_TIMEOUT || remaining == 0;
                over.then_some(Verdict::End(EndReason::Lingered))
            }
        }
    }

    fn verdict_in_service(&self, now: Instant, observed: Observed<impl FnOnce() -> bool>) -> Option<Verdict> {
        if self.partial_since.is_some_and(|since| now - since >= MESSAGE_TIMEOUT) {
            return Some(Verdict::Suspend(EndReason::MessageIncomplete));
        }
        let oldest = observed.oldest_set_up.into_iter().chain(self.suspect_since).min();
        let limit = oldest.map(|started| started + OVERTAKEN_ANSWER_TIMEOUT);
        if limit.is_none() || observed.latest_answered_start < limit {
            return None;
        }
        let delivers = self.partial_since.is_some() || (observed.has_standing_calls)();
        Some(match delivers {
            true => Verdict::Suspend(EndReason::AnswerOvertaken),
            false => Verdict::HalfClose(EndReason::AnswerOvertaken),
        })
    }
}

#[cfg(test)]
mod tests;
