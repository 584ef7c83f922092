//! A connection's read buffer, which grows on demand and is compacted in place, and the release of written output.

use std::io;
use tokio::net::TcpStream;

/// The longest message that the SIP and binary parsers accept.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
const GROWTH_BYTES: usize = 4 * 1024;
/// Memory of an output buffer, relative to what it holds, above which it is released.
const SHRINK_RATIO: usize = 2;

/// Bytes that were read and not yet consumed.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
}

impl Buffer {
    /// Returns the bytes that were not yet consumed.
    pub fn unconsumed(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Discards the first `count` bytes. Once all are consumed, memory that a long message took is released.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            self.bytes.shrink_to(GROWTH_BYTES);
        }
    }

    /// Appends bytes as if they had been read.
    pub fn append(&mut self, bytes: &[u8]) {
        self.compact();
        self.bytes.extend_from_slice(bytes);
    }

    fn compact(&mut self) {
        if self.start > 0 {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
    }

    /// Reads what the socket has without waiting, and returns the number of bytes; zero means end of stream.
    pub fn fill(&mut self, stream: &TcpStream) -> io::Result<usize> {
        self.compact();
        if self.bytes.capacity() - self.bytes.len() < GROWTH_BYTES / 2 {
            self.bytes.reserve(GROWTH_BYTES);
        }
        stream.try_read_buf(&mut self.bytes)
    }
}

/// Discards the first `count` bytes of a connection's output, which were written, and most of the memory that is not used
/// any more. A connection may be open for hours after a single long response.
pub fn discard_written(output: &mut Vec<u8>, count: usize) {
    output.drain(..count);
    if output.capacity() > SHRINK_RATIO * output.len().max(GROWTH_BYTES) {
        output.shrink_to(GROWTH_BYTES);
    }
}

#[cfg(test)]
mod tests;
