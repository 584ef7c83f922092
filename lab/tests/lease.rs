//! The leases' machines: explored in full within bounds that take seconds, walked at random beyond them, and each
//! planted fault found by the same walk. A walk's seed is fixed; what breaks a property is printed as its events.

use petreldock_lab::check::{walk, Lease};
use stateright::{Checker, Model};

/// Three voters, two contenders, clocks that differ by as much as the terms allow for.
fn lease() -> Lease {
    Lease {
        voters: vec![2, 1, 2],
        claims: vec![1, 2],
        holder: 2,
        time: 6,
        asks: 3,
        restarts: 2,
        counted: 3,
        silent: true,
        acts: true,
    }
}

#[test]
fn all_orders_within_small_bounds_keep_the_properties() {
    let lease = Lease { time: 0, asks: 1, restarts: 0, acts: false, ..lease() };
    let checker = lease.checker().threads(2).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    for name in ["one holder", "acts do not overlap", "epochs grow"] {
        checker.assert_no_discovery(name);
    }
    checker.assert_any_discovery("somebody holds it");
}

#[test]
fn random_walks_keep_the_properties() {
    let broken = walk(&lease(), 1, 3_000, 120);
    assert!(broken.is_none(), "{broken:?}");
}

#[test]
fn planted_faults_are_found() {
    let same = Lease { voters: vec![1; 3], claims: vec![1; 2], holder: 4, ..lease() };
    for (what, planted) in [
        ("a holder's term as long as a voter's, though clocks differ", Lease { holder: 4, ..lease() }),
        ("clocks that differ by more than the terms allow for", Lease { voters: vec![4; 3], ..lease() }),
        ("a voter that starts and is not silent", Lease { silent: false, ..same.clone() }),
        ("a majority reckoned of one voter", Lease { counted: 1, ..lease() }),
    ] {
        let found = walk(&planted, 1, 200_000, 120);
        let (broken, events) = found.unwrap_or_else(|| panic!("not found: {what}"));
        println!("{what}: {broken} broken by");
        events.iter().for_each(|e| println!("  {e}"));
    }
    // With clocks that go alike, the whole term may be used.
    assert_eq!(walk(&same, 1, 1_000, 120), None);
}
