//! The link to one IAX2 hub: places calls there for the core.
//!
//! [`Link`] keeps the calls and owns neither clock nor socket; [`start`] gives it both.

use super::cause::{self, EndReason};
use super::frame::{self, append_element, control, element, iax, kind, Elements, Frame, FullFrame};
use super::front::{encode_inval, lowest_format, LINGER_TIMEOUT, MAX_DATAGRAM_BYTES, TICK_INTERVAL};
use super::media::{MediaFrame, MediaStream};
use super::session::{ReceiveOutcome, Session};
use super::{DEFAULT_MEDIA_FORMATS, DESCRIPTION_FORMAT};
use crate::core::{CallName, Cause, Clock, Description, FromHub, Input, LinkId, RefusalNote, SetUp, ToHub};
use crate::interface::{Micros, Report};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Duration, MissedTickBehavior};

/// Calls at most; what is more is answered as not sent.
const MAX_CALLS: usize = 8192;
/// Commands that are taken in before anything is sent.
const MAX_COMMANDS_PER_BATCH: usize = 256;
/// A socket that cannot be opened is tried again after this.
const SOCKET_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A hub with calls that said nothing for this long is asked whether it is there (PING, RFC 5456, 6.7.2).
const SILENCE_BEFORE_PING: Micros = Micros(3_000_000);
/// Its process is dead if it said nothing for this long, so that its calls are released within 8 s,
const MAX_SILENCE: Micros = Micros(6_500_000);
/// ... and left the question unanswered for this long.
const PING_TIMEOUT: Micros = Micros(1_500_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Pending,
    Established,
    /// Over; only repeats are answered, until then.
    Ended(Micros),
}

struct Call {
    session: Session,
    name: CallName,
    attempt: u64,
    format: u32,
    state: State,
    media: MediaStream,
}

/// The link's calls.
#[derive(Default)]
pub struct Link {
    calls: BTreeMap<u16, Call>,
    by_name: HashMap<CallName, u16>,
    last_number: u16,
    set_up_cutoff: Option<Micros>,
    /// When the hub last said anything.
    last_received: Micros,
    /// Since when it has left the question unanswered whether it is there.
    pinged_at: Option<Micros>,
    /// Datagrams to send.
    pub datagrams: Vec<Vec<u8>>,
    /// What the core is to be told.
    pub events: Vec<FromHub>,
}

impl Link {
    /// Calls that are kept, with those that linger.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Does what the core says in one turn. A set-up that is given up later in the turn never goes out.
    pub fn handle_commands(&mut self, now: Micros, batch: &[ToHub]) {
        let given_up = |command: &ToHub| match command {
            ToHub::GiveUp(_, attempt) => Some(*attempt),
            _ => None,
        };
        let given_up: HashSet<u64> = batch.iter().filter_map(given_up).collect();
        let mut cancelled = HashSet::new();
        for command in batch {
            match command {
                ToHub::SetUp(set_up) if given_up.contains(&set_up.attempt) => {
                    cancelled.insert(set_up.attempt);
                }
                ToHub::GiveUp(call, attempt) if cancelled.remove(attempt) => {
                    self.events.push(FromHub::GivenUp { attempt: *attempt, call: *call, began: false });
                }
                command => self.handle_command(now, command.clone()),
            }
        }
    }

    /// Does what the core says.
    pub fn handle_command(&mut self, now: Micros, command: ToHub) {
        match command {
            ToHub::SetUp(set_up) => self.set_up(now, set_up),
            ToHub::GiveUp(call, attempt) => {
                let local = self.by_name.get(&call).copied();
                if local.and_then(|l| self.calls.get(&l)).is_some_and(|c| c.attempt == attempt) {
                    self.hang_up(now, call, EndReason::GivenUp);
                }
                self.events.push(FromHub::GivenUp { attempt, call, began: true });
            }
            ToHub::Release(call, cause) => self.hang_up(now, call, EndReason::Released(cause)),
            ToHub::SetUpCutoff(at) => self.set_up_cutoff = at,
            ToHub::Media(call, description) => {
                let local = self.by_name.get(&call);
                let call =
                    local.and_then(|l| self.calls.get_mut(l)).filter(|c| c.state == State::Established);
                if let (Some(call), Some(media)) = (call, MediaFrame::from_description(&description)) {
                    self.datagrams.extend(call.media.send(&media, &mut call.session, now));
                }
            }
            ToHub::Close => self.close(now),
        }
    }

