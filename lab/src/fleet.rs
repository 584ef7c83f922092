//! Runs a fleet of processes under a fault script while calls pass through them, and measures joining, failure
//! detection, agreement after faults, traffic and memory.

use crate::caller::{Arrivals, Callers};
use crate::hub::Hub;
use crate::view::quantiles;
use clap::Args;
use miniserde::json;
use petreldock::fleet::show::FleetStatus;
use petreldock_lab::processes::Processes;
use petreldock_lab::program::{target_json, ChangeLog, Deployment};
use petreldock_lab::script::{FaultAction, ProcessRange, Script};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Arguments of the experiment.
#[derive(Debug, Args)]
pub struct FleetArgs {
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

/// The members' failure detection time, in milliseconds.
const DETECTION_MS: u64 = 2_500;
/// Number of places, with one hub each.
const PLACES: usize = 3;
/// Calls per second through each process.
const CALL_RATE: f64 = 4.0;
/// Time within which all running members must have the same view.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time allowed for the callers to connect, ahead of the first call.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Calls scheduled within this time before the end may still be unanswered.
const COMPLETION_TIME: Duration = Duration::from_secs(4);

/// Measurements of one run; times in milliseconds.
#[derive(Debug, Default)]
struct Measurements {
    /// From the last start until all members agreed.
    join_ms: u64,
    /// From each kill until each other member logged it.
    detection_ms: Vec<u64>,
    /// From the end of each fault until all members agreed.
    agreement_ms: Vec<u64>,
    /// Bytes per second that a member sends without faults.
    bytes_per_second: f64,
    /// Resident memory of each process, in KB.
    resident_kb: Vec<u64>,
    /// Rules that were broken.
    violations: Vec<String>,
}

/// The default script of a seed: a crash, a pause, a one-way cut and a split, each ended before the next begins.
fn default_script(seed: u64, size: usize) -> Script {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut random_process = || ProcessRange::single(rng.random_range(0..size));
    let (killed, paused, unreachable) = (random_process(), random_process(), random_process());
    let all = ProcessRange(0..=size - 1);
    let half = ProcessRange(0..=size / 2 - 1);
    Script(vec![
        (1_000, FaultAction::Kill(killed.clone())),
        (6_000, FaultAction::Start(killed)),
        (9_000, FaultAction::Pause(paused.clone())),
        (14_000, FaultAction::Resume(paused)),
        (18_000, FaultAction::Cut(all, unreachable)),
        (24_000, FaultAction::Heal),
        (28_000, FaultAction::Split(half)),
        (40_000, FaultAction::Heal),
    ])
}

/// Runs one seed: the processes are driven from another thread, hubs and callers run on this one.
async fn measure(binary: &Path, seed: u64, size: usize, script: &Script) -> io::Result<Measurements> {
    let log = ChangeLog::default();
    let change_log = log.start().await?;
    let mut targets = Vec::new();
    for place in 0..PLACES {
        let rng = StdRng::seed_from_u64(seed + place as u64);
        let hub = Hub::start(60.0 * size as f64, 1.0, false, rng).await?;
        targets.push(target_json(&format!("s-{place}"), hub.address, place, "in_service", 0));
    }
    log.append(true, &targets);
    let deployment = Deployment { balancers: size, places: PLACES, change_log, known: log.since(0) };
    let (started_sender, started) = tokio::sync::oneshot::channel();
    let (result_sender, result) = tokio::sync::oneshot::channel();
    let (binary, faults, script) = (binary.to_path_buf(), script.clone(), script.clone());
    std::thread::spawn(move || {
        let make_config = |n: usize, address| deployment.config_json(n, address, seed);
        let measured = Processes::new(&binary, size, seed, DETECTION_MS, Box::new(make_config))
            .and_then(|processes| run_script(processes, size, &script, started_sender));
        let _ = result_sender.send(measured);
    });
    let Ok(addresses) = started.await else {
        return result
            .await
            .unwrap_or_else(|_| Err(io::Error::other("the thread that runs the processes panicked")));
    };
    // A call that is due before its caller is connected is lost in the lab, not by the controller.
    let start = tokio::time::Instant::now() + CONNECT_TIME;
    let length_s = faults.0.last().map_or(0.0, |(at, _)| *at as f64 / 1e3) + 10.0;
    let callers: Vec<Callers> = addresses
        .iter()
        .enumerate()
        .map(|(n, address)| {
            let arrivals = Arrivals::generate(seed * 100 + n as u64, length_s, PLACES, |_| CALL_RATE);
            Callers::start(*address, n as u64 + 1, start, arrivals)
        })
        .collect();
    let mut measurements: Measurements = result
        .await
        .unwrap_or_else(|_| Err(io::Error::other("the thread that runs the processes panicked")))?;
    let end = tokio::time::Instant::now();
    // Calls through a process that the script kills, pauses or stops may fail; all others must be answered.
    let disrupted = disrupted_processes(&faults);
    for (n, callers) in callers.iter().enumerate() {
        for call in callers.calls.borrow().iter() {
            if call.final_responses.values().any(|count| *count > 1) {
                measurements.violations.push(format!("a call through n{n} got more than one final response"));
            }
            let complete = call.scheduled_at + COMPLETION_TIME < end;
            let undisrupted = !disrupted.iter().any(|range| range.contains(n));
            if complete && undisrupted && (call.answered_at.is_none() || call.cut) {
                let offset = call.scheduled_at - start;
                let responses = call.final_responses.values().sum::<u32>();
                let failure = if call.cut { "was cut" } else { "was not answered" };
                measurements.violations.push(format!(
                    "a call through n{n}, which was not disrupted, {failure}: scheduled {offset:?} after the start, {responses} final responses"
                ));
            }
        }
    }
    Ok(measurements)
}

/// The processes that the script kills, pauses or stops.
fn disrupted_processes(script: &Script) -> Vec<ProcessRange> {
    let disrupted = |action: &FaultAction| match action {
        FaultAction::Kill(range) | FaultAction::Pause(range) | FaultAction::Leave(range) => {
            Some(range.clone())
        }
        _ => None,
    };
    script.0.iter().filter_map(|(_, action)| disrupted(action)).collect()
}

/// Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Waits until all running members have the same view, which lists exactly the running members. Returns how long it
/// took in milliseconds, or `None` on a timeout.
fn wait_for_agreement(processes: &Processes) -> Option<u64> {
    let start = Instant::now();
    while start.elapsed() < AGREEMENT_TIMEOUT {
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

/// The times at which a member logged that another is gone, in milliseconds since midnight UTC.
fn logged_gone(log: &str, address: &str) -> Vec<u64> {
    let time = |line: &str| {
        let (_, clock) = line.split_whitespace().next()?.split_once('T')?;
        let mut parts = clock.trim_end_matches('Z').split(':').map(|p| p.parse::<f64>().ok());
        let (h, m, s) = (parts.next()??, parts.next()??, parts.next()??);
        Some(((h * 3600.0 + m * 60.0 + s) * 1e3) as u64)
    };
    log.lines().filter(|l| l.contains("fleet: gone") && l.contains(address)).filter_map(time).collect()
}

/// Starts the processes, applies the script to them and measures its effects.
fn run_script(
    mut processes: Processes,
    size: usize,
    script: &Script,
    started: tokio::sync::oneshot::Sender<Vec<std::net::SocketAddr>>,
) -> io::Result<Measurements> {
    let mut measurements = Measurements::default();
    for n in 0..size {
        processes.start(n)?;
    }
    measurements.join_ms = wait_for_agreement(&processes).unwrap_or(u64::MAX);
    let _ = started.send((0..size).map(|n| processes.caller_address(n)).collect());
    let (sent_before, measured_from) = (processes.proxy.sent(), Instant::now());
    std::thread::sleep(Duration::from_secs(5));
    let sent = processes.proxy.sent().1 - sent_before.1;
    measurements.bytes_per_second = sent as f64 / measured_from.elapsed().as_secs_f64() / size as f64;
    let start = Instant::now();
    let mut kills = Vec::new();
    for (at, action) in &script.0 {
        let due = start + Duration::from_millis(*at);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        processes.apply(action)?;
        match action {
            FaultAction::Kill(range) => kills.push((*range.0.start(), unix_ms() % 86_400_000)),
            FaultAction::Start(_) | FaultAction::Resume(_) | FaultAction::Heal => {
                let agreement_ms = wait_for_agreement(&processes);
                if agreement_ms.is_none() {
                    measurements.violations.push(format!("the views still differ 30 s after '{action}'"));
                }
                measurements.agreement_ms.extend(agreement_ms);
            }
            _ => {}
        }
    }
    for n in processes.running() {
        let pid = processes.pid(n).unwrap_or_default();
        let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
        let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
        measurements.resident_kb.extend(pages.map(|pages| pages * 4));
    }
    for (victim, killed_at) in kills {
        let address = processes.proxy.address(victim).to_string();
        for n in (0..size).filter(|n| *n != victim) {
            let times = logged_gone(&processes.log(n), &address);
            match times.iter().find(|t| **t >= killed_at && **t < killed_at + 20_000) {
                Some(time) => measurements.detection_ms.push(time - killed_at),
                None => measurements
                    .violations
                    .push(format!("n{n} did not log within 20 s that the killed n{victim} is gone")),
            }
        }
    }
    Ok(measurements)
}

/// Runs all sizes and seeds, prints the results, and returns whether they keep the bounds.
pub async fn run(args: &FleetArgs) -> io::Result<bool> {
    let mut passed = true;
    for size in &args.sizes {
        let mut all = Vec::new();
        for seed in args.seed..args.seed + args.seeds {
            let script = match &args.script {
                Some(file) => std::fs::read_to_string(file)?.parse().map_err(io::Error::other)?,
                None => default_script(seed, *size),
            };
            let measurements = measure(&args.binary, seed, *size, &script).await?;
            if !measurements.violations.is_empty() {
                println!("seed {seed}, {size} processes:\n{script}{}", measurements.violations.join("\n"));
                passed = false;
            }
            all.push(measurements);
        }
        let join_ms: Vec<u64> = all.iter().map(|m| m.join_ms).collect();
        let times =
            |of: fn(&Measurements) -> &Vec<u64>| -> Vec<u64> { all.iter().flat_map(of).copied().collect() };
        let bytes = all.iter().map(|m| m.bytes_per_second).sum::<f64>() / all.len() as f64;
        println!("{size} processes, {} seeds from {}, times in ms", args.seeds, args.seed);
        println!("  join, until all agree:    {}", quantiles(&join_ms));
        println!("  detection of a kill:      {}  (bound: max 3000)", quantiles(&times(|m| &m.detection_ms)));
        println!("  agreement after a fault:  {}  (bound: max 5000)", quantiles(&times(|m| &m.agreement_ms)));
        println!("  traffic per member:       {bytes:.0} bytes/s");
        println!("  resident memory, KB:      {}", quantiles(&times(|m| &m.resident_kb)));
        passed &= times(|m| &m.agreement_ms).iter().all(|t| *t <= 5_000);
        passed &= times(|m| &m.detection_ms).iter().all(|t| *t <= 3_000);
    }
    Ok(passed)
}
