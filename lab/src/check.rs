//! The leases' real machines, explored: every order of messages, losses, doubles, restarts and clock rates within
//! bounds. The properties stand in [`Lease::properties`], in words beside each.

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

/// A term is four of these by a voter's clock.
const UNIT: u64 = MAX_TERM.0 / 4;
const TASK: Task = Task::Bounded(BoundedTask::Probe(1));
/// The Unix time at which a run starts.
const START: u64 = 1_700_000_000_000_000;

/// What is explored, and how far.
#[derive(Clone, Debug)]
pub struct Lease {
    /// How many units each voter's clock shows in one of true time, ...
    pub voters: Vec<u64>,
    /// ... and each contender's.
    pub claims: Vec<u64>,
    /// A holder's term in units; a voter's is four.
    pub holder: u64,
    /// True time goes on so far.
    pub time: u64,
    /// Each contender asks so often.
    pub asks: u64,
    /// Voters and contenders start anew so often, all together.
    pub restarts: u8,
    /// The majority as the contender reckons it is of so many; others than there are show that the check can fail.
    pub counted: usize,
    /// A voter that starts is silent, as it must be.
    pub silent: bool,
    /// Contenders give up and act, too. Without, there are far fewer states.
    pub acts: bool,
}

/// A message under way. It may come any number of times, or never.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Packet {
    /// From a contender to a voter.
    Ask(usize, usize, Ask),
    /// From a voter to a life of a contender.
    Answer(usize, usize, u64, Answer),
}

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Happens {
    /// True time goes on by a unit.
    Time,
    /// A contender asks, for the lease or its renewal.
    Asks(usize),
    /// A contender gives the lease up.
    Releases(usize),
    /// A message comes.
    Comes(Packet),
    /// A contender acts for a unit of true time, having looked at its lease.
    Acts(usize),
    /// A voter starts anew and has forgotten everything.
    VoterStarts(usize),
    /// So does a contender.
    ClaimStarts(usize),
}

/// Everything, at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    time: u64,
    voters: Vec<Voter>,
    claims: Vec<Claim>,
    lives: Vec<u64>,
    asked: Vec<u64>,
    net: BTreeSet<Packet>,
    restarts: u8,
    /// Until when each contender's act lasts, by true time.
    acting: Vec<u64>,
    /// Which life of which contender had which epoch.
    epochs: BTreeMap<Epoch, (usize, u64)>,
    /// An epoch was granted that is not newer than one that another had before.
    stepped_back: bool,
}

fn holder(claim: usize, life: u64) -> Holder {
    Holder { address: ([127, 0, 0, 1 + claim as u8], 7946).into(), instance_id: life }
}

impl Lease {
    fn clock(&self, rate: u64, time: u64) -> Micros {
        Micros(START + rate * time * UNIT)
    }

    fn claim(&self, claim: usize, life: u64) -> Claim {
        let terms = Terms { voter: MAX_TERM, holder: Micros(self.holder * UNIT) };
        Claim::new(holder(claim, life), self.counted, terms)
    }

    fn holds(&self, state: &State, claim: usize) -> bool {
        state.claims[claim].held(self.clock(self.claims[claim], state.time)).is_some()
    }

    fn ask(&self, state: &mut State, claim: usize, ask: Ask) {
        state.net.extend((0..self.voters.len()).map(|v| Packet::Ask(claim, v, ask)));
    }

    fn voter(&self, voter: usize, time: u64) -> Voter {
        let now = self.clock(self.voters[voter], time);
        match self.silent {
            true => Voter::new(now),
            false => Voter::new(Micros(now.0 - MAX_TERM.0)),
        }
    }
}

