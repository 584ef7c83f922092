//! The five rules and the module's memory under random legal events, with fixed seeds.

mod common;

use common::*;
use petreldock::interface::*;
use petreldock::Controller;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// What the world remembers of a call.
#[derive(Default)]
struct Known {
    deadline: u64,
    out: Option<(u64, u32)>,
    standing: bool,
    answered: bool,
    sent: u32,
    not_before: u64,
}

/// A small world that plays legal events and checks every action.
struct World {
    gateway: Controller,
    set: Settings,
    now: u64,
    calls: BTreeMap<u64, Known>,
    up: BTreeMap<u64, bool>,
    timers: Vec<(u64, u64)>,
    next: u64,
}

impl World {
    fn new(set: Settings, seed: u64) -> World {
        let gateway = Controller::new(set.clone(), seed, Micros(0)).expect("sane settings");
        let (calls, up) = (BTreeMap::new(), BTreeMap::new());
        World { gateway, set, now: 0, calls, up, timers: Vec::new(), next: 0 }
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(Micros(self.now), event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send(id, server, timeout) => {
                let call = self.calls.get_mut(&id.0).expect("a call that was given");
                assert!(!call.answered && !call.standing, "rule 1: a send for a call that is over");
                assert!(self.now + timeout.0 <= call.deadline, "rule 1: in time");
                assert!(call.out.is_none(), "rule 2: one attempt out");
                assert_eq!(self.up.get(&server.0), Some(&true), "rule 3: drains");
                assert!(self.now >= call.not_before, "rule 5: release");
                assert!(call.sent < self.set.max_attempts, "attempts");
                call.out = Some((server.0, call.sent));
                call.sent += 1;
            }
            Action::Refuse(id, _) | Action::Fail(id) => {
                let call = self.calls.get_mut(&id.0).expect("a call that was given");
                assert!(!call.answered && !call.standing, "rule 1: one final answer");
                assert!(self.now <= call.deadline, "rule 1: in time");
                call.answered = true;
            }
            Action::Cancel(id, attempt) => {
                assert!(self.set.may_cancel);
                assert_eq!(self.calls[&id.0].out.map(|o| o.1), Some(attempt), "cancels what is out");
            }
            Action::Timer(at, token) => self.timers.push((at.0, token)),
            Action::SendToPeer(peer, bytes) => {
                assert!(self.set.may_message_peers && peer < self.set.balancers && peer != self.set.index);
                assert!(bytes.len() <= 256);
            }
            Action::Subscribe => assert!(self.set.must_subscribe),
        }
    }

    fn list(&mut self, server: u64, phase: Phase, born: u64) {
        self.up.insert(server, phase == Phase::Up);
        let born = Some(Micros(born)).filter(|b| b.0 > 0);
        let entry =
            Entry { server: ServerId(server), place: (server % 3) as i64, phase, born, phase_since: None };
        self.tell(Event::List(ListKind::Changes, vec![entry]));
    }

    fn call(&mut self, place: i64, number: u64, returned: bool) {
        let (id, deadline) = (self.next, self.now + 3_000_000);
        self.next += 1;
        self.calls.insert(id, Known { deadline, ..Known::default() });
        let class = (id % self.set.classes.len() as u64) as usize;
        let asked = NewCall {
            number: Some(number),
            returned,
            deadline: Micros(deadline),
            class,
            ..new_call(id, place)
        };
        self.tell(Event::Call(asked));
    }

