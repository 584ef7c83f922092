//! What a connection has taken in and not handed on to the core yet, because its socket has more.

use crate::core::Input;
use crate::net::shared_count::{CountShare, SharedCount};

/// What was taken in is handed on once it is so many bytes on the wire, even if the socket has more. Half more than
/// a socket takes by default while nobody reads it: what came long before a departure is held until that is read.
const MAX_HELD: usize = 192 * 1024;
/// Once all connections together hold so many bytes, each hands on what it has: a flood on many of them takes no
/// more memory than this.
const MAX_HELD_IN_ALL: usize = 4 * 1024 * 1024;

/// What one connection holds.
pub struct Held {
    inputs: Vec<Input>,
    /// Bytes on the wire that were taken in since something was handed on.
    bytes: usize,
    /// What all connections hold, and this one's part of it.
    all: SharedCount,
    share: CountShare,
}

impl Held {
    /// Nothing yet. `all`: what all connections hold.
    pub fn new(all: &SharedCount) -> Held {
        Held { inputs: Vec::new(), bytes: 0, all: all.clone(), share: all.share() }
    }

    /// Counts bytes that were read, before what they mean is stored.
    pub fn count(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.share.set(self.bytes);
    }

    /// Whether more may be taken in before it is handed on.
    pub fn has_room(&self) -> bool {
        self.bytes < MAX_HELD && self.all.count() < MAX_HELD_IN_ALL
    }

    /// Holds these inputs until the next look.
    pub fn put(&mut self, inputs: Vec<Input>) {
        self.inputs = inputs;
    }

    /// Takes what is held, to add to it. Its bytes count on.
    pub fn take(&mut self) -> Vec<Input> {
        std::mem::take(&mut self.inputs)
    }

    /// All that was counted is handed on.
    pub fn clear(&mut self) {
        self.bytes = 0;
        self.share.set(0);
    }

    /// Whether anything waits to be handed on.
    pub fn is_empty(&self) -> bool {
        self.inputs.is_empty()
    }
}

#[cfg(test)]
mod tests;
