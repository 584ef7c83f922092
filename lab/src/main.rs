//! Experiments with the started program. Each prints what it measured beside its bounds and ends with an exit
//! code other than nought when one is broken. Everything stays on loopback, bounded in count and time.

mod caller;
mod cost;
mod fleet;
mod hub;

mod restart;
mod view;

use clap::{Args, Parser, Subcommand};
use hdrhistogram::Histogram;
use miniserde::{json, Serialize};
use petreldock_lab::soak;
use restart::{Figures, Plan, Variant, VARIANTS};
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Experiments with the started petreldock.
#[derive(Debug, Parser)]
#[command(name = "petreldock-lab")]
struct Arguments {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Debug, Subcommand)]
enum Experiment {
    /// What a restart at a round start costs, with and without what was learnt
    Restart(Restart),
    /// What keeping what is learnt, or talking to a fleet, costs a call: on and off side by side
    Cost(Cost),
    /// How fast and how cheaply a fleet agrees on who is in it, on a virtual network
    View(view::View),
    /// The same with started processes, faults between them, and calls through them
    Fleet(fleet::Fleet),
    /// Short runs with hubs, signals and callers that make trouble, every rule audited
    Soak(Soak),
}

#[derive(Debug, Args)]
struct Cost {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds from there on, side by side
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// What is on: a fleet of so many in place of the state folder
    #[arg(long)]
    fleet: Option<usize>,
    /// The program
    #[arg(long, default_value = "target/release/petreldock")]
    binary: PathBuf,
}

#[derive(Debug, Args)]
struct Soak {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds from there on
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// Runs side by side
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// Seconds of a run
    #[arg(long, default_value_t = 26.0)]
    length: f64,
    /// The program
    #[arg(long, default_value = "target/release/petreldock")]
    binary: PathBuf,
    /// Print what was done in each run, also where no rule broke
    #[arg(long)]
    script: bool,
    /// Keep the programs' logs of runs with a broken rule in this folder
    #[arg(long)]
    logs: Option<PathBuf>,
}

#[derive(Debug, Args)]
struct Restart {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds from there on
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Runs side by side
    #[arg(long, default_value_t = 5)]
    jobs: usize,
    /// Controllers; the first is restarted
    #[arg(long, default_value_t = 3)]
    controllers: usize,
    /// Calls a second, all together
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// The jump, in times the rate
    #[arg(long, default_value_t = 1.4)]
    jump: f64,
    /// Calls a second that a hub carries
    #[arg(long, default_value_t = 25.0)]
    capacity: f64,
    /// How many times slower the slow hub is
    #[arg(long, default_value_t = 2.5)]
    slow: f64,
    /// The program
    #[arg(long, default_value = "target/release/petreldock")]
    binary: PathBuf,
    /// Write the figures to this file, as JSON
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Clone, Debug, Serialize)]
struct Run {
    seed: u64,
    variant: String,
    figures: Figures,
}

