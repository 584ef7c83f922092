//! What a decision and a full list cost at 24, 300 and 1,024 hubs.
//!
//!     cargo bench --bench scale
//!
//! The sizes take turns in one run; the ratios to the smallest count, not the times.

use petreldock::config::{self, At, Config};
use petreldock::core::{Core, Hub, Input, News, Status};
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
    Config::read(&At::root(&value, ""), None).expect("sound")
}

/// The mean time from a call to the set-up's action, and back through its answer and end, in nanoseconds.
fn decisions(hubs: usize) -> f64 {
    let mut settings = config().settings;
    settings.classes.iter_mut().for_each(|c| c.places = (0..hubs as i64).collect());
    let mut controller = Controller::new(settings, 7, Micros(START)).expect("sane");
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

/// The time that the core takes over a full list that says nothing new, in nanoseconds.
fn list(hubs: usize) -> f64 {
    let (front, _said) = mpsc::channel(1024);
    let (status, _watched) = watch::channel(Status::default());
    // The links' ends are kept: a link without one takes nothing.
    let ends = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let kept = ends.clone();
    let connect = Box::new(move |_, _: &str| {
        let (sender, commands) = mpsc::channel(64);
        kept.lock().expect("lock").push(commands);
        sender
    });
    let mut core = Core::new(&config(), vec![front], connect, status, Micros(START)).expect("sane");
    let whole: Vec<Hub> = (0..hubs)
        .map(|n| Hub {
            uid: format!("s-{n:08x}"),
            endpoint: format!("10.0.{}.{}:5060", n >> 8, n & 255),
            place: n as i64,
            phase: Phase::Up,
            born: None,
        })
        .collect();
    let news = || News { all: true, hubs: whole.clone(), told: Micros(START), seq: 0 };
    core.handle(Micros(START), Input::List(news()));
    let lists: Vec<News> = (0..20).map(|_| news()).collect();
    let start = Instant::now();
    for list in lists {
        core.handle(Micros(START + 1), Input::List(list));
    }
    start.elapsed().as_nanos() as f64 / 20.0
}

fn main() {
    for (what, cost) in
        [("a decision", decisions as fn(usize) -> f64), ("a full list", list as fn(usize) -> f64)]
    {
        let mut times = [const { Vec::new() }; SIZES.len()];
        for _ in 0..ROUNDS {
            for (nth, hubs) in SIZES.into_iter().enumerate() {
                times[nth].push(cost(hubs));
            }
        }
        let least = times[0].clone();
        for (hubs, times) in SIZES.into_iter().zip(times) {
            let mut ratios: Vec<f64> = times.iter().zip(&least).map(|(t, l)| t / l).collect();
            let mut times = times;
            times.sort_by(f64::total_cmp);
            ratios.sort_by(f64::total_cmp);
            println!(
                "{what:<12}{hubs:>6} hubs: {:>8.1} us; to {} hubs {:.2} {:.2} {:.2} (least, median, greatest of {ROUNDS})",
                times[ROUNDS / 2] / 1e3,
                SIZES[0],
                ratios[0],
                ratios[ROUNDS / 2],
                ratios[ROUNDS - 1]
            );
        }
    }
}
