//! Model checking of the production lease state machines: all orders of messages, losses, duplicates and restarts
//! within bounds, under clocks of different rates. [`LeaseModel::properties`] lists the checked properties.

use petreldock::fleet::lease::claim::{Claim, Step};
use petreldock::fleet::lease::voter::Voter;
use petreldock::fleet::lease::{Answer, Ask, BoundedTask, Epoch, Holder, Task, Terms, MAX_TERM};
use petreldock::interface::Micros;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use stateright::{Expectation, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Unit of the model's time, in microseconds; a voter's term is four units by its own clock.
const TIME_UNIT_US: u64 = MAX_TERM.0 / 4;
/// The task whose lease is modelled.
const TASK: Task = Task::Bounded(BoundedTask::Probe(1));
/// Unix time at which a run starts, in microseconds.
const START_TIME_US: u64 = 1_700_000_000_000_000;

/// A model of one lease with its voters and contenders, and the bounds of its exploration.
#[derive(Clone, Debug)]
pub struct LeaseModel {
    /// The rate of each voter's clock, in units per unit of true time.
    pub voter_clock_rates: Vec<u64>,
    /// The rate of each contender's clock, in units per unit of true time.
    pub contender_clock_rates: Vec<u64>,
    /// A holder's term in units of its own clock; a voter's term is four.
    pub holder_term: u64,
    /// Upper bound of true time, in units.
    pub max_time: u64,
    /// How often each contender may request the lease or its renewal.
    pub max_requests: u64,
    /// How often voters and contenders may restart, all together.
    pub max_restarts: u8,
    /// The number of voters from which contenders compute the majority. A wrong number shows that the check can fail.
    pub assumed_voters: usize,
    /// Whether a restarted voter stays silent for a term, as the protocol requires.
    pub silent_after_restart: bool,
    /// Whether contenders also act under the lease and release it. Without this there are far fewer states.
    pub acts_and_releases: bool,
}

/// A message in flight. It may be delivered any number of times, or never.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Packet {
    /// From a contender to a voter.
    ToVoter(usize, usize, Ask),
    /// From a voter to one incarnation of a contender.
    ToContender(usize, usize, u64, Answer),
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAction {
    /// True time advances by a unit.
    AdvanceTime,
    /// A contender requests the lease or its renewal.
    Request(usize),
    /// A contender releases the lease.
    Release(usize),
    /// A message is delivered.
    Deliver(Packet),
    /// A contender checks its lease and, if it may, acts for a unit of true time.
    Act(usize),
    /// A voter restarts with no memory of its promises.
    RestartVoter(usize),
    /// A contender restarts under a new incarnation.
    RestartContender(usize),
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// True time, in units.
    time: u64,
    voters: Vec<Voter>,
    contenders: Vec<Claim>,
    /// The incarnation of each contender.
    incarnations: Vec<u64>,
    /// The number of requests that each contender has made.
    requests: Vec<u64>,
    in_flight: BTreeSet<Packet>,
    restarts: u8,
    /// When the last act of each contender ends, by true time.
    acting_until: Vec<u64>,
    /// The contender and incarnation that held the lease under each epoch.
    epoch_holders: BTreeMap<Epoch, (usize, u64)>,
    /// Whether an epoch was granted that is not newer than all epochs granted before.
    epoch_regressed: bool,
}

/// The identity of an incarnation of a contender.
fn holder(contender: usize, incarnation: u64) -> Holder {
    Holder { address: ([127, 0, 0, 1 + contender as u8], 7946).into(), instance_id: incarnation }
}

impl LeaseModel {
    /// What a clock of this rate shows at a true time.
    fn clock(&self, rate: u64, time: u64) -> Micros {
        Micros(START_TIME_US + rate * time * TIME_UNIT_US)
    }

    /// A contender as it starts.
    fn start_contender(&self, contender: usize, incarnation: u64) -> Claim {
        let terms = Terms { voter: MAX_TERM, holder: Micros(self.holder_term * TIME_UNIT_US) };
        Claim::new(holder(contender, incarnation), self.assumed_voters, terms)
    }

    /// Whether a contender believes that it holds the lease.
    fn holds(&self, state: &State, contender: usize) -> bool {
        let now = self.clock(self.contender_clock_rates[contender], state.time);
        state.contenders[contender].held(now).is_some()
    }

    /// Sends a contender's message to all voters.
    fn send_to_voters(&self, state: &mut State, contender: usize, ask: Ask) {
        let voters = 0..self.voter_clock_rates.len();
        state.in_flight.extend(voters.map(|v| Packet::ToVoter(contender, v, ask)));
    }

    /// A voter as it restarts.
    fn restart_voter(&self, voter: usize, time: u64) -> Voter {
        let now = self.clock(self.voter_clock_rates[voter], time);
        match self.silent_after_restart {
            true => Voter::new(now),
            false => Voter::new(Micros(now.0 - MAX_TERM.0)),
        }
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = LeaseAction;

    fn init_states(&self) -> Vec<State> {
        let count = self.contender_clock_rates.len();
        // The voters started a term ago, so that they are no longer silent.
        let started = |rate: &u64| Voter::new(self.clock(*rate, 0) - MAX_TERM);
        let voters = self.voter_clock_rates.iter().map(started);
        vec![State {
            time: 0,
            voters: voters.collect(),
            contenders: (0..count).map(|c| self.start_contender(c, 0)).collect(),
            incarnations: vec![0; count],
            requests: vec![0; count],
            in_flight: BTreeSet::new(),
            restarts: 0,
            acting_until: vec![0; count],
            epoch_holders: BTreeMap::new(),
            epoch_regressed: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<LeaseAction>) {
        if state.time < self.max_time {
            actions.push(LeaseAction::AdvanceTime);
        }
        for contender in 0..self.contender_clock_rates.len() {
            if state.requests[contender] < self.max_requests {
                actions.push(LeaseAction::Request(contender));
            }
            if self.acts_and_releases && self.holds(state, contender) {
                actions.push(LeaseAction::Release(contender));
                actions.push(LeaseAction::Act(contender));
            }
        }
        actions.extend(state.in_flight.iter().map(|p| LeaseAction::Deliver(*p)));
        if state.restarts < self.max_restarts {
            actions.extend((0..self.voter_clock_rates.len()).map(LeaseAction::RestartVoter));
            actions.extend((0..self.contender_clock_rates.len()).map(LeaseAction::RestartContender));
        }
    }

    fn next_state(&self, last: &State, action: LeaseAction) -> Option<State> {
        let mut state = last.clone();
        match action {
            LeaseAction::AdvanceTime => state.time += 1,
            LeaseAction::Request(contender) => {
                state.requests[contender] += 1;
                let now = self.clock(self.contender_clock_rates[contender], state.time);
                let ask = state.contenders[contender].ask(now);
                self.send_to_voters(&mut state, contender, ask);
            }
            LeaseAction::Release(contender) => {
                let now = self.clock(self.contender_clock_rates[contender], state.time);
                if let Some(ask) = state.contenders[contender].release(now) {
                    self.send_to_voters(&mut state, contender, ask);
                }
            }
            LeaseAction::Act(contender) => {
                let now = self.clock(self.contender_clock_rates[contender], state.time);
                if state.contenders[contender].may_act(now, Micros(TIME_UNIT_US)) {
                    state.acting_until[contender] = state.time + 1;
                }
            }
            LeaseAction::Deliver(Packet::ToVoter(contender, voter, ask)) => {
                let incarnation = match ask {
                    Ask::Prepare(b) | Ask::Propose(b, ..) => b.proposer.instance_id,
                    Ask::Release(h, _) => h.instance_id,
                };
                let now = self.clock(self.voter_clock_rates[voter], state.time);
                if let Some(answer) = state.voters[voter].handle(now, TASK, ask) {
                    state.in_flight.insert(Packet::ToContender(voter, contender, incarnation, answer));
                }
            }
            LeaseAction::Deliver(Packet::ToContender(voter, contender, incarnation, answer)) => {
                if state.incarnations[contender] == incarnation {
                    let now = self.clock(self.contender_clock_rates[contender], state.time);
                    let held = self.holds(&state, contender);
                    match state.contenders[contender].handle(now, voter, answer) {
                        Step::Ask(ask) => self.send_to_voters(&mut state, contender, ask),
                        Step::Held(epoch) if !held => {
                            let newest = state.epoch_holders.last_key_value().map(|(e, _)| *e);
                            state.epoch_regressed |= newest.is_some_and(|n| epoch <= n);
                            state.epoch_holders.insert(epoch, (contender, incarnation));
                        }
                        _ => {}
                    }
                }
            }
            LeaseAction::RestartVoter(voter) => {
                state.restarts += 1;
                state.voters[voter] = self.restart_voter(voter, state.time);
            }
            LeaseAction::RestartContender(contender) => {
                state.restarts += 1;
                state.incarnations[contender] += 1;
                state.contenders[contender] = self.start_contender(contender, state.incarnations[contender]);
            }
        }
        // Answers to an earlier ballot or incarnation are dropped to reduce the number of states: ballots only increase,
        // so they have no effect now or later.
        let State { in_flight, contenders, incarnations, .. } = &mut state;
        in_flight.retain(|p| match p {
            Packet::ToVoter(..) => true,
            Packet::ToContender(_, contender, incarnation, answer) => {
                let (Answer::Promised(of, _)
                | Answer::Accepted(of)
                | Answer::Held(of, ..)
                | Answer::Superseded(of, _)) = answer;
                incarnations[*contender] == *incarnation && contenders[*contender].ballot() == Some(*of)
            }
        });
        Some(state).filter(|s| s != last)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // At any true time, at most one contender believes that it holds the lease.
            Property::always("at most one holder", |model: &LeaseModel, state| {
                (0..model.contender_clock_rates.len()).filter(|c| model.holds(state, *c)).count() <= 1
            }),
            // An act that was begun under a lease ends before another contender's act begins.
            Property::always("acts do not overlap", |_, state: &State| {
                state.acting_until.iter().filter(|end| **end > state.time).count() <= 1
            }),
            // Each grant of the lease has a newer epoch than all grants before.
            Property::always("epochs increase", |_, state: &State| !state.epoch_regressed),
            // The lease can be obtained, and by one contender after another; otherwise the properties above would hold
            // only because there is never a holder.
            Property::sometimes("the first contender holds the lease", |model: &LeaseModel, state| {
                model.holds(state, 0)
            }),
            Property::sometimes("two contenders have held the lease", |_, state: &State| {
                state.epoch_holders.values().map(|(c, _)| c).collect::<BTreeSet<_>>().len() > 1
            }),
        ]
    }
}

/// Explores the model by random walks from its initial state, each of up to `steps` actions, determined by the seed.
/// Returns the first `always` property that is violated, with the actions that led to it. The checker's own simulation
/// is not used because it does not cope with actions that change nothing.
pub fn random_walk(
    model: &LeaseModel,
    seed: u64,
    walks: usize,
    steps: usize,
) -> Option<(&'static str, Vec<LeaseAction>)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let properties = model.properties();
    let always = || properties.iter().filter(|p| matches!(p.expectation, Expectation::Always));
    for _ in 0..walks {
        let (mut state, mut trace) = (model.init_states().remove(0), Vec::new());
        for _ in 0..steps {
            let mut actions = Vec::new();
            model.actions(&state, &mut actions);
            let Some(action) = actions.choose(&mut rng) else { break };
            let Some(next) = model.next_state(&state, *action) else { continue };
            trace.push(*action);
            state = next;
            if let Some(violated) = always().find(|p| !(p.condition)(model, &state)) {
                return Some((violated.name, trace));
            }
        }
    }
    None
}

/// The form in which the steps to a violation are printed.
impl fmt::Display for LeaseAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseAction::AdvanceTime => write!(f, "time advances by a unit"),
            LeaseAction::Request(c) => write!(f, "contender {c} requests the lease"),
            LeaseAction::Release(c) => write!(f, "contender {c} releases the lease"),
            LeaseAction::Act(c) => write!(f, "contender {c} acts"),
            LeaseAction::Deliver(Packet::ToVoter(c, v, ask)) => {
                write!(f, "voter {v} receives from contender {c}: {ask:?}")
            }
            LeaseAction::Deliver(Packet::ToContender(v, c, _, answer)) => {
                write!(f, "contender {c} receives from voter {v}: {answer:?}")
            }
            LeaseAction::RestartVoter(v) => write!(f, "voter {v} restarts"),
            LeaseAction::RestartContender(c) => write!(f, "contender {c} restarts"),
        }
    }
}
