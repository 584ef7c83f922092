//! The reliable transport of one IAX2 call: sequence numbers, acknowledgements, bounded
//! retransmission (RFC 5456, section 7). It reads no clock and owns no socket.

use super::frame::{iax, kind, Full};
use crate::interface::Micros;
use std::collections::VecDeque;

/// The first retransmission comes after this, the next ones at doubling gaps.
pub const RETRANSMIT: Micros = Micros(500_000);
/// A frame is sent again so many times; then the peer is lost.
pub const RETRIES: u32 = 4;
/// Frames out at most: half the sequence space, so that old and new can be told apart.
const WINDOW: usize = 100;
/// A peer that has said nothing for this long is asked whether it is there.
const QUIET: Micros = Micros(20_000_000);

#[derive(Debug)]
struct Sent {
    oseq: u8,
    timestamp: u32,
    kind: u8,
    subclass: u32,
    data: Vec<u8>,
    next: Micros,
    tries: u32,
}

/// One call's transport.
#[derive(Debug)]
pub struct Session {
    /// Our call number.
    pub local: u16,
    /// The peer's; nought while it is not known.
    pub remote: u16,
    start: Micros,
    last_timestamp: u32,
    heard: Micros,
    oseq: u8,
    iseq: u8,
    unacknowledged: VecDeque<Sent>,
}

/// What becomes of a frame that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the next one: it is to be acted on.
    Next,
    /// It was acted on already, is out of turn, or served the transport alone.
    Done,
    /// The peer does not know the call.
    Unknown,
}

/// The peer acknowledges nothing any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost;

impl Session {
    /// A call that begins now.
    pub fn new(local: u16, remote: u16, now: Micros) -> Session {
        Session {
            local,
            remote,
            start: now,
            last_timestamp: 0,
            heard: now,
            oseq: 0,
            iseq: 0,
            unacknowledged: VecDeque::new(),
        }
    }

    /// Milliseconds since the call's first frame.
    pub fn elapsed(&self, now: Micros) -> u32 {
        ((now - self.start).0 / 1000) as u32
    }

    /// How many frames are sent and not acknowledged.
    pub fn out(&self) -> usize {
        self.unacknowledged.len()
    }

    /// Whether all that was sent is acknowledged.
    pub fn settled(&self) -> bool {
        self.unacknowledged.is_empty()
    }

    /// Nothing sent so far is sent again: a HANGUP makes it void.
    pub fn forget_sent(&mut self) {
        self.unacknowledged.clear();
    }

    /// Sends a frame that is to be acknowledged.
    pub fn send(&mut self, now: Micros, kind: u8, subclass: u32, data: &[u8]) -> Option<Vec<u8>> {
        let timestamp = self.elapsed(now).max(self.last_timestamp.saturating_add(1));
        self.last_timestamp = timestamp;
        self.send_at(now, timestamp, kind, subclass, data)
    }

    /// The same with a timestamp of its own; `None`: too many are out.
    pub fn send_at(
        &mut self,
        now: Micros,
        timestamp: u32,
        kind: u8,
        subclass: u32,
        data: &[u8],
    ) -> Option<Vec<u8>> {
        if self.unacknowledged.len() >= WINDOW {
            return None;
        }
        let sent = Sent {
            oseq: self.oseq,
            timestamp,
            kind,
            subclass,
            data: data.to_vec(),
            next: now + RETRANSMIT,
            tries: 0,
        };
        self.oseq = self.oseq.wrapping_add(1);
        let bytes = self.write(&sent);
        self.unacknowledged.push_back(sent);
        Some(bytes)
    }

    fn write(&self, sent: &Sent) -> Vec<u8> {
        Full {
            source: self.local,
            destination: self.remote,
            again: sent.tries > 0,
            timestamp: sent.timestamp,
            oseq: sent.oseq,
            iseq: self.iseq,
            kind: sent.kind,
            subclass: sent.subclass,
            data: &sent.data,
        }
        .write()
    }

    /// A frame that takes no sequence number and is not sent again.
    fn plain(&self, subclass: u32, timestamp: u32) -> Vec<u8> {
        Full {
            source: self.local,
            destination: self.remote,
            again: false,
            timestamp,
            oseq: self.oseq,
            iseq: self.iseq,
            kind: kind::IAX,
            subclass,
            data: &[],
        }
        .write()
    }

    /// Takes a full frame in, answers what the transport answers, and says whether to act on it.
    pub fn receive(&mut self, now: Micros, frame: &Full, out: &mut Vec<Vec<u8>>) -> Verdict {
        if self.remote == 0 && !frame.is(iax::INVAL) {
            self.remote = frame.source;
        }
        self.heard = now;
        // What the peer expects next acknowledges all before it; a number off the window is ignored.
        if let Some(first) = self.unacknowledged.front().map(|s| s.oseq) {
            let count = usize::from(frame.iseq.wrapping_sub(first));
            if count <= self.unacknowledged.len() {
                self.unacknowledged.drain(..count);
            }
        }
        if frame.is(iax::INVAL) {
            return Verdict::Unknown;
        }
        if frame.is(iax::VNAK) {
            let mut again = std::mem::take(&mut self.unacknowledged);
            for sent in &mut again {
                sent.tries += 1;
                sent.next = now + RETRANSMIT;
                out.push(self.write(sent));
            }
            self.unacknowledged = again;
            return Verdict::Done;
        }
        if !frame.counts() {
            return Verdict::Done;
        }
        match frame.oseq.wrapping_sub(self.iseq) {
            0 => self.iseq = self.iseq.wrapping_add(1),
            // Sent again, as our acknowledgement was lost.
            128.. => {
                out.push(self.plain(iax::ACK, frame.timestamp));
                return Verdict::Done;
            }
            // Those between are missing.
            _ => {
                out.push(self.plain(iax::VNAK, frame.timestamp));
                return Verdict::Done;
            }
        }
        match frame.subclass {
            iax::PING | iax::LAGRQ if frame.kind == kind::IAX => {
                let reply = if frame.subclass == iax::PING { iax::PONG } else { iax::LAGRP };
                out.extend(self.send_at(now, frame.timestamp, kind::IAX, reply, &[]));
                Verdict::Done
            }
            _ => {
                out.push(self.plain(iax::ACK, frame.timestamp));
                Verdict::Next
            }
        }
    }

    /// Sends again what is due, and asks a quiet peer whether it is there.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Vec<u8>>) -> Result<(), Lost> {
        let mut due = std::mem::take(&mut self.unacknowledged);
        let mut lost = false;
        for sent in due.iter_mut().filter(|s| s.next <= now) {
            if sent.tries >= RETRIES {
                lost = true;
                break;
            }
            sent.tries += 1;
            sent.next = now + Micros(RETRANSMIT.0 << sent.tries);
            out.push(self.write(sent));
        }
        self.unacknowledged = due;
        if lost {
            return Err(Lost);
        }
        if self.settled() && self.heard + QUIET <= now {
            self.heard = now;
            out.extend(self.send(now, kind::IAX, iax::PING, &[]));
        }
        Ok(())
    }
}
