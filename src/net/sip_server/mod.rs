//! The SIP server side: callers' connections, and what goes back to them.

mod registry;
mod release_tracker;

use self::registry::{Command, ConnectionRegistry};
use self::release_tracker::{Release, ReleaseTracker};
use crate::core::{CallName, Cause, Clock, Description, FrontId, Input, Offer, Origin, Status, ToFront};
use crate::interface::Micros;
use crate::net::buffer::{Buffer, MESSAGE_MOST};
use crate::net::owed::{Debt, Owed};
use crate::net::sip::{self, Malformed, Message, Start};
use crate::net::SDP;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Duration, Instant};

/// A caller that lets so much pile up does not read: its connection is closed.
const OUTPUT_MOST: usize = 64 * 1024;
/// Headers that an answer repeats, kept while a set-up is open: no longer than this together.
const REPEATED_MOST: usize = 2048;
/// Set-ups that may be open on one connection.
const MAX_OPEN: usize = 4096;
/// A connection without an open set-up is closed after this if no call that was answered there stands:
/// callers close theirs after 4 s,
const IDLE: Duration = Duration::from_secs(5);
/// ... else after this: its releases would have to go elsewhere.
const IDLE_WITH_CALLS: Duration = Duration::from_secs(30);
/// A message comes whole within this, the first one counted from the connection's start.
const WHOLE: Duration = Duration::from_secs(2);
/// So many idle connections make room at a time.
const SHED: usize = 8;
/// A connection that we end is read on for so long, and for so many bytes, once it is shut for writing. Danger:
/// a close with unread input resets the connection, and the last answer on it can be lost.
const LINGER: Duration = Duration::from_millis(300);
const LINGER_BYTES: usize = 256 * 1024;
/// One look takes in so much of a connection at most: a flood on one starves no other.
const FILLS_EACH: usize = 8;
/// How long to wait before accepting again when descriptors have run out.
const SHORT: Duration = Duration::from_millis(20);
/// Who ends a connection.
enum End {
    /// Its caller did, or there is nothing on it that could be lost.
    Gone,
    /// The server does, after a last word.
    Ours,
}

/// What a look at a connection's socket brought.
enum Look {
    Nothing,
    Taken,
    Ended,
}

/// What the server's tasks share.
struct Server {
    id: FrontId,
    listen: SocketAddr,
    clock: Clock,
    core: mpsc::Sender<Input>,
    status: watch::Receiver<Status>,
    registry: Mutex<ConnectionRegistry>,
    owed: Owed,
    connections_most: usize,
}

impl Server {
    fn registry(&self) -> MutexGuard<'_, ConnectionRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a SIP server is given to work with.
pub struct Config {
    /// Which of the core's fronts it is.
    pub id: FrontId,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The clock.
    pub clock: Clock,
    /// The core's queue.
    pub core: mpsc::Sender<Input>,
    /// How the core is.
    pub status: watch::Receiver<Status>,
    /// Where it says what it owes its callers.
    pub owed: Owed,
}

/// Serves callers for ever.
pub async fn run(
    config: Config,
    listener: TcpListener,
    mut answers: mpsc::Receiver<ToFront>,
) -> io::Result<()> {
    let listen = listener.local_addr()?;
    let Config { id, sockets, clock, core, status, owed } = config;
    // Callers hold a third of the descriptors; more are let in as long as the rest is not needed.
    let connections_most = sockets / 2;
    let registry = Mutex::default();
    let server = Arc::new(Server { id, listen, clock, core, status, registry, owed, connections_most });
    let deliverer = server.clone();
    tokio::spawn(async move {
        while let Some(message) = answers.recv().await {
            let back = deliverer.registry().route(message);
            // The caller's connection ended as its answer came: nobody has the call.
            if let Some(ToFront::Answer(_, call, _)) = back {
                let _ = deliverer.core.send(Input::Hangup(deliverer.id, call, Cause::NORMAL)).await;
            }
        }
    });
    loop {
        // Danger: a connection that is accepted and dropped loses the request that is on it. Over the
        // bound, new ones wait in the listener's queue until idle ones have made room.
        let count = server.registry().count();
        if count >= server.connections_most {
            server.registry().shed(SHED);
            tokio::time::sleep(SHORT).await;
            continue;
        }
        // Before it comes to that, room is made one for one: nobody has to wait.
        if count >= server.connections_most / 4 * 3 {
            server.registry().shed(1);
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let (number, commands) = server.registry().enter();
                tokio::spawn(serve(server.clone(), number, stream, commands));
            }
            // Danger: with no descriptor left, accept fails at once and would take the whole core.
            Err(error) => {
                tracing::warn!("front: cannot accept: {error}");
                server.registry().shed(SHED);
                tokio::time::sleep(SHORT).await;
            }
        }
    }
}

