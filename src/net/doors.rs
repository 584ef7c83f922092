//! How many connections all links to hubs together may hold, so that callers and the rest find descriptors.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Callers may have half of the descriptors (`front`); this many more are the program's own: its listener, signals,
/// the change log, files, and a connection that is being dialled or accepted.
const OWN: usize = 16;

/// Counts links and their connections, against what the limits leave for them.
#[derive(Debug)]
pub struct Doors {
    most: usize,
    links: AtomicUsize,
    open: AtomicUsize,
}

impl Doors {
    /// For a process that may hold so many descriptors.
    pub fn new(sockets: usize) -> Arc<Doors> {
        let most = (sockets / 2).saturating_sub(OWN).max(1);
        Arc::new(Doors { most, links: AtomicUsize::new(0), open: AtomicUsize::new(0) })
    }

    /// A link that has begun; it counts until it is dropped.
    pub fn link(self: &Arc<Doors>) -> Link {
        self.links.fetch_add(1, Ordering::Relaxed);
        Link(self.clone())
    }
}

/// One link's part.
#[derive(Debug)]
pub struct Link(Arc<Doors>);

impl Link {
    /// How many connections it may keep up unasked: as many as it would like, as long as all links can have them.
    /// With more hubs than descriptors none is kept up for good.
    pub fn keeps(&self, liked: usize) -> usize {
        liked.min(self.0.most / self.0.links.load(Ordering::Relaxed).max(1))
    }

    /// Nothing is left: idle connections are to make room.
    pub fn full(&self) -> bool {
        self.0.open.load(Ordering::Relaxed) >= self.0.most
    }

    /// A connection that has come up; it counts until it is dropped.
    pub fn open(&self) -> Door {
        self.0.open.fetch_add(1, Ordering::Relaxed);
        Door(self.0.clone())
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.0.links.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection's place.
#[derive(Debug)]
pub struct Door(Arc<Doors>);

impl Drop for Door {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
