//! The link to one table hub: one task that owns up to four TCP connections.
//!
//! Each link has its own task, so that a hub that stops reading delays no other hub. Set-ups are queued until the
//! first byte can be written, so that they can still be withdrawn. Events reach the core in the order in which the
//! hub sent the messages behind them.

mod closing;
mod connection;
mod dialling;
mod lifecycle;
mod liveness;
mod messages;

use super::binary::{self, kind, Message};
use super::connection_limit::{self, ConnectionLimit, ConnectionPermit};
use super::shared_count::{CountShare, SharedCount};
use crate::config::Limits;
use crate::core::{CallName, Cause, Clock, FromHub, Input, LinkId, SetUp, ToHub};
use crate::interface::Micros;
use crate::metrics;
use connection::{Connection, Outgoing};
use dialling::MIN_DIAL_BACKOFF;
use lifecycle::{EndReason, MESSAGE_TIMEOUT};
use liveness::Liveness;
use messages::handle_message;
use std::collections::{HashMap, VecDeque};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant};

/// Capacity of a link's command channel. Each call sends a few commands at most.
pub const COMMAND_QUEUE_CAPACITY: usize = 65_536;
/// Maximum number of connections to one hub that are open for writing.
const MAX_CONNECTIONS: usize = 4;
/// Number of times that the link yields to the runtime before a set-up begins: once for the fronts to read their
/// sockets, once for the core to process what they read, and once more in case the core checks its clock in between.
/// Without the yields, on a machine short of CPU time, the link would see that the hub is reading again before it
/// learns that the caller left long before.
const YIELDS_BEFORE_SET_UP: usize = 3;
/// Longest time that the yields before a set-up may take. If they take longer, the process may have been stopped or
/// starved after the sockets were polled, and the yields are repeated.
const MAX_YIELD_TIME: Duration = Duration::from_millis(20);
/// Maximum number of repetitions of the yields before a set-up, so that a permanent shortage of CPU time does not
/// block set-ups.
const MAX_YIELD_RETRIES: usize = 3;
/// Maximum number of reads from one connection before the link turns to its other work.
const MAX_READS_PER_WAKEUP: usize = 64;
/// Silence after which a hub with standing calls is dialled to check that it is alive, and after which an idle connection
/// may be closed in favour of a new one.
const QUIET_TIMEOUT: Duration = Duration::from_secs(3);
/// A new connection is opened if, for this long, nothing was received on the connection that a standing call was set
/// up on, or that connection is gone, and no other connection has been opened. A hub repeats on the next connection
/// the releases that it could not deliver, and a call must be released within 8 s of its end.
const CALL_CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Silence after which a connection with unanswered set-ups gets another one beside it.
const PENDING_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a surplus idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a surplus idle connection is closed if there are more hubs than file descriptors for them.
const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the checks for stalled, missing, silent and idle connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Age up to which a release that waits for a connection is a reason to dial ahead of other hubs, and to delay a
/// shutdown. An older one is sent on the next connection that opens for any reason.
const URGENT_RELEASE_AGE: Duration = Duration::from_secs(10);
/// Number of unsent messages from which on releases of unknown calls are dropped.
const MAX_UNSENT_FOR_UNKNOWN_RELEASE: usize = 1024;
/// Maximum number of releases that wait for a connection.
const MAX_WAITING_RELEASES: usize = 8192;

/// State of a link's task.
struct Link {
    id: LinkId,
    address: Option<SocketAddr>,
    limits: Limits,
    clock: Clock,
    connections: Vec<Connection>,
    dials: JoinSet<io::Result<(TcpStream, ConnectionPermit)>>,
    /// Set-ups that no connection takes, until another one is opened or back in service.
    waiting_set_ups: VecDeque<SetUp>,
    /// Releases received while no connection is open, with the time of their arrival, the oldest first.
    waiting_releases: VecDeque<(Instant, CallName, Cause)>,
    /// Calls that stand, each with the id of the connection it was set up on.
    standing_calls: HashMap<CallName, u64>,
    /// No set-up may begin from this time on; set while the hub drains.
    set_up_cutoff: Option<Micros>,
    next_dial: Option<Instant>,
    liveness: Liveness,
    backoff: Duration,
    /// Number of connections opened so far; the id of the latest one.
    connections_opened: u64,
    /// When the latest connection was opened. The hub has repeated on it what it could not deliver before.
    last_connected: Instant,
    /// Number of consecutive connections that ended before a byte was received.
    resets_in_a_row: u32,
    /// The latest start among all set-ups that have been answered, on any connection.
    latest_answered_start: Option<Instant>,
    /// Events for the core, sent at the end of each pass of the loop.
    events: Vec<FromHub>,
    connection_limit: connection_limit::LinkHandle,
    /// Number of give-ups and releases that are not written yet; the program waits for them before it exits.
    unsent_ends: CountShare,
}

