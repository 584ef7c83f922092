//! Calls in progress over a restart: what must be on the disk before what is sent, and what a start makes of
//! what it finds. It knows no disk, no clock and no wire: times come in, [`Step`]s go out to a log.
//!
//! A [`Ledger`] is the table of calls as its steps tell it. The same code takes a step while the program runs and
//! when the log is read, so that what a start finds is what the table was. A step that was written may have been
//! followed by what it allowed: an attempt that may have begun did begin.

mod form;

pub use form::{decode, decode_all, encode, encode_all, KIND, VERSION};

use crate::core::CallName;
use crate::interface::Micros;
use crate::learning::Identity;
use std::collections::HashMap;
use std::sync::Arc;

/// Calls in a ledger at most: as many as the core may have open.
pub const CALLS_MOST: usize = 20_000;
/// Answered calls stay known for so long, for a caller that asks again.
pub const ANSWERS_KEPT: Micros = Micros(30_000_000);
/// A time so far ahead of the clock is still taken for now; past it the clock was set back.
const AHEAD: Micros = Micros(500_000);

/// A final answer, as a caller that asks again is to get it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call stands, with the hub's description.
    Stands(Vec<u8>),
    /// Refused; the caller should stay away so long.
    Refused(Micros),
    /// Failed.
    Failed,
}

/// What happens to a call, as far as the next start must know of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It was taken.
    Taken {
        /// The front that it came in at.
        front: usize,
        /// The class's name.
        class: Arc<str>,
        /// The number called.
        number: Arc<str>,
        /// The place of first choice.
        place: i64,
        /// When its caller stops waiting.
        deadline: Micros,
    },
    /// An attempt begins: its own number, how many the call had before, and the hub.
    Begins {
        /// Never used twice, also not by a later start.
        attempt: u64,
        /// Attempts before it.
        sent: u32,
        /// Which process it goes to.
        hub: Identity,
    },
    /// The attempt ended, and may have run: nothing for the call before this time.
    Unsure(Micros),
    /// The attempt never ran.
    NeverRan,
    /// The final answer.
    Answered(Answer),
    /// Nothing of it is left: it was refused, or stood and is over.
    Ends,
}

/// Whether what a step allows has to wait until it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// It waits: a set-up's first byte, a final answer.
    Before,
    /// It does not: not to know of it makes the next start more careful, never wrong.
    Lazy,
}

impl Step {
    /// What the step has to wait for.
    ///
    /// A set-up and a final answer can't be taken back once they are sent. The others may be lost: a call that
    /// was taken is offered again by its caller; an attempt whose end is not known is taken for one that may
    /// have run, and the pause starts anew; a call whose end is not known is released once more, which is free.
    pub fn durability(&self) -> Durability {
        match self {
            Step::Begins { .. } | Step::Answered(_) => Durability::Before,
            Step::Taken { .. } | Step::Unsure(_) | Step::NeverRan | Step::Ends => Durability::Lazy,
        }
    }
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When, by the Unix clock.
    pub at: Micros,
    /// The call.
    pub call: CallName,
    /// What happened.
    pub step: Step,
}

/// Where a call is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// Between attempts; nothing before this time.
    Waits(Micros),
    /// An attempt is out, or may be.
    Out(u64, Identity),
    /// It stands at a hub, with the attempt's number and the description that was answered.
    Stands(u64, Identity, Vec<u8>),
    /// It was refused or failed.
    Over(Answer),
}

/// One call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// When its last step was.
    pub at: Micros,
    /// Its front, class, number, place of first choice and deadline.
    pub front: usize,
    /// The class's name.
    pub class: Arc<str>,
    /// The number called.
    pub number: Arc<str>,
    /// The place of first choice.
    pub first: i64,
    /// When its caller stops waiting.
    pub deadline: Micros,
    /// Attempts so far.
    pub sent: u32,
    /// Where it is.
    pub place: Place,
}

/// A step that does not fit where its call is. It changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Misfit;

/// The table of calls, as its steps tell it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    calls: HashMap<CallName, Call>,
    last_attempt: u64,
    latest: Micros,
}

