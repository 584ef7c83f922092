//! Tests of the memory of recent calls.

use super::*;

#[test]
fn names_are_forgotten_by_age_and_the_oldest_first_by_number() {
    let mut recent = RecentCalls::new(Micros(100), 3);
    for (at, name) in [(0, 1), (10, 2), (20, 1)] {
        recent.record(Micros(at), CallName(name));
    }
    recent.forget_expired(Micros(105));
    assert!(recent.contains(CallName(1)), "recorded again at 20");
    recent.forget_expired(Micros(115));
    assert!(!recent.contains(CallName(2)));
    for name in 3..=6 {
        recent.record(Micros(116), CallName(name));
    }
    let kept: Vec<u64> = (1..=6).filter(|name| recent.contains(CallName(*name))).collect();
    assert_eq!(kept, [4, 5, 6]);
}
