//! One caller connection: its socket, its limits, and what has to be released when it closes.

mod messages;
mod open_set_ups;
mod pending_offers;

use self::open_set_ups::OpenSetUps;
use self::pending_offers::PendingOffers;
use super::registry::Command;
use super::release_tracker::ReleaseTracker;
use super::Server;
use crate::core::{CallName, Cause, Input, Origin, ToFront};
use crate::interface::Micros;
use crate::metrics;
use crate::net::buffer::{self, Buffer, MAX_MESSAGE_BYTES};
use crate::net::shared_count::CountShare;
use crate::net::sip::{self, Malformed, StartLine};
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, Duration, Instant};

/// Bytes of unsent output above which the connection is closed, because its caller does not read.
const MAX_OUTPUT_BYTES: usize = 64 * 1024;
/// The same while the unsent output of all connections exceeds its limit. Any one message fits.
const MAX_SCARCE_OUTPUT_BYTES: usize = MAX_MESSAGE_BYTES + MAX_MESSAGE_BYTES / 2;
/// Idle time after which a connection without open set-ups and without calls is closed. Callers close theirs after 4 s.
///
/// A connection on which calls were answered that are up is never closed as idle, since its caller may have no reason to
/// open another one for their releases. It is closed only if descriptors are short.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a message must be complete on a connection without calls. For the first one it starts with the
/// connection. A closing connection also has this long to write its remaining output.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection that the server closes is still read after it was shut for writing. Closing a socket with
/// unread input resets the connection, which can destroy the last response on its way to the caller.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of bytes read in that time.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Maximum number of socket reads in one pass, so that a flood on one connection does not starve the others.
const MAX_READS_PER_PASS: usize = 8;
/// Maximum number of times a connection yields for the core to process one part of a flood.
const MAX_CORE_YIELDS: usize = 16;
/// Number of times it yields after that, for the core's answers to arrive before more is read.
const ANSWER_YIELDS: usize = 3;

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The caller closed it, or reading or writing failed.
    Disconnected,
    /// It was idle for too long.
    Idle,
    /// It was idle when descriptors were short.
    Evicted,
    /// Its caller does not read what is sent.
    Unread,
    /// The server closed it after its last response was written. It is shut for writing and still read for a short time.
    Finished,
    /// The server is shutting down.
    Shutdown,
}

/// Result of reading a connection's socket.
enum ReadOutcome {
    /// There was no data to read.
    NoData,
    /// Data was read.
    Data,
    /// The caller closed the connection, or reading failed.
    Closed,
}

/// State of one caller connection.
struct Connection {
    server: Arc<Server>,
    number: u64,
    input: Buffer,
    output: Vec<u8>,
    /// This connection's share of the unsent output of all connections, in bytes.
    output_share: CountShare,
    open_set_ups: OpenSetUps,
    /// Total number of bytes written.
    bytes_written: u64,
    /// Answers in the output that are not written yet, each with the total number of bytes written once it is.
    unwritten_answers: VecDeque<(u64, CallName)>,
    /// Releases whose 200 has not been received.
    releases: ReleaseTracker,
    /// When data was last read.
    last_received: Option<Instant>,
    /// A request that requires a response (any but ACK) was received.
    received_request: bool,
    /// Since when an incomplete message has been awaited; initially since the connection was accepted.
    partial_since: Option<Instant>,
    /// The incomplete message is overdue, and the connection stays open for its calls alone.
    partial_is_overdue: bool,
    /// When something was last read from the caller or sent to it.
    last_used: Instant,
    /// Nothing more is read, and the connection closes once the output is written.
    is_closing: bool,
    /// Set-ups read and not yet sent to the core.
    pending: PendingOffers,
    /// Part of a flood was sent to the core, whose answers are awaited before more is read.
    sent_part: bool,
    /// This connection's share of the outstanding work, for which a shutdown waits.
    outstanding_share: CountShare,
}

