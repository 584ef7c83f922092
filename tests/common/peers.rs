//! Stand-ins for the started program's peers, by the public specifications: SIP callers, table hubs,
//! the change log. Each keeps a record of what it saw.
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

use crate::site;

/// Generous, so that a slow machine gives the same verdict.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits till something holds.
pub fn until<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = found() {
            return found;
        }
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A loopback address whose port the system chooses once it is bound. Danger: a port that was free when it was
/// asked for may be taken when a process binds it.
pub fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An address that is kept as long as this lives: it is bound, and connections to it are refused, until a process
/// that reuses addresses, as the program does, listens there.
pub struct ReservedAddress {
    _socket: tokio::net::TcpSocket,
    pub address: SocketAddr,
}

impl ReservedAddress {
    pub fn bind() -> ReservedAddress {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("set");
        socket.bind(any_address()).expect("bound");
        let address = socket.local_addr().expect("an address");
        ReservedAddress { _socket: socket, address }
    }
}

/// The started program; it is killed when it goes out of scope.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    folder: std::path::PathBuf,
}

static PROGRAMS: AtomicU64 = AtomicU64::new(0);

impl Program {
    /// Starts the program and waits till it passes its test.
    pub fn start(targets: &[String], change_log: Option<SocketAddr>, operator: Option<&str>) -> Program {
        Program::start_with(targets, change_log, operator, (1024, 1024))
    }

    /// The same with so many descriptors, and so many promised by the configuration.
    pub fn start_with(
        targets: &[String],
        change_log: Option<SocketAddr>,
        operator: Option<&str>,
        (descriptors, promised): (u32, u32),
    ) -> Program {
        let promise = |text: String| text.replace("\"sockets\":1024", &format!("\"sockets\":{promised}"));
        Program::launch(any_address(), targets, change_log, operator, descriptors, promise)
    }

    /// Starts it with a configuration that is changed first.
    pub fn changed(
        targets: &[String],
        change_log: Option<SocketAddr>,
        change: impl Fn(String) -> String,
    ) -> Program {
        Program::launch(any_address(), targets, change_log, None, 1024, change)
    }

    /// Starts it at an address, with so many descriptors, and waits till it passes its test.
    pub fn launch(
        address: SocketAddr,
        targets: &[String],
        change_log: Option<SocketAddr>,
        operator: Option<&str>,
        descriptors: u32,
        change: impl Fn(String) -> String,
    ) -> Program {
        let number = PROGRAMS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("petreldock-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let log = change_log.map(|a| a.to_string());
        let text = change(site::document(&address.to_string(), log.as_deref(), targets));
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
            program.address = until("the program says where it serves", || program.served_address());
        }
        let address = program.address;
        until("the program passes its test", || {
            let mut caller = Caller::try_connect(address)?;
            caller.send("OPTIONS", 0, "", b"");
            caller.answer(0).filter(|(status, ..)| *status == 200)
        });
        program
    }

    /// Where it serves, by its log.
    fn served_address(&self) -> Option<SocketAddr> {
        let log = self.log();
        let address = log.split("serving at ").nth(1)?;
        address.split(|c: char| c.is_whitespace() || c == '"').next()?.parse().ok()
    }

    /// Stops the process where it stands. What is sent to it meanwhile is all there when it goes on.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        until("the process stands still", || {
            let stat = std::fs::read_to_string(&stat).ok()?;
            stat.rsplit(") ").next()?.starts_with('T').then_some(())
        });
    }

    /// Lets it go on.
    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// Sends a signal, to this process alone.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(sent.is_ok_and(|s| s.success()));
    }

    /// Changes its configuration file and sends SIGHUP; waits till the log says the given.
    pub fn reload(&self, change: impl Fn(String) -> String, logged: &str) {
        let file = self.folder.join("config.json");
        let text = std::fs::read_to_string(&file).expect("read");
        std::fs::write(file, change(text)).expect("written");
        self.signal("-HUP");
        until(logged, || self.logged(logged).then_some(()));
    }

    /// All that it logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).expect("read")
    }

    /// Whether it logged that.
    pub fn logged(&self, what: &str) -> bool {
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

/// What a caller received: a status, or a request's method with its cause.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// To an INVITE: status, Come-Back-Ms, body.
    Answer(u64, u16, Option<u64>, Vec<u8>),
    /// To another method.
    Other(u64, String, u16),
    /// A BYE with its cause.
    Bye(u64, u8),
}

