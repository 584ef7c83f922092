//! State of calls in progress across a restart: which events must be durable before the messages that depend on
//! them are sent, and how each call continues after a start.
//!
//! This module accesses no disk, clock or network: the caller supplies times and stores the [`Entry`]s in a log.
//! A [`CallTable`] is the result of applying the entries. The same code applies an entry while the program runs
//! and when the log is replayed, so that a start restores the table as it was. If an entry was written, the
//! message that waited for it may have been sent: an attempt that may have started is treated as started.

mod encoding;

pub use encoding::{decode, decode_table, encode, encode_table, KIND, VERSION};

use crate::core::CallName;
use crate::interface::Micros;
use crate::learning::Identity;
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum number of calls in a table: as many as the core may have open.
pub const MAX_CALLS: usize = 20_000;
/// Time for which the final answer to a refused or failed call is kept, for a caller that asks again.
pub const ANSWER_RETENTION: Micros = Micros(30_000_000);
/// Greatest amount by which the last entry may be ahead of the clock. If it is further ahead, the clock was set
/// back.
const MAX_CLOCK_LAG: Micros = Micros(500_000);

/// The final answer to a call, which a caller that asks again gets once more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call was established, with the hub's description.
    Established(Vec<u8>),
    /// The call was refused; the caller is asked to wait this long before it calls again.
    Refused(Micros),
    /// The call failed.
    Failed,
}

/// A change of a call's state that a later start must know about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEvent {
    /// The call was accepted from its caller.
    Accepted {
        /// Index of the front that the call came in at.
        front: usize,
        /// Name of the call's class.
        class: Arc<str>,
        /// The number called.
        number: Arc<str>,
        /// The place of first choice.
        place: i64,
        /// Time at which the caller stops waiting.
        deadline: Micros,
    },
    /// An attempt starts.
    AttemptStarted {
        /// Number of the attempt. It is never used again, not even after a restart.
        attempt: u64,
        /// Number of earlier attempts for the call.
        attempts_before: u32,
        /// The hub process that the attempt is sent to.
        hub: Identity,
    },
    /// The attempt ended, and the hub may have run it: no further attempt may start before this time.
    MayHaveRun(Micros),
    /// The attempt ended, and the hub did not run it.
    DidNotRun,
    /// The call got its final answer.
    Answered(Answer),
    /// The call was refused or is over, and nothing about it needs to be kept.
    Ended,
}

/// Whether the message that follows an event must wait until the event is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The message must wait. It is the first byte of a set-up or a final answer.
    BeforeSending,
    /// The message need not wait. If the event is lost, the next start is more cautious but still correct.
    Deferred,
}

impl CallEvent {
    /// Returns whether the event must be durable before the message that follows it is sent.
    ///
    /// A set-up and a final answer cannot be taken back once they are sent. The other events may be lost: the
    /// caller offers an accepted call again; an attempt whose end is not known is treated as one that may have run,
    /// and its pause starts anew; a call whose end is not known is released once more, which does no harm.
    pub fn durability(&self) -> Durability {
        match self {
            CallEvent::AttemptStarted { .. } | CallEvent::Answered(_) => Durability::BeforeSending,
            CallEvent::Accepted { .. }
            | CallEvent::MayHaveRun(_)
            | CallEvent::DidNotRun
            | CallEvent::Ended => Durability::Deferred,
        }
    }
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Time of the event, in Unix time.
    pub at: Micros,
    /// Name of the call.
    pub call: CallName,
    /// What happened to the call.
    pub event: CallEvent,
}

/// State of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallState {
    /// No attempt is in progress, and none may start before this time.
    Waiting(Micros),
    /// An attempt with this number is, or may be, in progress at this hub.
    Attempting(u64, Identity),
    /// The call is established at a hub; with the attempt's number, the hub and the description in the answer.
    Established(u64, Identity, Vec<u8>),
    /// The call was refused or failed.
    Answered(Answer),
}

/// One call of a [`CallTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Time of the call's latest event.
    pub at: Micros,
    /// Index of the front that the call came in at.
    pub front: usize,
    /// Name of the call's class.
    pub class: Arc<str>,
    /// The number called.
    pub number: Arc<str>,
    /// The place of first choice.
    pub place: i64,
    /// Time at which the caller stops waiting.
    pub deadline: Micros,
    /// Number of attempts so far.
    pub attempts: u32,
    /// State of the call.
    pub state: CallState,
}

/// Error of an event that is not valid in its call's state, or for which the table has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectedEvent;

/// The table of calls that results from the entries applied to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallTable {
    calls: HashMap<CallName, Call>,
    last_attempt: u64,
    latest: Micros,
}

