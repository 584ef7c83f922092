//! The IAX2 front: serves the calls of desk equipment through the core.
//!
//! [`Front`] holds the state of the calls and has no clock or socket of its own; [`run`] drives it with both.

use super::cause::{self, EndReason};
use super::frame::{self, append_element, element, iax, kind, Elements, Frame, FullFrame};
use super::media::{MediaFrame, MediaStream};
use super::session::{ReceiveOutcome, Session};
use super::{DEFAULT_MEDIA_FORMATS, DESCRIPTION_FORMAT};
use crate::config::Iax2Calls;
use crate::core::{CallName, Cause, Clock, Description, FrontId, Input, Offer, Origin, ToFront};
use crate::interface::Micros;
use crate::net::shared_count::SharedCount;
use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Duration, MissedTickBehavior};

/// Interval at which retransmissions and timeouts are checked.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Limit on calls, including ended ones that linger; a call number is not reused while its call lingers.
const MAX_CALLS: usize = 8192;
/// Local call number in replies that belong to no call.
const OUT_OF_CALL_NUMBER: u16 = 1;
/// Time for which an ended call still answers retransmissions.
pub const LINGER_TIMEOUT: Micros = Micros(5_000_000);
/// A call that fails within this time before its deadline, or later, is reported as timed out.
const DEADLINE_TOLERANCE: Micros = Micros(50_000);
/// Size of the receive buffer; a longer datagram is truncated.
pub const MAX_DATAGRAM_BYTES: usize = 4096;

/// State of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The core has not answered the set-up yet.
    Offered,
    /// The call is established.
    Established,
    /// The call is over. Until this time retransmissions are still answered.
    Ended(Micros),
}

/// A call at the front.
struct Call {
    session: Session,
    peer: SocketAddr,
    name: CallName,
    /// Timestamp of the NEW, which distinguishes its retransmission from a new call.
    new_timestamp: u32,
    formats: u32,
    deadline: Micros,
    state: State,
    media: MediaStream,
}

/// The state of the front's calls.
pub struct Front {
    id: FrontId,
    class: Arc<str>,
    place: i64,
    answer_within: Micros,
    calls: BTreeMap<u16, Call>,
    by_peer: HashMap<(SocketAddr, u16), u16>,
    by_name: HashMap<CallName, u16>,
    last_number: u16,
    last_name_index: u64,
    name_hasher: RandomState,
    /// Datagrams waiting to be sent.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Inputs waiting to be sent to the core.
    pub inputs: Vec<Input>,
}

impl Front {
    /// Creates a front without calls. `defaults` gives the class, place and answer time of its calls.
    pub fn new(id: FrontId, defaults: &Iax2Calls) -> Front {
        Front {
            id,
            class: defaults.class.as_str().into(),
            place: defaults.place,
            answer_within: defaults.answer_within,
            calls: BTreeMap::new(),
            by_peer: HashMap::new(),
            by_name: HashMap::new(),
            last_number: OUT_OF_CALL_NUMBER,
            last_name_index: 0,
            name_hasher: RandomState::new(),
            datagrams: Vec::new(),
            inputs: Vec::new(),
        }
    }

    /// Returns the number of calls, including ended ones that linger.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of calls with outstanding work: a set-up without an answer, or unacknowledged frames.
    pub fn outstanding_count(&self) -> usize {
        self.calls
            .values()
            .filter(|c| matches!(c.state, State::Offered) || !c.session.is_fully_acknowledged())
            .count()
    }

