//! Stand-ins for IAX2 peers (RFC 5456): a hub, and desk equipment that places calls.

use crate::peers::{Manner, Record, Seen};
use petreldock::core::Cause;
use petreldock::iax2::cause::{cause_elements, EndReason};
use petreldock::iax2::frame::{self, append_element, control, element, iax, kind, Elements, Frame};
use petreldock::iax2::session::{ReceiveOutcome, Session};
use petreldock::interface::Micros;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(5))).expect("set");
    socket
}

fn micros(start: Instant) -> Micros {
    Micros(start.elapsed().as_micros() as u64)
}

/// A hub that treats NEWs in its manner, and says voice back that it hears.
pub struct Iax2Hub {
    pub address: SocketAddr,
    pub manner: Arc<Mutex<Manner>>,
    ended: Arc<AtomicBool>,
}

struct Taken {
    session: Session,
    number: u64,
    answer_at: Option<Micros>,
    over: bool,
}

impl Iax2Hub {
    pub fn start(hub: usize, manner: Manner, record: &Record) -> Iax2Hub {
        let socket = socket();
        let address = socket.local_addr().expect("an address");
        let (manner, ended) = (Arc::new(Mutex::new(manner)), Arc::new(AtomicBool::new(false)));
        let started = Iax2Hub { address, manner: manner.clone(), ended: ended.clone() };
        let record = record.clone();
        thread::spawn(move || {
            let (start, mut calls) = (Instant::now(), HashMap::<u16, Taken>::new());
            let (mut bytes, mut next) = ([0; 4096], 100);
            while !ended.load(Ordering::Relaxed) {
                let read = socket.recv_from(&mut bytes);
                let now = micros(start);
                let mut out = Vec::new();
                if let Ok((length, from)) = &read {
                    if let Some(Frame::Full(full)) = frame::parse(&bytes[..*length]) {
                        let fresh = full.is_iax(iax::NEW) && !calls.contains_key(&full.source);
                        if fresh {
                            next += 1;
                            let taken = Taken {
                                session: Session::new(next, full.source, now),
                                number: 0,
                                answer_at: None,
                                over: false,
                            };
                            calls.insert(full.source, taken);
                        }
                        if let Some(call) = calls.get_mut(&full.source) {
                            hear(
                                call,
                                &full,
                                fresh,
                                now,
                                hub,
                                *manner.lock().expect("lock"),
                                &record,
                                &mut out,
                            );
                        }
                    }
                    for datagram in out.drain(..) {
                        let _ = socket.send_to(&datagram, from);
                    }
                    // The program talks from one address.
                    socket.connect(from).expect("connected");
                }
                for call in calls.values_mut() {
                    let _ = call.session.tick(now, &mut out);
                    if call.answer_at.is_some_and(|at| now >= at) && !call.over {
                        call.answer_at = None;
                        record.lock().expect("lock").push((Instant::now(), call.number, hub, Seen::Answered));
                        out.extend(call.session.send(
                            now,
                            kind::IAX,
                            iax::ACCEPT,
                            &[element::FORMAT, 4, 0, 0, 0, 4],
                        ));
                        out.extend(call.session.send(now, kind::CONTROL, control::ANSWER, &[]));
                    }
                }
                for datagram in out {
                    let _ = socket.send(&datagram);
                }
            }
        });
        started
    }

    pub fn set(&self, manner: Manner) {
        *self.manner.lock().expect("lock") = manner;
    }
}

