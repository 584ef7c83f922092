//! Simulated IAX2 peers (RFC 5456): a hub, and desk equipment that places calls.

use crate::peers::{HubBehavior, HubEvent, HubRecord};
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

/// Binds a free port, with a short read timeout.
fn bind_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(5))).expect("set");
    socket
}

/// Returns the time since `start`.
fn elapsed_since(start: Instant) -> Micros {
    Micros(start.elapsed().as_micros() as u64)
}

/// A simulated hub that responds to NEW frames as configured and echoes voice frames.
pub struct Iax2Hub {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// How it responds to set-ups from now on.
    pub behavior: Arc<Mutex<HubBehavior>>,
    ended: Arc<AtomicBool>,
}

/// A call at the hub.
struct HubCall {
    session: Session,
    /// The number called.
    number: u64,
    /// When it is to be answered, if it is.
    answer_at: Option<Micros>,
    /// Whether either side has ended it.
    is_over: bool,
}

impl Iax2Hub {
    /// Starts a hub; `hub` is its number in the record.
    pub fn start(hub: usize, behavior: HubBehavior, record: &HubRecord) -> Iax2Hub {
        let socket = bind_socket();
        let address = socket.local_addr().expect("an address");
        let (behavior, ended) = (Arc::new(Mutex::new(behavior)), Arc::new(AtomicBool::new(false)));
        let started = Iax2Hub { address, behavior: behavior.clone(), ended: ended.clone() };
        let record = record.clone();
        thread::spawn(move || {
            let (start, mut calls) = (Instant::now(), HashMap::<u16, HubCall>::new());
            let (mut bytes, mut next_number) = ([0; 4096], 100);
            while !ended.load(Ordering::Relaxed) {
                let read = socket.recv_from(&mut bytes);
                let now = elapsed_since(start);
                let mut out = Vec::new();
                if let Ok((length, from)) = &read {
                    if let Some(Frame::Full(full)) = frame::parse(&bytes[..*length]) {
                        let is_new = full.is_iax(iax::NEW) && !calls.contains_key(&full.source);
                        if is_new {
                            next_number += 1;
                            let call = HubCall {
                                session: Session::new(next_number, full.source, now),
                                number: 0,
                                answer_at: None,
                                is_over: false,
                            };
                            calls.insert(full.source, call);
                        }
                        if let Some(call) = calls.get_mut(&full.source) {
                            handle_frame(
                                call,
                                &full,
                                is_new,
                                now,
                                hub,
                                *behavior.lock().expect("lock"),
                                &record,
                                &mut out,
                            );
                        }
                    }
                    for datagram in out.drain(..) {
                        let _ = socket.send_to(&datagram, from);
                    }
                    // The program sends everything from a single address.
                    socket.connect(from).expect("connected");
                }
                for call in calls.values_mut() {
                    let _ = call.session.tick(now, &mut out);
                    if call.answer_at.is_some_and(|at| now >= at) && !call.is_over {
                        call.answer_at = None;
                        record.lock().expect("lock").push((
                            Instant::now(),
                            call.number,
                            hub,
                            HubEvent::Answered,
                        ));
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

    /// Sets how it responds to set-ups from now on.
    pub fn set_behavior(&self, behavior: HubBehavior) {
        *self.behavior.lock().expect("lock") = behavior;
    }
}

impl Drop for Iax2Hub {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Handles a full frame of a call; `is_new` marks the first NEW of the call.
#[allow(clippy::too_many_arguments)]
fn handle_frame(
    call: &mut HubCall,
    full: &frame::FullFrame,
    is_new: bool,
    now: Micros,
    hub: usize,
    behavior: HubBehavior,
    record: &HubRecord,
    out: &mut Vec<Vec<u8>>,
) {
    let record_event =
        |number, event| record.lock().expect("lock").push((Instant::now(), number, hub, event));
    if call.session.receive(now, full, out) != ReceiveOutcome::Deliver {
        return;
    }
    let parsed = Elements::parse(full.data).unwrap_or_default();
    match (full.kind, full.subclass) {
        (kind::IAX, iax::NEW) if is_new => {
            assert_eq!(parsed.number(element::VERSION), Some(2));
            let number = parsed.text(element::CALLED_NUMBER).and_then(|n| u64::from_str_radix(n, 16).ok());
            call.number = number.expect("a number in hex digits");
            record_event(call.number, HubEvent::SetUp);
            let mut end_call = |event, subclass, cause| {
                record_event(call.number, event);
                call.is_over = true;
                let data = cause_elements(EndReason::Released(Cause(cause)));
                out.extend(call.session.send(now, kind::IAX, subclass, &data));
            };
            match behavior {
                HubBehavior::Answer => call.answer_at = Some(now),
                HubBehavior::AnswerAfter(wait) => {
                    call.answer_at = Some(now + Micros(wait.as_micros() as u64))
                }
                HubBehavior::Full => end_call(HubEvent::Refused, iax::REJECT, 42),
                HubBehavior::Reset => end_call(HubEvent::Reset, iax::HANGUP, 41),
                HubBehavior::Silent => {}
            }
        }
        (kind::IAX, iax::HANGUP) if !call.is_over => {
            call.is_over = true;
            let cause = parsed.number(element::CAUSECODE).unwrap_or(0);
            record_event(call.number, HubEvent::Release(cause as u8));
        }
        (kind::VOICE, format) => out.extend(call.session.send(now, kind::VOICE, format, full.data)),
        _ => {}
    }
}

/// A line of desk equipment, with what was received on it.
#[derive(Clone, Debug, Default)]
pub struct Line {
    /// Final answers: `None` for an ANSWER, else the cause of a REJECT or of a HANGUP before any answer.
    pub answers: Vec<Option<u32>>,
    /// Payloads of the voice frames received.
    pub voice: Vec<Vec<u8>>,
    /// Cause of the HANGUP after the answer.
    pub released: Option<u32>,
}

/// Desk equipment with several lines on one socket. Each line is identified by its source call number.
pub struct DeskEquipment {
    socket: UdpSocket,
    start: Instant,
    lines: HashMap<u16, (Session, Line)>,
}

impl DeskEquipment {
    /// Binds a socket for calls to `front`.
    pub fn connect(front: SocketAddr) -> DeskEquipment {
        let socket = bind_socket();
        socket.connect(front).expect("connected");
        DeskEquipment { socket, start: Instant::now(), lines: HashMap::new() }
    }

    /// Sends a full frame on a line.
    fn send(&mut self, line: u16, kind: u8, subclass: u32, data: &[u8]) {
        let now = elapsed_since(self.start);
        let session = &mut self.lines.get_mut(&line).expect("a line").0;
        if let Some(datagram) = session.send(now, kind, subclass, data) {
            let _ = self.socket.send(&datagram);
        }
    }

    /// Starts a call with a NEW.
    pub fn dial(&mut self, line: u16, number: u64) {
        let session = Session::new(line, 0, elapsed_since(self.start));
        self.lines.insert(line, (session, Line::default()));
        let mut data = Vec::new();
        append_element(&mut data, element::VERSION, &[0, 2]);
        append_element(&mut data, element::CALLED_NUMBER, format!("{number:x}").as_bytes());
        append_element(&mut data, element::CAPABILITY, &[0, 0, 0, 12]);
        self.send(line, kind::IAX, iax::NEW, &data);
    }

    /// Sends a HANGUP with normal clearing.
    pub fn hang_up(&mut self, line: u16) {
        self.send(line, kind::IAX, iax::HANGUP, &cause_elements(EndReason::Released(Cause(16))));
    }

    /// Sends a voice frame.
    pub fn send_voice(&mut self, line: u16, voice: &[u8]) {
        self.send(line, kind::VOICE, 4, voice);
    }

    /// Returns the state of a line.
    pub fn line(&self, line: u16) -> &Line {
        &self.lines[&line].1
    }

    /// Receives frames, acknowledges them and retransmits as needed, for the given time.
    pub fn run_for(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        let mut bytes = [0; 4096];
        while Instant::now() < end {
            let mut out = Vec::new();
            let read = self.socket.recv(&mut bytes);
            let now = elapsed_since(self.start);
            if let Some(Frame::Full(full)) = read.ok().and_then(|length| frame::parse(&bytes[..length])) {
                if let Some((session, line)) = self.lines.get_mut(&full.destination) {
                    if session.receive(now, &full, &mut out) == ReceiveOutcome::Deliver {
                        let parsed = Elements::parse(full.data).unwrap_or_default();
                        let code = parsed.number(element::CAUSECODE);
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
