//! Inputs that a connection has parsed and not yet sent to the core, because its socket has more data to read.

use crate::core::Input;
use crate::net::shared_count::{CountShare, SharedCount};

/// Bytes read on one connection after which its inputs are sent to the core even if the socket has more data. This is
/// half more than the default receive buffer of a socket that is not being read, so that requests sent long before the
/// caller's disconnect or CANCEL stay pending until that has been read too.
const MAX_PENDING_BYTES: usize = 192 * 1024;
/// Pending bytes of all connections together, above which each connection sends its inputs to the core. It bounds the
/// memory that a flood on many connections can use.
const MAX_TOTAL_PENDING_BYTES: usize = 4 * 1024 * 1024;

/// The pending inputs of one connection.
pub struct PendingInputs {
    inputs: Vec<Input>,
    /// Bytes read since inputs were last sent to the core.
    bytes: usize,
    /// Pending bytes of all connections, and this connection's share of them.
    total: SharedCount,
    share: CountShare,
}

impl PendingInputs {
    /// Creates an empty set. `total` counts the pending bytes of all connections.
    pub fn new(total: &SharedCount) -> PendingInputs {
        PendingInputs { inputs: Vec::new(), bytes: 0, total: total.clone(), share: total.share() }
    }

    /// Counts bytes that were read, before the inputs parsed from them are stored.
    pub fn add_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.share.set(self.bytes);
    }

    /// Returns whether more may be read before the inputs are sent to the core.
    pub fn has_room(&self) -> bool {
        self.bytes < MAX_PENDING_BYTES && self.total.count() < MAX_TOTAL_PENDING_BYTES
    }

    /// Stores inputs until the next read.
    pub fn put(&mut self, inputs: Vec<Input>) {
        self.inputs = inputs;
    }

    /// Takes the stored inputs so that more can be added. Their bytes remain counted.
    pub fn take(&mut self) -> Vec<Input> {
        std::mem::take(&mut self.inputs)
    }

    /// Resets the byte count once all inputs are being sent to the core.
    pub fn clear(&mut self) {
        self.bytes = 0;
        self.share.set(0);
    }

    /// Returns whether no inputs are stored.
    pub fn is_empty(&self) -> bool {
        self.inputs.is_empty()
    }
}

#[cfg(test)]
mod tests;
