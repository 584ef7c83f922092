//! A timer wheel with coarse ticks: one turn of slots, and rounds for what lies further off.

use crate::interface::Micros;

/// Length of a tick.
pub const TICK_LENGTH: Micros = Micros(5_000);
const SLOT_COUNT: usize = 1024;

/// Items that come due, each at the first tick at or past its time.
#[derive(Debug)]
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    /// The tick that is handed out next.
    next: u64,
    held: usize,
}

impl<T> TimerWheel<T> {
    /// An empty wheel whose first tick is the one after `now`.
    pub fn new(now: Micros) -> TimerWheel<T> {
        TimerWheel {
            slots: (0..SLOT_COUNT).map(|_| Vec::new()).collect(),
            next: now.0 / TICK_LENGTH.0,
            held: 0,
        }
    }

    /// Puts an item in; one whose time has passed comes due at the next tick.
    pub fn add(&mut self, at: Micros, item: T) {
        let tick = at.0.div_ceil(TICK_LENGTH.0).max(self.next);
        self.slots[(tick % SLOT_COUNT as u64) as usize].push((tick, item));
        self.held += 1;
    }

    /// Takes out what is due, tick by tick, in the order in which it was put in.
    pub fn advance(&mut self, now: Micros) -> Vec<T> {
        let last = now.0 / TICK_LENGTH.0;
        let mut due = Vec::new();
        // After a stop of the clock longer than a turn every slot is looked at once, not each tick.
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
mod tests;
