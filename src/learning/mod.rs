//! What is worth keeping of the module's beliefs over a restart, and how much it remaining_weight when it is read.
//!
//! It knows no disk and reads no clock. A [`LearnedState`] is what is kept; [`encode`] and [`decode`] give it its
//! form, of which old ones are read through a chain of migrations. A [`RestoredState`] is a picture that was read: it
//! hands out each hub's belief once, to the same process alone, and for less the older it is.

mod encoding;

pub use encoding::{decode, encode, KIND, VERSION};

use crate::interface::{Belief, Micros};
use std::collections::HashMap;
use std::sync::Arc;

/// Hubs in a picture at most: as many as the core may know.
pub const MAX_HUBS: usize = 4096;
/// A hub's name or address is no longer, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// A kept time so far ahead of the clock is still taken for now: clocks are set a little at a time.
const MAX_CLOCK_LEAD: Micros = Micros(500_000);
/// No hub carries more set-ups a second, and no weight or share is over 1: such figures are absurd.
const MAX_SET_UPS_PER_SECOND: f64 = 1e6;
/// No wait or delay, nor a cold spell, is longer.
const MAX_SPAN: Micros = Micros(600_000_000);
/// A figure that cannot be moved towards nought is dropped once it remaining_weight for less than this.
const MIN_REMAINING_WEIGHT: f64 = 0.25;

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
pub struct LearnedHub {
    /// Of which process.
    pub hub: Identity,
    /// What was believed of it.
    pub belief: Belief,
}

/// All that is kept, as of one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// When it was taken, by the Unix clock.
    pub at: Micros,
    /// The mean length of a call, in seconds; nought: not known.
    pub hold: f64,
    /// The hubs.
    pub hubs: Vec<LearnedHub>,
}

/// How fast each kind of fact loses its worth: the spans after which it remaining_weight for half.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecaySettings {
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
    pub max_age: Micros,
}

impl Default for DecaySettings {
    fn default() -> DecaySettings {
        let seconds = |s: u64| Micros(s * 1_000_000);
        DecaySettings {
            wait: seconds(2),
            load: seconds(15),
            rate: seconds(20),
            signs: seconds(5),
            capacity: seconds(3600),
            max_age: seconds(900),
        }
    }
}

/// The age of something kept at a time; `None` where it claims to be from the future, so that its age is
/// not known.
fn age(kept: Micros, now: Micros) -> Option<Micros> {
    (kept <= now + MAX_CLOCK_LEAD).then(|| now - kept)
}

/// How much a fact of that age remaining_weight, from 1 down.
fn remaining_weight(age: Micros, half_life: Micros) -> f64 {
    match half_life {
        Micros(0) => 0.0,
        life => (-age.secs() / life.secs()).exp2(),
    }
}

/// Whether no figure of a belief is absurd.
fn is_plausible(belief: &Belief) -> bool {
    let rate = |r: f64| (0.0..=MAX_SET_UPS_PER_SECOND).contains(&r);
    let part = |p: f64| (0.0..=1.0).contains(&p);
    rate(belief.carried)
        && rate(belief.carries)
        && rate(belief.can_take)
        && part(belief.weight)
        && part(belief.pass)
        && part(belief.share)
        && belief.wait <= MAX_SPAN
        && belief.delay <= MAX_SPAN
}

/// What a belief of that age is still worth: each figure is moved towards what a start without it takes.
fn decayed(belief: &Belief, age: Micros, now: Micros, by: &DecaySettings) -> Belief {
    let (load, rate) = (remaining_weight(age, by.load), remaining_weight(age, by.rate));
    let towards_one = |figure: f64| 1.0 - (1.0 - figure) * load;
    let while_sure = |figure: f64, sure: f64| if sure >= MIN_REMAINING_WEIGHT { figure } else { 0.0 };
    Belief {
        carried: while_sure(belief.carried, remaining_weight(age, by.capacity)),
        heard: belief.heard,
        carries: while_sure(belief.carries, rate),
        // Less the older it is: a cold processor is brought what it said that it can take.
        can_take: while_sure(belief.can_take * rate, rate),
        wait: belief.wait.scale(remaining_weight(age, by.wait)),
        delay: belief.delay.scale(load),
        weight: towards_one(belief.weight),
        pass: towards_one(belief.pass),
        // A share has a period of its own, which the restart does not lengthen.
        share: if belief.share_until > now { belief.share } else { 0.0 },
        share_until: belief.share_until,
        silent: belief.silent && remaining_weight(age, by.signs) >= 0.5,
        cold_until: Some(belief.cold_until).filter(|c| *c < now + MAX_SPAN).unwrap_or_default(),
    }
}

