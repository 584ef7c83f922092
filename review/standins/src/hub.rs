//! A table hub: answers each set-up after a fixed time, lets the call stand for a fixed time, and releases it.

use crate::{now_us, Record};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    SetUp,
    GiveUp,
    Answer,
    /// Released by the hub.
    End,
    /// Released by the session controller.
    Release,
    /// The connection of an open set-up has ended.
    ConnectionEnd,
}

#[derive(Clone, Copy, Debug)]
pub struct Event {
    pub at: u64,
    pub kind: Kind,
    pub call: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Pending(u64),
    Standing,
}

struct Call {
    phase: Phase,
    connection: u64,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, TcpStream>,
    calls: HashMap<u64, Call>,
    events: Vec<Event>,
    /// Releases to be sent on the next connection too.
    repeat: Vec<u64>,
    timers: BinaryHeap<Reverse<(Instant, u64, u64, bool)>>,
    /// How long single calls stand, where it is not the hub's usual time.
    holds: HashMap<u64, Duration>,
    last_connection: u64,
    last_set_up: u64,
    stopped: bool,
}

struct Shared {
    name: String,
    size: usize,
    answer: Duration,
    hold: Duration,
    record: Record,
    state: Mutex<State>,
    wake: Condvar,
}

#[derive(Clone)]
pub struct Hub {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

fn message(kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let length: usize = 9 + parameters.iter().map(|(_, v)| 3 + v.len()).sum::<usize>();
    let mut out = (length as u16).to_be_bytes().to_vec();
    out.push(kind);
    out.extend(call.to_be_bytes());
    for (code, value) in parameters {
        out.push(*code);
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(*value);
    }
    out
}

impl Hub {
    pub fn start(name: &str, size: usize, answer_ms: u64, hold_ms: u64, record: &Record) -> Hub {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            name: name.into(),
            size,
            answer: Duration::from_millis(answer_ms),
            hold: Duration::from_millis(hold_ms),
            record: record.clone(),
            state: Mutex::default(),
            wake: Condvar::new(),
        });
        let hub = Hub { shared, address };
        let accepting = hub.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.shared.state.lock().unwrap().stopped {
                    return;
                }
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        let timing = hub.clone();
        std::thread::spawn(move || timing.run_timers());
        let reporting = hub.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(500));
            let mut state = reporting.shared.state.lock().unwrap();
            if state.stopped {
                return;
            }
            let report = reporting.report(&state);
            let numbers: Vec<u64> = state.connections.keys().copied().collect();
            for number in numbers {
                reporting.write(&mut state, number, &report);
            }
        });
        hub
    }

    /// Lets one call stand for this time.
    pub fn set_hold(&self, call: u64, ms: u64) {
        self.shared.state.lock().unwrap().holds.insert(call, Duration::from_millis(ms));
    }

    pub fn events(&self) -> Vec<Event> {
        self.shared.state.lock().unwrap().events.clone()
    }

    /// Stops as a process does: the listener and all connections end, and calls are cut.
    pub fn stop(&self) {
        let mut state = self.shared.state.lock().unwrap();
        state.stopped = true;
        for stream in state.connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        state.connections.clear();
        state.calls.clear();
        drop(state);
        self.shared.record.line(&format!("hub {} stops", self.shared.name));
        let _ = TcpStream::connect(self.address);
    }

    fn report(&self, state: &State) -> Vec<u8> {
        let free = self.shared.size.saturating_sub(state.calls.len());
        let text = format!("free:{free};size:{};svc_ms:2", self.shared.size);
        message(43, 0, &[(118, text.as_bytes())])
    }

    fn write(&self, state: &mut State, connection: u64, bytes: &[u8]) -> bool {
        state.connections.get_mut(&connection).is_some_and(|stream| stream.write_all(bytes).is_ok())
    }

    fn note(&self, state: &mut State, kind: Kind, call: u64) {
        let at = now_us();
        state.events.push(Event { at, kind, call });
        self.shared.record.line_at(at, &format!("hub {} {kind:?} {call:016x}", self.shared.name));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let number = {
            let mut state = self.shared.state.lock().unwrap();
            state.last_connection += 1;
            let number = state.last_connection;
            state.connections.insert(number, stream.try_clone().unwrap());
            let report = self.report(&state);
            self.write(&mut state, number, &report);
            for call in std::mem::take(&mut state.repeat) {
                self.write(&mut state, number, &message(12, call, &[(128, &[16])]));
            }
            number
        };
        let mut input: Vec<u8> = Vec::new();
        let mut chunk = [0; 16384];
        while let Ok(count) = stream.read(&mut chunk) {
            if count == 0 {
                break;
            }
            input.extend(&chunk[..count]);
            while input.len() >= 2 {
                let length = usize::from(u16::from_be_bytes([input[0], input[1]])) + 2;
                if input.len() < length {
                    break;
                }
                let whole: Vec<u8> = input.drain(..length).collect();
                self.handle(number, whole[2], u64::from_be_bytes(whole[3..11].try_into().unwrap()));
            }
        }
        let mut state = self.shared.state.lock().unwrap();
        state.connections.remove(&number);
        // The set-ups that are open on a connection are given up with it.
        let open: Vec<u64> = state
            .calls
            .iter()
            .filter(|(_, c)| c.connection == number && c.phase != Phase::Standing)
            .map(|(id, _)| *id)
            .collect();
        for call in open {
            state.calls.remove(&call);
            self.note(&mut state, Kind::ConnectionEnd, call);
        }
    }

    fn handle(&self, number: u64, kind: u8, call: u64) {
        let mut state = self.shared.state.lock().unwrap();
        match kind {
            1 => {
                self.note(&mut state, Kind::SetUp, call);
                state.last_set_up += 1;
                let set_up = state.last_set_up;
                state.calls.insert(call, Call { phase: Phase::Pending(set_up), connection: number });
                state.timers.push(Reverse((Instant::now() + self.shared.answer, call, set_up, false)));
                self.shared.wake.notify_all();
            }
            12 => match state.calls.remove(&call).map(|c| c.phase) {
                Some(Phase::Pending(_)) => self.note(&mut state, Kind::GiveUp, call),
                Some(Phase::Standing) => {
                    self.note(&mut state, Kind::Release, call);
                    self.write(&mut state, number, &message(16, call, &[]));
                }
                None => {}
            },
            52 => {
                let report = self.report(&state);
                let text = report[14..].to_vec();
                self.write(&mut state, number, &message(53, call, &[(128, &[1]), (118, &text)]));
            }
            _ => {}
        }
    }

    fn run_timers(&self) {
        let mut state = self.shared.state.lock().unwrap();
        loop {
            if state.stopped {
                return;
            }
            let now = Instant::now();
            match state.timers.peek().map(|t| t.0 .0) {
                Some(at) if at <= now => {
                    let Reverse((_, call, set_up, ends)) = state.timers.pop().unwrap();
                    self.due(&mut state, call, set_up, ends);
                }
                next => {
                    let wait = next.map_or(Duration::from_millis(200), |at| at - now);
                    state =
                        self.shared.wake.wait_timeout(state, wait.min(Duration::from_millis(200))).unwrap().0;
                }
            }
        }
    }

    fn due(&self, state: &mut State, call: u64, set_up: u64, ends: bool) {
        let Some((phase, connection)) = state.calls.get(&call).map(|c| (c.phase, c.connection)) else {
            return;
        };
        if !ends && phase == Phase::Pending(set_up) {
            let description = format!("c=IN IP4 10.0.0.1\r\ns={}-{set_up}-{call:016x}\r\n", self.shared.name);
            let report = self.report(state);
            let answer = message(9, call, &[(130, description.as_bytes()), (118, &report[14..])]);
            if self.write(state, connection, &answer) {
                state.calls.get_mut(&call).unwrap().phase = Phase::Standing;
                self.note(state, Kind::Answer, call);
                let hold = state.holds.get(&call).copied().unwrap_or(self.shared.hold);
                state.timers.push(Reverse((Instant::now() + hold, call, set_up, true)));
            }
        } else if ends && phase == Phase::Standing {
            state.calls.remove(&call);
            self.note(state, Kind::End, call);
            let release = message(12, call, &[(128, &[16])]);
            let mut numbers = vec![connection];
            numbers.extend(state.connections.keys().copied().filter(|n| *n != connection));
            let _ = numbers.into_iter().any(|n| self.write(state, n, &release));
            state.repeat.push(call);
        }
    }
}
