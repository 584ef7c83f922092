//! The link to one table hub: up to four connections, one task.
//!
//! Set-ups wait in a queue until their first byte can go out, so that they can be taken back; a hub
//! that stops reading blocks no other. What the link tells the core, it tells in the hub's order.

mod connection;
mod liveness;
mod messages;

use super::binary::{self, kind, Message};
use super::connection_limit::{self, ConnectionLimit, ConnectionPermit};
use super::dial::dial;
use super::shared_count::{CountShare, SharedCount};
use crate::config::Limits;
use crate::core::{CallName, Cause, Clock, FromHub, Input, LinkId, SetUp, ToHub};
use crate::interface::Micros;
use crate::metrics;
use connection::{Connection, Out};
use liveness::Liveness;
use messages::take;
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
pub const COMMANDS: usize = 65_536;
/// Connections to one hub at most,
const CONNECTIONS: usize = 4;
/// ... and as many as are kept up: what one of them loses, the other shows.
const WANTED: usize = 2;
/// New connections that end unheard: the first two are dialled again at once, then this passes.
const RESET_PAUSE: Duration = Duration::from_millis(100);
const RESETS: u32 = 2;
/// Before a set-up begins, the runtime's tasks have so many turns: one in which the fronts read what came to their
/// sockets, one in which the core hears of it, and one more if it looked at its clock in between. Danger: where the
/// processor is short, a hub that reads on is seen before the departure of a caller that came long before it.
const LOOKS_BEFORE: usize = 3;
/// Looks that took longer than this do not count, as the process may have been stopped or starved since the sockets
/// were polled,
const LOOKS_FRESH: Duration = Duration::from_millis(20);
/// ... and are repeated so often at most: a processor that is short for good does not hold set-ups up.
const LOOKS_REPEATED: usize = 3;
/// One look takes in so much of a connection at most.
const FILLS_EACH: usize = 64;
/// A failed dial is followed by the next after this, then twice that, and so on,
const BACKOFF: Duration = Duration::from_millis(100);
/// ... up to this.
const BACKOFF_MOST: Duration = Duration::from_secs(1);
/// A hub that has calls and said nothing for this long is dialled, to see whether it is there.
const QUIET: Duration = Duration::from_secs(3);
/// Releases of calls that stand are looked for on a new connection, if the connection of their set-up has been
/// silent, or gone, and no other has come up for this long. A hub repeats on the next connection what it could not
/// tell, and within 8 s of its end a call must be released (PROTOCOL, 'The rules on sockets').
const CARRIER_SILENT: Duration = Duration::from_secs(4);
/// A connection that owes answers and said nothing for this long gets another beside it.
const SILENT: Duration = Duration::from_millis(2_500);
/// A spare connection with nothing on it is closed after this.
const SPARE_IDLE: Duration = Duration::from_secs(20);
/// ... and after this where there are more hubs than descriptors for them.
const SCARCE_IDLE: Duration = Duration::from_secs(2);
/// How often the link looks after its connections.
const LOOK: Duration = Duration::from_millis(100);
/// A release that no connection could take is of no use after this.
const RELEASE_KEPT: Duration = Duration::from_secs(10);

/// The link's state.
struct Link {
    id: LinkId,
    address: Option<SocketAddr>,
    limits: Limits,
    clock: Clock,
    connections: Vec<Connection>,
    dials: JoinSet<io::Result<(TcpStream, ConnectionPermit)>>,
    /// Set-ups that wait for a connection.
    waiting: VecDeque<SetUp>,
    /// Releases that wait for one.
    parked: VecDeque<(Instant, CallName, Cause)>,
    /// Calls that stand, with the connection of their set-up.
    standing: HashMap<CallName, u64>,
    not_after: Option<Micros>,
    next_dial: Option<Instant>,
    liveness: Liveness,
    backoff: Duration,
    dialled: u64,
    /// When the latest connection came up: what the hub had to say by then, it said there.
    last_up: Instant,
    /// New connections in a row that ended before anything was heard.
    resets: u32,
    /// When the latest set-up began that came to stand, on whichever connection.
    answered_begun: Option<Instant>,
    news: Vec<FromHub>,
    doors: connection_limit::LinkHandle,
    debt: CountShare,
}

