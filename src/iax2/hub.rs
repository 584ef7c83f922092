//! The link to one IAX2 hub: places calls there for the core.
//!
//! [`Link`] keeps the calls and owns neither clock nor socket; [`start`] gives it both.

use super::cause::{self, Ending};
use super::frame::{self, control, element, iax, kind, put, Elements, Frame, Full};
use super::front::{inval, lowest, DATAGRAM_MOST, LINGER, TICK};
use super::media::{Media, Stream};
use super::session::{Session, Verdict};
use super::{DEFAULT_FORMATS, FORM};
use crate::core::{CallName, Cause, Clock, Description, FromHub, Input, LinkId, RefusalNote, SetUp, ToHub};
use crate::interface::{Micros, Report};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Duration, MissedTickBehavior};

/// Calls at most; what is more is answered as not sent.
const CALLS_MOST: usize = 8192;
/// Commands that are taken in before anything is sent.
const TURN: usize = 256;
/// A socket that cannot be opened is tried again after this.
const REOPEN: Duration = Duration::from_secs(1);

/// A hub with calls that said nothing for this long is asked whether it is there (PING, RFC 5456, 6.7.2).
const QUIET: Micros = Micros(3_000_000);
/// Its process is dead if it said nothing for this long, so that its calls are released within 8 s,
const MAX_SILENCE: Micros = Micros(6_500_000);
/// ... and left the question unanswered for this long.
const ANSWER_WITHIN: Micros = Micros(1_500_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Out,
    Standing,
    /// Over; only repeats are answered, until then.
    Over(Micros),
}

struct Call {
    session: Session,
    name: CallName,
    attempt: u64,
    format: u32,
    state: State,
    media: Stream,
}

/// The link's calls.
#[derive(Default)]
pub struct Link {
    calls: BTreeMap<u16, Call>,
    by_name: HashMap<CallName, u16>,
    last_number: u16,
    not_after: Option<Micros>,
    /// When the hub last said anything.
    heard: Micros,
    /// Since when it has left the question unanswered whether it is there.
    asked: Option<Micros>,
    /// Datagrams to send.
    pub out: Vec<Vec<u8>>,
    /// What the core is to be told.
    pub news: Vec<FromHub>,
}

impl Link {
    /// Calls that are kept, with those that linger.
    pub fn kept(&self) -> usize {
        self.calls.len()
    }

    /// Does what the core says in one turn. A set-up that is given up later in the turn never goes out.
    pub fn commands(&mut self, now: Micros, turn: &[ToHub]) {
        let given_up = |command: &ToHub| match command {
            ToHub::GiveUp(_, attempt) => Some(*attempt),
            _ => None,
        };
        let given_up: HashSet<u64> = turn.iter().filter_map(given_up).collect();
        let mut taken_back = HashSet::new();
        for command in turn {
            match command {
                ToHub::SetUp(set_up) if given_up.contains(&set_up.attempt) => {
                    taken_back.insert(set_up.attempt);
                }
                ToHub::GiveUp(call, attempt) if taken_back.remove(attempt) => {
                    self.news.push(FromHub::GivenUp { attempt: *attempt, call: *call, began: false });
                }
                command => self.command(now, command.clone()),
            }
        }
    }

    /// Does what the core says.
    pub fn command(&mut self, now: Micros, command: ToHub) {
        match command {
            ToHub::SetUp(set_up) => self.set_up(now, set_up),
            ToHub::GiveUp(call, attempt) => {
                let local = self.by_name.get(&call).copied();
                if local.and_then(|l| self.calls.get(&l)).is_some_and(|c| c.attempt == attempt) {
                    self.hang_up(now, call, Ending::GivenUp);
                }
                self.news.push(FromHub::GivenUp { attempt, call, began: true });
            }
            ToHub::Release(call, cause) => self.hang_up(now, call, Ending::Released(cause)),
            ToHub::SetUpCutoff(at) => self.not_after = at,
            ToHub::Media(call, description) => {
                let local = self.by_name.get(&call);
                let call = local.and_then(|l| self.calls.get_mut(l)).filter(|c| c.state == State::Standing);
                if let (Some(call), Some(media)) = (call, Media::from_core(&description)) {
                    self.out.extend(call.media.send(&media, &mut call.session, now));
                }
            }
            ToHub::Close => self.close(now),
        }
    }

