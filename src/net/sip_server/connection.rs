//! One connection of callers: its socket, its limits, and what is still owed when it ends.

mod held;
mod messages;

use self::held::Held;
use super::registry::Command;
use super::release_tracker::ReleaseTracker;
use super::Server;
use crate::core::{CallName, Cause, Input, Origin, ToFront};
use crate::interface::Micros;
use crate::net::buffer::{Buffer, MAX_MESSAGE_BYTES};
use crate::net::shared_count::CountShare;
use crate::net::sip::{self, Malformed, StartLine};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, Duration, Instant};

/// A caller that lets so much pile up does not read: its connection is closed.
const MAX_OUTPUT: usize = 64 * 1024;
/// A connection without an open set-up is closed after this if no call that was answered there stands:
/// callers close theirs after 4 s,
const IDLE: Duration = Duration::from_secs(5);
/// ... else after this: its releases would have to go elsewhere.
const IDLE_WITH_CALLS: Duration = Duration::from_secs(30);
/// A message comes whole within this, the first one counted from the connection's start.
const WHOLE: Duration = Duration::from_secs(2);
/// A connection that we end is read on for so long, and for so many bytes, once it is shut for writing. Danger:
/// a close with unread input resets the connection, and the last answer on it can be lost.
const LINGER: Duration = Duration::from_millis(300);
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// One look takes in so much of a connection at most: a flood on one starves no other.
const MAX_FILLS: usize = 8;
/// Turns that a connection leaves to other tasks, at most, for the core to take in a part of a flood ...
const MAX_CORE_TURNS: usize = 16;
/// ... and once it has, for its answers to arrive here before more is read.
const ANSWER_TURNS: usize = 3;

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

/// A set-up that is open on a connection.
struct Open {
    headers: Vec<(String, String)>,
}

/// One connection of callers.
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
    /// Taken in and not handed on yet.
    held: Held,
    /// A part of a flood was handed on: its answers come before more is read.
    handed_part: bool,
    debt: CountShare,
}