impl Drop for Iax2Hub {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

#[allow(clippy::too_many_arguments)]
fn hear(
    call: &mut Taken,
    full: &frame::FullFrame,
    fresh: bool,
    now: Micros,
    hub: usize,
    manner: Manner,
    record: &Record,
    out: &mut Vec<Vec<u8>>,
) {
    let note = |number, seen| record.lock().expect("lock").push((Instant::now(), number, hub, seen));
    if call.session.receive(now, full, out) != ReceiveOutcome::Deliver {
        return;
    }
    let read = Elements::parse(full.data).unwrap_or_default();
    match (full.kind, full.subclass) {
        (kind::IAX, iax::NEW) if fresh => {
            assert_eq!(read.number(element::VERSION), Some(2));
            let number = read.text(element::CALLED_NUMBER).and_then(|n| u64::from_str_radix(n, 16).ok());
            call.number = number.expect("a number in hex digits");
            note(call.number, Seen::SetUp);
            let mut end = |seen, subclass, cause| {
                note(call.number, seen);
                call.over = true;
                let data = cause_elements(EndReason::Released(Cause(cause)));
                out.extend(call.session.send(now, kind::IAX, subclass, &data));
            };
            match manner {
                Manner::Answer => call.answer_at = Some(now),
                Manner::AnswerAfter(wait) => call.answer_at = Some(now + Micros(wait.as_micros() as u64)),
                Manner::Full => end(Seen::Refused, iax::REJECT, 42),
                Manner::Reset => end(Seen::Reset, iax::HANGUP, 41),
                Manner::Silent => {}
            }
        }
        (kind::IAX, iax::HANGUP) if !call.over => {
            call.over = true;
            let cause = read.number(element::CAUSECODE).unwrap_or(0);
            note(call.number, Seen::Release(cause as u8));
        }
        (kind::VOICE, format) => out.extend(call.session.send(now, kind::VOICE, format, full.data)),
        _ => {}
    }
}

/// What desk equipment saw of one of its calls.
#[derive(Clone, Debug, Default)]
pub struct Line {
    /// Final answers: `None` an ANSWER, else the code of a REJECT or a HANGUP before any answer.
    pub answers: Vec<Option<u32>>,
    /// Voice that came back.
    pub voice: Vec<Vec<u8>>,
    /// The cause of the HANGUP after the answer.
    pub released: Option<u32>,
}

/// Desk equipment with many lines on one socket.
pub struct Phones {
    socket: UdpSocket,
    start: Instant,
    lines: HashMap<u16, (Session, Line)>,
}

impl Phones {
    pub fn connect(front: SocketAddr) -> Phones {
        let socket = socket();
        socket.connect(front).expect("connected");
        Phones { socket, start: Instant::now(), lines: HashMap::new() }
    }

    fn send(&mut self, line: u16, kind: u8, subclass: u32, data: &[u8]) {
        let now = micros(self.start);
        let session = &mut self.lines.get_mut(&line).expect("a line").0;
        if let Some(datagram) = session.send(now, kind, subclass, data) {
            let _ = self.socket.send(&datagram);
        }
    }

    pub fn dial(&mut self, line: u16, number: u64) {
        let session = Session::new(line, 0, micros(self.start));
        self.lines.insert(line, (session, Line::default()));
        let mut data = Vec::new();
        append_element(&mut data, element::VERSION, &[0, 2]);
        append_element(&mut data, element::CALLED_NUMBER, format!("{number:x}").as_bytes());
        append_element(&mut data, element::CAPABILITY, &[0, 0, 0, 12]);
        self.send(line, kind::IAX, iax::NEW, &data);
    }

    pub fn hang_up(&mut self, line: u16) {
        self.send(line, kind::IAX, iax::HANGUP, &cause_elements(EndReason::Released(Cause(16))));
    }

    pub fn speak(&mut self, line: u16, voice: &[u8]) {
        self.send(line, kind::VOICE, 4, voice);
    }

    pub fn line(&self, line: u16) -> &Line {
        &self.lines[&line].1
    }

    /// Takes in what came, and keeps the transport going, for a while.
    pub fn drive(&mut self, span: Duration) {
        let end = Instant::now() + span;
        let mut bytes = [0; 4096];
        while Instant::now() < end {
            let mut out = Vec::new();
            let read = self.socket.recv(&mut bytes);
            let now = micros(self.start);
            if let Some(Frame::Full(full)) = read.ok().and_then(|length| frame::parse(&bytes[..length])) {
                if let Some((session, line)) = self.lines.get_mut(&full.destination) {
                    if session.receive(now, &full, &mut out) == ReceiveOutcome::Deliver {
                        let read = Elements::parse(full.data).unwrap_or_default();
                        let code = read.number(element::CAUSECODE);
                        match (full.kind, full.subclass) {
                            (kind::CONTROL, control::ANSWER) => line.answers.push(None),
                            (kind::IAX, iax::REJECT) => line.answers.push(Some(code.unwrap_or(0))),
                            (kind::IAX, iax::HANGUP) if line.answers.is_empty() => {
                                line.answers.push(Some(code.unwrap_or(0)));
                            }
                            (kind::IAX, iax::HANGUP) => line.released = code,
                            (kind::VOICE, _) => line.voice.push(full.data.to_vec()),
                            _ => {}
                        }
                    }
                }
            }
            for (session, _) in self.lines.values_mut() {
                let _ = session.tick(now, &mut out);
            }
            for datagram in out {
                let _ = self.socket.send(&datagram);
            }
        }
    }
}
