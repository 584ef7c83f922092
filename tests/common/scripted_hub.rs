//! A table hub that sends only what a test tells it to, which makes the order of events deterministic, and helpers for
//! tests of the program as a process.
#![allow(dead_code)]

use crate::peers::{wait_until, Caller, HUB_BODY, WAIT_TIMEOUT};
use crate::site_config;
use petreldock::net::binary::{self, code, kind};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A connection accepted by a [`ScriptedHub`].
pub struct HubConnection {
    /// The connection.
    pub stream: TcpStream,
    /// Bytes received but not yet parsed.
    pub input: Vec<u8>,
    /// Whether neither side has closed it.
    pub open: bool,
}

/// A message received by a [`ScriptedHub`].
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedMessage {
    /// Index of the connection on which it came.
    pub connection: usize,
    /// Message type.
    pub kind: u8,
    /// The call.
    pub call: u64,
    /// Name of the class, empty if there is none.
    pub class: String,
    /// Value of the parameter `WAIT`, 0 if there is none.
    pub wait: u64,
    /// Cause, if there is one.
    pub cause: Option<u8>,
}

/// A hub that reads and sends only when the test calls its methods.
pub struct ScriptedHub {
    /// The listening socket.
    pub listener: TcpListener,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Connections accepted so far, open or closed.
    pub connections: Vec<HubConnection>,
    /// Messages received so far on all connections.
    pub received: Vec<ReceivedMessage>,
}

impl ScriptedHub {
    /// Starts to listen on a free port.
    pub fn new() -> ScriptedHub {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("set");
        let address = listener.local_addr().expect("an address");
        ScriptedHub { listener, address, connections: Vec::new(), received: Vec::new() }
    }

    /// Like [`ScriptedHub::new`], with a listen backlog of 1.
    pub fn with_short_accept_queue() -> ScriptedHub {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
            socket.listen(1).expect("listens").into_std().expect("handed over")
        });
        listener.set_nonblocking(true).expect("set");
        let address = listener.local_addr().expect("an address");
        ScriptedHub { listener, address, connections: Vec::new(), received: Vec::new() }
    }

    /// Connects until the accept queue is full, so that no further connection is established until the hub accepts.
    /// To be used with [`ScriptedHub::with_short_accept_queue`].
    pub fn fill_accept_queue(&self) -> Vec<TcpStream> {
        let mut fillers = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(300)) {
            fillers.push(stream);
        }
        fillers
    }

    /// Like [`ScriptedHub::new`], with a receive buffer of 4096 bytes, so that writes to it block early.
    pub fn with_small_receive_buffer() -> ScriptedHub {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(4096).expect("set");
            socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
            socket.listen(16).expect("listens").into_std().expect("handed over")
        });
        listener.set_nonblocking(true).expect("set");
        let address = listener.local_addr().expect("an address");
        ScriptedHub { listener, address, connections: Vec::new(), received: Vec::new() }
    }

    /// Formats this hub as a target of the change log, with `number` as its place.
    pub fn target(&self, number: i64) -> String {
        site_config::target(&format!("s-{number}"), &self.address.to_string(), number, "in_service")
    }

    /// Accepts all pending connections and parses everything that has been received, without waiting.
    pub fn receive(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).expect("set");
            self.connections.push(HubConnection { stream, input: Vec::new(), open: true });
        }
        for (number, connection) in
            self.connections.iter_mut().enumerate().filter(|(_, connection)| connection.open)
        {
            let mut bytes = [0; 4096];
            loop {
                match connection.stream.read(&mut bytes) {
                    Ok(count) if count > 0 => connection.input.extend_from_slice(&bytes[..count]),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                    Ok(_) | Err(_) => {
                        connection.open = false;
                        break;
                    }
                }
            }
            while let Some(read) = binary::parse(&connection.input).expect("whole messages") {
                let (kind, call, cause) = (read.kind, read.call, read.cause());
                let class = read.text(code::CLASS).unwrap_or("").to_string();
                let wait = read.text(code::WAIT).map_or(0, |w| w.parse().expect("a number"));
                let size = read.bytes;
                connection.input.drain(..size);
                self.received.push(ReceivedMessage { connection: number, kind, call, class, wait, cause });
            }
        }
    }

    /// Waits for the `count`-th set-up of a call.
    pub fn wait_for_set_up(&mut self, call: u64, count: usize) -> ReceivedMessage {
        wait_until(&format!("set-up {count} of call {call:x}"), || {
            self.receive();
            let mut of_call = self.received.iter().filter(|s| s.kind == kind::SET_UP && s.call == call);
            of_call.nth(count - 1).cloned()
        })
    }

    /// Waits for a give-up or release of a call.
    pub fn wait_for_release(&mut self, call: u64) -> ReceivedMessage {
        wait_until(&format!("a release of call {call:x}"), || {
            self.receive();
            self.received.iter().find(|s| s.kind == kind::RELEASE && s.call == call).cloned()
        })
    }

    /// Returns the number of set-ups of a call received so far.
    pub fn set_up_count(&mut self, call: u64) -> usize {
        self.receive();
        self.received.iter().filter(|s| s.kind == kind::SET_UP && s.call == call).count()
    }

    /// Sends a message on a connection.
    pub fn send(&mut self, connection: usize, kind: u8, call: u64, parameters: &[(u8, &[u8])]) {
        let bytes = encode(kind, call, parameters);
        self.connections[connection].stream.write_all(&bytes).expect("written");
    }

    /// Sends bytes on a connection that the program may have closed.
    pub fn try_send_bytes(&mut self, connection: usize, bytes: &[u8]) {
        let _ = self.connections[connection].stream.write_all(bytes);
    }

    /// Answers a set-up.
    pub fn answer(&mut self, to: &ReceivedMessage) {
        self.send(to.connection, kind::ANSWER, to.call, &[(code::DESCRIPTION, HUB_BODY)]);
    }

    /// Closes a connection without answering its outstanding set-ups. Does nothing if it is closed already.
    pub fn break_connection(&mut self, connection: usize) {
        if std::mem::take(&mut self.connections[connection].open) {
            self.connections[connection].stream.shutdown(std::net::Shutdown::Both).expect("shut");
        }
    }
}

/// Encodes a message.
pub fn encode(kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut bytes = Vec::new();
    assert!(binary::write(&mut bytes, kind, call, parameters));
    bytes
}

/// Waits for the answer to a call and returns its status.
pub fn answer_status(caller: &mut Caller, call: u64) -> u16 {
    caller.answer(call).unwrap_or_else(|| panic!("no answer to call {call:x}")).0
}

/// Reads until the connection is closed. Returns whether it was closed without an error, and all bytes received.
pub fn read_until_closed(mut stream: TcpStream) -> (bool, Vec<u8>) {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    let mut bytes = Vec::new();
    (stream.read_to_end(&mut bytes).is_ok(), bytes)
}

/// Sets an objective of 100 s and a deadline of 120 s, so that no hub counts as silent during the test.
pub fn with_long_objective(text: String) -> String {
    text.replace(
        "\"objective\":1000000,\"deadline\":6000000",
        "\"objective\":100000000,\"deadline\":120000000",
    )
}

/// Makes the calls of the class single-shot.
pub fn with_single_shot(text: String) -> String {
    text.replace("\"idempotency\":\"free\"", "\"idempotency\":\"single_shot\"")
}
