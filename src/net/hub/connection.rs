//! One connection to a table hub: what is out on it, what waits, and the bytes of both.
//!
//! A set-up can be taken back until its first byte is out, so that bytes the socket does not take go back to the queue.

use crate::core::{CallName, Cause, FromHub, SetUp};
use crate::interface::Micros;
use crate::net::binary::{self, code, kind};
use crate::net::buffer::Buffer;
use crate::net::doors::Door;
use crate::net::SDP;
use std::collections::{HashMap, VecDeque};
use std::io;
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant};

/// A message that began comes whole within this.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(300);
/// A set-up whose answer is missing though one begun this much later was answered has lost it: a hub
/// takes set-ups in their order, and jitter is far smaller.
const OVERTAKEN_ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// A set-up given up after this, with nothing heard since it began, makes its connection suspect. Danger: the
/// module calls off what it sees overtaken, and the connection would look as if it owed nothing.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(100);
/// What a test message, which concerns no call, has in place of one.
const NO_CALL: u64 = 0;
/// This much is written at once; the rest can still be taken back.
const MAX_WRITE_BYTES: usize = 16 * 1024;

/// A message to write.
pub(super) enum Outgoing {
    SetUp(SetUp),
    GiveUp(CallName, u64),
    Release(CallName, Cause),
    ReleaseHeard(CallName),
    Test,
}

/// A set-up on a connection, from its first byte on.
#[derive(Clone, Copy)]
pub(super) struct OpenSetUp {
    pub(super) attempt: u64,
    pub(super) started: Instant,
}

/// A connection that is up.
pub(super) struct Connection {
    pub(super) id: u64,
    pub(super) stream: TcpStream,
    pub(super) input: Buffer,
    /// Messages as bytes, with the length of each in `staged`; of the first, `begun` bytes are out.
    pub(super) output: Vec<u8>,
    pub(super) staged: VecDeque<(usize, Outgoing)>,
    pub(super) written_of_first: usize,
    pub(super) queue: VecDeque<Outgoing>,
    /// Set-ups begun here and not answered.
    pub(super) open_set_ups: HashMap<CallName, OpenSetUp>,
    pub(super) opened_at: Instant,
    pub(super) last_heard: Instant,
    /// Since when the message that is being read is not whole.
    pub(super) partial_since: Option<Instant>,
    /// When a set-up began that was given up late, with nothing heard here since.
    pub(super) suspect_since: Option<Instant>,
    /// It counts among the connections of all links.
    pub(super) _permit: Door,
}

impl Connection {
    /// One that came up at `now`, with what waited for it.
    pub(super) fn new(
        id: u64,
        stream: TcpStream,
        queue: VecDeque<Outgoing>,
        permit: Door,
        now: Instant,
    ) -> Connection {
        Connection {
            id,
            stream,
            input: Buffer::default(),
            output: Vec::new(),
            staged: VecDeque::new(),
            written_of_first: 0,
            queue,
            open_set_ups: HashMap::new(),
            opened_at: now,
            last_heard: now,
            partial_since: None,
            suspect_since: None,
            _permit: permit,
        }
    }

    /// How much it owes; one that is suspect comes last.
    pub(super) fn load(&self) -> (bool, usize) {
        (self.suspect_since.is_some(), self.open_set_ups.len() + self.queue.len())
    }

    /// Nothing is out or waits on it.
    pub(super) fn is_idle(&self) -> bool {
        self.open_set_ups.is_empty() && self.queue.is_empty() && self.output.is_empty()
    }

    /// Ends of calls that its hub was not told yet.
    pub(super) fn unsent_ends(&self) -> usize {
        let end = |out: &&Outgoing| matches!(out, Outgoing::GiveUp(..) | Outgoing::Release(..));
        self.queue.iter().chain(self.staged.iter().map(|(_, out)| out)).filter(end).count()
    }

    /// Whether its answers come no more, though it stays open.
    pub(super) fn is_stalled(&self, now: Instant, latest_answered_start: Option<Instant>) -> bool {
        let oldest = self.open_set_ups.values().map(|b| b.started).chain(self.suspect_since).min();
        let overtaken = oldest.is_some_and(|at| latest_answered_start >= Some(at + OVERTAKEN_ANSWER_TIMEOUT));
        overtaken || self.partial_since.is_some_and(|since| now - since >= MESSAGE_TIMEOUT)
    }

