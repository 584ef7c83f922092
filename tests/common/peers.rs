//! The program as a process, and its simulated peers: SIP callers, table hubs and the change log. Each peer records
//! what it receives.
#![allow(dead_code)]

use petreldock::net::binary::{self, code, kind};
use petreldock::net::sip::{self, StartLine};
use std::collections::{BTreeMap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::site_config;

/// Time limit for anything a test waits for; long enough that a slow machine does not fail the test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls `check` until it returns a value.
///
/// # Panics
/// If there is no value within [`WAIT_TIMEOUT`].
pub fn wait_until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns a loopback address with port 0, so that the system chooses the port on bind. A free port chosen earlier
/// could be taken by the time a process binds it.
pub fn ephemeral_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A reserved address: it is bound, and refuses connections, until a process that sets `SO_REUSEADDR`, as the program
/// does, listens on it.
pub struct ReservedAddress {
    _socket: tokio::net::TcpSocket,
    /// The reserved address.
    pub address: SocketAddr,
}

impl ReservedAddress {
    /// Reserves a free port.
    pub fn bind() -> ReservedAddress {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("set");
        socket.bind(ephemeral_address()).expect("bound");
        let address = socket.local_addr().expect("an address");
        ReservedAddress { _socket: socket, address }
    }
}

/// A process of the program; it is killed on drop.
pub struct Program {
    /// The process.
    pub child: Child,
    /// Address on which it serves callers.
    pub address: SocketAddr,
    folder: std::path::PathBuf,
}

/// Number of the next process, for the name of its folder.
static NEXT_PROGRAM: AtomicU64 = AtomicU64::new(0);

impl Program {
    /// Starts the program and waits until it answers an OPTIONS with 200.
    pub fn start(targets: &[String], change_log: Option<SocketAddr>, operator: Option<&str>) -> Program {
        Program::start_with_socket_limits(targets, change_log, operator, (1024, 1024))
    }

    /// Like [`Program::start`], with a limit of file descriptors for the process and a value of `limits.sockets` in its
    /// configuration.
    pub fn start_with_socket_limits(
        targets: &[String],
        change_log: Option<SocketAddr>,
        operator: Option<&str>,
        (descriptors, configured): (u32, u32),
    ) -> Program {
        let set_limit = |text: String| text.replace("\"sockets\":1024", &format!("\"sockets\":{configured}"));
        Program::launch(ephemeral_address(), targets, change_log, operator, descriptors, set_limit)
    }

    /// Like [`Program::start`], with the configuration altered by `change`.
    pub fn start_with_config(
        targets: &[String],
        change_log: Option<SocketAddr>,
        change: impl Fn(String) -> String,
    ) -> Program {
        Program::launch(ephemeral_address(), targets, change_log, None, 1024, change)
    }

    /// Starts the program at an address, with a limit of file descriptors and an altered configuration, and waits until
    /// it answers an OPTIONS with 200.
    pub fn launch(
        address: SocketAddr,
        targets: &[String],
        change_log: Option<SocketAddr>,
        operator: Option<&str>,
        descriptors: u32,
        change: impl Fn(String) -> String,
    ) -> Program {
        let number = NEXT_PROGRAM.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("petreldock-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let change_log = change_log.map(|a| a.to_string());
        let text = change(site_config::document(&address.to_string(), change_log.as_deref(), targets));
        std::fs::write(folder.join("config.json"), text).expect("written");
        let mut command = Command::new("sh");
        command.arg("-c").arg(format!("ulimit -n {descriptors}; exec \"$0\""));
        command.arg(env!("CARGO_BIN_EXE_petreldock"));
        let log = std::fs::File::create(folder.join("log")).expect("a file");
        command.env("ROUTER_CONFIG", folder.join("config.json")).stderr(log);
        command.env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME").env_remove("PETRELDOCK_OPERATOR");
        if let Some(text) = operator {
            std::fs::write(folder.join("operator.json"), text).expect("written");
            command.env("PETRELDOCK_OPERATOR", folder.join("operator.json"));
        }
        let mut program = Program { child: command.spawn().expect("it starts"), address, folder };
        if address.port() == 0 {
            program.address = wait_until("the address in the program's log", || program.served_address());
        }
        let address = program.address;
        wait_until("an answer to OPTIONS with 200", || {
            let mut caller = Caller::try_connect(address)?;
            caller.send("OPTIONS", 0, "", b"");
            caller.answer(0).filter(|(status, ..)| *status == 200)
        });
        program
    }

    /// Returns the address on which it serves, from its log.
    fn served_address(&self) -> Option<SocketAddr> {
        let log = self.log();
        let address = log.split("serving at ").nth(1)?;
        address.split(|c: char| c.is_whitespace() || c == '"').next()?.parse().ok()
    }

    /// Suspends the process with SIGSTOP. Everything sent to it in the meantime is readable once it resumes.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("the process is suspended", || {
            let stat = std::fs::read_to_string(&stat).ok()?;
            stat.rsplit(") ").next()?.starts_with('T').then_some(())
        });
    }

    /// Resumes the suspended process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Sends a signal, such as `-TERM`, to this process only.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(sent.is_ok_and(|s| s.success()));
    }

    /// Alters the configuration file, sends SIGHUP and waits until the log contains `expected_log`.
    pub fn reload(&self, change: impl Fn(String) -> String, expected_log: &str) {
        let file = self.folder.join("config.json");
        let text = std::fs::read_to_string(&file).expect("read");
        std::fs::write(file, change(text)).expect("written");
        self.signal("-HUP");
        wait_until(expected_log, || self.log_contains(expected_log).then_some(()));
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).expect("read")
    }

    /// Whether the log contains `what`.
    pub fn log_contains(&self, what: &str) -> bool {
        self.log().contains(what)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("{}", self.log());
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A message received by a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// Response to an INVITE: call, status, Come-Back-Ms, body.
    Answer(u64, u16, Option<u64>, Vec<u8>),
    /// Response to another request: call, method, status.
    Other(u64, String, u16),
    /// A BYE: call, cause.
    Bye(u64, u8),
}

