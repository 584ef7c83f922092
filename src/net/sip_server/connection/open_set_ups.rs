//! The set-ups of one connection that have no final response yet, and the memory that they take.

use crate::core::CallName;
use crate::net::shared_count::{CountShare, SharedCount};
use crate::net::sip::ResponseHeaders;
use std::collections::HashMap;

/// Part of the memory for the open set-ups of all connections that those of one connection may take, so that a flood on
/// it leaves room for others.
const CONNECTION_DIVISOR: usize = 4;

/// A set-up that has no final response yet.
pub struct OpenSetUp {
    /// The request headers that its responses repeat.
    pub headers: ResponseHeaders,
    /// Size of the set-up while it is open; see [`Offer::open_bytes`](crate::core::Offer::open_bytes).
    pub bytes: usize,
}

/// The open set-ups of one connection by the names of their calls.
pub struct OpenSetUps {
    by_call: HashMap<CallName, OpenSetUp>,
    bytes: usize,
    /// The open set-ups of all connections, in bytes, and this connection's share of them.
    total: SharedCount,
    share: CountShare,
}

impl OpenSetUps {
    /// Creates an empty set. `total` counts the bytes of all connections.
    pub fn new(total: &SharedCount) -> OpenSetUps {
        OpenSetUps { by_call: HashMap::new(), bytes: 0, total: total.clone(), share: total.share() }
    }

    /// Number of open set-ups.
    pub fn len(&self) -> usize {
        self.by_call.len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.by_call.is_empty()
    }

    /// Whether a set-up of this call is open.
    pub fn contains(&self, call: CallName) -> bool {
        self.by_call.contains_key(&call)
    }

    /// Whether a set-up of this size may be added, where those of all connections may take `max_total_bytes`.
    pub fn has_room(&self, bytes: usize, max_total_bytes: usize) -> bool {
        self.total.count() + bytes <= max_total_bytes
            && self.bytes + bytes <= max_total_bytes / CONNECTION_DIVISOR
    }

    /// Adds a set-up, whose call must not be open.
    pub fn insert(&mut self, call: CallName, set_up: OpenSetUp) {
        self.bytes += set_up.bytes;
        self.share.set(self.bytes);
        self.by_call.insert(call, set_up);
    }

    /// Removes a set-up, if it is open.
    pub fn remove(&mut self, call: CallName) -> Option<OpenSetUp> {
        let set_up = self.by_call.remove(&call)?;
        self.bytes -= set_up.bytes;
        self.share.set(self.bytes);
        // The table keeps its size otherwise, and connections with a flood behind them may stay open.
        if self.by_call.is_empty() {
            self.by_call = HashMap::new();
        }
        Some(set_up)
    }

    /// Removes all set-ups and returns them in the order of their calls' names.
    pub fn take_all(&mut self) -> Vec<(CallName, OpenSetUp)> {
        let mut all: Vec<(CallName, OpenSetUp)> = std::mem::take(&mut self.by_call).into_iter().collect();
        all.sort_by_key(|(call, _)| *call);
        self.bytes = 0;
        self.share.set(0);
        all
    }
}

#[cfg(test)]
mod tests;
