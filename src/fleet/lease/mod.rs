//! Who may do a fleet-wide task, until when, under which epoch: leases by a majority of stated voters, on no disk.
//!
//! [`voter::Voter`] grants, [`claim::Claim`] asks and holds; both are machines without I/O and clocks. The argument for
//! their safety stands in docs/LEASES.md, and the lab's checker explores the real machines.
//!
//! Safety rests on the list of voters and on clock *rates* alone, never on the view, nor on what time it is.

pub mod assignment;
pub mod claim;
pub mod voter;

use crate::interface::Micros;
use std::net::SocketAddr;

/// No term is longer: a voter that starts is silent for this long.
pub const MAX_TERM: Micros = Micros(30_000_000);

/// What a lease is for. Each kind says in its type what holds when a holder is stopped between check and act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Task {
    /// Its effect carries the epoch, and whoever receives it refuses an older one than it has seen.
    Fenced(FencedTask),
    /// It takes a stated time at most, is checked at the act itself, and doing it twice is harmless.
    Bounded(BoundedTask),
}

/// Tasks whose effect is fenced. The number names a hub, as the change log does, by a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FencedTask {
    /// Publishing who may bring what to a hub.
    Plan(u64),
}

/// Tasks that may be done twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum BoundedTask {
    /// Probing a hub that looks dead or is cold.
    Probe(u64),
}

impl BoundedTask {
    /// How long the act takes at most.
    pub fn max_duration(&self) -> Micros {
        match self {
            BoundedTask::Probe(_) => Micros(500_000),
        }
    }
}

/// One life of a process that may hold a lease: where it is reached, and which of its starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// Its address in the fleet.
    pub address: SocketAddr,
    /// Drawn anew at each start. Danger: a process that starts again has forgotten what it holds.
    pub instance_id: u64,
}

/// The number of an attempt to get or keep a lease; never used twice, as the life is part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ballot {
    /// Counted up by whoever asks.
    pub round: u64,
    /// Who asks.
    pub proposer: Holder,
}

/// A grant's number: it only grows, from one holder of a task to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch(pub u64);

/// What whoever asks sends to voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Ask {
    /// Is the task free? If so, take no older ballot from now on.
    Prepare(Ballot),
    /// Grant it for a term, under an epoch.
    Propose(Ballot, Epoch, Micros),
    /// It is given up.
    Release(Holder, Epoch),
}

/// What a voter answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Answer {
    /// It is free; the newest epoch known.
    Promised(Ballot, Epoch),
    /// Granted.
    Accepted(Ballot),
    /// Somebody else holds it, for so long still.
    Held(Ballot, Holder, Micros),
    /// A later ballot was promised, of this round.
    Superseded(Ballot, u64),
}

/// How long holders and voters count a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// A voter grants nothing to others for so long after it granted.
    pub voter: Micros,
    /// A holder's own reckoning, from when it *sent* what was granted.
    pub holder: Micros,
}

impl Terms {
    /// For clocks that run too fast or too slow by up to so many parts in a thousand. The slowest holder's term is
    /// over when the fastest voter's is: `holder / (1 - e) <= voter / (1 + e)`.
    pub fn new(voter: Micros, rate_permille: u64) -> Terms {
        let voter = Micros(voter.0.min(MAX_TERM.0));
        let holder = voter.0 * 1000u64.saturating_sub(rate_permille) / (1000 + rate_permille);
        Terms { voter, holder: Micros(holder) }
    }
}

/// What whoever receives fenced effects keeps: the newest epoch seen of each task, of a bounded number.
#[derive(Clone, Debug, Default)]
pub struct FenceTable {
    newest_epochs: std::collections::BTreeMap<FencedTask, Epoch>,
    /// Of tasks that were forgotten; what is not listed is at least this new.
    forgotten_epoch: Epoch,
}

/// FenceTable kept at most.
const MAX_FENCES: usize = 4_096;

impl FenceTable {
    /// Whether an effect under this epoch may be taken; one that may makes all older ones unfit.
    pub fn admit(&mut self, task: FencedTask, epoch: Epoch) -> bool {
        let newest = self.newest_epochs.get(&task).copied().unwrap_or(self.forgotten_epoch);
        if epoch < newest {
            return false;
        }
        if self.newest_epochs.len() >= MAX_FENCES && !self.newest_epochs.contains_key(&task) {
            // Danger: a fence that is forgotten must not let an older effect in; the floor rises to it. Epochs
            // grow with the clock, so that living tasks are above it.
            if let Some((_, gone)) = self.newest_epochs.pop_first() {
                self.forgotten_epoch = self.forgotten_epoch.max(gone);
            }
        }
        self.newest_epochs.insert(task, epoch);
        true
    }
}

#[cfg(test)]
mod tests;
