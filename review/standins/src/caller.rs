//! A SIP caller: connections that carry set-ups, and what came back for each call, on any connection.

use crate::{now_us, Record};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Call {
    /// When the last byte of the set-up was written, if it was.
    pub sent: Option<u64>,
    pub within_ms: u64,
    /// Final answers: time, status and body.
    pub answers: Vec<(u64, u16, String)>,
    /// Releases by the session controller: time and `Reason`.
    pub byes: Vec<(u64, String)>,
    pub cancelled: Option<u64>,
}

/// The calls of all connections.
#[derive(Clone)]
pub struct Calls {
    pub table: Arc<Mutex<HashMap<u64, Call>>>,
    record: Record,
}

impl Calls {
    pub fn new(record: &Record) -> Calls {
        Calls { table: Arc::default(), record: record.clone() }
    }

    pub fn get(&self, call: u64) -> Call {
        self.table.lock().unwrap().get(&call).cloned().unwrap_or_default()
    }
}

/// A connection to a session controller.
pub struct Connection {
    pub stream: TcpStream,
    calls: Calls,
    name: String,
    /// When it ended, if it did.
    pub ended: Arc<Mutex<Option<u64>>>,
}

pub fn invite(call: u64, class: &str, within_ms: u64, place: usize) -> Vec<u8> {
    let body = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";
    format!(
        "INVITE sip:{:016x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 INVITE\r\nCall-Kind: {class}\r\nAnswer-Within: {within_ms}\r\nCharged-Party: kuzey-hatti\r\nRouting-Data: dest:{place};width:1;via:-1\r\nContent-Length: {}\r\n\r\n{body}",
        call ^ 0x7f3a_9c21_e0b4_d655,
        body.len()
    )
    .into_bytes()
}

/// Whether the session controller passes a test.
pub fn test_passes(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP front\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n";
    let mut answer = [0; 1024];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read(&mut answer).is_ok_and(|n| answer[..n].starts_with(b"SIP/2.0 200"))
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    head.lines().find_map(|l| l.strip_prefix(name)).map_or("", str::trim)
}

impl Connection {
    pub fn open(name: &str, address: SocketAddr, calls: &Calls) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
        stream.set_nodelay(true)?;
        let connection =
            Connection { stream, calls: calls.clone(), name: name.into(), ended: Arc::default() };
        let (stream, calls, ended, name) = (
            connection.stream.try_clone()?,
            calls.clone(),
            connection.ended.clone(),
            connection.name.clone(),
        );
        std::thread::spawn(move || {
            read_messages(stream, &calls, &name);
            *ended.lock().unwrap() = Some(now_us());
        });
        Ok(connection)
    }

    /// Sends a set-up; returns whether its last byte was written.
    pub fn send_set_up(&self, call: u64, class: &str, within_ms: u64, place: usize) -> bool {
        let started = now_us();
        {
            let mut table = self.calls.table.lock().unwrap();
            table.entry(call).or_default().within_ms = within_ms;
        }
        let written = (&self.stream).write_all(&invite(call, class, within_ms, place)).is_ok();
        if written {
            let mut table = self.calls.table.lock().unwrap();
            table.entry(call).or_default().sent.get_or_insert(started);
        }
        self.calls.record.line_at(
            started,
            &format!("caller {} set-up {call:016x} place={place} written={written}", self.name),
        );
        written
    }

    /// Gives a set-up up.
    pub fn cancel(&self, call: u64) {
        let request = format!(
            "CANCEL sip:x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n"
        );
        let _ = (&self.stream).write_all(request.as_bytes());
        self.calls.table.lock().unwrap().entry(call).or_default().cancelled = Some(now_us());
        self.calls.record.line(&format!("caller {} gives up {call:016x}", self.name));
    }

    /// Ends a call that stands; it may have been set up on another connection.
    pub fn hang_up(&self, call: u64) {
        let request = format!(
            "BYE sip:x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
        );
        let _ = (&self.stream).write_all(request.as_bytes());
        self.calls.record.line(&format!("caller {} hangs up {call:016x}", self.name));
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn read_messages(mut stream: TcpStream, calls: &Calls, name: &str) {
    let mut input: Vec<u8> = Vec::new();
    let mut chunk = [0; 16384];
    while let Ok(count) = stream.read(&mut chunk) {
        if count == 0 {
            break;
        }
        input.extend(&chunk[..count]);
        while let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end + 2]).to_string();
            let length: usize = header(&head, "Content-Length:").parse().unwrap_or(0);
            if input.len() < end + 4 + length {
                break;
            }
            let body = String::from_utf8_lossy(&input[end + 4..end + 4 + length]).to_string();
            input.drain(..end + 4 + length);
            handle(&mut stream, calls, name, &head, body);
        }
    }
}

fn handle(stream: &mut TcpStream, calls: &Calls, name: &str, head: &str, body: String) {
    let call = u64::from_str_radix(header(head, "Call-ID:"), 16).unwrap_or(0);
    let at = now_us();
    if head.starts_with("BYE ") {
        let reason = header(head, "Reason:").to_string();
        calls.record.line_at(at, &format!("caller {name} BYE {call:016x} {reason}"));
        calls.table.lock().unwrap().entry(call).or_default().byes.push((at, reason));
        let via = header(head, "Via:");
        let ok = format!(
            "SIP/2.0 200 OK\r\nVia: {via}\r\nCall-ID: {call:016x}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n"
        );
        let _ = stream.write_all(ok.as_bytes());
    } else if let Some(status) = head.strip_prefix("SIP/2.0 ").and_then(|r| r[..3].parse::<u16>().ok()) {
        if status >= 200 && header(head, "CSeq:").ends_with("INVITE") {
            calls.record.line_at(at, &format!("caller {name} answer {status} {call:016x}"));
            calls.table.lock().unwrap().entry(call).or_default().answers.push((at, status, body));
            let ack = format!(
                "ACK sip:x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n"
            );
            let _ = stream.write_all(ack.as_bytes());
        }
    }
}
