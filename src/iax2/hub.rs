//! The link to one IAX2 hub: places the core's calls there.
//!
//! [`Link`] holds the state of the calls and has no clock or socket of its own; [`start`] runs it with both.

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

/// Limit on calls, including ended ones that linger; further set-ups are reported as not sent.
const MAX_CALLS: usize = 8192;
/// Limit on commands processed as one batch, before anything is sent.
const MAX_COMMANDS_PER_BATCH: usize = 256;
/// Delay before another attempt to open the socket.
const SOCKET_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A hub with established calls is sent a PING after this much silence (RFC 5456, section 6.7.2).
const SILENCE_BEFORE_PING: Micros = Micros(3_000_000);
/// A hub is declared dead after this much silence if it also left a PING unanswered for [`PING_TIMEOUT`]. Calls at a
/// hub that went silent must be released within 8 s.
const MAX_SILENCE: Micros = Micros(6_500_000);
/// Time without a reply to a PING after which a silent hub may be declared dead.
const PING_TIMEOUT: Micros = Micros(1_500_000);

/// State of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The set-up was sent and is not answered.
    Pending,
    /// The call is established.
    Established,
    /// The call is over. Until this time retransmissions are still answered.
    Ended(Micros),
}

/// A call at the hub.
struct Call {
    session: Session,
    name: CallName,
    attempt: u64,
    format: u32,
    state: State,
    media: MediaStream,
    /// When the hub's latest full frame of this call was received. A mini frame names its call by the hub's number alone,
    /// which another process may have given to another call.
    heard_at: Micros,
    /// Time of the call's liveness PING, if no full frame of the call was received since.
    pinged_at: Option<Micros>,
}

/// The state of the link's calls.
#[derive(Default)]
pub struct Link {
    calls: BTreeMap<u16, Call>,
    by_name: HashMap<CallName, u16>,
    last_number: u16,
    /// Time from which no set-up may start; see [`ToHub::SetUpCutoff`].
    set_up_cutoff: Option<Micros>,
    /// Time of the latest datagram from the hub.
    last_received: Micros,
    /// Datagrams waiting to be sent.
    pub datagrams: Vec<Vec<u8>>,
    /// Events waiting to be sent to the core.
    pub events: Vec<FromHub>,
}

impl Link {
    /// Returns the number of calls, including ended ones that linger.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Executes a batch of commands. A set-up that is given up later in the same batch is never sent.
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

    /// Executes one command.
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
            ToHub::Release(call, cause) | ToHub::ReleaseUnknown(call, cause) => {
                self.hang_up(now, call, EndReason::Released(cause))
            }
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

    /// Gives up all pending set-ups. They are reported as lost with the connection, because each may have run.
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
        // The version must be the first element (RFC 5456, section 8.6.10).
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
            heard_at: now,
            pinged_at: None,
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

    /// Hangs up a call. Earlier frames are no longer retransmitted, so that a NEW that was lost cannot start the call
    /// afterwards.
    fn hang_up(&mut self, now: Micros, name: CallName, reason: EndReason) {
        let local = self.by_name.remove(&name);
        let Some(call) = local.and_then(|l| self.calls.get_mut(&l)) else { return };
        call.session.discard_unacknowledged();
        self.datagrams.extend(call.session.send(now, kind::IAX, iax::HANGUP, &cause::cause_elements(reason)));
        call.state = State::Ended(now + LINGER_TIMEOUT);
    }