    fn end(&mut self, pick: usize, outcome: Outcome, report: Report) {
        let out: Vec<u64> = self.calls.iter().filter(|(_, c)| c.out.is_some()).map(|(i, _)| *i).collect();
        let Some(id) = out.get(pick % out.len().max(1)).copied() else { return };
        let now = self.now;
        let call = self.calls.get_mut(&id).expect("is out");
        let (server, attempt) = call.out.take().expect("is out");
        let broken = matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::Withdrawn);
        let over = call.answered || call.standing || outcome == Outcome::Success;
        if broken {
            call.not_before = now + self.set.release.0;
        }
        call.answered |= over;
        let (id, server) = (CallId(id), ServerId(server));
        let number_busy = outcome == Outcome::Failure;
        self.tell(Event::Ended(AttemptEnd { id, attempt, server, outcome, over, number_busy, report }));
    }

    fn stand(&mut self, pick: usize) {
        let waiting: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| c.out.is_some() && !c.standing && !c.answered)
            .map(|(i, _)| *i)
            .collect();
        let Some(id) = waiting.get(pick % waiting.len().max(1)).copied() else { return };
        let call = self.calls.get_mut(&id).expect("waits");
        call.standing = true;
        let (server, attempt) = call.out.expect("is out");
        self.tell(Event::Established(CallId(id), ServerId(server), attempt, Micros(40_000)));
    }

    /// Passes time with every timer at its moment, and time-outs at the callers' deadlines.
    fn pass(&mut self, by: u64) {
        let until = self.now + by;
        loop {
            self.timers.sort_unstable();
            let due = self.timers.first().copied().filter(|(at, _)| *at <= until);
            let Some((at, token)) = due else { break };
            self.timers.remove(0);
            self.now = self.now.max(at);
            self.tell(Event::Timer(token));
        }
        self.now = until;
        for (id, call) in &self.calls {
            assert!(call.answered || call.standing || call.deadline >= self.now, "rule 1: call {id} is owed");
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Call(i64, u64, bool),
    Pass(u64),
    List(u64, Phase, u64),
    End(usize, Outcome, Option<u64>, Option<f64>, f64),
    Stand(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just(Outcome::Success),
        Just(Outcome::Failure),
        Just(Outcome::Overloaded),
        Just(Outcome::ProcessorFull),
        Just(Outcome::TimedOut),
        Just(Outcome::Unreachable),
        Just(Outcome::Broken),
        Just(Outcome::Withdrawn),
        Just(Outcome::Void),
    ];
    let phase = prop_oneof![3 => Just(Phase::Up), 1 => Just(Phase::Draining), 1 => Just(Phase::Gone)];
    let wait = prop_oneof![Just(None), (0..3_000_000u64).prop_map(Some), Just(Some(u64::MAX))];
    let share = prop_oneof![Just(None), (0.0..1.2f64).prop_map(Some), Just(Some(f64::MAX))];
    prop_oneof![
        6 => (0..4i64, 0..20u64, any::<bool>()).prop_map(|(p, n, r)| Step::Call(p, n, r)),
        4 => (1..400_000u64).prop_map(Step::Pass),
        1 => (0..6u64, phase, 0..9_000_000u64).prop_map(|(s, p, b)| Step::List(s, p, b)),
        3 => (0..50usize, outcome, wait, share, -1.0..40.0f64).prop_map(|(k, o, w, h, f)| Step::End(k, o, w, h, f)),
        3 => (0..50usize).prop_map(Step::Stand),
    ]
}

fn play(set: &Settings, steps: &[Step], seed: u64) {
    let mut world = World::new(set.clone(), seed);
    for server in 0..3 {
        world.list(server, Phase::Up, 0);
    }
    for step in steps {
        match step.clone() {
            Step::Call(place, number, returned) => world.call(place, number, returned),
            Step::Pass(by) => world.pass(by),
            Step::List(server, phase, born) => world.list(server, phase, born),
            Step::End(pick, outcome, wait, hold_back, free) => {
                let wait = wait.map(Micros);
                let report =
                    Report { wait, hold_back, free: Some(free), size: Some(30.0), ..Report::default() };
                world.end(pick, outcome, report);
            }
            Step::Stand(pick) => world.stand(pick),
        }
    }
    world.pass(20_000_000);
    while world.calls.values().any(|c| c.out.is_some()) {
        world.end(0, Outcome::Success, Report::default());
    }
    let (calls, servers, numbers) = world.gateway.tracked_counts();
    assert_eq!(calls, 0, "ended calls are forgotten");
    assert!(servers <= 6 && numbers <= 64);
}

#[test]
fn rules_hold_under_random_events() {
    let base = settings();
    let variants = [
        base.clone(),
        Settings { balancers: 3, may_message_peers: true, index: 2, ..base.clone() },
        Settings {
            balancers: 1,
            max_attempts: 1,
            may_message_peers: true,
            may_cancel: false,
            release: Micros(0),
            ..base.clone()
        },
        Settings { cold_from: 0.0, must_subscribe: true, ..base.clone() },
        Settings { own_place: Some(0), ..base },
    ];
    for set in variants {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
        let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
        let steps = proptest::collection::vec(step(), 1..300);
        TestRunner::new_with_rng(config, rng)
            .run(&(steps, any::<u64>()), |(steps, seed)| {
                play(&set, &steps, seed);
                Ok(())
            })
            .expect("the rules hold");
    }
}