/// A request as callers write it.
pub fn request(method: &str, call: u64, more: &str, body: &[u8]) -> Vec<u8> {
    let text = format!(
        "{method} sip:{call:x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\n\
         CSeq: 1 {method}\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [text.as_bytes(), body].concat()
}

/// A set-up of the class `voice`, as callers write it.
pub fn invitation(call: u64, within: u64, place: i64) -> Vec<u8> {
    let more = format!(
        "Call-Kind: voice\r\nAnswer-Within: {within}\r\nRouting-Data: dest:{place};width:1;via:-1\r\n"
    );
    request("INVITE", call, &more, b"v=0 offer\r\n")
}

/// One connection of a SIP caller.
pub struct Caller {
    pub stream: TcpStream,
    pub input: Vec<u8>,
    pub said: Vec<Said>,
}

impl Caller {
    pub fn try_connect(to: SocketAddr) -> Option<Caller> {
        let stream = TcpStream::connect(to).ok()?;
        stream.set_nodelay(true).expect("set");
        stream.set_read_timeout(Some(Duration::from_millis(2))).expect("set");
        Some(Caller { stream, input: Vec::new(), said: Vec::new() })
    }

    pub fn connect(to: SocketAddr) -> Caller {
        Caller::try_connect(to).expect("the program listens")
    }

    pub fn send(&mut self, method: &str, call: u64, more: &str, body: &[u8]) {
        let _ = self.stream.write_all(&request(method, call, more, body));
    }

    pub fn invite(&mut self, call: u64, within: u64, place: i64) {
        let _ = self.stream.write_all(&invitation(call, within, place));
    }

    /// Takes in what is there; `false` once the program has closed the connection.
    pub fn take_in(&mut self) -> bool {
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
            let said = match message.start {
                StartLine::Request(_, _) => {
                    let reason = message.header("Reason").and_then(sip::cause).unwrap_or(0);
                    Said::Bye(call, reason)
                }
                StartLine::Response(status) => match message.cseq() {
                    Some((_, "INVITE")) => {
                        let away = message.header("Come-Back-Ms").and_then(|v| v.parse().ok());
                        Said::Answer(call, status, away, message.body.to_vec())
                    }
                    other => Said::Other(call, other.map_or("", |o| o.1).into(), status),
                },
            };
            let bytes = message.bytes;
            self.input.drain(..bytes);
            self.said.push(said);
        }
        open
    }

    /// Waits for the final answer to a call's INVITE, or to an OPTIONS (call 0).
    pub fn answer(&mut self, call: u64) -> Option<(u16, Option<u64>, Vec<u8>)> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let open = self.take_in();
            for said in &self.said {
                match said {
                    Said::Answer(c, status, away, body) if *c == call => {
                        return Some((*status, *away, body.clone()))
                    }
                    Said::Other(c, method, status) if *c == call && method == "OPTIONS" => {
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

    /// Waits for something that was said.
    pub fn wait_for(&mut self, what: &str, found: impl Fn(&Said) -> bool) -> Said {
        until(what, || {
            self.take_in();
            self.said.iter().find(|s| found(s)).cloned()
        })
    }
}

/// How a stand-in hub treats set-ups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Answer,
    AnswerAfter(Duration),
    Full,
    Silent,
    /// Ends the connection under the set-up.
    Reset,
}

/// What a hub saw of a call, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    SetUp,
    /// A 12 before or after the answer, with its cause.
    Release(u8),
    Answered,
    Refused,
    /// Its connection was reset, or it was cut, by the hub.
    Reset,
}

/// A hub's record: each event with its time, the number called (callers here call their call's own
/// id, which is all that an IAX2 hub sees of it) and its hub.
pub type Record = Arc<Mutex<Vec<(Instant, u64, usize, Seen)>>>;

pub struct Hub {
    pub address: SocketAddr,
    pub number: usize,
    pub manner: Arc<Mutex<Manner>>,
    pub record: Record,
    pub connections: Arc<Mutex<Vec<TcpStream>>>,
    ended: Arc<AtomicBool>,
}

/// The description that a hub answers with.
pub const HUB_BODY: &[u8] = b"v=0 answer\r\n";

impl Hub {
    pub fn start(number: usize, manner: Manner, record: &Record) -> Hub {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("set");
        let hub = Hub {
            address: listener.local_addr().expect("an address"),
            number,
            manner: Arc::new(Mutex::new(manner)),
            record: record.clone(),
            connections: Arc::default(),
            ended: Arc::default(),
        };
        let (manner, record, connections, ended) =
            (hub.manner.clone(), record.clone(), hub.connections.clone(), hub.ended.clone());
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).expect("set");
                stream.set_nodelay(true).expect("set");
                connections.lock().expect("lock").push(stream.try_clone().expect("cloned"));
                let (manner, record) = (manner.clone(), record.clone());
                thread::spawn(move || serve(stream, number, &manner, &record));
            }
        });
        hub
    }

    pub fn set(&self, manner: Manner) {
        *self.manner.lock().expect("lock") = manner;
    }

    /// Sends a message on the connection opened last.
    pub fn send(&self, kind: u8, call: u64, parameters: &[(u8, &[u8])]) {
        let mut bytes = Vec::new();
        assert!(binary::write(&mut bytes, kind, call, parameters));
        self.send_raw(&bytes);
    }

    pub fn send_raw(&self, bytes: &[u8]) {
        let mut connections = self.connections.lock().expect("lock");
        connections.last_mut().expect("connected").write_all(bytes).expect("written");
    }

    pub fn close_connections(&self) {
        for stream in self.connections.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// The process dies: no connection lives, and none comes up.
    pub fn die(&self) {
        self.ended.store(true, Ordering::Relaxed);
        until("the hub's port is closed", || {
            self.close_connections();
            TcpStream::connect(self.address).is_err().then_some(())
        });
        self.close_connections();
    }

    pub fn seen(&self, call: u64) -> Vec<Seen> {
        let record = self.record.lock().expect("lock");
        record.iter().filter(|(_, c, h, _)| *c == call && *h == self.number).map(|(.., s)| *s).collect()
    }

    pub fn wait_for(&self, call: u64, seen: Seen) {
        until(&format!("hub {} sees {seen:?} of {call:x}", self.number), || {
            self.seen(call).contains(&seen).then_some(())
        });
    }
}

