//! Checks the lease state machines: an exhaustive search within small bounds, random walks with a fixed seed beyond
//! them, and models with a known fault, which the same walks must detect. The actions that lead to a violation are
//! printed.

use petreldock_lab::lease_model::{random_walk, LeaseModel};
use stateright::{Checker, Model};

/// Three voters and two contenders, with the largest difference of clock rates that the terms allow for.
fn model() -> LeaseModel {
    LeaseModel {
        voter_clock_rates: vec![2, 1, 2],
        contender_clock_rates: vec![1, 2],
        holder_term: 2,
        max_time: 6,
        max_requests: 3,
        max_restarts: 2,
        assumed_voters: 3,
        silent_after_restart: true,
        acts_and_releases: true,
    }
}

#[test]
fn no_message_order_within_small_bounds_violates_a_property() {
    let model =
        LeaseModel { max_time: 0, max_requests: 1, max_restarts: 0, acts_and_releases: false, ..model() };
    let checker = model.checker().threads(2).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    for name in ["at most one holder", "acts do not overlap", "epochs increase"] {
        checker.assert_no_discovery(name);
    }
    checker.assert_any_discovery("the first contender holds the lease");
}

#[test]
fn no_random_walk_violates_a_property() {
    let violation = random_walk(&model(), 1, 3_000, 120);
    assert!(violation.is_none(), "{violation:?}");
}

#[test]
fn random_walks_detect_models_with_a_known_fault() {
    let equal_clocks = LeaseModel {
        voter_clock_rates: vec![1; 3],
        contender_clock_rates: vec![1; 2],
        holder_term: 4,
        ..model()
    };
    for (fault, faulty) in [
        (
            "holder's term as long as a voter's, with different clock rates",
            LeaseModel { holder_term: 4, ..model() },
        ),
        (
            "clock rates that differ by more than the terms allow for",
            LeaseModel { voter_clock_rates: vec![4; 3], ..model() },
        ),
        (
            "restarted voter that is not silent",
            LeaseModel { silent_after_restart: false, ..equal_clocks.clone() },
        ),
        ("majority computed for one voter", LeaseModel { assumed_voters: 1, ..model() }),
    ] {
        let violation = random_walk(&faulty, 1, 200_000, 120);
        let (property, trace) = violation.unwrap_or_else(|| panic!("not detected: {fault}"));
        println!("{fault}: '{property}' is violated by");
        trace.iter().for_each(|action| println!("  {action}"));
    }
    // With equal clock rates a holder's term may be as long as a voter's.
    assert_eq!(random_walk(&equal_clocks, 1, 1_000, 120), None);
}
