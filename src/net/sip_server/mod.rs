//! The SIP server side: callers' connections, and what goes back to them.

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

/// Set-ups that may be open on one connection.
const MAX_OPEN: usize = 4096;
/// So many idle connections make room at a time.
const SHED_BATCH: usize = 8;
/// How long to wait before accepting again when descriptors have run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// What the server's tasks share.
struct Server {
    id: FrontId,
    listen: SocketAddr,
    clock: Clock,
    core: mpsc::Sender<Input>,
    status: watch::Receiver<Status>,
    registry: Mutex<ConnectionRegistry>,
    owed: SharedCount,
    /// Bytes that connections have taken in and not handed on to the core yet.
    held: SharedCount,
    max_connections: usize,
}

impl Server {
    fn registry(&self) -> MutexGuard<'_, ConnectionRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the core something. Danger: sending that may wait lets other tasks run every so often, and between two
    /// withdrawals of one connection the core would send on what the second one withdraws. So this waits only where
    /// the core's queue is full.
    async fn tell_core(&self, input: Input) {
        if let Err(TrySendError::Full(input)) = self.core.try_send(input) {
            // It fails only once the core has ended.
            let _ = self.core.send(input).await;
        }
    }
}

/// What a SIP server is given to work with.
pub struct Config {
    /// Which of the core's fronts it is.
    pub id: FrontId,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The clock.
    pub clock: Clock,
    /// The core's queue.
    pub core: mpsc::Sender<Input>,
    /// How the core is.
    pub status: watch::Receiver<Status>,
    /// Where it says what it owes its callers.
    pub owed: SharedCount,
}

/// Serves callers for ever.
pub async fn run(
    config: Config,
    listener: TcpListener,
    mut answers: mpsc::Receiver<ToFront>,
) -> io::Result<()> {
    let listen = listener.local_addr()?;
    let Config { id, sockets, clock, core, status, owed } = config;
    // Callers hold a third of the descriptors; more are let in as long as the rest is not needed.
    let max_connections = sockets / 2;
    let registry = Mutex::default();
    let held = SharedCount::default();
    let server = Arc::new(Server { id, listen, clock, core, status, registry, owed, held, max_connections });
    let deliverer = server.clone();
    tokio::spawn(async move {
        while let Some(message) = answers.recv().await {
            let back = deliverer.registry().route(message);
            // The caller's connection ended as its answer came: nobody has the call.
            if let Some(ToFront::Answer(_, call, _)) = back {
                deliverer.tell_core(Input::Hangup(deliverer.id, call, Cause::NORMAL)).await;
            }
        }
    });
    loop {
        // Danger: a connection that is accepted and dropped loses the request that is on it. Over the
        // bound, new ones wait in the listener's queue until idle ones have made room.
        let count = server.registry().count();
        if count >= server.max_connections {
            server.registry().shed(SHED_BATCH);
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        }
        // Before it comes to that, room is made one for one: nobody has to wait.
        if count >= server.max_connections / 4 * 3 {
            server.registry().shed(1);
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let (number, commands) = server.registry().enter();
                tokio::spawn(connection::serve(server.clone(), number, stream, commands));
            }
            // Danger: with no descriptor left, accept fails at once and would take the whole core.
            Err(error) => {
                tracing::warn!("front: cannot accept: {error}");
                server.registry().shed(SHED_BATCH);
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}