/// Serves one connection until it closes, and then releases or withdraws the calls that it leaves behind.
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
        output_share: server.output_bytes.share(),
        open_set_ups: OpenSetUps::new(&server.open_bytes),
        bytes_written: 0,
        unwritten_answers: VecDeque::new(),
        releases: ReleaseTracker::new(number),
        last_received: None,
        received_request: false,
        partial_since: Some(Instant::now()),
        partial_is_overdue: false,
        last_used: Instant::now(),
        is_closing: false,
        pending: PendingOffers::default(),
        sent_part: false,
        outstanding_share: server.outstanding.share(),
    };
    let reason = connection.run(&stream, &mut commands).await;
    let lingers = reason == CloseReason::Finished;
    let calls = server.registry().remove(number, lingers);
    let (open, unused_ms) = (connection.open_set_ups.len(), connection.last_used.elapsed().as_millis());
    tracing::debug!(connection = number, why = ?reason, open, calls, unused_ms, "caller connection closed");
    if calls > 0 && reason != CloseReason::Disconnected {
        metrics::CALLER_CONNECTIONS_CLOSED_WITH_CALLS.increment();
    }
    commands.close();
    connection.refuse_pending_offers();
    let unsent = connection.write_last_refusals(&stream, &mut commands).await;
    let Connection {
        mut open_set_ups,
        bytes_written,
        unwritten_answers,
        releases,
        mut input,
        mut outstanding_share,
        ..
    } = connection;
    for (call, _) in open_set_ups.take_all() {
        server.send_to_core(Input::Withdrawn(server.id, Origin(number), call)).await;
    }
    // The caller never received these answers whole, so their calls are hung up at the hub, which considers them up.
    for (_, call) in unwritten_answers.into_iter().filter(|(end, _)| *end > bytes_written) {
        server.send_to_core(Input::Hangup(server.id, call, Cause::NORMAL)).await;
    }
    for release in releases.on_close(Instant::now()) {
        server.registry().release(release);
    }
    for command in unsent {
        match command {
            Command::FromCore(ToFront::Answer(_, call, _)) => {
                server.send_to_core(Input::Hangup(server.id, call, Cause::NORMAL)).await;
            }
            Command::FromCore(release @ ToFront::Release(..)) => {
                server.registry().route(release);
            }
            Command::Release(release) => server.registry().release(release),
            _ => {}
        }
    }
    // Counts as outstanding work: if the process exited now, unread input would reset the connection, and the caller
    // might not have received the last response.
    outstanding_share.set(usize::from(lingers));
    if lingers {
        let _ = timeout(LINGER_TIMEOUT, drain_socket(stream, &mut input)).await;
        server.registry().lingering -= 1;
    }
}

