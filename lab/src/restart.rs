//! What a restart at a round start costs, with what was learnt, without it, and with learning that is wrong.

use crate::caller::{Arrivals, Callers, Wish};
use crate::hub::{Hub, Seen};
use miniserde::Serialize;
use petreldock_lab::program::{target, ChangeLog, Program, Site};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{sleep_until, Duration, Instant};

/// Seconds after the start: the old hub drains, its successor starts cold, the kill, the next start, and the
/// moment from which calls count, when the jump begins.
const DRAIN: f64 = 8.0;
const REPLACED: f64 = 10.0;
const KILL: f64 = 12.0;
const START: f64 = 13.0;
const COUNTED: f64 = 13.3;
const JUMP_S: f64 = 5.0;
const LENGTH: f64 = 24.0;
/// Places of the slow hub, of the one that is slow where learning is wrong, and of the one that is replaced.
const SLOW: usize = 0;
const OTHER: usize = 1;
const COLD: usize = 3;
const PLACES: usize = 4;
/// No cold hub gets more than this many times what it can do, over a second.
const OVERLOAD: f64 = 3.0;
/// How often the lab looks whether it is held up.
const WATCH: Duration = Duration::from_millis(10);
const PAUSE: Duration = Duration::from_millis(200);

/// What is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// No restart.
    Uninterrupted,
    /// Restarted without learning.
    Without,
    /// Restarted with its learning.
    With,
    /// The slow and a quick hub change places with the restart; no learning.
    WrongWithout,
    /// The same with learning, which is wrong by then.
    WrongWith,
}

pub const VARIANTS: [Variant; 5] =
    [Variant::Uninterrupted, Variant::Without, Variant::With, Variant::WrongWithout, Variant::WrongWith];

/// The load and the size of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub binary: PathBuf,
    pub controllers: usize,
    /// Calls a second, all together.
    pub rate: f64,
    /// The jump, in times the rate.
    pub jump: f64,
    /// Calls a second that a hub carries, and how slow the slow one is.
    pub capacity: f64,
    pub slow: f64,
}

/// What a run showed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Share of the worth in time, of calls in the first 5 and 10 s, at the controller that was restarted.
    pub first_5: f64,
    pub first_10: f64,
    /// ... and of all controllers' calls in the first 10 s.
    pub all_10: f64,
    /// ... of the calls of each of the first ten seconds, at the one that was restarted.
    pub by_second: Vec<f64>,
    /// Set-ups that each hub got from all in the first 5 s.
    pub sent_5: Vec<usize>,
    /// The longest that the lab itself was held up, in milliseconds.
    pub late_ms: f64,
    /// Rules broken, in words.
    pub broken: Vec<String>,
}

