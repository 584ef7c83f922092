//! Measures the cost of restarting a controller at the start of a round: with learned state, without it, and with
//! learned state that is wrong by then.

use crate::caller::{Arrivals, CallerCall, Callers};
use crate::hub::{CallEvent, Hub};
use miniserde::Serialize;
use petreldock_lab::program::{target_json, ChangeLog, ControllerProcess, Deployment};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{sleep_until, Duration, Instant};

/// When the hub that is replaced begins to drain, in seconds from the start of the run.
const DRAIN_S: f64 = 8.0;
/// When the drained hub ends and its successor starts cold, in seconds from the start of the run.
const REPLACEMENT_S: f64 = 10.0;
/// When the first controller is killed, in seconds from the start of the run.
const KILL_S: f64 = 12.0;
/// When the first controller is started again, in seconds from the start of the run.
const RESTART_S: f64 = 13.0;
/// When the jump of the call rate begins and calls start to be counted, in seconds from the start of the run.
const COUNT_FROM_S: f64 = 13.3;
/// Duration of the jump, in seconds.
const JUMP_S: f64 = 5.0;
/// Length of the run, in seconds.
const LENGTH_S: f64 = 24.0;
/// Place of the slow hub.
const SLOW_PLACE: usize = 0;
/// Place of the hub that becomes the slow one where the learned state is wrong.
const LATER_SLOW_PLACE: usize = 1;
/// Place of the hub that is replaced by a cold one.
const REPLACED_PLACE: usize = 3;
/// Number of places, with one hub each.
const PLACES: usize = 4;
/// Upper bound of the set-ups that the cold hub may get in a second, as a multiple of its capacity at that time.
const MAX_OVERLOAD_FACTOR: f64 = 3.0;
/// Interval at which the lab measures its own scheduling delay.
const DELAY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Least time between a give-up and the next attempt of the call.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What a run varies. The names are written to the JSON output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// No restart.
    Uninterrupted,
    /// Restart without learned state.
    Without,
    /// Restart with learned state.
    With,
    /// Restart without learned state, while the slow and a fast hub exchange their speeds.
    WrongWithout,
    /// Restart with learned state, which the same exchange makes wrong.
    WrongWith,
}

/// All variants, in the order of the results.
pub const VARIANTS: [Variant; 5] =
    [Variant::Uninterrupted, Variant::Without, Variant::With, Variant::WrongWithout, Variant::WrongWith];

/// The load and the size of a run.
#[derive(Clone, Debug)]
pub struct RestartConfig {
    /// The petreldock program.
    pub binary: PathBuf,
    /// Number of controllers; the first is restarted.
    pub controllers: usize,
    /// Calls per second through all controllers.
    pub call_rate: f64,
    /// Factor on the call rate during the jump.
    pub jump_factor: f64,
    /// Calls per second that a hub carries.
    pub hub_capacity: f64,
    /// Factor by which the slow hub is slower.
    pub slowdown: f64,
}

/// Results of a run. The field names are written to the JSON output.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Share of the worth served in time, of the restarted controller's calls in the first 5 s.
    pub first_5: f64,
    /// Share of the worth served in time, of the restarted controller's calls in the first 10 s.
    pub first_10: f64,
    /// Share of the worth served in time, of all controllers' calls in the first 10 s.
    pub all_10: f64,
    /// Share of the worth served in time, of the restarted controller's calls in each of the first ten seconds.
    pub by_second: Vec<f64>,
    /// Set-ups that each hub got from all controllers in the first 5 s.
    pub sent_5: Vec<usize>,
    /// The longest scheduling delay of the lab itself, in milliseconds.
    pub late_ms: f64,
    /// Descriptions of the rules that were broken.
    pub broken: Vec<String>,
}

