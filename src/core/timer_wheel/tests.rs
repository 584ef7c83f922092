//! Tests of the timer wheel.

use super::*;

#[test]
fn items_come_due_at_their_tick_even_after_a_pause_of_more_than_one_turn() {
    let mut wheel = TimerWheel::new(Micros(1_000_000));
    wheel.add(Micros(1_000_001), 'a');
    wheel.add(Micros(1_012_000), 'b');
    wheel.add(Micros(9_000_000), 'c');
    wheel.add(Micros(5), 'd');
    assert_eq!(wheel.advance(Micros(1_004_999)), vec!['d'], "an item whose time has passed is due at once");
    assert_eq!(wheel.advance(Micros(1_005_000)), vec!['a']);
    assert_eq!(wheel.advance(Micros(1_014_999)), vec![]);
    assert_eq!(wheel.advance(Micros(8_999_999)), vec!['b'], "a pause of more than one turn");
    assert_eq!(wheel.advance(Micros(60_000_000)), vec!['c']);
    assert!(wheel.is_empty());
}