/// Plays one variant of a seed's day.
pub async fn play(plan: &Plan, variant: Variant, seed: u64, folder: &Path) -> io::Result<Figures> {
    let log = ChangeLog::default();
    let change_log = log.start().await?;
    let mut hubs = Vec::new();
    for place in 0..PLACES {
        let slow = if place == SLOW { plan.slow } else { 1.0 };
        let rng = StdRng::seed_from_u64(seed * 1000 + place as u64);
        hubs.push(Hub::start(plan.capacity, slow, false, rng).await?);
    }
    let up: Vec<String> = hubs
        .iter()
        .enumerate()
        .map(|(p, h)| target(&format!("s-{p}"), h.address, p, "in_service", 0))
        .collect();
    log.tell(true, &up);
    let mut site = Site { balancers: plan.controllers, places: PLACES, change_log, known: log.since(0) };
    let keeps = matches!(variant, Variant::With | Variant::WrongWith);
    let state = keeps.then_some(r#","intervalMs":1000"#);
    let run = (seed * 8 + variant as u64) as u16;
    let mut programs = Vec::new();
    for index in 0..plan.controllers {
        let mut program = Program::new(&plan.binary, folder, run, index)?;
        program.start(&site, seed, state).await?;
        programs.push(program);
    }
    let start = Instant::now();
    let at = |s: f64| start + Duration::from_secs_f64(s);
    let callers: Vec<Callers> = programs
        .iter()
        .enumerate()
        .map(|(index, program)| {
            let rate = plan.rate / plan.controllers as f64;
            let jump = |s: f64| rate * if (COUNTED..COUNTED + JUMP_S).contains(&s) { plan.jump } else { 1.0 };
            let arrivals = Arrivals::draw(seed * 100 + index as u64, LENGTH - 3.0, PLACES, jump);
            Callers::start(program.address, index as u64 + 1, start, arrivals)
        })
        .collect();

    // Danger: where the lab is held up, it reads what several hubs got at once, in any order.
    let late = Rc::new(Cell::new(0.0f64));
    let watched = late.clone();
    tokio::task::spawn_local(async move {
        loop {
            let due = Instant::now() + WATCH;
            sleep_until(due).await;
            watched.set(watched.get().max((Instant::now() - due).as_secs_f64() * 1e3));
        }
    });
    sleep_until(at(DRAIN)).await;
    let old = &hubs[COLD];
    log.tell(false, &[target("s-3", old.address, COLD, "terminating", 0)]);
    sleep_until(at(REPLACED)).await;
    let rng = StdRng::seed_from_u64(seed * 1000 + 99);
    let cold = Hub::start(plan.capacity, 1.0, true, rng).await?;
    let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    log.tell(
        false,
        &[
            target("s-3", old.address, COLD, "terminated", 0),
            target("s-9", cold.address, COLD, "in_service", boot_ms),
        ],
    );
    old.end();
    sleep_until(at(KILL)).await;
    if variant != Variant::Uninterrupted {
        programs[0].kill();
    }
    if matches!(variant, Variant::WrongWithout | Variant::WrongWith) {
        hubs[SLOW].state.borrow_mut().slow = 1.0;
        hubs[OTHER].state.borrow_mut().slow = plan.slow;
    }
    sleep_until(at(START)).await;
    if variant != Variant::Uninterrupted {
        site.known = log.since(0);
        programs[0].start(&site, seed, state).await?;
    }
    sleep_until(at(LENGTH)).await;
    let (own, all): (Vec<Wish>, Vec<Wish>) = (
        callers[0].wishes.borrow().clone(),
        callers.iter().flat_map(|c| c.wishes.borrow().clone()).collect(),
    );
    let share = |wishes: &[Wish], from: f64, span: f64| {
        let (from, to) = (at(COUNTED + from), at(COUNTED + from + span));
        let in_span = |w: &&Wish| w.intended >= from && w.intended < to;
        let worth: f64 = wishes.iter().filter(in_span).map(Wish::worth).sum();
        let served: f64 = wishes.iter().filter(in_span).filter(|w| w.in_time()).map(Wish::worth).sum();
        served / worth.max(1.0)
    };
    hubs.push(cold);
    let sent = |hub: &Hub| {
        let in_span = |at_: Instant| at_ >= at(COUNTED) && at_ < at(COUNTED + 5.0);
        hub.state.borrow().record.iter().filter(|r| r.2 == Seen::SetUp && in_span(r.0)).count()
    };
    Ok(Figures {
        first_5: share(&own, 0.0, 5.0),
        first_10: share(&own, 0.0, 10.0),
        all_10: share(&all, 0.0, 10.0),
        by_second: (0..10).map(|s| share(&own, f64::from(s), 1.0)).collect(),
        sent_5: hubs.iter().map(sent).collect(),
        late_ms: late.get(),
        broken: audit(&hubs, &all, at(DRAIN)),
    })
}

/// Which rules the records show broken.
fn audit(hubs: &[Hub], wishes: &[Wish], drained: Instant) -> Vec<String> {
    let mut broken = Vec::new();
    let twice = wishes.iter().flat_map(|w| w.finals.values()).filter(|n| **n > 1).count();
    if twice > 0 {
        broken.push(format!("{twice} tries with more than one final answer"));
    }
    let mut calls: BTreeMap<u64, Vec<(Instant, usize, Seen)>> = BTreeMap::new();
    for (nth, hub) in hubs.iter().enumerate() {
        for (at, call, seen, _) in &hub.state.borrow().record {
            calls.entry(*call).or_default().push((*at, nth, *seen));
        }
    }
    let (mut overlapping, mut hurried) = (0, 0);
    for events in calls.values_mut() {
        events.sort_by_key(|e| e.0);
        let (mut out, mut not_before) = (None, None);
        for (at, hub, seen) in events {
            match seen {
                Seen::SetUp => {
                    overlapping += usize::from(out.is_some());
                    // The give-up is seen a little after it was written.
                    hurried += usize::from(not_before.is_some_and(|t| *at + Duration::from_millis(20) < t));
                    out = Some(*hub);
                }
                Seen::GivenUp if out == Some(*hub) => (out, not_before) = (None, Some(*at + PAUSE)),
                Seen::Refused | Seen::Ended if out == Some(*hub) => out = None,
                _ => {}
            }
        }
    }
    if overlapping > 0 {
        broken.push(format!("{overlapping} attempts while one was out"));
    }
    if hurried > 0 {
        broken.push(format!("{hurried} attempts within the pause"));
    }
    let late = hubs[COLD].state.borrow();
    // Told within the poll that is out: 50 ms for it and for the record.
    let late =
        late.record.iter().filter(|r| r.2 == Seen::SetUp && r.0 > drained + Duration::from_millis(2050));
    let late = late.count();
    if late > 0 {
        broken.push(format!("{late} set-ups to the drained hub after its grace"));
    }
    let cold = hubs[hubs.len() - 1].state.borrow();
    let sent: Vec<(Instant, f64)> =
        cold.record.iter().filter(|r| r.2 == Seen::SetUp).map(|r| (r.0, r.3)).collect();
    for (nth, (first, speed)) in sent.iter().enumerate() {
        let count = sent[nth..].iter().take_while(|s| s.0 - *first < Duration::from_secs(1)).count();
        if count as f64 > OVERLOAD * speed {
            broken.push(format!("{count} set-ups in a second to the cold hub, which can do {speed:.1}"));
            break;
        }
    }
    broken
}