    /// Gives up all set-ups that are out; each may have run.
    fn close(&mut self, now: Micros) {
        let pending = self.calls.values().filter(|c| c.state == State::Pending);
        let pending: Vec<(CallName, u64)> = pending.map(|c| (c.name, c.attempt)).collect();
        for (call, attempt) in pending {
            self.hang_up(now, call, EndReason::GivenUp);
            self.events.push(FromHub::ConnectionLost(call, attempt));
        }
        self.events.push(FromHub::Closed);
    }

    fn set_up(&mut self, now: Micros, set_up: SetUp) {
        let is_late = now >= set_up.until || self.set_up_cutoff.is_some_and(|t| now >= t);
        if is_late || self.calls.len() >= MAX_CALLS || self.by_name.contains_key(&set_up.call) {
            return self.events.push(FromHub::NotSent(set_up.call, set_up.attempt));
        }
        let local = self.allocate_call_number();
        let elements = Elements::parse(&set_up.description.bytes)
            .filter(|_| set_up.description.format == DESCRIPTION_FORMAT);
        let elements = elements.unwrap_or_default();
        let formats = elements.number(element::CAPABILITY).unwrap_or(DEFAULT_MEDIA_FORMATS);
        let format = elements.number(element::FORMAT).unwrap_or(lowest_format(formats));
        let mut data = Vec::new();
        // The version is the first element (RFC 5456, 8.6.10).
        append_element(&mut data, element::VERSION, &2_u16.to_be_bytes());
        append_element(&mut data, element::CALLED_NUMBER, set_up.number.as_bytes());
        if let Some(calling) = elements.get(element::CALLING_NUMBER) {
            append_element(&mut data, element::CALLING_NUMBER, calling);
        }
        append_element(&mut data, element::FORMAT, &format.to_be_bytes());
        append_element(&mut data, element::CAPABILITY, &formats.to_be_bytes());
        let mut call = Call {
            session: Session::new(local, 0, now),
            name: set_up.call,
            attempt: set_up.attempt,
            format,
            state: State::Pending,
            media: MediaStream::default(),
        };
        self.datagrams.extend(call.session.send(now, kind::IAX, iax::NEW, &data));
        self.by_name.insert(set_up.call, local);
        self.calls.insert(local, call);
    }

    fn allocate_call_number(&mut self) -> u16 {
        loop {
            self.last_number = if self.last_number >= 0x7ffe { 1 } else { self.last_number + 1 };
            if !self.calls.contains_key(&self.last_number) {
                return self.last_number;
            }
        }
    }

    /// Hangs a call up; what was sent before is void, so that a lost NEW cannot begin it any more.
    fn hang_up(&mut self, now: Micros, name: CallName, reason: EndReason) {
        let local = self.by_name.remove(&name);
        let Some(call) = local.and_then(|l| self.calls.get_mut(&l)) else { return };
        call.session.discard_unacknowledged();
        self.datagrams.extend(call.session.send(now, kind::IAX, iax::HANGUP, &cause::cause_elements(reason)));
        call.state = State::Ended(now + LINGER_TIMEOUT);
    }

    /// Takes a datagram in.
    pub fn receive(&mut self, now: Micros, datagram: &[u8]) {
        let Some(parsed) = frame::parse(datagram) else { return };
        (self.last_received, self.pinged_at) = (now, None);
        match parsed {
            Frame::Full(full) => {
                let call = self.calls.get(&full.destination);
                let is_from_peer = |c: &Call| {
                    c.session.remote == 0 || c.session.remote == full.source || full.is_iax(iax::INVAL)
                };
                if call.is_some_and(is_from_peer) {
                    self.on_call_frame(now, full.destination, &full);
                } else if full.is_iax(iax::POKE) && full.destination == 0 {
                    let reply =
                        FullFrame { source: 0x7fff, destination: full.source, subclass: iax::PONG, ..full };
                    self.datagrams.push(reply.encode());
                } else if full.is_sequenced() && full.destination != 0x7fff {
                    self.datagrams.push(encode_inval(&full));
                }
            }
            Frame::Mini { source, .. } => {
                let is_established =
                    |c: &&mut Call| c.state == State::Established && c.session.remote == source;
                if let Some(call) = self.calls.values_mut().find(is_established) {
                    let media = call.media.receive(&parsed);
                    self.events.extend(media.map(|m| FromHub::Media(call.name, m.to_description())));
                }
            }
        }
    }

