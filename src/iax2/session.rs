//! The reliable transport of one IAX2 call: sequence numbers, acknowledgements, bounded
//! retransmission (RFC 5456, section 7). It reads no clock and owns no socket.

use super::frame::{iax, kind, FullFrame};
use crate::interface::Micros;
use std::collections::VecDeque;

/// The first retransmission comes after this, the next ones at doubling gaps.
pub const INITIAL_RETRANSMIT_INTERVAL: Micros = Micros(500_000);
/// A frame is sent again so many times; then the peer is lost.
pub const MAX_RETRANSMISSIONS: u32 = 4;
/// Frames out at most: half the sequence space, so that old and new can be told apart.
const MAX_UNACKNOWLEDGED_FRAMES: usize = 100;
/// A peer that has said nothing for this long is asked whether it is there.
const KEEPALIVE_INTERVAL: Micros = Micros(20_000_000);

#[derive(Debug)]
struct UnacknowledgedFrame {
    oseq: u8,
    timestamp: u32,
    kind: u8,
    subclass: u32,
    data: Vec<u8>,
    resend_at: Micros,
    retransmissions: u32,
}

/// One call's transport.
#[derive(Debug)]
pub struct Session {
    /// Our call number.
    pub local: u16,
    /// The peer's; nought while it is not known.
    pub remote: u16,
    started: Micros,
    last_timestamp: u32,
    last_received: Micros,
    oseq: u8,
    iseq: u8,
    unacknowledged: VecDeque<UnacknowledgedFrame>,
}

/// What becomes of a frame that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// It is the next one: it is to be acted on.
    Deliver,
    /// It was acted on already, is out of turn, or served the transport alone.
    Consumed,
    /// The peer does not know the call.
    UnknownCall,
}

/// The peer acknowledges nothing any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLost;

impl Session {
    /// A call that begins now.
    pub fn new(local: u16, remote: u16, now: Micros) -> Session {
        Session {
            local,
            remote,
            started: now,
            last_timestamp: 0,
            last_received: now,
            oseq: 0,
            iseq: 0,
            unacknowledged: VecDeque::new(),
        }
    }

    /// Milliseconds since the call's first frame.
    pub fn elapsed_ms(&self, now: Micros) -> u32 {
        ((now - self.started).0 / 1000) as u32
    }

    /// How many frames are sent and not acknowledged.
    pub fn unacknowledged_count(&self) -> usize {
        self.unacknowledged.len()
    }

    /// Whether all that was sent is acknowledged.
    pub fn is_fully_acknowledged(&self) -> bool {
        self.unacknowledged.is_empty()
    }

    /// Nothing sent so far is sent again: a HANGUP makes it void.
    pub fn discard_unacknowledged(&mut self) {
        self.unacknowledged.clear();
    }

    /// Sends a frame that is to be acknowledged.
    pub fn send(&mut self, now: Micros, kind: u8, subclass: u32, data: &[u8]) -> Option<Vec<u8>> {
        let timestamp = self.elapsed_ms(now).max(self.last_timestamp.saturating_add(1));
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
        if self.unacknowledged.len() >= MAX_UNACKNOWLEDGED_FRAMES {
            return None;
        }
        let sent = UnacknowledgedFrame {
            oseq: self.oseq,
            timestamp,
            kind,
            subclass,
            data: data.to_vec(),
            resend_at: now + INITIAL_RETRANSMIT_INTERVAL,
            retransmissions: 0,
        };
        self.oseq = self.oseq.wrapping_add(1);
        let bytes = self.encode(&sent);
        self.unacknowledged.push_back(sent);
        Some(bytes)
    }

    fn encode(&self, sent: &UnacknowledgedFrame) -> Vec<u8> {
        FullFrame {
            source: self.local,
            destination: self.remote,
            is_retransmission: sent.retransmissions > 0,
            timestamp: sent.timestamp,
            oseq: sent.oseq,
            iseq: self.iseq,
            kind: sent.kind,
            subclass: sent.subclass,
            data: &sent.data,
        }
        .encode()
    }