    /// Gives up all set-ups that are out; each may have run.
    fn close(&mut self, now: Micros) {
        let out = self.calls.values().filter(|c| c.state == State::Out);
        let out: Vec<(CallName, u64)> = out.map(|c| (c.name, c.attempt)).collect();
        for (call, attempt) in out {
            self.hang_up(now, call, Ending::GivenUp);
            self.news.push(FromHub::ConnectionLost(call, attempt));
        }
        self.news.push(FromHub::Closed);
    }

    fn set_up(&mut self, now: Micros, set_up: SetUp) {
        let late = now >= set_up.until || self.not_after.is_some_and(|t| now >= t);
        if late || self.calls.len() >= CALLS_MOST || self.by_name.contains_key(&set_up.call) {
            return self.news.push(FromHub::NotSent(set_up.call, set_up.attempt));
        }
        let local = self.free_number();
        let described =
            Elements::parse(&set_up.description.bytes).filter(|_| set_up.description.format == FORM);
        let described = described.unwrap_or_default();
        let formats = described.number(element::CAPABILITY).unwrap_or(DEFAULT_FORMATS);
        let format = described.number(element::FORMAT).unwrap_or(lowest(formats));
        let mut data = Vec::new();
        // The version is the first element (RFC 5456, 8.6.10).
        put(&mut data, element::VERSION, &2_u16.to_be_bytes());
        put(&mut data, element::CALLED_NUMBER, set_up.number.as_bytes());
        if let Some(calling) = described.get(element::CALLING_NUMBER) {
            put(&mut data, element::CALLING_NUMBER, calling);
        }
        put(&mut data, element::FORMAT, &format.to_be_bytes());
        put(&mut data, element::CAPABILITY, &formats.to_be_bytes());
        let mut call = Call {
            session: Session::new(local, 0, now),
            name: set_up.call,
            attempt: set_up.attempt,
            format,
            state: State::Out,
            media: Stream::default(),
        };
        self.out.extend(call.session.send(now, kind::IAX, iax::NEW, &data));
        self.by_name.insert(set_up.call, local);
        self.calls.insert(local, call);
    }

    fn free_number(&mut self) -> u16 {
        loop {
            self.last_number = if self.last_number >= 0x7ffe { 1 } else { self.last_number + 1 };
            if !self.calls.contains_key(&self.last_number) {
                return self.last_number;
            }
        }
    }

    /// Hangs a call up; what was sent before is void, so that a lost NEW cannot begin it any more.
    fn hang_up(&mut self, now: Micros, name: CallName, ending: Ending) {
        let local = self.by_name.remove(&name);
        let Some(call) = local.and_then(|l| self.calls.get_mut(&l)) else { return };
        call.session.forget_sent();
        self.out.extend(call.session.send(now, kind::IAX, iax::HANGUP, &cause::elements(ending)));
        call.state = State::Over(now + LINGER);
    }

    /// Takes a datagram in.
    pub fn receive(&mut self, now: Micros, datagram: &[u8]) {
        let Some(read) = frame::parse(datagram) else { return };
        (self.heard, self.asked) = (now, None);
        match read {
            Frame::Full(full) => {
                let call = self.calls.get(&full.destination);
                let known = |c: &Call| {
                    c.session.remote == 0 || c.session.remote == full.source || full.is(iax::INVAL)
                };
                if call.is_some_and(known) {
                    self.inside(now, full.destination, &full);
                } else if full.is(iax::POKE) && full.destination == 0 {
                    let reply =
                        Full { source: 0x7fff, destination: full.source, subclass: iax::PONG, ..full };
                    self.out.push(reply.write());
                } else if full.counts() && full.destination != 0x7fff {
                    self.out.push(inval(&full));
                }
            }
            Frame::Mini { source, .. } => {
                let standing = |c: &&mut Call| c.state == State::Standing && c.session.remote == source;
                if let Some(call) = self.calls.values_mut().find(standing) {
                    let media = call.media.hear(&read);
                    self.news.extend(media.map(|m| FromHub::Media(call.name, m.to_core())));
                }
            }
        }
    }

