//! State that the decision module has learned about hubs, saved across restarts.
//!
//! This module does no I/O and reads no clock. A [`LearnedState`] is what is saved; [`encode`] and [`decode`]
//! convert it to and from bytes, and old versions are read through a chain of migrations. A [`RestoredState`]
//! is a learned state that was read back: it returns the estimate for each hub once, only for the same hub
//! process, and decayed according to its age.

mod encoding;

pub use encoding::{decode, encode, KIND, VERSION};

use crate::interface::{Micros, ServerEstimate};
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum number of hubs in a learned state, the same as the core's limit of known hubs.
pub const MAX_HUBS: usize = 4096;
/// Maximum length of a hub's name or address, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Saved times up to this far ahead of the clock are accepted as current, because clocks are corrected in
/// small steps.
const MAX_CLOCK_LEAD: Micros = Micros(500_000);
/// Maximum plausible rate of set-ups of a hub, per second. Estimates with higher rates are dropped.
const MAX_SET_UPS_PER_SECOND: f64 = 1e6;
/// Maximum plausible wait, delay, cold period or mean call length. Longer values are dropped.
const MAX_SPAN: Micros = Micros(600_000_000);
/// Minimum weight of a value that cannot decay gradually towards a default; below it the value is dropped.
const MIN_REMAINING_WEIGHT: f64 = 0.25;

/// Identity of a hub process. The address alone does not identify a hub: a process with another name or start
/// time at the same address is another hub.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The hub's unique name.
    pub uid: Arc<str>,
    /// The hub's address; not interpreted here.
    pub endpoint: Arc<str>,
    /// The place by which calls select the hub.
    pub place: i64,
    /// Time of the hub's latest start, if known.
    pub born: Option<Micros>,
}

/// What was learned about one hub.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedHub {
    /// The hub process.
    pub hub: Identity,
    /// The decision module's estimates for this hub.
    pub estimate: ServerEstimate,
}

/// Learned state of all hubs at one point in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// When the state was collected, in Unix time.
    pub at: Micros,
    /// Mean length of a call in seconds; 0 if unknown.
    pub hold: f64,
    /// The state of each hub.
    pub hubs: Vec<LearnedHub>,
}

/// How fast each kind of value loses its weight: the half-lives, and the maximum age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecaySettings {
    /// Half-life of waits: a queue drains, or grows, within seconds.
    pub wait: Micros,
    /// Half-life of set-up delays, selection weights and the admitted share of calls.
    pub load: Micros,
    /// Half-life of the rate that a hub can take now: slow periods last from seconds to a minute.
    pub rate: Micros,
    /// Half-life of signs that a hub is dead.
    pub signs: Micros,
    /// Half-life of the greatest rate that a hub has carried, and of the mean length of a call.
    pub capacity: Micros,
    /// Maximum age: older values are not used.
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

/// Returns the age of a value saved at `saved_at`, or `None` if that time lies in the future, so the age is
/// unknown.
fn age(saved_at: Micros, now: Micros) -> Option<Micros> {
    (saved_at <= now + MAX_CLOCK_LEAD).then(|| now - saved_at)
}

/// Returns the weight that a value of this age still has, from 1 down to 0.
fn remaining_weight(age: Micros, half_life: Micros) -> f64 {
    match half_life {
        Micros(0) => 0.0,
        life => (-age.secs() / life.secs()).exp2(),
    }
}

/// Whether all values of an estimate lie in their plausible ranges.
fn is_plausible(estimate: &ServerEstimate) -> bool {
    let rate = |r: f64| (0.0..=MAX_SET_UPS_PER_SECOND).contains(&r);
    let fraction = |p: f64| (0.0..=1.0).contains(&p);
    rate(estimate.carried)
        && rate(estimate.carries)
        && rate(estimate.can_take)
        && fraction(estimate.weight)
        && fraction(estimate.pass)
        && fraction(estimate.share)
        && estimate.wait <= MAX_SPAN
        && estimate.delay <= MAX_SPAN
}

/// Decays an estimate of this age: each value moves towards the default of a start without saved state.
fn decayed(estimate: &ServerEstimate, age: Micros, now: Micros, settings: &DecaySettings) -> ServerEstimate {
    let (load, rate) = (remaining_weight(age, settings.load), remaining_weight(age, settings.rate));
    let decay_to_one = |figure: f64| 1.0 - (1.0 - figure) * load;
    let drop_if_stale = |figure: f64, weight: f64| if weight >= MIN_REMAINING_WEIGHT { figure } else { 0.0 };
    ServerEstimate {
        carried: drop_if_stale(estimate.carried, remaining_weight(age, settings.capacity)),
        heard: estimate.heard,
        carries: drop_if_stale(estimate.carries, rate),
        // Scaled down with age, because a hub that is still cold gets as many set-ups as it said that it can
        // take.
        can_take: drop_if_stale(estimate.can_take * rate, rate),
        wait: estimate.wait.scale(remaining_weight(age, settings.wait)),
        delay: estimate.delay.scale(load),
        weight: decay_to_one(estimate.weight),
        pass: decay_to_one(estimate.pass),
        // The share to hold back has its own expiry time, which a restart does not extend.
        share: if estimate.share_until > now { estimate.share } else { 0.0 },
        share_until: estimate.share_until,
        silent: estimate.silent && remaining_weight(age, settings.signs) >= 0.5,
        cold_until: Some(estimate.cold_until).filter(|c| *c < now + MAX_SPAN).unwrap_or_default(),
    }
}

