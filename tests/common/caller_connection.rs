//! A caller connection to the SIP server in the test process, and the core's part in its calls.
#![allow(dead_code)]

use crate::sip_test_server::{self, request, TestServer};
use bytes::Bytes;
use petreldock::core::{CallName, Cause, Description, Origin, ToFront};
use petreldock::net::sip::{self, StartLine};
use petreldock::net::SDP;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Interval at which connections are read.
pub const MILLISECOND: Duration = Duration::from_millis(1);
/// Cause of the releases that tests send.
const CAUSE: Cause = Cause(16);

/// One caller connection, which is read only when the test calls for it.
pub struct CallerConnection {
    pub stream: TcpStream,
    input: Vec<u8>,
    /// Whether each BYE that is read is answered at once.
    pub answers_byes: bool,
    /// The calls of the BYEs received, and when they were read.
    pub byes: Vec<(u64, Instant)>,
    /// Number of responses received.
    pub responses: usize,
    /// Whether the server has closed the connection.
    pub is_closed: bool,
}

impl CallerConnection {
    /// Connects, and waits until the server has answered an OPTIONS on the connection. BYEs that come first are kept.
    pub async fn connect(server: &TestServer) -> CallerConnection {
        let stream = TcpStream::connect(server.address).expect("it listens");
        stream.set_nonblocking(true).expect("set");
        let mut connection = CallerConnection {
            stream,
            input: Vec::new(),
            answers_byes: true,
            byes: Vec::new(),
            responses: 0,
            is_closed: false,
        };
        connection.send(&request("OPTIONS", 0));
        let end = Instant::now() + sip_test_server::WAIT_TIMEOUT;
        while connection.responses == 0 {
            assert!(Instant::now() < end && !connection.is_closed, "the OPTIONS is not answered");
            tokio::time::sleep(MILLISECOND).await;
            connection.read_available();
        }
        connection
    }

    /// Sends text.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("room");
    }

    /// Answers the BYE of a call with 200.
    pub fn answer_bye(&mut self, call: u64) {
        self.send(&format!(
            "SIP/2.0 200 OK\r\nVia: x\r\nCall-ID: {call:016x}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n"
        ));
    }

    /// Reads and handles the available data.
    pub fn read_available(&mut self) {
        let mut bytes = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(count @ 1..) => self.input.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Ok(_) | Err(_) => {
                    self.is_closed = true;
                    break;
                }
            }
        }
        let (mut used, mut calls) = (0, Vec::new());
        while let Ok(Some(message)) = sip::parse(&self.input[used..]) {
            match message.start {
                StartLine::Request("BYE", _) => {
                    let id = message.header("Call-ID").expect("a call");
                    calls.push(u64::from_str_radix(id, 16).expect("a number"));
                }
                StartLine::Request(..) => panic!("nothing but BYE is sent to callers"),
                StartLine::Response(_) => self.responses += 1,
            }
            used += message.bytes;
        }
        self.input.drain(..used);
        for call in calls {
            self.byes.push((call, Instant::now()));
            if self.answers_byes {
                self.answer_bye(call);
            }
        }
    }

    /// Reads for the given time.
    pub async fn read_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.read_available();
            tokio::time::sleep(MILLISECOND).await;
        }
    }

    /// Reads until `count` BYEs have been received in all.
    pub async fn read_byes(&mut self, count: usize) {
        let end = Instant::now() + sip_test_server::WAIT_TIMEOUT;
        while self.byes.len() < count {
            assert!(Instant::now() < end, "{} of {count} BYEs received", self.byes.len());
            self.read_available();
            tokio::time::sleep(MILLISECOND).await;
        }
    }

    /// Reads until the server has closed the connection.
    pub async fn read_close(&mut self) {
        let end = Instant::now() + sip_test_server::WAIT_TIMEOUT;
        while !self.is_closed {
            assert!(Instant::now() < end, "the connection is still open");
            self.read_available();
            tokio::time::sleep(MILLISECOND).await;
        }
    }

    /// The calls of the BYEs received.
    pub fn bye_calls(&self) -> Vec<u64> {
        self.byes.iter().map(|(call, _)| *call).collect()
    }
}

impl TestServer {
    /// Sets up and answers a call on a connection, with a description of `length` bytes. The caller does not read the
    /// answer.
    pub async fn establish_call(
        &mut self,
        caller: &mut CallerConnection,
        call: u64,
        length: usize,
    ) -> Origin {
        caller.send(&request("INVITE", call));
        let offer = self.next_offer().await;
        let description = Description { format: SDP, bytes: Bytes::from(vec![b'v'; length]) };
        let answer = ToFront::Answer(offer.origin, offer.call, description);
        self.messages.send(answer).await.expect("taken");
        offer.origin
    }

    /// Has the core release a call, as after the hub's release, and returns the time.
    pub async fn release(&mut self, origin: Origin, call: u64) -> Instant {
        let now = Instant::now();
        let release = ToFront::Release(Some(origin), CallName(call), CAUSE);
        self.messages.send(release).await.expect("taken");
        now
    }

    /// Waits until the server has processed what was sent to it.
    pub async fn settle(&self) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