impl Model for Lease {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        let count = self.claims.len();
        // Voters have been there for long: their silence is over.
        let voters = (0..self.voters.len()).map(|v| Voter::new(self.clock(self.voters[v], 0) - MAX_TERM));
        vec![State {
            time: 0,
            voters: voters.collect(),
            claims: (0..count).map(|c| self.claim(c, 0)).collect(),
            lives: vec![0; count],
            asked: vec![0; count],
            net: BTreeSet::new(),
            restarts: 0,
            acting: vec![0; count],
            epochs: BTreeMap::new(),
            stepped_back: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Happens>) {
        if state.time < self.time {
            actions.push(Happens::Time);
        }
        for claim in 0..self.claims.len() {
            if state.asked[claim] < self.asks {
                actions.push(Happens::Asks(claim));
            }
            if self.acts && self.holds(state, claim) {
                actions.push(Happens::Releases(claim));
                actions.push(Happens::Acts(claim));
            }
        }
        actions.extend(state.net.iter().map(|p| Happens::Comes(*p)));
        if state.restarts < self.restarts {
            actions.extend((0..self.voters.len()).map(Happens::VoterStarts));
            actions.extend((0..self.claims.len()).map(Happens::ClaimStarts));
        }
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let mut state = last.clone();
        match action {
            Happens::Time => state.time += 1,
            Happens::Asks(claim) => {
                state.asked[claim] += 1;
                let ask = state.claims[claim].ask(self.clock(self.claims[claim], state.time));
                self.ask(&mut state, claim, ask);
            }
            Happens::Releases(claim) => {
                let now = self.clock(self.claims[claim], state.time);
                if let Some(ask) = state.claims[claim].release(now) {
                    self.ask(&mut state, claim, ask);
                }
            }
            Happens::Acts(claim) => {
                let now = self.clock(self.claims[claim], state.time);
                if state.claims[claim].may_act(now, Micros(UNIT)) {
                    state.acting[claim] = state.time + 1;
                }
            }
            Happens::Comes(Packet::Ask(claim, voter, ask)) => {
                let by = match ask {
                    Ask::Prepare(b) | Ask::Propose(b, ..) => b.proposer.instance_id,
                    Ask::Release(h, _) => h.instance_id,
                };
                let now = self.clock(self.voters[voter], state.time);
                if let Some(answer) = state.voters[voter].handle(now, TASK, ask) {
                    state.net.insert(Packet::Answer(voter, claim, by, answer));
                }
            }
            Happens::Comes(Packet::Answer(voter, claim, life, answer)) => {
                if state.lives[claim] == life {
                    let now = self.clock(self.claims[claim], state.time);
                    let held = self.holds(&state, claim);
                    match state.claims[claim].handle(now, voter, answer) {
                        Step::Ask(ask) => self.ask(&mut state, claim, ask),
                        Step::Held(epoch) if !held => {
                            let this = (claim, life);
                            let newest = state.epochs.last_key_value().map(|(e, _)| *e);
                            state.stepped_back |= newest.is_some_and(|n| epoch <= n);
                            state.epochs.insert(epoch, this);
                        }
                        _ => {}
                    }
                }
            }
            Happens::VoterStarts(voter) => {
                state.restarts += 1;
                state.voters[voter] = self.voter(voter, state.time);
            }
            Happens::ClaimStarts(claim) => {
                state.restarts += 1;
                state.lives[claim] += 1;
                state.claims[claim] = self.claim(claim, state.lives[claim]);
            }
        }
        // Answers to what is asked no more change nothing, now or later: rounds only grow.
        let State { net, claims, lives, .. } = &mut state;
        net.retain(|p| match p {
            Packet::Ask(..) => true,
            Packet::Answer(_, claim, life, answer) => {
                let (Answer::Promised(of, _)
                | Answer::Accepted(of)
                | Answer::Held(of, ..)
                | Answer::Superseded(of, _)) = answer;
                lives[*claim] == *life && claims[*claim].ballot() == Some(*of)
            }
        });
        Some(state).filter(|s| s != last)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // At no moment of true time do two contenders believe that they hold the lease.
            Property::always("one holder", |model: &Lease, state| {
                (0..model.claims.len()).filter(|c| model.holds(state, *c)).count() <= 1
            }),
            // No act that was begun under a lease is still going on while another's is.
            Property::always("acts do not overlap", |_, state: &State| {
                state.acting.iter().filter(|end| **end > state.time).count() <= 1
            }),
            // Whoever gets the lease gets it under a newer epoch than all before.
            Property::always("epochs grow", |_, state: &State| !state.stepped_back),
            // It can be had at all, by each, also one after the other: else the others would hold for want of holders.
            Property::sometimes("somebody holds it", |model: &Lease, state| model.holds(state, 0)),
            Property::sometimes("both have held it", |_, state: &State| {
                state.epochs.values().map(|(c, _)| c).collect::<BTreeSet<_>>().len() > 1
            }),
        ]
    }
}

/// Walks at random from the start, so many times so many steps; the first property that breaks, and how. The same
/// seed is the same walk. The checker's own walks stumble over steps that change nothing.
pub fn walk(model: &Lease, seed: u64, walks: usize, steps: usize) -> Option<(&'static str, Vec<Happens>)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let properties = model.properties();
    let always = || properties.iter().filter(|p| matches!(p.expectation, Expectation::Always));
    for _ in 0..walks {
        let (mut state, mut events) = (model.init_states().remove(0), Vec::new());
        for _ in 0..steps {
            let mut actions = Vec::new();
            model.actions(&state, &mut actions);
            let Some(action) = actions.choose(&mut rng) else { break };
            let Some(next) = model.next_state(&state, *action) else { continue };
            events.push(*action);
            state = next;
            if let Some(broken) = always().find(|p| !(p.condition)(model, &state)) {
                return Some((broken.name, events));
            }
        }
    }
    None
}

/// A run as readable events with their times.
impl fmt::Display for Happens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Happens::Time => write!(f, "a unit of time passes"),
            Happens::Asks(c) => write!(f, "contender {c} asks"),
            Happens::Releases(c) => write!(f, "contender {c} gives up"),
            Happens::Acts(c) => write!(f, "contender {c} acts"),
            Happens::Comes(Packet::Ask(c, v, ask)) => write!(f, "voter {v} hears {c}: {ask:?}"),
            Happens::Comes(Packet::Answer(v, c, _, answer)) => write!(f, "{c} hears voter {v}: {answer:?}"),
            Happens::VoterStarts(v) => write!(f, "voter {v} starts anew"),
            Happens::ClaimStarts(c) => write!(f, "contender {c} starts anew"),
        }
    }
}
