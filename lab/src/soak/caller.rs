//! Callers of a controller on a few persistent connections, and the record of their requests and the responses.

use petreldock::net::sip::{self, StartLine};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, Duration, Instant};

/// Time between attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);

/// A set-up sent by a caller, and what the caller received for it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of the controller.
    pub controller: usize,
    /// Number of the connection.
    pub connection: usize,
    /// Generation of the connection on which it was sent.
    pub generation: u32,
    /// When it was sent.
    pub sent: Instant,
    /// Time in which an answer is requested.
    pub answer_timeout: Duration,
    /// When the caller cancelled it; no final answer is required after that.
    pub cancelled_at: Option<Instant>,
    /// Final answers: time, status.
    pub answers: Vec<(Instant, u16)>,
    /// Releases of the call: time, cause.
    pub releases: Vec<(Instant, u8)>,
}

/// All requests by the id of their call.
pub type Requests = Rc<RefCell<HashMap<u64, Request>>>;

/// The end of one generation of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionEnd {
    /// Index of the controller.
    pub controller: usize,
    /// Number of the connection.
    pub connection: usize,
    /// The generation.
    pub generation: u32,
    /// When it ended.
    pub at: Instant,
}

/// A connection of callers that reconnects whenever it is closed. Each reconnect starts a new generation.
pub struct Connection {
    controller: usize,
    number: usize,
    address: SocketAddr,
    requests: Requests,
    ends: Rc<RefCell<Vec<ConnectionEnd>>>,
    out: RefCell<Option<mpsc::UnboundedSender<Vec<u8>>>>,
    generation: Cell<u32>,
    /// Whether reconnects are suspended, as for callers that are directed to another controller.
    reconnects_paused: Cell<bool>,
    /// Whether it ends for good once it is closed.
    reconnects_disabled: Cell<bool>,
}

impl Connection {
    /// Starts a task that connects and reconnects.
    pub fn start(
        controller: usize,
        number: usize,
        address: SocketAddr,
        requests: &Requests,
        ends: &Rc<RefCell<Vec<ConnectionEnd>>>,
    ) -> Rc<Connection> {
        let connection = Rc::new(Connection {
            controller,
            number,
            address,
            requests: requests.clone(),
            ends: ends.clone(),
            out: RefCell::default(),
            generation: Cell::new(0),
            reconnects_paused: Cell::new(false),
            reconnects_disabled: Cell::new(false),
        });
        spawn_local(connection.clone().run());
        connection
    }

    /// Connects and handles messages, again after each end of the connection.
    async fn run(self: Rc<Connection>) {
        loop {
            let connected =
                if self.reconnects_paused.get() { None } else { TcpStream::connect(self.address).await.ok() };
            let Some(stream) = connected else {
                sleep(RECONNECT_INTERVAL).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let (mut read, mut write) = stream.into_split();
            let (sender, mut out) = mpsc::unbounded_channel::<Vec<u8>>();
            self.generation.set(self.generation.get() + 1);
            *self.out.borrow_mut() = Some(sender);
            let writer = spawn_local(async move {
                while let Some(bytes) = out.recv().await {
                    if write.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
            });
            let mut input = Vec::new();
            while read.read_buf(&mut input).await.is_ok_and(|count| count > 0) {
                while let Ok(Some(message)) = sip::parse(&input) {
                    let bytes = message.bytes;
                    self.handle_message(&message);
                    input.drain(..bytes);
                }
            }
            *self.out.borrow_mut() = None;
            writer.abort();
            let (controller, connection, generation) = (self.controller, self.number, self.generation.get());
            self.ends.borrow_mut().push(ConnectionEnd {
                controller,
                connection,
                generation,
                at: Instant::now(),
            });
            if self.reconnects_disabled.get() {
                return;
            }
        }
    }

    /// Sends a request. Returns `false` if the connection is closed.
    fn write(&self, method: &str, call: u64, more: &str, body: &str) -> bool {
        let text = format!(
            "{method} sip:{call:x}@net SIP/2.0\r\nVia: SIP/2.0/TCP soak\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\n\
             {more}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.out.borrow().as_ref().is_some_and(|out| out.send(text.into_bytes()).is_ok())
    }

    /// Returns the index of the controller.
    pub fn controller(&self) -> usize {
        self.controller
    }

    /// Suspends reconnects, or allows them again.
    pub fn pause_reconnects(&self, paused: bool) {
        self.reconnects_paused.set(paused);
    }

    /// Disables reconnects for good.
    pub fn disable_reconnects(&self) {
        self.reconnects_disabled.set(true);
    }

    /// Whether the connection is established.
    pub fn is_open(&self) -> bool {
        self.out.borrow().is_some()
    }

    /// Sends a set-up. If the connection is closed, nothing is sent or recorded.
    pub fn invite(&self, call: u64, class: &str, place: usize, answer_timeout: Duration) {
        let more = format!(
            "Call-Kind: {class}\r\nAnswer-Within: {}\r\nRouting-Data: dest:{place};width:1;via:-1\r\n",
            answer_timeout.as_millis()
        );
        if !self.write("INVITE", call, &more, "v=0\r\n") {
            return;
        }
        let request = Request {
            controller: self.controller,
            connection: self.number,
            generation: self.generation.get(),
            sent: Instant::now(),
            answer_timeout,
            cancelled_at: None,
            answers: Vec::new(),
            releases: Vec::new(),
        };
        self.requests.borrow_mut().insert(call, request);
    }

    /// Cancels a set-up.
    pub fn cancel(&self, call: u64) {
        if self.write("CANCEL", call, "", "") {
            if let Some(request) = self.requests.borrow_mut().get_mut(&call) {
                request.cancelled_at.get_or_insert(Instant::now());
            }
        }
    }

    /// Records a response or release, and acknowledges it.
    fn handle_message(&self, message: &sip::Message) {
        let call = message.header("Call-ID").and_then(|v| u64::from_str_radix(v, 16).ok()).unwrap_or(0);
        let now = Instant::now();
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&call) else { return };
        match message.start {
            StartLine::Request("BYE", _) => {
                let cause = message.header("Reason").and_then(sip::cause).unwrap_or(0);
                request.releases.push((now, cause));
                let answer = format!(
                    "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP soak\r\nCall-ID: {call:016x}\r\nCSeq: 1 BYE\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                if let Some(out) = &*self.out.borrow() {
                    let _ = out.send(answer.into_bytes());
                }
            }
            StartLine::Response(status)
                if status >= 200 && message.cseq().is_some_and(|(_, method)| method == "INVITE") =>
            {
                request.answers.push((now, status));
                drop(requests);
                self.write("ACK", call, "", "");
            }
            _ => {}
        }
    }
}
