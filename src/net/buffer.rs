//! One connection's buffer: it grows as a message needs, and is compacted in place.

use std::io;
use tokio::net::TcpStream;

/// No message is longer.
pub const MESSAGE_MOST: usize = 16 * 1024;
const GROW: usize = 4 * 1024;

/// Bytes read and not yet used up.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
}

impl Buffer {
    /// What is held.
    pub fn held(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Drops the first `count` bytes; memory that a long message took is given back.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            self.bytes.shrink_to(GROW);
        }
    }

    /// Puts bytes in, as reading does.
    pub fn put(&mut self, bytes: &[u8]) {
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

    /// Takes in what the socket has now; nought is its end. Waits for nothing.
    pub fn fill(&mut self, stream: &TcpStream) -> io::Result<usize> {
        self.compact();
        if self.bytes.capacity() - self.bytes.len() < GROW / 2 {
            self.bytes.reserve(GROW);
        }
        stream.try_read_buf(&mut self.bytes)
    }
}

#[cfg(test)]
mod tests;
