//! How many connections all links to hubs together may hold, so that callers and the rest find descriptors.
//!
//! A connection counts from before it is dialled until it is closed: a dial holds its descriptor as long as it hangs,
//! and where many hubs are out of reach, hundreds of them hang at once.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Duration};

/// Callers may have half of the descriptors (`sip_server`); this many more are the program's own, or a quarter where there
/// are few: 10 for standard streams, events, signals and the listener, one each for the change log, a file of the
/// state and its lock, the IAX2 front and the fleet; and one for each IAX2 hub, up to eight. The rest is for what the
/// process was started with, and for connections that are being accepted or closed.
pub const OWN: usize = 32;
const OWN_PART: usize = 4;

/// How a dial fails that found no descriptor left for it: nothing was dialled, and nothing is known of the hub.
pub const NONE_LEFT: io::ErrorKind = io::ErrorKind::ResourceBusy;

/// A dial on which a call rests waits so long for a descriptor; idle connections are closed meanwhile. Danger: its
/// call could go to another hub.
const WAIT: Duration = Duration::from_millis(300);

/// Counts links and their connections, against what the limits leave for them.
#[derive(Debug)]
pub struct Doors {
    most: usize,
    links: AtomicUsize,
    /// One permit for each connection that may be open or dialled.
    places: Arc<Semaphore>,
    /// Dials that wait for a permit.
    waiting: AtomicUsize,
}

impl Doors {
    /// For a process that may hold so many descriptors.
    pub fn new(sockets: usize) -> Arc<Doors> {
        let most = (sockets / 2).saturating_sub(OWN.min(sockets / OWN_PART)).max(1);
        let places = Arc::new(Semaphore::new(most));
        Arc::new(Doors { most, links: AtomicUsize::new(0), places, waiting: AtomicUsize::new(0) })
    }

    /// A link that has begun; it counts until it is dropped.
    pub fn link(self: &Arc<Doors>) -> Link {
        self.links.fetch_add(1, Ordering::Relaxed);
        Link(self.clone())
    }

    /// A place for one connection; where a call needs it, it is waited for.
    async fn place(self: Arc<Doors>, needed: bool) -> io::Result<Door> {
        let free = self.places.clone().try_acquire_owned();
        let permit = match free {
            Err(_) if needed => {
                let _waiting = Waiting::new(&self);
                timeout(WAIT, self.places.clone().acquire_owned()).await.ok().and_then(Result::ok)
            }
            free => free.ok(),
        };
        permit.map(|permit| Door { _permit: permit }).ok_or_else(|| NONE_LEFT.into())
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
        self.0.places.available_permits() == 0
    }

    /// Nothing is left, and a call waits for it: idle connections are to make room at once.
    pub fn pressed(&self) -> bool {
        self.0.waiting.load(Ordering::Relaxed) > 0
    }

    /// A place for a connection that is to be dialled; it counts until it is dropped. Without one it fails with
    /// [`NONE_LEFT`]: at once, or after a while where a call needs the connection.
    pub fn open(&self, needed: bool) -> impl std::future::Future<Output = io::Result<Door>> {
        self.0.clone().place(needed)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.0.links.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection's place.
#[derive(Debug)]
pub struct Door {
    _permit: OwnedSemaphorePermit,
}

/// A dial that waits for a place; it counts until it is dropped, also when its link ends.
struct Waiting<'a>(&'a Doors);

impl<'a> Waiting<'a> {
    fn new(doors: &'a Doors) -> Waiting<'a> {
        doors.waiting.fetch_add(1, Ordering::Relaxed);
        Waiting(doors)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
