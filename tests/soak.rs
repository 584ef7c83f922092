//! A short seeded soak of the started program: hubs that hang and vanish, signals in series, a silent change log.
//! A longer one is started by hand (`petreldock-lab soak`).

use petreldock_lab::soak::{self, Plan, Report};
use std::path::Path;
use std::thread;

const SEEDS: [u64; 4] = [5, 29, 31, 32];

fn play(seed: u64) -> Report {
    let plan = Plan { binary: env!("CARGO_BIN_EXE_petreldock").into(), length_s: 26.0 };
    let folder = std::env::temp_dir().join(format!("petreldock-soak-{}-{seed}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let played = tokio::task::LocalSet::new().block_on(&runtime, soak::play(&plan, seed, Path::new(&folder)));
    let _ = std::fs::remove_dir_all(&folder);
    played.expect("played")
}

#[test]
fn no_rule_breaks_while_hubs_hang_and_vanish_and_controllers_are_replaced() {
    let playing: Vec<_> = SEEDS.map(|seed| (seed, thread::spawn(move || play(seed)))).into_iter().collect();
    let mut broken = Vec::new();
    for (seed, thread) in playing {
        let report = thread.join().expect("played");
        let found = &report.findings;
        assert!(found.answered > 500 && found.released > 300, "seed {seed} shows nothing: {found:?}");
        if !found.broken.is_empty() {
            broken.push(format!("seed {seed}: {:#?} {:#?}", report.script, found.broken));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