/// Formats a request of a caller, with further header lines in `more`.
pub fn request(method: &str, call: u64, more: &str, body: &[u8]) -> Vec<u8> {
    let text = format!(
        "{method} sip:{call:x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\n\
         CSeq: 1 {method}\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [text.as_bytes(), body].concat()
}

/// Formats an INVITE of the class `voice`, to be answered within `within` ms.
pub fn invite_request(call: u64, within: u64, place: i64) -> Vec<u8> {
    let more = format!(
        "Call-Kind: voice\r\nAnswer-Within: {within}\r\nRouting-Data: dest:{place};width:1;via:-1\r\n"
    );
    request("INVITE", call, &more, b"v=0 offer\r\n")
}

/// A connection of a SIP caller.
pub struct Caller {
    /// The connection.
    pub stream: TcpStream,
    /// Bytes received but not yet parsed.
    pub input: Vec<u8>,
    /// Messages received so far.
    pub received: Vec<Received>,
}

impl Caller {
    /// Connects, or returns `None` if the connection fails.
    pub fn try_connect(to: SocketAddr) -> Option<Caller> {
        let stream = TcpStream::connect(to).ok()?;
        stream.set_nodelay(true).expect("set");
        stream.set_read_timeout(Some(Duration::from_millis(2))).expect("set");
        Some(Caller { stream, input: Vec::new(), received: Vec::new() })
    }

    /// Connects.
    pub fn connect(to: SocketAddr) -> Caller {
        Caller::try_connect(to).expect("the program listens")
    }

    /// Sends a request.
    pub fn send(&mut self, method: &str, call: u64, more: &str, body: &[u8]) {
        let _ = self.stream.write_all(&request(method, call, more, body));
    }

    /// Sends an INVITE of the class `voice`.
    pub fn invite(&mut self, call: u64, within: u64, place: i64) {
        let _ = self.stream.write_all(&invite_request(call, within, place));
    }

    /// Reads once, waiting for up to 2 ms, and parses the messages. Returns `false` once the program has closed the
    /// connection.
    pub fn receive(&mut self) -> bool {
        let mut bytes = [0; 4096];
        let open = match self.stream.read(&mut bytes) {
            Ok(0) => false,
            Ok(count) => {
                self.input.extend_from_slice(&bytes[..count]);
                true
            }
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        };
        while let Ok(Some(message)) = sip::parse(&self.input) {
            let call = message.header("Call-ID").and_then(|v| u64::from_str_radix(v, 16).ok()).unwrap_or(0);
            let received = match message.start {
                StartLine::Request(_, _) => {
                    let reason = message.header("Reason").and_then(sip::cause).unwrap_or(0);
                    Received::Bye(call, reason)
                }
                StartLine::Response(status) => match message.cseq() {
                    Some((_, "INVITE")) => {
                        let retry_after_ms = message.header("Come-Back-Ms").and_then(|v| v.parse().ok());
                        Received::Answer(call, status, retry_after_ms, message.body.to_vec())
                    }
                    other => Received::Other(call, other.map_or("", |o| o.1).into(), status),
                },
            };
            let bytes = message.bytes;
            self.input.drain(..bytes);
            self.received.push(received);
        }
        open
    }

    /// Waits for the response to a call's INVITE or OPTIONS and returns its status, Come-Back-Ms and body, or `None` if
    /// the connection is closed or [`WAIT_TIMEOUT`] passes first.
    pub fn answer(&mut self, call: u64) -> Option<(u16, Option<u64>, Vec<u8>)> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            let open = self.receive();
            for received in &self.received {
                match received {
                    Received::Answer(c, status, retry_after_ms, body) if *c == call => {
                        return Some((*status, *retry_after_ms, body.clone()))
                    }
                    Received::Other(c, method, status) if *c == call && method == "OPTIONS" => {
                        return Some((*status, None, Vec::new()))
                    }
                    _ => {}
                }
            }
            if !open {
                return None;
            }
        }
        None
    }

    /// Waits for a message for which `found` is true.
    pub fn wait_for(&mut self, what: &str, found: impl Fn(&Received) -> bool) -> Received {
        wait_until(what, || {
            self.receive();
            self.received.iter().find(|message| found(message)).cloned()
        })
    }
}

