//! Releases by callers of calls that this process does not know.
//!
//! Such a call may have been set up before the process started, at any hub, so its release is sent to all of them. A
//! caller may send releases under new names without end, and each costs every hub a message. They are therefore passed
//! on at a limited rate, and a limited number waits.

use super::recent_calls::RecentCalls;
use super::types::{CallName, Cause};
use crate::interface::Micros;
use std::collections::VecDeque;

/// Maximum number of releases that wait to be passed on. Further ones are dropped.
const MAX_WAITING: usize = 8192;
/// Interval at which releases are passed on.
const INTERVAL: Micros = Micros(5_000);
/// Number of releases passed on in each interval, so that there are at most 800 a second.
const RELEASES_PER_INTERVAL: usize = 4;
/// How long the name of a released call is remembered, so that its release is passed on once.
const RETENTION: Micros = Micros(30_000_000);
/// Maximum number of names remembered.
const MAX_REMEMBERED: usize = 8192;

/// The releases that wait to be passed on to all hubs.
#[derive(Debug)]
pub struct UnknownReleases {
    waiting: VecDeque<(CallName, Cause)>,
    recent: RecentCalls,
    /// No release is passed on before this time.
    next_at: Micros,
}

impl Default for UnknownReleases {
    fn default() -> UnknownReleases {
        let recent = RecentCalls::new(RETENTION, MAX_REMEMBERED);
        UnknownReleases { waiting: VecDeque::new(), recent, next_at: Micros(0) }
    }
}

impl UnknownReleases {
    /// Adds the release of a call, unless there was one recently. Returns `false` if it had to be dropped.
    pub fn add(&mut self, now: Micros, name: CallName, cause: Cause) -> bool {
        if self.recent.contains(name) {
            return true;
        }
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.recent.record(now, name);
        self.waiting.push_back((name, cause));
        true
    }

    /// Whether the call was released recently.
    pub fn contains(&self, name: CallName) -> bool {
        self.recent.contains(name)
    }

    /// Number of releases that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the releases that are passed on now.
    pub fn take_due(&mut self, now: Micros) -> Vec<(CallName, Cause)> {
        self.recent.forget_expired(now);
        if self.waiting.is_empty() || now < self.next_at {
            return Vec::new();
        }
        self.next_at = now + INTERVAL;
        let count = RELEASES_PER_INTERVAL.min(self.waiting.len());
        self.waiting.drain(..count).collect()
    }
}

#[cfg(test)]
mod tests;
