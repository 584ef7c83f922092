//! How fast and how cheaply a fleet agrees on who is in it: on the virtual network, at any size.

use clap::Args;
use hdrhistogram::Histogram;
use petreldock::fleet::view::Notification;
use petreldock_lab::net::{Net, Plan};
use petreldock_lab::script::{Act, Script, Who};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io;

#[derive(Debug, Args)]
pub struct View {
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

/// What one run showed; times in milliseconds.
#[derive(Clone, Debug, Default)]
struct Figures {
    joined: Option<u64>,
    /// From a crash to each other member's word that it is gone.
    detected: Vec<u64>,
    /// A crash that somebody had not noticed in time.
    missed: u64,
    settled: Vec<Option<u64>>,
    healed: Option<u64>,
    /// Members that run and were said to be gone, under loss.
    false_gone: u64,
    suspicions_an_hour: f64,
    datagrams_a_second: f64,
    bytes_a_second: f64,
    facts_age: Vec<u64>,
    kilobytes: f64,
}

fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok()).unwrap_or(0.0) * 4.0
}

fn play(seed: u64, size: usize, minutes: u64) -> Figures {
    let mut figures = Figures::default();
    let before = resident();
    let mut net = Net::new(Plan::new(seed, size), &Script::default());
    let mut rng = StdRng::seed_from_u64(seed);
    // All at once, as after a power cut.
    net.act(Act::Start(Who(0..=size - 1)));
    figures.joined = net.until(60_000, Net::settled).map(|t| t / 1000);
    net.run(10_000);
    figures.kilobytes = (resident() - before) / size as f64;
    // Nothing happens.
    let sent = net.sent;
    net.run(10_000);
    let each = |n: u64| n as f64 / 10.0 / size as f64;
    figures.datagrams_a_second = each(net.sent.0 - sent.0);
    figures.bytes_a_second = each(net.sent.1 - sent.1);
    for n in 0..size.min(20) {
        let ages = net.members(n).into_iter().map(|m| m.facts.map_or(60_000, |f| f.1 .0 / 1000));
        figures.facts_age.extend(ages);
    }
    // Crashes.
    for _ in 0..4 {
        let victim = rng.random_range(3..size);
        net.said.clear();
        let at = net.now();
        net.act(Act::Kill(Who::one(victim)));
        net.run(8_000);
        let address = petreldock_lab::net::address(victim);
        let mut noticed = 0;
        for said in net.said.iter() {
            if matches!(&said.news, Notification::MemberDown(i) if i.address == address) {
                figures.detected.push((said.at - at) / 1000);
                noticed += 1;
            }
        }
        figures.missed += (size as u64 - 1).saturating_sub(noticed);
        net.act(Act::Start(Who::one(victim)));
        figures.settled.push(net.until(30_000, Net::settled).map(|t| t / 1000));
    }
    // In halves for thirty seconds.
    net.act(Act::Split(Who(0..=size / 2 - 1)));
    net.run(30_000);
    net.act(Act::Heal);
    figures.healed = net.until(60_000, Net::settled).map(|t| t / 1000);
    net.run(5_000);
    // Loss.
    net.act(Act::Loss(5));
    net.said.clear();
    let suspected = |net: &Net| -> u64 {
        net.running().filter_map(|n| net.view(n)).map(|v| v.counters().suspected).sum()
    };
    let first = suspected(&net);
    net.run(minutes * 60_000);
    figures.false_gone =
        net.said.iter().filter(|s| matches!(s.news, Notification::MemberDown(_))).count() as u64;
    figures.suspicions_an_hour = (suspected(&net) - first) as f64 * 60.0 / minutes.max(1) as f64;
    figures
}

/// Percentiles of some times.
pub fn quantiles(times: &[u64]) -> String {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, 10_000_000, 3).expect("three digits are allowed");
    times.iter().for_each(|t| histogram.saturating_record(*t));
    let at = |q| histogram.value_at_quantile(q);
    format!("p50 {} p99 {} most {}", at(0.5), at(0.99), histogram.max())
}

pub fn run(asked: &View) -> io::Result<bool> {
    let mut good = true;
    let mut traffic = Vec::new();
    for size in &asked.sizes {
        let seeds: Vec<u64> = (asked.seed..asked.seed + asked.seeds).collect();
        let mut all = Vec::new();
        for batch in seeds.chunks(asked.jobs.max(1)) {
            std::thread::scope(|scope| {
                let threads: Vec<_> =
                    batch.iter().map(|s| scope.spawn(move || play(*s, *size, asked.minutes))).collect();
                all.extend(threads.into_iter().filter_map(|t| t.join().ok()));
            });
        }
        if all.len() < seeds.len() {
            return Err(io::Error::other("a run panicked"));
        }
        let times = |of: &dyn Fn(&Figures) -> Vec<Option<u64>>| -> Vec<u64> {
            all.iter().flat_map(of).map(|t| t.unwrap_or(999_999)).collect()
        };
        let joined = times(&|f| vec![f.joined]);
        let settled = times(&|f| f.settled.clone());
        let healed = times(&|f| vec![f.healed]);
        let detected: Vec<u64> = all.iter().flat_map(|f| f.detected.clone()).collect();
        let ages: Vec<u64> = all.iter().flat_map(|f| f.facts_age.clone()).collect();
        let sum = |of: fn(&Figures) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
        let missed: u64 = all.iter().map(|f| f.missed).sum();
        let gone: u64 = all.iter().map(|f| f.false_gone).sum();
        println!("{size} members, seeds {} to {}, in ms", asked.seed, asked.seed + asked.seeds - 1);
        println!("  all join at once:       {}  (wanted 10000 at most)", quantiles(&joined));
        println!(
            "  a crash is known:       {}  (wanted p99 3000), not noticed in 8 s: {missed}",
            quantiles(&detected)
        );
        println!("  it is back, all agree:  {}", quantiles(&settled));
        println!("  healed after 30 s:      {}  (wanted 5000 at most)", quantiles(&healed));
        println!(
            "  {} min at 5 % loss:      said to be gone {gone} (wanted 0), suspicions an hour {:.0}",
            asked.minutes,
            sum(|f| f.suspicions_an_hour)
        );
        println!(
            "  a member sends:         {:.1} datagrams and {:.0} bytes a second",
            sum(|f| f.datagrams_a_second),
            sum(|f| f.bytes_a_second)
        );
        println!("  age of facts:           {}", quantiles(&ages));
        println!("  memory of a member:     {:.0} KB", sum(|f| f.kilobytes));
        traffic.push(sum(|f| f.bytes_a_second));
        good &= missed == 0 && gone == 0;
        good &= [(&joined, 10_000), (&healed, 5_000)].iter().all(|(t, most)| t.iter().all(|t| t <= most));
        let mut sorted = detected.clone();
        sorted.sort_unstable();
        good &= *size > 300 || sorted.get(sorted.len() * 99 / 100).is_none_or(|t| *t <= 3_000);
    }
    if let [first, .., last] = traffic[..] {
        println!("a member's traffic, largest to smallest fleet: {:.2} times (wanted under 2)", last / first);
        good &= last / first < 2.0;
    }
    Ok(good)
}