    /// Processes a datagram.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, datagram: &[u8]) {
        let Some(parsed) = frame::parse(datagram) else { return };
        match parsed {
            Frame::Full(full) if full.destination == 0 => self.on_frame_without_call(now, from, &full),
            Frame::Full(full) => {
                // A frame belongs to a call only if the peer's address and call number both match.
                let call = self.calls.get(&full.destination);
                if call.is_some_and(|c| c.peer == from && c.session.remote == full.source) {
                    self.on_call_frame(now, full.destination, &full);
                } else if full.is_sequenced() && full.destination != OUT_OF_CALL_NUMBER {
                    self.datagrams.push((from, encode_inval(&full)));
                }
            }
            Frame::Mini { source, .. } => {
                let local = self.by_peer.get(&(from, source)).copied();
                if let Some(call) = local.and_then(|l| self.calls.get_mut(&l)) {
                    self.inputs.extend(media_input(self.id, call, &parsed));
                }
            }
        }
    }

    fn on_frame_without_call(&mut self, now: Micros, from: SocketAddr, full: &FullFrame) {
        if let Some(local) = self.by_peer.get(&(from, full.source)).copied() {
            let is_repeat = self.calls.get(&local).is_some_and(|c| c.new_timestamp == full.timestamp);
            if is_repeat || !full.is_iax(iax::NEW) {
                return self.on_call_frame(now, local, full);
            }
            // A new call reuses the number of a call that lingers, or that the peer abandoned without a HANGUP.
            self.abort_call(now, local, true);
            self.remove_call(local);
        }
        let reply = |subclass, data: &[u8]| encode_reply_without_call(full, subclass, data);
        match full.subclass {
            _ if full.kind != kind::IAX => self.datagrams.push((from, encode_inval(full))),
            iax::NEW => self.on_new(now, from, full),
            iax::POKE => self.datagrams.push((from, reply(iax::PONG, &[]))),
            iax::REGREQ => {
                let mut data = Vec::new();
                append_element(&mut data, element::CAUSE, b"No registrations here");
                self.datagrams.push((from, reply(iax::REGREJ, &data)));
            }
            _ if full.is_sequenced() => self.datagrams.push((from, encode_inval(full))),
            _ => {}
        }
    }

    fn on_new(&mut self, now: Micros, from: SocketAddr, full: &FullFrame) {
        let elements = Elements::parse(full.data).unwrap_or_default();
        let number = elements.text(element::CALLED_NUMBER).filter(|n| !n.is_empty());
        let version = elements.number(element::VERSION);
        let reason = match (number, version) {
            (Some(_), Some(2)) if self.calls.len() < MAX_CALLS => None,
            (Some(_), Some(2)) => Some(EndReason::CallLimitReached),
            _ => Some(EndReason::Malformed),
        };
        if let Some(reason) = reason {
            let data = cause::cause_elements(reason);
            return self.datagrams.push((from, encode_reply_without_call(full, iax::REJECT, &data)));
        }
        let local = self.allocate_call_number();
        self.last_name_index += 1;
        let name = CallName(self.name_hasher.hash_one(self.last_name_index));
        let formats = elements.number(element::CAPABILITY).or(elements.number(element::FORMAT));
        let requested = elements.number(element::FORMAT).filter(|f| f.count_ones() == 1);
        let mut call = Call {
            session: Session::new(local, full.source, now),
            peer: from,
            name,
            new_timestamp: full.timestamp,
            formats: formats.unwrap_or(DEFAULT_MEDIA_FORMATS),
            deadline: now + self.answer_within,
            state: State::Offered,
            media: MediaStream::default(),
        };
        let mut out = Vec::new();
        call.session.receive(now, full, &mut out);
        self.datagrams.extend(out.into_iter().map(|d| (from, d)));
        let mut description = Vec::new();
        append_element(&mut description, element::CAPABILITY, &call.formats.to_be_bytes());
        if let Some(requested) = requested {
            append_element(&mut description, element::FORMAT, &requested.to_be_bytes());
        }
        if let Some(calling) = elements.get(element::CALLING_NUMBER) {
            append_element(&mut description, element::CALLING_NUMBER, calling);
        }
        self.inputs.push(Input::Offer(Offer {
            front: self.id,
            origin: Origin(u64::from(local)),
            call: name,
            class: self.class.clone(),
            number: number.unwrap_or("").into(),
            place: self.place,
            deadline: Some(call.deadline),
            repeat: false,
            returned: false,
            description: Description { format: DESCRIPTION_FORMAT, bytes: description.into() },
            retained_bytes: 0,
        }));
        self.by_peer.insert((from, full.source), local);
        self.by_name.insert(name, local);
        self.calls.insert(local, call);
    }

    fn allocate_call_number(&mut self) -> u16 {
        loop {
            self.last_number =
                if self.last_number >= 0x7ffe { OUT_OF_CALL_NUMBER + 1 } else { self.last_number + 1 };
            if !self.calls.contains_key(&self.last_number) {
                return self.last_number;
            }
        }
    }

    fn on_call_frame(&mut self, now: Micros, local: u16, full: &FullFrame) {
        let Some(call) = self.calls.get_mut(&local) else { return };
        let mut out = Vec::new();
        let outcome = call.session.receive(now, full, &mut out);
        let peer = call.peer;
        self.datagrams.extend(out.into_iter().map(|d| (peer, d)));
        match outcome {
            ReceiveOutcome::Consumed => {}
            ReceiveOutcome::UnknownCall => self.abort_call(now, local, false),
            ReceiveOutcome::Deliver => match (full.kind, full.subclass) {
                (kind::IAX, iax::HANGUP | iax::REJECT) => {
                    let elements = Elements::parse(full.data).unwrap_or_default();
                    self.end_call(now, local, cause::parse_cause(&elements, false).0);
                }
                (kind::CONTROL, frame::control::HANGUP) => self.end_call(now, local, Cause::NORMAL),
                (kind::VOICE | kind::DTMF, _) => {
                    self.inputs.extend(media_input(self.id, call, &Frame::Full(*full)));
                }
                // An unsupported frame type is acknowledged and ignored; an unsupported IAX subclass is reported.
                (kind::IAX, subclass)
                    if !matches!(subclass, iax::PONG | iax::LAGRP | iax::UNSUPPORT | iax::NEW) =>
                {
                    let data = [element::IAX_UNKNOWN, 1, subclass as u8];
                    let reply = call.session.send(now, kind::IAX, iax::UNSUPPORT, &data);
                    self.datagrams.extend(reply.map(|d| (peer, d)));
                }
                _ => {}
            },
        }
    }

    /// Ends a call whose caller hung up or was lost: informs the core, and lets the call linger for retransmissions.
    fn end_call(&mut self, now: Micros, local: u16, cause: Cause) {
        let Some(call) = self.calls.get_mut(&local) else { return };
        call.session.discard_unacknowledged();
        let origin = Origin(u64::from(local));
        match std::mem::replace(&mut call.state, State::Ended(now + LINGER_TIMEOUT)) {
            State::Offered => self.inputs.push(Input::Withdrawn(self.id, origin, call.name)),
            State::Established => self.inputs.push(Input::Hangup(self.id, call.name, cause)),
            State::Ended(_) => {}
        }
        self.by_name.remove(&call.name);
    }

    /// Ends a call without a HANGUP: the peer replaced it, does not know it, or no longer acknowledges frames.
    fn abort_call(&mut self, now: Micros, local: u16, is_replaced: bool) {
        self.end_call(now, local, if is_replaced { Cause::NORMAL } else { Cause::TEMPORARY_FAILURE });
    }

    fn remove_call(&mut self, local: u16) {
        if let Some(call) = self.calls.remove(&local) {
            let key = (call.peer, call.session.remote);
            if self.by_peer.get(&key) == Some(&local) {
                self.by_peer.remove(&key);
            }
            self.by_name.remove(&call.name);
        }
    }

    /// Processes a message from the core.
    pub fn handle_message(&mut self, now: Micros, message: ToFront) {
        let name = match &message {
            ToFront::Answer(_, name, _)
            | ToFront::Refuse(_, name, _)
            | ToFront::Fail(_, name)
            | ToFront::Release(_, name, _)
            | ToFront::Media(_, name, _) => *name,
        };
        let local = self.by_name.get(&name).copied();
        let Some((local, call)) = local.and_then(|l| self.calls.get_mut(&l).map(|c| (l, c))) else {
            // The caller hung up while the answer was on its way, so the call must be released at the hub.
            if let ToFront::Answer(..) = message {
                self.inputs.push(Input::Hangup(self.id, name, Cause::NORMAL));
            }
            return;
        };
        let mut out = Vec::new();
        let session = &mut call.session;
        let reason = match message {
            ToFront::Answer(_, _, description) => {
                let elements = Elements::parse(&description.bytes).unwrap_or_default();
                let chosen =
                    elements.number(element::FORMAT).filter(|_| description.format == DESCRIPTION_FORMAT);
                let format = chosen.filter(|f| f & call.formats != 0).unwrap_or(lowest_format(call.formats));
                let mut data = Vec::new();
                append_element(&mut data, element::FORMAT, &format.to_be_bytes());
                out.extend(session.send(now, kind::IAX, iax::ACCEPT, &data));
                out.extend(session.send(now, kind::CONTROL, frame::control::ANSWER, &[]));
                call.state = State::Established;
                None
            }
            ToFront::Media(_, _, description) => {
                let media = MediaFrame::from_description(&description);
                out.extend(media.and_then(|m| call.media.send(&m, session, now)));
                None
            }
            ToFront::Refuse(..) => Some((iax::REJECT, EndReason::Refused)),
            ToFront::Fail(..) if now + DEADLINE_TOLERANCE >= call.deadline => {
                Some((iax::REJECT, EndReason::DeadlinePassed))
            }
            ToFront::Fail(..) => Some((iax::REJECT, EndReason::Failed)),
            ToFront::Release(_, _, cause) => Some((iax::HANGUP, EndReason::Released(cause))),
        };
        if let Some((subclass, reason)) = reason {
            session.discard_unacknowledged();
            out.extend(session.send(now, kind::IAX, subclass, &cause::cause_elements(reason)));
            call.state = State::Ended(now + LINGER_TIMEOUT);
            self.by_name.remove(&name);
        }
        let peer = call.peer;
        debug_assert_eq!(call.session.local, local);
        self.datagrams.extend(out.into_iter().map(|d| (peer, d)));
    }

    /// Retransmits the frames that are due, ends the calls of lost peers, and removes ended calls after their linger
    /// time.
    pub fn tick(&mut self, now: Micros) {
        let (mut lost, mut expired) = (Vec::new(), Vec::new());
        for (local, call) in &mut self.calls {
            let mut out = Vec::new();
            match (call.session.tick(now, &mut out), call.state) {
                (Err(_), _) => lost.push(*local),
                (Ok(()), State::Ended(until)) if now >= until && call.session.is_fully_acknowledged() => {
                    expired.push(*local)
                }
                _ => {}
            }
            let peer = call.peer;
            self.datagrams.extend(out.into_iter().map(|d| (peer, d)));
        }
        for local in lost {
            self.abort_call(now, local, false);
            self.remove_call(local);
        }
        expired.into_iter().for_each(|local| self.remove_call(local));
    }
}

