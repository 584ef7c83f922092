//! Tests of lease terms and of the fence table.

use super::*;

#[test]
fn a_lease_at_the_slowest_holder_ends_before_the_grant_at_the_fastest_voter() {
    for permille in [0, 1, 10, 50, 333] {
        let terms = Terms::new(Micros(10_000_000), permille);
        // In true time: less time passes on a slow clock, more on a fast one.
        let holder = terms.holder.0 as f64 / (1.0 - permille as f64 / 1e3);
        let voter = terms.voter.0 as f64 / (1.0 + permille as f64 / 1e3);
        assert!(holder <= voter, "{permille}: {holder} after {voter}");
        assert!(holder > voter * 0.999, "{permille}: the term is not shortened needlessly");
    }
    assert_eq!(Terms::new(Micros(u64::MAX), 10).voter, MAX_TERM);
}

#[test]
fn an_older_epoch_is_rejected_even_after_its_task_was_evicted() {
    let mut fences = FenceTable::default();
    let task = FencedTask::Plan(0);
    assert!(fences.admit(task, Epoch(7)));
    assert!(fences.admit(task, Epoch(7)) && !fences.admit(task, Epoch(6)));
    (1..=MAX_FENCES as u64).for_each(|n| assert!(fences.admit(FencedTask::Plan(n), Epoch(9))));
    assert!(!fences.admit(task, Epoch(6)), "evicted from the table, yet still rejected");
    assert!(fences.newest_epochs.len() <= MAX_FENCES);
}
