//! A timer wheel with coarse ticks: one turn of slots, and rounds for what lies further off.

use crate::interface::Micros;

/// Length of a tick.
pub const TICK: Micros = Micros(5_000);
const SLOTS: usize = 1024;

/// Items that come due, each at the first tick at or past its time.
#[derive(Debug)]
pub struct Wheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    /// The tick that is handed out next.
    next: u64,
    held: usize,
}

impl<T> Wheel<T> {
    /// An empty wheel whose first tick is the one after `now`.
    pub fn new(now: Micros) -> Wheel<T> {
        Wheel { slots: (0..SLOTS).map(|_| Vec::new()).collect(), next: now.0 / TICK.0, held: 0 }
    }

    /// Puts an item in; one whose time has passed comes due at the next tick.
    pub fn add(&mut self, at: Micros, item: T) {
        let tick = at.0.div_ceil(TICK.0).max(self.next);
        self.slots[(tick % SLOTS as u64) as usize].push((tick, item));
        self.held += 1;
    }

    /// Takes out what is due, tick by tick, in the order in which it was put in.
    pub fn advance(&mut self, now: Micros) -> Vec<T> {
        let last = now.0 / TICK.0;
        let mut due = Vec::new();
        // After a stop of the clock longer than a turn every slot is looked at once, not each tick.
        let first = self.next.max((last + 1).saturating_sub(SLOTS as u64));
        for tick in first..=last {
            let slot = &mut self.slots[(tick % SLOTS as u64) as usize];
            if slot.iter().all(|(t, _)| *t > last) {
                continue;
            }
            for (at, item) in std::mem::take(slot) {
                if at <= last {
                    due.push(item);
                } else {
                    slot.push((at, item));
                }
            }
        }
        self.next = self.next.max(last + 1);
        self.held -= due.len();
        due
    }

    /// How many items wait.
    pub fn len(&self) -> usize {
        self.held
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.held == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn items_come_due_at_their_tick_also_after_turns_and_stops() {
        let mut wheel = Wheel::new(Micros(1_000_000));
        wheel.add(Micros(1_000_001), 'a');
        wheel.add(Micros(1_012_000), 'b');
        wheel.add(Micros(9_000_000), 'c');
        wheel.add(Micros(5), 'd');
        assert_eq!(wheel.advance(Micros(1_004_999)), vec!['d'], "what has passed is due at once");
        assert_eq!(wheel.advance(Micros(1_005_000)), vec!['a']);
        assert_eq!(wheel.advance(Micros(1_014_999)), vec![]);
        assert_eq!(wheel.advance(Micros(8_999_999)), vec!['b'], "a stop of more than one turn");
        assert_eq!(wheel.advance(Micros(60_000_000)), vec!['c']);
        assert!(wheel.is_empty());
    }
}