/// Serves one connection to its end.
pub async fn serve(
    server: Arc<Server>,
    number: u64,
    stream: TcpStream,
    mut commands: mpsc::Receiver<Command>,
) {
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
        held: Held::new(&server.held),
        handed_part: false,
        debt: server.owed.share(),
    };
    let end = connection.run(&stream, &mut commands).await;
    let lingers = matches!(end, End::Ours);
    let open = connection.open.len();
    tracing::debug!(connection = number, by_us = lingers, open, "caller's connection ended");
    server.registry().remove(number, lingers);
    commands.close();
    connection.abandon_held().await;
    let unsent = connection.write_refusals(&stream, &mut commands).await;
    let Connection { open, written, answers, releases, mut input, mut debt, .. } = connection;
    let mut calls: Vec<CallName> = open.into_keys().collect();
    calls.sort();
    for call in calls {
        server.tell_core(Input::Withdrawn(server.id, Origin(number), call)).await;
    }
    // Danger: an answer of which the caller never got the last byte is none, and its hub holds the call.
    for (_, call) in answers.into_iter().filter(|(end, _)| *end > written) {
        server.tell_core(Input::Hangup(server.id, call, Cause::NORMAL)).await;
    }
    for release in releases.end(Instant::now()) {
        server.registry().release(release);
    }
    for command in unsent {
        match command {
            Command::Core(ToFront::Answer(_, call, _)) => {
                server.tell_core(Input::Hangup(server.id, call, Cause::NORMAL)).await;
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
    let mut left = MAX_LINGER_BYTES;
    if stream.shutdown().await.is_err() {
        return;
    }
    while left > 0 && stream.readable().await.is_ok() {
        input.consume(input.unconsumed().len());
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
        self.open.len()
            + usize::from(!self.output.is_empty())
            + usize::from(!self.input.unconsumed().is_empty())
            + usize::from(!self.held.is_empty())
    }

    async fn run(&mut self, stream: &TcpStream, commands: &mut mpsc::Receiver<Command>) -> End {
        loop {
            if std::mem::take(&mut self.handed_part) {
                self.let_core_answer(commands).await;
            }
            // Danger: what came whole ahead of what cannot be read was taken, and would end without a word.
            if self.ending && !self.open.is_empty() {
                self.fail_open().await;
            }
            let (busy, carries) = (!self.open.is_empty(), self.carried > 0);
            let half = !self.input.unconsumed().is_empty();
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
            if self.output.len() > MAX_OUTPUT {
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
                        if !matches!(self.look_again(stream).await, Look::Taken) {
                            return End::Gone;
                        }
                    }
                    Some(Command::CloseIdle) => {}
                    None => return End::Gone,
                },
                _ = tokio::time::sleep_until(idle_at), if !busy => {
                    if self.ending || !matches!(self.look_again(stream).await, Look::Taken) {
                        return End::Gone;
                    }
                }
                // Danger: a caller that stays silent, or half-way through a message, holds a descriptor
                // for ever and is owed a word. What it has open is failed, so that nobody waits for it.
                _ = tokio::time::sleep_until(whole_by.unwrap_or(idle_at)), if whole_by.is_some() && !self.ending => {
                    match self.look_again(stream).await {
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

    /// Looks before a time limit is enforced or a connection is evicted. Danger: timers and commands may be seen before
    /// the sockets are polled, and a socket that was not ready before seems empty, however long ago a request came.
    async fn look_again(&mut self, stream: &TcpStream) -> Look {
        tokio::task::yield_now().await;
        self.look(stream).await
    }

    /// Takes in what the socket has. Danger: where the processor is short, a time limit and what came long
    /// before it are seen at the same moment; a set-up that waits here is taken, and a connection closed for
    /// its silence would lose it.
    ///
    /// Danger: a caller may be gone before what it sent is read, and then nothing is sent on for it. Its end, or its
    /// CANCEL, may be in the rest of the socket: what was taken in is held until that is read too, within bounds.
    async fn look(&mut self, stream: &TcpStream) -> Look {
        let mut inputs = self.held.take();
        let (look, is_drained) = self.read(stream, &mut inputs);
        if matches!(look, Look::Ended) {
            self.drop_offers(&mut inputs);
        }
        let has_more = matches!(look, Look::Taken) && !is_drained && !self.ending;
        if has_more && self.held.has_room() {
            self.held.put(inputs);
            self.debt.set(self.owes());
            return look;
        }
        self.held.clear();
        // Before anything waits: the program may be about to end, and looks at what is owed.
        self.debt.set(self.owes());
        for input in inputs {
            self.server.tell_core(input).await;
        }
        self.handed_part = has_more;
        look
    }

    /// Reads a bounded part of what the socket has; whether that was all.
    fn read(&mut self, stream: &TcpStream, inputs: &mut Vec<Input>) -> (Look, bool) {
        let mut look = Look::Nothing;
        for _ in 0..MAX_FILLS {
            match self.input.fill(stream) {
                Ok(count) if count > 0 => {
                    look = Look::Taken;
                    self.used = Instant::now();
                    self.heard = Some(self.used);
                    self.releases.read(self.used);
                    self.held.count(count);
                    self.take_in(self.server.clock.now(), inputs);
                    if self.ending {
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return (look, true),
                Ok(_) => {
                    // Its end is a sign of life too.
                    self.releases.read(Instant::now());
                    return (Look::Ended, true);
                }
                Err(_) => return (Look::Ended, true),
            }
        }
        (look, false)
    }

    /// Drops set-ups that were never handed on: their caller has gone.
    fn drop_offers(&mut self, inputs: &mut Vec<Input>) {
        inputs.retain(|input| !matches!(input, Input::Offer(o) if self.open.remove(&o.call).is_some()));
    }

    /// Hands on what is held when the connection ends, save set-ups.
    async fn abandon_held(&mut self) {
        let mut inputs = self.held.take();
        self.held.clear();
        self.drop_offers(&mut inputs);
        for input in inputs {
            self.server.tell_core(input).await;
        }
    }

    /// Lets the core take in a part of a flood, and takes the answers to it, before more is read. Danger: a flood that
    /// is read to its end without that ends with none of it answered. It is bounded by turns, not by what is
    /// open: the rest of the socket may hold a departure, which must be read soon.
    async fn let_core_answer(&mut self, commands: &mut mpsc::Receiver<Command>) {
        for _ in 0..MAX_CORE_TURNS {
            tokio::task::yield_now().await;
            if self.server.core.capacity() == self.server.core.max_capacity() {
                break;
            }
        }
        for _ in 0..ANSWER_TURNS {
            tokio::task::yield_now().await;
        }
        // The rest of them once these are written.
        while self.output.len() < MAX_OUTPUT / 2 {
            match commands.try_recv() {
                Ok(Command::Core(message)) => self.tell(message).await,
                Ok(Command::Release(release)) => self.release(release),
                // It is in use.
                Ok(Command::CloseIdle) => {}
                Err(_) => return,
            }
        }
    }

    /// Writes the refusals that came before the connection's end was seen, as far as the socket takes them at once; a
    /// caller that only shut its side for writing reads them. Gives back what else came. Danger: an answer that is
    /// not written whole yet belongs to a call that is about to be released, and nothing is written then.
    async fn write_refusals(
        &mut self,
        stream: &TcpStream,
        commands: &mut mpsc::Receiver<Command>,
    ) -> Vec<Command> {
        let mut others = Vec::new();
        while let Ok(command) = commands.try_recv() {
            match command {
                Command::Core(message @ (ToFront::Refuse(..) | ToFront::Fail(..)))
                    if self.output.len() < MAX_OUTPUT =>
                {
                    self.tell(message).await;
                }
                other => others.push(other),
            }
        }
        if self.answers.is_empty() {
            let _ = stream.try_write(&self.output);
        }
        others
    }

    /// Fails the set-ups that are open here, and ends once that is written.
    async fn fail_open(&mut self) {
        let mut open: Vec<(CallName, Open)> = self.open.drain().collect();
        open.sort_by_key(|(call, _)| *call);
        for (call, open) in open {
            self.respond((500, "Server Internal Error"), &open.headers, &[], &[]);
            let withdrawn = Input::Withdrawn(self.server.id, Origin(self.number), call);
            self.server.tell_core(withdrawn).await;
        }
        self.ending = true;
        self.used = Instant::now();
    }

    /// Reads the messages that are there. `arrived`: when their last bytes came.
    fn take_in(&mut self, arrived: Micros, inputs: &mut Vec<Input>) {
        let mut input = std::mem::take(&mut self.input);
        let mut whole = false;
        while !self.ending {
            input.consume(sip::leading_line_breaks_len(input.unconsumed()));
            let bytes = match sip::parse(input.unconsumed()) {
                Ok(Some(message)) => {
                    whole = true;
                    self.spoke |= matches!(message.start, StartLine::Request(method, _) if method != "ACK");
                    self.message(&message, arrived, inputs);
                    message.bytes
                }
                Ok(None) => break,
                Err(Malformed::Request { headers, bytes }) => {
                    self.respond((400, "Bad Request"), &headers, &[], &[]);
                    self.ending = bytes == 0;
                    bytes
                }
                Err(Malformed::Unrecoverable) => {
                    self.ending = true;
                    0
                }
            };
            input.consume(bytes);
        }
        debug_assert!(self.ending || input.unconsumed().len() <= MAX_MESSAGE_BYTES);
        let since = self.half_since.filter(|_| !whole || !self.spoke).unwrap_or(self.used);
        self.half_since = (!input.unconsumed().is_empty() || !self.spoke).then_some(since);
        self.input = input;
    }
}