    fn inside(&mut self, now: Micros, local: u16, full: &Full) {
        let Some(call) = self.calls.get_mut(&local) else { return };
        let verdict = call.session.receive(now, full, &mut self.out);
        let (name, attempt, state) = (call.name, call.attempt, call.state);
        if let State::Over(_) = state {
            if verdict == Verdict::Unknown {
                self.calls.remove(&local);
            }
            return;
        }
        let released = |cause, note| FromHub::Released(name, cause, note, Report::default());
        let over = match (verdict, full.kind, full.subclass) {
            (Verdict::Unknown, ..) if state == State::Out => Some(FromHub::ConnectionLost(name, attempt)),
            (Verdict::Unknown, ..) => Some(released(Cause::TEMPORARY_FAILURE, RefusalNote::None)),
            (Verdict::Done, ..) => None,
            (_, kind::IAX, iax::ACCEPT) => {
                let elements = Elements::parse(full.data).unwrap_or_default();
                call.format = elements.number(element::FORMAT).unwrap_or(call.format);
                None
            }
            (_, kind::IAX, subclass @ (iax::REJECT | iax::HANGUP)) => {
                let elements = Elements::parse(full.data).unwrap_or_default();
                let rejected = subclass == iax::REJECT;
                let (cause, note) = cause::heard(&elements, rejected);
                // Before the answer, normal clearing is no success: the hub did not take the call.
                let cause = if state == State::Out && cause == Cause::NORMAL { Cause(21) } else { cause };
                Some(released(cause, note))
            }
            // No credentials are held here.
            (_, kind::IAX, iax::AUTHREQ) => {
                self.hang_up(now, name, Ending::GivenUp);
                return self.news.push(released(Cause(21), RefusalNote::None));
            }
            (_, kind::CONTROL, control::ANSWER) if state == State::Out => {
                call.state = State::Standing;
                let mut bytes = Vec::new();
                put(&mut bytes, element::FORMAT, &call.format.to_be_bytes());
                self.news.push(FromHub::Answered(name, Description { format: FORM, bytes: bytes.into() }));
                None
            }
            (_, kind::CONTROL, said @ (control::BUSY | control::CONGESTION)) if state == State::Out => {
                self.hang_up(now, name, Ending::GivenUp);
                let busy = (Cause::BUSY, RefusalNote::NumberBusy);
                let (cause, note) =
                    if said == control::BUSY { busy } else { (Cause::NO_CIRCUIT, RefusalNote::Congestion) };
                return self.news.push(released(cause, note));
            }
            (_, kind::CONTROL, control::HANGUP) => {
                self.hang_up(now, name, Ending::GivenUp);
                let cause = if state == State::Out { Cause(21) } else { Cause::NORMAL };
                return self.news.push(released(cause, RefusalNote::None));
            }
            (_, kind::VOICE | kind::DTMF, _) => {
                let media = call.media.hear(&Frame::Full(*full));
                let media = media.filter(|_| state == State::Standing);
                self.news.extend(media.map(|m| FromHub::Media(name, m.to_core())));
                None
            }
            (_, kind::IAX, known) if !matches!(known, iax::PONG | iax::LAGRP | iax::UNSUPPORT) => {
                let data = [element::IAX_UNKNOWN, 1, known as u8];
                self.out.extend(call.session.send(now, kind::IAX, iax::UNSUPPORT, &data));
                None
            }
            _ => None,
        };
        if let Some(over) = over {
            call.state = State::Over(now + LINGER);
            call.session.forget_sent();
            self.by_name.remove(&name);
            self.news.push(over);
        }
    }

    /// Sends again what is due, gives up a hub that acknowledges nothing, forgets what is over.
    pub fn tick(&mut self, now: Micros) {
        let mut over = Vec::new();
        for (local, call) in &mut self.calls {
            let lost = call.session.tick(now, &mut self.out).is_err();
            match call.state {
                State::Out if lost => {
                    self.news.push(FromHub::ConnectionLost(call.name, call.attempt));
                    over.push(*local);
                }
                State::Standing if lost => {
                    let cause = Cause::TEMPORARY_FAILURE;
                    self.news.push(FromHub::Released(call.name, cause, RefusalNote::None, Report::default()));
                    over.push(*local);
                }
                State::Over(until) if lost || now >= until && call.session.settled() => over.push(*local),
                _ => {}
            }
        }
        for local in over {
            self.forget(local);
        }
        self.end_silent(now);
    }