    /// Writes what the socket takes. A set-up whose first byte has not gone out goes back to the queue,
    /// where it can be taken back; its deadline and the hub's drain are looked at again then.
    pub(super) fn write(
        &mut self,
        now: Micros,
        not_after: Option<Micros>,
        events: &mut Vec<FromHub>,
    ) -> io::Result<()> {
        loop {
            while self.output.len() < MAX_WRITE_BYTES {
                let Some(out) = self.queue.pop_front() else { break };
                self.stage(out, now, not_after, events);
            }
            if self.output.is_empty() {
                return Ok(());
            }
            let count = match self.stream.try_write(&self.output) {
                Ok(count) => count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
                Err(error) => return Err(error),
            };
            self.advance_written(count, events);
            if !self.output.is_empty() {
                self.unstage();
                return Ok(());
            }
        }
    }

    pub(super) fn stage(
        &mut self,
        out: Outgoing,
        now: Micros,
        not_after: Option<Micros>,
        events: &mut Vec<FromHub>,
    ) {
        let before = self.output.len();
        let staged = match &out {
            Outgoing::SetUp(s) => {
                if now >= s.until || not_after.is_some_and(|t| now >= t) {
                    return events.push(FromHub::NotSent(s.call, s.attempt));
                }
                let wait = ((s.until - now).0 / 1000).max(1).to_string();
                let parameters = [
                    (code::CLASS, s.class.as_bytes()),
                    (code::WAIT, wait.as_bytes()),
                    (code::NUMBER, s.number.as_bytes()),
                    (code::DESCRIPTION, &s.description.bytes[..]),
                ];
                // A caller of another protocol describes nothing that a table hub could use.
                let count = if s.description.form == SDP { 4 } else { 3 };
                binary::write(&mut self.output, kind::SET_UP, s.call.0, &parameters[..count])
            }
            Outgoing::GiveUp(call, _) => release(&mut self.output, *call, Cause::NORMAL),
            Outgoing::Release(call, cause) => release(&mut self.output, *call, *cause),
            Outgoing::ReleaseHeard(call) => binary::write(&mut self.output, kind::RELEASE_HEARD, call.0, &[]),
            Outgoing::Test => binary::write(&mut self.output, kind::TEST, NO_CALL, &[(code::CAUSE, &[0])]),
        };
        match (staged, out) {
            (true, out) => self.staged.push_back((self.output.len() - before, out)),
            (false, Outgoing::SetUp(s)) => events.push(FromHub::NotSent(s.call, s.attempt)),
            (false, _) => {}
        }
    }

    /// `count` more bytes are out.
    pub(super) fn advance_written(&mut self, count: usize, events: &mut Vec<FromHub>) {
        self.output.drain(..count);
        self.written_of_first += count;
        while let Some((length, out)) = self.staged.front() {
            if let Outgoing::SetUp(s) = out {
                if self.written_of_first > 0 {
                    let begun = OpenSetUp { attempt: s.attempt, started: Instant::now() };
                    self.open_set_ups.entry(s.call).or_insert_with(|| {
                        tracing::debug!(call = %s.call, attempt = s.attempt, connection = self.id, "begun");
                        begun
                    });
                }
            }
            if self.written_of_first < *length {
                return;
            }
            self.written_of_first -= length;
            if let Some((_, Outgoing::GiveUp(call, attempt))) = self.staged.pop_front() {
                let begun = self.open_set_ups.remove(&call).map(|b| b.started);
                let late = |at: &Instant| at.elapsed() >= SUSPECT_TIMEOUT && self.last_heard < *at;
                self.suspect_since = self.suspect_since.or(begun.filter(late));
                tracing::debug!(%call, attempt, connection = self.id, "give-up written");
                events.push(FromHub::GivenUp { attempt, call, began: true });
            }
        }
    }

    /// The socket is full: what has not begun goes back.
    pub(super) fn unstage(&mut self) {
        while self.staged.len() > usize::from(self.written_of_first > 0) {
            let Some((length, out)) = self.staged.pop_back() else { return };
            self.output.truncate(self.output.len() - length);
            self.queue.push_front(out);
        }
    }
}

fn release(out: &mut Vec<u8>, call: CallName, cause: Cause) -> bool {
    binary::write(out, kind::RELEASE, call.0, &[(code::CAUSE, &[cause.0])])
}
