//! Encoding and decoding of IAX2 frames and information elements (RFC 5456, section 8).

use winnow::binary::{be_u16, be_u32, length_take, u8};
use winnow::combinator::repeat;
use winnow::error::{ContextError, ErrMode};
use winnow::{ModalResult, Parser};

/// Full frame types.
pub mod kind {
    /// A DTMF digit.
    pub const DTMF: u8 = 1;
    /// Voice.
    pub const VOICE: u8 = 2;
    /// Session control.
    pub const CONTROL: u8 = 4;
    /// IAX control.
    pub const IAX: u8 = 6;
}

/// Subclasses of control frames.
pub mod control {
    /// The far end hung up.
    pub const HANGUP: u32 = 1;
    /// The far end is ringing.
    pub const RINGING: u32 = 3;
    /// The far end answered.
    pub const ANSWER: u32 = 4;
    /// The far end is busy.
    pub const BUSY: u32 = 5;
    /// The far end is congested.
    pub const CONGESTION: u32 = 8;
}

/// Subclasses of IAX frames.
pub mod iax {
    /// A new call.
    pub const NEW: u32 = 0x01;
    /// A liveness probe within a call.
    pub const PING: u32 = 0x02;
    /// The reply to PING or POKE.
    pub const PONG: u32 = 0x03;
    /// An acknowledgement of received frames.
    pub const ACK: u32 = 0x04;
    /// The call is over.
    pub const HANGUP: u32 = 0x05;
    /// The call is rejected.
    pub const REJECT: u32 = 0x06;
    /// The call is accepted, but not answered yet.
    pub const ACCEPT: u32 = 0x07;
    /// A request for credentials.
    pub const AUTHREQ: u32 = 0x08;
    /// The call number is unknown.
    pub const INVAL: u32 = 0x0a;
    /// A lag request.
    pub const LAGRQ: u32 = 0x0b;
    /// The reply to LAGRQ.
    pub const LAGRP: u32 = 0x0c;
    /// A registration request.
    pub const REGREQ: u32 = 0x0d;
    /// The rejection of a REGREQ.
    pub const REGREJ: u32 = 0x10;
    /// A request to retransmit missing frames.
    pub const VNAK: u32 = 0x12;
    /// A liveness probe outside a call.
    pub const POKE: u32 = 0x1e;
    /// The subclass is not supported.
    pub const UNSUPPORT: u32 = 0x21;
}

/// Numbers of the information elements.
pub mod element {
    /// The number called.
    pub const CALLED_NUMBER: u8 = 0x01;
    /// The number calling.
    pub const CALLING_NUMBER: u8 = 0x02;
    /// Bit set of the media formats that the sender supports.
    pub const CAPABILITY: u8 = 0x08;
    /// The media format requested or chosen.
    pub const FORMAT: u8 = 0x09;
    /// The protocol version, which is 2.
    pub const VERSION: u8 = 0x0b;
    /// The text of a cause.
    pub const CAUSE: u8 = 0x16;
    /// The subclass that the sender of an UNSUPPORT does not know.
    pub const IAX_UNKNOWN: u8 = 0x17;
    /// A Q.850 cause code.
    pub const CAUSECODE: u8 = 0x2a;
}

/// A decoded IAX2 frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Frame<'a> {
    /// A full frame, delivered reliably.
    Full(FullFrame<'a>),
    /// A mini frame, which carries voice and is not acknowledged.
    Mini {
        /// The sender's call number.
        source: u16,
        /// The low 16 bits of the timestamp.
        timestamp: u16,
        /// The encoded voice.
        data: &'a [u8],
    },
}

/// A full frame (RFC 5456, section 8.1.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FullFrame<'a> {
    /// The sender's call number.
    pub source: u16,
    /// The receiver's call number; 0 while it is unknown.
    pub destination: u16,
    /// Whether the frame is a retransmission (the R bit).
    pub is_retransmission: bool,
    /// Milliseconds since the first frame of the call.
    pub timestamp: u32,
    /// The frame's own sequence number.
    pub oseq: u8,
    /// The sequence number that the sender expects next; it acknowledges all lower ones.
    pub iseq: u8,
    /// The frame type; see [`kind`].
    pub kind: u8,
    /// The subclass; its meaning depends on the frame type.
    pub subclass: u32,
    /// The payload: information elements or media.
    pub data: &'a [u8],
}

