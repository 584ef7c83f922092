//! A timer wheel with coarse ticks. Items further away than one turn stay in their slot for several turns.

use crate::interface::Micros;

/// Length of a tick.
pub const TICK_LENGTH: Micros = Micros(5_000);
/// Number of slots, so that one turn takes 5.12 s.
const SLOT_COUNT: usize = 1024;

/// Timer wheel. Each item comes due at the first tick at or after its time.
#[derive(Debug)]
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    /// The first tick that has not been processed yet.
    next: u64,
    len: usize,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel. Its first tick is the one that contains `now`.
    pub fn new(now: Micros) -> TimerWheel<T> {
        TimerWheel {
            slots: (0..SLOT_COUNT).map(|_| Vec::new()).collect(),
            next: now.0 / TICK_LENGTH.0,
            len: 0,
        }
    }

    /// Adds an item. If its time has passed, it comes due at the next tick.
    pub fn add(&mut self, at: Micros, item: T) {
        let tick = at.0.div_ceil(TICK_LENGTH.0).max(self.next);
        self.slots[(tick % SLOT_COUNT as u64) as usize].push((tick, item));
        self.len += 1;
    }

    /// Removes and returns the items that are due, slot by slot and in insertion order within a slot.
    pub fn advance(&mut self, now: Micros) -> Vec<T> {
        let last = now.0 / TICK_LENGTH.0;
        let mut due = Vec::new();
        // If more than one turn has passed since the last call, each slot is visited once rather than once
        // per tick.
        let first = self.next.max((last + 1).saturating_sub(SLOT_COUNT as u64));
        for tick in first..=last {
            let slot = &mut self.slots[(tick % SLOT_COUNT as u64) as usize];
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
        self.len -= due.len();
        due
    }

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no item is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

#[cfg(test)]
mod tests;