/// How a simulated hub responds to set-ups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HubBehavior {
    /// Answers at once.
    Answer,
    /// Answers after a delay.
    AnswerAfter(Duration),
    /// Refuses, as a hub without free capacity does.
    Full,
    /// Does not respond.
    Silent,
    /// Closes the connection without an answer.
    Reset,
}

/// An event of a call, as recorded by its hub.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HubEvent {
    /// The hub received a set-up.
    SetUp,
    /// The hub received a release, before or after the answer, with this cause.
    Release(u8),
    /// The hub answered the call.
    Answered,
    /// The hub refused the call.
    Refused,
    /// The hub closed the connection of the call, or hung up the call without an answer.
    Reset,
}

/// Events recorded by hubs: time, number called, number of the hub, event. Callers use the id of a call as the number
/// called, since an IAX2 hub receives nothing else that identifies the call.
pub type HubRecord = Arc<Mutex<Vec<(Instant, u64, usize, HubEvent)>>>;

/// A simulated table hub.
pub struct Hub {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its number in the record.
    pub number: usize,
    /// How it responds to set-ups from now on.
    pub behavior: Arc<Mutex<HubBehavior>>,
    /// Record shared with the other hubs of the test.
    pub record: HubRecord,
    /// Connections accepted so far.
    pub connections: Arc<Mutex<Vec<TcpStream>>>,
    ended: Arc<AtomicBool>,
}

/// The description in the answers of a hub.
pub const HUB_BODY: &[u8] = b"v=0 answer\r\n";