/// Starts a link's task and returns its command channel. The task ends on [`ToHub::Close`], or once the core
/// has dropped its end of either channel.
pub fn start(
    id: LinkId,
    endpoint: &str,
    limits: Limits,
    connection_limit: &Arc<ConnectionLimit>,
    outstanding: &SharedCount,
    clock: Clock,
    core: mpsc::Sender<Input>,
) -> mpsc::Sender<ToHub> {
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let link = Link {
        id,
        address: endpoint.parse().ok(),
        limits,
        clock,
        connections: Vec::new(),
        dials: JoinSet::new(),
        waiting_set_ups: VecDeque::new(),
        waiting_releases: VecDeque::new(),
        standing_calls: HashMap::new(),
        set_up_cutoff: None,
        next_dial: Some(Instant::now()),
        liveness: Liveness::new(Instant::now()),
        backoff: MIN_DIAL_BACKOFF,
        connections_opened: 0,
        last_connected: Instant::now(),
        resets_in_a_row: 0,
        latest_answered_start: None,
        events: Vec::new(),
        connection_limit: connection_limit.register_link(),
        unsent_ends: outstanding.share(),
    };
    tokio::spawn(link.run(commands, core));
    sender
}

impl Link {
    async fn run(mut self, mut commands: mpsc::Receiver<ToHub>, core: mpsc::Sender<Input>) {
        let mut maintenance = tokio::time::interval(MAINTENANCE_INTERVAL);
        let mut closed = false;
        while !closed {
            let next_dial = self.next_dial;
            tokio::select! {
                command = commands.recv() => match command {
                    None | Some(ToHub::Close) => {
                        self.close_all();
                        self.events.push(FromHub::Closed);
                        closed = true;
                    }
                    Some(command) => {
                        self.handle_command(command);
                        closed = self.drain_commands(&mut commands);
                    }
                },
                Some(result) = self.dials.join_next() => {
                    let result = result.unwrap_or_else(|e| Err(io::Error::other(e)));
                    self.dial_finished(result);
                }
                _ = tokio::time::sleep_until(next_dial.unwrap_or_else(Instant::now)), if next_dial.is_some() => {
                    self.start_dial();
                }
                _ = maintenance.tick() => self.maintain(),
                index = poll_fn(|cx| poll_connections(&self.connections, cx)) => self.read_connection(index),
            }
            if !closed && self.has_queued_set_up() {
                yield_for_departures().await;
                closed = self.drain_commands(&mut commands);
            }
            self.settle_unserved_set_ups();
            self.write_connections();
            self.unsent_ends.set(
                self.urgent_releases(Instant::now())
                    + self.connections.iter().map(Connection::unsent_ends).sum::<usize>(),
            );
            for event in self.events.drain(..) {
                if core.send(Input::Hub(self.id, event)).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Whether a set-up is queued on a connection and may begin at the next write.
    fn has_queued_set_up(&self) -> bool {
        let is_set_up = |outgoing: &Outgoing| matches!(outgoing, Outgoing::SetUp(_));
        self.connections.iter().any(|c| c.queue.iter().any(is_set_up))
    }

    /// Handles all queued commands; returns whether the link is closed. Handling them before the next write prevents
    /// a set-up from reaching the hub while its give-up is already queued behind it.
    fn drain_commands(&mut self, commands: &mut mpsc::Receiver<ToHub>) -> bool {
        while let Ok(command) = commands.try_recv() {
            if matches!(command, ToHub::Close) {
                self.close_all();
                self.events.push(FromHub::Closed);
                return true;
            }
            self.handle_command(command);
        }
        false
    }

    fn handle_command(&mut self, command: ToHub) {
        match command {
            // The least loaded connection, so that one that has stopped answering collects no further set-ups.
            ToHub::SetUp(set_up) => {
                let suitable = self.connections.iter_mut().filter(|c| c.takes_set_up(set_up.call));
                match suitable.min_by_key(|c| c.load()) {
                    Some(connection) => connection.queue.push_back(Outgoing::SetUp(set_up)),
                    None => {
                        self.waiting_set_ups.push_back(set_up);
                        self.redial();
                    }
                }
            }
            ToHub::GiveUp(call, attempt) => self.give_up(call, attempt),
            ToHub::Release(call, cause) => {
                let connection_id = self.standing_calls.remove(&call);
                let is_open = |c: &Connection| !c.lifecycle.is_half_closed();
                let matching =
                    self.connections.iter().position(|c| is_open(c) && Some(c.id) == connection_id);
                let index = matching.or_else(|| self.connections.iter().rposition(is_open));
                match index.and_then(|i| self.connections.get_mut(i)) {
                    Some(connection) => connection.queue.push_back(Outgoing::Release(call, cause)),
                    None => {
                        self.add_waiting_release(call, cause);
                        self.start_dial();
                    }
                }
            }
            // At the limits it is dropped: callers can send any number of these, and a hub may not read.
            ToHub::ReleaseUnknown(call, cause) => {
                if self.unsent_messages() < MAX_UNSENT_FOR_UNKNOWN_RELEASE {
                    self.handle_command(ToHub::Release(call, cause));
                } else {
                    metrics::UNKNOWN_RELEASES_DROPPED.increment();
                }
            }
            ToHub::SetUpCutoff(at) => self.set_up_cutoff = at,
            // Calls between different protocols carry no media.
            ToHub::Media(..) | ToHub::Close => {}
        }
    }

    /// Number of releases that wait for a connection and messages that wait to be written.
    fn unsent_messages(&self) -> usize {
        self.waiting_releases.len() + self.connections.iter().map(|c| c.queue.len()).sum::<usize>()
    }

    /// Withdraws a set-up that has not begun; otherwise queues a give-up on the connection that it was written to.
    fn give_up(&mut self, call: CallName, attempt: u64) {
        let given_up = |began| FromHub::GivenUp { attempt, call, began };
        if let Some(at) = self.waiting_set_ups.iter().position(|s| s.attempt == attempt) {
            self.waiting_set_ups.remove(at);
            return self.events.push(given_up(false));
        }
        for connection in &mut self.connections {
            let queued = |c: &Outgoing| matches!(c, Outgoing::SetUp(s) if s.attempt == attempt);
            if let Some(at) = connection.queue.iter().position(queued) {
                connection.queue.remove(at);
                return self.events.push(given_up(false));
            }
            if connection.open_set_ups.get(&call).is_some_and(|set_up| set_up.attempt == attempt) {
                return connection.queue.push_back(Outgoing::GiveUp(call, attempt));
            }
        }
        // Answered or broken in the meantime. If the answer is on its way to the core, the call stands at the hub.
        if self.standing_calls.contains_key(&call) {
            self.handle_command(ToHub::Release(call, Cause::NORMAL));
        }
        self.events.push(given_up(true));
    }

    /// Keeps a release until a connection opens. A hub that is only cut off still has the call then.
    fn add_waiting_release(&mut self, call: CallName, cause: Cause) {
        if self.waiting_releases.len() >= MAX_WAITING_RELEASES {
            if let Some((_, call, _)) = self.waiting_releases.pop_front() {
                tracing::warn!(link = self.id.0, %call, "release to the hub lost: too many wait");
            }
        }
        self.waiting_releases.push_back((Instant::now(), call, cause));
    }

    /// Number of waiting releases that are not older than [`URGENT_RELEASE_AGE`].
    fn urgent_releases(&self, now: Instant) -> usize {
        let is_urgent = |(since, ..): &&(Instant, CallName, Cause)| now - *since < URGENT_RELEASE_AGE;
        self.waiting_releases.iter().rev().take_while(is_urgent).count()
    }

    /// The connections that are open for writing, in the order in which they were opened.
    fn open_connections_mut(&mut self) -> impl Iterator<Item = &mut Connection> {
        self.connections.iter_mut().filter(|c| !c.lifecycle.is_half_closed())
    }

    /// Number of connections that are open for writing.
    fn open_connections(&self) -> usize {
        self.connections.iter().filter(|c| !c.lifecycle.is_half_closed()).count()
    }

    /// Number of connections that take set-ups.
    fn connections_in_service(&self) -> usize {
        self.connections.iter().filter(|c| c.lifecycle.is_in_service()).count()
    }

    /// Declares the hub dead if it has standing calls and leaves probes unanswered.
    fn check_unresponsive(&mut self, now: Instant) {
        if self.standing_calls.is_empty() || !self.liveness.is_unresponsive(now) {
            return;
        }
        self.read_all_connections();
        if self.liveness.is_unresponsive(now) && !self.standing_calls.is_empty() {
            self.declare_dead(now, "unresponsive");
        }
    }

    /// Whether set-ups are unanswered and every connection that has any was silent for [`PENDING_ANSWER_TIMEOUT`].
    fn answers_overdue(&self, now: Instant) -> bool {
        let mut pending = self.connections.iter().filter(|c| !c.open_set_ups.is_empty()).peekable();
        pending.peek().is_some() && pending.all(|c| now - c.last_heard >= PENDING_ANSWER_TIMEOUT)
    }

    /// Whether the release of a standing call may have been lost. A connection that fell silent can stay open, and the
    /// hub goes on sending there the messages of the calls that were set up on it.
    fn has_call_on_silent_connection(&self, now: Instant) -> bool {
        let heard_at = |id: &u64| {
            let is_open = |c: &&Connection| c.id == *id && !c.lifecycle.is_half_closed();
            let connection = self.connections.iter().find(is_open);
            connection
                .map_or(self.last_connected, |connection| connection.last_heard.max(self.last_connected))
        };
        self.standing_calls.values().any(|id| now - heard_at(id) >= CALL_CONNECTION_TIMEOUT)
    }

    /// Whether calls stand and nothing was received on any connection for [`QUIET_TIMEOUT`].
    fn is_quiet_with_calls(&self, now: Instant) -> bool {
        !self.standing_calls.is_empty() && self.liveness.silence(now) >= QUIET_TIMEOUT
    }

    /// Reports the waiting set-ups as unreachable if no connection takes them and no further one may be opened. If every
    /// connection is suspended, this waits until [`MESSAGE_TIMEOUT`] after the last one was.
    fn settle_unserved_set_ups(&mut self) {
        if self.waiting_set_ups.is_empty() || self.open_connections() < MAX_CONNECTIONS {
            return;
        }
        let open = self.connections.iter().filter(|c| !c.lifecycle.is_half_closed());
        let suspended: Option<Vec<Instant>> = open.map(|c| c.lifecycle.suspended_since()).collect();
        let latest = suspended.and_then(|since| since.into_iter().max());
        if latest.is_none_or(|since| since.elapsed() >= MESSAGE_TIMEOUT) {
            self.report_waiting_unreachable();
        }
    }

    /// Reports that the waiting set-ups could not be sent.
    fn report_waiting_unreachable(&mut self) {
        let unreachable = |s: SetUp| FromHub::Unreachable(s.call, s.attempt);
        self.events.extend(self.waiting_set_ups.drain(..).map(unreachable));
    }

    /// Reads and handles all that is available on every connection.
    fn read_all_connections(&mut self) {
        for index in (0..self.connections.len()).rev() {
            if let Err(reason) = self.read_available(index) {
                self.connection_lost(index, reason);
            }
        }
    }

    /// Periodic checks: suspends and closes connections, dials missing ones, and probes a silent hub.
    fn maintain(&mut self) {
        self.judge_connections();
        self.free_descriptors();
        let now = Instant::now();
        if self.connections_in_service() < self.target_connections() && self.next_dial.is_none() {
            self.redial();
        }
        self.check_unresponsive(now);
        // A machine that failed or is cut off sends nothing, and its connections stay open.
        let quiet = self.is_quiet_with_calls(now) && now - self.last_connected >= QUIET_TIMEOUT;
        if self.open_connections() > 0
            && (quiet || self.answers_overdue(now) || self.has_call_on_silent_connection(now))
        {
            self.probe(now);
        }
        let excess = self.connections_in_service().saturating_sub(self.target_connections());
        // With more hubs than file descriptors, an idle connection here takes the place of one needed elsewhere.
        let idle_limit = match (self.connection_limit.has_waiters(), self.connection_limit.is_exhausted()) {
            (true, _) => Duration::ZERO,
            (false, true) => SCARCE_IDLE_TIMEOUT,
            (false, false) => IDLE_TIMEOUT,
        };
        let idle =
            |c: &Connection| c.lifecycle.is_in_service() && c.is_idle() && now - c.last_heard >= idle_limit;
        if let Some(index) = self.connections.iter().position(idle).filter(|_| excess > 0) {
            // A release that is still unread would be lost with the connection, so it is read first.
            if let Err(reason) = self.read_available(index) {
                self.connection_lost(index, reason);
            } else if self.connections.get(index).is_some_and(idle) {
                self.close_idle(index, EndReason::Idle);
            }
        }
    }

    /// Reads one connection after a wake-up, then judges all by what this shows.
    fn read_connection(&mut self, index: usize) {
        if let Err(reason) = self.read_available(index) {
            self.connection_lost(index, reason);
        }
        self.judge_connections();
    }

    /// Reads and handles what is available on a connection; fails if the connection has ended.
    fn read_available(&mut self, index: usize) -> Result<(), EndReason> {
        for _ in 0..MAX_READS_PER_WAKEUP {
            let Some(connection) = self.connections.get_mut(index) else { return Ok(()) };
            match connection.input.fill(&connection.stream) {
                Ok(count) if count > 0 => {
                    connection.last_heard = Instant::now();
                    connection.lifecycle.record_bytes(count);
                    self.liveness.record_heard(connection.last_heard);
                    self.resets_in_a_row = 0;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Ok(_) => return Err(EndReason::ClosedByHub),
                Err(_) => return Err(EndReason::Broken),
            }
            if !self.process_messages(index) {
                return Err(EndReason::MalformedMessage);
            }
        }
        Ok(())
    }

    /// Handles all complete messages in the input buffer; returns `false` if the input is malformed.
    fn process_messages(&mut self, index: usize) -> bool {
        let Some(connection) = self.connections.get_mut(index) else { return false };
        let (mut malformed, mut whole) = (false, false);
        let mut input = std::mem::take(&mut connection.input);
        loop {
            match binary::parse(input.unconsumed()) {
                Ok(Some(message)) => {
                    let bytes = message.bytes;
                    whole = true;
                    if self.is_release_for_other_connection(&message, index) {
                        self.release_on_other_connection(&message);
                    } else if !self.is_stale(&message, index) {
                        let Some(connection) = self.connections.get_mut(index) else { return false };
                        let answered_start =
                            handle_message(&message, connection, &mut self.standing_calls, &mut self.events);
                        self.latest_answered_start = self.latest_answered_start.max(answered_start);
                        connection.lifecycle.record_message();
                    }
                    input.consume(bytes);
                }
                Ok(None) => break,
                Err(binary::MalformedMessage) => {
                    malformed = true;
                    break;
                }
            }
        }
        let Some(connection) = self.connections.get_mut(index) else { return false };
        let incomplete = !input.unconsumed().is_empty();
        connection.input = input;
        if connection.lifecycle.record_input(connection.last_heard, whole, incomplete) {
            tracing::debug!(link = self.id.0, connection = connection.id, "connection back in service");
            for set_up in std::mem::take(&mut self.waiting_set_ups) {
                self.handle_command(ToHub::SetUp(set_up));
            }
        }
        !malformed
    }

    /// Whether the message is a release with cause 16 of a call whose set-up is on another connection. It proves that
    /// the call stood at the hub by this attempt or an earlier one, and that it has ended.
    fn is_release_for_other_connection(&self, message: &Message, index: usize) -> bool {
        let is_release = message.kind == kind::RELEASE && message.cause() == Some(Cause::NORMAL.0);
        is_release
            && !self.standing_calls.contains_key(&CallName(message.call))
            && self.is_stale(message, index)
    }

    /// Reports the end of the call and gives up its attempt on the other connection, which may be a later one.
    fn release_on_other_connection(&mut self, message: &Message) {
        let call = CallName(message.call);
        tracing::debug!(%call, "release for a set-up on another connection");
        self.events.push(FromHub::ReleasedUnanswered(call, Cause::NORMAL, message.report()));
        let open =
            self.connections.iter().find_map(|c| c.open_set_ups.get(&call)).map(|set_up| set_up.attempt);
        let queued = || self.queued_set_ups().find(|set_up| set_up.call == call).map(|set_up| set_up.attempt);
        if let Some(attempt) = open.or_else(queued) {
            self.give_up(call, attempt);
        }
    }

    /// Set-ups of which no byte has been written.
    fn queued_set_ups(&self) -> impl Iterator<Item = &SetUp> {
        let queued = self.connections.iter().flat_map(|connection| &connection.queue);
        let set_ups = queued.filter_map(|outgoing| match outgoing {
            Outgoing::SetUp(set_up) => Some(set_up),
            _ => None,
        });
        self.waiting_set_ups.iter().chain(set_ups)
    }

    /// Whether the message answers or refuses an earlier set-up of a call that has since been sent on another
    /// connection. Messages identify calls, not attempts. If a stale answer were matched to the current attempt, the
    /// caller would be connected to a call that was given up; if a stale refusal were, the call would be sent to
    /// another hub while this attempt is still open; and a release sent in reply would end the current attempt.
    fn is_stale(&self, message: &Message, index: usize) -> bool {
        let call = CallName(message.call);
        let open_here = self.connections.get(index).is_some_and(|c| c.open_set_ups.contains_key(&call));
        let is_for_call = |outgoing: &Outgoing| matches!(outgoing, Outgoing::SetUp(s) if s.call == call);
        let has_later_attempt = |c: &Connection| {
            c.open_set_ups.contains_key(&call)
                || c.queue.iter().chain(c.staged.iter().map(|(_, outgoing)| outgoing)).any(is_for_call)
        };
        matches!(message.kind, kind::ANSWER | kind::RELEASE)
            && !open_here
            && (self.waiting_set_ups.iter().any(|s| s.call == call)
                || self.connections.iter().any(has_later_attempt))
    }

    /// Writes what each connection has queued, as far as the sockets take it.
    fn write_connections(&mut self) {
        let now = self.clock.now();
        // In reverse order, as a connection that breaks is removed from the list.
        for index in (0..self.connections.len()).rev() {
            let Some(connection) = self.connections.get_mut(index) else { continue };
            if connection.write(now, self.set_up_cutoff, &mut self.events).is_err() {
                // Messages that the hub sent before it closed the connection can still be read.
                let reason = self.read_available(index).err().unwrap_or(EndReason::Broken);
                self.connection_lost(index, reason);
                self.judge_connections();
            }
        }
    }
}

/// Yields to the runtime before a set-up begins, so that the sockets are polled and the core learns of callers that
/// have left. If the yields take longer than [`MAX_YIELD_TIME`], they are repeated up to [`MAX_YIELD_RETRIES`] times.
///
/// Two gaps remain. A stop of the process between the last reading of the clock and the write goes unnoticed; that is
/// the time in which commands are handled and messages encoded. And if every repetition takes too long, the set-up
/// begins after the last one although a departure may still be unread.
async fn yield_for_departures() {
    for _ in 0..=MAX_YIELD_RETRIES {
        let start = Instant::now();
        for _ in 0..YIELDS_BEFORE_SET_UP {
            tokio::task::yield_now().await;
        }
        if start.elapsed() <= MAX_YIELD_TIME {
            return;
        }
    }
}

/// Returns the index of the first connection that can be read, or written if it has output.
fn poll_connections(connections: &[Connection], cx: &mut Context<'_>) -> Poll<usize> {
    for (index, connection) in connections.iter().enumerate() {
        let readable = connection.stream.poll_read_ready(cx).is_ready();
        let writes = !connection.output.is_empty() && connection.stream.poll_write_ready(cx).is_ready();
        if readable || writes {
            return Poll::Ready(index);
        }
    }
    Poll::Pending
}
