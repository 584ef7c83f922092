//! Whoever wants one task: asks the voters, holds it while a majority's grant lasts, renews, gives up.

use super::{Answer, Ask, Ballot, Epoch, Holder, Terms};
use crate::interface::Micros;

/// Which voters said yes, by their place in the operator's list: 7 at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Votes(u8);

impl Votes {
    fn add(&mut self, voter: usize) {
        self.0 |= 1 << voter.min(7);
    }

    /// Danger: a voter counted twice, for a datagram that came twice, would make a majority of a minority.
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

/// What became of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Ask all voters this now.
    Ask(Ask),
    /// The lease is held, or held longer.
    Held(Epoch),
    /// Somebody else holds it, for so long still by one voter's clock.
    HeldByOther(Holder, Micros),
    /// Another asks at the same time; try again a little later.
    Contended,
}

/// One task's claim.
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
    /// A claim that holds nothing, before so many voters.
    pub fn new(own: Holder, voters: usize, terms: Terms) -> Claim {
        Claim { own, voters, terms, round: 0, phase: Phase::Idle, held: None }
    }

    /// Under which epoch it is held now, if it is.
    pub fn held(&self, now: Micros) -> Option<Epoch> {
        self.held.filter(|(_, until)| now < *until).map(|(epoch, _)| epoch)
    }

    /// Until when it is held, by the own clock.
    pub fn held_until(&self, now: Micros) -> Option<Micros> {
        self.held.filter(|(_, until)| now < *until).map(|(_, until)| until)
    }

    /// Whether an act that takes so long may begin now: it is over before the lease is. To be asked at the act itself.
    pub fn may_act(&self, now: Micros, takes: Micros) -> bool {
        self.held_until(now).is_some_and(|until| now + takes <= until)
    }

    /// What it is asking under, if it is: answers to anything else change nothing.
    pub fn ballot(&self) -> Option<Ballot> {
        match self.phase {
            Phase::Idle => None,
            Phase::Preparing { ballot, .. } | Phase::Proposing { ballot, .. } => Some(ballot),
        }
    }

    /// Since when it has been asking, if it has.
    pub fn asking_since(&self) -> Option<Micros> {
        match self.phase {
            Phase::Idle => None,
            Phase::Preparing { since, .. } => Some(since),
            Phase::Proposing { sent, .. } => Some(sent),
        }
    }

    /// Asks anew: for a renewal if it is held, else whether it is free. What was asked before counts no more.
    pub fn ask(&mut self, now: Micros) -> Ask {
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: self.own };
        match self.held(now) {
            // Nobody else can have held it meanwhile, so that the epoch stays.
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

    /// Takes the answer of the voter with this place in the list.
    pub fn handle(&mut self, now: Micros, voter: usize, answer: Answer) -> Step {
        if voter >= self.voters {
            return Step::Wait;
        }
        let majority = self.voters / 2 + 1;
        match (answer, &mut self.phase) {
            (Answer::Promised(of, epoch), Phase::Preparing { ballot, votes, newest, .. })
                if of == *ballot =>
            {
                votes.add(voter);
                *newest = epoch.max(*newest);
                if votes.count() < majority {
                    return Step::Wait;
                }
                let (ballot, next) = (*ballot, Epoch(newest.0.saturating_add(1)));
                Step::Ask(self.propose(now, ballot, next))
            }
            (Answer::Accepted(of), Phase::Proposing { ballot, votes, epoch, sent }) if of == *ballot => {
                votes.add(voter);
                if votes.count() < majority {
                    return Step::Wait;
                }
                // Danger: counted from the answer, the term would outlast the voters'.
                let (epoch, until) = (*epoch, *sent + self.terms.holder);
                self.phase = Phase::Idle;
                self.held = Some((epoch, until));
                match now < until {
                    true => Step::Held(epoch),
                    false => Step::Contended,
                }
            }
            (
                Answer::Held(of, holder, left),
                Phase::Preparing { ballot, .. } | Phase::Proposing { ballot, .. },
            ) if of == *ballot => {
                // One voter's word is enough to stand back: a lease that is held is not to be disturbed.
                self.phase = Phase::Idle;
                Step::HeldByOther(holder, left)
            }
            (
                Answer::Superseded(of, round),
                Phase::Preparing { ballot, .. } | Phase::Proposing { ballot, .. },
            ) if of == *ballot => {
                self.round = self.round.max(round);
                self.phase = Phase::Idle;
                Step::Contended
            }
            _ => Step::Wait,
        }
    }

    /// Gives it up, at once for this process; what the voters are to be told.
    pub fn release(&mut self, now: Micros) -> Option<Ask> {
        let epoch = self.held(now);
        (self.held, self.phase) = (None, Phase::Idle);
        epoch.map(|epoch| Ask::Release(self.own, epoch))
    }
}