fn main() -> ExitCode {
    let done = match Arguments::parse().experiment {
        Experiment::Restart(asked) => restart(&asked),
        Experiment::Cost(asked) => cost(&asked),
        Experiment::View(asked) => view::run(&asked),
        Experiment::Fleet(asked) => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .and_then(|r| tokio::task::LocalSet::new().block_on(&r, fleet::run(&asked))),
        Experiment::Soak(asked) => soak(&asked),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("petreldock-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Plays runs side by side, so many at a time, each on a thread of its own with a folder of its own.
fn side_by_side<A, T, F>(runs: &[A], jobs: usize, play: F) -> std::io::Result<Vec<(A, T)>>
where
    A: Copy + Debug + Send + Sync,
    T: Send,
    F: AsyncFn(A, &Path) -> std::io::Result<T> + Sync,
{
    let one = |run: A| {
        let folder = std::env::temp_dir().join(format!("petreldock-lab-{}-{run:?}", std::process::id()));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let played = tokio::task::LocalSet::new().block_on(&runtime, play(run, &folder));
        let _ = std::fs::remove_dir_all(&folder);
        played
    };
    let mut results = Vec::new();
    for batch in runs.chunks(jobs.max(1)) {
        std::thread::scope(|scope| {
            let threads: Vec<_> = batch.iter().map(|run| (*run, scope.spawn(|| one(*run)))).collect();
            for (run, thread) in threads {
                let played = thread.join().map_err(|_| std::io::Error::other("a run panicked"))??;
                results.push((run, played));
            }
            Ok::<(), std::io::Error>(())
        })?;
    }
    Ok(results)
}

/// Plays the soak's seeds and prints what each showed.
fn soak(asked: &Soak) -> std::io::Result<bool> {
    let plan = soak::Plan { binary: asked.binary.clone(), length_s: asked.length };
    let seeds: Vec<u64> = (asked.seed..asked.seed + asked.seeds).collect();
    let played = side_by_side(&seeds, asked.jobs, async |seed, folder: &Path| {
        let report = soak::run(&plan, seed, folder).await?;
        if let Some(logs) = asked.logs.as_ref().filter(|_| !report.findings.violations.is_empty()) {
            keep_logs(folder, &logs.join(seed.to_string()))?;
        }
        Ok(report)
    })?;
    let (mut broken, mut void) = (0, 0);
    for (seed, report) in &played {
        let found = &report.findings;
        println!(
            "seed {seed}: {} requests, {} answered, {} released in time, {} released early, held up {} ms{}",
            found.requests,
            found.answered,
            found.released,
            found.released_early,
            report.max_stall.as_millis(),
            if report.is_void() { ", void" } else { "" }
        );
        void += usize::from(report.is_void());
        if asked.script || !found.violations.is_empty() {
            report.actions.iter().for_each(|line| println!("    {line}"));
        }
        if !found.violations.is_empty() {
            broken += usize::from(!report.is_void());
            found.violations.iter().for_each(|line| println!("  broken: {line}"));
        }
    }
    println!("{} seeds, {broken} with a broken rule, {void} void", played.len());
    Ok(broken == 0)
}

/// Copies the programs' logs of one run.
fn keep_logs(from: &Path, to: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path().join("log"), to.join(entry.file_name()))?;
    }
    Ok(())
}

/// Plays all variants of all seeds.
fn plays(asked: &Restart) -> std::io::Result<Vec<(u64, Variant, Figures)>> {
    let plan = Plan {
        binary: asked.binary.clone(),
        controllers: asked.controllers.max(1),
        rate: asked.rate,
        jump: asked.jump,
        capacity: asked.capacity,
        slow: asked.slow,
    };
    let seeds = asked.seed..asked.seed + asked.seeds;
    let all: Vec<(u64, Variant)> = seeds.flat_map(|s| VARIANTS.map(|v| (s, v))).collect();
    let played = side_by_side(&all, asked.jobs, async |(seed, variant), folder: &Path| {
        restart::play(&plan, variant, seed, folder).await
    })?;
    Ok(played.into_iter().map(|((seed, variant), figures)| (seed, variant, figures)).collect())
}

/// Most that keeping may add to the p99 of a set-up.
const COST_MOST: f64 = 1.02;

fn cost(asked: &Cost) -> std::io::Result<bool> {
    let seeds: Vec<u64> = (asked.seed..asked.seed + asked.seeds).collect();
    let played = side_by_side(&seeds, 4, async |seed, folder: &Path| {
        cost::play(&asked.binary, seed, folder, asked.fleet).await
    })?;
    println!("set-up from its intended start, in us, on and off side by side");
    let mut ratios = (Vec::new(), Vec::new());
    for (seed, [on, off]) in &played {
        println!("seed {seed}: p50 {} / {}, p99 {} / {}", on.0, off.0, on.1, off.1);
        ratios.0.push(on.0 / off.0.max(1.0));
        ratios.1.push(on.1 / off.1.max(1.0));
    }
    let median = |ratios: &mut Vec<f64>| {
        ratios.sort_by(f64::total_cmp);
        (ratios[0], ratios[ratios.len() / 2], ratios[ratios.len() - 1])
    };
    let (p50, p99) = (median(&mut ratios.0), median(&mut ratios.1));
    println!(
        "on / off: p50 {:.3} {:.3} {:.3}, p99 {:.3} {:.3} {:.3} (least, median, greatest)",
        p50.0, p50.1, p50.2, p99.0, p99.1, p99.2
    );
    println!("bound: the median of p99 at most {COST_MOST}");
    Ok(p99.1 <= COST_MOST)
}

/// Least, mean and greatest of some shares, in thousandths.
fn spread(shares: impl Iterator<Item = f64>) -> (f64, f64, f64) {
    let mut histogram = Histogram::<u64>::new(4).expect("four digits are allowed");
    for share in shares {
        histogram.saturating_record((share * 10_000.0) as u64);
    }
    (histogram.min() as f64 / 1e4, histogram.mean() / 1e4, histogram.max() as f64 / 1e4)
}

/// A run in which the lab itself was held up for longer shows nothing of the program.
const LATE_MS: f64 = 50.0;

fn restart(asked: &Restart) -> std::io::Result<bool> {
    let mut runs = plays(asked)?;
    // All variants of a seed count, or none: they are compared with one another.
    let late: BTreeSet<u64> = runs.iter().filter(|r| r.2.late_ms > LATE_MS).map(|r| r.0).collect();
    runs.retain(|r| !late.contains(&r.0));
    if !late.is_empty() {
        println!("left out, as the lab was held up for over {LATE_MS} ms: seeds {late:?}");
    }
    if runs.is_empty() {
        return Err(std::io::Error::other("no run counts; try fewer jobs"));
    }
    println!(
        "share of the worth in time; least, mean, greatest of {} seeds from {}",
        asked.seeds, asked.seed
    );
    println!("{:<16}{:>24}{:>24}{:>24}", "", "first 5 s", "first 10 s", "10 s, all controllers");
    let mut means = Vec::new();
    for variant in VARIANTS {
        let of = |figure: fn(&Figures) -> f64| {
            spread(runs.iter().filter(|r| r.1 == variant).map(|r| figure(&r.2)))
        };
        let columns = [of(|f| f.first_5), of(|f| f.first_10), of(|f| f.all_10)];
        let shown = columns.map(|(l, m, g)| format!("{l:.3} {m:.3} {g:.3}"));
        println!("{:<16}{:>24}{:>24}{:>24}", format!("{variant:?}"), shown[0], shown[1], shown[2]);
        means.push([columns[0].1, columns[1].1]);
    }
    let mut good = true;
    for (nth, span) in ["5 s", "10 s"].iter().enumerate() {
        let cost = means[0][nth] - means[1][nth];
        let won = means[2][nth] - means[1][nth];
        let lost = means[3][nth] - means[4][nth];
        println!(
            "first {span}: a restart costs {cost:.3}; won back {won:.3} ({:.0} %, wanted 50); wrong learning costs \
             {lost:.3} ({:.0} %, at most 10)",
            100.0 * won / cost.max(1e-3),
            100.0 * lost / cost.max(1e-3)
        );
        good &= won >= 0.5 * cost && lost <= 0.1 * cost;
    }
    for (seed, variant, figures) in &runs {
        for broken in &figures.broken {
            println!("seed {seed}, {variant:?}: {broken}");
            good = false;
        }
    }
    if let Some(file) = &asked.json {
        let runs: Vec<Run> = runs
            .into_iter()
            .map(|(seed, variant, figures)| Run { seed, variant: format!("{variant:?}"), figures })
            .collect();
        std::fs::write(file, json::to_string(&runs))?;
    }
    Ok(good)
}
