//! Callers of one controller, on a few connections that stay open: what they asked, and what they were told when.

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

const RECONNECT: Duration = Duration::from_millis(20);

/// What a caller knows of one request of its own.
#[derive(Clone, Debug)]
pub struct Request {
    pub controller: usize,
    pub connection: usize,
    /// Which of that connection's lives it was written on.
    pub life: u32,
    pub sent: Instant,
    pub within: Duration,
    /// The caller left, and is owed nothing more.
    pub gave_up: Option<Instant>,
    /// Final answers to it, with their status.
    pub answers: Vec<(Instant, u16)>,
    /// Releases of the call, with their cause.
    pub releases: Vec<(Instant, u8)>,
}

/// All requests, by the call's id.
pub type Requests = Rc<RefCell<HashMap<u64, Request>>>;

/// One life of a connection: when it ended, and why that may lose what is on it.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub controller: usize,
    pub connection: usize,
    pub life: u32,
    pub at: Instant,
}

/// One connection of callers, made again whenever it ends.
pub struct Connection {
    controller: usize,
    number: usize,
    to: SocketAddr,
    requests: Requests,
    ended: Rc<RefCell<Vec<Ended>>>,
    out: RefCell<Option<mpsc::UnboundedSender<Vec<u8>>>>,
    life: Cell<u32>,
    /// No new connection is made, as of callers that the front sends elsewhere.
    away: Cell<bool>,
    /// It is not made again once it has ended.
    once: Cell<bool>,
}

impl Connection {
    /// Starts one.
    pub fn start(
        controller: usize,
        number: usize,
        to: SocketAddr,
        requests: &Requests,
        ended: &Rc<RefCell<Vec<Ended>>>,
    ) -> Rc<Connection> {
        let connection = Rc::new(Connection {
            controller,
            number,
            to,
            requests: requests.clone(),
            ended: ended.clone(),
            out: RefCell::default(),
            life: Cell::new(0),
            away: Cell::new(false),
            once: Cell::new(false),
        });
        spawn_local(connection.clone().run());
        connection
    }

    async fn run(self: Rc<Connection>) {
        loop {
            let connected = if self.away.get() { None } else { TcpStream::connect(self.to).await.ok() };
            let Some(stream) = connected else {
                sleep(RECONNECT).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let (mut read, mut write) = stream.into_split();
            let (sender, mut out) = mpsc::unbounded_channel::<Vec<u8>>();
            self.life.set(self.life.get() + 1);
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
                    self.hear(&message);
                    input.drain(..bytes);
                }
            }
            *self.out.borrow_mut() = None;
            writer.abort();
            let (controller, connection, life) = (self.controller, self.number, self.life.get());
            self.ended.borrow_mut().push(Ended { controller, connection, life, at: Instant::now() });
            if self.once.get() {
                return;
            }
        }
    }

    fn write(&self, method: &str, call: u64, more: &str, body: &str) -> bool {
        let text = format!(
            "{method} sip:{call:x}@net SIP/2.0\r\nVia: SIP/2.0/TCP soak\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\n\
             {more}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.out.borrow().as_ref().is_some_and(|out| out.send(text.into_bytes()).is_ok())
    }

    /// Whose callers these are.
    pub fn controller(&self) -> usize {
        self.controller
    }

    /// Has no new connection made for now.
    pub fn set_away(&self, away: bool) {
        self.away.set(away);
    }

    /// Has no connection made after this one.
    pub fn leave_for_good(&self) {
        self.once.set(true);
    }

    /// Whether it is up.
    pub fn is_open(&self) -> bool {
        self.out.borrow().is_some()
    }

    /// Sends a set-up; nothing happens where the connection is down.
    pub fn invite(&self, call: u64, class: &str, place: usize, within: Duration) {
        let more = format!(
            "Call-Kind: {class}\r\nAnswer-Within: {}\r\nRouting-Data: dest:{place};width:1;via:-1\r\n",
            within.as_millis()
        );
        if !self.write("INVITE", call, &more, "v=0\r\n") {
            return;
        }
        let request = Request {
            controller: self.controller,
            connection: self.number,
            life: self.life.get(),
            sent: Instant::now(),
            within,
            gave_up: None,
            answers: Vec::new(),
            releases: Vec::new(),
        };
        self.requests.borrow_mut().insert(call, request);
    }

    /// The caller gives its set-up up.
    pub fn cancel(&self, call: u64) {
        if self.write("CANCEL", call, "", "") {
            if let Some(request) = self.requests.borrow_mut().get_mut(&call) {
                request.gave_up.get_or_insert(Instant::now());
            }
        }
    }

    fn hear(&self, message: &sip::Message) {
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
