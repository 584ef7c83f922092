//! The change log: numbered events over HTTP/1.1, with long polls.

use crate::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<(u64, String)>>, Condvar)>,
    /// Each answer is written this many milliseconds later than a prompt change log would write it.
    pub late_ms: Arc<AtomicU64>,
    pub answers: Arc<AtomicU64>,
    pub asked: Arc<AtomicU64>,
    record: Record,
}

impl ChangeLog {
    pub fn start(record: &Record) -> ChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let log = ChangeLog {
            address: listener.local_addr().unwrap(),
            events: Arc::default(),
            late_ms: Arc::default(),
            answers: Arc::default(),
            asked: Arc::default(),
            record: record.clone(),
        };
        let serving = log.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let log = serving.clone();
                std::thread::spawn(move || log.serve(stream));
            }
        });
        log
    }

    /// Puts an event into the change log.
    pub fn put(&self, seq: u64, event: String) {
        self.record.line(&format!("change log holds {event}"));
        self.events.0.lock().unwrap().push((seq, event));
        self.events.1.notify_all();
    }

    fn answer(&self, since: u64) -> (u64, Vec<String>) {
        let events = self.events.0.lock().unwrap();
        let last = events.last().map_or(0, |e| e.0);
        (last, events.iter().filter(|e| e.0 > since).map(|e| e.1.clone()).collect())
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input: Vec<u8> = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            while !input.windows(4).any(|w| w == b"\r\n\r\n") {
                match stream.read(&mut chunk) {
                    Ok(count) if count > 0 => input.extend(&chunk[..count]),
                    _ => return,
                }
            }
            let head = String::from_utf8_lossy(&input).to_string();
            input.clear();
            let number = |key: &str| {
                let rest = head.split_once(key).map_or("", |(_, r)| r);
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse::<u64>().unwrap_or(0)
            };
            let (since, wait) = (number("since="), number("timeout=").min(5000));
            self.asked.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!("change log asked since={since} timeout={wait}"));
            let until = Instant::now() + Duration::from_millis(wait);
            let mut events = self.events.0.lock().unwrap();
            while events.last().is_none_or(|e| e.0 <= since) && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                events = self.events.1.wait_timeout(events, left).unwrap().0;
            }
            drop(events);
            crate::sleep_ms(self.late_ms.load(Ordering::Relaxed));
            let (last, events) = self.answer(since);
            let body = format!(r#"{{"seq":{},"results":[{}]}}"#, last.max(since), events.join(","));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = stream.write_all((head + &body).as_bytes()).is_ok();
            self.answers.fetch_add(u64::from(sent), Ordering::Relaxed);
            self.record
                .line(&format!("change log answered since={since} last={last} events={}", events.len()));
            if !sent {
                return;
            }
        }
    }
}
