//! The link to one table hub: up to four connections, one task.
//!
//! Set-ups wait in a queue until their first byte can go out, so that they can be taken back; a hub
//! that stops reading blocks no other. What the link tells the core, it tells in the hub's order.

mod connection;
mod liveness;
mod messages;

use super::binary::{self, kind, Message};
use super::dial::dial;
use super::doors::{self, Door, Doors};
use super::owed::{Debt, Owed};
use crate::config::Limits;
use crate::core::{CallName, Cause, Clock, FromHub, Input, LinkId, SetUp, ToHub};
use crate::interface::Micros;
use crate::metrics;
use connection::{Connection, Outgoing};
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

/// Commands that may wait for a link; each call has a few at most.
pub const COMMAND_QUEUE_CAPACITY: usize = 65_536;
/// Connections to one hub at most,
const MAX_CONNECTIONS: usize = 4;
/// ... and as many as are kept up: what one of them loses, the other shows.
const TARGET_CONNECTIONS: usize = 2;
/// New connections that end unheard: the first two are dialled again at once, then this passes.
const RESET_REDIAL_DELAY: Duration = Duration::from_millis(100);
const MAX_IMMEDIATE_REDIALS: u32 = 2;
/// Before a set-up begins, the runtime's tasks have so many turns: one in which the fronts read what came to their
/// sockets, one in which the core hears of it, and one more if it looked at its clock in between. Danger: where the
/// processor is short, a hub that reads on is seen before the departure of a caller that came long before it.
const YIELDS_BEFORE_SET_UP: usize = 3;
/// Looks that took longer than this do not count, as the process may have been stopped or starved since the sockets
/// were polled,
const MAX_YIELD_TIME: Duration = Duration::from_millis(20);
/// ... and are repeated so often at most: a processor that is short for good does not hold set-ups up.
const MAX_YIELD_RETRIES: usize = 3;
/// One look takes in so much of a connection at most.
const MAX_READS_PER_WAKEUP: usize = 64;
/// A failed dial is followed by the next after this, then twice that, and so on,
const MIN_DIAL_BACKOFF: Duration = Duration::from_millis(100);
/// ... up to this.
const MAX_DIAL_BACKOFF: Duration = Duration::from_secs(1);
/// A hub that has calls and said nothing for this long is dialled, to see whether it is there.
const QUIET_TIMEOUT: Duration = Duration::from_secs(3);
/// Releases of calls that stand are looked for on a new connection, if the connection of their set-up has been
/// silent, or gone, and no other has come up for this long. A hub repeats on the next connection what it could not
/// tell, and within 8 s of its end a call must be released (PROTOCOL, 'The rules on sockets').
const CALL_CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection that owes answers and said nothing for this long gets another beside it.
const PENDING_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A spare connection with nothing on it is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// ... and after this where there are more hubs than descriptors for them.
const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often the link maintenance after its connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// A release that no connection could take is of no use after this.
const PARKED_RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// The link's state.
struct Link {
    id: LinkId,
    address: Option<SocketAddr>,
    limits: Limits,
    clock: Clock,
    connections: Vec<Connection>,
    dials: JoinSet<io::Result<(TcpStream, Door)>>,
    /// Set-ups that wait for a connection.
    waiting_set_ups: VecDeque<SetUp>,
    /// Releases that wait for one.
    parked_releases: VecDeque<(Instant, CallName, Cause)>,
    /// Calls that stand, with the connection of their set-up.
    standing_calls: HashMap<CallName, u64>,
    not_after: Option<Micros>,
    next_dial: Option<Instant>,
    liveness: Liveness,
    backoff: Duration,
    connections_opened: u64,
    /// When the latest connection came up: what the hub had to say by then, it said there.
    last_connected: Instant,
    /// New connections in a row that ended before anything was heard.
    unheard_connections: u32,
    /// When the latest set-up began that came to stand, on whichever connection.
    latest_answered_start: Option<Instant>,
    events: Vec<FromHub>,
    connection_budget: doors::Link,
    unsent_ends: Debt,
}