/// Starts a link's task; it ends at [`ToHub::Close`] or once the core is gone.
pub fn start(
    id: LinkId,
    endpoint: &str,
    limits: Limits,
    doors: &Arc<ConnectionLimit>,
    owed: &SharedCount,
    clock: Clock,
    core: mpsc::Sender<Input>,
) -> mpsc::Sender<ToHub> {
    let (sender, commands) = mpsc::channel(COMMANDS);
    let link = Link {
        id,
        address: endpoint.parse().ok(),
        limits,
        clock,
        connections: Vec::new(),
        dials: JoinSet::new(),
        waiting: VecDeque::new(),
        parked: VecDeque::new(),
        standing: HashMap::new(),
        not_after: None,
        next_dial: Some(Instant::now()),
        liveness: Liveness::new(Instant::now()),
        backoff: BACKOFF,
        dialled: 0,
        last_up: Instant::now(),
        resets: 0,
        answered_begun: None,
        news: Vec::new(),
        doors: doors.register_link(),
        debt: owed.share(),
    };
    tokio::spawn(link.run(commands, core));
    sender
}

impl Link {
    async fn run(mut self, mut commands: mpsc::Receiver<ToHub>, core: mpsc::Sender<Input>) {
        let mut looks = tokio::time::interval(LOOK);
        let mut closed = false;
        while !closed {
            let next_dial = self.next_dial;
            tokio::select! {
                command = commands.recv() => match command {
                    None | Some(ToHub::Close) => {
                        self.close_all();
                        self.news.push(FromHub::Closed);
                        closed = true;
                    }
                    Some(command) => {
                        self.command(command);
                        closed = self.commands(&mut commands);
                    }
                },
                Some(dialled) = self.dials.join_next() => {
                    let dialled = dialled.unwrap_or_else(|e| Err(io::Error::other(e)));
                    self.dialled(dialled);
                }
                _ = tokio::time::sleep_until(next_dial.unwrap_or_else(Instant::now)), if next_dial.is_some() => {
                    self.dial();
                }
                _ = looks.tick() => self.look(),
                index = poll_fn(|cx| poll_connections(&self.connections, cx)) => self.read(index),
            }
            if !closed && self.may_begin() {
                let_departures_in().await;
                closed = self.commands(&mut commands);
            }
            self.write();
            self.debt.set(self.parked.len() + self.connections.iter().map(Connection::owes).sum::<usize>());
            for news in self.news.drain(..) {
                if core.send(Input::Hub(self.id, news)).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Whether a set-up may begin at the next write.
    fn may_begin(&self) -> bool {
        let set_up = |out: &Out| matches!(out, Out::SetUp(_));
        self.connections.iter().any(|c| c.queue.iter().any(set_up))
    }

    /// Takes in all commands that wait; whether the link is closed. Danger: written one by one, a set-up whose
    /// give-up waits behind it would run for nobody.
    fn commands(&mut self, commands: &mut mpsc::Receiver<ToHub>) -> bool {
        while let Ok(command) = commands.try_recv() {
            if matches!(command, ToHub::Close) {
                self.close_all();
                self.news.push(FromHub::Closed);
                return true;
            }
            self.command(command);
        }
        false
    }

    fn command(&mut self, command: ToHub) {
        match command {
            // The one that owes least: a connection that answers no more collects no further set-ups.
            ToHub::SetUp(set_up) => match self.connections.iter_mut().min_by_key(|c| c.load()) {
                Some(connection) => connection.queue.push_back(Out::SetUp(set_up)),
                None => {
                    self.waiting.push_back(set_up);
                    self.redial();
                }
            },
            ToHub::GiveUp(call, attempt) => self.give_up(call, attempt),
            ToHub::Release(call, cause) => {
                let owner = self.standing.remove(&call);
                let own = self.connections.iter().position(|c| Some(c.id) == owner);
                let index = own.or(self.connections.len().checked_sub(1));
                match index.and_then(|i| self.connections.get_mut(i)) {
                    Some(connection) => connection.queue.push_back(Out::Release(call, cause)),
                    None => {
                        self.parked.push_back((Instant::now(), call, cause));
                        self.dial();
                    }
                }
            }
            ToHub::SetUpCutoff(at) => self.not_after = at,
            // A call that crosses protocols carries no media.
            ToHub::Media(..) | ToHub::Close => {}
        }
    }

    /// Takes a set-up back that has not begun, else has the give-up written where it went.
    fn give_up(&mut self, call: CallName, attempt: u64) {
        let began = |began| FromHub::GivenUp { attempt, call, began };
        if let Some(at) = self.waiting.iter().position(|s| s.attempt == attempt) {
            self.waiting.remove(at);
            return self.news.push(began(false));
        }
        for connection in &mut self.connections {
            let queued = |c: &Out| matches!(c, Out::SetUp(s) if s.attempt == attempt);
            if let Some(at) = connection.queue.iter().position(queued) {
                connection.queue.remove(at);
                return self.news.push(began(false));
            }
            if connection.open.get(&call).is_some_and(|b| b.attempt == attempt) {
                return connection.queue.push_back(Out::GiveUp(call, attempt));
            }
        }
        // Answered or broken meanwhile. An answer that is on its way to the core stands at the hub.
        if self.standing.contains_key(&call) {
            self.command(ToHub::Release(call, Cause::NORMAL));
        }
        self.news.push(began(true));
    }

    /// Connections that are kept up: two, unless there are more hubs than descriptors. One where it is needed.
    fn kept(&self) -> usize {
        let needed = !self.waiting.is_empty() || !self.parked.is_empty() || !self.standing.is_empty();
        self.doors.allowance(WANTED).max(usize::from(needed))
    }

    fn dial(&mut self) {
        if self.kept() == 0 {
            self.next_dial = None;
            return;
        }
        if self.dials.is_empty() && self.connections.len() < CONNECTIONS {
            self.next_dial = None;
            let (address, limit) = (self.address, self.limits.dial_timeout);
            let silent = self.is_silent_with_calls(Instant::now());
            let door = self.doors.acquire(!self.waiting.is_empty() || !self.parked.is_empty() || silent);
            self.dials.spawn(async move {
                let address = address.ok_or(io::ErrorKind::InvalidInput)?;
                let door = door.await?;
                Ok((dial(address, limit).await?, door))
            });
        }
    }

    /// Dials at once, unless the hub takes connections only to reset them.
    fn redial(&mut self) {
        match self.resets < RESETS {
            true => self.dial(),
            false => self.next_dial = self.next_dial.or(Some(Instant::now() + RESET_PAUSE)),
        }
    }

    fn dialled(&mut self, dialled: io::Result<(TcpStream, ConnectionPermit)>) {
        let now = Instant::now();
        match dialled {
            Ok((stream, door)) => {
                self.backoff = BACKOFF;
                self.next_dial = None;
                if self.connections.len() >= self.kept().max(1)
                    && !self.owes_answers(now)
                    && self.standing.is_empty()
                {
                    // It was dialled to see whether it is there; it is. Danger: where calls stand, the hub repeats
                    // on it the releases that a silent connection swallowed.
                    return;
                }
                self.last_up = now;
                self.liveness.dial_came_up(now);
                self.dialled += 1;
                metrics::HUB_DIALS.increment();
                let open = self.connections.len() + 1;
                tracing::debug!(link = self.id.0, connection = self.dialled, open, "up");
                let mut queue: VecDeque<Out> =
                    self.parked.drain(..).map(|(_, call, cause)| Out::Release(call, cause)).collect();
                queue.extend(self.waiting.drain(..).map(Out::SetUp));
                self.connections.push(Connection::new(self.dialled, stream, queue, door, now));
                self.close_silent(now, self.kept().max(1));
            }
            Err(error) => {
                // Danger: what a hub said before waits to be read as long as the dial's end, and shows it alive.
                self.look_again();
                metrics::HUB_DIAL_FAILURES.increment();
                let (silent_ms, standing) =
                    (self.liveness.silence(now).as_millis() as u64, self.standing.len());
                let (open, waiting) = (self.connections.len(), self.waiting.len());
                tracing::debug!(link = self.id.0, %error, waiting, open, silent_ms, standing, "dial failed");
                let unreachable = |s: SetUp| FromHub::Unreachable(s.call, s.attempt);
                self.news.extend(self.waiting.drain(..).map(unreachable));
                self.next_dial = Some(now + self.backoff);
                self.backoff = (self.backoff * 2).min(BACKOFF_MOST);
                let open = !self.connections.is_empty();
                if open {
                    self.ask_on_open_connections(now, error.kind());
                }
                // Danger: a process that died takes its calls with it, and nobody else tells. A refused
                // connection proves that it is gone; a machine that vanished refuses nothing.
                if self.liveness.dial_failed(now, error.kind(), open) && (open || !self.standing.is_empty()) {
                    self.dead(now, &error.to_string());
                }
            }
        }
    }

    /// The hub is held to be dead. Danger: a hub that is only cut off still has what is open on its silent
    /// connections, and may run it once it is back. A set-up is over when its connection is closed, not
    /// before, and may have run.
    fn dead(&mut self, now: Instant, why: &str) {
        metrics::HUBS_DEAD.increment();
        let silent_ms = self.liveness.silence(now).as_millis() as u64;
        let (open, standing) = (self.connections.len(), self.standing.len());
        tracing::info!(link = self.id.0, why, silent_ms, open, standing, "hub declared dead");
        self.close_all();
        self.standing.clear();
        self.liveness = Liveness::new(now);
        self.news.push(FromHub::Dead);
    }

    /// Holds the hub to be dead where calls stand there and it answers nothing.
    fn end_unresponsive(&mut self, now: Instant) {
        if self.standing.is_empty() || !self.liveness.is_unresponsive(now) {
            return;
        }
        self.look_again();
        if self.liveness.is_unresponsive(now) && !self.standing.is_empty() {
            self.dead(now, "unresponsive");
        }
    }

    /// Closes all connections and settles all set-ups: what has begun may have run, the rest never did.
    fn close_all(&mut self) {
        let mut never: Vec<SetUp> = self.waiting.drain(..).collect();
        for connection in std::mem::take(&mut self.connections) {
            let open = connection.open.len();
            tracing::debug!(link = self.id.0, connection = connection.id, open, "closed");
            never.extend(self.settle(connection).into_iter().filter_map(|out| match out {
                Out::SetUp(set_up) => Some(set_up),
                _ => None,
            }));
        }
        self.news.extend(never.into_iter().map(|s| FromHub::Unreachable(s.call, s.attempt)));
    }

    /// Set-ups are out, and all connections that have any have been silent for long.
    fn owes_answers(&self, now: Instant) -> bool {
        let mut owing = self.connections.iter().filter(|c| !c.open.is_empty()).peekable();
        owing.peek().is_some() && owing.all(|c| now - c.heard >= SILENT)
    }

    /// Whether a call stands whose release may have been swallowed. Danger: a connection that fell silent stays
    /// open, and the hub goes on telling there what concerns the calls that were set up on it.
    fn has_silent_carrier(&self, now: Instant) -> bool {
        let heard_at = |id: &u64| {
            let carrier = self.connections.iter().find(|connection| connection.id == *id);
            carrier.map_or(self.last_up, |connection| connection.heard.max(self.last_up))
        };
        self.standing.values().any(|id| now - heard_at(id) >= CARRIER_SILENT)
    }

    /// Asks whether the hub is there: dials, if need be in place of a connection that is silent and spare. Where all
    /// are open and none is spare, each has a set-up to which the hub owes an answer.
    fn ask(&mut self, now: Instant) {
        if self.connections.len() >= CONNECTIONS || self.doors.is_exhausted() {
            self.close_silent(now, 1);
        }
        if self.connections.len() >= CONNECTIONS {
            self.liveness.asked(now);
        }
        self.dial();
    }

    /// Asks on the connections that are open, where a new one is refused or there is no descriptor for it: a hub that
    /// drains may have closed its listener and go on with its calls, but it answers. Without leave to ask, a hub in
    /// service that refuses connections and says nothing owes a word all the same.
    fn ask_on_open_connections(&mut self, now: Instant, error: io::ErrorKind) {
        let refused = error == io::ErrorKind::ConnectionRefused;
        let may_ask = refused || error == connection_limit::DESCRIPTORS_EXHAUSTED;
        if !may_ask || !self.is_silent_with_calls(now) || self.liveness.is_asked() {
            return;
        }
        if self.limits.may_probe {
            self.connections.iter_mut().for_each(|c| c.queue.push_back(Out::Test));
        }
        if self.limits.may_probe || refused && self.not_after.is_none() {
            self.liveness.asked(now);
        }
    }

    /// Whether calls stand and nothing was heard for a while.
    fn is_silent_with_calls(&self, now: Instant) -> bool {
        !self.standing.is_empty() && self.liveness.silence(now) >= QUIET
    }

    /// Closes the connection that has been silent for longest, if there are more than `keep` and it owes nothing: calls
    /// that stand belong to no connection.
    fn close_silent(&mut self, now: Instant, keep: usize) {
        if self.connections.len() <= keep {
            return;
        }
        let silent = |c: &Connection| c.is_spare() && now - c.heard >= QUIET;
        let connections = self.connections.iter().enumerate().filter(|(_, c)| silent(c));
        let longest = connections.min_by_key(|(_, c)| c.heard).map(|(index, _)| index);
        let Some(index) = longest else { return };
        if self.take_in(index) {
            self.lost(index);
        } else if self.connections.get(index).is_some_and(silent) {
            self.close_spare(index, "silent");
        }
    }

    /// Closes a connection on which nothing is out or waits.
    fn close_spare(&mut self, index: usize, why: &'static str) {
        let connection = self.connections.remove(index);
        let open = self.connections.len();
        tracing::debug!(link = self.id.0, connection = connection.id, why, open, "closed");
    }

    /// Danger: an answer that was spoilt, stopped short or never came leaves a connection that stays open
    /// and brings nothing more, not for its other set-ups nor for its calls that stand. It is closed, so
    /// that they are settled, and the hub says on the next one what it had to say.
    fn close_spoilt(&mut self) {
        let now = Instant::now();
        while let Some(index) = self.connections.iter().position(|c| c.spoilt(now, self.answered_begun)) {
            // Danger: where the processor is short, what came long ago and the time limit are seen at the same
            // moment, and one connection is read before the other: the answer may wait to be read.
            let ended = self.take_in(index);
            let spoilt = |c: &Connection| c.spoilt(now, self.answered_begun);
            if ended || self.connections.get(index).is_some_and(spoilt) {
                self.lost(index);
            }
        }
    }

    /// Takes in what waits on any connection.
    fn look_again(&mut self) {
        for index in (0..self.connections.len()).rev() {
            if self.take_in(index) {
                self.lost(index);
            }
        }
    }

    /// Waits for no message: closes what is spare, opens a connection beside one that went silent.
    fn look(&mut self) {
        self.close_spoilt();
        let now = Instant::now();
        if self.connections.len() < self.kept() && self.next_dial.is_none() {
            self.redial();
        }
        self.parked.retain(|(since, ..)| now - *since < RELEASE_KEPT);
        self.end_unresponsive(now);
        // Danger: a machine that vanished or is cut off says nothing, and its connections stay open.
        let quiet = self.is_silent_with_calls(now) && now - self.last_up >= QUIET;
        if !self.connections.is_empty() && (quiet || self.owes_answers(now) || self.has_silent_carrier(now)) {
            self.ask(now);
        }
        let spare_most = self.connections.len().saturating_sub(self.kept());
        // Danger: with more hubs than descriptors, what is idle here is missing elsewhere.
        let idle_most = match (self.doors.has_waiters(), self.doors.is_exhausted()) {
            (true, _) => Duration::ZERO,
            (false, true) => SCARCE_IDLE,
            (false, false) => SPARE_IDLE,
        };
        let idle = |c: &Connection| c.is_spare() && now - c.heard >= idle_most;
        if let Some(index) = self.connections.iter().position(idle).filter(|_| spare_most > 0) {
            // Danger: a release that came since, and waits to be read, would be lost with it.
            if self.take_in(index) {
                self.lost(index);
            } else if self.connections.get(index).is_some_and(idle) {
                self.close_spare(index, "idle");
            }
        }
    }

    /// Takes in what the hub said on one connection.
    fn read(&mut self, index: usize) {
        if self.take_in(index) {
            self.lost(index);
        }
        self.close_spoilt();
    }

    /// Takes in all that waits on a connection; whether it can be read no further.
    fn take_in(&mut self, index: usize) -> bool {
        for _ in 0..FILLS_EACH {
            let Some(connection) = self.connections.get_mut(index) else { return false };
            match connection.input.fill(&connection.stream) {
                Ok(count) if count > 0 => {
                    connection.heard = Instant::now();
                    self.liveness.heard(connection.heard);
                    self.resets = 0;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                Ok(_) | Err(_) => return true,
            }
            if !self.messages(index) {
                return true;
            }
        }
        false
    }

    /// Reads the messages that are there; whether they can be read on.
    fn messages(&mut self, index: usize) -> bool {
        let Some(connection) = self.connections.get_mut(index) else { return false };
        let (mut garbled, mut whole) = (false, false);
        let mut input = std::mem::take(&mut connection.input);
        loop {
            match binary::parse(input.unconsumed()) {
                Ok(Some(message)) => {
                    let bytes = message.bytes;
                    whole = true;
                    if self.ends_attempt_elsewhere(&message, index) {
                        self.end_elsewhere(&message);
                    } else if !self.is_stale(&message, index) {
                        let Some(connection) = self.connections.get_mut(index) else { return false };
                        let begun = take(&message, connection, &mut self.standing, &mut self.news);
                        self.answered_begun = self.answered_begun.max(begun);
                        connection.unheard = None;
                    }
                    input.consume(bytes);
                }
                Ok(None) => break,
                Err(binary::Garbled) => {
                    garbled = true;
                    break;
                }
            }
        }
        let Some(connection) = self.connections.get_mut(index) else { return false };
        let since = connection.partial.filter(|_| !whole).unwrap_or(connection.heard);
        connection.partial = (!input.unconsumed().is_empty()).then_some(since);
        connection.input = input;
        !garbled
    }

    /// Whether it is the release, by cause 16, of a call whose set-up is out on another connection. It proves
    /// that the call stood at the hub by this attempt or by an earlier one, and that it is over.
    fn ends_attempt_elsewhere(&self, message: &Message, index: usize) -> bool {
        let is_end = message.kind == kind::RELEASE && message.cause() == Some(Cause::NORMAL.0);
        is_end && !self.standing.contains_key(&CallName(message.call)) && self.is_stale(message, index)
    }

    /// Ends the call, and gives up the attempt that is out on another connection, which may be a later one.
    fn end_elsewhere(&mut self, message: &Message) {
        let call = CallName(message.call);
        tracing::debug!(%call, "release of a set-up on another connection");
        self.news.push(FromHub::ReleasedUnanswered(call, Cause::NORMAL, message.report()));
        let begun = self.connections.iter().find_map(|c| c.open.get(&call)).map(|begun| begun.attempt);
        let queued = || self.queued_set_ups().find(|set_up| set_up.call == call).map(|set_up| set_up.attempt);
        if let Some(attempt) = begun.or_else(queued) {
            self.give_up(call, attempt);
        }
    }

    /// Set-ups of which no byte is out.
    fn queued_set_ups(&self) -> impl Iterator<Item = &SetUp> {
        let queued = self.connections.iter().flat_map(|connection| &connection.queue);
        let set_ups = queued.filter_map(|out| match out {
            Out::SetUp(set_up) => Some(set_up),
            _ => None,
        });
        self.waiting.iter().chain(set_ups)
    }

    /// Whether it is an answer or a refusal to an earlier set-up of a call that has been sent again on another
    /// connection. Danger: the wire names calls, not attempts. Taken for the answer that is awaited, it would
    /// tell the caller of a call that was given up; taken for a refusal, the call would go elsewhere while this
    /// attempt is out; released, it would end the attempt that is out.
    fn is_stale(&self, message: &Message, index: usize) -> bool {
        let call = CallName(message.call);
        let here = self.connections.get(index).is_some_and(|c| c.open.contains_key(&call));
        let out = |out: &Out| matches!(out, Out::SetUp(s) if s.call == call);
        let has = |c: &Connection| {
            c.open.contains_key(&call) || c.queue.iter().chain(c.staged.iter().map(|(_, o)| o)).any(out)
        };
        matches!(message.kind, kind::ANSWER | kind::RELEASE)
            && !here
            && (self.waiting.iter().any(|s| s.call == call) || self.connections.iter().any(has))
    }

    /// A connection is gone: its set-ups alone are broken, and what had not begun goes on elsewhere.
    fn lost(&mut self, index: usize) {
        let connection = self.connections.remove(index);
        metrics::HUB_CONNECTIONS_LOST.increment();
        let spoilt = connection.spoilt(Instant::now(), self.answered_begun);
        tracing::debug!(
            link = self.id.0,
            connection = connection.id,
            open = connection.open.len(),
            spoilt,
            "lost"
        );
        // Danger: a hub that resets what it accepted would be dialled as fast as it can.
        self.resets += u32::from(connection.heard == connection.opened);
        let left = self.settle(connection);
        self.redial();
        for out in left {
            match out {
                Out::SetUp(set_up) => self.command(ToHub::SetUp(set_up)),
                Out::Release(call, cause) => self.command(ToHub::Release(call, cause)),
                // The set-up was broken just now.
                Out::GiveUp(..) | Out::Heard(_) | Out::Test => {}
            }
        }
    }

    /// Closes a connection: its set-ups are broken. What had not begun on it is given back.
    fn settle(&mut self, connection: Connection) -> Vec<Out> {
        let Connection { open, staged, queue, stream, .. } = connection;
        drop(stream);
        let mut open: Vec<_> = open.into_iter().collect();
        open.sort_by_key(|(_, begun)| begun.at);
        let begun: Vec<u64> = open.iter().map(|(_, begun)| begun.attempt).collect();
        self.news.extend(open.into_iter().map(|(call, begun)| FromHub::ConnectionLost(call, begun.attempt)));
        let left = staged.into_iter().map(|(_, out)| out).chain(queue);
        left.filter(|out| !matches!(out, Out::SetUp(s) if begun.contains(&s.attempt))).collect()
    }

    fn write(&mut self) {
        let now = self.clock.now();
        // From the last, as a connection that breaks is taken out.
        for index in (0..self.connections.len()).rev() {
            let Some(connection) = self.connections.get_mut(index) else { continue };
            if connection.write(now, self.not_after, &mut self.news).is_err() {
                // What the hub said before it closed is still there to be read.
                self.take_in(index);
                self.lost(index);
                self.close_spoilt();
            }
        }
    }
}

/// Lets the runtime poll the sockets and the core hear of what came, before a set-up begins. Looks during which more
/// than [`LOOKS_FRESH`] passed are repeated, [`LOOKS_REPEATED`] times at most.
///
/// Two gaps remain. A stop between the last look at the clock and the write goes unseen; the time between them is that
/// of taking in the commands and composing the messages. And where each of the repeated looks takes that long, the
/// set-up begins after the last of them, though the departure may not have been heard.
async fn let_departures_in() {
    for _ in 0..=LOOKS_REPEATED {
        let begun = Instant::now();
        for _ in 0..LOOKS_BEFORE {
            tokio::task::yield_now().await;
        }
        if begun.elapsed() <= LOOKS_FRESH {
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