impl Ledger {
    /// Takes a step.
    ///
    /// # Errors
    /// [`Misfit`] where the call is unknown or known already, where an attempt begins while one is out or its
    /// pause lasts, where a number runs backwards, where a second final answer is given, or the table is full.
    pub fn take(&mut self, entry: &Entry) -> Result<(), Misfit> {
        let Entry { at, call: name, step } = entry;
        if let Step::Taken { front, class, number, place, deadline } = step {
            if self.calls.contains_key(name) || self.calls.len() >= CALLS_MOST {
                return Err(Misfit);
            }
            let call = Call {
                at: *at,
                front: *front,
                class: class.clone(),
                number: number.clone(),
                first: *place,
                deadline: *deadline,
                sent: 0,
                place: Place::Waits(Micros(0)),
            };
            self.calls.insert(*name, call);
        } else {
            let last = self.last_attempt;
            let call = self.calls.get_mut(name).ok_or(Misfit)?;
            let place = match (step, &call.place) {
                (Step::Begins { attempt, sent, hub }, Place::Waits(until)) => {
                    // Danger: the numbers of attempts are what a late message is told from a new one by.
                    if *attempt <= last || *sent != call.sent || at < until {
                        return Err(Misfit);
                    }
                    (self.last_attempt, call.sent) = (*attempt, sent + 1);
                    Some(Place::Out(*attempt, hub.clone()))
                }
                (Step::Unsure(until), Place::Out(..)) => Some(Place::Waits(*until)),
                (Step::NeverRan, Place::Out(..)) => Some(Place::Waits(Micros(0))),
                (Step::Answered(Answer::Stands(description)), Place::Out(attempt, hub)) => {
                    Some(Place::Stands(*attempt, hub.clone(), description.clone()))
                }
                (Step::Answered(Answer::Stands(_)), _) => return Err(Misfit),
                (Step::Answered(answer), Place::Waits(_) | Place::Out(..)) => {
                    Some(Place::Over(answer.clone()))
                }
                (Step::Ends, _) => None,
                _ => return Err(Misfit),
            };
            match place {
                Some(place) => (call.at, call.place) = (*at, place),
                None => drop(self.calls.remove(name)),
            }
        }
        self.latest = self.latest.max(*at);
        Ok(())
    }

    /// Forgets refused calls that nobody asks for any more; called now and then.
    pub fn age(&mut self, now: Micros) {
        self.calls.retain(|_, c| !matches!(c.place, Place::Over(_)) || c.at + ANSWERS_KEPT >= now);
    }

    /// A call.
    pub fn get(&self, name: CallName) -> Option<&Call> {
        self.calls.get(&name)
    }

    /// How many calls it knows.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether it knows none.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// The last attempt's number: a start goes on after it.
    pub fn last_attempt(&self) -> u64 {
        self.last_attempt
    }

    /// What a start makes of the calls that it finds, each with what is to be done, in the order of their names.
    /// `life` tells what is known of the process that a call went to; `pause` is how long nothing may be sent
    /// after an attempt that may have run.
    ///
    /// Danger: the clock may have been set back while the program was down. No pause and no deadline is believed
    /// then; both count from now, by what was left of them when the last step was written.
    pub fn recover(
        &self,
        now: Micros,
        pause: Micros,
        life: impl Fn(&Identity) -> Life,
    ) -> Vec<(CallName, Verdict)> {
        let back = self.latest > now + AHEAD;
        let mut verdicts: Vec<(CallName, Verdict)> = self
            .calls
            .iter()
            .map(|(name, call)| {
                let shift = |at: Micros| if back { now + (at - call.at) } else { at };
                let deadline = shift(call.deadline);
                let verdict = match &call.place {
                    Place::Stands(attempt, hub, description) => match life(hub) {
                        Life::Same => Verdict::GoesOn { attempt: *attempt, description: description.clone() },
                        // It is not known to the caller that the hub is gone: it hears so now.
                        Life::Other => Verdict::Release,
                    },
                    Place::Over(answer) => Verdict::Answered(answer.clone()),
                    _ if deadline <= now => Verdict::Late(attempt_of(call)),
                    Place::Waits(until) => {
                        // What was left of the pause, and never more than a whole one.
                        let not_before = shift(*until).min(now + pause);
                        Verdict::Again { not_before, deadline, sent: call.sent, give_up: None }
                    }
                    // It may have gone out in the last moment before the end. Nothing is safe but to give it up
                    // at its hub, and to count the pause from now.
                    Place::Out(attempt, hub) => Verdict::Again {
                        not_before: now + pause,
                        deadline,
                        sent: call.sent,
                        give_up: (life(hub) == Life::Same).then_some(*attempt),
                    },
                };
                (*name, verdict)
            })
            .collect();
        verdicts.sort_by_key(|(name, _)| *name);
        verdicts
    }
}

fn attempt_of(call: &Call) -> Option<u64> {
    match &call.place {
        Place::Out(attempt, _) => Some(*attempt),
        _ => None,
    }
}

/// What is known of a process at a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It is listed, with the same start and address; in service or draining.
    Same,
    /// It is gone, another one has its name or address, or nobody lists it.
    Other,
}

/// What becomes of a call that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It stands: either side may end it, and its caller may ask for the answer again.
    GoesOn {
        /// The attempt that it stands by.
        attempt: u64,
        /// The description that was answered.
        description: Vec<u8>,
    },
    /// It stood, and its hub is gone: released towards its caller with cause 41.
    Release,
    /// It has its final answer, which a caller that asks again gets, and no other.
    Answered(Answer),
    /// It goes on where it was, if its caller comes back: not before this time, with the attempts that it had.
    Again {
        /// No attempt before this.
        not_before: Micros,
        /// When its caller stops waiting.
        deadline: Micros,
        /// Attempts that it had.
        sent: u32,
        /// The attempt to give up at its hub first.
        give_up: Option<u64>,
    },
    /// Its time was up while the program was down; the attempt that may still be out is given up.
    Late(Option<u64>),
}