/// Returns the core's input for a media frame, if the call is established.
fn media_input(id: FrontId, call: &mut Call, frame: &Frame) -> Option<Input> {
    let media = call.media.receive(frame)?;
    Some(Input::Media(id, call.name, media.to_description())).filter(|_| call.state == State::Established)
}

/// Returns the lowest bit of a set of media formats.
pub fn lowest_format(formats: u32) -> u32 {
    formats & formats.wrapping_neg()
}

/// Encodes an INVAL, which reports that the call of a frame is unknown.
pub fn encode_inval(full: &FullFrame) -> Vec<u8> {
    let (source, destination) = (full.destination.max(OUT_OF_CALL_NUMBER), full.source);
    FullFrame {
        source,
        destination,
        is_retransmission: false,
        oseq: 0,
        iseq: full.oseq,
        kind: kind::IAX,
        subclass: iax::INVAL,
        data: &[],
        ..*full
    }
    .encode()
}

/// Encodes a reply to a frame that belongs to no call.
fn encode_reply_without_call(full: &FullFrame, subclass: u32, data: &[u8]) -> Vec<u8> {
    let (source, destination) = (OUT_OF_CALL_NUMBER, full.source);
    let iseq = full.oseq.wrapping_add(1);
    FullFrame {
        source,
        destination,
        is_retransmission: false,
        oseq: 0,
        iseq,
        kind: kind::IAX,
        subclass,
        data,
        ..*full
    }
    .encode()
}

/// Serves desk equipment until the core's channel closes, and adds the front's outstanding work to `outstanding`.
pub async fn run(
    mut front: Front,
    socket: UdpSocket,
    outstanding: SharedCount,
    clock: Clock,
    core: mpsc::Sender<Input>,
    mut messages: mpsc::Receiver<ToFront>,
) -> io::Result<()> {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    let mut outstanding_share = outstanding.share();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut datagram) => {
                // An error reports an unreachable peer, which the retransmissions detect as well.
                if let Ok((length, from)) = received {
                    front.receive(clock.now(), from, &datagram[..length]);
                }
            }
            message = messages.recv() => match message {
                Some(message) => front.handle_message(clock.now(), message),
                None => return Ok(()),
            },
            _ = ticks.tick() => {
                front.tick(clock.now());
                outstanding_share.set(front.outstanding_count());
            }
        }
        for (to, datagram) in front.datagrams.drain(..) {
            // A datagram that a full socket buffer rejects is treated as lost in the network.
            let _ = socket.try_send_to(&datagram, to);
        }
        for input in front.inputs.drain(..) {
            let _ = core.send(input).await;
        }
    }
}
