//! The SIP server inside the test's own process, with the test as its core.
#![allow(dead_code)]

use petreldock::core::*;
use petreldock::net::owed::Owed;
use petreldock::net::sip_server;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Generous, so that a slow machine gives the same verdict.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A SIP server with this test as its core.
pub struct TestServer {
    pub address: SocketAddr,
    pub inputs: mpsc::Receiver<Input>,
    pub answers: mpsc::Sender<ToFront>,
    pub owed: Owed,
    _status: watch::Sender<Status>,
}

/// A request as callers write it.
pub fn message(method: &str, call: u64) -> String {
    format!(
        "{method} sip:1@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\n\
         Call-Kind: voice\r\nAnswer-Within: 30000\r\nContent-Length: 0\r\n\r\n"
    )
}

impl TestServer {
    /// Starts one at a free port.
    pub async fn start() -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (core, inputs) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (answers, to_front) = mpsc::channel(FRONT_QUEUE_CAPACITY);
        let (sender, status) = watch::channel(Status { ready: true, ..Status::default() });
        let owed = Owed::default();
        let (id, sockets, clock) = (FrontId(0), 1024, Clock::system());
        let config = sip_server::Config { id, sockets, clock, core, status, owed: owed.clone() };
        tokio::spawn(sip_server::run(config, listener, to_front));
        TestServer { address, inputs, answers, owed, _status: sender }
    }

    /// A caller whose connection the server has taken in, as its answer to a test shows.
    pub async fn caller(&self, silent: bool) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_nonblocking(true).expect("set");
        let said = if silent { &message("OPTIONS", 0)[..20] } else { &message("OPTIONS", 0) };
        stream.write_all(said.as_bytes()).expect("written");
        let mut bytes = [0; 512];
        while !silent && stream.read(&mut bytes).is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
        stream
    }

    /// The next set-up that the server hands to its core.
    pub async fn offer(&mut self) -> Offer {
        match timeout(PATIENCE, self.inputs.recv()).await.expect("in time") {
            Some(Input::Offer(offer)) => offer,
            other => panic!("a set-up was expected, not {other:?}"),
        }
    }
}
