//! SIP server: accepts callers' TCP connections and delivers the core's messages to them.

mod connection;
mod registry;
mod release_tracker;

use self::registry::ConnectionRegistry;
use crate::core::{Cause, Clock, FrontId, Input, Status, ToFront};
use crate::net::shared_count::SharedCount;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpListener;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, watch};
use tokio::time::Duration;

/// Maximum number of open set-ups per connection.
const MAX_OPEN_SET_UPS: usize = 4096;
/// Part of the memory for open set-ups that unsent output may take as well, before connections with much of it close.
const OUTPUT_DIVISOR: usize = 2;
/// Number of idle connections asked to close at a time when descriptors are short.
const EVICTION_BATCH_SIZE: usize = 8;
/// Delay before the next accept when descriptors have run out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by the server's tasks.
struct Server {
    id: FrontId,
    listen: SocketAddr,
    clock: Clock,
    core: mpsc::Sender<Input>,
    status: watch::Receiver<Status>,
    registry: Mutex<ConnectionRegistry>,
    outstanding: SharedCount,
    /// Size of the open set-ups of all connections, in bytes.
    open_bytes: SharedCount,
    max_open_bytes: usize,
    /// Unsent output of all connections, in bytes.
    output_bytes: SharedCount,
    max_output_bytes: usize,
    max_connections: usize,
}

impl Server {
    fn registry(&self) -> MutexGuard<'_, ConnectionRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends an input to the core. An awaited send yields to other tasks from time to time. If it yielded between two
    /// withdrawals of one connection, the core could start a further attempt for the call that the second one
    /// withdraws, so this awaits only when the core's queue is full.
    async fn send_to_core(&self, input: Input) {
        if let Err(TrySendError::Full(input)) = self.core.try_send(input) {
            // The send fails only after the core has terminated.
            let _ = self.core.send(input).await;
        }
    }
}

/// Configuration and dependencies of a SIP server.
pub struct Config {
    /// The server's id among the core's fronts.
    pub id: FrontId,
    /// Maximum number of descriptors that the process may use.
    pub sockets: usize,
    /// Maximum total size of the memory that open set-ups take, in bytes.
    pub max_open_bytes: usize,
    /// The clock.
    pub clock: Clock,
    /// The core's input queue.
    pub core: mpsc::Sender<Input>,
    /// The core's current status.
    pub status: watch::Receiver<Status>,
    /// Counter of outstanding work, to which the server adds its own.
    pub outstanding: SharedCount,
}

/// Serves callers until the task is cancelled; returns early only if the listener has no local address.
pub async fn run(
    config: Config,
    listener: TcpListener,
    mut messages: mpsc::Receiver<ToFront>,
) -> io::Result<()> {
    let listen = listener.local_addr()?;
    let Config { id, sockets, max_open_bytes, clock, core, status, outstanding } = config;
    // Callers are expected to use a third of the descriptors. Up to half are allowed as long as the rest is unused.
    let max_connections = sockets / 2;
    let registry = Mutex::default();
    let [open_bytes, output_bytes] = [(); 2].map(|()| SharedCount::default());
    let server = Arc::new(Server {
        id,
        listen,
        clock,
        core,
        status,
        registry,
        outstanding,
        open_bytes,
        max_open_bytes,
        output_bytes,
        max_output_bytes: max_open_bytes / OUTPUT_DIVISOR,
        max_connections,
    });
    let router = server.clone();
    tokio::spawn(async move {
        while let Some(message) = messages.recv().await {
            let undelivered = router.registry().route(message);
            // The caller's connection closed before its answer arrived, so the call is hung up at the hub.
            if let Some(ToFront::Answer(_, call, _)) = undelivered {
                router.send_to_core(Input::Hangup(router.id, call, Cause::NORMAL)).await;
            }
        }
    });
    loop {
        // A connection that is accepted and dropped loses any request already sent on it. At the limit, new connections
        // wait in the listener's backlog until idle ones have been closed.
        let count = server.registry().descriptor_count();
        if count >= server.max_connections {
            server.registry().close_idle(EVICTION_BATCH_SIZE);
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        }
        // Above three quarters of the limit, one idle connection is closed for each new one, so that none has to wait.
        if count >= server.max_connections / 4 * 3 {
            server.registry().close_idle(1);
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let (number, commands) = server.registry().register();
                tokio::spawn(connection::serve(server.clone(), number, stream, commands));
            }
            // With no descriptor left, accept fails at once: without a delay this loop would use a whole processor.
            Err(error) => {
                tracing::warn!("front: cannot accept: {error}");
                server.registry().close_idle(EVICTION_BATCH_SIZE);
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}
