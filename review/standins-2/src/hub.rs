//! A table hub. It answers each set-up after a delay, and releases each call after its length: on the connection of its
//! set-up, or else on any open one, and also on the next one that is opened.

use crate::platform::any_port;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Closes a connection by a reset, as the system does for a process that dies.
fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// The state of the group is sent unasked no sooner than this after the last time.
const STATE_INTERVAL: Duration = Duration::from_millis(200);

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const RELEASE_HEARD: u8 = 16;
pub const STATE: u8 = 43;
pub const TEST: u8 = 52;
pub const TEST_RESULT: u8 = 53;

/// How a call stands at the hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    SetUp,
    Standing,
    /// Given up or refused before the answer.
    GivenUp,
    /// Released by the session controller after the answer.
    ReleasedByController,
    /// Released by the hub.
    ReleasedByHub,
    /// Cut when the process ended.
    Cut,
}

#[derive(Clone, Debug)]
pub struct Call {
    pub connection: u64,
    pub phase: Phase,
    pub set_up_at: Instant,
    /// When the call has ended.
    pub ended_at: Option<Instant>,
    /// When its release was first written to the session controller.
    pub release_written_at: Option<Instant>,
    /// What is still to be sent on the next connection that is opened.
    pub pending_release: Option<u8>,
    /// When its turn has come.
    pub due_at: Instant,
    pub is_known: bool,
}

/// How the hub behaves.
#[derive(Clone)]
pub struct Behaviour {
    pub answer_after: Duration,
    pub call_length: Duration,
    /// Lines of its group.
    pub lines: usize,
    /// Set-ups a second that it says it can take.
    pub can_take: f64,
    /// The processor has one line: a set-up takes `answer_after` of it, and past this wait it is turned away.
    pub longest_wait: Option<Duration>,
    /// A set-up to any other number is answered 'error' once its turn has come.
    pub known_number: Option<&'static str>,
    /// Length of the descriptions that it answers with.
    pub description_bytes: usize,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            answer_after: Duration::from_millis(40),
            call_length: Duration::from_secs(8),
            lines: 500,
            can_take: 40.0,
            longest_wait: None,
            known_number: None,
            description_bytes: 60,
        }
    }
}

#[derive(Default)]
pub struct State {
    pub connections: BTreeMap<u64, TcpStream>,
    last_connection: u64,
    /// The listener while the machine is cut off, and what fills its queue.
    cut_off: Option<(TcpListener, Vec<TcpStream>)>,
    pub is_silent: bool,
    /// The lines in use when the state of the group was last sent, and when.
    told: Option<(usize, Instant)>,
    /// Set-ups to numbers that it does not know.
    unknown: u64,
    /// Until when the processor works on the set-ups that wait.
    busy_until: Option<Instant>,
    pub calls: BTreeMap<u64, Call>,
    pub behaviour: Behaviour,
    pub is_down: bool,
}

#[derive(Clone)]
pub struct Hub {
    pub name: String,
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    record: Record,
}

pub fn message(kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let length = 9 + parameters.iter().map(|(_, v)| 3 + v.len()).sum::<usize>();
    let mut bytes = (length as u16).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(&call.to_be_bytes());
    for (code, value) in parameters {
        bytes.push(*code);
        bytes.extend_from_slice(&(value.len() as u16).to_be_bytes());
        bytes.extend_from_slice(value);
    }
    bytes
}

/// The description that a hub gives for a call: it names both.
pub fn description(hub: &str, call: u64, bytes: usize) -> Vec<u8> {
    let mut text = format!("v=0\r\ns={hub} {call:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n");
    while text.len() < bytes {
        text.push_str(&"a=rtpmap:101 telephone-event/8000\r\n"[..(bytes - text.len()).min(35)]);
    }
    text.into_bytes()
}

type Parameters = Vec<(u8, Vec<u8>)>;

fn parse(input: &mut Vec<u8>) -> Option<(u8, u64, Parameters)> {
    let length = usize::from(u16::from_be_bytes([*input.first()?, *input.get(1)?]));
    if input.len() < length + 2 || length < 9 {
        return None;
    }
    let content: Vec<u8> = input.drain(..length + 2).skip(2).collect();
    let call = content[1..9].iter().fold(0, |n: u64, b| n << 8 | u64::from(*b));
    let (mut rest, mut parameters) = (&content[9..], Vec::new());
    while rest.len() >= 3 {
        let length = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
        parameters.push((rest[0], rest[3..3 + length].to_vec()));
        rest = &rest[3 + length..];
    }
    Some((content[0], call, parameters))
}