    /// Processes a datagram.
    pub fn receive(&mut self, now: Micros, datagram: &[u8]) {
        let Some(parsed) = frame::parse(datagram) else { return };
        self.last_received = now;
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
                let established = self.calls.values_mut().filter(is_established);
                if let Some(call) = established.max_by_key(|call| call.attempt) {
                    let media = call.media.receive(&parsed);
                    self.events.extend(media.map(|m| FromHub::Media(call.name, m.to_description())));
                }
            }
        }
    }

    fn on_call_frame(&mut self, now: Micros, local: u16, full: &FullFrame) {
        let Some(call) = self.calls.get_mut(&local) else { return };
        let is_first = call.session.remote == 0;
        let outcome = call.session.receive(now, full, &mut self.datagrams);
        (call.heard_at, call.pinged_at) = (now, None);
        if is_first && call.session.remote != 0 {
            self.end_calls_with_reused_number(now, local);
        }
        let Some(call) = self.calls.get_mut(&local) else { return };
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
                // Normal clearing before the answer means that the hub did not accept the call.
                let cause = if state == State::Pending && cause == Cause::NORMAL { Cause(21) } else { cause };
                Some(released(cause, note))
            }
            // There are no credentials to authenticate with.
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
            (_, kind::IAX, subclass) if !matches!(subclass, iax::PONG | iax::LAGRP | iax::UNSUPPORT) => {
                let data = [element::IAX_UNKNOWN, 1, subclass as u8];
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

    /// Retransmits the frames that are due, ends calls whose frames are not acknowledged, removes ended calls after
    /// their linger time, and checks whether the hub is alive.
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

    /// Ends the earlier calls to which the hub had given the number that it gives to this one. The hub has forgotten them,
    /// as a process does that has taken the place of another.
    fn end_calls_with_reused_number(&mut self, now: Micros, local: u16) {
        let Some(remote) = self.calls.get(&local).map(|call| call.session.remote) else { return };
        let is_earlier = |(number, call): &(&u16, &Call)| {
            **number != local && call.session.remote == remote && !matches!(call.state, State::Ended(_))
        };
        let earlier: Vec<u16> = self.calls.iter().filter(is_earlier).map(|(number, _)| *number).collect();
        for number in earlier {
            self.end_forgotten_call(now, number);
        }
    }

    /// Ends a call that the hub does not know any more. Nothing is sent for it, as its number at the hub may be another
    /// call's.
    fn end_forgotten_call(&mut self, now: Micros, local: u16) {
        let Some(call) = self.calls.get_mut(&local) else { return };
        let event = match call.state {
            State::Pending => FromHub::ConnectionLost(call.name, call.attempt),
            _ => {
                let (cause, note) = (Cause::TEMPORARY_FAILURE, RefusalNote::None);
                FromHub::Released(call.name, cause, note, Report::default())
            }
        };
        call.state = State::Ended(now + LINGER_TIMEOUT);
        call.session.discard_unacknowledged();
        self.by_name.remove(&call.name);
        self.events.push(event);
    }

    /// Sends a PING in each established call that is silent. A call that stays silent is over, also where the hub goes on
    /// with others: another process may have taken its place. If the hub is silent altogether, it is declared dead. The
    /// transport of a call alone would give the hub up only half a minute later.
    fn check_liveness(&mut self, now: Micros) {
        let mut silent = Vec::new();
        for (local, call) in self.calls.iter_mut().filter(|(_, call)| call.state == State::Established) {
            let silence = now - call.heard_at;
            match call.pinged_at {
                None if silence >= SILENCE_BEFORE_PING => {
                    self.datagrams.extend(call.session.send(now, kind::IAX, iax::PING, &[]));
                    call.pinged_at = Some(now);
                }
                Some(pinged_at) if now - pinged_at >= PING_TIMEOUT && silence >= MAX_SILENCE => {
                    silent.push(*local);
                }
                _ => {}
            }
        }
        if silent.is_empty() {
            return;
        }
        let silence = now - self.last_received;
        if silence >= MAX_SILENCE {
            tracing::info!(silent_ms = silence.0 / 1000, calls = self.calls.len(), "IAX2 hub declared dead");
            return self.declare_dead();
        }
        tracing::info!(
            calls = silent.len(),
            "calls at the IAX2 hub cut: they are silent while the hub is not"
        );
        for local in silent {
            self.end_forgotten_call(now, local);
        }
    }

    fn remove_call(&mut self, local: u16) {
        if let Some(call) = self.calls.remove(&local) {
            if self.by_name.get(&call.name) == Some(&local) {
                self.by_name.remove(&call.name);
            }
        }
    }

    /// Declares the hub's process dead, because its port is closed or it no longer answers. The ICMP error of a
    /// closed port is reported for the socket, not for a datagram. It therefore does not prove that a pending set-up
    /// never ran: its NEW may have reached the process before it died.
    pub fn declare_dead(&mut self) {
        for call in std::mem::take(&mut self.calls).into_values() {
            if call.state == State::Pending {
                self.events.push(FromHub::ConnectionLost(call.name, call.attempt));
            }
        }
        self.by_name.clear();
        self.events.push(FromHub::Dead);
    }
}

async fn open_socket(local: SocketAddr, hub: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(SocketAddr::new(local.ip(), 0)).await?;
    // A connected socket receives datagrams from the hub's address only, and reports ICMP errors for a closed port.
    socket.connect(hub).await?;
    Ok(socket)
}

/// Starts the task of a link, which ends at [`ToHub::Close`] or when the core's channel closes.
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
        match open_socket(local, hub).await {
            Ok(socket) => break socket,
            Err(error) => tracing::warn!(%hub, "cannot open a socket to the IAX2 hub: {error}"),
        }
        // While the socket cannot be opened, set-ups are reported as unreachable: each must get an end.
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
                // Datagrams that arrived while the process was stopped must be read before the hub's silence is
                // measured.
                tokio::task::yield_now().await;
                while let Ok(length) = socket.try_recv(&mut datagram) {
                    link.receive(clock.now(), &datagram[..length]);
                }
                link.tick(clock.now());
            }
        }
        for datagram in link.datagrams.drain(..) {
            // A datagram that a full socket buffer rejects is treated as lost in the network.
            let _ = socket.try_send(&datagram);
        }
        for event in link.events.drain(..) {
            if core.send(Input::Hub(id, event)).await.is_err() {
                return;
            }
        }
    }
}
