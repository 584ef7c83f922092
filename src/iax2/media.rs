//! Relays media frames between IAX2 legs: their encoding for the core, and the translation of their timestamps from
//! one leg's clock to the other's.

use super::frame::{encode_mini, kind, Frame};
use super::session::Session;
use crate::core::Description;
use crate::interface::Micros;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Format name of the descriptions in which media frames pass through the core.
pub const DESCRIPTION_FORMAT: &str = "iax2-media";

/// Full media frames are dropped while this many frames are unacknowledged.
const MAX_UNACKNOWLEDGED_FOR_MEDIA: usize = 16;

/// A voice or DTMF frame with its full 32-bit timestamp.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MediaFrame {
    kind: u8,
    subclass: u32,
    timestamp: u32,
    data: Bytes,
}

impl MediaFrame {
    /// Encodes the frame as a description for the core.
    pub fn to_description(&self) -> Description {
        let mut bytes = BytesMut::with_capacity(9 + self.data.len());
        bytes.put_u8(self.kind);
        bytes.put_u32(self.subclass);
        bytes.put_u32(self.timestamp);
        bytes.put(&self.data[..]);
        Description { format: DESCRIPTION_FORMAT, bytes: bytes.freeze() }
    }

    /// Decodes a frame from the core. Returns `None` if it is malformed or comes from another protocol, between which
    /// media is not relayed.
    pub fn from_description(description: &Description) -> Option<MediaFrame> {
        let mut bytes = description.bytes.clone();
        if description.format != DESCRIPTION_FORMAT || bytes.len() < 9 {
            return None;
        }
        let (kind, subclass, timestamp) = (bytes.get_u8(), bytes.get_u32(), bytes.get_u32());
        Some(MediaFrame { kind, subclass, timestamp, data: bytes })
    }
}

/// The media state of one leg: the fields that mini frames omit, and the offset from the other leg's clock.
#[derive(Debug, Default)]
pub struct MediaStream {
    /// Format and timestamp of the latest voice frame received. Before the first full frame there is none.
    last_received: Option<(u32, u32)>,
    /// Format and timestamp of the latest full voice frame sent.
    last_sent: Option<(u32, u32)>,
    /// Added to the other leg's timestamps, modulo 2^32; set by the first frame sent.
    timestamp_offset: Option<u32>,
}

impl MediaStream {
    /// Decodes a frame received on this leg, if it is media.
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
                // Before the first full frame the format is unknown (RFC 5456, section 8.1.2).
                let (subclass, last) = self.last_received?;
                // The 16-bit difference is read as signed, because mini frames may be reordered around the wrap of
                // the timestamp.
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

    /// Encodes the other leg's frame with a timestamp of this leg's clock. Voice is sent as a mini frame unless its
    /// format or the high half of its timestamp has changed; everything else is sent as a full frame.
    pub fn send(&mut self, media: &MediaFrame, session: &mut Session, now: Micros) -> Option<Vec<u8>> {
        let offset = *self
            .timestamp_offset
            .get_or_insert_with(|| session.elapsed_ms(now).wrapping_sub(media.timestamp));
        let timestamp = media.timestamp.wrapping_add(offset);
        let is_same = |(format, last): (u32, u32)| format == media.subclass && last >> 16 == timestamp >> 16;
        if media.kind == kind::VOICE && self.last_sent.is_some_and(is_same) {
            return Some(encode_mini(session.local, timestamp as u16, &media.data));
        }
        // Media for a peer that does not acknowledge frames is dropped: by the time it arrived it would be useless.
        if session.unacknowledged_count() >= MAX_UNACKNOWLEDGED_FOR_MEDIA {
            return None;
        }
        if media.kind == kind::VOICE {
            self.last_sent = Some((media.subclass, timestamp));
        }
        session.send_at(now, timestamp, media.kind, media.subclass, &media.data)
    }
}
