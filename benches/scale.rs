//! Cost of a decision and of a full hub list with 24, 300 and 1,024 hubs.
//!
//!     cargo bench --bench scale
//!
//! The sizes alternate within one run. Compare the ratios to the smallest size rather than the times.

use petreldock::config::{self, Config, JsonNode};
use petreldock::core::{Core, Hub, HubListUpdate, Input, Status};
use petreldock::interface::*;
use petreldock::Controller;
use std::time::Instant;
use tokio::sync::{mpsc, watch};

const SIZES: [usize; 3] = [24, 300, 1024];
const ROUNDS: usize = 15;
const CALLS: u64 = 2_000;
const START: u64 = 1_700_000_000_000_000;

fn config() -> Config {
    let text = std::fs::read_to_string("examples/config.json").expect("run from the root");
    let value = config::parse(&text, "example").expect("JSON");
    Config::read(&JsonNode::root(&value, ""), None).expect("valid configuration")
}

/// Returns the mean time, in nanoseconds, to decide on a call and to process its answer and its end.
fn decision_time(hubs: usize) -> f64 {
    let mut settings = config().settings;
    settings.classes.iter_mut().for_each(|c| c.places = (0..hubs as i64).collect());
    let mut controller = Controller::new(settings, 7, Micros(START)).expect("valid settings");
    let entry = |n: usize| Entry {
        server: ServerId(n as u64 + 1),
        place: n as i64,
        phase: Phase::Up,
        born: None,
        phase_since: None,
    };
    let mut actions = Vec::new();
    controller.handle(
        Micros(START),
        Event::List(ListKind::Full, (0..hubs).map(entry).collect()),
        &mut actions,
    );
    let report = Report { free: Some(900.0), size: Some(1000.0), can_take: Some(50.0), ..Report::default() };
    let start = Instant::now();
    for n in 1..=CALLS {
        let now = Micros(START + n * 5_000);
        let (id, place) = (CallId(n), (n as usize % hubs) as i64);
        let call = NewCall {
            id,
            class: 0,
            place,
            number: None,
            deadline: now + Micros(3_000_000),
            repeat: false,
            returned: false,
            transit: false,
        };
        actions.clear();
        controller.handle(now, Event::Call(call), &mut actions);
        let sent = actions.iter().find_map(|a| match a {
            Action::Send(_, server, _) => Some(*server),
            _ => None,
        });
        let Some(server) = sent else { continue };
        controller.handle(now, Event::Established(id, server, 0, Micros(30_000)), &mut actions);
        let end = AttemptEnd {
            id,
            attempt: 0,
            server,
            outcome: Outcome::Success,
            over: true,
            number_busy: false,
            report,
        };
        controller.handle(now, Event::Ended(end), &mut actions);
    }
    start.elapsed().as_nanos() as f64 / CALLS as f64
}

/// Returns the time, in nanoseconds, that the core needs for a full list without changes.
fn full_list_time(hubs: usize) -> f64 {
    let (front, _messages) = mpsc::channel(1024);
    let (status, _watched) = watch::channel(Status::default());
    // The receivers of the link commands are kept alive, because a link without a receiver accepts no
    // command.
    let receivers = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let opened = receivers.clone();
    let connect = Box::new(move |_, _: &str| {
        let (sender, commands) = mpsc::channel(64);
        opened.lock().expect("lock").push(commands);
        sender
    });
    let mut core = Core::new(&config(), vec![front], connect, status, Micros(START)).expect("valid settings");
    let full: Vec<Hub> = (0..hubs)
        .map(|n| Hub {
            uid: format!("s-{n:08x}"),
            endpoint: format!("10.0.{}.{}:5060", n >> 8, n & 255),
            place: n as i64,
            phase: Phase::Up,
            born: None,
        })
        .collect();
    let update = || HubListUpdate { full: true, hubs: full.clone(), effective_since: Micros(START), seq: 0 };
    core.handle(Micros(START), Input::HubList(update()));
    let updates: Vec<HubListUpdate> = (0..20).map(|_| update()).collect();
    let start = Instant::now();
    for update in updates {
        core.handle(Micros(START + 1), Input::HubList(update));
    }
    start.elapsed().as_nanos() as f64 / 20.0
}

fn main() {
    for (name, measure) in [
        ("a decision", decision_time as fn(usize) -> f64),
        ("a full list", full_list_time as fn(usize) -> f64),
    ] {
        let mut times = [const { Vec::new() }; SIZES.len()];
        for _ in 0..ROUNDS {
            for (nth, hubs) in SIZES.into_iter().enumerate() {
                times[nth].push(measure(hubs));
            }
        }
        let smallest = times[0].clone();
        for (hubs, times) in SIZES.into_iter().zip(times) {
            let mut ratios: Vec<f64> = times.iter().zip(&smallest).map(|(t, l)| t / l).collect();
            let mut times = times;
            times.sort_by(f64::total_cmp);
            ratios.sort_by(f64::total_cmp);
            println!(
                "{name:<12}{hubs:>6} hubs: {:>8.1} us; ratio to {} hubs {:.2} {:.2} {:.2} (minimum, median, maximum of {ROUNDS})",
                times[ROUNDS / 2] / 1e3,
                SIZES[0],
                ratios[0],
                ratios[ROUNDS / 2],
                ratios[ROUNDS - 1]
            );
        }
    }
}
