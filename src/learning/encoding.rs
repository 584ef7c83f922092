//! On-disk encoding of a [`LearnedState`]: JSON in a snapshot, with one module per version.
//!
//! A new version adds a module and a migration from the version before it; the older modules do not change.

use super::{Identity, LearnedHub, LearnedState};
use crate::interface::{Micros, ServerEstimate};
use miniserde::{json, Deserialize, Serialize};

/// Snapshot kind of the learned state.
pub const KIND: u16 = 1;
/// Version that is written.
pub const VERSION: u16 = 2;

/// Version 1: one age for all hubs.
mod v1 {
    use super::*;

    /// The whole payload. Times are in microseconds, Unix time or spans.
    #[derive(Serialize, Deserialize)]
    pub struct Document {
        pub at: u64,
        pub hold: f64,
        pub hubs: Vec<Hub>,
    }

    /// One hub of the payload.
    #[derive(Serialize, Deserialize)]
    pub struct Hub {
        pub uid: String,
        pub endpoint: String,
        pub place: i64,
        pub born: Option<u64>,
        pub carried: f64,
        pub carries: f64,
        pub wait: u64,
        pub delay: u64,
        pub weight: f64,
        pub pass: f64,
        pub share: f64,
        pub share_until: u64,
        pub silent: bool,
        pub cold_until: u64,
    }
}

/// Version 2: each hub has its own age, and the rate that the hub last reported it can take is stored
/// separately from the rate that it is estimated to carry.
mod v2 {
    use super::*;

    /// The whole payload. Times are in microseconds, Unix time or spans.
    #[derive(Serialize, Deserialize)]
    pub struct Document {
        pub at: u64,
        pub hold: f64,
        pub hubs: Vec<Hub>,
    }

    /// One hub of the payload.
    #[derive(Serialize, Deserialize)]
    pub struct Hub {
        pub uid: String,
        pub endpoint: String,
        pub place: i64,
        pub born: Option<u64>,
        pub heard: u64,
        pub carried: f64,
        pub carries: f64,
        pub can_take: f64,
        pub wait: u64,
        pub delay: u64,
        pub weight: f64,
        pub pass: f64,
        pub share: f64,
        pub share_until: u64,
        pub silent: bool,
        pub cold_until: u64,
    }

    /// Migration from version 1: all hubs are as old as the file, and the rate that a cold hub may be sent
    /// was not stored.
    impl From<v1::Document> for Document {
        fn from(old: v1::Document) -> Document {
            let hub = |h: v1::Hub| Hub {
                uid: h.uid,
                endpoint: h.endpoint,
                place: h.place,
                born: h.born,
                heard: old.at,
                carried: h.carried,
                carries: h.carries,
                can_take: 0.0,
                wait: h.wait,
                delay: h.delay,
                weight: h.weight,
                pass: h.pass,
                share: h.share,
                share_until: h.share_until,
                silent: h.silent,
                cold_until: h.cold_until,
            };
            Document { at: old.at, hold: old.hold, hubs: old.hubs.into_iter().map(hub).collect() }
        }
    }

    impl From<&LearnedHub> for Hub {
        fn from(learned: &LearnedHub) -> Hub {
            let (hub, estimate) = (&learned.hub, &learned.estimate);
            Hub {
                uid: hub.uid.to_string(),
                endpoint: hub.endpoint.to_string(),
                place: hub.place,
                born: hub.born.map(|b| b.0),
                carried: estimate.carried,
                heard: estimate.heard.0,
                carries: estimate.carries,
                can_take: estimate.can_take,
                wait: estimate.wait.0,
                delay: estimate.delay.0,
                weight: estimate.weight,
                pass: estimate.pass,
                share: estimate.share,
                share_until: estimate.share_until.0,
                silent: estimate.silent,
                cold_until: estimate.cold_until.0,
            }
        }
    }

    impl From<Hub> for LearnedHub {
        fn from(h: Hub) -> LearnedHub {
            let hub = Identity {
                uid: h.uid.into(),
                endpoint: h.endpoint.into(),
                place: h.place,
                born: h.born.map(Micros),
            };
            let estimate = ServerEstimate {
                carried: h.carried,
                heard: Micros(h.heard),
                carries: h.carries,
                can_take: h.can_take,
                wait: Micros(h.wait),
                delay: Micros(h.delay),
                weight: h.weight,
                pass: h.pass,
                share: h.share,
                share_until: Micros(h.share_until),
                silent: h.silent,
                cold_until: Micros(h.cold_until),
            };
            LearnedHub { hub, estimate }
        }
    }
}

use v2 as latest;

/// Encodes a learned state in the latest version.
pub fn encode(learned: &LearnedState) -> Vec<u8> {
    let hubs = learned.hubs.iter().map(latest::Hub::from).collect();
    json::to_string(&latest::Document { at: learned.at.0, hold: learned.hold, hubs }).into_bytes()
}

/// Decodes a learned state of any version up to the latest.
///
/// # Errors
/// Returns a description of the fault if the version is later than the latest one, or the payload is not
/// valid JSON of its version.
pub fn decode(version: u16, payload: &[u8]) -> Result<LearnedState, String> {
    let text = std::str::from_utf8(payload).map_err(|_| "its payload is not valid UTF-8".to_string())?;
    let invalid = |_| format!("its payload is not valid JSON of version {version}");
    let document: latest::Document = match version {
        1 => json::from_str::<v1::Document>(text).map_err(invalid)?.into(),
        2 => json::from_str(text).map_err(invalid)?,
        later => return Err(format!("its payload is of the later version {later}")),
    };
    Ok(LearnedState {
        at: Micros(document.at),
        hold: document.hold,
        hubs: document.hubs.into_iter().map(LearnedHub::from).collect(),
    })
}
