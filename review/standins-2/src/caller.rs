//! A caller's connection. It sends set-ups, acknowledges final answers, answers each release, and notes all of it.

use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn ioctl(file: i32, request: u64, ...) -> i32;
}

/// What callers have seen of a call, on any connection.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub sent_at: Option<Instant>,
    /// The final answers to the INVITE: when, which status, the body, and the length of the whole message.
    pub answers: Vec<(Instant, u16, Vec<u8>, usize)>,
    /// The releases.
    pub releases: Vec<Instant>,
}

impl Seen {
    pub fn status(&self) -> Option<u16> {
        self.answers.first().map(|a| a.1)
    }
}

/// All callers of a run.
#[derive(Clone)]
pub struct Callers {
    pub calls: Arc<Mutex<BTreeMap<u64, Seen>>>,
    record: Record,
}

pub struct Connection {
    pub name: String,
    pub stream: TcpStream,
    ended: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
    callers: Callers,
}

/// The fields of a set-up.
#[derive(Clone)]
pub struct SetUp<'a> {
    pub id: u64,
    pub class: &'a str,
    pub number: &'a str,
    pub answer_within: &'a str,
    pub routing: &'a str,
}

pub fn invite(s: &SetUp) -> String {
    let body = format!("v=0\r\ns=caller {:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n", s.id);
    format!(
        "INVITE sip:{}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {:016x}\r\nCSeq: 1 INVITE\r\nCall-Kind: {}\r\nAnswer-Within: {}\r\nRouting-Data: {}\r\nContent-Length: {}\r\n\r\n{body}",
        s.number, s.id, s.class, s.answer_within, s.routing, body.len()
    )
}

/// An id that no other run uses.
pub fn new_id() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(Instant::now())
}

impl Callers {
    pub fn new(record: &Record) -> Callers {
        Callers { calls: Arc::default(), record: record.clone() }
    }

    pub fn connect(&self, name: &str, address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(30))?;
        let _ = stream.set_nodelay(true);
        let reading = stream.try_clone()?;
        let (callers, reader_name) = (self.clone(), name.to_string());
        let ended = Arc::new(AtomicBool::new(false));
        let silent = Arc::new(AtomicBool::new(false));
        let (has_ended, is_silent) = (ended.clone(), silent.clone());
        let read = move || {
            callers.read(&reader_name, reading, &is_silent);
            has_ended.store(true, Ordering::Relaxed);
        };
        let connection = Connection { name: name.into(), stream, ended, silent, callers: self.clone() };
        thread::Builder::new().stack_size(128 * 1024).spawn(read).map(|_| connection)
    }

    pub fn seen(&self, id: u64) -> Seen {
        self.calls.lock().unwrap().get(&id).cloned().unwrap_or_default()
    }

    fn line(&self, text: &str) {
        self.record.line(text);
    }

    fn read(&self, name: &str, mut stream: TcpStream, silent: &AtomicBool) {
        let (mut input, mut bytes) = (Vec::new(), vec![0; 16384]);
        let mut on_this: Vec<u64> = Vec::new();
        loop {
            match stream.read(&mut bytes) {
                Ok(0) | Err(_) => break,
                Ok(_) if silent.load(Ordering::Relaxed) => continue,
                Ok(count) => input.extend_from_slice(&bytes[..count]),
            }
            while let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&input[..end]).into_owned();
                let header = |name: &str| -> Option<String> {
                    head.lines().find_map(|l| {
                        let (n, v) = l.split_once(':')?;
                        n.eq_ignore_ascii_case(name).then(|| v.trim().to_string())
                    })
                };
                let length = header("Content-Length").and_then(|l| l.parse::<usize>().ok()).unwrap_or(0);
                if input.len() < end + 4 + length {
                    break;
                }
                let whole = end + 4 + length;
                let body = input[end + 4..whole].to_vec();
                input.drain(..whole);
                let id = header("Call-ID").and_then(|i| u64::from_str_radix(&i, 16).ok()).unwrap_or(0);
                let start = head.lines().next().unwrap_or_default().to_string();
                let method = header("CSeq").unwrap_or_default();
                if let Some(status) = start.strip_prefix("SIP/2.0 ").and_then(|s| s[..3].parse::<u16>().ok())
                {
                    if status >= 200 && method.ends_with("INVITE") {
                        let away = header("Come-Back-Ms")
                            .map_or(String::new(), |ms| format!(", come back in {ms} ms"));
                        self.line(&format!("{name}: {status} to {id:016x}{away}"));
                        let now = Instant::now();
                        self.calls
                            .lock()
                            .unwrap()
                            .entry(id)
                            .or_default()
                            .answers
                            .push((now, status, body, whole));
                        on_this.push(id);
                        let ack = format!(
                            "ACK sip:hub@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id:016x}\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n"
                        );
                        let _ = stream.write_all(ack.as_bytes());
                    }
                } else if start.starts_with("BYE ") {
                    self.line(&format!(
                        "{name}: release of {id:016x} ({})",
                        header("Reason").unwrap_or_default()
                    ));
                    self.calls.lock().unwrap().entry(id).or_default().releases.push(Instant::now());
                    let heard = format!(
                        "SIP/2.0 200 OK\r\nVia: {}\r\nCall-ID: {id:016x}\r\nCSeq: {method}\r\nContent-Length: 0\r\n\r\n",
                        header("Via").unwrap_or_default()
                    );
                    let _ = stream.write_all(heard.as_bytes());
                }
            }
        }
        self.line(&format!("{name}: the connection has ended"));
    }
}

impl Connection {
    pub fn send(&mut self, s: &SetUp) -> bool {
        self.callers.calls.lock().unwrap().entry(s.id).or_default().sent_at = Some(Instant::now());
        let sent = self.stream.write_all(invite(s).as_bytes()).is_ok();
        self.callers.line(&format!(
            "{}: set-up {:016x}, {}, answer within {} ms, {}",
            self.name, s.id, s.class, s.answer_within, s.routing
        ));
        sent
    }

    /// Whether the other machine has not yet taken in all that was written.
    pub fn has_unacknowledged(&self) -> bool {
        const SIOCOUTQ: u64 = 0x5411;
        let mut count = 0_i32;
        unsafe { ioctl(self.stream.as_raw_fd(), SIOCOUTQ, &mut count) != 0 || count > 0 }
    }

    /// The path to the session controller is cut: the connection stays open, and nothing more is heard or sent on it.
    pub fn fall_silent(&self) {
        self.silent.store(true, Ordering::Relaxed);
        self.callers.line(&format!("{}: the connection falls silent", self.name));
    }

    /// Whether the session controller has closed it.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}