    fn on_call_frame(&mut self, now: Micros, local: u16, full: &FullFrame) {
        let Some(call) = self.calls.get_mut(&local) else { return };
        let outcome = call.session.receive(now, full, &mut self.datagrams);
        let (name, attempt, state) = (call.name, call.attempt, call.state);
        if let State::Ended(_) = state {
            if outcome == ReceiveOutcome::UnknownCall {
                self.calls.remove(&local);
            }
            return;
        }
        let released = |cause, note| FromHub::Released(name, cause, note, Report::default());
        let end_event = match (outcome, full.kind, full.subclass) {
            (ReceiveOutcome::UnknownCall, ..) if state == State::Pending => {
                Some(FromHub::ConnectionLost(name, attempt))
            }
            (ReceiveOutcome::UnknownCall, ..) => Some(released(Cause::TEMPORARY_FAILURE, RefusalNote::None)),
            (ReceiveOutcome::Consumed, ..) => None,
            (_, kind::IAX, iax::ACCEPT) => {
                let elements = Elements::parse(full.data).unwrap_or_default();
                call.format = elements.number(element::FORMAT).unwrap_or(call.format);
                None
            }
            (_, kind::IAX, subclass @ (iax::REJECT | iax::HANGUP)) => {
                let elements = Elements::parse(full.data).unwrap_or_default();
                let is_reject = subclass == iax::REJECT;
                let (cause, note) = cause::parse_cause(&elements, is_reject);
                // Before the answer, normal clearing is no success: the hub did not take the call.
                let cause = if state == State::Pending && cause == Cause::NORMAL { Cause(21) } else { cause };
                Some(released(cause, note))
            }
            // No credentials are held here.
            (_, kind::IAX, iax::AUTHREQ) => {
                self.hang_up(now, name, EndReason::GivenUp);
                return self.events.push(released(Cause(21), RefusalNote::None));
            }
            (_, kind::CONTROL, control::ANSWER) if state == State::Pending => {
                call.state = State::Established;
                let mut bytes = Vec::new();
                append_element(&mut bytes, element::FORMAT, &call.format.to_be_bytes());
                self.events.push(FromHub::Answered(
                    name,
                    Description { format: DESCRIPTION_FORMAT, bytes: bytes.into() },
                ));
                None
            }
            (_, kind::CONTROL, subclass @ (control::BUSY | control::CONGESTION))
                if state == State::Pending =>
            {
                self.hang_up(now, name, EndReason::GivenUp);
                let busy = (Cause::BUSY, RefusalNote::NumberBusy);
                let (cause, note) = if subclass == control::BUSY {
                    busy
                } else {
                    (Cause::NO_CIRCUIT, RefusalNote::Congestion)
                };
                return self.events.push(released(cause, note));
            }
            (_, kind::CONTROL, control::HANGUP) => {
                self.hang_up(now, name, EndReason::GivenUp);
                let cause = if state == State::Pending { Cause(21) } else { Cause::NORMAL };
                return self.events.push(released(cause, RefusalNote::None));
            }
            (_, kind::VOICE | kind::DTMF, _) => {
                let media = call.media.receive(&Frame::Full(*full));
                let media = media.filter(|_| state == State::Established);
                self.events.extend(media.map(|m| FromHub::Media(name, m.to_description())));
                None
            }
            (_, kind::IAX, known) if !matches!(known, iax::PONG | iax::LAGRP | iax::UNSUPPORT) => {
                let data = [element::IAX_UNKNOWN, 1, known as u8];
                self.datagrams.extend(call.session.send(now, kind::IAX, iax::UNSUPPORT, &data));
                None
            }
            _ => None,
        };
        if let Some(event) = end_event {
            call.state = State::Ended(now + LINGER_TIMEOUT);
            call.session.discard_unacknowledged();
            self.by_name.remove(&name);
            self.events.push(event);
        }
    }

