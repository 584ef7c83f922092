//! Media frames between IAX2 legs: how they pass the core, and whose clock they carry.

use super::frame::{kind, write_mini, Frame};
use super::session::Session;
use crate::core::Description;
use crate::interface::Micros;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The form under which media frames pass the core.
pub const FORM: &str = "iax2-media";

/// Full frames of media go out only while fewer than so many frames are unacknowledged.
const OUT_MOST: usize = 16;

/// A frame of voice or DTMF with its whole timestamp.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Media {
    kind: u8,
    subclass: u32,
    timestamp: u32,
    data: Bytes,
}

impl Media {
    /// As it passes the core.
    pub fn to_core(&self) -> Description {
        let mut bytes = BytesMut::with_capacity(9 + self.data.len());
        bytes.put_u8(self.kind);
        bytes.put_u32(self.subclass);
        bytes.put_u32(self.timestamp);
        bytes.put(&self.data[..]);
        Description { format: FORM, bytes: bytes.freeze() }
    }

    /// Out of the core; `None`: it comes from another protocol, and media does not cross.
    pub fn from_core(description: &Description) -> Option<Media> {
        let mut bytes = description.bytes.clone();
        if description.format != FORM || bytes.len() < 9 {
            return None;
        }
        let (kind, subclass, timestamp) = (bytes.get_u8(), bytes.get_u32(), bytes.get_u32());
        Some(Media { kind, subclass, timestamp, data: bytes })
    }
}

/// One leg's media: what mini frames leave out, and the shift from the other leg's clock.
#[derive(Debug, Default)]
pub struct Stream {
    /// Format and timestamp of the last full voice frame heard.
    heard: Option<(u32, u32)>,
    /// Format and timestamp of the last full voice frame sent.
    sent: Option<(u32, u32)>,
    shift: Option<u32>,
}

impl Stream {
    /// A frame that came in on this leg, if it is media.
    pub fn hear(&mut self, frame: &Frame) -> Option<Media> {
        match frame {
            Frame::Full(full) if matches!(full.kind, kind::VOICE | kind::DTMF) => {
                if full.kind == kind::VOICE {
                    self.heard = Some((full.subclass, full.timestamp));
                }
                let data = Bytes::copy_from_slice(full.data);
                Some(Media { kind: full.kind, subclass: full.subclass, timestamp: full.timestamp, data })
            }
            Frame::Full(_) => None,
            Frame::Mini { timestamp, data, .. } => {
                // Before a full frame no format is known (RFC 5456, 8.1.2).
                let (subclass, last) = self.heard?;
                // Half a turn either way: mini frames may overtake each other at the wrap.
                let step = timestamp.wrapping_sub(last as u16) as i16;
                let timestamp = last.wrapping_add_signed(i32::from(step));
                if step > 0 {
                    self.heard = Some((subclass, timestamp));
                }
                Some(Media { kind: kind::VOICE, subclass, timestamp, data: Bytes::copy_from_slice(data) })
            }
        }
    }

    /// Sends the other leg's frame on, on this leg's clock: voice as a mini frame unless the format
    /// is new or the timestamp's high half has changed, and all else as a full frame.
    pub fn send(&mut self, media: &Media, session: &mut Session, now: Micros) -> Option<Vec<u8>> {
        let shift = *self.shift.get_or_insert_with(|| session.elapsed(now).wrapping_sub(media.timestamp));
        let timestamp = media.timestamp.wrapping_add(shift);
        let same = |(format, at): (u32, u32)| format == media.subclass && at >> 16 == timestamp >> 16;
        if media.kind == kind::VOICE && self.sent.is_some_and(same) {
            return Some(write_mini(session.local, timestamp as u16, &media.data));
        }
        // Media of no use by the time it arrives is not kept for a peer that acknowledges nothing.
        if session.out() >= OUT_MOST {
            return None;
        }
        if media.kind == kind::VOICE {
            self.sent = Some((media.subclass, timestamp));
        }
        session.send_at(now, timestamp, media.kind, media.subclass, &media.data)
    }
}
