//! Property test of the decision module. Random sequences of legal events, from fixed seeds, must break none
//! of these sending rules: (1) one final answer, in time; (2) one attempt at a time; (3) no call to a draining
//! server; (5) the wait for a release. No ended call may stay in memory.

mod common;

use common::*;
use petreldock::interface::*;
use petreldock::Controller;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// The expected state of a call.
#[derive(Default)]
struct ExpectedCall {
    deadline: u64,
    in_flight: Option<(u64, u32)>,
    established: bool,
    answered: bool,
    attempts: u32,
    retry_at: u64,
}

/// A simulated environment that feeds legal events to a controller and checks every action.
struct Environment {
    controller: Controller,
    settings: Settings,
    now: u64,
    calls: BTreeMap<u64, ExpectedCall>,
    up: BTreeMap<u64, bool>,
    timers: Vec<(u64, u64)>,
    next_id: u64,
}

impl Environment {
    fn new(settings: Settings, seed: u64) -> Environment {
        let controller = Controller::new(settings.clone(), seed, Micros(0)).expect("valid settings");
        let (calls, up) = (BTreeMap::new(), BTreeMap::new());
        Environment { controller, settings, now: 0, calls, up, timers: Vec::new(), next_id: 0 }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(Micros(self.now), event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send(id, server, timeout) => {
                let call = self.calls.get_mut(&id.0).expect("a known call");
                assert!(!call.answered && !call.established, "rule 1: no send for a call that is over");
                assert!(self.now + timeout.0 <= call.deadline, "rule 1: before the deadline");
                assert!(call.in_flight.is_none(), "rule 2: one attempt at a time");
                assert_eq!(
                    self.up.get(&server.0),
                    Some(&true),
                    "rule 3: no send to a draining or removed server"
                );
                assert!(self.now >= call.retry_at, "rule 5: no send before the release");
                assert!(call.attempts < self.settings.max_attempts, "rule 2: no more attempts than allowed");
                call.in_flight = Some((server.0, call.attempts));
                call.attempts += 1;
            }
            Action::Refuse(id, _) | Action::Fail(id) => {
                let call = self.calls.get_mut(&id.0).expect("a known call");
                assert!(!call.answered && !call.established, "rule 1: one final answer");
                assert!(self.now <= call.deadline, "rule 1: before the deadline");
                call.answered = true;
            }
            Action::Cancel(id, attempt) => {
                assert!(self.settings.may_cancel);
                assert_eq!(
                    self.calls[&id.0].in_flight.map(|o| o.1),
                    Some(attempt),
                    "only the attempt in flight is cancelled"
                );
            }
            Action::Timer(_, at, token) => self.timers.push((at.0, token)),
            Action::SendToPeer(peer, bytes) => {
                assert!(
                    self.settings.may_message_peers
                        && peer < self.settings.balancers
                        && peer != self.settings.index
                );
                assert!(bytes.len() <= 256);
            }
            Action::Subscribe => assert!(self.settings.must_subscribe),
        }
    }

    fn list_server(&mut self, server: u64, phase: Phase, born: u64) {
        self.up.insert(server, phase == Phase::Up);
        let born = Some(Micros(born)).filter(|b| b.0 > 0);
        let entry =
            Entry { server: ServerId(server), place: (server % 3) as i64, phase, born, phase_since: None };
        self.handle(Event::List(ListKind::Changes, vec![entry]));
    }

    fn start_call(&mut self, place: i64, number: u64, returned: bool) {
        let (id, deadline) = (self.next_id, self.now + 3_000_000);
        self.next_id += 1;
        self.calls.insert(id, ExpectedCall { deadline, ..ExpectedCall::default() });
        let class = (id % self.settings.classes.len() as u64) as usize;
        let request = NewCall {
            number: Some(number),
            returned,
            deadline: Micros(deadline),
            class,
            ..new_call(id, place)
        };
        self.handle(Event::Call(request));
    }

