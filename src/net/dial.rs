//! Connections to others: hubs and the change log are dialled in one way.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{timeout, Duration};

/// Connects within `limit`, else fails with `TimedOut`. Small messages go out at once where the system
/// can do that (RFC 1122, 4.2.3.4, as `TCP_NODELAY`).
pub async fn dial(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    dial_with(address, limit, |socket| socket.set_nodelay(true)).await
}

/// Danger: an option that cannot be set costs some speed, never the connection. The change log was not
/// heard for whole days because its poller took that for a failed poll, at every poll.
async fn dial_with(
    address: SocketAddr,
    limit: Duration,
    set_options: impl FnOnce(&TcpSocket) -> io::Result<()>,
) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    if let Err(error) = set_options(&socket) {
        tracing::debug!(%address, "no TCP_NODELAY: {error}");
    }
    timeout(limit, socket.connect(address)).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

#[cfg(test)]
mod tests;
