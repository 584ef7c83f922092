//! Leases for fleet-wide tasks: who may do a task, until when and under which epoch. A majority of a fixed list of
//! voters grants them, and nothing is stored on disk.
//!
//! [`voter::Voter`] grants leases, [`claim::Claim`] requests and holds one. Both are state machines without I/O or
//! clocks, and the lab's model checker explores exactly these implementations.
//!
//! Safety depends only on the list of voters and on bounded clock *rates*, never on the membership view or the time of
//! day.

pub mod assignment;
pub mod claim;
pub mod voter;

use crate::interface::Micros;
use std::net::SocketAddr;

/// Maximum term of a lease. A voter that starts is silent for this long.
pub const MAX_TERM: Micros = Micros(30_000_000);

/// A task that a lease is for. The kind determines what keeps it safe if a holder is suspended between checking its
/// lease and acting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Task {
    /// The effect carries the epoch, and its receiver rejects epochs older than one that it has seen.
    Fenced(FencedTask),
    /// The action takes a bounded time, the lease is checked immediately before it, and repeating it is harmless.
    Bounded(BoundedTask),
}

/// Fenced tasks. The number is a hash that identifies a hub as the change log does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FencedTask {
    /// Publishing what each controller may send to a hub.
    Plan(u64),
}

/// Tasks that may be done twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum BoundedTask {
    /// Probing a hub that is cold or seems to be dead.
    Probe(u64),
}

impl BoundedTask {
    /// Maximum duration of the action.
    pub fn max_duration(&self) -> Micros {
        match self {
            BoundedTask::Probe(_) => Micros(500_000),
        }
    }
}

/// One run of a process that may hold a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// The address of the process in the fleet.
    pub address: SocketAddr,
    /// A value chosen anew at each start, since a restarted process no longer knows what it held.
    pub instance_id: u64,
}

/// Identifies one attempt to acquire or renew a lease. It is never reused, since it contains the holder's instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ballot {
    /// Incremented by the proposer.
    pub round: u64,
    /// The process that makes the attempt.
    pub proposer: Holder,
}

/// Fencing token of a grant. It increases with each new holder of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch(pub u64);

/// A request to the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Ask {
    /// Asks whether the task is free. If it is, the voter rejects older ballots from then on.
    Prepare(Ballot),
    /// Asks for a grant under an epoch, for a term.
    Propose(Ballot, Epoch, Micros),
    /// Gives up the lease.
    Release(Holder, Epoch),
}

/// A voter's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Answer {
    /// The task is free. Carries the newest epoch known to the voter.
    Promised(Ballot, Epoch),
    /// The lease is granted.
    Accepted(Ballot),
    /// Another process holds the lease, for the given remaining time.
    Held(Ballot, Holder, Micros),
    /// A later ballot was promised. Carries the round of that ballot.
    Superseded(Ballot, u64),
}

/// The term of a lease, as measured by voters and by holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long a voter refuses other holders after a grant.
    pub voter: Micros,
    /// How long a holder relies on a grant, measured from when it *sent* the request.
    pub holder: Micros,
}

impl Terms {
    /// Terms for clocks whose rates are off by up to `rate_permille` thousandths. The lease of a holder with the
    /// slowest clock must end no later than the grant of a voter with the fastest:
    /// `holder / (1 - e) <= voter / (1 + e)`.
    pub fn new(voter: Micros, rate_permille: u64) -> Terms {
        let voter = Micros(voter.0.min(MAX_TERM.0));
        let holder = voter.0 * 1000u64.saturating_sub(rate_permille) / (1000 + rate_permille);
        Terms { voter, holder: Micros(holder) }
    }
}

/// Kept by a receiver of fenced effects: the newest epoch seen for each task, for a bounded number of tasks.
#[derive(Clone, Debug, Default)]
pub struct FenceTable {
    newest_epochs: std::collections::BTreeMap<FencedTask, Epoch>,
    /// The newest epoch of all tasks that were evicted. It is the lower bound for every task that is not listed.
    forgotten_epoch: Epoch,
}

/// Maximum number of tasks in a [`FenceTable`].
const MAX_FENCES: usize = 4_096;

impl FenceTable {
    /// Whether an effect under this epoch is accepted. If it is, older epochs of the task are rejected from then on.
    pub fn admit(&mut self, task: FencedTask, epoch: Epoch) -> bool {
        let newest = self.newest_epochs.get(&task).copied().unwrap_or(self.forgotten_epoch);
        if epoch < newest {
            return false;
        }
        if self.newest_epochs.len() >= MAX_FENCES && !self.newest_epochs.contains_key(&task) {
            // The lower bound rises to the epoch of the evicted task, so that its older effects stay rejected. Epochs
            // grow with the clock, so that tasks in use are above the bound.
            if let Some((_, evicted)) = self.newest_epochs.pop_first() {
                self.forgotten_epoch = self.forgotten_epoch.max(evicted);
            }
        }
        self.newest_epochs.insert(task, epoch);
        true
    }
}

#[cfg(test)]
mod tests;
