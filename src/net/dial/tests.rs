//! Tests of socket options on outgoing connections.

use super::*;
use tokio::net::TcpListener;

#[tokio::test]
async fn a_socket_option_that_cannot_be_set_does_not_fail_the_dial() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let bad_descriptor = || io::Error::from_raw_os_error(9);
    let dialled = dial_with(address, Duration::from_secs(20), |_| Err(bad_descriptor())).await;
    assert_eq!(dialled.expect("connected despite the option").peer_addr().expect("a peer"), address);
}