/// Shuts a connection for writing, and reads and discards data until the caller closes it too.
async fn drain_socket(mut stream: TcpStream, input: &mut Buffer) {
    let mut remaining = MAX_LINGER_BYTES;
    if stream.shutdown().await.is_err() {
        return;
    }
    while remaining > 0 && stream.readable().await.is_ok() {
        input.consume(input.unconsumed().len());
        match input.fill(&stream) {
            Ok(0) => return,
            Ok(count) => remaining = remaining.saturating_sub(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

impl Connection {
    /// Number of items of outstanding work: open set-ups, unsent output, a partial message and pending set-ups.
    fn outstanding_count(&self) -> usize {
        self.open_set_ups.len()
            + usize::from(!self.output.is_empty())
            + usize::from(self.awaits_rest_of_message())
            + usize::from(!self.pending.is_empty())
    }

    /// Whether a message is incomplete and not overdue.
    fn awaits_rest_of_message(&self) -> bool {
        !self.input.unconsumed().is_empty() && !self.partial_is_overdue
    }

    /// Writes as much of the output as the socket takes.
    fn write_output(&mut self, stream: &TcpStream) -> io::Result<()> {
        match stream.try_write(&self.output) {
            Ok(count) => {
                buffer::discard_written(&mut self.output, count);
                self.bytes_written += count as u64;
                while self.unwritten_answers.front().is_some_and(|(end, _)| *end <= self.bytes_written) {
                    self.unwritten_answers.pop_front();
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        self.output_share.set(self.output.len());
        Ok(())
    }

    /// Bytes of unsent output above which the connection is closed.
    fn max_output_bytes(&self) -> usize {
        match self.server.output_bytes.count() > self.server.max_output_bytes {
            true => MAX_SCARCE_OUTPUT_BYTES,
            false => MAX_OUTPUT_BYTES,
        }
    }

    /// Runs the connection until it has to be closed.
    async fn run(&mut self, stream: &TcpStream, commands: &mut mpsc::Receiver<Command>) -> CloseReason {
        loop {
            // Responses are written before the yields: with many connections in a flood, all of them would hold theirs.
            if std::mem::take(&mut self.sent_part) {
                if self.write_output(stream).is_err() {
                    return CloseReason::Disconnected;
                }
                self.yield_to_core(commands).await;
            }
            // Set-ups received before an unparsable message are open, and would otherwise get no final response.
            if self.is_closing && !self.open_set_ups.is_empty() {
                self.fail_open_set_ups().await;
            }
            let has_open = !self.open_set_ups.is_empty();
            let message_deadline = self.partial_since.map(|since| since + MESSAGE_TIMEOUT);
            if self.write_output(stream).is_err() {
                return CloseReason::Disconnected;
            }
            self.releases.on_written(Instant::now(), self.bytes_written);
            let has_calls = self.publish_state(has_open || self.awaits_rest_of_message());
            let idle_at = self.last_used + IDLE_TIMEOUT;
            let may_time_out =
                message_deadline.is_some() && !self.is_closing && !(has_calls && self.partial_is_overdue);
            self.outstanding_share.set(self.outstanding_count());
            if self.output.len() > self.max_output_bytes() {
                return CloseReason::Unread;
            }
            if self.is_closing && self.output.is_empty() {
                return CloseReason::Finished;
            }
            let check_at = self.releases.check_at();
            tokio::select! {
                readable = stream.readable(), if !self.is_closing => {
                    if readable.is_err() || matches!(self.read(stream).await, ReadOutcome::Closed) {
                        return CloseReason::Disconnected;
                    }
                }
                writable = stream.writable(), if !self.output.is_empty() => {
                    if writable.is_err() {
                        return CloseReason::Disconnected;
                    }
                }
                command = commands.recv() => match command {
                    Some(Command::FromCore(message)) => self.handle_core_message(message).await,
                    Some(Command::Release(release)) => self.send_release(release),
                    // Reads first, since data may have come after the connection was chosen. A partial request keeps
                    // the connection open too.
                    Some(Command::CloseIdle) if self.outstanding_count() == 0 => {
                        match self.yield_and_read(stream).await {
                            ReadOutcome::Data => {}
                            ReadOutcome::NoData => return CloseReason::Evicted,
                            ReadOutcome::Closed => return CloseReason::Disconnected,
                        }
                    }
                    Some(Command::CloseIdle) => {}
                    Some(Command::LastCallEnded) => self.restart_timeouts(),
                    None => return CloseReason::Shutdown,
                },
                _ = tokio::time::sleep_until(idle_at), if !has_open && !has_calls => {
                    if self.is_closing {
                        return CloseReason::Unread;
                    }
                    match self.yield_and_read(stream).await {
                        ReadOutcome::Data => {}
                        ReadOutcome::NoData => return CloseReason::Idle,
                        ReadOutcome::Closed => return CloseReason::Disconnected,
                    }
                }
                // A caller that sends nothing, or stops in the middle of a message, would hold a descriptor for ever.
                // Its open set-ups are failed and withdrawn, so that the core does not go on working on them.
                // With calls that are up the connection stays open for their releases, and a slow caller may go on.
                _ = tokio::time::sleep_until(message_deadline.unwrap_or(idle_at)), if may_time_out => {
                    match self.yield_and_read(stream).await {
                        ReadOutcome::NoData if has_calls => self.partial_is_overdue = true,
                        ReadOutcome::NoData => self.fail_open_set_ups().await,
                        ReadOutcome::Data => {}
                        ReadOutcome::Closed => return CloseReason::Disconnected,
                    }
                }
                // Reads a 200 that may already be in the socket before releases are repeated.
                _ = tokio::time::sleep_until(check_at.unwrap_or(idle_at)), if check_at.is_some() => {
                    if !self.is_closing && matches!(self.read(stream).await, ReadOutcome::Closed) {
                        return CloseReason::Disconnected;
                    }
                    self.repeat_overdue_releases();
                }
                // The caller does not read the remaining output in time.
                _ = tokio::time::sleep_until(self.last_used + MESSAGE_TIMEOUT), if self.is_closing => return CloseReason::Unread,
            }
        }
    }

    /// Restarts the timeouts that did not apply while calls were up: the caller has a full idle time for its next set-up,
    /// and the full time for the rest of an incomplete message.
    fn restart_timeouts(&mut self) {
        self.last_used = Instant::now();
        self.partial_since = self.partial_since.map(|_| self.last_used);
        self.partial_is_overdue = false;
    }

    /// Publishes the connection's state in the registry. Returns whether calls that were answered on it are up.
    fn publish_state(&self, is_busy: bool) -> bool {
        let mut registry = self.server.registry();
        let Some(entry) = registry.entry(self.number) else { return false };
        (entry.last_used, entry.is_busy) = (self.last_used, is_busy);
        entry.last_received = self.last_received.filter(|_| self.received_request);
        entry.is_unresponsive = self.releases.is_unresponsive();
        entry.is_write_blocked = !self.output.is_empty();
        entry.close_requested = false;
        entry.has_calls()
    }

    /// Sends overdue releases on other connections, or leaves them for the next one that opens.
    fn repeat_overdue_releases(&mut self) {
        let mut registry = self.server.registry();
        self.releases.check(Instant::now(), |release| registry.repeat(release));
        for release in self.releases.take_undelivered() {
            registry.queue(release);
        }
    }

    /// Reads the socket before a timeout is enforced or the connection is evicted. It yields first: the runtime may
    /// deliver timers and commands before it polls the sockets, and until then a socket that was not ready seems empty,
    /// however long ago a request came.
    async fn yield_and_read(&mut self, stream: &TcpStream) -> ReadOutcome {
        tokio::task::yield_now().await;
        self.read(stream).await
    }

    /// Reads the socket and sends the parsed inputs to the core. On a starved process a timeout and data that came long
    /// before it are seen at the same moment, and closing the connection as idle would lose a set-up in the socket.
    ///
    /// A caller may have disconnected before its requests are read, and then no attempt may be made for them. Its FIN or
    /// its CANCEL may be behind them in the socket, so set-ups stay pending until the socket is drained; see
    /// [`pending_offers`].
    async fn read(&mut self, stream: &TcpStream) -> ReadOutcome {
        let mut inputs = Vec::new();
        let (outcome, is_drained) = self.read_socket(stream, &mut inputs);
        if matches!(outcome, ReadOutcome::Closed) {
            self.refuse_pending_offers();
        }
        let has_more = matches!(outcome, ReadOutcome::Data) && !is_drained && !self.is_closing;
        if !has_more || !self.pending.may_wait(Instant::now()) {
            inputs.extend(self.pending.take().into_iter().map(Input::Offer));
        }
        // Updated before the first await: the process may be about to exit and checks the outstanding work.
        self.outstanding_share.set(self.outstanding_count());
        for input in inputs {
            self.server.send_to_core(input).await;
        }
        self.sent_part = has_more;
        outcome
    }

    /// Reads and parses a bounded amount of data. Returns `true` with the result if the socket is drained.
    fn read_socket(&mut self, stream: &TcpStream, inputs: &mut Vec<Input>) -> (ReadOutcome, bool) {
        let mut outcome = ReadOutcome::NoData;
        for _ in 0..MAX_READS_PER_PASS {
            match self.input.fill(stream) {
                Ok(count) if count > 0 => {
                    outcome = ReadOutcome::Data;
                    self.last_used = Instant::now();
                    self.last_received = Some(self.last_used);
                    self.releases.on_read(self.last_used);
                    self.handle_messages(self.server.clock.now(), inputs);
                    if self.is_closing {
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return (outcome, true),
                Ok(_) => {
                    // A FIN also shows that the path to the caller works.
                    self.releases.on_read(Instant::now());
                    return (ReadOutcome::Closed, true);
                }
                Err(_) => return (ReadOutcome::Closed, true),
            }
        }
        (outcome, false)
    }

    /// Refuses the set-ups that were not sent to the core, because their caller has disconnected. If it only shut its side
    /// for writing, it still reads the responses.
    fn refuse_pending_offers(&mut self) {
        for offer in self.pending.take() {
            let Some(set_up) = self.open_set_ups.remove(offer.call) else { continue };
            if self.output.len() < MAX_OUTPUT_BYTES {
                self.respond((503, "Service Unavailable"), &set_up.headers, &[], &[]);
            }
        }
    }

    /// Lets the core process a part of a flood, and handles its answers, before more is read; otherwise a flood that is
    /// followed by a disconnect would be read to its end with none of it answered. The number of yields is limited,
    /// whatever is still open, since the socket may hold a disconnect or CANCEL that must be read soon.
    async fn yield_to_core(&mut self, commands: &mut mpsc::Receiver<Command>) {
        for _ in 0..MAX_CORE_YIELDS {
            tokio::task::yield_now().await;
            if self.server.core.capacity() == self.server.core.max_capacity() {
                break;
            }
        }
        for _ in 0..ANSWER_YIELDS {
            tokio::task::yield_now().await;
        }
        // Further commands are handled once these responses are written.
        while self.output.len() < MAX_OUTPUT_BYTES / 2 {
            match commands.try_recv() {
                Ok(Command::FromCore(message)) => self.handle_core_message(message).await,
                Ok(Command::Release(release)) => self.send_release(release),
                Ok(Command::LastCallEnded) => self.restart_timeouts(),
                // The connection is in use.
                Ok(Command::CloseIdle) => {}
                Err(_) => return,
            }
        }
    }

    /// Writes the refusals and failures that were queued before the connection was found closed, as far as the socket
    /// accepts them at once: a caller that only shut its side for writing still reads them. Returns the other commands.
    /// Nothing is written while an answer is not written whole, since its call is about to be released.
    async fn write_last_refusals(
        &mut self,
        stream: &TcpStream,
        commands: &mut mpsc::Receiver<Command>,
    ) -> Vec<Command> {
        let mut others = Vec::new();
        while let Ok(command) = commands.try_recv() {
            match command {
                Command::FromCore(message @ (ToFront::Refuse(..) | ToFront::Fail(..)))
                    if self.output.len() < MAX_OUTPUT_BYTES =>
                {
                    self.handle_core_message(message).await;
                }
                other => others.push(other),
            }
        }
        if self.unwritten_answers.is_empty() {
            let _ = stream.try_write(&self.output);
        }
        others
    }

    /// Fails and withdraws the open set-ups, and closes the connection once the responses are written.
    async fn fail_open_set_ups(&mut self) {
        for (call, set_up) in self.open_set_ups.take_all() {
            self.respond((500, "Server Internal Error"), &set_up.headers, &[], &[]);
            let withdrawn = Input::Withdrawn(self.server.id, Origin(self.number), call);
            self.server.send_to_core(withdrawn).await;
        }
        self.is_closing = true;
        self.last_used = Instant::now();
    }

    /// Parses and handles the complete messages in the input buffer, whose last bytes were read at `arrived`.
    fn handle_messages(&mut self, arrived: Micros, inputs: &mut Vec<Input>) {
        let mut input = std::mem::take(&mut self.input);
        let mut has_complete = false;
        while !self.is_closing {
            input.consume(sip::leading_line_breaks_len(input.unconsumed()));
            let bytes = match sip::parse(input.unconsumed()) {
                Ok(Some(message)) => {
                    has_complete = true;
                    self.received_request |=
                        matches!(message.start, StartLine::Request(method, _) if method != "ACK");
                    self.handle_message(&message, arrived, inputs);
                    message.bytes
                }
                Ok(None) => break,
                Err(Malformed::Request { headers, bytes }) => {
                    self.respond((400, "Bad Request"), &headers, &[], &[]);
                    self.is_closing = bytes == 0;
                    bytes
                }
                Err(Malformed::Unrecoverable) => {
                    self.is_closing = true;
                    0
                }
            };
            input.consume(bytes);
        }
        debug_assert!(self.is_closing || input.unconsumed().len() <= MAX_MESSAGE_BYTES);
        let since =
            self.partial_since.filter(|_| !has_complete || !self.received_request).unwrap_or(self.last_used);
        self.partial_since = (!input.unconsumed().is_empty() || !self.received_request).then_some(since);
        self.partial_is_overdue = false;
        self.input = input;
    }
}