    /// A frame that takes no sequence number and is not sent again.
    fn encode_unsequenced(&self, subclass: u32, timestamp: u32) -> Vec<u8> {
        FullFrame {
            source: self.local,
            destination: self.remote,
            is_retransmission: false,
            timestamp,
            oseq: self.oseq,
            iseq: self.iseq,
            kind: kind::IAX,
            subclass,
            data: &[],
        }
        .encode()
    }

    /// Takes a full frame in, answers what the transport answers, and says whether to act on it.
    pub fn receive(&mut self, now: Micros, frame: &FullFrame, out: &mut Vec<Vec<u8>>) -> ReceiveOutcome {
        if self.remote == 0 && !frame.is_iax(iax::INVAL) {
            self.remote = frame.source;
        }
        self.last_received = now;
        // What the peer expects next acknowledges all before it; a number off the window is ignored.
        if let Some(first) = self.unacknowledged.front().map(|s| s.oseq) {
            let count = usize::from(frame.iseq.wrapping_sub(first));
            if count <= self.unacknowledged.len() {
                self.unacknowledged.drain(..count);
            }
        }
        if frame.is_iax(iax::INVAL) {
            return ReceiveOutcome::UnknownCall;
        }
        if frame.is_iax(iax::VNAK) {
            let mut frames = std::mem::take(&mut self.unacknowledged);
            for sent in &mut frames {
                sent.retransmissions += 1;
                sent.resend_at = now + INITIAL_RETRANSMIT_INTERVAL;
                out.push(self.encode(sent));
            }
            self.unacknowledged = frames;
            return ReceiveOutcome::Consumed;
        }
        if !frame.is_sequenced() {
            return ReceiveOutcome::Consumed;
        }
        match frame.oseq.wrapping_sub(self.iseq) {
            0 => self.iseq = self.iseq.wrapping_add(1),
            // Sent again, as our acknowledgement was lost.
            128.. => {
                out.push(self.encode_unsequenced(iax::ACK, frame.timestamp));
                return ReceiveOutcome::Consumed;
            }
            // Those between are missing.
            _ => {
                out.push(self.encode_unsequenced(iax::VNAK, frame.timestamp));
                return ReceiveOutcome::Consumed;
            }
        }
        match frame.subclass {
            iax::PING | iax::LAGRQ if frame.kind == kind::IAX => {
                let reply = if frame.subclass == iax::PING { iax::PONG } else { iax::LAGRP };
                out.extend(self.send_at(now, frame.timestamp, kind::IAX, reply, &[]));
                ReceiveOutcome::Consumed
            }
            _ => {
                out.push(self.encode_unsequenced(iax::ACK, frame.timestamp));
                ReceiveOutcome::Deliver
            }
        }
    }

    /// Sends again what is due, and asks a quiet peer whether it is there.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Vec<u8>>) -> Result<(), PeerLost> {
        let mut frames = std::mem::take(&mut self.unacknowledged);
        let mut is_lost = false;
        for sent in frames.iter_mut().filter(|s| s.resend_at <= now) {
            if sent.retransmissions >= MAX_RETRANSMISSIONS {
                is_lost = true;
                break;
            }
            sent.retransmissions += 1;
            sent.resend_at = now + Micros(INITIAL_RETRANSMIT_INTERVAL.0 << sent.retransmissions);
            out.push(self.encode(sent));
        }
        self.unacknowledged = frames;
        if is_lost {
            return Err(PeerLost);
        }
        if self.is_fully_acknowledged() && self.last_received + KEEPALIVE_INTERVAL <= now {
            self.last_received = now;
            out.extend(self.send(now, kind::IAX, iax::PING, &[]));
        }
        Ok(())
    }
}