    /// Sends again what is due, gives up a hub that acknowledges nothing, forgets what is over.
    pub fn tick(&mut self, now: Micros) {
        let mut expired = Vec::new();
        for (local, call) in &mut self.calls {
            let is_lost = call.session.tick(now, &mut self.datagrams).is_err();
            match call.state {
                State::Pending if is_lost => {
                    self.events.push(FromHub::ConnectionLost(call.name, call.attempt));
                    expired.push(*local);
                }
                State::Established if is_lost => {
                    let cause = Cause::TEMPORARY_FAILURE;
                    self.events.push(FromHub::Released(
                        call.name,
                        cause,
                        RefusalNote::None,
                        Report::default(),
                    ));
                    expired.push(*local);
                }
                State::Ended(until) if is_lost || now >= until && call.session.is_fully_acknowledged() => {
                    expired.push(*local)
                }
                _ => {}
            }
        }
        for local in expired {
            self.remove_call(local);
        }
        self.check_liveness(now);
    }

    /// Asks a hub that went silent with calls whether it is there, and holds it to be dead without an answer. Danger:
    /// each call's own transport gives a hub up only half a minute later.
    fn check_liveness(&mut self, now: Micros) {
        let Some(call) = self.calls.values_mut().find(|call| call.state == State::Established) else {
            return;
        };
        let silence = now - self.last_received;
        match self.pinged_at {
            None if silence >= SILENCE_BEFORE_PING => {
                self.datagrams.extend(call.session.send(now, kind::IAX, iax::PING, &[]));
                self.pinged_at = Some(now);
            }
            Some(pinged_at) if now - pinged_at >= PING_TIMEOUT && silence >= MAX_SILENCE => {
                tracing::info!(
                    silent_ms = silence.0 / 1000,
                    calls = self.calls.len(),
                    "IAX2 hub declared dead"
                );
                self.declare_dead();
            }
            _ => {}
        }
    }

    fn remove_call(&mut self, local: u16) {
        if let Some(call) = self.calls.remove(&local) {
            if self.by_name.get(&call.name) == Some(&local) {
                self.by_name.remove(&call.name);
            }
        }
    }

    /// The hub's process is dead: its port is closed, or it answers nothing. Danger: the port is told for the socket, not for a
    /// datagram, so that it is no proof of what never ran: a NEW may have reached the process before it died.
    pub fn declare_dead(&mut self) {
        for call in std::mem::take(&mut self.calls).into_values() {
            if call.state == State::Pending {
                self.events.push(FromHub::ConnectionLost(call.name, call.attempt));
            }
        }
        self.by_name.clear();
        self.pinged_at = None;
        self.events.push(FromHub::Dead);
    }
}

async fn open_socket(local: SocketAddr, hub: SocketAddr) -> io::Result<UdpSocket> {
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
    let (sender, commands) = mpsc::channel(crate::net::hub::COMMANDS);
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
        match open_socket(local, hub).await {
            Ok(socket) => break socket,
            Err(error) => tracing::warn!(%hub, "IAX2 hub: {error}"),
        }
        // Danger: a socket that does not open must not leave set-ups without an end.
        let retry = tokio::time::sleep(SOCKET_RETRY_INTERVAL);
        tokio::pin!(retry);
        loop {
            let event = tokio::select! {
                () = &mut retry => break,
                command = commands.recv() => match command {
                    None | Some(ToHub::Close) => FromHub::Closed,
                    Some(ToHub::SetUp(s)) => FromHub::Unreachable(s.call, s.attempt),
                    Some(_) => continue,
                },
            };
            let closed = matches!(event, FromHub::Closed);
            if core.send(Input::Hub(id, event)).await.is_err() || closed {
                return;
            }
        }
    };
    let mut link = Link::default();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    let mut batch = Vec::new();
    let mut closed = false;
    while !closed {
        tokio::select! {
            received = socket.recv(&mut datagram) => match received {
                Ok(length) => link.receive(clock.now(), &datagram[..length]),
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => link.declare_dead(),
                Err(_) => {}
            },
            count = commands.recv_many(&mut batch, MAX_COMMANDS_PER_BATCH) => {
                if count == 0 {
                    batch.push(ToHub::Close);
                }
                closed = batch.iter().any(|c| matches!(c, ToHub::Close));
                link.handle_commands(clock.now(), &batch);
                batch.clear();
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
        for datagram in link.datagrams.drain(..) {
            // What a full socket drops is sent again as any lost datagram.
            let _ = socket.try_send(&datagram);
        }
        for event in link.events.drain(..) {
            if core.send(Input::Hub(id, event)).await.is_err() {
                return;
            }
        }
    }
}