impl FullFrame<'_> {
    /// Returns whether this is an IAX frame of the given subclass.
    pub fn is_iax(&self, subclass: u32) -> bool {
        self.kind == kind::IAX && self.subclass == subclass
    }

    /// Returns whether the frame consumes a sequence number and must be acknowledged.
    pub fn is_sequenced(&self) -> bool {
        self.kind != kind::IAX || !matches!(self.subclass, iax::ACK | iax::INVAL | iax::VNAK)
    }

    /// Encodes the frame. A subclass of 128 or more must be a power of two, as media formats are.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(12 + self.data.len());
        out.extend_from_slice(&(self.source | 0x8000).to_be_bytes());
        let again = if self.is_retransmission { 0x8000 } else { 0 };
        out.extend_from_slice(&(self.destination & 0x7fff | again).to_be_bytes());
        out.extend_from_slice(&self.timestamp.to_be_bytes());
        out.extend_from_slice(&[self.oseq, self.iseq, self.kind]);
        out.push(if self.subclass < 0x80 {
            self.subclass as u8
        } else {
            0x80 | self.subclass.trailing_zeros() as u8
        });
        out.extend_from_slice(self.data);
        out
    }
}

/// Encodes a mini frame.
pub fn encode_mini(source: u16, timestamp: u16, data: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(4 + data.len());
    out.extend_from_slice(&(source & 0x7fff).to_be_bytes());
    out.extend_from_slice(&timestamp.to_be_bytes());
    out.extend_from_slice(data);
    out
}

fn full_header<'a>(input: &mut &'a [u8]) -> ModalResult<FullFrame<'a>> {
    let (source, destination, timestamp) = (be_u16, be_u16, be_u32).parse_next(input)?;
    let (oseq, iseq, kind, subclass) = (u8, u8, u8, u8).parse_next(input)?;
    let subclass = match subclass {
        low @ 0..=0x7f => u32::from(low),
        // The low seven bits are the exponent of a power of two. All ones are reserved by RFC 5456 and decode to 0,
        // which is no media format.
        high => 1_u32.checked_shl(u32::from(high & 0x7f)).unwrap_or(0),
    };
    Ok(FullFrame {
        source: source & 0x7fff,
        destination: destination & 0x7fff,
        is_retransmission: destination & 0x8000 != 0,
        timestamp,
        oseq,
        iseq,
        kind,
        subclass,
        data: &[],
    })
}

/// Decodes a datagram. Returns `None` if it is not a valid frame or is a meta frame, which is not supported.
pub fn parse(datagram: &[u8]) -> Option<Frame<'_>> {
    let mut rest = datagram;
    if datagram.first()? & 0x80 != 0 {
        let full = full_header.parse_next(&mut rest).ok()?;
        return Some(Frame::Full(FullFrame { data: rest, ..full })).filter(|_| full.source != 0);
    }
    let head: ModalResult<(u16, u16)> = (be_u16, be_u16).parse_next(&mut rest);
    let (source, timestamp) = head.ok()?;
    Some(Frame::Mini { source, timestamp, data: rest }).filter(|_| source != 0)
}

/// The information elements of a frame in the order sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Elements<'a>(Vec<(u8, &'a [u8])>);

impl<'a> Elements<'a> {
    /// Decodes a frame's elements. Returns `None` if they are truncated or malformed.
    pub fn parse(data: &'a [u8]) -> Option<Elements<'a>> {
        let element = (u8::<_, ErrMode<ContextError>>, length_take(u8));
        repeat(0.., element).parse(data).ok().map(Elements)
    }

    /// Returns the value of the first element with this number.
    pub fn get(&self, element: u8) -> Option<&'a [u8]> {
        self.0.iter().find(|(e, _)| *e == element).map(|(_, v)| *v)
    }

    /// Returns the value of the first such element as text, if it is valid UTF-8.
    pub fn text(&self, element: u8) -> Option<&'a str> {
        self.get(element).and_then(|v| std::str::from_utf8(v).ok())
    }

    /// Returns the value of the first such element as a big-endian integer of one, two or four bytes.
    pub fn number(&self, element: u8) -> Option<u32> {
        let bytes = self.get(element).filter(|v| matches!(v.len(), 1 | 2 | 4))?;
        Some(bytes.iter().fold(0, |n, b| n << 8 | u32::from(*b)))
    }
}

/// Appends an element; a value longer than 255 bytes is truncated.
pub fn append_element(out: &mut Vec<u8>, element: u8, value: &[u8]) {
    let value = &value[..value.len().min(255)];
    out.extend_from_slice(&[element, value.len() as u8]);
    out.extend_from_slice(value);
}
