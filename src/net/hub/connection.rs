//! One connection to a table hub: what is out on it, what waits, and the bytes of both.
//!
//! A set-up can be taken back until its first byte is out, so that bytes the socket does not take go back to the queue.

use crate::core::{CallName, Cause, FromHub, SetUp};
use crate::interface::Micros;
use crate::net::binary::{self, code, kind};
use crate::net::buffer::Buffer;
use crate::net::connection_limit::ConnectionPermit;
use crate::net::SDP;
use std::collections::{HashMap, VecDeque};
use std::io;
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant};

/// A message that began comes whole within this.
const WHOLE: Duration = Duration::from_millis(300);
/// A set-up whose answer is missing though one begun this much later was answered has lost it: a hub
/// takes set-ups in their order, and jitter is far smaller.
const OVERTAKEN: Duration = Duration::from_millis(120);
/// A set-up given up after this, with nothing heard since it began, makes its connection suspect. Danger: the
/// module calls off what it sees overtaken, and the connection would look as if it owed nothing.
const SUSPECT: Duration = Duration::from_millis(100);
/// What a test message, which concerns no call, has in place of one.
const NO_CALL: u64 = 0;
/// This much is written at once; the rest can still be taken back.
const BATCH: usize = 16 * 1024;

/// A message to write.
pub(super) enum Out {
    SetUp(SetUp),
    GiveUp(CallName, u64),
    Release(CallName, Cause),
    Heard(CallName),
    Test,
}

/// A set-up on a connection, from its first byte on.
#[derive(Clone, Copy)]
pub(super) struct Begun {
    pub(super) attempt: u64,
    pub(super) at: Instant,
}

/// A connection that is up.
pub(super) struct Connection {
    pub(super) id: u64,
    pub(super) stream: TcpStream,
    pub(super) input: Buffer,
    /// Messages as bytes, with the length of each in `staged`; of the first, `begun` bytes are out.
    pub(super) output: Vec<u8>,
    pub(super) staged: VecDeque<(usize, Out)>,
    pub(super) begun: usize,
    pub(super) queue: VecDeque<Out>,
    /// Set-ups begun here and not answered.
    pub(super) open: HashMap<CallName, Begun>,
    pub(super) opened: Instant,
    pub(super) heard: Instant,
    /// Since when the message that is being read is not whole.
    pub(super) partial: Option<Instant>,
    /// When a set-up began that was given up late, with nothing heard here since.
    pub(super) unheard: Option<Instant>,
    /// It counts among the connections of all links.
    pub(super) _door: ConnectionPermit,
}

impl Connection {
    /// One that came up at `now`, with what waited for it.
    pub(super) fn new(
        id: u64,
        stream: TcpStream,
        queue: VecDeque<Out>,
        door: ConnectionPermit,
        now: Instant,
    ) -> Connection {
        Connection {
            id,
            stream,
            input: Buffer::default(),
            output: Vec::new(),
            staged: VecDeque::new(),
            begun: 0,
            queue,
            open: HashMap::new(),
            opened: now,
            heard: now,
            partial: None,
            unheard: None,
            _door: door,
        }
    }

    /// How much it owes; one that is suspect comes last.
    pub(super) fn load(&self) -> (bool, usize) {
        (self.unheard.is_some(), self.open.len() + self.queue.len())
    }

    /// Nothing is out or waits on it.
    pub(super) fn is_spare(&self) -> bool {
        self.open.is_empty() && self.queue.is_empty() && self.output.is_empty()
    }

    /// Ends of calls that its hub was not told yet.
    pub(super) fn owes(&self) -> usize {
        let end = |out: &&Out| matches!(out, Out::GiveUp(..) | Out::Release(..));
        self.queue.iter().chain(self.staged.iter().map(|(_, out)| out)).filter(end).count()
    }

    /// Whether its answers come no more, though it stays open.
    pub(super) fn spoilt(&self, now: Instant, answered_begun: Option<Instant>) -> bool {
        let oldest = self.open.values().map(|b| b.at).chain(self.unheard).min();
        let overtaken = oldest.is_some_and(|at| answered_begun >= Some(at + OVERTAKEN));
        overtaken || self.partial.is_some_and(|since| now - since >= WHOLE)
    }

