//! What the sockets still owe, for the end of the program: it waits until that is nothing.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The sum: requests without an answer, answers that are not written, releases and give-ups that no hub was
/// told yet.
#[derive(Clone, Debug, Default)]
pub struct Owed(Arc<AtomicUsize>);

impl Owed {
    /// How much that is in all.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// One task's part, nothing yet.
    pub fn debt(&self) -> Debt {
        Debt { all: self.clone(), own: 0 }
    }
}

/// One task's part of it, which ends with the task.
#[derive(Debug)]
pub struct Debt {
    all: Owed,
    own: usize,
}

impl Debt {
    /// So much it is now.
    pub fn set(&mut self, own: usize) {
        self.all.0.fetch_add(own, Ordering::Relaxed);
        self.all.0.fetch_sub(self.own, Ordering::Relaxed);
        self.own = own;
    }
}

impl Drop for Debt {
    fn drop(&mut self) {
        self.set(0);
    }
}
