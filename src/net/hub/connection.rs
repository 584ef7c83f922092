//! One connection to a table hub: its open set-ups, its queue of outgoing messages, and the input and output buffers.
//!
//! A set-up can be withdrawn until its first byte is written. Messages that the socket does not take are therefore
//! moved back from the output buffer to the queue.

use super::lifecycle::{Lifecycle, Observed, Verdict, RELEASE_TIMEOUT};
use crate::core::{CallName, Cause, FromHub, SetUp};
use crate::interface::Micros;
use crate::net::binary::{self, code, kind};
use crate::net::buffer::{self, Buffer};
use crate::net::connection_limit::ConnectionPermit;
use crate::net::SDP;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant};

/// A connection becomes suspect if a set-up on it is given up after at least this time and nothing was received since
/// the set-up began. The core gives up set-ups that it sees overtaken; without this rule, the connection would then
/// look as if no answer were due on it.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of calls remembered as given up on a connection.
const MAX_GIVEN_UP_CALLS: usize = 1024;
/// Call id of a test message, which concerns no call.
const NO_CALL: u64 = 0;
/// Size of the output buffer at which no further messages are encoded. Messages still queued can be withdrawn.
const MAX_WRITE_BYTES: usize = 16 * 1024;

/// An outgoing message.
pub(super) enum Outgoing {
    SetUp(SetUp),
    /// Gives an attempt up on behalf of the core.
    GiveUp(CallName, u64),
    /// Gives an attempt up because its connection leaves service, which is reported as a lost connection.
    Abandon(CallName, u64),
    Release(CallName, Cause),
    ReleaseAck(CallName),
    Test,
}

/// A set-up whose first byte has been written, until it is answered, refused or given up.
#[derive(Clone, Copy)]
pub(super) struct OpenSetUp {
    pub(super) attempt: u64,
    pub(super) started: Instant,
}

/// What a connection had to do when it was closed.
pub(super) struct ConnectionWork {
    /// The unanswered set-ups, the oldest first.
    pub(super) begun: Vec<(CallName, OpenSetUp)>,
    /// The messages that were not written, but for those of the set-ups in `begun`.
    pub(super) unwritten: Vec<Outgoing>,
}

/// An established connection.
pub(super) struct Connection {
    pub(super) id: u64,
    pub(super) stream: TcpStream,
    pub(super) input: Buffer,
    /// The encoded messages of `staged`. Of the first one, `written_of_first` bytes have been written already.
    pub(super) output: Vec<u8>,
    /// The messages in `output`, each with its encoded length.
    pub(super) staged: VecDeque<(usize, Outgoing)>,
    pub(super) written_of_first: usize,
    /// Messages that are not encoded yet.
    pub(super) queue: VecDeque<Outgoing>,
    /// Set-ups that began on this connection and are not answered.
    pub(super) open_set_ups: HashMap<CallName, OpenSetUp>,
    /// Calls whose set-ups were given up here within [`RELEASE_TIMEOUT`], and when, the oldest first.
    given_up: VecDeque<(Instant, CallName)>,
    pub(super) opened_at: Instant,
    pub(super) last_heard: Instant,
    pub(super) lifecycle: Lifecycle,
    /// Counts this connection against the limit for all links.
    pub(super) _permit: ConnectionPermit,
}