impl Hub {
    /// Starts a hub on a free port.
    pub fn start(number: usize, behavior: HubBehavior, record: &HubRecord) -> Hub {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("set");
        let hub = Hub {
            address: listener.local_addr().expect("an address"),
            number,
            behavior: Arc::new(Mutex::new(behavior)),
            record: record.clone(),
            connections: Arc::default(),
            ended: Arc::default(),
        };
        let (behavior, record, connections, ended) =
            (hub.behavior.clone(), record.clone(), hub.connections.clone(), hub.ended.clone());
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).expect("set");
                stream.set_nodelay(true).expect("set");
                connections.lock().expect("lock").push(stream.try_clone().expect("cloned"));
                let (behavior, record) = (behavior.clone(), record.clone());
                thread::spawn(move || serve(stream, number, &behavior, &record));
            }
        });
        hub
    }

    /// Sets how it responds to set-ups from now on.
    pub fn set_behavior(&self, behavior: HubBehavior) {
        *self.behavior.lock().expect("lock") = behavior;
    }

    /// Sends a message on the connection accepted last.
    pub fn send(&self, kind: u8, call: u64, parameters: &[(u8, &[u8])]) {
        let mut bytes = Vec::new();
        assert!(binary::write(&mut bytes, kind, call, parameters));
        self.send_raw(&bytes);
    }

    /// Sends bytes on the connection accepted last.
    pub fn send_raw(&self, bytes: &[u8]) {
        let mut connections = self.connections.lock().expect("lock");
        connections.last_mut().expect("connected").write_all(bytes).expect("written");
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for stream in self.connections.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Simulates the death of the process: closes all connections and stops listening.
    pub fn kill(&self) {
        self.ended.store(true, Ordering::Relaxed);
        wait_until("the hub's port is closed", || {
            self.close_connections();
            TcpStream::connect(self.address).is_err().then_some(())
        });
        self.close_connections();
    }

    /// Returns the events of a call at this hub.
    pub fn events_of(&self, call: u64) -> Vec<HubEvent> {
        let record = self.record.lock().expect("lock");
        record.iter().filter(|(_, c, h, _)| *c == call && *h == self.number).map(|(.., s)| *s).collect()
    }

    /// Waits for an event of a call at this hub.
    pub fn wait_for(&self, call: u64, event: HubEvent) {
        wait_until(&format!("{event:?} of call {call:x} at hub {}", self.number), || {
            self.events_of(call).contains(&event).then_some(())
        });
    }
}

impl Drop for Hub {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        self.close_connections();
    }
}

/// Serves one connection of a hub until it is closed.
fn serve(mut stream: TcpStream, hub: usize, behavior: &Mutex<HubBehavior>, record: &HubRecord) {
    let record_event = |call, event| record.lock().expect("lock").push((Instant::now(), call, hub, event));
    let message = |kind, call, parameters: &[(u8, &[u8])]| {
        let mut bytes = Vec::new();
        assert!(binary::write(&mut bytes, kind, call, parameters));
        bytes
    };
    let state = message(kind::STATE, 0, &[(code::REPORT, b"x0:90;x1:100")]);
    let _ = stream.write_all(&state);
    // Number called of each set-up that is neither answered nor over.
    let open: Arc<Mutex<BTreeMap<u64, u64>>> = Arc::default();
    let mut numbers: HashMap<u64, u64> = HashMap::new();
    let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return,
            Ok(count) => input.extend_from_slice(&bytes[..count]),
        }
        while let Some(read) = binary::parse(&input).expect("the program writes whole messages") {
            let (call, size) = (read.call, read.bytes);
            if read.kind == kind::SET_UP {
                let number = read.text(code::NUMBER).and_then(|n| u64::from_str_radix(n, 16).ok());
                numbers.insert(call, number.expect("a number"));
            }
            let number = numbers.get(&call).copied().unwrap_or(call);
            match read.kind {
                kind::SET_UP => {
                    record_event(number, HubEvent::SetUp);
                    assert_eq!(read.text(code::CLASS), Some("voice"));
                    open.lock().expect("lock").insert(call, number);
                    let behavior = *behavior.lock().expect("lock");
                    let answer = message(kind::ANSWER, call, &[(code::DESCRIPTION, HUB_BODY)]);
                    match behavior {
                        HubBehavior::Answer => {
                            open.lock().expect("lock").remove(&call);
                            record_event(number, HubEvent::Answered);
                            let _ = stream.write_all(&answer);
                        }
                        HubBehavior::AnswerAfter(wait) => {
                            let mut later = stream.try_clone().expect("cloned");
                            let (record, open) = (record.clone(), open.clone());
                            thread::spawn(move || {
                                thread::sleep(wait);
                                let mut open = open.lock().expect("lock");
                                if open.remove(&call).is_some() {
                                    let event = (Instant::now(), number, hub, HubEvent::Answered);
                                    record.lock().expect("lock").push(event);
                                    let _ = later.write_all(&answer);
                                }
                            });
                        }
                        HubBehavior::Full => {
                            open.lock().expect("lock").remove(&call);
                            record_event(number, HubEvent::Refused);
                            let full: [(u8, &[u8]); 2] = [(code::CAUSE, &[34]), (code::NOTE, b"throttled")];
                            let _ = stream.write_all(&message(kind::RELEASE, call, &full));
                        }
                        HubBehavior::Silent => {}
                        HubBehavior::Reset => {
                            // All unanswered set-ups of the connection fail with it.
                            let mut open = open.lock().expect("lock");
                            open.values().for_each(|number| record_event(*number, HubEvent::Reset));
                            open.clear();
                            let _ = stream.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                    }
                }
                kind::RELEASE => {
                    open.lock().expect("lock").remove(&call);
                    record_event(number, HubEvent::Release(read.cause().unwrap_or(0)));
                }
                _ => {}
            }
            input.drain(..size);
        }
    }
}

