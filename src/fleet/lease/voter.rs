//! The granting side of leases: grants each task to one holder at a time, for a term by the voter's own clock.

use super::{Answer, Ask, Ballot, Epoch, Holder, Task, MAX_TERM};
use crate::interface::Micros;
use std::collections::BTreeMap;

/// Number of tasks from which on a voter evicts one that nobody holds before it adds another.
pub const MAX_TASKS: usize = 8_192;

/// The state of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct TaskState {
    promised: Option<Ballot>,
    /// The newest epoch granted, its holder, and when the grant ends.
    granted: Option<(Epoch, Holder, Micros)>,
}

/// A voter. Its state is lost at a restart, which a period of silence makes up for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// No request is answered before this time.
    silent_until: Micros,
    /// Upper bound of the epochs that this voter granted before it started, or to tasks that it has evicted.
    min_epoch: Epoch,
    /// The latest ballot promised in any evicted task.
    max_forgotten_ballot: Option<Ballot>,
    tasks: BTreeMap<Task, TaskState>,
}

impl Voter {
    /// Creates a voter that starts at `now`: the Unix time at the start of the process, advanced by the monotonic
    /// clock.
    ///
    /// What the voter granted before it started is forgotten and may still be in force, so it answers nothing until
    /// the longest term is over. Its epochs begin at the time of its first possible answer. They are later than all
    /// that were granted before, as long as the Unix clocks of voters agree within half of that silence (each grant
    /// takes more than a millisecond).
    pub fn new(now: Micros) -> Voter {
        let silent_until = now + MAX_TERM;
        Voter {
            silent_until,
            min_epoch: Epoch(silent_until.0 / 1000),
            max_forgotten_ballot: None,
            tasks: BTreeMap::new(),
        }
    }

    /// When the initial silence ends.
    pub fn silent_until(&self) -> Micros {
        self.silent_until
    }

    /// Handles a request about a task. There is no answer during the initial silence or to a release.
    pub fn handle(&mut self, now: Micros, task: Task, ask: Ask) -> Option<Answer> {
        if now < self.silent_until {
            return None;
        }
        let forgotten = TaskState { promised: self.max_forgotten_ballot, granted: None };
        let mut state = self.tasks.get(&task).copied().unwrap_or(forgotten);
        let requester = match ask {
            Ask::Prepare(ballot) | Ask::Propose(ballot, ..) => ballot.proposer,
            Ask::Release(holder, _) => holder,
        };
        let live = state.granted.filter(|(.., until)| *until > now);
        let held_by_other = live.filter(|(_, holder, _)| *holder != requester);
        let answer = match ask {
            Ask::Prepare(ballot) | Ask::Propose(ballot, ..) if held_by_other.is_some() => {
                // The ballot is not promised, so that a contender does not disturb the holder.
                return held_by_other.map(|(_, holder, until)| Answer::Held(ballot, holder, until - now));
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
                // A late renewal by a former holder must not displace the grant of a newer epoch.
                let newest = state.granted.map_or(self.min_epoch, |(epoch, ..)| epoch.max(self.min_epoch));
                let is_renewal =
                    state.granted.is_some_and(|(e, holder, _)| e == epoch && holder == requester);
                let stale = epoch < newest || epoch == newest && !is_renewal;
                if stale || state.promised.is_some_and(|p| ballot < p) {
                    return Some(Answer::Superseded(ballot, state.promised.map_or(0, |p| p.round)));
                }
                state.promised = Some(ballot);
                let term = Micros(term.0.min(MAX_TERM.0));
                state.granted = Some((epoch, requester, now + term));
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

    /// If the table is full, evicts a task that nobody holds. Its epoch and ballot enter the bounds for unknown
    /// tasks, so that neither ever goes back.
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

    /// Number of tasks in the table.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }
}