impl Connection {
    /// A connection established at `now`, with the messages that waited for it.
    pub(super) fn new(
        id: u64,
        stream: TcpStream,
        queue: VecDeque<Outgoing>,
        permit: ConnectionPermit,
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
            given_up: VecDeque::new(),
            opened_at: now,
            last_heard: now,
            lifecycle: Lifecycle::new(),
            _permit: permit,
        }
    }

    /// Closes the connection for writing. The hub sees its end, and what it has written can still be read.
    pub(super) fn half_close(&mut self) -> io::Result<()> {
        let mut context = Context::from_waker(Waker::noop());
        match Pin::new(&mut self.stream).poll_shutdown(&mut context) {
            Poll::Ready(result) => result?,
            Poll::Pending => return Err(io::ErrorKind::WouldBlock.into()),
        }
        self.lifecycle.half_close(Instant::now());
        Ok(())
    }

    /// Whether a set-up of this call may be sent here. Messages name calls, not attempts: on a connection that delivers
    /// late, the answer to an attempt that was given up would be taken for the answer to the next one.
    pub(super) fn takes_set_up(&self, call: CallName) -> bool {
        let may_be_confused = || {
            self.lifecycle.may_deliver_late(Instant::now()) && self.given_up.iter().any(|(_, c)| *c == call)
        };
        self.lifecycle.is_in_service() && !may_be_confused()
    }

    /// Remembers that a set-up of this call was given up here.
    fn record_given_up(&mut self, call: CallName) {
        let now = Instant::now();
        let is_old = |(at, _): &(Instant, CallName)| now - *at >= RELEASE_TIMEOUT;
        while self.given_up.len() >= MAX_GIVEN_UP_CALLS || self.given_up.front().is_some_and(is_old) {
            self.given_up.pop_front();
        }
        self.given_up.push_back((now, call));
    }

    /// Sort key for choosing a connection for a set-up: the number of open set-ups and queued messages. A suspect
    /// connection sorts after all others.
    pub(super) fn load(&self) -> (bool, usize) {
        (self.lifecycle.is_suspect(), self.open_set_ups.len() + self.queue.len())
    }

    /// Whether it has no open set-ups, nothing to write, and no message that is received in part.
    pub(super) fn is_idle(&self) -> bool {
        self.open_set_ups.is_empty() && !self.has_unsent_output() && self.lifecycle.partial_since().is_none()
    }

    /// Whether messages are not written yet.
    pub(super) fn has_unsent_output(&self) -> bool {
        !self.queue.is_empty() || !self.output.is_empty()
    }

    /// Number of give-ups and releases that are not written yet.
    pub(super) fn unsent_ends(&self) -> usize {
        let end = |outgoing: &&Outgoing| {
            matches!(outgoing, Outgoing::GiveUp(..) | Outgoing::Abandon(..) | Outgoing::Release(..))
        };
        self.unsent_messages().filter(end).count()
    }

    /// The messages that are not written completely.
    pub(super) fn unsent_messages(&self) -> impl Iterator<Item = &Outgoing> {
        self.queue.iter().chain(self.staged.iter().map(|(_, outgoing)| outgoing))
    }

    /// Judges the connection; see [`Lifecycle::verdict`].
    pub(super) fn verdict(
        &self,
        now: Instant,
        latest_answered_start: Option<Instant>,
        standing_calls: &HashMap<CallName, u64>,
    ) -> Option<Verdict> {
        let observed = Observed {
            oldest_set_up: self.open_set_ups.values().map(|set_up| set_up.started).min(),
            latest_answered_start,
            has_standing_calls: || standing_calls.values().any(|connection| *connection == self.id),
        };
        self.lifecycle.verdict(now, observed)
    }

    /// Takes the set-ups that have not begun from the queue.
    pub(super) fn withdraw_queued_set_ups(&mut self) -> Vec<SetUp> {
        let mut withdrawn = Vec::new();
        for outgoing in std::mem::take(&mut self.queue) {
            match outgoing {
                Outgoing::SetUp(set_up) => withdrawn.push(set_up),
                other => self.queue.push_back(other),
            }
        }
        withdrawn
    }

    /// Takes all set-ups and messages from a connection that is closed.
    pub(super) fn take_work(&mut self) -> ConnectionWork {
        let mut begun: Vec<_> = std::mem::take(&mut self.open_set_ups).into_iter().collect();
        begun.sort_by_key(|(_, set_up)| set_up.started);
        self.output.clear();
        let staged = std::mem::take(&mut self.staged).into_iter().map(|(_, outgoing)| outgoing);
        let has_begun = |outgoing: &Outgoing| {
            let of_set_up = |attempt| begun.iter().any(|(_, set_up)| set_up.attempt == attempt);
            matches!(outgoing, Outgoing::SetUp(s) if of_set_up(s.attempt))
        };
        let unwritten =
            staged.chain(std::mem::take(&mut self.queue)).filter(|outgoing| !has_begun(outgoing)).collect();
        ConnectionWork { begun, unwritten }
    }

    /// Queues a give-up of each open set-up that has none yet, the oldest first.
    pub(super) fn abandon_open_set_ups(&mut self) {
        let is_given_up = |call: &CallName| {
            self.unsent_messages().any(|outgoing| matches!(outgoing, Outgoing::GiveUp(c, _) if c == call))
        };
        let mut abandoned: Vec<(CallName, OpenSetUp)> =
            self.open_set_ups.iter().filter(|(call, _)| !is_given_up(call)).map(|(c, s)| (*c, *s)).collect();
        abandoned.sort_by_key(|(_, set_up)| set_up.started);
        self.queue.extend(abandoned.into_iter().map(|(call, s)| Outgoing::Abandon(call, s.attempt)));
    }

    /// Writes as much as the socket takes. A set-up whose first byte could not be written returns to the queue, where
    /// it can be withdrawn, and its deadline and the hub's drain are checked again before the next attempt to write it.
    pub(super) fn write(
        &mut self,
        now: Micros,
        set_up_cutoff: Option<Micros>,
        events: &mut Vec<FromHub>,
    ) -> io::Result<()> {
        loop {
            while self.output.len() < MAX_WRITE_BYTES {
                let Some(out) = self.queue.pop_front() else { break };
                self.stage(out, now, set_up_cutoff, events);
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

    /// Encodes a message into the output buffer. A set-up that is past its deadline or the start of the hub's drain, or
    /// that exceeds the maximum message size, is reported as not sent.
    pub(super) fn stage(
        &mut self,
        out: Outgoing,
        now: Micros,
        set_up_cutoff: Option<Micros>,
        events: &mut Vec<FromHub>,
    ) {
        let before = self.output.len();
        let encoded = match &out {
            Outgoing::SetUp(s) => {
                if now >= s.until || set_up_cutoff.is_some_and(|t| now >= t) {
                    return events.push(FromHub::NotSent(s.call, s.attempt));
                }
                let wait = ((s.until - now).0 / 1000).max(1).to_string();
                let parameters = [
                    (code::CLASS, s.class.as_bytes()),
                    (code::WAIT, wait.as_bytes()),
                    (code::NUMBER, s.number.as_bytes()),
                    (code::DESCRIPTION, &s.description.bytes[..]),
                ];
                // A hub can only use SDP; callers of other protocols have no description for it.
                let count = if s.description.format == SDP { 4 } else { 3 };
                binary::write(&mut self.output, kind::SET_UP, s.call.0, &parameters[..count])
            }
            Outgoing::GiveUp(call, _) | Outgoing::Abandon(call, _) => {
                release(&mut self.output, *call, Cause::NORMAL)
            }
            Outgoing::Release(call, cause) => release(&mut self.output, *call, *cause),
            Outgoing::ReleaseAck(call) => binary::write(&mut self.output, kind::RELEASE_ACK, call.0, &[]),
            Outgoing::Test => binary::write(&mut self.output, kind::TEST, NO_CALL, &[(code::CAUSE, &[0])]),
        };
        match (encoded, out) {
            (true, out) => self.staged.push_back((self.output.len() - before, out)),
            (false, Outgoing::SetUp(s)) => events.push(FromHub::NotSent(s.call, s.attempt)),
            (false, _) => {}
        }
    }

    /// Accounts for `count` bytes written: records set-ups that have begun and reports give-ups that are complete.
    pub(super) fn advance_written(&mut self, count: usize, events: &mut Vec<FromHub>) {
        buffer::discard_written(&mut self.output, count);
        self.written_of_first += count;
        while let Some((length, out)) = self.staged.front() {
            if let Outgoing::SetUp(s) = out {
                if self.written_of_first > 0 {
                    let set_up = OpenSetUp { attempt: s.attempt, started: Instant::now() };
                    self.open_set_ups.entry(s.call).or_insert_with(|| {
                        tracing::debug!(call = %s.call, attempt = s.attempt, connection = self.id, "set-up begun");
                        set_up
                    });
                }
            }
            if self.written_of_first < *length {
                return;
            }
            self.written_of_first -= length;
            match self.staged.pop_front() {
                Some((_, Outgoing::GiveUp(call, attempt))) => {
                    let started = self.open_set_ups.remove(&call).map(|s| s.started);
                    let late = |at: &Instant| at.elapsed() >= SUSPECT_TIMEOUT && self.last_heard < *at;
                    if let Some(started) = started.filter(late) {
                        self.lifecycle.record_late_give_up(started);
                    }
                    self.record_given_up(call);
                    tracing::debug!(%call, attempt, connection = self.id, "give-up written");
                    events.push(FromHub::GivenUp { attempt, call, began: true });
                }
                Some((_, Outgoing::Abandon(call, attempt))) => {
                    self.open_set_ups.remove(&call);
                    self.record_given_up(call);
                    tracing::debug!(%call, attempt, connection = self.id, "set-up abandoned");
                    events.push(FromHub::ConnectionLost(call, attempt));
                }
                _ => {}
            }
        }
    }

    /// Moves messages of which no byte was written back to the queue, as the socket takes no more.
    pub(super) fn unstage(&mut self) {
        while self.staged.len() > usize::from(self.written_of_first > 0) {
            let Some((length, out)) = self.staged.pop_back() else { return };
            self.output.truncate(self.output.len() - length);
            self.queue.push_front(out);
        }
    }
}

/// Encodes a release of the call with this cause.
fn release(out: &mut Vec<u8>, call: CallName, cause: Cause) -> bool {
    binary::write(out, kind::RELEASE, call.0, &[(code::CAUSE, &[cause.0])])
}
