//! Started processes that talk to one another, with faults between them, while calls go through them.

use crate::caller::{Arrivals, Callers};
use crate::hub::Hub;
use crate::view::quantiles;
use clap::Args;
use miniserde::json;
use petreldock::fleet::show::FleetStatus;
use petreldock_lab::processes::Processes;
use petreldock_lab::program::{target, ChangeLog, Site};
use petreldock_lab::script::{Act, Script, Who};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Debug, Args)]
pub struct Fleet {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// So many seeds from there on, one after the other
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// Processes
    #[arg(long, default_values_t = [5, 16])]
    pub sizes: Vec<usize>,
    /// Faults, one a line as the program prints them, in place of the seed's own
    #[arg(long)]
    pub script: Option<PathBuf>,
    /// The program
    #[arg(long, default_value = "target/release/petreldock")]
    pub binary: PathBuf,
}

const DETECTION_MS: u64 = 2_500;
const PLACES: usize = 3;
/// Calls a second through each process.
const RATE: f64 = 4.0;
/// A fleet that does not agree within this never will.
const AGREE_MOST: Duration = Duration::from_secs(30);
/// Callers have their connections after this.
const CONNECTED: Duration = Duration::from_millis(500);
/// Calls at the end that may still be under way.
const LAST: Duration = Duration::from_secs(4);

#[derive(Debug, Default)]
struct Figures {
    joined: u64,
    detected: Vec<u64>,
    settled: Vec<u64>,
    bytes_a_second: f64,
    kilobytes: Vec<u64>,
    broken: Vec<String>,
}

/// The faults of a seed: a crash, a stop, a one-way cut, a split, each over before the next.
fn faults(seed: u64, size: usize) -> Script {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut one = || Who::one(rng.random_range(0..size));
    let (killed, stopped, deaf) = (one(), one(), one());
    let others = Who(0..=size - 1);
    let half = Who(0..=size / 2 - 1);
    Script(vec![
        (1_000, Act::Kill(killed.clone())),
        (6_000, Act::Start(killed)),
        (9_000, Act::Pause(stopped.clone())),
        (14_000, Act::Resume(stopped)),
        (18_000, Act::Cut(others, deaf)),
        (24_000, Act::Heal),
        (28_000, Act::Split(half)),
        (40_000, Act::Heal),
    ])
}

/// Plays a seed: the processes on a thread of their own, hubs and callers here.
async fn play(binary: &Path, seed: u64, size: usize, script: &Script) -> io::Result<Figures> {
    let log = ChangeLog::default();
    let change_log = log.start().await?;
    let mut up = Vec::new();
    for place in 0..PLACES {
        let rng = StdRng::seed_from_u64(seed + place as u64);
        let hub = Hub::start(60.0 * size as f64, 1.0, false, rng).await?;
        up.push(target(&format!("s-{place}"), hub.address, place, "in_service", 0));
    }
    log.tell(true, &up);
    let site = Site { balancers: size, places: PLACES, change_log, known: log.since(0) };
    let (addresses, started) = tokio::sync::oneshot::channel();
    let (finished, over) = tokio::sync::oneshot::channel();
    let (binary, faults, script) = (binary.to_path_buf(), script.clone(), script.clone());
    std::thread::spawn(move || {
        let document = |n: usize, listens| site.document(n, listens, seed);
        let played = Processes::new(&binary, size, seed, DETECTION_MS, Box::new(document))
            .and_then(|processes| drive(processes, size, &script, addresses));
        let _ = finished.send(played);
    });
    let Ok(addresses) = started.await else {
        return over.await.unwrap_or_else(|_| Err(io::Error::other("the processes' thread ended")));
    };
    // Danger: a call that comes before its caller has a connection is lost in the lab, not by the program.
    let start = tokio::time::Instant::now() + CONNECTED;
    let length = faults.0.last().map_or(0.0, |(at, _)| *at as f64 / 1e3) + 10.0;
    let callers: Vec<Callers> = addresses
        .iter()
        .enumerate()
        .map(|(n, to)| {
            let arrivals = Arrivals::draw(seed * 100 + n as u64, length, PLACES, |_| RATE);
            Callers::start(*to, n as u64 + 1, start, arrivals)
        })
        .collect();
    let mut figures: Figures =
        over.await.unwrap_or_else(|_| Err(io::Error::other("the processes' thread ended")))?;
    let end = tokio::time::Instant::now();
    // Whoever is killed or stopped serves nobody; all others serve all.
    let hurt = hurt(&faults);
    for (n, callers) in callers.iter().enumerate() {
        for wish in callers.wishes.borrow().iter() {
            if wish.finals.values().any(|count| *count > 1) {
                figures.broken.push(format!("a call through n{n} got two final answers"));
            }
            let owed = wish.intended + LAST < end;
            if owed && !hurt.iter().any(|w| w.has(n)) && (wish.stood.is_none() || wish.cut) {
                let (at, finals) = (wish.intended - start, wish.finals.values().sum::<u32>());
                let what = if wish.cut { "was cut" } else { "did not stand" };
                figures.broken.push(format!(
                    "a call through n{n}, which nobody hurt, {what}: it came {at:?} after the start, and was refused {finals} times"
                ));
            }
        }
    }
    Ok(figures)
}

