//! What many gateways do together: the sum of their sends, at 1, 6, 70 and 280 gateways.

mod common;

use common::*;
use petreldock::interface::*;
use petreldock::Controller;

const SECOND: u64 = 1_000_000;
const STEP: u64 = 20_000;

/// Gateways that see the same servers, each on its own.
struct Fleet {
    gateways: Vec<Controller>,
    now: u64,
    next: u64,
}

impl Fleet {
    fn new(balancers: u32, servers: u64) -> Fleet {
        let set = Settings { balancers, ..settings() };
        let new = |seed| Controller::new(set.clone(), u64::from(seed), Micros(0)).expect("sane");
        let mut fleet = Fleet { gateways: (0..balancers).map(new).collect(), now: 10 * SECOND, next: 0 };
        let entries = (0..servers).map(|s| entry(s, None)).collect();
        fleet.tell(Event::List(ListKind::Saved, entries));
        fleet
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateways.iter_mut().for_each(|g| g.handle(Micros(self.now), event.clone(), &mut actions));
    }

    fn lines(&mut self, server: u64, free: f64, size: f64) {
        let report = Report { free: Some(free), size: Some(size), ..Report::default() };
        self.tell(Event::Probed(ServerId(server), Outcome::Success, report));
    }

    /// A call at one gateway; where it went. With `answer`, what becomes of the send.
    fn dial(&mut self, gateway: usize, place: i64, answer: Option<Outcome>) -> Option<u64> {
        self.next += 1;
        let id = CallId(self.next);
        let call = NewCall { id, deadline: Micros(self.now + 3 * SECOND), ..new_call(self.next, place) };
        let mut actions = Vec::new();
        let (at, now) = (&mut self.gateways[gateway], Micros(self.now));
        at.handle(now, Event::Call(call), &mut actions);
        let server = actions.iter().find_map(|a| match a {
            Action::Send(_, server, _) => Some(*server),
            _ => None,
        })?;
        match answer {
            Some(Outcome::Success) => {
                at.handle(now, Event::Established(id, server, 0, Micros(40_000)), &mut actions)
            }
            Some(outcome) => {
                let (over, number_busy, report) = (true, false, Report::default());
                let end = AttemptEnd { id, attempt: 0, server, outcome, over, number_busy, report };
                at.handle(now, Event::Ended(end), &mut actions);
            }
            None => {}
        }
        Some(server.0)
    }

    /// Every gateway dials once in each step; the times of the sends to `watched`.
    fn crowd(&mut self, place: i64, watched: u64, steps: u64, answer: Option<Outcome>) -> Vec<u64> {
        let mut sends = Vec::new();
        for _ in 0..steps {
            self.now += STEP;
            for gateway in 0..self.gateways.len() {
                if self.dial(gateway, place, answer) == Some(watched) {
                    sends.push(self.now);
                }
            }
        }
        sends
    }
}

fn entry(server: u64, born: Option<Micros>) -> Entry {
    Entry { server: ServerId(server), place: server as i64, phase: Phase::Up, born, phase_since: None }
}

/// The most sends within any window of this length.
fn most_in(sends: &[u64], window: u64) -> usize {
    sends.iter().map(|t| sends.iter().filter(|u| *u >= t && **u < t + window).count()).max().unwrap_or(0)
}

#[test]
fn the_cold_budget_holds_for_the_sum_of_all_gateways() {
    for balancers in [1, 6, 70, 280] {
        let mut fleet = Fleet::new(balancers, 1);
        // 640 calls of eight seconds: it carried 80 a second, 32 when it starts.
        fleet.lines(0, 160.0, 800.0);
        fleet.now += 10 * SECOND;
        let born = Some(Micros(fleet.now));
        fleet.tell(Event::List(ListKind::Changes, vec![entry(0, born)]));
        let sends = fleet.crowd(0, 0, 150, Some(Outcome::Success));
        // Multiple 3 x 0.4 x 80 a second, in 1.5 s.
        let worst = most_in(&sends, 1_500_000);
        assert!(worst <= 144, "{balancers} gateways: {worst} in a window, from its start");
        assert!(worst >= 40, "{balancers} gateways: {worst} in a window leave the budget unused");
    }
}

#[test]
fn turns_left_unused_while_a_server_is_closed_lapse() {
    let mut fleet = Fleet::new(280, 1);
    fleet.lines(0, 160.0, 800.0);
    fleet.now += 10 * SECOND;
    let born = Some(Micros(fleet.now));
    fleet.tell(Event::List(ListKind::Changes, vec![entry(0, born)]));
    fleet.lines(0, 800.0, 800.0);
    fleet.now += 6 * SECOND;
    let sends = fleet.crowd(0, 0, 75, Some(Outcome::Success));
    let worst = most_in(&sends, 1_500_000);
    assert!(worst <= 144, "{worst} in a window after six seconds without a send");
}

#[test]
fn a_dead_server_gets_few_trials_of_all_gateways_together() {
    for balancers in [6, 70, 280] {
        let mut fleet = Fleet::new(balancers, 2);
        fleet.crowd(0, 0, 5, Some(Outcome::Unreachable));
        let trials = fleet.crowd(0, 0, 500, Some(Outcome::Unreachable)).len();
        assert!(trials <= 160, "{balancers} gateways: {trials} trials in 10 s");
        assert!(trials >= 5, "{balancers} gateways: {trials} trials in 10 s find no return");
    }
}

#[test]
fn a_server_at_work_is_not_shut_for_one_lost_answer() {
    let mut fleet = Fleet::new(280, 2);
    let mut free = 160.0;
    for _ in 0..4 {
        fleet.lines(0, free, 800.0);
        free -= 1.0;
        fleet.now += SECOND;
    }
    assert_eq!(fleet.dial(7, 0, Some(Outcome::Broken)), Some(0));
    fleet.now += SECOND;
    fleet.lines(0, free, 800.0);
    assert_eq!(fleet.dial(7, 0, None), Some(0), "the lines told show that it answers others");
}

#[test]
fn diverted_calls_do_not_flood_a_small_server() {
    for balancers in [6, 70, 280] {
        let mut fleet = Fleet::new(balancers, 2);
        fleet.tell(Event::List(ListKind::Changes, vec![Entry { phase: Phase::Draining, ..entry(0, None) }]));
        // 160 lines of which 80 are taken: ten calls a second end, and ten more would fill it.
        fleet.lines(1, 80.0, 160.0);
        fleet.now += SECOND;
        fleet.lines(1, 80.0, 160.0);
        let sends = fleet.crowd(0, 1, 50, Some(Outcome::Success)).len();
        // Four turns for each of the twenty a second, and those saved up over two seconds.
        assert!(sends <= 250, "{balancers} gateways: {sends} diverted in a second to 80 free lines");
        assert!(sends >= 5, "{balancers} gateways: {sends} diverted in a second leave its room unused");
    }
}