    /// Writes what the socket takes. A set-up whose first byte has not gone out goes back to the queue,
    /// where it can be taken back; its deadline and the hub's drain are looked at again then.
    pub(super) fn write(
        &mut self,
        now: Micros,
        not_after: Option<Micros>,
        news: &mut Vec<FromHub>,
    ) -> io::Result<()> {
        loop {
            while self.output.len() < BATCH {
                let Some(out) = self.queue.pop_front() else { break };
                self.stage(out, now, not_after, news);
            }
            if self.output.is_empty() {
                return Ok(());
            }
            let count = match self.stream.try_write(&self.output) {
                Ok(count) => count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
                Err(error) => return Err(error),
            };
            self.written(count, news);
            if !self.output.is_empty() {
                self.unstage();
                return Ok(());
            }
        }
    }

    pub(super) fn stage(
        &mut self,
        out: Out,
        now: Micros,
        not_after: Option<Micros>,
        news: &mut Vec<FromHub>,
    ) {
        let before = self.output.len();
        let fits = match &out {
            Out::SetUp(s) => {
                if now >= s.until || not_after.is_some_and(|t| now >= t) {
                    return news.push(FromHub::NotSent(s.call, s.attempt));
                }
                let wait = ((s.until - now).0 / 1000).max(1).to_string();
                let parameters = [
                    (code::CLASS, s.class.as_bytes()),
                    (code::WAIT, wait.as_bytes()),
                    (code::NUMBER, s.number.as_bytes()),
                    (code::DESCRIPTION, &s.description.bytes[..]),
                ];
                // A caller of another protocol describes nothing that a table hub could use.
                let count = if s.description.format == SDP { 4 } else { 3 };
                binary::write(&mut self.output, kind::SET_UP, s.call.0, &parameters[..count])
            }
            Out::GiveUp(call, _) => release(&mut self.output, *call, Cause::NORMAL),
            Out::Release(call, cause) => release(&mut self.output, *call, *cause),
            Out::Heard(call) => binary::write(&mut self.output, kind::RELEASE_HEARD, call.0, &[]),
            Out::Test => binary::write(&mut self.output, kind::TEST, NO_CALL, &[(code::CAUSE, &[0])]),
        };
        match (fits, out) {
            (true, out) => self.staged.push_back((self.output.len() - before, out)),
            (false, Out::SetUp(s)) => news.push(FromHub::NotSent(s.call, s.attempt)),
            (false, _) => {}
        }
    }

    /// `count` more bytes are out.
    pub(super) fn written(&mut self, count: usize, news: &mut Vec<FromHub>) {
        self.output.drain(..count);
        self.begun += count;
        while let Some((length, out)) = self.staged.front() {
            if let Out::SetUp(s) = out {
                if self.begun > 0 {
                    let begun = Begun { attempt: s.attempt, at: Instant::now() };
                    self.open.entry(s.call).or_insert_with(|| {
                        tracing::debug!(call = %s.call, attempt = s.attempt, connection = self.id, "begun");
                        begun
                    });
                }
            }
            if self.begun < *length {
                return;
            }
            self.begun -= length;
            if let Some((_, Out::GiveUp(call, attempt))) = self.staged.pop_front() {
                let begun = self.open.remove(&call).map(|b| b.at);
                let late = |at: &Instant| at.elapsed() >= SUSPECT && self.heard < *at;
                self.unheard = self.unheard.or(begun.filter(late));
                tracing::debug!(%call, attempt, connection = self.id, "give-up written");
                news.push(FromHub::GivenUp { attempt, call, began: true });
            }
        }
    }

    /// The socket is full: what has not begun goes back.
    pub(super) fn unstage(&mut self) {
        while self.staged.len() > usize::from(self.begun > 0) {
            let Some((length, out)) = self.staged.pop_back() else { return };
            self.output.truncate(self.output.len() - length);
            self.queue.push_front(out);
        }
    }
}

fn release(out: &mut Vec<u8>, call: CallName, cause: Cause) -> bool {
    binary::write(out, kind::RELEASE, call.0, &[(code::CAUSE, &[cause.0])])
}
