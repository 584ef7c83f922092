//! A timer wheel with coarse ticks. Items further away than one turn stay in their slot for several turns.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// Length of a tick.
pub const TICK_LENGTH: Micros = Micros(5_000);
/// Number of slots, so that one turn takes 5.12 s.
const SLOT_COUNT: usize = 1024;

/// Identifies an item of a wheel, so that it can be removed before it comes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    tick: u64,
    /// Number of the item, unique within its wheel.
    number: u64,
}

/// The items of a slot by their number, each with its tick.
type Slot<T> = BTreeMap<u64, (u64, T)>;

/// Timer wheel. Each item comes due at the first tick at or after its time, unless it is removed earlier.
#[derive(Debug)]
pub struct TimerWheel<T> {
    slots: Vec<Slot<T>>,
    /// The first tick that has not been processed yet.
    next: u64,
    last_number: u64,
    len: usize,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel. Its first tick is the one that contains `now`.
    pub fn new(now: Micros) -> TimerWheel<T> {
        TimerWheel {
            slots: (0..SLOT_COUNT).map(|_| Slot::new()).collect(),
            next: now.0 / TICK_LENGTH.0,
            last_number: 0,
            len: 0,
        }
    }

    /// Adds an item. If its time has passed, it comes due at the next tick.
    pub fn add(&mut self, at: Micros, item: T) -> TimerKey {
        let tick = at.0.div_ceil(TICK_LENGTH.0).max(self.next);
        self.last_number += 1;
        let key = TimerKey { tick, number: self.last_number };
        self.slots[slot_index(tick)].insert(key.number, (tick, item));
        self.len += 1;
        key
    }

    /// Removes and returns an item that is not due yet. Returns `None` for one that came due or was removed.
    pub fn remove(&mut self, key: TimerKey) -> Option<T> {
        let (_, item) = self.slots[slot_index(key.tick)].remove(&key.number)?;
        self.len -= 1;
        Some(item)
    }

    /// Removes and returns the items that are due, slot by slot and in insertion order within a slot.
    pub fn advance(&mut self, now: Micros) -> Vec<(TimerKey, T)> {
        let last = now.0 / TICK_LENGTH.0;
        let mut due = Vec::new();
        // If more than one turn has passed since the last call, each slot is visited once rather than once
        // per tick.
        let first = self.next.max((last + 1).saturating_sub(SLOT_COUNT as u64));
        for tick in first..=last {
            let slot = &mut self.slots[slot_index(tick)];
            if slot.values().all(|(at, _)| *at > last) {
                continue;
            }
            for (number, (tick, item)) in std::mem::take(slot) {
                if tick <= last {
                    due.push((TimerKey { tick, number }, item));
                } else {
                    slot.insert(number, (tick, item));
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

fn slot_index(tick: u64) -> usize {
    (tick % SLOT_COUNT as u64) as usize
}

#[cfg(test)]
mod tests;
