//! Cost of saving learned state: how long it blocks the core, and how long a write takes.
//!
//!     cargo bench --bench state
//!
//! Runs with and without saving alternate within one run. Compare the ratios rather than the times.

use hdrhistogram::Histogram;
use petreldock::config::{self, Config, JsonNode};
use petreldock::core::{
    CallName, Cause, Core, Description, FromHub, FrontId, Hub, Input, LinkId, Offer, RefusalNote,
};
use petreldock::core::{HubListUpdate, Origin, Status, ToHub};
use petreldock::interface::{Micros, Phase, Report};
use petreldock::learning::{self, LearnedState};
use petreldock::state;
use petreldock::store::Folder;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::{mpsc, watch};

const SECOND: u64 = 1_000_000;
const START: u64 = 1_700_000_000 * SECOND;
/// Tick length in microseconds. One call is offered per tick, 200 per second.
const TICK_LENGTH: u64 = 5_000;
const PAIRS: usize = 15;
/// Number of established calls kept up at a time.
const ESTABLISHED_CALLS: usize = 800;

type Links = Arc<Mutex<Vec<(LinkId, mpsc::Receiver<ToHub>)>>>;

fn config() -> Config {
    let text = std::fs::read_to_string("examples/config.json").expect("run from the root");
    let value = config::parse(&text, "example").expect("JSON");
    Config::read(&JsonNode::root(&value, ""), None).expect("valid configuration")
}

/// Runs a core for a number of ticks. Returns how long each input or tick blocked it, in nanoseconds, and the
/// last exported state.
fn block_times(hubs: usize, ticks: u64, save: bool) -> (Histogram<u64>, Option<Arc<LearnedState>>) {
    let links: Links = Arc::default();
    let opened = links.clone();
    let connect = Box::new(move |link, _: &str| {
        let (sender, commands) = mpsc::channel(64);
        opened.lock().expect("lock").push((link, commands));
        sender
    });
    let (front, mut messages) = mpsc::channel(1024);
    let (status, _watched) = watch::channel(Status::default());
    let mut core = Core::new(&config(), vec![front], connect, status, Micros(START)).expect("valid settings");
    let (sender, latest) = watch::channel(None);
    if save {
        core.export_state(sender, Micros(2 * SECOND), Micros(START));
    }
    let list = (0..hubs).map(|n| Hub {
        uid: format!("s-{n:08x}"),
        endpoint: format!("10.{}.{}.{}:5060", n >> 16, n >> 8 & 255, n & 255),
        place: n as i64,
        phase: Phase::Up,
        born: None,
    });
    core.handle(
        Micros(START),
        Input::HubList(HubListUpdate {
            full: true,
            hubs: list.collect(),
            effective_since: Micros(START),
            seq: 0,
        }),
    );
    let mut times = Histogram::<u64>::new_with_max(10_000_000_000, 3).expect("valid histogram bounds");
    let mut established = std::collections::VecDeque::new();
    for tick in 1..=ticks {
        let now = Micros(START + tick * TICK_LENGTH);
        let mut timed = |core: &mut Core, input: Option<Input>| {
            let start = Instant::now();
            match input {
                Some(input) => core.handle(now, input),
                None => core.tick(now),
            }
            times.saturating_record(start.elapsed().as_nanos() as u64);
        };
        timed(&mut core, None);
        let offer = Offer {
            front: FrontId(0),
            origin: Origin(1),
            call: CallName(tick),
            class: "seat-lookup".into(),
            number: "7f3a".into(),
            place: (tick as usize % hubs) as i64,
            deadline: Some(now + Micros(3 * SECOND)),
            repeat: false,
            returned: false,
            description: Description::default(),
            retained_bytes: 0,
        };
        timed(&mut core, Some(Input::Offer(offer)));
        let mut events = Vec::new();
        for (link, commands) in links.lock().expect("lock").iter_mut() {
            while let Ok(command) = commands.try_recv() {
                if let ToHub::SetUp(set_up) = command {
                    events.push(Input::Hub(*link, FromHub::Answered(set_up.call, Description::default())));
                    established.push_back((*link, set_up.call));
                }
            }
        }
        if established.len() > ESTABLISHED_CALLS {
            if let Some((link, call)) = established.pop_front() {
                let report = Report {
                    free: Some(900.0),
                    size: Some(1000.0),
                    can_take: Some(50.0),
                    ..Report::default()
                };
                events.push(Input::Hub(
                    link,
                    FromHub::Released(call, Cause::NORMAL, RefusalNote::None, report),
                ));
            }
        }
        events.into_iter().for_each(|input| timed(&mut core, Some(input)));
        while messages.try_recv().is_ok() {}
    }
    let state = latest.borrow().clone();
    (times, state)
}

