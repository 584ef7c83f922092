//! Tests of the memory of past attempts.

use super::*;

#[test]
fn pauses_and_calls_that_must_not_run_again_are_forgotten_at_their_own_times() {
    let mut past = PastAttempts::new(Micros(1_000));
    past.record(Micros(0), CallName(1), Micros(200), true);
    past.record(Micros(10), CallName(2), Micros(0), false);
    assert_eq!(past.release_pause_end(CallName(1)), Micros(200));
    assert_eq!(past.release_pause_end(CallName(2)), Micros(0));
    assert!(past.may_not_run_again(CallName(1)) && !past.may_not_run_again(CallName(2)));
    past.forget_expired(Micros(200));
    assert_eq!(past.release_pause_end(CallName(1)), Micros(0));
    assert!(past.may_not_run_again(CallName(1)));
    past.forget_expired(Micros(1_001));
    assert!(!past.may_not_run_again(CallName(1)));
}

#[test]
fn the_number_of_pauses_is_bounded_and_the_first_are_forgotten() {
    let mut past = PastAttempts::new(Micros(1_000));
    for name in 0..=MAX_PAUSES as u64 {
        past.record(Micros(0), CallName(name), Micros(200), false);
    }
    assert_eq!(past.release_pause_end(CallName(0)), Micros(0));
    assert_eq!(past.release_pause_end(CallName(1)), Micros(200));
}
