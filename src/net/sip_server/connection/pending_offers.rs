//! Set-ups that a connection has read and not yet sent to the core, because its socket has more data to read.
//!
//! The caller may have disconnected long ago, with its FIN or a CANCEL behind megabytes of set-ups. Until the socket is
//! drained none of them is sent on. Their memory is bounded with that of all open set-ups.

use crate::core::{CallName, Offer};
use tokio::time::{Duration, Instant};

/// How long set-ups wait for the socket to be drained. A caller that goes on sending for longer is served meanwhile.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// The pending set-ups of one connection, in the order in which they were read.
#[derive(Default)]
pub struct PendingOffers {
    offers: Vec<Offer>,
    /// When the first of them was read.
    since: Option<Instant>,
}

impl PendingOffers {
    /// Adds a set-up that was read at `now`.
    pub fn push(&mut self, now: Instant, offer: Offer) {
        self.since.get_or_insert(now);
        self.offers.push(offer);
    }

    /// Removes the set-up of a call that its caller withdraws; returns whether it was pending.
    pub fn remove(&mut self, call: CallName) -> bool {
        // A CANCEL is most likely close behind its set-up.
        let index = self.offers.iter().rposition(|offer| offer.call == call);
        index.map(|index| self.offers.remove(index)).is_some()
    }

    /// Returns whether the set-ups may wait any longer.
    pub fn may_wait(&self, now: Instant) -> bool {
        self.since.is_none_or(|since| now < since + MAX_WAIT)
    }

    /// Takes all set-ups.
    pub fn take(&mut self) -> Vec<Offer> {
        self.since = None;
        std::mem::take(&mut self.offers)
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.offers.is_empty()
    }
}

#[cfg(test)]
mod tests;