/// Learned state that was read back after a restart. The estimate for each hub is returned once.
#[derive(Debug, Default)]
pub struct RestoredState {
    at: Micros,
    hold: f64,
    hubs: HashMap<Arc<str>, LearnedHub>,
    decay: DecaySettings,
}

/// Result of restoring a learned state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoreSummary {
    /// Number of hubs whose state was restored.
    pub hubs: usize,
    /// Number of hubs that were dropped: implausible values, last heard of in the future, names too long or
    /// repeated, or more hubs than the limit.
    pub dropped: usize,
    /// All hubs were dropped because the state claims to be from the future.
    pub from_future: bool,
    /// All hubs were dropped because the state is too old.
    pub too_old: bool,
}

impl RestoredState {
    /// Restores a learned state at the start. Hubs whose values are implausible, too old or from the future
    /// are dropped.
    pub fn new(learned: LearnedState, decay: DecaySettings, now: Micros) -> (RestoredState, RestoreSummary) {
        let all = learned.hubs.len();
        let mut summary = RestoreSummary::default();
        let mut restored =
            RestoredState { at: learned.at, hold: learned.hold, decay, ..RestoredState::default() };
        match age(learned.at, now) {
            None => summary.from_future = true,
            Some(age) if age > restored.decay.max_age => summary.too_old = true,
            Some(_) => {
                for learned_hub in learned.hubs {
                    let is_addable =
                        restored.hubs.len() < MAX_HUBS && !restored.hubs.contains_key(&learned_hub.hub.uid);
                    let is_short = learned_hub.hub.uid.len() <= MAX_NAME_BYTES
                        && learned_hub.hub.endpoint.len() <= MAX_NAME_BYTES;
                    let is_past = age(learned_hub.estimate.heard, now).is_some();
                    if is_addable && is_short && is_past && is_plausible(&learned_hub.estimate) {
                        restored.hubs.insert(learned_hub.hub.uid.clone(), learned_hub);
                    }
                }
            }
        }
        (summary.hubs, summary.dropped) = (restored.hubs.len(), all - restored.hubs.len());
        (restored, summary)
    }

    /// Returns the saved mean length of a call in seconds on the first call, unless it is too old.
    pub fn hold(&mut self, now: Micros) -> Option<f64> {
        let hold = std::mem::take(&mut self.hold);
        let age = age(self.at, now).filter(|age| *age <= self.decay.max_age)?;
        let is_fresh = remaining_weight(age, self.decay.capacity) >= MIN_REMAINING_WEIGHT;
        Some(hold).filter(|h| is_fresh && *h > 0.0 && *h <= MAX_SPAN.secs())
    }

    /// Returns the estimate for a hub that a list names for the first time since the start. It is returned
    /// only once, and only for the same hub process: one with another start time is cold, and one with
    /// another address or place is another machine, so the saved capacity would overload it.
    pub fn recall(&mut self, hub: &Identity, now: Micros) -> Option<ServerEstimate> {
        let learned_hub = self.hubs.remove(&hub.uid).filter(|learned_hub| learned_hub.hub == *hub)?;
        // The age counts from when the hub was last heard of. Counted from the time of the save, an estimate
        // that was restored and saved again without any message of the hub would appear fresh.
        let age = age(learned_hub.estimate.heard, now).filter(|age| *age <= self.decay.max_age)?;
        Some(decayed(&learned_hub.estimate, age, now, &self.decay))
    }

    /// Whether nothing is left to restore.
    pub fn is_empty(&self) -> bool {
        self.hubs.is_empty() && self.hold <= 0.0
    }

    /// Returns the hubs that no list has named yet and whose state is not too old. They are saved again,
    /// because the list may come late and a run that ends before it must not lose the state of the run
    /// before.
    pub fn unlisted(&self, now: Micros) -> impl Iterator<Item = &LearnedHub> {
        let is_recent = move |learned_hub: &&LearnedHub| {
            age(learned_hub.estimate.heard, now).is_some_and(|a| a <= self.decay.max_age)
        };
        self.hubs.values().filter(is_recent)
    }
}

/// Collects the learned state a few hubs at a time, so that no call waits until all hubs are collected.
#[derive(Debug, Default)]
pub struct StateCollector {
    hubs: Vec<LearnedHub>,
    next: usize,
}

impl StateCollector {
    /// Collects up to `max_hubs` further hubs out of `count`. `learned_hub` returns the state of the hub with
    /// an index, or `None` if the hub is gone. Returns all collected hubs once the last index was visited.
    pub fn collect(
        &mut self,
        count: usize,
        max_hubs: usize,
        mut learned_hub: impl FnMut(usize) -> Option<LearnedHub>,
    ) -> Option<Vec<LearnedHub>> {
        // On shutdown all remaining hubs are requested at once, possibly in the middle of a collection, so
        // the sum must not overflow.
        let end = count.min(self.next.saturating_add(max_hubs));
        self.hubs.extend((self.next..end).filter_map(&mut learned_hub));
        self.next = end;
        (end == count).then(|| std::mem::take(self).hubs)
    }
}
