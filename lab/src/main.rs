//! Experiments with started petreldock processes. Each prints its measurements and their bounds, and exits with a
//! non-zero code when a bound is not kept. All traffic stays on loopback; the number of processes and the length of
//! runs are bounded.

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
use restart::{Figures, RestartConfig, Variant, VARIANTS};
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
    Restart(RestartArgs),
    /// What keeping what is learnt, or talking to a fleet, costs a call: on and off side by side
    Cost(CostArgs),
    /// How fast and how cheaply a fleet agrees on who is in it, on a virtual network
    View(view::ViewArgs),
    /// The same with started processes, faults between them, and calls through them
    Fleet(fleet::FleetArgs),
    /// Short runs with hubs, signals and callers that make trouble, every rule audited
    Soak(SoakArgs),
}

#[derive(Debug, Args)]
struct CostArgs {
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
struct SoakArgs {
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
struct RestartArgs {
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

/// One run in the JSON output.
#[derive(Clone, Debug, Serialize)]
struct Run {
    seed: u64,
    variant: String,
    figures: Figures,
}

fn main() -> ExitCode {
    let result = match Arguments::parse().experiment {
        Experiment::Restart(args) => restart(&args),
        Experiment::Cost(args) => cost(&args),
        Experiment::View(args) => view::run(&args),
        Experiment::Fleet(args) => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .and_then(|r| tokio::task::LocalSet::new().block_on(&r, fleet::run(&args))),
        Experiment::Soak(args) => soak(&args),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("petreldock-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Executes runs in batches of `jobs`, each run on its own thread and with its own temporary folder, and returns the
/// results in the order of the runs.
fn run_in_parallel<A, T, F>(runs: &[A], jobs: usize, execute: F) -> std::io::Result<Vec<(A, T)>>
where
    A: Copy + Debug + Send + Sync,
    T: Send,
    F: AsyncFn(A, &Path) -> std::io::Result<T> + Sync,
{
    let execute_one = |run: A| {
        let folder = std::env::temp_dir().join(format!("petreldock-lab-{}-{run:?}", std::process::id()));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let result = tokio::task::LocalSet::new().block_on(&runtime, execute(run, &folder));
        let _ = std::fs::remove_dir_all(&folder);
        result
    };
    let mut results = Vec::new();
    for batch in runs.chunks(jobs.max(1)) {
        std::thread::scope(|scope| {
            let threads: Vec<_> = batch.iter().map(|run| (*run, scope.spawn(|| execute_one(*run)))).collect();
            for (run, thread) in threads {
                let result = thread.join().map_err(|_| std::io::Error::other("a run panicked"))??;
                results.push((run, result));
            }
            Ok::<(), std::io::Error>(())
        })?;
    }
    Ok(results)
}

/// Runs the soak test for all seeds, prints the results, and returns whether no rule was broken.
fn soak(args: &SoakArgs) -> std::io::Result<bool> {
    let plan = soak::Plan { binary: args.binary.clone(), length_s: args.length };
    let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
    let reports = run_in_parallel(&seeds, args.jobs, async |seed, folder: &Path| {
        let report = soak::run(&plan, seed, folder).await?;
        if let Some(logs) = args.logs.as_ref().filter(|_| !report.findings.violations.is_empty()) {
            copy_logs(folder, &logs.join(seed.to_string()))?;
        }
        Ok(report)
    })?;
    let (mut broken, mut void) = (0, 0);
    for (seed, report) in &reports {
        let findings = &report.findings;
        println!(
            "seed {seed}: {} requests, {} answered, {} released in time, {} released early, scheduling delay {} ms{}",
            findings.requests,
            findings.answered,
            findings.released,
            findings.released_early,
            report.max_stall.as_millis(),
            if report.is_void() { ", void" } else { "" }
        );
        void += usize::from(report.is_void());
        if args.script || !findings.violations.is_empty() {
            report.actions.iter().for_each(|line| println!("    {line}"));
        }
        if !findings.violations.is_empty() {
            broken += usize::from(!report.is_void());
            findings.violations.iter().for_each(|line| println!("  broken: {line}"));
        }
    }
    println!("{} seeds, {broken} with a broken rule, {void} void", reports.len());
    Ok(broken == 0)
}

/// Copies the controllers' logs of one run.
fn copy_logs(from: &Path, to: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path().join("log"), to.join(entry.file_name()))?;
    }
    Ok(())
}

/// Runs all variants of all seeds.
fn run_variants(args: &RestartArgs) -> std::io::Result<Vec<(u64, Variant, Figures)>> {
    let config = RestartConfig {
        binary: args.binary.clone(),
        controllers: args.controllers.max(1),
        call_rate: args.rate,
        jump_factor: args.jump,
        hub_capacity: args.capacity,
        slowdown: args.slow,
    };
    let seeds = args.seed..args.seed + args.seeds;
    let all: Vec<(u64, Variant)> = seeds.flat_map(|s| VARIANTS.map(|v| (s, v))).collect();
    let results = run_in_parallel(&all, args.jobs, async |(seed, variant), folder: &Path| {
        restart::run_variant(&config, variant, seed, folder).await
    })?;
    Ok(results.into_iter().map(|((seed, variant), figures)| (seed, variant, figures)).collect())
}

/// Upper bound of the p99 set-up latency with the feature on, relative to the p99 with it off.
const MAX_P99_RATIO: f64 = 1.02;

/// Measures the cost of learned state or of a fleet for all seeds, prints it, and returns whether it keeps the bound.
fn cost(args: &CostArgs) -> std::io::Result<bool> {
    let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
    let results = run_in_parallel(&seeds, 4, async |seed, folder: &Path| {
        cost::measure(&args.binary, seed, folder, args.fleet).await
    })?;
    println!("set-up latency from the scheduled start, in us, on / off");
    let mut ratios = (Vec::new(), Vec::new());
    for (seed, [on, off]) in &results {
        println!("seed {seed}: p50 {} / {}, p99 {} / {}", on.0, off.0, on.1, off.1);
        ratios.0.push(on.0 / off.0.max(1.0));
        ratios.1.push(on.1 / off.1.max(1.0));
    }
    let min_median_max = |ratios: &mut Vec<f64>| {
        ratios.sort_by(f64::total_cmp);
        (ratios[0], ratios[ratios.len() / 2], ratios[ratios.len() - 1])
    };
    let (p50, p99) = (min_median_max(&mut ratios.0), min_median_max(&mut ratios.1));
    println!(
        "on / off: p50 {:.3} {:.3} {:.3}, p99 {:.3} {:.3} {:.3} (min, median, max)",
        p50.0, p50.1, p50.2, p99.0, p99.1, p99.2
    );
    println!("bound: median of the p99 ratios at most {MAX_P99_RATIO}");
    Ok(p99.1 <= MAX_P99_RATIO)
}

/// Minimum, mean and maximum of shares from 0 to 1, with a resolution of 1/10000.
fn min_mean_max(shares: impl Iterator<Item = f64>) -> (f64, f64, f64) {
    let mut histogram = Histogram::<u64>::new(4).expect("four significant digits are allowed");
    for share in shares {
        histogram.saturating_record((share * 10_000.0) as u64);
    }
    (histogram.min() as f64 / 1e4, histogram.mean() / 1e4, histogram.max() as f64 / 1e4)
}

/// Runs in which the lab itself had a longer scheduling delay are discarded: their results don't depend on the
/// controllers alone.
const MAX_LAB_DELAY_MS: f64 = 50.0;

/// Measures the cost of a restart for all seeds and variants, prints it, and returns whether it keeps the bounds.
fn restart(args: &RestartArgs) -> std::io::Result<bool> {
    let mut runs = run_variants(args)?;
    // The variants of a seed are compared with one another, so a seed is discarded as a whole.
    let delayed: BTreeSet<u64> =
        runs.iter().filter(|r| r.2.late_ms > MAX_LAB_DELAY_MS).map(|r| r.0).collect();
    runs.retain(|r| !delayed.contains(&r.0));
    if !delayed.is_empty() {
        println!("seeds discarded, as the lab was delayed by more than {MAX_LAB_DELAY_MS} ms: {delayed:?}");
    }
    if runs.is_empty() {
        return Err(std::io::Error::other(
            "all seeds were discarded because the lab was delayed; try fewer jobs",
        ));
    }
    println!("share of the worth served in time; min, mean, max of {} seeds from {}", args.seeds, args.seed);
    println!("{:<16}{:>24}{:>24}{:>24}", "", "first 5 s", "first 10 s", "10 s, all controllers");
    let mut means = Vec::new();
    for variant in VARIANTS {
        let summary = |figure: fn(&Figures) -> f64| {
            min_mean_max(runs.iter().filter(|r| r.1 == variant).map(|r| figure(&r.2)))
        };
        let columns = [summary(|f| f.first_5), summary(|f| f.first_10), summary(|f| f.all_10)];
        let cells = columns.map(|(min, mean, max)| format!("{min:.3} {mean:.3} {max:.3}"));
        println!("{:<16}{:>24}{:>24}{:>24}", format!("{variant:?}"), cells[0], cells[1], cells[2]);
        means.push([columns[0].1, columns[1].1]);
    }
    let mut passed = true;
    for (column, span) in ["5 s", "10 s"].iter().enumerate() {
        let cost = means[0][column] - means[1][column];
        let recovered = means[2][column] - means[1][column];
        let lost = means[3][column] - means[4][column];
        println!(
            "first {span}: a restart costs {cost:.3}; learned state recovers {recovered:.3} ({:.0} %, bound: min 50); wrong \
             learned state costs {lost:.3} ({:.0} %, bound: max 10)",
            100.0 * recovered / cost.max(1e-3),
            100.0 * lost / cost.max(1e-3)
        );
        passed &= recovered >= 0.5 * cost && lost <= 0.1 * cost;
    }
    for (seed, variant, figures) in &runs {
        for violation in &figures.broken {
            println!("seed {seed}, {variant:?}: {violation}");
            passed = false;
        }
    }
    if let Some(file) = &args.json {
        let runs: Vec<Run> = runs
            .into_iter()
            .map(|(seed, variant, figures)| Run { seed, variant: format!("{variant:?}"), figures })
            .collect();
        std::fs::write(file, json::to_string(&runs))?;
    }
    Ok(passed)
}
