//! What the attempts of calls that are over mean for set-ups under the same names.
//!
//! A caller whose connection ends may send its set-up again under the same name. The hub may have run the earlier
//! attempt, and the resources of that attempt may be in use until its release pause is over.

use super::recent_calls::RecentCalls;
use super::types::CallName;
use crate::interface::Micros;
use std::collections::{HashMap, VecDeque};

/// Maximum number of calls that must not run again which are remembered.
const MAX_UNREPEATABLE: usize = 32_768;
/// Maximum number of release pauses that are remembered.
const MAX_PAUSES: usize = 8192;

/// The attempts of ended calls, as far as they restrict further ones.
#[derive(Debug)]
pub struct PastAttempts {
    /// Calls that may have run and must not run twice.
    unrepeatable: RecentCalls,
    pause_ends: HashMap<CallName, Micros>,
    /// The pauses in the order of their ends.
    pauses: VecDeque<(CallName, Micros)>,
}

impl PastAttempts {
    /// Creates an empty memory. A call may come again for as long as `longest_wait`.
    pub fn new(longest_wait: Micros) -> PastAttempts {
        PastAttempts {
            unrepeatable: RecentCalls::new(longest_wait, MAX_UNREPEATABLE),
            pause_ends: HashMap::new(),
            pauses: VecDeque::new(),
        }
    }

    /// Records an ended call: the end of its release pause, and whether it must not run again.
    pub fn record(&mut self, now: Micros, name: CallName, pause_end: Micros, must_not_repeat: bool) {
        if must_not_repeat {
            self.unrepeatable.record(now, name);
        }
        if pause_end > now {
            self.pause_ends.insert(name, pause_end);
            self.pauses.push_back((name, pause_end));
            if self.pauses.len() > MAX_PAUSES {
                self.forget_first_pause();
            }
        }
    }

    /// Whether a set-up under this name must be failed.
    pub fn may_not_run_again(&self, name: CallName) -> bool {
        self.unrepeatable.contains(name)
    }

    /// The time before which no attempt of a call with this name may start; zero if any may.
    pub fn release_pause_end(&self, name: CallName) -> Micros {
        self.pause_ends.get(&name).copied().unwrap_or_default()
    }

    /// Forgets what does not restrict attempts any more.
    pub fn forget_expired(&mut self, now: Micros) {
        self.unrepeatable.forget_expired(now);
        while self.pauses.front().is_some_and(|(_, end)| *end <= now) {
            self.forget_first_pause();
        }
    }

    fn forget_first_pause(&mut self) {
        let Some((name, end)) = self.pauses.pop_front() else { return };
        if self.pause_ends.get(&name) == Some(&end) {
            self.pause_ends.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests;