/// Returns the minimum, the median and the maximum.
fn min_median_max(mut figures: Vec<f64>) -> (f64, f64, f64) {
    figures.sort_by(f64::total_cmp);
    (figures[0], figures[figures.len() / 2], figures[figures.len() - 1])
}

fn main() {
    println!("time that one input or tick blocks the core, with / without saving, {PAIRS} pairs: minimum, median, maximum");
    let mut states = Vec::new();
    for (hubs, ticks) in [(4, 8_000), (4096, 1_500)] {
        let mut ratios: [Vec<f64>; 4] = Default::default();
        let (mut longest, mut mean) = (Vec::new(), Vec::new());
        for pair in 0..PAIRS {
            // The order within a pair alternates.
            let first = pair % 2 == 0;
            let one = block_times(hubs, ticks, first);
            let two = block_times(hubs, ticks, !first);
            let (on, off) = if first { (one, two) } else { (two, one) };
            for (nth, statistic) in [
                (|h: &Histogram<u64>| h.mean()) as fn(&Histogram<u64>) -> f64,
                |h| h.value_at_quantile(0.99) as f64,
                |h| h.value_at_quantile(0.999) as f64,
                |h| h.max() as f64,
            ]
            .into_iter()
            .enumerate()
            {
                ratios[nth].push(statistic(&on.0) / statistic(&off.0));
            }
            longest.push(on.0.max() as f64 / 1e3);
            mean.push(on.0.mean() / 1e3);
            states.extend(on.1.filter(|_| pair == 0));
        }
        for (name, ratios) in ["mean", "p99", "p99.9", "longest"].into_iter().zip(ratios) {
            let (min, median, max) = min_median_max(ratios);
            println!("  {hubs:>5} hubs  {name:<8} {min:.3} {median:.3} {max:.3}");
        }
        println!(
            "  {hubs:>5} hubs  on: mean {:.2} us, longest {:.0} us",
            min_median_max(mean).1,
            min_median_max(longest).1
        );
    }
    println!("one write, including encoding and syncs: minimum, median, maximum of {PAIRS}, in ms");
    let path = std::env::temp_dir().join(format!("petreldock-bench-{}", std::process::id()));
    let mut folder = Folder::open(&path).expect("folder opened");
    for learned in states {
        let mut snapshots = state::snapshots();
        let (mut encodes, mut saves, mut bytes) = (Vec::new(), Vec::new(), 0);
        for _ in 0..PAIRS {
            let start = Instant::now();
            let payload = learning::encode(&learned);
            encodes.push(start.elapsed().as_secs_f64() * 1e3);
            snapshots.save(&mut folder, learning::VERSION, &payload).expect("saved");
            saves.push(start.elapsed().as_secs_f64() * 1e3);
            bytes = payload.len();
        }
        let ((a, b, c), (d, e, f)) = (min_median_max(encodes), min_median_max(saves));
        let hubs = learned.hubs.len();
        println!("  {hubs:>5} hubs  {bytes} bytes  encode {a:.2} {b:.2} {c:.2}  total {d:.2} {e:.2} {f:.2}");
    }
    std::fs::remove_dir_all(&path).expect("removed");
}
