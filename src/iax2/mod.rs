//! IAX2 (RFC 5456) over UDP: a front that serves desk equipment, and a client of IAX2 hubs.

pub mod cause;
pub mod frame;
pub mod front;
pub mod hub;
pub mod media;
pub mod session;

/// Format name of the descriptions that IAX2 legs exchange: the media formats and calling number of a NEW, encoded as
/// information elements.
pub const DESCRIPTION_FORMAT: &str = "iax2";

/// Media formats assumed where a leg names none: G.711 mu-law and A-law.
pub const DEFAULT_MEDIA_FORMATS: u32 = 0x4 | 0x8;