/// A set-up that is open on a connection.
struct Open {
    headers: Vec<(String, String)>,
}

struct Connection {
    server: Arc<Server>,
    number: u64,
    input: Buffer,
    output: Vec<u8>,
    open: HashMap<CallName, Open>,
    /// Bytes written so far.
    written: u64,
    /// Answers that stand in the output, with how many bytes will be written once they are.
    answers: VecDeque<(u64, CallName)>,
    /// Releases written or to be written, till their 200 comes.
    releases: ReleaseTracker,
    /// When something was last read.
    heard: Option<Instant>,
    /// Calls answered here that stand, as far as is seen here: their BYE may come on another connection.
    carried: usize,
    /// A request came that is owed an answer.
    spoke: bool,
    /// Since when a message is awaited that is not whole; at first since the connection's start.
    half_since: Option<Instant>,
    used: Instant,
    /// No more is read; the connection ends once all is written.
    ending: bool,
    debt: Debt,
}

async fn serve(server: Arc<Server>, number: u64, stream: TcpStream, mut commands: mpsc::Receiver<Command>) {
    let mut connection = Connection {
        server: server.clone(),
        number,
        input: Buffer::default(),
        output: Vec::new(),
        open: HashMap::new(),
        written: 0,
        answers: VecDeque::new(),
        releases: ReleaseTracker::new(number),
        heard: None,
        carried: 0,
        spoke: false,
        half_since: Some(Instant::now()),
        used: Instant::now(),
        ending: false,
        debt: server.owed.debt(),
    };
    let end = connection.run(&stream, &mut commands).await;
    let lingers = matches!(end, End::Ours);
    server.registry().remove(number, lingers);
    commands.close();
    let Connection { open, written, answers, releases, mut input, mut debt, .. } = connection;
    let mut calls: Vec<CallName> = open.into_keys().collect();
    calls.sort();
    for call in calls {
        let _ = server.core.send(Input::Withdrawn(server.id, Origin(number), call)).await;
    }
    // Danger: an answer of which the caller never got the last byte is none, and its hub holds the call.
    for (_, call) in answers.into_iter().filter(|(end, _)| *end > written) {
        let _ = server.core.send(Input::Hangup(server.id, call, Cause::NORMAL)).await;
    }
    for release in releases.end(Instant::now()) {
        server.registry().release(release);
    }
    while let Ok(command) = commands.try_recv() {
        match command {
            Command::Core(ToFront::Answer(_, call, _)) => {
                let _ = server.core.send(Input::Hangup(server.id, call, Cause::NORMAL)).await;
            }
            Command::Core(release @ ToFront::Release(..)) => {
                server.registry().route(release);
            }
            Command::Release(release) => server.registry().release(release),
            _ => {}
        }
    }
    // Danger: the program's end would reset it with what is unread, and the last word is not heard yet.
    debt.set(usize::from(lingers));
    if lingers {
        let _ = timeout(LINGER, linger(stream, &mut input)).await;
        server.registry().lingering -= 1;
    }
}