impl CallTable {
    /// Applies an entry.
    ///
    /// # Errors
    /// [`RejectedEvent`] if the call is unknown or already known, if an attempt starts while another is in progress
    /// or during the pause after it, if an attempt's number does not increase or its count of earlier attempts is
    /// wrong, if a second final answer is given, or if the table is full. The table does not change then.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), RejectedEvent> {
        let Entry { at, call: name, event } = entry;
        if let CallEvent::Accepted { front, class, number, place, deadline } = event {
            if self.calls.contains_key(name) || self.calls.len() >= MAX_CALLS {
                return Err(RejectedEvent);
            }
            let call = Call {
                at: *at,
                front: *front,
                class: class.clone(),
                number: number.clone(),
                place: *place,
                deadline: *deadline,
                attempts: 0,
                state: CallState::Waiting(Micros(0)),
            };
            self.calls.insert(*name, call);
        } else {
            let last_attempt = self.last_attempt;
            let call = self.calls.get_mut(name).ok_or(RejectedEvent)?;
            let state = match (event, &call.state) {
                (CallEvent::AttemptStarted { attempt, attempts_before, hub }, CallState::Waiting(until)) => {
                    // Late messages are recognised by the numbers of their attempts, so no number may be used twice.
                    if *attempt <= last_attempt || *attempts_before != call.attempts || at < until {
                        return Err(RejectedEvent);
                    }
                    (self.last_attempt, call.attempts) = (*attempt, attempts_before + 1);
                    Some(CallState::Attempting(*attempt, hub.clone()))
                }
                (CallEvent::MayHaveRun(until), CallState::Attempting(..)) => Some(CallState::Waiting(*until)),
                (CallEvent::DidNotRun, CallState::Attempting(..)) => Some(CallState::Waiting(Micros(0))),
                (
                    CallEvent::Answered(Answer::Established(description)),
                    CallState::Attempting(attempt, hub),
                ) => Some(CallState::Established(*attempt, hub.clone(), description.clone())),
                (CallEvent::Answered(Answer::Established(_)), _) => return Err(RejectedEvent),
                (CallEvent::Answered(answer), CallState::Waiting(_) | CallState::Attempting(..)) => {
                    Some(CallState::Answered(answer.clone()))
                }
                (CallEvent::Ended, _) => None,
                _ => return Err(RejectedEvent),
            };
            match state {
                Some(state) => (call.at, call.state) = (*at, state),
                None => drop(self.calls.remove(name)),
            }
        }
        self.latest = self.latest.max(*at);
        Ok(())
    }

    /// Removes refused and failed calls whose [`ANSWER_RETENTION`] is over. Called from time to time.
    pub fn remove_expired_answers(&mut self, now: Micros) {
        self.calls
            .retain(|_, c| !matches!(c.state, CallState::Answered(_)) || c.at + ANSWER_RETENTION >= now);
    }

    /// Returns the call of this name.
    pub fn get(&self, name: CallName) -> Option<&Call> {
        self.calls.get(&name)
    }

    /// Returns the number of calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether there are no calls.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the number of the latest attempt. After a start, numbering continues from it.
    pub fn last_attempt(&self) -> u64 {
        self.last_attempt
    }

    /// Returns the calls that a start finds, each with the action to take, in the order of their names.
    /// `hub_status` tells what is known of the process that a call went to; `pause` is the time for which nothing
    /// may be sent after an attempt that may have run.
    ///
    /// The clock may have been set back while the program was down. Stored pauses and deadlines are not comparable
    /// with the clock then; both are counted from now, by the time that remained when the call's latest entry was
    /// written.
    pub fn recover(
        &self,
        now: Micros,
        pause: Micros,
        hub_status: impl Fn(&Identity) -> HubStatus,
    ) -> Vec<(CallName, RecoveryAction)> {
        let clock_set_back = self.latest > now + MAX_CLOCK_LAG;
        let mut actions: Vec<(CallName, RecoveryAction)> = self
            .calls
            .iter()
            .map(|(name, call)| {
                let shift = |at: Micros| if clock_set_back { now + (at - call.at) } else { at };
                let deadline = shift(call.deadline);
                let action = match &call.state {
                    CallState::Established(attempt, hub, description) => match hub_status(hub) {
                        HubStatus::Same => {
                            RecoveryAction::Resume { attempt: *attempt, description: description.clone() }
                        }
                        // The caller does not know yet that the hub is gone.
                        HubStatus::Gone => RecoveryAction::Release,
                    },
                    CallState::Answered(answer) => RecoveryAction::RepeatAnswer(answer.clone()),
                    _ if deadline <= now => RecoveryAction::Expired(attempt_in_progress(call)),
                    CallState::Waiting(until) => {
                        // The rest of the pause, but never more than a whole one.
                        let not_before = shift(*until).min(now + pause);
                        RecoveryAction::Retry { not_before, deadline, attempts: call.attempts, give_up: None }
                    }
                    // The attempt may have been sent just before the program ended. The only safe choice is to
                    // give it up at its hub and to count the pause from now.
                    CallState::Attempting(attempt, hub) => RecoveryAction::Retry {
                        not_before: now + pause,
                        deadline,
                        attempts: call.attempts,
                        give_up: (hub_status(hub) == HubStatus::Same).then_some(*attempt),
                    },
                };
                (*name, action)
            })
            .collect();
        actions.sort_by_key(|(name, _)| *name);
        actions
    }
}

fn attempt_in_progress(call: &Call) -> Option<u64> {
    match &call.state {
        CallState::Attempting(attempt, _) => Some(*attempt),
        _ => None,
    }
}

/// What a start knows of the hub process that a call went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HubStatus {
    /// The process is listed with the same start time and address, in service or draining.
    Same,
    /// The process is gone or not listed, or another process has its name or address.
    Gone,
}

/// How a start continues a call that it finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// The call is established: either side may end it, and its caller may ask for the answer again.
    Resume {
        /// Number of the attempt that established the call.
        attempt: u64,
        /// The description in the answer.
        description: Vec<u8>,
    },
    /// The call was established and its hub is gone: it is released towards its caller with cause 41.
    Release,
    /// The call has its final answer: a caller that asks again gets this answer and no other.
    RepeatAnswer(Answer),
    /// The call continues if its caller offers it again.
    Retry {
        /// Time before which no attempt may start.
        not_before: Micros,
        /// Time at which the caller stops waiting.
        deadline: Micros,
        /// Number of attempts that the call has had.
        attempts: u32,
        /// Number of the attempt to give up at its hub first, if any.
        give_up: Option<u64>,
    },
    /// The call's deadline passed while the program was down. The attempt with this number, if any, may still be in
    /// progress and is given up.
    Expired(Option<u64>),
}