/// A picture that was read, from which each hub is recalled once.
#[derive(Debug, Default)]
pub struct RestoredState {
    at: Micros,
    hold: f64,
    hubs: HashMap<Arc<str>, LearnedHub>,
    ageing: DecaySettings,
}

/// How a picture was taken up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoreSummary {
    /// Hubs that may be recalled.
    pub hubs: usize,
    /// Hubs that were dropped: absurd figures, heard of in the future, names that are too long or come twice,
    /// more than may be known.
    pub dropped: usize,
    /// All were dropped, because the picture claims to be from the future,
    pub from_future: bool,
    /// ... or because it is too old.
    pub too_old: bool,
}

impl RestoredState {
    /// Takes a picture up at the start. What is absurd, too old or from the future is dropped.
    pub fn new(picture: LearnedState, ageing: DecaySettings, now: Micros) -> (RestoredState, RestoreSummary) {
        let all = picture.hubs.len();
        let mut taken = RestoreSummary::default();
        let mut memory =
            RestoredState { at: picture.at, hold: picture.hold, ageing, ..RestoredState::default() };
        match age(picture.at, now) {
            None => taken.from_future = true,
            Some(age) if age > memory.ageing.max_age => taken.too_old = true,
            Some(_) => {
                for kept in picture.hubs {
                    let known = memory.hubs.len() < MAX_HUBS && !memory.hubs.contains_key(&kept.hub.uid);
                    let short =
                        kept.hub.uid.len() <= MAX_NAME_BYTES && kept.hub.endpoint.len() <= MAX_NAME_BYTES;
                    let past = age(kept.belief.heard, now).is_some();
                    if known && short && past && is_plausible(&kept.belief) {
                        memory.hubs.insert(kept.hub.uid.clone(), kept);
                    }
                }
            }
        }
        (taken.hubs, taken.dropped) = (memory.hubs.len(), all - memory.hubs.len());
        (memory, taken)
    }

    /// The mean length of a call in seconds, once, and while it remaining_weight.
    pub fn hold(&mut self, now: Micros) -> Option<f64> {
        let hold = std::mem::take(&mut self.hold);
        let age = age(self.at, now).filter(|age| *age <= self.ageing.max_age)?;
        let sure = remaining_weight(age, self.ageing.capacity) >= MIN_REMAINING_WEIGHT;
        Some(hold).filter(|h| sure && *h > 0.0 && *h <= MAX_SPAN.secs())
    }

    /// What was known of a hub that a list names for the first time since the start, once, and for the same
    /// process alone. Danger: one with another start is cold, and one with another address or place is another
    /// machine; what theirs could carry would push them over.
    pub fn recall(&mut self, hub: &Identity, now: Micros) -> Option<Belief> {
        let kept = self.hubs.remove(&hub.uid).filter(|kept| kept.hub == *hub)?;
        // Danger: what was itself recalled, and not heard of since, must not grow young by being kept again.
        let age = age(kept.belief.heard, now).filter(|age| *age <= self.ageing.max_age)?;
        Some(decayed(&kept.belief, age, now, &self.ageing))
    }

    /// Whether nothing is left to recall.
    pub fn is_empty(&self) -> bool {
        self.hubs.is_empty() && self.hold <= 0.0
    }

    /// What no list has named yet is kept on while it is not too old: a list may come late, and a start that
    /// is cut short before it must not lose what the one before knew.
    pub fn unlisted(&self, now: Micros) -> impl Iterator<Item = &LearnedHub> {
        let young = move |k: &&LearnedHub| age(k.belief.heard, now).is_some_and(|a| a <= self.ageing.max_age);
        self.hubs.values().filter(young)
    }
}

/// Takes a picture a few hubs at a time, so that no call waits for the whole of it.
#[derive(Debug, Default)]
pub struct StateCollector {
    hubs: Vec<LearnedHub>,
    next: usize,
}

impl StateCollector {
    /// Adds up to `most` hubs from `hubs` on, of which there are `count`: `look` gives one, if it is in
    /// service or drains. Gives all that was gathered once the last is in.
    pub fn collect(
        &mut self,
        count: usize,
        most: usize,
        mut look: impl FnMut(usize) -> Option<LearnedHub>,
    ) -> Option<Vec<LearnedHub>> {
        // At a planned end all the rest is asked for, perhaps half-way through.
        let end = count.min(self.next.saturating_add(most));
        self.hubs.extend((self.next..end).filter_map(&mut look));
        self.next = end;
        (end == count).then(|| std::mem::take(self).hubs)
    }
}