/// Starts a link's task; it ends at [`ToHub::Close`] or once the core is gone.
pub fn start(
    id: LinkId,
    endpoint: &str,
    limits: Limits,
    connection_budget: &Arc<Doors>,
    outstanding: &Owed,
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
        parked_releases: VecDeque::new(),
        standing_calls: HashMap::new(),
        not_after: None,
        next_dial: Some(Instant::now()),
        liveness: Liveness::new(Instant::now()),
        backoff: MIN_DIAL_BACKOFF,
        connections_opened: 0,
        last_connected: Instant::now(),
        unheard_connections: 0,
        latest_answered_start: None,
        events: Vec::new(),
        connection_budget: connection_budget.link(),
        unsent_ends: outstanding.debt(),
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
            self.write_connections();
            self.unsent_ends.set(
                self.parked_releases.len()
                    + self.connections.iter().map(Connection::unsent_ends).sum::<usize>(),
            );
            for event in self.events.drain(..) {
                if core.send(Input::Hub(self.id, event)).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Whether a set-up may begin at the next write.
    fn has_queued_set_up(&self) -> bool {
        let set_up = |out: &Outgoing| matches!(out, Outgoing::SetUp(_));
        self.connections.iter().any(|c| c.queue.iter().any(set_up))
    }

    /// Takes in all commands that wait; whether the link is closed. Danger: written one by one, a set-up whose
    /// give-up waits behind it would run for nobody.
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
            // The one that owes least: a connection that answers no more collects no further set-ups.
            ToHub::SetUp(set_up) => match self.connections.iter_mut().min_by_key(|c| c.load()) {
                Some(connection) => connection.queue.push_back(Outgoing::SetUp(set_up)),
                None => {
                    self.waiting_set_ups.push_back(set_up);
                    self.redial();
                }
            },
            ToHub::GiveUp(call, attempt) => self.give_up(call, attempt),
            ToHub::Release(call, cause) => {
                let connection_id = self.standing_calls.remove(&call);
                let matching = self.connections.iter().position(|c| Some(c.id) == connection_id);
                let index = matching.or(self.connections.len().checked_sub(1));
                match index.and_then(|i| self.connections.get_mut(i)) {
                    Some(connection) => connection.queue.push_back(Outgoing::Release(call, cause)),
                    None => {
                        self.parked_releases.push_back((Instant::now(), call, cause));
                        self.start_dial();
                    }
                }
            }
            ToHub::NotAfter(at) => self.not_after = at,
            // A call that crosses protocols carries no media.
            ToHub::Media(..) | ToHub::Close => {}
        }
    }

    /// Takes a set-up back that has not begun, else has the give-up written where it went.
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
            if connection.open_set_ups.get(&call).is_some_and(|b| b.attempt == attempt) {
                return connection.queue.push_back(Outgoing::GiveUp(call, attempt));
            }
        }
        // Answered or broken meanwhile. An answer that is on its way to the core stands at the hub.
        if self.standing_calls.contains_key(&call) {
            self.handle_command(ToHub::Release(call, Cause::NORMAL));
        }
        self.events.push(given_up(true));
    }

    /// Connections that are kept up: two, unless there are more hubs than descriptors. One where it is needed.
    fn target_connections(&self) -> usize {
        let needed = !self.waiting_set_ups.is_empty()
            || !self.parked_releases.is_empty()
            || !self.standing_calls.is_empty();
        self.connection_budget.keeps(TARGET_CONNECTIONS).max(usize::from(needed))
    }

    fn start_dial(&mut self) {
        if self.target_connections() == 0 {
            self.next_dial = None;
            return;
        }
        if self.dials.is_empty() && self.connections.len() < MAX_CONNECTIONS {
            self.next_dial = None;
            let (address, limit) = (self.address, self.limits.dial_timeout);
            let silent = self.is_quiet_with_calls(Instant::now());
            let permit = self
                .connection_budget
                .open(!self.waiting_set_ups.is_empty() || !self.parked_releases.is_empty() || silent);
            self.dials.spawn(async move {
                let address = address.ok_or(io::ErrorKind::InvalidInput)?;
                let permit = permit.await?;
                Ok((dial(address, limit).await?, permit))
            });
        }
    }

    /// Dials at once, unless the hub takes connections only to reset them.
    fn redial(&mut self) {
        match self.unheard_connections < MAX_IMMEDIATE_REDIALS {
            true => self.start_dial(),
            false => self.next_dial = self.next_dial.or(Some(Instant::now() + RESET_REDIAL_DELAY)),
        }
    }

    fn dial_finished(&mut self, result: io::Result<(TcpStream, Door)>) {
        let now = Instant::now();
        match result {
            Ok((stream, permit)) => {
                self.backoff = MIN_DIAL_BACKOFF;
                self.next_dial = None;
                if self.connections.len() >= self.target_connections().max(1)
                    && !self.answers_overdue(now)
                    && self.standing_calls.is_empty()
                {
                    // It was dialled to see whether it is there; it is. Danger: where calls stand, the hub repeats
                    // on it the releases that a silent connection swallowed.
                    return;
                }
                self.last_connected = now;
                self.liveness.record_connected(now);
                self.connections_opened += 1;
                metrics::HUB_DIALS.increment();
                let open = self.connections.len() + 1;
                tracing::debug!(link = self.id.0, connection = self.connections_opened, open, "up");
                let mut queue: VecDeque<Outgoing> = self
                    .parked_releases
                    .drain(..)
                    .map(|(_, call, cause)| Outgoing::Release(call, cause))
                    .collect();
                queue.extend(self.waiting_set_ups.drain(..).map(Outgoing::SetUp));
                self.connections.push(Connection::new(self.connections_opened, stream, queue, permit, now));
                self.close_silent(now, self.target_connections().max(1));
            }
            Err(error) => {
                // Danger: what a hub said before waits to be read as long as the dial's end, and shows it alive.
                self.read_all_connections();
                metrics::HUB_DIAL_FAILURES.increment();
                let (silent_ms, standing) =
                    (self.liveness.silence(now).as_millis() as u64, self.standing_calls.len());
                let (open, waiting) = (self.connections.len(), self.waiting_set_ups.len());
                tracing::debug!(link = self.id.0, %error, waiting, open, silent_ms, standing, "dial failed");
                let unreachable = |s: SetUp| FromHub::Unreachable(s.call, s.attempt);
                self.events.extend(self.waiting_set_ups.drain(..).map(unreachable));
                self.next_dial = Some(now + self.backoff);
                self.backoff = (self.backoff * 2).min(MAX_DIAL_BACKOFF);
                let open = !self.connections.is_empty();
                if open {
                    self.probe_open_connections(now, error.kind());
                }
                // Danger: a process that died takes its calls with it, and nobody else tells. A refused
                // connection proves that it is gone; a machine that vanished refuses nothing.
                if self.liveness.dial_failed(now, error.kind(), open)
                    && (open || !self.standing_calls.is_empty())
                {
                    self.declare_dead(now, &error.to_string());
                }
            }
        }
    }

    /// The hub is held to be dead. Danger: a hub that is only cut off still has what is open on its silent
    /// connections, and may run it once it is back. A set-up is over when its connection is closed, not
    /// before, and may have run.
    fn declare_dead(&mut self, now: Instant, why: &str) {
        metrics::HUBS_DEAD.increment();
        let silent_ms = self.liveness.silence(now).as_millis() as u64;
        let (open, standing) = (self.connections.len(), self.standing_calls.len());
        tracing::info!(link = self.id.0, why, silent_ms, open, standing, "hub declared dead");
        self.close_all();
        self.standing_calls.clear();
        self.liveness = Liveness::new(now);
        self.events.push(FromHub::Dead);
    }

    /// Holds the hub to be dead where calls stand there and it answers nothing.
    fn check_unresponsive(&mut self, now: Instant) {
        if self.standing_calls.is_empty() || !self.liveness.is_unresponsive(now) {
            return;
        }
        self.read_all_connections();
        if self.liveness.is_unresponsive(now) && !self.standing_calls.is_empty() {
            self.declare_dead(now, "unresponsive");
        }
    }

    /// Closes all connections and settles all set-ups: what has begun may have run, the rest never did.
    fn close_all(&mut self) {
        let mut never_begun: Vec<SetUp> = self.waiting_set_ups.drain(..).collect();
        for connection in std::mem::take(&mut self.connections) {
            let open = connection.open_set_ups.len();
            tracing::debug!(link = self.id.0, connection = connection.id, open, "closed");
            never_begun.extend(self.settle(connection).into_iter().filter_map(|out| match out {
                Outgoing::SetUp(set_up) => Some(set_up),
                _ => None,
            }));
        }
        self.events.extend(never_begun.into_iter().map(|s| FromHub::Unreachable(s.call, s.attempt)));
    }

    /// Set-ups are out, and all connections that have any have been silent for long.
    fn answers_overdue(&self, now: Instant) -> bool {
        let mut pending = self.connections.iter().filter(|c| !c.open_set_ups.is_empty()).peekable();
        pending.peek().is_some() && pending.all(|c| now - c.last_heard >= PENDING_ANSWER_TIMEOUT)
    }

    /// Whether a call stands whose release may have been swallowed. Danger: a connection that fell silent stays
    /// open, and the hub goes on telling there what concerns the calls that were set up on it.
    fn has_call_on_silent_connection(&self, now: Instant) -> bool {
        let heard_at = |id: &u64| {
            let connection = self.connections.iter().find(|connection| connection.id == *id);
            connection
                .map_or(self.last_connected, |connection| connection.last_heard.max(self.last_connected))
        };
        self.standing_calls.values().any(|id| now - heard_at(id) >= CALL_CONNECTION_TIMEOUT)
    }

    /// Asks whether the hub is there: dials, if need be in place of a connection that is silent and spare. Where all
    /// are open and none is spare, each has a set-up to which the hub owes an answer.
    fn probe(&mut self, now: Instant) {
        if self.connections.len() >= MAX_CONNECTIONS || self.connection_budget.full() {
            self.close_silent(now, 1);
        }
        if self.connections.len() >= MAX_CONNECTIONS {
            self.liveness.record_probe(now);
        }
        self.start_dial();
    }

    /// Asks on the connections that are open, where a new one is refused or there is no descriptor for it: a hub that
    /// drains may have closed its listener and go on with its calls, but it answers. Without leave to ask, a hub in
    /// service that refuses connections and says nothing owes a word all the same.
    fn probe_open_connections(&mut self, now: Instant, error: io::ErrorKind) {
        let refused = error == io::ErrorKind::ConnectionRefused;
        let may_conclude = refused || error == doors::NONE_LEFT;
        if !may_conclude || !self.is_quiet_with_calls(now) || self.liveness.is_probe_pending() {
            return;
        }
        if self.limits.may_probe {
            self.connections.iter_mut().for_each(|c| c.queue.push_back(Outgoing::Test));
        }
        if self.limits.may_probe || refused && self.not_after.is_none() {
            self.liveness.record_probe(now);
        }
    }

    /// Whether calls stand and nothing was heard for a while.
    fn is_quiet_with_calls(&self, now: Instant) -> bool {
        !self.standing_calls.is_empty() && self.liveness.silence(now) >= QUIET_TIMEOUT
    }

    /// Closes the connection that has been silent for longest, if there are more than `keep` and it owes nothing: calls
    /// that stand belong to no connection.
    fn close_silent(&mut self, now: Instant, keep: usize) {
        if self.connections.len() <= keep {
            return;
        }
        let silent = |c: &Connection| c.is_idle() && now - c.last_heard >= QUIET_TIMEOUT;
        let candidates = self.connections.iter().enumerate().filter(|(_, c)| silent(c));
        let longest_silent = candidates.min_by_key(|(_, c)| c.last_heard).map(|(index, _)| index);
        let Some(index) = longest_silent else { return };
        if self.read_available(index) {
            self.connection_lost(index);
        } else if self.connections.get(index).is_some_and(silent) {
            self.close_idle(index, "silent");
        }
    }

    /// Closes a connection on which nothing is out or waits.
    fn close_idle(&mut self, index: usize, why: &'static str) {
        let connection = self.connections.remove(index);
        let open = self.connections.len();
        tracing::debug!(link = self.id.0, connection = connection.id, why, open, "closed");
    }

    /// Danger: an answer that was spoilt, stopped short or never came leaves a connection that stays open
    /// and brings nothing more, not for its other set-ups nor for its calls that stand. It is closed, so
    /// that they are settled, and the hub says on the next one what it had to say.
    fn close_stalled(&mut self) {
        let now = Instant::now();
        while let Some(index) =
            self.connections.iter().position(|c| c.is_stalled(now, self.latest_answered_start))
        {
            // Danger: where the processor is short, what came long ago and the time limit are seen at the same
            // moment, and one connection is read before the other: the answer may wait to be read.
            let ended = self.read_available(index);
            let stalled = |c: &Connection| c.is_stalled(now, self.latest_answered_start);
            if ended || self.connections.get(index).is_some_and(stalled) {
                self.connection_lost(index);
            }
        }
    }

    /// Takes in what waits on any connection.
    fn read_all_connections(&mut self) {
        for index in (0..self.connections.len()).rev() {
            if self.read_available(index) {
                self.connection_lost(index);
            }
        }
    }

    /// Waits for no message: closes what is spare, opens a connection beside one that went silent.
    fn maintain(&mut self) {
        self.close_stalled();
        let now = Instant::now();
        if self.connections.len() < self.target_connections() && self.next_dial.is_none() {
            self.redial();
        }
        self.parked_releases.retain(|(since, ..)| now - *since < PARKED_RELEASE_TIMEOUT);
        self.check_unresponsive(now);
        // Danger: a machine that vanished or is cut off says nothing, and its connections stay open.
        let quiet = self.is_quiet_with_calls(now) && now - self.last_connected >= QUIET_TIMEOUT;
        if !self.connections.is_empty()
            && (quiet || self.answers_overdue(now) || self.has_call_on_silent_connection(now))
        {
            self.probe(now);
        }
        let excess = self.connections.len().saturating_sub(self.target_connections());
        // Danger: with more hubs than descriptors, what is idle here is missing elsewhere.
        let idle_limit = match (self.connection_budget.pressed(), self.connection_budget.full()) {
            (true, _) => Duration::ZERO,
            (false, true) => SCARCE_IDLE_TIMEOUT,
            (false, false) => IDLE_TIMEOUT,
        };
        let idle = |c: &Connection| c.is_idle() && now - c.last_heard >= idle_limit;
        if let Some(index) = self.connections.iter().position(idle).filter(|_| excess > 0) {
            // Danger: a release that came since, and waits to be read, would be lost with it.
            if self.read_available(index) {
                self.connection_lost(index);
            } else if self.connections.get(index).is_some_and(idle) {
                self.close_idle(index, "idle");
            }
        }
    }

    /// Takes in what the hub said on one connection.
    fn read_connection(&mut self, index: usize) {
        if self.read_available(index) {
            self.connection_lost(index);
        }
        self.close_stalled();
    }

    /// Takes in all that waits on a connection; whether it can be read no further.
    fn read_available(&mut self, index: usize) -> bool {
        for _ in 0..MAX_READS_PER_WAKEUP {
            let Some(connection) = self.connections.get_mut(index) else { return false };
            match connection.input.fill(&connection.stream) {
                Ok(count) if count > 0 => {
                    connection.last_heard = Instant::now();
                    self.liveness.record_heard(connection.last_heard);
                    self.unheard_connections = 0;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                Ok(_) | Err(_) => return true,
            }
            if !self.process_messages(index) {
                return true;
            }
        }
        false
    }

    /// Reads the messages that are there; whether they can be read on.
    fn process_messages(&mut self, index: usize) -> bool {
        let Some(connection) = self.connections.get_mut(index) else { return false };
        let (mut malformed, mut whole) = (false, false);
        let mut input = std::mem::take(&mut connection.input);
        loop {
            match binary::parse(input.held()) {
                Ok(Some(message)) => {
                    let bytes = message.bytes;
                    whole = true;
                    if self.is_release_for_other_connection(&message, index) {
                        self.release_on_other_connection(&message);
                    } else if !self.is_stale(&message, index) {
                        let Some(connection) = self.connections.get_mut(index) else { return false };
                        let begun =
                            handle_message(&message, connection, &mut self.standing_calls, &mut self.events);
                        self.latest_answered_start = self.latest_answered_start.max(begun);
                        connection.suspect_since = None;
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
        let since = connection.partial_since.filter(|_| !whole).unwrap_or(connection.last_heard);
        connection.partial_since = (!input.held().is_empty()).then_some(since);
        connection.input = input;
        !malformed
    }

    /// Whether it is the release, by cause 16, of a call whose set-up is out on another connection. It proves
    /// that the call stood at the hub by this attempt or by an earlier one, and that it is over.
    fn is_release_for_other_connection(&self, message: &Message, index: usize) -> bool {
        let is_release = message.kind == kind::RELEASE && message.cause() == Some(Cause::NORMAL.0);
        is_release
            && !self.standing_calls.contains_key(&CallName(message.call))
            && self.is_stale(message, index)
    }

    /// Ends the call, and gives up the attempt that is out on another connection, which may be a later one.
    fn release_on_other_connection(&mut self, message: &Message) {
        let call = CallName(message.call);
        tracing::debug!(%call, "release of a set-up on another connection");
        self.events.push(FromHub::ReleasedUnanswered(call, Cause::NORMAL, message.report()));
        let begun =
            self.connections.iter().find_map(|c| c.open_set_ups.get(&call)).map(|begun| begun.attempt);
        let queued = || self.queued_set_ups().find(|set_up| set_up.call == call).map(|set_up| set_up.attempt);
        if let Some(attempt) = begun.or_else(queued) {
            self.give_up(call, attempt);
        }
    }

    /// Set-ups of which no byte is out.
    fn queued_set_ups(&self) -> impl Iterator<Item = &SetUp> {
        let queued = self.connections.iter().flat_map(|connection| &connection.queue);
        let set_ups = queued.filter_map(|out| match out {
            Outgoing::SetUp(set_up) => Some(set_up),
            _ => None,
        });
        self.waiting_set_ups.iter().chain(set_ups)
    }

    /// Whether it is an answer or a refusal to an earlier set-up of a call that has been sent again on another
    /// connection. Danger: the wire names calls, not attempts. Taken for the answer that is awaited, it would
    /// tell the caller of a call that was given up; taken for a refusal, the call would go elsewhere while this
    /// attempt is out; released, it would end the attempt that is out.
    fn is_stale(&self, message: &Message, index: usize) -> bool {
        let call = CallName(message.call);
        let open_here = self.connections.get(index).is_some_and(|c| c.open_set_ups.contains_key(&call));
        let out = |out: &Outgoing| matches!(out, Outgoing::SetUp(s) if s.call == call);
        let has_later_attempt = |c: &Connection| {
            c.open_set_ups.contains_key(&call)
                || c.queue.iter().chain(c.staged.iter().map(|(_, o)| o)).any(out)
        };
        matches!(message.kind, kind::ANSWER | kind::RELEASE)
            && !open_here
            && (self.waiting_set_ups.iter().any(|s| s.call == call)
                || self.connections.iter().any(has_later_attempt))
    }

    /// A connection is gone: its set-ups alone are broken, and what had not begun goes on elsewhere.
    fn connection_lost(&mut self, index: usize) {
        let connection = self.connections.remove(index);
        metrics::HUB_CONNECTIONS_LOST.increment();
        let stalled = connection.is_stalled(Instant::now(), self.latest_answered_start);
        tracing::debug!(
            link = self.id.0,
            connection = connection.id,
            open = connection.open_set_ups.len(),
            spoilt = stalled,
            "lost"
        );
        // Danger: a hub that resets what it accepted would be dialled as fast as it can.
        self.unheard_connections += u32::from(connection.last_heard == connection.opened_at);
        let unwritten = self.settle(connection);
        self.redial();
        for out in unwritten {
            match out {
                Outgoing::SetUp(set_up) => self.handle_command(ToHub::SetUp(set_up)),
                Outgoing::Release(call, cause) => self.handle_command(ToHub::Release(call, cause)),
                // The set-up was broken just now.
                Outgoing::GiveUp(..) | Outgoing::ReleaseHeard(_) | Outgoing::Test => {}
            }
        }
    }

    /// Closes a connection: its set-ups are broken. What had not begun on it is given back.
    fn settle(&mut self, connection: Connection) -> Vec<Outgoing> {
        let Connection { open_set_ups, staged, queue, stream, .. } = connection;
        drop(stream);
        let mut begun: Vec<_> = open_set_ups.into_iter().collect();
        begun.sort_by_key(|(_, set_up)| set_up.started);
        let begun_attempts: Vec<u64> = begun.iter().map(|(_, set_up)| set_up.attempt).collect();
        self.events.extend(begun.into_iter().map(|(call, set_up)| FromHub::Broken(call, set_up.attempt)));
        let unwritten = staged.into_iter().map(|(_, out)| out).chain(queue);
        unwritten
            .filter(|out| !matches!(out, Outgoing::SetUp(s) if begun_attempts.contains(&s.attempt)))
            .collect()
    }

    fn write_connections(&mut self) {
        let now = self.clock.now();
        // From the last, as a connection that breaks is taken out.
        for index in (0..self.connections.len()).rev() {
            let Some(connection) = self.connections.get_mut(index) else { continue };
            if connection.write(now, self.not_after, &mut self.events).is_err() {
                // What the hub said before it closed is still there to be read.
                self.read_available(index);
                self.connection_lost(index);
                self.close_stalled();
            }
        }
    }
}

/// Lets the runtime poll the sockets and the core hear of what came, before a set-up begins. Looks during which more
/// than [`MAX_YIELD_TIME`] passed are repeated, [`MAX_YIELD_RETRIES`] times at most.
///
/// Two gaps remain. A stop between the last look at the clock and the write goes unseen; the time between them is that
/// of taking in the commands and composing the messages. And where each of the repeated maintenance takes that long, the
/// set-up begins after the last of them, though the departure may not have been heard.
async fn yield_for_departures() {
    for _ in 0..=MAX_YIELD_RETRIES {
        let begun = Instant::now();
        for _ in 0..YIELDS_BEFORE_SET_UP {
            tokio::task::yield_now().await;
        }
        if begun.elapsed() <= MAX_YIELD_TIME {
            return;
        }
    }
}

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