/// Runs one variant of a seed, with its files in `folder`.
pub async fn run_variant(
    config: &RestartConfig,
    variant: Variant,
    seed: u64,
    folder: &Path,
) -> io::Result<Figures> {
    let log = ChangeLog::default();
    let change_log = log.start().await?;
    let mut hubs = Vec::new();
    for place in 0..PLACES {
        let slowdown = if place == SLOW_PLACE { config.slowdown } else { 1.0 };
        let rng = StdRng::seed_from_u64(seed * 1000 + place as u64);
        hubs.push(Hub::start(config.hub_capacity, slowdown, false, rng).await?);
    }
    let targets: Vec<String> = hubs
        .iter()
        .enumerate()
        .map(|(p, h)| target_json(&format!("s-{p}"), h.address, p, "in_service", 0))
        .collect();
    log.append(true, &targets);
    let mut deployment =
        Deployment { balancers: config.controllers, places: PLACES, change_log, known: log.since(0) };
    let keeps_state = matches!(variant, Variant::With | Variant::WrongWith);
    let state_settings = keeps_state.then_some(r#","intervalMs":1000"#);
    let run = (seed * 8 + variant as u64) as u16;
    let mut controllers = Vec::new();
    for index in 0..config.controllers {
        let mut controller = ControllerProcess::new(&config.binary, folder, run, index)?;
        controller.start(&deployment, seed, state_settings).await?;
        controllers.push(controller);
    }
    let start = Instant::now();
    let at = |s: f64| start + Duration::from_secs_f64(s);
    let callers: Vec<Callers> = controllers
        .iter()
        .enumerate()
        .map(|(index, controller)| {
            let base_rate = config.call_rate / config.controllers as f64;
            let jump = COUNT_FROM_S..COUNT_FROM_S + JUMP_S;
            let rate = |s: f64| base_rate * if jump.contains(&s) { config.jump_factor } else { 1.0 };
            let arrivals = Arrivals::generate(seed * 100 + index as u64, LENGTH_S - 3.0, PLACES, rate);
            Callers::start(controller.address, index as u64 + 1, start, arrivals)
        })
        .collect();

    // While the lab itself is not scheduled, messages to several hubs queue up, and it then reads them in any order,
    // which makes the records unusable.
    let max_delay_ms = Rc::new(Cell::new(0.0f64));
    let observed = max_delay_ms.clone();
    tokio::task::spawn_local(async move {
        loop {
            let due = Instant::now() + DELAY_CHECK_INTERVAL;
            sleep_until(due).await;
            observed.set(observed.get().max((Instant::now() - due).as_secs_f64() * 1e3));
        }
    });
    sleep_until(at(DRAIN_S)).await;
    let old = &hubs[REPLACED_PLACE];
    log.append(false, &[target_json("s-3", old.address, REPLACED_PLACE, "terminating", 0)]);
    sleep_until(at(REPLACEMENT_S)).await;
    let rng = StdRng::seed_from_u64(seed * 1000 + 99);
    let cold = Hub::start(config.hub_capacity, 1.0, true, rng).await?;
    let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    log.append(
        false,
        &[
            target_json("s-3", old.address, REPLACED_PLACE, "terminated", 0),
            target_json("s-9", cold.address, REPLACED_PLACE, "in_service", boot_ms),
        ],
    );
    old.stop();
    sleep_until(at(KILL_S)).await;
    if variant != Variant::Uninterrupted {
        controllers[0].kill();
    }
    if matches!(variant, Variant::WrongWithout | Variant::WrongWith) {
        hubs[SLOW_PLACE].state.borrow_mut().slowdown = 1.0;
        hubs[LATER_SLOW_PLACE].state.borrow_mut().slowdown = config.slowdown;
    }
    sleep_until(at(RESTART_S)).await;
    if variant != Variant::Uninterrupted {
        deployment.known = log.since(0);
        controllers[0].start(&deployment, seed, state_settings).await?;
    }
    sleep_until(at(LENGTH_S)).await;
    let (own, all): (Vec<CallerCall>, Vec<CallerCall>) =
        (callers[0].calls.borrow().clone(), callers.iter().flat_map(|c| c.calls.borrow().clone()).collect());
    let share = |calls: &[CallerCall], from: f64, span: f64| {
        let (from, to) = (at(COUNT_FROM_S + from), at(COUNT_FROM_S + from + span));
        let in_span = |c: &&CallerCall| c.scheduled_at >= from && c.scheduled_at < to;
        let worth: f64 = calls.iter().filter(in_span).map(CallerCall::worth).sum();
        let served: f64 = calls.iter().filter(in_span).filter(|c| c.in_time()).map(CallerCall::worth).sum();
        served / worth.max(1.0)
    };
    hubs.push(cold);
    let set_ups = |hub: &Hub| {
        let in_span = |time: Instant| time >= at(COUNT_FROM_S) && time < at(COUNT_FROM_S + 5.0);
        hub.state.borrow().records.iter().filter(|r| r.2 == CallEvent::SetUp && in_span(r.0)).count()
    };
    Ok(Figures {
        first_5: share(&own, 0.0, 5.0),
        first_10: share(&own, 0.0, 10.0),
        all_10: share(&all, 0.0, 10.0),
        by_second: (0..10).map(|s| share(&own, f64::from(s), 1.0)).collect(),
        sent_5: hubs.iter().map(set_ups).collect(),
        late_ms: max_delay_ms.get(),
        broken: find_violations(&hubs, &all, at(DRAIN_S)),
    })
}

/// Describes the rules that the hubs' records and the callers' calls show to be broken.
fn find_violations(hubs: &[Hub], caller_calls: &[CallerCall], drain_start: Instant) -> Vec<String> {
    let mut violations = Vec::new();
    let repeated = caller_calls.iter().flat_map(|c| c.final_responses.values()).filter(|n| **n > 1).count();
    if repeated > 0 {
        violations.push(format!("{repeated} dials with more than one final response"));
    }
    let mut calls: BTreeMap<u64, Vec<(Instant, usize, CallEvent)>> = BTreeMap::new();
    for (index, hub) in hubs.iter().enumerate() {
        for (at, call, event, _) in &hub.state.borrow().records {
            calls.entry(*call).or_default().push((*at, index, *event));
        }
    }
    let (mut overlapping, mut too_early) = (0, 0);
    for events in calls.values_mut() {
        events.sort_by_key(|e| e.0);
        let (mut active_hub, mut not_before) = (None, None);
        for (at, hub, event) in events {
            match event {
                CallEvent::SetUp => {
                    overlapping += usize::from(active_hub.is_some());
                    // The hub records the give-up a little after the controller wrote it: 20 ms are allowed for.
                    too_early += usize::from(not_before.is_some_and(|t| *at + Duration::from_millis(20) < t));
                    active_hub = Some(*hub);
                }
                CallEvent::GivenUp if active_hub == Some(*hub) => {
                    (active_hub, not_before) = (None, Some(*at + MIN_RETRY_PAUSE))
                }
                CallEvent::Refused | CallEvent::Ended if active_hub == Some(*hub) => active_hub = None,
                _ => {}
            }
        }
    }
    if overlapping > 0 {
        violations.push(format!("{overlapping} attempts while another attempt of the call was active"));
    }
    if too_early > 0 {
        violations.push(format!("{too_early} attempts within the pause after a give-up"));
    }
    let drained = hubs[REPLACED_PLACE].state.borrow();
    // The grace time of 2 s, and 50 ms for the pending poll to return the change and for the hub to record the set-up.
    let grace_end = drain_start + Duration::from_millis(2050);
    let late = drained.records.iter().filter(|r| r.2 == CallEvent::SetUp && r.0 > grace_end).count();
    if late > 0 {
        violations.push(format!("{late} set-ups to the drained hub after its grace time"));
    }
    let cold = hubs[hubs.len() - 1].state.borrow();
    let set_ups: Vec<(Instant, f64)> =
        cold.records.iter().filter(|r| r.2 == CallEvent::SetUp).map(|r| (r.0, r.3)).collect();
    for (index, (first, capacity)) in set_ups.iter().enumerate() {
        let count = set_ups[index..].iter().take_while(|s| s.0 - *first < Duration::from_secs(1)).count();
        if count as f64 > MAX_OVERLOAD_FACTOR * capacity {
            violations
                .push(format!("{count} set-ups in a second to the cold hub, which can carry {capacity:.1}"));
            break;
        }
    }
    violations
}
