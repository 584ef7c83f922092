//! How a dial is tuned.

use super::*;
use tokio::net::TcpListener;

#[tokio::test]
async fn a_connection_whose_options_cannot_be_set_is_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let bad_descriptor = || io::Error::from_raw_os_error(9);
    let dialled = dial_with(address, Duration::from_secs(20), |_| Err(bad_descriptor())).await;
    assert_eq!(dialled.expect("it is up").peer_addr().expect("connected"), address);
}
