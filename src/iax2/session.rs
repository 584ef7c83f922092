//! The reliable transport of one IAX2 call: sequence numbers, acknowledgements, bounded retransmission (RFC 5456,
//! section 7). It reads no clock and owns no socket.

use super::frame::{iax, kind, FullFrame};
use crate::interface::Micros;
use std::collections::VecDeque;

/// Delay before the first retransmission of a frame; it doubles for each further one.
pub const INITIAL_RETRANSMIT_INTERVAL: Micros = Micros(500_000);
/// Number of retransmissions of a frame after which the peer is considered lost.
pub const MAX_RETRANSMISSIONS: u32 = 4;
/// Limit on sent and unacknowledged frames. It is below half the space of 256 sequence numbers, so that old frames
/// can be told from new ones.
const MAX_UNACKNOWLEDGED_FRAMES: usize = 100;
/// A PING is sent after this much silence of the peer.
const KEEPALIVE_INTERVAL: Micros = Micros(20_000_000);

/// A sent frame, kept for retransmission until it is acknowledged.
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

/// The transport state of one call.
#[derive(Debug)]
pub struct Session {
    /// The local call number.
    pub local: u16,
    /// The peer's call number; 0 while it is unknown.
    pub remote: u16,
    started: Micros,
    last_timestamp: u32,
    last_received: Micros,
    oseq: u8,
    iseq: u8,
    unacknowledged: VecDeque<UnacknowledgedFrame>,
}

/// How a received frame is to be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// The frame is the next in sequence and is delivered to the call.
    Deliver,
    /// The frame is a duplicate, out of order, or concerns the transport only.
    Consumed,
    /// The peer does not know the call (INVAL).
    UnknownCall,
}

/// The peer no longer acknowledges frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLost;

impl Session {
    /// Creates the transport of a call that starts now.
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

    /// Returns the milliseconds since the start of the call.
    pub fn elapsed_ms(&self, now: Micros) -> u32 {
        ((now - self.started).0 / 1000) as u32
    }

    /// Returns the number of frames sent and not acknowledged.
    pub fn unacknowledged_count(&self) -> usize {
        self.unacknowledged.len()
    }

    /// Returns whether every frame sent is acknowledged.
    pub fn is_fully_acknowledged(&self) -> bool {
        self.unacknowledged.is_empty()
    }

    /// Stops retransmission of all frames sent so far, because a REJECT or HANGUP makes them obsolete.
    pub fn discard_unacknowledged(&mut self) {
        self.unacknowledged.clear();
    }

    /// Encodes a frame, stamped with the current time, and keeps it for retransmission until it is acknowledged.
    /// Returns `None` if too many frames are unacknowledged.
    pub fn send(&mut self, now: Micros, kind: u8, subclass: u32, data: &[u8]) -> Option<Vec<u8>> {
        let timestamp = self.elapsed_ms(now).max(self.last_timestamp.saturating_add(1));
        self.last_timestamp = timestamp;
        self.send_at(now, timestamp, kind, subclass, data)
    }

    /// Does the same as [`Session::send`] with a given timestamp.
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

    /// Encodes an IAX frame that consumes no sequence number and is not retransmitted.
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

    /// Processes a full frame, appends the transport's replies to `out`, and returns how the frame is to be handled.
    pub fn receive(&mut self, now: Micros, frame: &FullFrame, out: &mut Vec<Vec<u8>>) -> ReceiveOutcome {
        if self.remote == 0 && !frame.is_iax(iax::INVAL) {
            self.remote = frame.source;
        }
        self.last_received = now;
        // The sequence number that the peer expects next acknowledges all earlier ones. One outside the window is
        // ignored.
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
            // A duplicate: the acknowledgement was lost, so it is sent again.
            128.. => {
                out.push(self.encode_unsequenced(iax::ACK, frame.timestamp));
                return ReceiveOutcome::Consumed;
            }
            // A gap: earlier frames are missing, so their retransmission is requested.
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

    /// Retransmits the frames that are due, and sends a PING to a silent peer.
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
