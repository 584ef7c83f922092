//! A process-wide limit on connections to table hubs, which leaves descriptors for callers and everything else.
//!
//! A connection counts from before it is dialled until it is closed: a pending dial holds its descriptor until it
//! completes or times out, and where many hubs are unreachable, hundreds of dials are pending at once.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Duration};

/// Descriptors reserved for uses other than hub and caller connections.
///
/// Callers may use half of all descriptors (see `sip_server`). Of this reserve, 10 are for the standard streams, the
/// event queue, signals and the listener, one each for the change log, a state file, its lock, the IAX2 front and the
/// fleet, and one for each IAX2 hub, up to eight. The rest covers descriptors inherited at start and connections that
/// are being accepted or closed. Processes with few descriptors reserve a quarter of them instead.
pub const RESERVED_DESCRIPTORS: usize = 32;
const MAX_RESERVED_DIVISOR: usize = 4;

/// Error kind of a connection attempt that was not dialled because the limit is reached. It says nothing about the
/// hub.
pub const DESCRIPTORS_EXHAUSTED: io::ErrorKind = io::ErrorKind::ResourceBusy;

/// How long a dial that a call depends on waits for a permit while idle connections are closed. A longer wait would
/// take time in which the call could go to another hub.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(300);

/// Counts links and their connections against the limit.
#[derive(Debug)]
pub struct ConnectionLimit {
    max_connections: usize,
    links: AtomicUsize,
    /// One permit for each connection that may be open or dialled.
    permits: Arc<Semaphore>,
    /// Dials that wait for a permit.
    waiters: AtomicUsize,
}

impl ConnectionLimit {
    /// Derives the limit from the number of descriptors that the process may hold.
    pub fn new(max_descriptors: usize) -> Arc<ConnectionLimit> {
        let reserved = RESERVED_DESCRIPTORS.min(max_descriptors / MAX_RESERVED_DIVISOR);
        let max_connections = (max_descriptors / 2).saturating_sub(reserved).max(1);
        let permits = Arc::new(Semaphore::new(max_connections));
        let (links, waiters) = (AtomicUsize::new(0), AtomicUsize::new(0));
        Arc::new(ConnectionLimit { max_connections, links, permits, waiters })
    }

    /// Registers a link, which counts until the handle is dropped.
    pub fn register_link(self: &Arc<ConnectionLimit>) -> LinkHandle {
        self.links.fetch_add(1, Ordering::Relaxed);
        LinkHandle(self.clone())
    }

    /// Acquires a permit for one connection; only where `may_wait` is set does it wait for one.
    async fn acquire(self: Arc<ConnectionLimit>, may_wait: bool) -> io::Result<ConnectionPermit> {
        let available = self.permits.clone().try_acquire_owned();
        let permit = match available {
            Err(_) if may_wait => {
                let _waiter = WaiterGuard::new(&self);
                timeout(ACQUIRE_TIMEOUT, self.permits.clone().acquire_owned()).await.ok().and_then(Result::ok)
            }
            available => available.ok(),
        };
        permit.map(|permit| ConnectionPermit { _permit: permit }).ok_or_else(|| DESCRIPTORS_EXHAUSTED.into())
    }
}

/// A registered link's access to the limit.
#[derive(Debug)]
pub struct LinkHandle(Arc<ConnectionLimit>);

impl LinkHandle {
    /// Number of connections that the link may keep open without a call that needs them: `wanted`, reduced to an equal
    /// share of the limit, which is zero where there are more links than permits.
    pub fn allowance(&self, wanted: usize) -> usize {
        wanted.min(self.0.max_connections / self.0.links.load(Ordering::Relaxed).max(1))
    }

    /// Whether no permit is available, so that idle connections should be closed.
    pub fn is_exhausted(&self) -> bool {
        self.0.permits.available_permits() == 0
    }

    /// Whether a dial that a call depends on waits for a permit, so that idle connections should be closed at once.
    pub fn has_waiters(&self) -> bool {
        self.0.waiters.load(Ordering::Relaxed) > 0
    }

    /// Acquires a permit for a connection to be dialled, which counts until it is dropped. Where none is available,
    /// fails with [`DESCRIPTORS_EXHAUSTED`]: at once, or, with `may_wait`, after a timeout.
    pub fn acquire(&self, may_wait: bool) -> impl std::future::Future<Output = io::Result<ConnectionPermit>> {
        self.0.clone().acquire(may_wait)
    }
}

impl Drop for LinkHandle {
    fn drop(&mut self) {
        self.0.links.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Permission to hold one connection, returned to the limit on drop.
#[derive(Debug)]
pub struct ConnectionPermit {
    _permit: OwnedSemaphorePermit,
}

/// Counts a dial that waits for a permit until it is dropped, also where the dial is cancelled with its link.
struct WaiterGuard<'a>(&'a ConnectionLimit);

impl<'a> WaiterGuard<'a> {
    fn new(limit: &'a ConnectionLimit) -> WaiterGuard<'a> {
        limit.waiters.fetch_add(1, Ordering::Relaxed);
        WaiterGuard(limit)
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.waiters.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
