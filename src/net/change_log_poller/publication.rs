//! When the events of the change log were published, as far as the times of polls tell.

use crate::interface::Micros;

/// A response that was held back for less than this may contain events published before its request.
const MIN_HELD_TIME: Micros = Micros(250_000);

/// The times of one complete response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimes {
    /// When it was requested.
    pub requested_at: Micros,
    /// When it began to arrive.
    pub began_at: Micros,
    /// How long the change log was allowed to hold it back.
    pub hold: Micros,
}

/// The earliest time at which the events of the next response can have been published.
///
/// An event counts as announced from its publication, whether or not the session controller was connected. If it
/// counted from its arrival, the grace of a drain whose response was lost or late would end late.
#[derive(Clone, Copy, Debug)]
pub struct EarliestPublication {
    /// All events published before this are known.
    known_until: Micros,
    /// How much later than a prompt one the change log's latest response came.
    lateness: Micros,
    /// Whether a poll has failed or become overdue since, and with it perhaps events.
    poll_failed: bool,
}

impl EarliestPublication {
    /// Starts at a time up to which all events are known.
    pub fn new(now: Micros) -> EarliestPublication {
        EarliestPublication { known_until: now, lateness: Micros(0), poll_failed: false }
    }

    /// Records a complete response, and returns the earliest time at which its events can have been published.
    pub fn poll_succeeded(&mut self, times: ResponseTimes, has_events: bool) -> Micros {
        let ResponseTimes { requested_at, began_at, hold } = times;
        let took = began_at - requested_at;
        let beyond_hold = took - hold;
        // A response with events may have been sent before the hold was over, and then says less of the lateness.
        self.lateness = if has_events { self.lateness.max(beyond_hold) } else { beyond_hold };
        let sent_at = began_at - self.lateness;
        // A response that was held back was sent as soon as there was an event.
        let was_held = took - self.lateness >= MIN_HELD_TIME && !self.poll_failed;
        let published_at = if was_held { sent_at.max(self.known_until) } else { self.known_until };
        self.known_until = self.known_until.max(sent_at);
        self.poll_failed = false;
        published_at
    }

    /// Records a poll that failed or became overdue.
    pub fn poll_failed(&mut self) {
        self.poll_failed = true;
    }
}

#[cfg(test)]
mod tests;