/// Shuts a connection for writing, and reads what still comes, to no effect, till the caller ends it too.
async fn linger(mut stream: TcpStream, input: &mut Buffer) {
    let mut left = LINGER_BYTES;
    if stream.shutdown().await.is_err() {
        return;
    }
    while left > 0 && stream.readable().await.is_ok() {
        input.consume(input.held().len());
        match input.fill(&stream) {
            Ok(0) => return,
            Ok(count) => left = left.saturating_sub(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

impl Connection {
    /// What it owes its caller.
    fn owes(&self) -> usize {
        self.open.len() + usize::from(!self.output.is_empty()) + usize::from(!self.input.held().is_empty())
    }

    async fn run(&mut self, stream: &TcpStream, commands: &mut mpsc::Receiver<Command>) -> End {
        loop {
            // Danger: what came whole ahead of what cannot be read was taken, and would end without a word.
            if self.ending && !self.open.is_empty() {
                self.fail_open().await;
            }
            let (busy, carries) = (!self.open.is_empty(), self.carried > 0);
            let half = !self.input.held().is_empty();
            let idle_at = self.used + if carries { IDLE_WITH_CALLS } else { IDLE };
            let whole_by = self.half_since.map(|since| since + WHOLE);
            match stream.try_write(&self.output) {
                Ok(count) => {
                    self.output.drain(..count);
                    self.written += count as u64;
                    while self.answers.front().is_some_and(|(end, _)| *end <= self.written) {
                        self.answers.pop_front();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return End::Gone,
            }
            self.releases.wrote(Instant::now(), self.written);
            self.show(busy || half, carries);
            self.debt.set(self.owes());
            if self.output.len() > OUTPUT_MOST {
                return End::Gone;
            }
            if self.ending && self.output.is_empty() {
                return End::Ours;
            }
            let check_at = self.releases.check_at();
            tokio::select! {
                readable = stream.readable(), if !self.ending => {
                    if readable.is_err() || matches!(self.look(stream).await, Look::Ended) {
                        return End::Gone;
                    }
                }
                writable = stream.writable(), if !self.output.is_empty() => {
                    if writable.is_err() {
                        return End::Gone;
                    }
                }
                command = commands.recv() => match command {
                    Some(Command::Core(message)) => self.tell(message).await,
                    Some(Command::Release(release)) => self.release(release),
                    // Danger: what came since it was chosen is looked at first; half a request counts.
                    Some(Command::CloseIdle) if self.owes() == 0 => {
                        if !matches!(self.look(stream).await, Look::Taken) {
                            return End::Gone;
                        }
                    }
                    Some(Command::CloseIdle) => {}
                    None => return End::Gone,
                },
                _ = tokio::time::sleep_until(idle_at), if !busy => {
                    if self.ending || !matches!(self.look(stream).await, Look::Taken) {
                        return End::Gone;
                    }
                }
                // Danger: a caller that stays silent, or half-way through a message, holds a descriptor
                // for ever and is owed a word. What it has open is failed, so that nobody waits for it.
                _ = tokio::time::sleep_until(whole_by.unwrap_or(idle_at)), if whole_by.is_some() && !self.ending => {
                    match self.look(stream).await {
                        Look::Nothing => self.fail_open().await,
                        Look::Taken => {}
                        Look::Ended => return End::Gone,
                    }
                }
                // Danger: a 200 that waits in the socket is taken in first.
                _ = tokio::time::sleep_until(check_at.unwrap_or(idle_at)), if check_at.is_some() => {
                    if !self.ending && matches!(self.look(stream).await, Look::Ended) {
                        return End::Gone;
                    }
                    self.repeat_overdue();
                }
                // It does not read its last words either.
                _ = tokio::time::sleep_until(self.used + WHOLE), if self.ending => return End::Gone,
            }
        }
    }

    /// Shows the server's other tasks how the connection is.
    fn show(&self, busy: bool, carries: bool) {
        if let Some(entry) = self.server.registry().entry(self.number) {
            (entry.used, entry.busy, entry.carries) = (self.used, busy, carries);
            entry.heard = self.heard.filter(|_| self.spoke);
            entry.is_silent = self.releases.is_silent();
            entry.is_full = !self.output.is_empty();
            entry.asked = false;
        }
    }

    /// Sends the releases that this connection's caller seems not to hear on other connections.
    fn repeat_overdue(&mut self) {
        let mut registry = self.server.registry();
        self.releases.check(Instant::now(), |release| registry.repeat(release));
    }

    /// Takes in what the socket has. Danger: where the processor is short, a time limit and what came long
    /// before it are seen at the same moment; a set-up that waits here is taken, and a connection closed for
    /// its silence would lose it.
    ///
    /// Danger: a caller may be gone before what it sent is read, and then nothing is sent on for it: its
    /// end is looked for before its set-ups are handed on.
    async fn look(&mut self, stream: &TcpStream) -> Look {
        let (mut look, mut inputs) = (Look::Nothing, Vec::new());
        for _ in 0..FILLS_EACH {
            match self.input.fill(stream) {
                Ok(count) if count > 0 => {
                    look = Look::Taken;
                    self.used = Instant::now();
                    self.heard = Some(self.used);
                    self.releases.read(self.used);
                    self.take_in(self.server.clock.now(), &mut inputs);
                    if self.ending {
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Ok(_) => {
                    // Its end is a sign of life too.
                    self.releases.read(Instant::now());
                    look = Look::Ended;
                    break;
                }
                Err(_) => {
                    look = Look::Ended;
                    break;
                }
            }
        }
        if matches!(look, Look::Ended) {
            inputs.retain(|input| !matches!(input, Input::Offer(o) if self.open.remove(&o.call).is_some()));
        }
        // Before anything waits: the program may be about to end, and looks at what is owed.
        self.debt.set(self.owes());
        for input in inputs {
            let _ = self.server.core.send(input).await;
        }
        look
    }

    /// Fails the set-ups that are open here, and ends once that is written.
    async fn fail_open(&mut self) {
        let mut open: Vec<(CallName, Open)> = self.open.drain().collect();
        open.sort_by_key(|(call, _)| *call);
        for (call, open) in open {
            self.respond((500, "Server Internal Error"), &open.headers, &[], &[]);
            let withdrawn = Input::Withdrawn(self.server.id, Origin(self.number), call);
            let _ = self.server.core.send(withdrawn).await;
        }
        self.ending = true;
        self.used = Instant::now();
    }

    /// Reads the messages that are there. `arrived`: when their last bytes came.
    fn take_in(&mut self, arrived: Micros, inputs: &mut Vec<Input>) {
        let mut input = std::mem::take(&mut self.input);
        let mut whole = false;
        while !self.ending {
            input.consume(sip::empty_lines(input.held()));
            let bytes = match sip::parse(input.held()) {
                Ok(Some(message)) => {
                    whole = true;
                    self.spoke |= matches!(message.start, Start::Request(method, _) if method != "ACK");
                    self.message(&message, arrived, inputs);
                    message.bytes
                }
                Ok(None) => break,
                Err(Malformed::Request { headers, bytes }) => {
                    self.respond((400, "Bad Request"), &headers, &[], &[]);
                    self.ending = bytes == 0;
                    bytes
                }
                Err(Malformed::Lost) => {
                    self.ending = true;
                    0
                }
            };
            input.consume(bytes);
        }
        debug_assert!(self.ending || input.held().len() <= MESSAGE_MOST);
        let since = self.half_since.filter(|_| !whole || !self.spoke).unwrap_or(self.used);
        self.half_since = (!input.held().is_empty() || !self.spoke).then_some(since);
        self.input = input;
    }

    fn message(&mut self, message: &Message, arrived: Micros, inputs: &mut Vec<Input>) {
        let Start::Request(method, uri) = message.start else {
            if let (Some((_, "BYE")), Some(call)) = (message.cseq(), call_name(message)) {
                self.releases.confirmed(call);
            }
            return;
        };
        let (id, origin) = (self.server.id, Origin(self.number));
        let headers = message.repeated();
        let call = call_name(message);
        match (method, call) {
            ("ACK", _) => {}
            ("OPTIONS", _) => {
                let status = *self.server.status.borrow();
                match status.settled && !status.stopping {
                    true => self.respond((200, "OK"), &headers, &[], &[]),
                    false => self.respond((503, "Service Unavailable"), &headers, &[], &[]),
                }
            }
            ("INVITE", Some(_))
                if headers.iter().map(|(n, v)| n.len() + v.len()).sum::<usize>() > REPEATED_MOST =>
            {
                self.respond((513, "Message Too Large"), &headers, &[], &[]);
            }
            ("INVITE", Some(call)) => match self.offer(message, uri, call, arrived) {
                // Danger: a second set-up under the id of an open one is refused; the open one's headers,
                // which its answer repeats, stay.
                Ok(offer) if self.open.len() < MAX_OPEN && !self.open.contains_key(&call) => {
                    self.open.insert(call, Open { headers });
                    inputs.push(Input::Offer(offer));
                }
                Ok(_) => self.respond((503, "Service Unavailable"), &headers, &[], &[]),
                Err(()) => self.respond((400, "Bad Request"), &headers, &[], &[]),
            },
            ("CANCEL", Some(call)) => match self.open.remove(&call) {
                Some(open) => {
                    self.respond((200, "OK"), &headers, &[], &[]);
                    self.respond((487, "Request Terminated"), &open.headers, &[], &[]);
                    inputs.push(Input::Withdrawn(id, origin, call));
                }
                None => self.respond((481, "Call/Transaction Does Not Exist"), &headers, &[], &[]),
            },
            ("BYE", Some(call)) => {
                let cause = message.header("Reason").and_then(sip::cause).map_or(Cause::NORMAL, Cause);
                self.respond((200, "OK"), &headers, &[], &[]);
                // A BYE before the answer ends the set-up, whose INVITE is still owed an answer.
                match self.open.remove(&call) {
                    Some(open) => {
                        self.respond((487, "Request Terminated"), &open.headers, &[], &[]);
                        inputs.push(Input::Withdrawn(id, origin, call));
                    }
                    None => {
                        self.carried = self.carried.saturating_sub(1);
                        inputs.push(Input::Hangup(id, call, cause));
                    }
                }
            }
            ("INVITE" | "CANCEL" | "BYE", None) => self.respond((400, "Bad Request"), &headers, &[], &[]),
            _ => {
                let allow = [("Allow", "INVITE, ACK, CANCEL, BYE, OPTIONS")];
                self.respond((405, "Method Not Allowed"), &headers, &allow, &[]);
            }
        }
    }

    fn offer(&self, message: &Message, uri: &str, call: CallName, arrived: Micros) -> Result<Offer, ()> {
        let within = message.number("Answer-Within").map_err(drop)?;
        let data = message.header("Routing-Data").unwrap_or("");
        let figure = |name: &str| {
            let mut parts = data.split(';').filter_map(|p| p.split_once(':'));
            parts.find(|(k, _)| k.trim() == name).map(|(_, v)| v.trim())
        };
        Ok(Offer {
            front: self.server.id,
            origin: Origin(self.number),
            call,
            class: message.header("Call-Kind").unwrap_or("").into(),
            number: sip::user(uri).ok_or(())?.into(),
            place: figure("dest").map_or(Ok(-1), |v| v.parse().map_err(|_| ()))?,
            deadline: within.map(|ms| arrived + Micros(ms.saturating_mul(1000))),
            repeat: message.header("Repeat-Mark").is_some_and(|v| v == "1"),
            returned: figure("again") == Some("1"),
            description: Description { form: SDP, bytes: Bytes::copy_from_slice(message.body) },
        })
    }

    async fn tell(&mut self, message: ToFront) {
        self.used = Instant::now();
        match message {
            ToFront::Answer(_, call, description) => match self.open.remove(&call) {
                Some(open) => {
                    self.carried += 1;
                    let contact = format!("<sip:petreldock@{}>", self.server.listen);
                    let more = [("Contact", &*contact), ("Content-Type", SDP)];
                    // A hub of another protocol describes nothing that a SIP caller could use.
                    match description.form == SDP {
                        true => self.respond((200, "OK"), &open.headers, &more, &description.bytes),
                        false => self.respond((200, "OK"), &open.headers, &more[..1], &[]),
                    }
                    self.answers.push_back((self.written + self.output.len() as u64, call));
                }
                // Danger: the caller gave its set-up up while the answer was under way to it. Nobody
                // has the call: it is released at the hub, and no second answer goes out.
                None => {
                    let _ = self.server.core.send(Input::Hangup(self.server.id, call, Cause::NORMAL)).await;
                }
            },
            ToFront::Refuse(_, call, away) => {
                if let Some(open) = self.open.remove(&call) {
                    let away = (away.0 / 1000).to_string();
                    let more = [("Come-Back-Ms", &*away)];
                    let more = if away == "0" { &[][..] } else { &more[..] };
                    self.respond((503, "Service Unavailable"), &open.headers, more, &[]);
                }
            }
            ToFront::Fail(_, call) => {
                if let Some(open) = self.open.remove(&call) {
                    self.respond((500, "Server Internal Error"), &open.headers, &[], &[]);
                }
            }
            ToFront::Release(origin, call, cause) => {
                self.carried -= usize::from(origin.is_some() && self.carried > 0);
                self.release(Release::new(call, cause));
            }
            // SIP callers' media goes past the session controller.
            ToFront::Media(..) => {}
        }
    }

    /// Ends a call that stands towards the caller, and tracks that until it is confirmed.
    fn release(&mut self, release: Release) {
        self.used = Instant::now();
        let listen = self.server.listen;
        let (id, reason) = (format!("{:016x}", release.call.0), format!("Q.850;cause={}", release.cause.0));
        let via = format!("SIP/2.0/TCP {listen};branch=z9hG4bK{id}bye");
        let party = format!("<sip:petreldock@{listen}>;tag={:x}", self.server.id.0 + 1);
        sip::request(
            &mut self.output,
            "BYE",
            "sip:caller@net",
            &[
                ("Via", &via),
                ("Max-Forwards", "70"),
                ("From", &party),
                ("To", "<sip:caller@net>"),
                ("Call-ID", &id),
                ("CSeq", "1 BYE"),
                ("Reason", &reason),
            ],
        );
        let end = self.written + self.output.len() as u64;
        self.releases.queued(self.used, release, end);
    }

    fn respond(
        &mut self,
        status: (u16, &str),
        headers: &[(String, String)],
        more: &[(&str, &str)],
        body: &[u8],
    ) {
        let tag = format!("{:x}", self.number);
        sip::respond(&mut self.output, status, headers, &tag, more, body);
    }
}

/// The call that a message names: 16 hex digits, as on the hubs' wire.
fn call_name(message: &Message) -> Option<CallName> {
    let text = message.header("Call-ID")?;
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits).map(CallName)
}
