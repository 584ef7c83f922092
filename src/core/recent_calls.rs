//! The names of calls that something happened to recently, bounded in age and number.

use super::types::CallName;
use crate::interface::Micros;
use std::collections::{HashMap, VecDeque};

/// Remembers the names of calls for a time, the latest ones if there are too many.
#[derive(Debug)]
pub struct RecentCalls {
    retention: Micros,
    capacity: usize,
    recorded_at: HashMap<CallName, Micros>,
    /// The names in the order in which they were recorded. One that was recorded again occurs more than once.
    by_age: VecDeque<(CallName, Micros)>,
}

impl RecentCalls {
    /// Creates an empty memory of at most `capacity` names, which are kept for `retention`.
    pub fn new(retention: Micros, capacity: usize) -> RecentCalls {
        RecentCalls { retention, capacity, recorded_at: HashMap::new(), by_age: VecDeque::new() }
    }

    /// Records a call.
    pub fn record(&mut self, now: Micros, name: CallName) {
        self.recorded_at.insert(name, now);
        self.by_age.push_back((name, now));
        if self.by_age.len() > self.capacity {
            self.forget_oldest();
        }
    }

    /// Whether the call was recorded and is not forgotten yet.
    pub fn contains(&self, name: CallName) -> bool {
        self.recorded_at.contains_key(&name)
    }

    /// Forgets the names that were recorded too long ago.
    pub fn forget_expired(&mut self, now: Micros) {
        while self.by_age.front().is_some_and(|(_, at)| *at + self.retention < now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((name, at)) = self.by_age.pop_front() else { return };
        if self.recorded_at.get(&name) == Some(&at) {
            self.recorded_at.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests;
