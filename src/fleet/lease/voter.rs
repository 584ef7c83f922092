//! A voter: grants a task to one holder at a time, for a term by its own clock.

use super::{Answer, Ask, Ballot, Epoch, Holder, Task, TERM_MOST};
use crate::interface::Micros;
use std::collections::BTreeMap;

/// Tasks that a voter keeps at most.
pub const TASKS_MOST: usize = 8_192;

/// What was granted of a task, and what was promised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Slot {
    promised: Option<Ballot>,
    /// The newest epoch granted, to whom, and until when that holds.
    granted: Option<(Epoch, Holder, Micros)>,
}

/// One voter's memory. It is lost at a restart, and silence takes its place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// Until then nothing is answered.
    silent: Micros,
    /// No epoch that this voter knew before it started, or of a slot that was forgotten, is newer.
    floor: Epoch,
    /// No ballot promised in a slot that was forgotten is later.
    promised: Option<Ballot>,
    slots: BTreeMap<Task, Slot>,
}

impl Voter {
    /// A voter that starts at `now`, by the Unix clock as it stood at the start, moved on by the monotonic one.
    ///
    /// Danger: what it granted before it started is forgotten and may still be held. It answers nothing until the
    /// longest term is over. Its epochs begin at the time when it first answers: later than any that was granted
    /// before, as long as voters' Unix clocks agree within half of that silence (each grant takes over a millisecond).
    pub fn new(now: Micros) -> Voter {
        let silent = now + TERM_MOST;
        Voter { silent, floor: Epoch(silent.0 / 1000), promised: None, slots: BTreeMap::new() }
    }

    /// Until when it is silent.
    pub fn silent_until(&self) -> Micros {
        self.silent
    }

    /// Answers one question about a task; nothing while it is silent, and to a release.
    pub fn handle(&mut self, now: Micros, task: Task, ask: Ask) -> Option<Answer> {
        if now < self.silent {
            return None;
        }
        let forgotten = Slot { promised: self.promised, granted: None };
        let mut slot = self.slots.get(&task).copied().unwrap_or(forgotten);
        let by = match ask {
            Ask::Prepare(ballot) | Ask::Propose(ballot, ..) => ballot.by,
            Ask::Release(by, _) => by,
        };
        let live = slot.granted.filter(|(.., until)| *until > now);
        let other = live.filter(|(_, holder, _)| *holder != by);
        let answer = match ask {
            Ask::Prepare(ballot) | Ask::Propose(ballot, ..) if other.is_some() => {
                // Nothing is promised: a contender must not disturb whoever holds it.
                return other.map(|(_, holder, until)| Answer::Held(ballot, holder, until - now));
            }
            Ask::Prepare(ballot) => {
                if slot.promised.is_some_and(|p| ballot <= p) {
                    return Some(Answer::Older(ballot, slot.promised.map_or(0, |p| p.round)));
                }
                slot.promised = Some(ballot);
                Answer::Promised(ballot, slot.granted.map_or(self.floor, |(epoch, ..)| epoch.max(self.floor)))
            }
            Ask::Propose(ballot, epoch, term) => {
                // Danger: an old holder that renews late must not come between a newer epoch and its end.
                let newest = slot.granted.map_or(self.floor, |(epoch, ..)| epoch.max(self.floor));
                let own = slot.granted.is_some_and(|(e, holder, _)| e == epoch && holder == by);
                let stale = epoch < newest || epoch == newest && !own;
                if stale || slot.promised.is_some_and(|p| ballot < p) {
                    return Some(Answer::Older(ballot, slot.promised.map_or(0, |p| p.round)));
                }
                slot.promised = Some(ballot);
                let term = Micros(term.0.min(TERM_MOST.0));
                slot.granted = Some((epoch, by, now + term));
                Answer::Accepted(ballot)
            }
            Ask::Release(holder, epoch) => {
                if let Some((e, h, until)) = &mut slot.granted {
                    if (*e, *h) == (epoch, holder) {
                        *until = now.min(*until);
                        self.slots.insert(task, slot);
                    }
                }
                return None;
            }
        };
        self.make_room(now, task);
        self.slots.insert(task, slot);
        Some(answer)
    }

    /// Forgets a task that nobody holds when there are too many. What it knew goes into the bounds for all that is
    /// not known, so that neither epochs nor ballots step back.
    fn make_room(&mut self, now: Micros, task: Task) {
        if self.slots.len() < TASKS_MOST || self.slots.contains_key(&task) {
            return;
        }
        let free = |s: &Slot| s.granted.is_none_or(|(.., until)| until <= now);
        let Some((task, slot)) = self.slots.iter().find(|(_, s)| free(s)).map(|(t, s)| (*t, *s)) else {
            return;
        };
        self.slots.remove(&task);
        self.promised = self.promised.max(slot.promised);
        self.floor = slot.granted.map_or(self.floor, |(epoch, ..)| epoch.max(self.floor));
    }

    /// Tasks known.
    pub fn held(&self) -> usize {
        self.slots.len()
    }
}
