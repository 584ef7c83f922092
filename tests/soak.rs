//! Short soaks of the program from fixed seeds, which guard against lost answers, missing releases and overlapping
//! attempts while hubs freeze and fail, controllers receive series of signals and the change log does not respond.
//! `petreldock-lab soak` runs longer ones.

use petreldock_lab::soak::{self, Plan, Report};
use std::path::Path;
use std::thread;

const SEEDS: [u64; 4] = [5, 29, 31, 32];

/// Runs the soak with one seed in a folder of its own.
fn run_seed(seed: u64) -> Report {
    let plan = Plan { binary: env!("CARGO_BIN_EXE_petreldock").into(), length_s: 26.0 };
    let folder = std::env::temp_dir().join(format!("petreldock-soak-{}-{seed}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let result = tokio::task::LocalSet::new().block_on(&runtime, soak::run(&plan, seed, Path::new(&folder)));
    let _ = std::fs::remove_dir_all(&folder);
    result.expect("the run completes")
}

#[test]
fn soak_finds_no_violation_while_hubs_fail_and_controllers_are_replaced() {
    let threads: Vec<_> =
        SEEDS.map(|seed| (seed, thread::spawn(move || run_seed(seed)))).into_iter().collect();
    let mut failures = Vec::new();
    for (seed, thread) in threads {
        let report = thread.join().expect("the run completes");
        let findings = &report.findings;
        assert!(
            findings.answered > 500 && findings.released > 300,
            "seed {seed} has too few answers or releases to be conclusive: {findings:?}"
        );
        if !findings.violations.is_empty() {
            failures.push(format!("seed {seed}: {:#?} {:#?}", report.actions, findings.violations));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