impl Drop for Hub {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        self.close_connections();
    }
}

fn serve(mut stream: TcpStream, hub: usize, manner: &Mutex<Manner>, record: &Record) {
    let note = |call, seen| record.lock().expect("lock").push((Instant::now(), call, hub, seen));
    let message = |kind, call, parameters: &[(u8, &[u8])]| {
        let mut bytes = Vec::new();
        assert!(binary::write(&mut bytes, kind, call, parameters));
        bytes
    };
    let state = message(kind::STATE, 0, &[(code::REPORT, b"x0:90;x1:100")]);
    let _ = stream.write_all(&state);
    // Set-ups that are neither answered nor ended, with the number called.
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
                    note(number, Seen::SetUp);
                    assert_eq!(read.text(code::CLASS), Some("voice"));
                    open.lock().expect("lock").insert(call, number);
                    let manner = *manner.lock().expect("lock");
                    let answer = message(kind::ANSWER, call, &[(code::DESCRIPTION, HUB_BODY)]);
                    match manner {
                        Manner::Answer => {
                            open.lock().expect("lock").remove(&call);
                            note(number, Seen::Answered);
                            let _ = stream.write_all(&answer);
                        }
                        Manner::AnswerAfter(wait) => {
                            let mut later = stream.try_clone().expect("cloned");
                            let (record, open) = (record.clone(), open.clone());
                            thread::spawn(move || {
                                thread::sleep(wait);
                                let mut open = open.lock().expect("lock");
                                if open.remove(&call).is_some() {
                                    let seen = (Instant::now(), number, hub, Seen::Answered);
                                    record.lock().expect("lock").push(seen);
                                    let _ = later.write_all(&answer);
                                }
                            });
                        }
                        Manner::Full => {
                            open.lock().expect("lock").remove(&call);
                            note(number, Seen::Refused);
                            let full: [(u8, &[u8]); 2] = [(code::CAUSE, &[34]), (code::NOTE, b"throttled")];
                            let _ = stream.write_all(&message(kind::RELEASE, call, &full));
                        }
                        Manner::Silent => {}
                        Manner::Reset => {
                            // All that is out on the connection breaks with it.
                            let mut open = open.lock().expect("lock");
                            open.values().for_each(|number| note(*number, Seen::Reset));
                            open.clear();
                            let _ = stream.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                    }
                }
                kind::RELEASE => {
                    open.lock().expect("lock").remove(&call);
                    note(number, Seen::Release(read.cause().unwrap_or(0)));
                }
                _ => {}
            }
            input.drain(..size);
        }
    }
}

/// A change log that tells one list of events, as they are added.
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    /// The `since` of each poll.
    pub polls: Arc<Mutex<Vec<u64>>>,
}

impl ChangeLog {
    /// Starts with the event 1 told already; every connection ends after `polls_each` answers.
    pub fn start(polls_each: usize) -> ChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let log = ChangeLog {
            address: listener.local_addr().expect("an address"),
            events: Arc::default(),
            polls: Arc::default(),
        };
        let (events, polls) = (log.events.clone(), log.polls.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (events, polls) = (events.clone(), polls.clone());
                thread::spawn(move || poll(stream, polls_each, &events, &polls));
            }
        });
        log
    }

    /// Adds the event with the next number.
    pub fn tell(&self, targets: &[String]) {
        let mut events = self.events.lock().expect("lock");
        let seq = events.len() as u64 + 2;
        events.push(site::event(seq, false, targets));
    }
}

fn poll(mut stream: TcpStream, polls_each: usize, events: &Mutex<Vec<String>>, polls: &Mutex<Vec<u64>>) {
    let mut input = Vec::new();
    for _ in 0..polls_each {
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
        let news = loop {
            let told: Vec<String> =
                events.lock().expect("lock").iter().skip(since.saturating_sub(1) as usize).cloned().collect();
            if !told.is_empty() || Instant::now() > end {
                break told;
            }
            thread::sleep(Duration::from_millis(5));
        };
        let last = since + news.len() as u64;
        let body = format!(r#"{{"seq":{last},"results":[{}]}}"#, news.join(","));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
