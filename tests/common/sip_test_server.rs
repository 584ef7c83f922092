//! Runs the SIP server inside the test process, with the test in the place of the core.
#![allow(dead_code)]

use petreldock::core::*;
use petreldock::net::shared_count::SharedCount;
use petreldock::net::sip_server;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Time limit for anything a test waits for; long enough that a slow machine does not fail the test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A SIP server whose core is the test.
pub struct TestServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Inputs that it sends to the core.
    pub inputs: mpsc::Receiver<Input>,
    /// Messages from the core to it.
    pub messages: mpsc::Sender<ToFront>,
    /// Its outstanding work.
    pub outstanding: SharedCount,
    _status: watch::Sender<Status>,
}

/// Formats a request as callers send it.
pub fn request(method: &str, call: u64) -> String {
    format!(
        "{method} sip:1@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\n\
         Call-Kind: voice\r\nAnswer-Within: 30000\r\nContent-Length: 0\r\n\r\n"
    )
}

impl TestServer {
    /// Starts a server on a free port.
    pub async fn start() -> TestServer {
        TestServer::start_with_descriptors(1024).await
    }

    /// Like [`TestServer::start`], with a maximum number of descriptors.
    pub async fn start_with_descriptors(sockets: usize) -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (core, inputs) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (messages, to_front) = mpsc::channel(FRONT_QUEUE_CAPACITY);
        let (sender, status) = watch::channel(Status { ready: true, ..Status::default() });
        let outstanding = SharedCount::default();
        let (id, clock) = (FrontId(0), Clock::system());
        let max_open_bytes = 8 * 1024 * 1024;
        let config = sip_server::Config {
            id,
            sockets,
            max_open_bytes,
            clock,
            core,
            status,
            outstanding: outstanding.clone(),
        };
        tokio::spawn(sip_server::run(config, listener, to_front));
        TestServer { address, inputs, messages, outstanding, _status: sender }
    }

    /// Connects a caller. Unless `is_partial`, it sends a whole OPTIONS and waits for the response, which shows that the
    /// server has accepted the connection; else it sends only the first 20 bytes of an OPTIONS.
    pub async fn connect_caller(&self, is_partial: bool) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_nonblocking(true).expect("set");
        let sent = if is_partial { &request("OPTIONS", 0)[..20] } else { &request("OPTIONS", 0) };
        stream.write_all(sent.as_bytes()).expect("written");
        let mut bytes = [0; 512];
        while !is_partial && stream.read(&mut bytes).is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
        stream
    }

    /// Waits for the next set-up that the server sends to the core.
    pub async fn next_offer(&mut self) -> Offer {
        match timeout(WAIT_TIMEOUT, self.inputs.recv()).await.expect("in time") {
            Some(Input::Offer(offer)) => offer,
            other => panic!("a set-up was expected, not {other:?}"),
        }
    }
}
