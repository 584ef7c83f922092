//! A table hub that says nothing by itself, so that a test owns the order of events, and what tests of the
//! started program say again and again.
#![allow(dead_code)]

use crate::peers::{until, Caller, HUB_BODY, PATIENCE};
use crate::site;
use petreldock::net::binary::{self, code, kind};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// One connection to a [`ScriptedHub`], as its hub sees it.
pub struct Link {
    pub stream: TcpStream,
    pub input: Vec<u8>,
    pub open: bool,
}

/// What a [`ScriptedHub`] was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub link: usize,
    pub kind: u8,
    pub call: u64,
    pub class: String,
    pub wait: u64,
    pub cause: Option<u8>,
}

/// A hub that says nothing by itself: the test takes in and answers, one step after the other.
pub struct ScriptedHub {
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub links: Vec<Link>,
    pub sent: Vec<Sent>,
}

impl ScriptedHub {
    pub fn new() -> ScriptedHub {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("set");
        let address = listener.local_addr().expect("an address");
        ScriptedHub { listener, address, links: Vec::new(), sent: Vec::new() }
    }

    /// One whose accept queue holds a single connection.
    pub fn with_short_queue() -> ScriptedHub {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
            socket.listen(1).expect("listens").into_std().expect("handed over")
        });
        listener.set_nonblocking(true).expect("set");
        let address = listener.local_addr().expect("an address");
        ScriptedHub { listener, address, links: Vec::new(), sent: Vec::new() }
    }

    /// Fills the accept queue of a hub that has a short one: no further connection comes up till it is emptied.
    pub fn fill_queue(&self) -> Vec<TcpStream> {
        let mut filling = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(300)) {
            filling.push(stream);
        }
        filling
    }

    /// One whose connections take little before it reads.
    pub fn narrow() -> ScriptedHub {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(4096).expect("set");
            socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
            socket.listen(16).expect("listens").into_std().expect("handed over")
        });
        listener.set_nonblocking(true).expect("set");
        let address = listener.local_addr().expect("an address");
        ScriptedHub { listener, address, links: Vec::new(), sent: Vec::new() }
    }

    pub fn target(&self, number: i64) -> String {
        site::target(&format!("s-{number}"), &self.address.to_string(), number, "in_service")
    }

    /// Takes in all that is there.
    pub fn take_in(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).expect("set");
            self.links.push(Link { stream, input: Vec::new(), open: true });
        }
        for (number, link) in self.links.iter_mut().enumerate().filter(|(_, l)| l.open) {
            let mut bytes = [0; 4096];
            loop {
                match link.stream.read(&mut bytes) {
                    Ok(count) if count > 0 => link.input.extend_from_slice(&bytes[..count]),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                    Ok(_) | Err(_) => {
                        link.open = false;
                        break;
                    }
                }
            }
            while let Some(read) = binary::parse(&link.input).expect("whole messages") {
                let (kind, call, cause) = (read.kind, read.call, read.cause());
                let class = read.text(code::CLASS).unwrap_or("").to_string();
                let wait = read.text(code::WAIT).map_or(0, |w| w.parse().expect("a number"));
                let used = read.bytes;
                link.input.drain(..used);
                self.sent.push(Sent { link: number, kind, call, class, wait, cause });
            }
        }
    }

    /// Waits for a set-up, the `count`-th of its call.
    pub fn set_up(&mut self, call: u64, count: usize) -> Sent {
        until(&format!("set-up {count} of {call:x}"), || {
            self.take_in();
            let mut of_call = self.sent.iter().filter(|s| s.kind == kind::SET_UP && s.call == call);
            of_call.nth(count - 1).cloned()
        })
    }

    /// Waits for a give-up or release.
    pub fn release(&mut self, call: u64) -> Sent {
        until(&format!("a release of {call:x}"), || {
            self.take_in();
            self.sent.iter().find(|s| s.kind == kind::RELEASE && s.call == call).cloned()
        })
    }

    /// How often a call was set up here.
    pub fn set_ups(&mut self, call: u64) -> usize {
        self.take_in();
        self.sent.iter().filter(|s| s.kind == kind::SET_UP && s.call == call).count()
    }

    pub fn say(&mut self, link: usize, kind: u8, call: u64, parameters: &[(u8, &[u8])]) {
        let mut bytes = Vec::new();
        assert!(binary::write(&mut bytes, kind, call, parameters));
        self.links[link].stream.write_all(&bytes).expect("written");
    }

    pub fn answer(&mut self, to: &Sent) {
        self.say(to.link, kind::ANSWER, to.call, &[(code::DESCRIPTION, HUB_BODY)]);
    }

    /// Ends a connection under all that is out on it, as a reset does; there is nothing to do where it has ended.
    pub fn break_connection(&mut self, link: usize) {
        if std::mem::take(&mut self.links[link].open) {
            self.links[link].stream.shutdown(std::net::Shutdown::Both).expect("shut");
        }
    }
}

pub fn status(caller: &mut Caller, call: u64) -> u16 {
    caller.answer(call).unwrap_or_else(|| panic!("no answer to {call:x}")).0
}

/// Whether the connection ends without a reset, and all that was said on it till then.
pub fn end_of(mut stream: TcpStream) -> (bool, Vec<u8>) {
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    let mut bytes = Vec::new();
    (stream.read_to_end(&mut bytes).is_ok(), bytes)
}

/// The settings with an aim so late that no hub looks silent meanwhile.
pub fn unhurried(text: String) -> String {
    text.replace(
        "\"objective\":1000000,\"deadline\":6000000",
        "\"objective\":100000000,\"deadline\":120000000",
    )
}

/// The settings with a class that may run once only, and short deadlines.
pub fn once(text: String) -> String {
    text.replace("\"idempotency\":\"free\"", "\"idempotency\":\"single_shot\"")
}
