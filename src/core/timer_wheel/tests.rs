//! Tests of the timer wheel.

use super::*;

/// Returns the items that come due, without their keys.
fn due(wheel: &mut TimerWheel<char>, now: u64) -> Vec<char> {
    wheel.advance(Micros(now)).into_iter().map(|(_, item)| item).collect()
}

#[test]
fn items_come_due_at_their_tick_even_after_a_pause_of_more_than_one_turn() {
    let mut wheel = TimerWheel::new(Micros(1_000_000));
    wheel.add(Micros(1_000_001), 'a');
    wheel.add(Micros(1_012_000), 'b');
    wheel.add(Micros(9_000_000), 'c');
    wheel.add(Micros(5), 'd');
    assert_eq!(due(&mut wheel, 1_004_999), vec!['d'], "an item whose time has passed is due at once");
    assert_eq!(due(&mut wheel, 1_005_000), vec!['a']);
    assert_eq!(due(&mut wheel, 1_014_999), vec![]);
    assert_eq!(due(&mut wheel, 8_999_999), vec!['b'], "a pause of more than one turn");
    assert_eq!(due(&mut wheel, 60_000_000), vec!['c']);
    assert!(wheel.is_empty());
}

#[test]
fn a_removed_item_never_comes_due_and_its_memory_is_released() {
    let mut wheel = TimerWheel::new(Micros(0));
    let [first, second] = ['a', 'b'].map(|item| wheel.add(Micros(1_000), item));
    assert_eq!(wheel.remove(first), Some('a'));
    assert_eq!(wheel.remove(first), None, "removed before");
    assert_eq!(wheel.len(), 1);
    assert_eq!(due(&mut wheel, 5_000), vec!['b']);
    assert_eq!(wheel.remove(second), None, "came due before");
    assert!(wheel.is_empty());
}
