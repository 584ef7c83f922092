//! What is worth keeping of the module's beliefs over a restart, and how much it counts when it is read.
//!
//! It knows no disk and reads no clock. A [`Picture`] is what is kept; [`encode`] and [`decode`] give it its
//! form, of which old ones are read through a chain of migrations. A [`Memory`] is a picture that was read: it
//! hands out each hub's belief once, to the same process alone, and for less the older it is.

mod form;

pub use form::{decode, encode, KIND, VERSION};

use crate::interface::{Micros, ServerEstimate};
use std::collections::HashMap;
use std::sync::Arc;

/// Hubs in a picture at most: as many as the core may know.
pub const HUBS_MOST: usize = 4096;
/// A hub's name or address is no longer, in bytes.
pub const NAME_MOST: usize = 256;
/// A kept time so far ahead of the clock is still taken for now: clocks are set a little at a time.
const AHEAD: Micros = Micros(500_000);
/// No hub carries more set-ups a second, and no weight or share is over 1: such figures are absurd.
const RATE_MOST: f64 = 1e6;
/// No wait or delay, nor a cold spell, is longer.
const SPAN_MOST: Micros = Micros(600_000_000);
/// A figure that cannot be moved towards nought is dropped once it counts for less than this.
const COUNTS_LEAST: f64 = 0.25;

/// Which process a belief is of. An address is not an identity: a hub is itself by name and start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name.
    pub uid: Arc<str>,
    /// Its address, opaque here.
    pub endpoint: Arc<str>,
    /// The place that calls name.
    pub place: i64,
    /// Its latest start, if it is known.
    pub born: Option<Micros>,
}

/// What is kept of one hub.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    /// Of which process.
    pub hub: Identity,
    /// What was believed of it.
    pub belief: ServerEstimate,
}

/// All that is kept, as of one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Picture {
    /// When it was taken, by the Unix clock.
    pub at: Micros,
    /// The mean length of a call, in seconds; nought: not known.
    pub hold: f64,
    /// The hubs.
    pub hubs: Vec<Kept>,
}

/// How fast each kind of fact loses its worth: the spans after which it counts for half.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ageing {
    /// Waits: a queue is worked off, or grows, within seconds.
    pub wait: Micros,
    /// Delays of own set-ups, weights, and the part let through.
    pub load: Micros,
    /// The rate that a hub can take now: slow spells last from seconds to a minute.
    pub rate: Micros,
    /// Signs of being dead.
    pub signs: Micros,
    /// What a hub was seen to carry, and the mean length of a call.
    pub capacity: Micros,
    /// What is older steers nothing at all.
    pub greatest: Micros,
}

impl Default for Ageing {
    fn default() -> Ageing {
        let seconds = |s: u64| Micros(s * 1_000_000);
        Ageing {
            wait: seconds(2),
            load: seconds(15),
            rate: seconds(20),
            signs: seconds(5),
            capacity: seconds(3600),
            greatest: seconds(900),
        }
    }
}

/// The age of something kept at a time; `None` where it claims to be from the future, so that its age is
/// not known.
fn age(kept: Micros, now: Micros) -> Option<Micros> {
    (kept <= now + AHEAD).then(|| now - kept)
}

/// How much a fact of that age counts, from 1 down.
fn counts(age: Micros, half_life: Micros) -> f64 {
    match half_life {
        Micros(0) => 0.0,
        life => (-age.secs() / life.secs()).exp2(),
    }
}

/// Whether no figure of a belief is absurd.
fn sane(belief: &ServerEstimate) -> bool {
    let rate = |r: f64| (0.0..=RATE_MOST).contains(&r);
    let part = |p: f64| (0.0..=1.0).contains(&p);
    rate(belief.carried)
        && rate(belief.carries)
        && rate(belief.can_take)
        && part(belief.weight)
        && part(belief.pass)
        && part(belief.share)
        && belief.wait <= SPAN_MOST
        && belief.delay <= SPAN_MOST
}

/// What a belief of that age is still worth: each figure is moved towards what a start without it takes.
fn aged(belief: &ServerEstimate, age: Micros, now: Micros, by: &Ageing) -> ServerEstimate {
    let (load, rate) = (counts(age, by.load), counts(age, by.rate));
    let towards_one = |figure: f64| 1.0 - (1.0 - figure) * load;
    let while_sure = |figure: f64, sure: f64| if sure >= COUNTS_LEAST { figure } else { 0.0 };
    ServerEstimate {
        carried: while_sure(belief.carried, counts(age, by.capacity)),
        heard: belief.heard,
        carries: while_sure(belief.carries, rate),
        // Less the older it is: a cold processor is brought what it said that it can take.
        can_take: while_sure(belief.can_take * rate, rate),
        wait: belief.wait.scale(counts(age, by.wait)),
        delay: belief.delay.scale(load),
        weight: towards_one(belief.weight),
        pass: towards_one(belief.pass),
        // A share has a period of its own, which the restart does not lengthen.
        share: if belief.share_until > now { belief.share } else { 0.0 },
        share_until: belief.share_until,
        silent: belief.silent && counts(age, by.signs) >= 0.5,
        cold_until: Some(belief.cold_until).filter(|c| *c < now + SPAN_MOST).unwrap_or_default(),
    }
}

