//! Measures failure detection, agreement on the membership, traffic and memory of fleets of any size on the virtual
//! network.

use clap::Args;
use hdrhistogram::Histogram;
use petreldock::fleet::view::Notification;
use petreldock_lab::script::{FaultAction, ProcessRange, Script};
use petreldock_lab::virtual_network::{SimulationConfig, VirtualNetwork};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io;

/// Arguments of the experiment.
#[derive(Debug, Args)]
pub struct ViewArgs {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// So many seeds from there on
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// Members
    #[arg(long, default_values_t = [64, 300, 1024])]
    pub sizes: Vec<usize>,
    /// Minutes at five per cent loss
    #[arg(long, default_value_t = 2)]
    pub minutes: u64,
    /// Runs side by side
    #[arg(long, default_value_t = 4)]
    pub jobs: usize,
}

/// Measurements of one run; times in milliseconds.
#[derive(Clone, Debug, Default)]
struct Measurements {
    /// From the start of all members until their views converged.
    join_ms: Option<u64>,
    /// From each crash until each other member reported it.
    detection_ms: Vec<u64>,
    /// Reports of crashes that did not come within 8 s, over all members.
    missed_detections: u64,
    /// From the restart of each crashed member until the views converged.
    rejoin_ms: Vec<Option<u64>>,
    /// From the end of the split until the views converged.
    heal_ms: Option<u64>,
    /// Reports under loss that a running member is gone.
    false_detections: u64,
    /// Suspicions per hour under loss, over all members.
    suspicions_per_hour: f64,
    /// Datagrams per second that a member sends without faults.
    datagrams_per_second: f64,
    /// Bytes per second that a member sends without faults.
    bytes_per_second: f64,
    /// Age of the facts about each member, in the views of up to 20 members.
    facts_age_ms: Vec<u64>,
    /// Memory per member, in KB.
    memory_kb: f64,
}

/// Resident memory of this process, in KB.
fn resident_kb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok()).unwrap_or(0.0) * 4.0
}

/// Runs one seed at one size.
fn measure(seed: u64, size: usize, minutes: u64) -> Measurements {
    let mut measurements = Measurements::default();
    let memory_before = resident_kb();
    let mut network = VirtualNetwork::new(SimulationConfig::new(seed, size), &Script::default());
    let mut rng = StdRng::seed_from_u64(seed);
    // All members start at once, as after a power failure.
    network.apply(FaultAction::Start(ProcessRange(0..=size - 1)));
    measurements.join_ms = network.run_until(60_000, VirtualNetwork::converged).map(|t| t / 1000);
    network.run(10_000);
    measurements.memory_kb = (resident_kb() - memory_before) / size as f64;
    // Traffic without faults.
    let sent = network.sent;
    network.run(10_000);
    let per_member_second = |n: u64| n as f64 / 10.0 / size as f64;
    measurements.datagrams_per_second = per_member_second(network.sent.0 - sent.0);
    measurements.bytes_per_second = per_member_second(network.sent.1 - sent.1);
    for n in 0..size.min(20) {
        let ages = network.members(n).into_iter().map(|m| m.facts.map_or(60_000, |f| f.1 .0 / 1000));
        measurements.facts_age_ms.extend(ages);
    }
    // Four crashes, one after the other.
    for _ in 0..4 {
        let victim = rng.random_range(3..size);
        network.reported.clear();
        let killed_at_us = network.now_us();
        network.apply(FaultAction::Kill(ProcessRange::single(victim)));
        network.run(8_000);
        let address = petreldock_lab::virtual_network::address(victim);
        let mut detections = 0;
        for reported in network.reported.iter() {
            if matches!(&reported.event, Notification::MemberDown(i) if i.address == address) {
                measurements.detection_ms.push((reported.at_us - killed_at_us) / 1000);
                detections += 1;
            }
        }
        measurements.missed_detections += (size as u64 - 1).saturating_sub(detections);
        network.apply(FaultAction::Start(ProcessRange::single(victim)));
        measurements.rejoin_ms.push(network.run_until(30_000, VirtualNetwork::converged).map(|t| t / 1000));
    }
    // A split into halves for 30 s.
    network.apply(FaultAction::Split(ProcessRange(0..=size / 2 - 1)));
    network.run(30_000);
    network.apply(FaultAction::Heal);
    measurements.heal_ms = network.run_until(60_000, VirtualNetwork::converged).map(|t| t / 1000);
    network.run(5_000);
    // Loss of 5 % of the datagrams.
    network.apply(FaultAction::Loss(5));
    network.reported.clear();
    let suspicions = |network: &VirtualNetwork| -> u64 {
        network.running().filter_map(|n| network.view(n)).map(|v| v.counters().suspected).sum()
    };
    let suspicions_before = suspicions(&network);
    network.run(minutes * 60_000);
    measurements.false_detections =
        network.reported.iter().filter(|r| matches!(r.event, Notification::MemberDown(_))).count() as u64;
    measurements.suspicions_per_hour =
        (suspicions(&network) - suspicions_before) as f64 * 60.0 / minutes.max(1) as f64;
    measurements
}

