//! What keeping what is learnt costs: how long it holds the core up, and what a write takes.
//!
//!     cargo bench --bench state
//!
//! On and off take turns in one run; the ratios count, not the times.

use hdrhistogram::Histogram;
use petreldock::config::{self, At, Config};
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
/// One call a tick of 5 ms: 200 a second.
const TICK: u64 = 5_000;
const PAIRS: usize = 15;
/// Calls that stand at a time.
const STANDING: usize = 800;

type Links = Arc<Mutex<Vec<(LinkId, mpsc::Receiver<ToHub>)>>>;

fn config() -> Config {
    let text = std::fs::read_to_string("examples/config.json").expect("run from the root");
    let value = config::parse(&text, "example").expect("JSON");
    Config::read(&At::root(&value, ""), None).expect("sound")
}

/// Runs a core for so many ticks; gives how long it was held up by each input or tick, in nanoseconds.
fn held_up(hubs: usize, ticks: u64, keep: bool) -> (Histogram<u64>, Option<Arc<LearnedState>>) {
    let links: Links = Arc::default();
    let opened = links.clone();
    let connect = Box::new(move |link, _: &str| {
        let (sender, commands) = mpsc::channel(64);
        opened.lock().expect("lock").push((link, commands));
        sender
    });
    let (front, mut said) = mpsc::channel(1024);
    let (status, _watched) = watch::channel(Status::default());
    let mut core = Core::new(&config(), vec![front], connect, status, Micros(START)).expect("sane");
    let (pictures, latest) = watch::channel(None);
    if keep {
        core.export_state(pictures, Micros(2 * SECOND), Micros(START));
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
    let mut times = Histogram::<u64>::new_with_max(10_000_000_000, 3).expect("three digits");
    let mut standing = std::collections::VecDeque::new();
    for tick in 1..=ticks {
        let now = Micros(START + tick * TICK);
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
        };
        timed(&mut core, Some(Input::Offer(offer)));
        let mut news = Vec::new();
        for (link, commands) in links.lock().expect("lock").iter_mut() {
            while let Ok(command) = commands.try_recv() {
                if let ToHub::SetUp(set_up) = command {
                    news.push(Input::Hub(*link, FromHub::Answered(set_up.call, Description::default())));
                    standing.push_back((*link, set_up.call));
                }
            }
        }
        if standing.len() > STANDING {
            if let Some((link, call)) = standing.pop_front() {
                let report = Report {
                    free: Some(900.0),
                    size: Some(1000.0),
                    can_take: Some(50.0),
                    ..Report::default()
                };
                news.push(Input::Hub(
                    link,
                    FromHub::Released(call, Cause::NORMAL, RefusalNote::None, report),
                ));
            }
        }
        news.into_iter().for_each(|input| timed(&mut core, Some(input)));
        while said.try_recv().is_ok() {}
    }
    let picture = latest.borrow().clone();
    (times, picture)
}

/// The least, the median and the greatest.
fn spread(mut figures: Vec<f64>) -> (f64, f64, f64) {
    figures.sort_by(f64::total_cmp);
    (figures[0], figures[figures.len() / 2], figures[figures.len() - 1])
}

fn main() {
    println!("the core held up by one input or tick, on / off, {PAIRS} pairs: least, median, greatest");
    let mut pictures = Vec::new();
    for (hubs, ticks) in [(4, 8_000), (4096, 1_500)] {
        let mut ratios: [Vec<f64>; 4] = Default::default();
        let (mut longest, mut mean) = (Vec::new(), Vec::new());
        for pair in 0..PAIRS {
            // Which of the two goes first changes.
            let first = pair % 2 == 0;
            let one = held_up(hubs, ticks, first);
            let two = held_up(hubs, ticks, !first);
            let (on, off) = if first { (one, two) } else { (two, one) };
            for (nth, of) in [
                (|h: &Histogram<u64>| h.mean()) as fn(&Histogram<u64>) -> f64,
                |h| h.value_at_quantile(0.99) as f64,
                |h| h.value_at_quantile(0.999) as f64,
                |h| h.max() as f64,
            ]
            .into_iter()
            .enumerate()
            {
                ratios[nth].push(of(&on.0) / of(&off.0));
            }
            longest.push(on.0.max() as f64 / 1e3);
            mean.push(on.0.mean() / 1e3);
            pictures.extend(on.1.filter(|_| pair == 0));
        }
        for (what, ratios) in ["mean", "p99", "p99.9", "longest"].into_iter().zip(ratios) {
            let (least, median, greatest) = spread(ratios);
            println!("  {hubs:>5} hubs  {what:<8} {least:.3} {median:.3} {greatest:.3}");
        }
        println!("  {hubs:>5} hubs  on: mean {:.2} us, longest {:.0} us", spread(mean).1, spread(longest).1);
    }
    println!("a write, encoding and syncs with it: least, median, greatest of {PAIRS}, in ms");
    let path = std::env::temp_dir().join(format!("petreldock-bench-{}", std::process::id()));
    let mut folder = Folder::open(&path).expect("made");
    for picture in pictures {
        let mut snapshots = state::snapshots();
        let (mut encodes, mut saves, mut bytes) = (Vec::new(), Vec::new(), 0);
        for _ in 0..PAIRS {
            let start = Instant::now();
            let payload = learning::encode(&picture);
            encodes.push(start.elapsed().as_secs_f64() * 1e3);
            snapshots.save(&mut folder, learning::VERSION, &payload).expect("saved");
            saves.push(start.elapsed().as_secs_f64() * 1e3);
            bytes = payload.len();
        }
        let ((a, b, c), (d, e, f)) = (spread(encodes), spread(saves));
        let hubs = picture.hubs.len();
        println!("  {hubs:>5} hubs  {bytes} bytes  encode {a:.2} {b:.2} {c:.2}  in all {d:.2} {e:.2} {f:.2}");
    }
    std::fs::remove_dir_all(&path).expect("removed");
}