/// A simulated change log.
pub struct ChangeLog {
    /// Address on which it serves.
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    /// The `since` of each poll so far.
    pub polls: Arc<Mutex<Vec<u64>>>,
}

impl ChangeLog {
    /// Starts a change log whose next event is number 2, as event 1 is in the configuration. It closes every connection
    /// after `polls_per_connection` responses.
    pub fn start(polls_per_connection: usize) -> ChangeLog {
        ChangeLog::start_late(polls_per_connection, Duration::ZERO)
    }

    /// Like [`ChangeLog::start`], with every response later than a prompt one.
    pub fn start_late(polls_per_connection: usize, lateness: Duration) -> ChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let change_log = ChangeLog {
            address: listener.local_addr().expect("an address"),
            events: Arc::default(),
            polls: Arc::default(),
        };
        let (events, polls) = (change_log.events.clone(), change_log.polls.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (events, polls) = (events.clone(), polls.clone());
                thread::spawn(move || serve_polls(stream, polls_per_connection, lateness, &events, &polls));
            }
        });
        change_log
    }

    /// Appends an event with the next number.
    pub fn append_event(&self, targets: &[String]) {
        let mut events = self.events.lock().expect("lock");
        let seq = events.len() as u64 + 2;
        events.push(site_config::event(seq, false, targets));
    }
}

/// Serves the polls of one connection.
fn serve_polls(
    mut stream: TcpStream,
    polls_per_connection: usize,
    lateness: Duration,
    events: &Mutex<Vec<String>>,
    polls: &Mutex<Vec<u64>>,
) {
    let mut input = Vec::new();
    for _ in 0..polls_per_connection {
        let mut bytes = [0; 2048];
        while !input.ends_with(b"\r\n\r\n") {
            match stream.read(&mut bytes) {
                Ok(0) | Err(_) => return,
                Ok(count) => input.extend_from_slice(&bytes[..count]),
            }
        }
        let text = String::from_utf8(std::mem::take(&mut input)).expect("text");
        let since = text.split("since=").nth(1).and_then(|t| t.split('&').next()).expect("since");
        let since: u64 = since.parse().expect("a number");
        polls.lock().expect("lock").push(since);
        let end = Instant::now() + Duration::from_millis(20);
        let new_events = loop {
            let pending: Vec<String> =
                events.lock().expect("lock").iter().skip(since.saturating_sub(1) as usize).cloned().collect();
            if !pending.is_empty() || Instant::now() > end {
                break pending;
            }
            thread::sleep(Duration::from_millis(5));
        };
        thread::sleep(lateness);
        let last = since + new_events.len() as u64;
        let body = format!(r#"{{"seq":{last},"results":[{}]}}"#, new_events.join(","));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