/// A picture that was read, from which each hub is recalled once.
#[derive(Debug, Default)]
pub struct Memory {
    at: Micros,
    hold: f64,
    hubs: HashMap<Arc<str>, Kept>,
    ageing: Ageing,
}

/// How a picture was taken up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Hubs that may be recalled.
    pub hubs: usize,
    /// Hubs that were dropped: absurd figures, heard of in the future, names that are too long or come twice,
    /// more than may be known.
    pub dropped: usize,
    /// All were dropped, because the picture claims to be from the future,
    pub future: bool,
    /// ... or because it is too old.
    pub old: bool,
}

impl Memory {
    /// Takes a picture up at the start. What is absurd, too old or from the future is dropped.
    pub fn new(picture: Picture, ageing: Ageing, now: Micros) -> (Memory, Taken) {
        let all = picture.hubs.len();
        let mut taken = Taken::default();
        let mut memory = Memory { at: picture.at, hold: picture.hold, ageing, ..Memory::default() };
        match age(picture.at, now) {
            None => taken.future = true,
            Some(age) if age > memory.ageing.greatest => taken.old = true,
            Some(_) => {
                for kept in picture.hubs {
                    let known = memory.hubs.len() < HUBS_MOST && !memory.hubs.contains_key(&kept.hub.uid);
                    let short = kept.hub.uid.len() <= NAME_MOST && kept.hub.endpoint.len() <= NAME_MOST;
                    let past = age(kept.belief.heard, now).is_some();
                    if known && short && past && sane(&kept.belief) {
                        memory.hubs.insert(kept.hub.uid.clone(), kept);
                    }
                }
            }
        }
        (taken.hubs, taken.dropped) = (memory.hubs.len(), all - memory.hubs.len());
        (memory, taken)
    }

    /// The mean length of a call in seconds, once, and while it counts.
    pub fn hold(&mut self, now: Micros) -> Option<f64> {
        let hold = std::mem::take(&mut self.hold);
        let age = age(self.at, now).filter(|age| *age <= self.ageing.greatest)?;
        let sure = counts(age, self.ageing.capacity) >= COUNTS_LEAST;
        Some(hold).filter(|h| sure && *h > 0.0 && *h <= SPAN_MOST.secs())
    }

    /// What was known of a hub that a list names for the first time since the start, once, and for the same
    /// process alone. Danger: one with another start is cold, and one with another address or place is another
    /// machine; what theirs could carry would push them over.
    pub fn recall(&mut self, hub: &Identity, now: Micros) -> Option<ServerEstimate> {
        let kept = self.hubs.remove(&hub.uid).filter(|kept| kept.hub == *hub)?;
        // Danger: what was itself recalled, and not heard of since, must not grow young by being kept again.
        let age = age(kept.belief.heard, now).filter(|age| *age <= self.ageing.greatest)?;
        Some(aged(&kept.belief, age, now, &self.ageing))
    }

    /// Whether nothing is left to recall.
    pub fn is_empty(&self) -> bool {
        self.hubs.is_empty() && self.hold <= 0.0
    }

    /// What no list has named yet is kept on while it is not too old: a list may come late, and a start that
    /// is cut short before it must not lose what the one before knew.
    pub fn unnamed(&self, now: Micros) -> impl Iterator<Item = &Kept> {
        let young = move |k: &&Kept| age(k.belief.heard, now).is_some_and(|a| a <= self.ageing.greatest);
        self.hubs.values().filter(young)
    }
}

/// Takes a picture a few hubs at a time, so that no call waits for the whole of it.
#[derive(Debug, Default)]
pub struct Painter {
    hubs: Vec<Kept>,
    next: usize,
}

impl Painter {
    /// Adds up to `most` hubs from `hubs` on, of which there are `count`: `look` gives one, if it is in
    /// service or drains. Gives all that was gathered once the last is in.
    pub fn add(
        &mut self,
        count: usize,
        most: usize,
        mut look: impl FnMut(usize) -> Option<Kept>,
    ) -> Option<Vec<Kept>> {
        // At a planned end all the rest is asked for, perhaps half-way through.
        let end = count.min(self.next.saturating_add(most));
        self.hubs.extend((self.next..end).filter_map(&mut look));
        self.next = end;
        (end == count).then(|| std::mem::take(self).hubs)
    }
}
