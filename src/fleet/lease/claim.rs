//! The requesting side of a lease on one task: acquires it from a majority of voters, renews it and releases it.

use super::{Answer, Ask, Ballot, Epoch, Holder, Terms};
use crate::interface::Micros;

/// The set of voters that agreed, as a bitmap over the operator's list of at most 7 voters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Votes(u8);

impl Votes {
    fn add(&mut self, voter: usize) {
        self.0 |= 1 << voter.min(7);
    }

    /// A set, since counting a voter twice for a duplicated datagram could turn a minority into a majority.
    fn count(&self) -> usize {
        self.0.count_ones() as usize
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Preparing { ballot: Ballot, votes: Votes, newest: Epoch, since: Micros },
    Proposing { ballot: Ballot, votes: Votes, epoch: Epoch, sent: Micros },
}

/// The result of handling an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// No change.
    Wait,
    /// Send this request to all voters now.
    Ask(Ask),
    /// The lease was acquired or renewed.
    Held(Epoch),
    /// Another process holds the lease, for the given remaining time by the clock of one voter.
    HeldByOther(Holder, Micros),
    /// Another process made a request at the same time. Retry a little later.
    Contended,
}

/// The claim of one process to a lease on one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    own: Holder,
    voters: usize,
    terms: Terms,
    round: u64,
    phase: Phase,
    held: Option<(Epoch, Micros)>,
}

impl Claim {
    /// Creates a claim that holds nothing, for the given number of voters.
    pub fn new(own: Holder, voters: usize, terms: Terms) -> Claim {
        Claim { own, voters, terms, round: 0, phase: Phase::Idle, held: None }
    }

    /// The epoch of the lease, if it is held now.
    pub fn held(&self, now: Micros) -> Option<Epoch> {
        self.held.filter(|(_, until)| now < *until).map(|(epoch, _)| epoch)
    }

    /// When the lease ends by this process's clock, if it is held now.
    pub fn held_until(&self, now: Micros) -> Option<Micros> {
        self.held.filter(|(_, until)| now < *until).map(|(_, until)| until)
    }

    /// Whether an action of the given duration can start now and finish before the lease ends. Must be checked
    /// immediately before the action.
    pub fn may_act(&self, now: Micros, takes: Micros) -> bool {
        self.held_until(now).is_some_and(|until| now + takes <= until)
    }

    /// The ballot of the pending request, if any. Answers to other ballots are ignored.
    pub fn ballot(&self) -> Option<Ballot> {
        match self.phase {
            Phase::Idle => None,
            Phase::Preparing { ballot, .. } | Phase::Proposing { ballot, .. } => Some(ballot),
        }
    }

    /// When the pending request was sent, if any.
    pub fn asking_since(&self) -> Option<Micros> {
        match self.phase {
            Phase::Idle => None,
            Phase::Preparing { since, .. } => Some(since),
            Phase::Proposing { sent, .. } => Some(sent),
        }
    }

    /// Starts a new attempt: a renewal if the lease is held, otherwise an acquisition. Replaces the pending request.
    pub fn ask(&mut self, now: Micros) -> Ask {
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: self.own };
        match self.held(now) {
            // No other process can have held the lease meanwhile, so the epoch stays the same.
            Some(epoch) => self.propose(now, ballot, epoch),
            None => {
                self.held = None;
                let (votes, newest) = (Votes::default(), Epoch::default());
                self.phase = Phase::Preparing { ballot, votes, newest, since: now };
                Ask::Prepare(ballot)
            }
        }
    }

    fn propose(&mut self, now: Micros, ballot: Ballot, epoch: Epoch) -> Ask {
        self.phase = Phase::Proposing { ballot, votes: Votes::default(), epoch, sent: now };
        Ask::Propose(ballot, epoch, self.terms.voter)
    }

    /// Handles the answer of the voter at the given index in the list.
    pub fn handle(&mut self, now: Micros, voter: usize, answer: Answer) -> Step {
        if voter >= self.voters {
            return Step::Wait;
        }
        let majority = self.voters / 2 + 1;
        match (answer, &mut self.phase) {
            (Answer::Promised(answered, epoch), Phase::Preparing { ballot, votes, newest, .. })
                if answered == *ballot =>
            {
                votes.add(voter);
                *newest = epoch.max(*newest);
                if votes.count() < majority {
                    return Step::Wait;
                }
                let (ballot, next) = (*ballot, Epoch(newest.0.saturating_add(1)));
                Step::Ask(self.propose(now, ballot, next))
            }
            (Answer::Accepted(answered), Phase::Proposing { ballot, votes, epoch, sent })
                if answered == *ballot =>
            {
                votes.add(voter);
                if votes.count() < majority {
                    return Step::Wait;
                }
                // Measured from the request: a term measured from the answer could outlast the voters' grants.
                let (epoch, until) = (*epoch, *sent + self.terms.holder);
                self.phase = Phase::Idle;
                self.held = Some((epoch, until));
                match now < until {
                    true => Step::Held(epoch),
                    false => Step::Contended,
                }
            }
            (
                Answer::Held(answered, holder, remaining),
                Phase::Preparing { ballot, .. } | Phase::Proposing { ballot, .. },
            ) if answered == *ballot => {
                // One such answer is enough to back off, so that a lease in force is not disturbed.
                self.phase = Phase::Idle;
                Step::HeldByOther(holder, remaining)
            }
            (
                Answer::Superseded(answered, round),
                Phase::Preparing { ballot, .. } | Phase::Proposing { ballot, .. },
            ) if answered == *ballot => {
                self.round = self.round.max(round);
                self.phase = Phase::Idle;
                Step::Contended
            }
            _ => Step::Wait,
        }
    }

    /// Gives up the lease, effective at once for this process. Returns the request to send to the voters, if it was
    /// held.
    pub fn release(&mut self, now: Micros) -> Option<Ask> {
        let epoch = self.held(now);
        (self.held, self.phase) = (None, Phase::Idle);
        epoch.map(|epoch| Ask::Release(self.own, epoch))
    }
}
