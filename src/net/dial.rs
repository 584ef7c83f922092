//! Outgoing TCP connections to hubs and to the change log.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{timeout, Duration};

/// Connects to `address`, or fails with `TimedOut` after `limit`. Sets `TCP_NODELAY` where the system supports it, so
/// that small messages are sent at once (it disables the Nagle algorithm of RFC 1122, section 4.2.3.4).
pub async fn dial(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    dial_with(address, limit, |socket| socket.set_nodelay(true)).await
}

/// Connects after applying `set_options`. An option that cannot be set costs some speed but must not fail the dial:
/// when it did, the change log's poller took every poll for failed, and the change log went unread for days.
async fn dial_with(
    address: SocketAddr,
    limit: Duration,
    set_options: impl FnOnce(&TcpSocket) -> io::Result<()>,
) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    if let Err(error) = set_options(&socket) {
        tracing::debug!(%address, "cannot set TCP_NODELAY: {error}");
    }
    timeout(limit, socket.connect(address)).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

#[cfg(test)]
mod tests;
