//! A count that several tasks contribute to. A task's contribution is withdrawn when the task ends.
//!
//! A shutdown ends once the count of outstanding work is zero: requests without an answer, answers not yet written, and
//! releases and give-ups not yet written to a hub. The SIP server also counts the bytes that its connections hold.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The sum of all contributions.
#[derive(Clone, Debug, Default)]
pub struct SharedCount(Arc<AtomicUsize>);

impl SharedCount {
    /// Returns the current sum.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Adds a contribution that starts at zero.
    pub fn share(&self) -> CountShare {
        CountShare { total: self.clone(), value: 0 }
    }
}

/// One task's contribution, which is withdrawn on drop.
#[derive(Debug)]
pub struct CountShare {
    total: SharedCount,
    value: usize,
}

impl CountShare {
    /// Replaces the contribution.
    pub fn set(&mut self, value: usize) {
        // Adds before it subtracts, so that a concurrent reader never misses the contribution.
        self.total.0.fetch_add(value, Ordering::Relaxed);
        self.total.0.fetch_sub(self.value, Ordering::Relaxed);
        self.value = value;
    }
}

impl Drop for CountShare {
    fn drop(&mut self) {
        self.set(0);
    }
}