    fn end_attempt(&mut self, pick: usize, outcome: Outcome, report: Report) {
        let in_flight: Vec<u64> =
            self.calls.iter().filter(|(_, c)| c.in_flight.is_some()).map(|(i, _)| *i).collect();
        let Some(id) = in_flight.get(pick % in_flight.len().max(1)).copied() else { return };
        let now = self.now;
        let call = self.calls.get_mut(&id).expect("in flight");
        let (server, attempt) = call.in_flight.take().expect("in flight");
        let awaits_release = matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::Withdrawn);
        let over = call.answered || call.established || outcome == Outcome::Success;
        if awaits_release {
            call.retry_at = now + self.settings.release.0;
        }
        call.answered |= over;
        let (id, server) = (CallId(id), ServerId(server));
        let number_busy = outcome == Outcome::Failure;
        self.handle(Event::Ended(AttemptEnd { id, attempt, server, outcome, over, number_busy, report }));
    }

    fn establish(&mut self, pick: usize) {
        let pending: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| c.in_flight.is_some() && !c.established && !c.answered)
            .map(|(i, _)| *i)
            .collect();
        let Some(id) = pending.get(pick % pending.len().max(1)).copied() else { return };
        let call = self.calls.get_mut(&id).expect("pending");
        call.established = true;
        let (server, attempt) = call.in_flight.expect("in flight");
        self.handle(Event::Established(CallId(id), ServerId(server), attempt, Micros(40_000)));
    }

    /// Advances time and fires each timer when it is due; then no call may be unanswered past its deadline.
    fn advance(&mut self, by: u64) {
        let until = self.now + by;
        loop {
            self.timers.sort_unstable();
            let due = self.timers.first().copied().filter(|(at, _)| *at <= until);
            let Some((at, token)) = due else { break };
            self.timers.remove(0);
            self.now = self.now.max(at);
            self.handle(Event::Timer(token));
        }
        self.now = until;
        for (id, call) in &self.calls {
            assert!(
                call.answered || call.established || call.deadline >= self.now,
                "rule 1: call {id} got no answer by its deadline"
            );
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Call(i64, u64, bool),
    Advance(u64),
    List(u64, Phase, u64),
    End(usize, Outcome, Option<u64>, Option<f64>, f64),
    Establish(usize),
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
    let hold_back = prop_oneof![Just(None), (0.0..1.2f64).prop_map(Some), Just(Some(f64::MAX))];
    prop_oneof![
        6 => (0..4i64, 0..20u64, any::<bool>()).prop_map(|(p, n, r)| Step::Call(p, n, r)),
        4 => (1..400_000u64).prop_map(Step::Advance),
        1 => (0..6u64, phase, 0..9_000_000u64).prop_map(|(s, p, b)| Step::List(s, p, b)),
        3 => (0..50usize, outcome, wait, hold_back, -1.0..40.0f64)
            .prop_map(|(k, o, w, h, f)| Step::End(k, o, w, h, f)),
        3 => (0..50usize).prop_map(Step::Establish),
    ]
}

fn run_steps(settings: &Settings, steps: &[Step], seed: u64) {
    let mut environment = Environment::new(settings.clone(), seed);
    for server in 0..3 {
        environment.list_server(server, Phase::Up, 0);
    }
    for step in steps {
        match step.clone() {
            Step::Call(place, number, returned) => environment.start_call(place, number, returned),
            Step::Advance(by) => environment.advance(by),
            Step::List(server, phase, born) => environment.list_server(server, phase, born),
            Step::End(pick, outcome, wait, hold_back, free) => {
                let wait = wait.map(Micros);
                let report =
                    Report { wait, hold_back, free: Some(free), size: Some(30.0), ..Report::default() };
                environment.end_attempt(pick, outcome, report);
            }
            Step::Establish(pick) => environment.establish(pick),
        }
    }
    environment.advance(20_000_000);
    while environment.calls.values().any(|c| c.in_flight.is_some()) {
        environment.end_attempt(0, Outcome::Success, Report::default());
    }
    let (calls, servers, numbers) = environment.controller.tracked_counts();
    assert_eq!(calls, 0, "no ended call is kept");
    assert!(servers <= 6 && numbers <= 64);
}

#[test]
fn no_rule_is_broken_by_random_events() {
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
    for settings in variants {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
        let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
        let steps = proptest::collection::vec(step(), 1..300);
        TestRunner::new_with_rng(config, rng)
            .run(&(steps, any::<u64>()), |(steps, seed)| {
                run_steps(&settings, &steps, seed);
                Ok(())
            })
            .expect("no rule is broken");
    }
}