impl State {
    fn report(&self) -> String {
        let used = self.calls.values().filter(|c| c.phase == Phase::Standing).count();
        format!("x0:{};x1:{}", self.behaviour.lines - used.min(self.behaviour.lines), self.behaviour.lines)
    }

    fn full_report(&self) -> String {
        format!("{};qps:{}", self.report(), self.behaviour.can_take)
    }

    fn send(&mut self, connection: u64, bytes: &[u8]) -> bool {
        let Some(stream) = self.connections.get_mut(&connection) else { return false };
        if stream.write_all(bytes).is_ok() {
            return true;
        }
        self.connections.remove(&connection);
        false
    }
}

impl Hub {
    pub fn start(name: &str, behaviour: Behaviour, record: &Record) -> Hub {
        let listener = TcpListener::bind(any_port()).expect("hub");
        let state = State { behaviour, ..State::default() };
        let hub = Hub {
            name: name.into(),
            address: listener.local_addr().expect("address"),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let ticking = hub.clone();
        hub.listen(listener);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            ticking.tick();
        });
        hub
    }

    /// Accepts connections until the process dies.
    fn listen(&self, listener: TcpListener) {
        let hub = self.clone();
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || loop {
            let mut state = hub.state.lock().unwrap();
            if state.is_down {
                return;
            }
            if state.is_silent {
                // One connection fills the shortest queue; the system drops what would open further ones.
                unsafe { listen(listener.as_raw_fd(), 0) };
                let fill = |_| TcpStream::connect_timeout(&hub.address, Duration::from_millis(50)).ok();
                let filling = (0..3).filter_map(fill).collect();
                state.cut_off = Some((listener, filling));
                return;
            }
            drop(state);
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    hub.opened(stream);
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        });
    }

    /// The machine is cut off: open connections stay open and silent, and new ones never come up. Its calls go on.
    pub fn cut_off(&self) {
        self.state.lock().unwrap().is_silent = true;
        self.record.line(&format!("{}: the machine is cut off", self.name));
    }

    /// The machine can be reached again. What was sent on open connections arrives.
    pub fn heal(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_silent = false;
        let cut_off = state.cut_off.take();
        drop(state);
        self.record.line(&format!("{}: the machine can be reached again", self.name));
        if let Some((listener, filling)) = cut_off {
            drop(filling);
            unsafe { listen(listener.as_raw_fd(), 128) };
            self.listen(listener);
        }
    }

    /// The machine vanishes: open connections stay open and silent, and new ones never come up. Its calls are cut.
    pub fn vanish(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_silent = true;
        self.cut_calls(&mut state);
        self.record.line(&format!("{}: the machine has vanished", self.name));
    }

    fn cut_calls(&self, state: &mut State) {
        for (id, call) in &mut state.calls {
            if matches!(call.phase, Phase::SetUp | Phase::Standing) {
                self.record.line(&format!("{}: call {id:016x} is cut", self.name));
                (call.phase, call.ended_at) = (Phase::Cut, Some(Instant::now()));
            }
        }
    }

    fn reset_connections(&self, state: &mut State) {
        // The reading threads hold copies of the streams, and end once these are shut down.
        for stream in std::mem::take(&mut state.connections).into_values() {
            reset(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// The process stops: its calls are cut, its connections are reset and new ones are refused.
    pub fn stop(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_down = true;
        self.cut_calls(&mut state);
        self.reset_connections(&mut state);
        self.record.line(&format!("{}: the process has stopped", self.name));
    }

    /// A new process serves at the same address and knows no call.
    pub fn come_back(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_down = true;
        self.reset_connections(&mut state);
        state.cut_off = None;
        drop(state);
        thread::sleep(Duration::from_millis(20));
        let listener = TcpListener::bind(self.address).expect("the hub's address");
        let mut state = self.state.lock().unwrap();
        (state.is_down, state.is_silent) = (false, false);
        state.calls.retain(|_, c| c.ended_at.is_some());
        drop(state);
        self.record.line(&format!("{}: a new process serves", self.name));
        self.listen(listener);
    }

    fn opened(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut state = self.state.lock().unwrap();
        state.last_connection += 1;
        let number = state.last_connection;
        let Ok(reading) = stream.try_clone() else { return };
        state.connections.insert(number, stream);
        self.record.line(&format!("{}: connection {number} opened", self.name));
        let report = state.report();
        state.send(number, &message(STATE, 0, &[(118, report.as_bytes())]));
        let pending: Vec<(u64, u8)> =
            state.calls.iter().filter_map(|(id, c)| Some((*id, c.pending_release?))).collect();
        for (id, cause) in pending {
            if state.send(number, &message(RELEASE, id, &[(128, &[cause])])) {
                self.record.line(&format!(
                    "{}: release of {id:016x}, cause {cause}, on connection {number} that was just opened",
                    self.name
                ));
                if let Some(call) = state.calls.get_mut(&id) {
                    call.release_written_at.get_or_insert(Instant::now());
                    call.pending_release = None;
                }
            }
        }
        drop(state);
        let hub = self.clone();
        thread::spawn(move || hub.read(number, reading));
    }

    fn read(&self, number: u64, mut stream: TcpStream) {
        let (mut input, mut bytes) = (Vec::new(), [0; 16384]);
        loop {
            match stream.read(&mut bytes) {
                Ok(0) | Err(_) => break,
                Ok(count) => input.extend_from_slice(&bytes[..count]),
            }
            while self.state.lock().unwrap().is_silent {
                thread::sleep(Duration::from_millis(5));
            }
            while let Some((kind, call, parameters)) = parse(&mut input) {
                self.handle(number, kind, call, &parameters);
            }
        }
        while self.state.lock().unwrap().is_silent {
            thread::sleep(Duration::from_millis(5));
        }
        let mut state = self.state.lock().unwrap();
        if state.connections.remove(&number).is_some() {
            self.record.line(&format!("{}: connection {number} closed by the session controller", self.name));
        }
        for call in state.calls.values_mut().filter(|c| c.connection == number && c.phase == Phase::SetUp) {
            call.phase = Phase::GivenUp;
        }
    }

    fn handle(&self, number: u64, kind: u8, id: u64, parameters: &Parameters) {
        let value = |code: u8| {
            parameters.iter().find(|(c, _)| *c == code).map(|(_, v)| v.clone()).unwrap_or_default()
        };
        let text = |code: u8| String::from_utf8_lossy(&value(code)).into_owned();
        let mut state = self.state.lock().unwrap();
        if !state.connections.contains_key(&number) {
            return;
        }
        match kind {
            SET_UP => {
                let number_text = text(108);
                let (now, behaviour) = (Instant::now(), state.behaviour.clone());
                let is_known = behaviour.known_number.is_none_or(|known| known == number_text);
                if is_known {
                    self.record.line(&format!(
                        "{}: set-up {id:016x} on connection {number}, class {}, number {number_text}, wait {}",
                        self.name,
                        text(100),
                        text(102)
                    ));
                } else {
                    state.unknown += 1;
                }
                let mut due_at = now + behaviour.answer_after;
                if let Some(longest) = behaviour.longest_wait {
                    let free_at = state.busy_until.map_or(now, |at| at.max(now));
                    if free_at - now > longest {
                        let report = state.full_report();
                        let parameters: [(u8, &[u8]); 3] =
                            [(128, &[34]), (114, b"throttled"), (118, report.as_bytes())];
                        state.send(number, &message(RELEASE, id, &parameters));
                        return;
                    }
                    due_at = free_at + behaviour.answer_after;
                    state.busy_until = Some(due_at);
                }
                state.calls.insert(
                    id,
                    Call {
                        connection: number,
                        phase: Phase::SetUp,
                        set_up_at: Instant::now(),
                        ended_at: None,
                        release_written_at: None,
                        pending_release: None,
                        due_at,
                        is_known,
                    },
                );
            }
            RELEASE => {
                self.record.line(&format!(
                    "{}: release of {id:016x} from the session controller, cause {}",
                    self.name,
                    value(128).first().copied().unwrap_or(0)
                ));
                state.send(number, &message(RELEASE_HEARD, id, &[]));
                if let Some(call) = state.calls.get_mut(&id) {
                    match call.phase {
                        Phase::SetUp => call.phase = Phase::GivenUp,
                        Phase::Standing => {
                            call.phase = Phase::ReleasedByController;
                            call.ended_at = Some(Instant::now());
                        }
                        _ => {}
                    }
                }
            }
            TEST => {
                let report = state.full_report();
                state.send(number, &message(TEST_RESULT, id, &[(128, &[1]), (118, report.as_bytes())]));
            }
            _ => {}
        }
    }

    /// Answers set-ups and ends calls whose time has come.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_down || state.is_silent {
            return;
        }
        let (now, behaviour) = (Instant::now(), state.behaviour.clone());
        let due: Vec<(u64, Phase, u64)> = state
            .calls
            .iter()
            .filter(|(_, c)| match c.phase {
                Phase::SetUp => now >= c.due_at,
                Phase::Standing => now >= c.set_up_at + behaviour.call_length,
                _ => false,
            })
            .map(|(id, c)| (*id, c.phase, c.connection))
            .collect();
        for (id, phase, connection) in due {
            if phase == Phase::SetUp && !state.calls[&id].is_known {
                let report = state.full_report();
                state.send(connection, &message(RELEASE, id, &[(128, &[47]), (118, report.as_bytes())]));
                state.calls.remove(&id);
            } else if phase == Phase::SetUp {
                let description = description(&self.name, id, behaviour.description_bytes);
                let report = state.full_report();
                let answer = message(ANSWER, id, &[(130, &description), (118, report.as_bytes())]);
                if state.send(connection, &answer) {
                    self.record.line(&format!("{}: answer to {id:016x} ({} bytes)", self.name, answer.len()));
                    if let Some(call) = state.calls.get_mut(&id) {
                        call.phase = Phase::Standing;
                    }
                }
            } else {
                self.release(&mut state, id, 16, connection);
            }
        }
        self.tell_state(&mut state, now);
    }

    /// Sends the state of the group on all connections once its free lines have changed.
    fn tell_state(&self, state: &mut State, now: Instant) {
        let used = state.calls.values().filter(|c| c.phase == Phase::Standing).count();
        if state.told.is_some_and(|(told, at)| told == used || now < at + STATE_INTERVAL) {
            return;
        }
        state.told = Some((used, now));
        let report = message(STATE, 0, &[(118, state.report().as_bytes())]);
        let open: Vec<u64> = state.connections.keys().copied().collect();
        for connection in open {
            state.send(connection, &report);
        }
    }

    fn release(&self, state: &mut State, id: u64, cause: u8, connection: u64) {
        // The call is over before its release is written: a caller may hear of it before this thread goes on.
        let ended_at = Instant::now();
        let report = state.full_report();
        let bytes = message(RELEASE, id, &[(128, &[cause]), (118, report.as_bytes())]);
        let mut open: Vec<u64> = state.connections.keys().copied().collect();
        open.sort_by_key(|c| (*c != connection, std::cmp::Reverse(*c)));
        let written = open.into_iter().find(|c| state.send(*c, &bytes));
        match written {
            Some(on) => self
                .record
                .line(&format!("{}: release of {id:016x}, cause {cause}, on connection {on}", self.name)),
            None => self.record.line(&format!(
                "{}: call {id:016x} has ended, cause {cause}; no connection is open for its release",
                self.name
            )),
        }
        if let Some(call) = state.calls.get_mut(&id) {
            call.phase = if cause == 16 { Phase::ReleasedByHub } else { Phase::Cut };
            call.ended_at = Some(ended_at);
            call.release_written_at = written.map(|_| Instant::now());
            call.pending_release = Some(cause);
        }
    }

    pub fn call(&self, id: u64) -> Option<Call> {
        self.state.lock().unwrap().calls.get(&id).cloned()
    }

    pub fn unknown(&self) -> u64 {
        self.state.lock().unwrap().unknown
    }

    pub fn open_connections(&self) -> usize {
        self.state.lock().unwrap().connections.len()
    }
}
