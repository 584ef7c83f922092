//! The leases' machines explored within bounds that take seconds; the lab's `check` goes further.

use petreldock_lab::check::Lease;
use stateright::{Checker, Model};

fn small() -> Lease {
    Lease {
        voters: vec![1, 1, 1],
        claims: vec![1, 1],
        holder: 2,
        time: 3,
        asks: 1,
        restarts: 0,
        counted: 3,
        silent: true,
        acts: false,
    }
}

#[test]
fn explored_small() {
    for (time, asks, restarts) in [(0, 1, 0), (2, 1, 0), (4, 1, 0), (2, 1, 1)] {
        let start = std::time::Instant::now();
        let lease = Lease { time, asks, restarts, ..small() };
        let checker = lease.checker().threads(4).target_state_count(10_000_000).spawn_bfs().join();
        println!(
            "{time} {asks} {restarts}: {} states, {} unique, depth {} {:?}",
            checker.state_count(),
            checker.unique_state_count(),
            checker.max_depth(),
            start.elapsed()
        );
        for (name, path) in checker.discoveries() {
            println!("{name}: {}", path.into_actions().len());
        }
    }
}