    /// Asks a hub that went silent with calls whether it is there, and holds it to be dead without an answer. Danger:
    /// each call's own transport gives a hub up only half a minute later.
    fn end_silent(&mut self, now: Micros) {
        let Some(call) = self.calls.values_mut().find(|call| call.state == State::Standing) else { return };
        let silence = now - self.heard;
        match self.asked {
            None if silence >= QUIET => {
                self.out.extend(call.session.send(now, kind::IAX, iax::PING, &[]));
                self.asked = Some(now);
            }
            Some(asked) if now - asked >= ANSWER_WITHIN && silence >= MAX_SILENCE => {
                tracing::info!(
                    silent_ms = silence.0 / 1000,
                    calls = self.calls.len(),
                    "IAX2 hub declared dead"
                );
                self.refused();
            }
            _ => {}
        }
    }

    fn forget(&mut self, local: u16) {
        if let Some(call) = self.calls.remove(&local) {
            if self.by_name.get(&call.name) == Some(&local) {
                self.by_name.remove(&call.name);
            }
        }
    }

    /// The hub's process is dead: its port is closed, or it answers nothing. Danger: the port is told for the socket, not for a
    /// datagram, so that it is no proof of what never ran: a NEW may have reached the process before it died.
    pub fn refused(&mut self) {
        for call in std::mem::take(&mut self.calls).into_values() {
            if call.state == State::Out {
                self.news.push(FromHub::ConnectionLost(call.name, call.attempt));
            }
        }
        self.by_name.clear();
        self.asked = None;
        self.news.push(FromHub::Dead);
    }
}

async fn open(local: SocketAddr, hub: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(SocketAddr::new(local.ip(), 0)).await?;
    // A connected socket takes datagrams from the hub's address alone, and hears of a closed port.
    socket.connect(hub).await?;
    Ok(socket)
}

/// Starts a link's task; it ends at [`ToHub::Close`] or once the core is gone.
pub fn start(
    id: LinkId,
    local: SocketAddr,
    hub: SocketAddr,
    clock: Clock,
    core: mpsc::Sender<Input>,
) -> mpsc::Sender<ToHub> {
    let (sender, commands) = mpsc::channel(crate::net::hub::COMMAND_QUEUE_CAPACITY);
    tokio::spawn(run(id, local, hub, clock, core, commands));
    sender
}

async fn run(
    id: LinkId,
    local: SocketAddr,
    hub: SocketAddr,
    clock: Clock,
    core: mpsc::Sender<Input>,
    mut commands: mpsc::Receiver<ToHub>,
) {
    let socket = loop {
        match open(local, hub).await {
            Ok(socket) => break socket,
            Err(error) => tracing::warn!(%hub, "IAX2 hub: {error}"),
        }
        // Danger: a socket that does not open must not leave set-ups without an end.
        let again = tokio::time::sleep(REOPEN);
        tokio::pin!(again);
        loop {
            let news = tokio::select! {
                () = &mut again => break,
                command = commands.recv() => match command {
                    None | Some(ToHub::Close) => FromHub::Closed,
                    Some(ToHub::SetUp(s)) => FromHub::Unreachable(s.call, s.attempt),
                    Some(_) => continue,
                },
            };
            let closed = matches!(news, FromHub::Closed);
            if core.send(Input::Hub(id, news)).await.is_err() || closed {
                return;
            }
        }
    };
    let mut link = Link::default();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut datagram = vec![0; DATAGRAM_MOST];
    let mut turn = Vec::new();
    let mut closed = false;
    while !closed {
        tokio::select! {
            received = socket.recv(&mut datagram) => match received {
                Ok(length) => link.receive(clock.now(), &datagram[..length]),
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => link.refused(),
                Err(_) => {}
            },
            count = commands.recv_many(&mut turn, TURN) => {
                if count == 0 {
                    turn.push(ToHub::Close);
                }
                closed = turn.iter().any(|c| matches!(c, ToHub::Close));
                link.commands(clock.now(), &turn);
                turn.clear();
            }
            _ = ticks.tick() => {
                // Danger: what came while the process was stopped is taken in before the silence is judged.
                tokio::task::yield_now().await;
                while let Ok(length) = socket.try_recv(&mut datagram) {
                    link.receive(clock.now(), &datagram[..length]);
                }
                link.tick(clock.now());
            }
        }
        for datagram in link.out.drain(..) {
            // What a full socket drops is sent again as any lost datagram.
            let _ = socket.try_send(&datagram);
        }
        for news in link.news.drain(..) {
            if core.send(Input::Hub(id, news)).await.is_err() {
                return;
            }
        }
    }
}
