//! MediaFrame frames between IAX2 legs: how they pass the core, and whose clock they carry.

use super::frame::{encode_mini, kind, Frame};
use super::session::Session;
use crate::core::Description;
use crate::interface::Micros;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The form under which media frames pass the core.
pub const DESCRIPTION_FORMAT: &str = "iax2-media";

/// Full frames of media go out only while fewer than so many frames are unacknowledged.
const MAX_UNACKNOWLEDGED_FOR_MEDIA: usize = 16;

/// A frame of voice or DTMF with its whole timestamp.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MediaFrame {
    kind: u8,
    subclass: u32,
    timestamp: u32,
    data: Bytes,
}

impl MediaFrame {
    /// As it passes the core.
    pub fn to_description(&self) -> Description {
        let mut bytes = BytesMut::with_capacity(9 + self.data.len());
        bytes.put_u8(self.kind);
        bytes.put_u32(self.subclass);
        bytes.put_u32(self.timestamp);
        bytes.put(&self.data[..]);
        Description { format: DESCRIPTION_FORMAT, bytes: bytes.freeze() }
    }

    /// Out of the core; `None`: it comes from another protocol, and media does not cross.
    pub fn from_description(description: &Description) -> Option<MediaFrame> {
        let mut bytes = description.bytes.clone();
        if description.format != DESCRIPTION_FORMAT || bytes.len() < 9 {
            return None;
        }
        let (kind, subclass, timestamp) = (bytes.get_u8(), bytes.get_u32(), bytes.get_u32());
        Some(MediaFrame { kind, subclass, timestamp, data: bytes })
    }
}

/// One leg's media: what mini frames leave out, and the shift from the other leg's clock.
#[derive(Debug, Default)]
pub struct MediaStream {
    /// Format and timestamp of the last full voice frame heard.
    last_received: Option<(u32, u32)>,
    /// Format and timestamp of the last full voice frame sent.
    last_sent: Option<(u32, u32)>,
    timestamp_offset: Option<u32>,
}

impl MediaStream {
    /// A frame that came in on this leg, if it is media.
    pub fn receive(&mut self, frame: &Frame) -> Option<MediaFrame> {
        match frame {
            Frame::Full(full) if matches!(full.kind, kind::VOICE | kind::DTMF) => {
                if full.kind == kind::VOICE {
                    self.last_received = Some((full.subclass, full.timestamp));
                }
                let data = Bytes::copy_from_slice(full.data);
                Some(MediaFrame { kind: full.kind, subclass: full.subclass, timestamp: full.timestamp, data })
            }
            Frame::Full(_) => None,
            Frame::Mini { timestamp, data, .. } => {
                // Before a full frame no format is known (RFC 5456, 8.1.2).
                let (subclass, last) = self.last_received?;
                // Half a turn either way: mini frames may overtake each other at the wrap.
                let step = timestamp.wrapping_sub(last as u16) as i16;
                let timestamp = last.wrapping_add_signed(i32::from(step));
                if step > 0 {
                    self.last_received = Some((subclass, timestamp));
                }
                Some(MediaFrame {
                    kind: kind::VOICE,
                    subclass,
                    timestamp,
                    data: Bytes::copy_from_slice(data),
                })
            }
        }
    }

    /// Sends the other leg's frame on, on this leg's clock: voice as a mini frame unless the format
    /// is new or the timestamp's high half has changed, and all else as a full frame.
    pub fn send(&mut self, media: &MediaFrame, session: &mut Session, now: Micros) -> Option<Vec<u8>> {
        let offset = *self
            .timestamp_offset
            .get_or_insert_with(|| session.elapsed_ms(now).wrapping_sub(media.timestamp));
        let timestamp = media.timestamp.wrapping_add(offset);
        let is_same = |(format, last): (u32, u32)| format == media.subclass && last >> 16 == timestamp >> 16;
        if media.kind == kind::VOICE && self.last_sent.is_some_and(is_same) {
            return Some(encode_mini(session.local, timestamp as u16, &media.data));
        }
        // MediaFrame of no use by the time it arrives is not kept for a peer that acknowledges nothing.
        if session.unacknowledged_count() >= MAX_UNACKNOWLEDGED_FOR_MEDIA {
            return None;
        }
        if media.kind == kind::VOICE {
            self.last_sent = Some((media.subclass, timestamp));
        }
        session.send_at(now, timestamp, media.kind, media.subclass, &media.data)
    }
}