/// Formats the p50, p99 and maximum of times.
pub fn quantiles(times: &[u64]) -> String {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, 10_000_000, 3).expect("three significant digits are allowed");
    times.iter().for_each(|t| histogram.saturating_record(*t));
    let quantile = |q| histogram.value_at_quantile(q);
    format!("p50 {} p99 {} max {}", quantile(0.5), quantile(0.99), histogram.max())
}

/// Runs all sizes and seeds, prints the results, and returns whether they keep the bounds.
pub fn run(args: &ViewArgs) -> io::Result<bool> {
    let mut passed = true;
    let mut traffic = Vec::new();
    for size in &args.sizes {
        let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
        let mut all = Vec::new();
        for batch in seeds.chunks(args.jobs.max(1)) {
            std::thread::scope(|scope| {
                let threads: Vec<_> =
                    batch.iter().map(|s| scope.spawn(move || measure(*s, *size, args.minutes))).collect();
                all.extend(threads.into_iter().filter_map(|t| t.join().ok()));
            });
        }
        if all.len() < seeds.len() {
            return Err(io::Error::other("a run panicked"));
        }
        // A time that a run did not reach counts as 999,999 ms.
        let times = |of: &dyn Fn(&Measurements) -> Vec<Option<u64>>| -> Vec<u64> {
            all.iter().flat_map(of).map(|t| t.unwrap_or(999_999)).collect()
        };
        let join_ms = times(&|m| vec![m.join_ms]);
        let rejoin_ms = times(&|m| m.rejoin_ms.clone());
        let heal_ms = times(&|m| vec![m.heal_ms]);
        let detection_ms: Vec<u64> = all.iter().flat_map(|m| m.detection_ms.clone()).collect();
        let facts_age_ms: Vec<u64> = all.iter().flat_map(|m| m.facts_age_ms.clone()).collect();
        let mean = |of: fn(&Measurements) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
        let missed: u64 = all.iter().map(|m| m.missed_detections).sum();
        let false_detections: u64 = all.iter().map(|m| m.false_detections).sum();
        println!("{size} members, seeds {} to {}, times in ms", args.seed, args.seed + args.seeds - 1);
        println!("  joining, all at once:   {}  (bound: max 10000)", quantiles(&join_ms));
        println!(
            "  detection of a crash:   {}  (bound: p99 3000), not detected in 8 s: {missed}",
            quantiles(&detection_ms)
        );
        println!("  rejoining, all agree:   {}", quantiles(&rejoin_ms));
        println!("  agreement after split:  {}  (bound: max 5000)", quantiles(&heal_ms));
        println!(
            "  {} min at 5 % loss:      false detections {false_detections} (bound: 0), suspicions per hour {:.0}",
            args.minutes,
            mean(|m| m.suspicions_per_hour)
        );
        println!(
            "  traffic per member:     {:.1} datagrams/s, {:.0} bytes/s",
            mean(|m| m.datagrams_per_second),
            mean(|m| m.bytes_per_second)
        );
        println!("  age of facts:           {}", quantiles(&facts_age_ms));
        println!("  memory per member:      {:.0} KB", mean(|m| m.memory_kb));
        traffic.push(mean(|m| m.bytes_per_second));
        passed &= missed == 0 && false_detections == 0;
        passed &= [(&join_ms, 10_000), (&heal_ms, 5_000)]
            .iter()
            .all(|(times, bound)| times.iter().all(|t| t <= bound));
        let mut sorted = detection_ms.clone();
        sorted.sort_unstable();
        // The bound on detection doesn't apply to fleets of more than 300 members.
        passed &= *size > 300 || sorted.get(sorted.len() * 99 / 100).is_none_or(|t| *t <= 3_000);
    }
    if let [first, .., last] = traffic[..] {
        println!("traffic per member, largest fleet / smallest fleet: {:.2} (bound: below 2)", last / first);
        passed &= last / first < 2.0;
    }
    Ok(passed)
}
