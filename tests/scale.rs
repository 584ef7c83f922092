//! Combined behaviour of many session controllers: the sum of their attempts with 1, 6, 70 and 280
//! controllers.

mod common;

use common::*;
use petreldock::interface::*;
use petreldock::Controller;

const SECOND: u64 = 1_000_000;
const STEP: u64 = 20_000;

/// Independent controllers that see the same hubs.
struct Controllers {
    controllers: Vec<Controller>,
    now: u64,
    next: u64,
}

impl Controllers {
    fn new(balancers: u32, hubs: u64) -> Controllers {
        let settings = Settings { balancers, ..settings() };
        let new =
            |seed| Controller::new(settings.clone(), u64::from(seed), Micros(0)).expect("valid settings");
        let mut controllers =
            Controllers { controllers: (0..balancers).map(new).collect(), now: 10 * SECOND, next: 0 };
        let entries = (0..hubs).map(|s| entry(s, None)).collect();
        controllers.handle(Event::List(ListKind::Saved, entries));
        controllers
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.controllers.iter_mut().for_each(|c| c.handle(Micros(self.now), event.clone(), &mut actions));
    }

    fn report_lines(&mut self, server: u64, free: f64, size: f64) {
        let report = Report { free: Some(free), size: Some(size), ..Report::default() };
        self.handle(Event::Probed(ServerId(server), Outcome::Success, report));
    }

    /// Offers a call to one controller and returns the hub that it is sent to. `outcome` is the end of the
    /// attempt, if any.
    fn offer_call(&mut self, controller: usize, place: i64, outcome: Option<Outcome>) -> Option<u64> {
        self.next += 1;
        let id = CallId(self.next);
        let call = NewCall { id, deadline: Micros(self.now + 3 * SECOND), ..new_call(self.next, place) };
        let mut actions = Vec::new();
        let (target, now) = (&mut self.controllers[controller], Micros(self.now));
        target.handle(now, Event::Call(call), &mut actions);
        let server = actions.iter().find_map(|a| match a {
            Action::Send(_, server, _) => Some(*server),
            _ => None,
        })?;
        match outcome {
            Some(Outcome::Success) => {
                target.handle(now, Event::Established(id, server, 0, Micros(40_000)), &mut actions)
            }
            Some(outcome) => {
                let (over, number_busy, report) = (true, false, Report::default());
                let end = AttemptEnd { id, attempt: 0, server, outcome, over, number_busy, report };
                target.handle(now, Event::Ended(end), &mut actions);
            }
            None => {}
        }
        Some(server.0)
    }

    /// Offers one call to every controller in each step and returns the times of the attempts at `watched`.
    fn offer_calls(&mut self, place: i64, watched: u64, steps: u64, outcome: Option<Outcome>) -> Vec<u64> {
        let mut sends = Vec::new();
        for _ in 0..steps {
            self.now += STEP;
            for controller in 0..self.controllers.len() {
                if self.offer_call(controller, place, outcome) == Some(watched) {
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

/// Returns the greatest number of attempts within any window of this length.
fn max_in_window(sends: &[u64], window: u64) -> usize {
    sends.iter().map(|t| sends.iter().filter(|u| *u >= t && **u < t + window).count()).max().unwrap_or(0)
}

#[test]
fn the_set_up_budget_of_a_cold_hub_holds_for_the_sum_of_all_controllers() {
    for balancers in [1, 6, 70, 280] {
        let mut controllers = Controllers::new(balancers, 1);
        // 640 calls of 8 s in progress mean that the hub carried 80 calls/s; after a start it carries 32
        // calls/s.
        controllers.report_lines(0, 160.0, 800.0);
        controllers.now += 10 * SECOND;
        let born = Some(Micros(controllers.now));
        controllers.handle(Event::List(ListKind::Changes, vec![entry(0, born)]));
        let sends = controllers.offer_calls(0, 0, 150, Some(Outcome::Success));
        // 144 attempts: an overload factor of 3 times 0.4 of 80 calls/s, over 1.5 s.
        let max_sends = max_in_window(&sends, 1_500_000);
        assert!(max_sends <= 144, "{balancers} controllers: {max_sends} in a window after the start");
        assert!(max_sends >= 40, "{balancers} controllers: {max_sends} in a window leave the budget unused");
    }
}

#[test]
fn unused_turns_do_not_accumulate_while_a_hub_takes_no_calls() {
    let mut controllers = Controllers::new(280, 1);
    controllers.report_lines(0, 160.0, 800.0);
    controllers.now += 10 * SECOND;
    let born = Some(Micros(controllers.now));
    controllers.handle(Event::List(ListKind::Changes, vec![entry(0, born)]));
    controllers.report_lines(0, 800.0, 800.0);
    controllers.now += 6 * SECOND;
    let sends = controllers.offer_calls(0, 0, 75, Some(Outcome::Success));
    let max_sends = max_in_window(&sends, 1_500_000);
    assert!(max_sends <= 144, "{max_sends} in a window after 6 s without an attempt");
}

#[test]
fn a_dead_hub_gets_few_trial_attempts_of_all_controllers_together() {
    for balancers in [6, 70, 280] {
        let mut controllers = Controllers::new(balancers, 2);
        controllers.offer_calls(0, 0, 5, Some(Outcome::Unreachable));
        let trials = controllers.offer_calls(0, 0, 500, Some(Outcome::Unreachable)).len();
        assert!(trials <= 160, "{balancers} controllers: {trials} trials in 10 s");
        assert!(
            trials >= 5,
            "{balancers} controllers: {trials} trials in 10 s are too few to notice that the hub is back"
        );
    }
}

#[test]
fn a_working_hub_is_not_excluded_for_one_lost_answer() {
    let mut controllers = Controllers::new(280, 2);
    let mut free = 160.0;
    for _ in 0..4 {
        controllers.report_lines(0, free, 800.0);
        free -= 1.0;
        controllers.now += SECOND;
    }
    assert_eq!(controllers.offer_call(7, 0, Some(Outcome::Broken)), Some(0));
    controllers.now += SECOND;
    controllers.report_lines(0, free, 800.0);
    assert_eq!(
        controllers.offer_call(7, 0, None),
        Some(0),
        "the lines reported show that the hub answers others"
    );
}

#[test]
fn diverted_calls_do_not_overload_a_small_hub() {
    for balancers in [6, 70, 280] {
        let mut controllers = Controllers::new(balancers, 2);
        controllers
            .handle(Event::List(ListKind::Changes, vec![Entry { phase: Phase::Draining, ..entry(0, None) }]));
        // 80 of 160 lines are in use, so 10 calls end per second, and 10 more per second would fill the hub.
        controllers.report_lines(1, 80.0, 160.0);
        controllers.now += SECOND;
        controllers.report_lines(1, 80.0, 160.0);
        let sends = controllers.offer_calls(0, 1, 50, Some(Outcome::Success)).len();
        // Four turns for each of the 20 calls/s, and the turns accumulated over two seconds.
        assert!(sends <= 250, "{balancers} controllers: {sends} diverted in a second to 80 free lines");
        assert!(
            sends >= 5,
            "{balancers} controllers: {sends} diverted in a second leave its capacity unused"
        );
    }
}
