//! A voter: grants a task to one holder at a time, for a term by its own clock.

use super::{Answer, Ask, Ballot, Epoch, Holder, Task, MAX_TERM};
use crate::interface::Micros;
use std::collections::BTreeMap;

/// Tasks that a voter keeps at most.
pub const MAX_TASKS: usize = 8_192;

/// What was granted of a task, and what was promised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct TaskState {
    promised: Option<Ballot>,
    /// The newest epoch granted, to whom, and until when that holds.
    granted: Option<(Epoch, Holder, Micros)>,
}

/// One voter's memory. It is lost at a restart, and silence takes its place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// Until then nothing is answered.
    silent_until: Micros,
    /// No epoch that this voter knew before it started, or of a state that was forgotten, is newer.
    min_epoch: Epoch,
    /// No ballot promised in a state that was forgotten is later.
    max_forgotten_ballot: Option<Ballot>,
    tasks: BTreeMap<Task, TaskState>,
}

impl Voter {
    /// A voter that starts at `now`, by the Unix clock as it stood at the start, moved on by the monotonic one.
    ///
    /// Danger: what it granted before it started is forgotten and may still be held. It answers nothing until the
    /// longest term is over. Its epochs begin at the time when it first answers: later than any that was granted
    /// before, as long as voters' Unix clocks agree within half of that silence (each grant takes over a millisecond).
    pub fn new(now: Micros) -> Voter {
        let silent_until = now + MAX_TERM;
        Voter {
            silent_until,
            min_epoch: Epoch(silent_until.0 / 1000),
            max_forgotten_ballot: None,
            tasks: BTreeMap::new(),
        }
    }

    /// Until when it is silent.
    pub fn silent_until(&self) -> Micros {
        self.silent_until
    }

    /// Answers one question about a task; nothing while it is silent, and to a release.
    pub fn handle(&mut self, now: Micros, task: Task, ask: Ask) -> Option<Answer> {
        if now < self.silent_until {
            return None;
        }
        let forgotten = TaskState { promised: self.max_forgotten_ballot, granted: None };
        let mut state = self.tasks.get(&task).copied().unwrap_or(forgotten);
        let by = match ask {
            Ask::Prepare(ballot) | Ask::Propose(ballot, ..) => ballot.proposer,
            Ask::Release(by, _) => by,
        };
        let live = state.granted.filter(|(.., until)| *until > now);
        let other = live.filter(|(_, holder, _)| *holder != by);
        let answer = match ask {
            Ask::Prepare(ballot) | Ask::Propose(ballot, ..) if other.is_some() => {
                // Nothing is promised: a contender must not disturb whoever holds it.
                return other.map(|(_, holder, until)| Answer::Held(ballot, holder, until - now));
            }
            Ask::Prepare(ballot) => {
                if state.promised.is_some_and(|p| ballot <= p) {
                    return Some(Answer::Superseded(ballot, state.promised.map_or(0, |p| p.round)));
                }
                state.promised = Some(ballot);
                Answer::Promised(
                    ballot,
                    state.granted.map_or(self.min_epoch, |(epoch, ..)| epoch.max(self.min_epoch)),
                )
            }
            Ask::Propose(ballot, epoch, term) => {
                // Danger: an old holder that renews late must not come between a newer epoch and its end.
                let newest = state.granted.map_or(self.min_epoch, |(epoch, ..)| epoch.max(self.min_epoch));
                let own = state.granted.is_some_and(|(e, holder, _)| e == epoch && holder == by);
                let stale = epoch < newest || epoch == newest && !own;
                if stale || state.promised.is_some_and(|p| ballot < p) {
                    return Some(Answer::Superseded(ballot, state.promised.map_or(0, |p| p.round)));
                }
                state.promised = Some(ballot);
                let term = Micros(term.0.min(MAX_TERM.0));
                state.granted = Some((epoch, by, now + term));
                Answer::Accepted(ballot)
            }
            Ask::Release(holder, epoch) => {
                if let Some((e, h, until)) = &mut state.granted {
                    if (*e, *h) == (epoch, holder) {
                        *until = now.min(*until);
                        self.tasks.insert(task, state);
                    }
                }
                return None;
            }
        };
        self.evict_idle_task(now, task);
        self.tasks.insert(task, state);
        Some(answer)
    }

    /// Forgets a task that nobody holds when there are too many. What it knew goes into the bounds for all that is
    /// not known, so that neither epochs nor ballots step back.
    fn evict_idle_task(&mut self, now: Micros, task: Task) {
        if self.tasks.len() < MAX_TASKS || self.tasks.contains_key(&task) {
            return;
        }
        let free = |s: &TaskState| s.granted.is_none_or(|(.., until)| until <= now);
        let Some((task, state)) = self.tasks.iter().find(|(_, s)| free(s)).map(|(t, s)| (*t, *s)) else {
            return;
        };
        self.tasks.remove(&task);
        self.max_forgotten_ballot = self.max_forgotten_ballot.max(state.promised);
        self.min_epoch = state.granted.map_or(self.min_epoch, |(epoch, ..)| epoch.max(self.min_epoch));
    }

    /// Tasks known.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }
}