/// Those that the script kills or stops.
fn hurt(script: &Script) -> Vec<Who> {
    let hurts = |act: &Act| match act {
        Act::Kill(w) | Act::Pause(w) | Act::Leave(w) => Some(w.clone()),
        _ => None,
    };
    script.0.iter().filter_map(|(_, act)| hurts(act)).collect()
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Waits until all that run see the same; how long it took, in milliseconds.
fn agree(processes: &Processes) -> Option<u64> {
    let start = Instant::now();
    while start.elapsed() < AGREE_MOST {
        let running = processes.running();
        let views: Vec<FleetStatus> = running
            .iter()
            .filter_map(|n| json::from_str::<FleetStatus>(&processes.show(*n, true)?).ok())
            .collect();
        if views.len() == running.len()
            && views.iter().all(|v| v.hash == views[0].hash && v.live == running.len())
        {
            return Some(start.elapsed().as_millis() as u64);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    None
}

/// The times of day at which a member logged that another is gone, in milliseconds.
fn said_gone(log: &str, address: &str) -> Vec<u64> {
    let time = |line: &str| {
        let (_, clock) = line.split_whitespace().next()?.split_once('T')?;
        let mut parts = clock.trim_end_matches('Z').split(':').map(|p| p.parse::<f64>().ok());
        let (h, m, s) = (parts.next()??, parts.next()??, parts.next()??);
        Some(((h * 3600.0 + m * 60.0 + s) * 1e3) as u64)
    };
    log.lines().filter(|l| l.contains("fleet: gone") && l.contains(address)).filter_map(time).collect()
}

fn drive(
    mut processes: Processes,
    size: usize,
    script: &Script,
    addresses: tokio::sync::oneshot::Sender<Vec<std::net::SocketAddr>>,
) -> io::Result<Figures> {
    let mut figures = Figures::default();
    for n in 0..size {
        processes.start(n)?;
    }
    figures.joined = agree(&processes).unwrap_or(u64::MAX);
    let _ = addresses.send((0..size).map(|n| processes.listens(n)).collect());
    let (before, at) = (processes.proxy.sent(), Instant::now());
    std::thread::sleep(Duration::from_secs(5));
    let sent = processes.proxy.sent().1 - before.1;
    figures.bytes_a_second = sent as f64 / at.elapsed().as_secs_f64() / size as f64;
    let start = Instant::now();
    let mut kills = Vec::new();
    for (at, act) in &script.0 {
        let due = start + Duration::from_millis(*at);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        processes.act(act)?;
        match act {
            Act::Kill(who) => kills.push((*who.0.start(), unix_ms() % 86_400_000)),
            Act::Start(_) | Act::Resume(_) | Act::Heal => {
                let took = agree(&processes);
                if took.is_none() {
                    figures.broken.push(format!("views differ 30 s after '{act}'"));
                }
                figures.settled.extend(took);
            }
            _ => {}
        }
    }
    for n in processes.running() {
        let id = processes.id(n).unwrap_or_default();
        let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
        figures.kilobytes.extend(statm.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok()).map(|p| p * 4));
    }
    for (victim, killed) in kills {
        let address = processes.proxy.address(victim).to_string();
        for n in (0..size).filter(|n| *n != victim) {
            let times = said_gone(&processes.log(n), &address);
            match times.iter().find(|t| **t >= killed && **t < killed + 20_000) {
                Some(time) => figures.detected.push(time - killed),
                None => figures.broken.push(format!("n{n} did not notice that n{victim} was killed")),
            }
        }
    }
    Ok(figures)
}

pub async fn run(asked: &Fleet) -> io::Result<bool> {
    let mut good = true;
    for size in &asked.sizes {
        let mut all = Vec::new();
        for seed in asked.seed..asked.seed + asked.seeds {
            let script = match &asked.script {
                Some(file) => std::fs::read_to_string(file)?.parse().map_err(io::Error::other)?,
                None => faults(seed, *size),
            };
            let figures = play(&asked.binary, seed, *size, &script).await?;
            if !figures.broken.is_empty() {
                println!("seed {seed}, {size} processes:\n{script}{}", figures.broken.join("\n"));
                good = false;
            }
            all.push(figures);
        }
        let joined: Vec<u64> = all.iter().map(|f| f.joined).collect();
        let times =
            |of: fn(&Figures) -> &Vec<u64>| -> Vec<u64> { all.iter().flat_map(of).copied().collect() };
        let bytes = all.iter().map(|f| f.bytes_a_second).sum::<f64>() / all.len() as f64;
        println!("{size} processes, {} seeds from {}, times in ms", asked.seeds, asked.seed);
        println!("  started, all agree:      {}", quantiles(&joined));
        println!("  a kill is known:         {}  (wanted p99 3000)", quantiles(&times(|f| &f.detected)));
        println!("  after a fault, agree:    {}  (wanted 5000 at most)", quantiles(&times(|f| &f.settled)));
        println!("  a member sends:          {bytes:.0} bytes a second");
        println!("  resident, KB:            {}", quantiles(&times(|f| &f.kilobytes)));
        good &= times(|f| &f.settled).iter().all(|t| *t <= 5_000);
        good &= times(|f| &f.detected).iter().all(|t| *t <= 3_000);
    }
    Ok(good)
}
