//! The form of a [`Picture`] on disk: JSON in a snapshot, one module a version. A new version adds a module and
//! a step from the one before; what stands is not touched. `docs/FORMAT.md` describes each.

use super::{Identity, Kept, Picture};
use crate::interface::{Micros, ServerEstimate};
use miniserde::{json, Deserialize, Serialize};

/// The kind of these snapshots.
pub const KIND: u16 = 1;
/// The version that is written.
pub const VERSION: u16 = 2;

/// Version 1: one age for all.
mod v1 {
    use super::*;

    #[derive(Serialize, Deserialize)]
    pub struct Form {
        pub at: u64,
        pub hold: f64,
        pub hubs: Vec<Hub>,
    }

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

/// Version 2: each hub has an age of its own, and what it last said that it can take is kept apart from what
/// it is held to carry.
mod v2 {
    use super::*;

    #[derive(Serialize, Deserialize)]
    pub struct Form {
        pub at: u64,
        pub hold: f64,
        pub hubs: Vec<Hub>,
    }

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

    /// From version 1: all was as old as the file, and no rate that a cold processor may be brought was kept.
    impl From<v1::Form> for Form {
        fn from(old: v1::Form) -> Form {
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
            Form { at: old.at, hold: old.hold, hubs: old.hubs.into_iter().map(hub).collect() }
        }
    }

    impl From<&Kept> for Hub {
        fn from(kept: &Kept) -> Hub {
            let (hub, b) = (&kept.hub, &kept.belief);
            Hub {
                uid: hub.uid.to_string(),
                endpoint: hub.endpoint.to_string(),
                place: hub.place,
                born: hub.born.map(|b| b.0),
                carried: b.carried,
                heard: b.heard.0,
                carries: b.carries,
                can_take: b.can_take,
                wait: b.wait.0,
                delay: b.delay.0,
                weight: b.weight,
                pass: b.pass,
                share: b.share,
                share_until: b.share_until.0,
                silent: b.silent,
                cold_until: b.cold_until.0,
            }
        }
    }

    impl From<Hub> for Kept {
        fn from(h: Hub) -> Kept {
            let hub = Identity {
                uid: h.uid.into(),
                endpoint: h.endpoint.into(),
                place: h.place,
                born: h.born.map(Micros),
            };
            let belief = ServerEstimate {
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
            Kept { hub, belief }
        }
    }
}

use v2 as latest;

/// Writes a picture in the latest form.
pub fn encode(picture: &Picture) -> Vec<u8> {
    let hubs = picture.hubs.iter().map(latest::Hub::from).collect();
    json::to_string(&latest::Form { at: picture.at.0, hold: picture.hold, hubs }).into_bytes()
}

/// Reads a picture in any form up to the latest.
///
/// # Errors
/// What is wrong with it, where it is of a later version or no such JSON.
pub fn decode(version: u16, payload: &[u8]) -> Result<Picture, String> {
    let text = std::str::from_utf8(payload).map_err(|_| "its payload is no text".to_string())?;
    let wrong = |_| format!("its payload is not of version {version}");
    let form: latest::Form = match version {
        1 => json::from_str::<v1::Form>(text).map_err(wrong)?.into(),
        2 => json::from_str(text).map_err(wrong)?,
        later => return Err(format!("its payload is of the later version {later}")),
    };
    Ok(Picture {
        at: Micros(form.at),
        hold: form.hold,
        hubs: form.hubs.into_iter().map(Kept::from).collect(),
    })
}
