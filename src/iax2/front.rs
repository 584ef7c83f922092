//! The IAX2 front: answers desk equipment's calls through the core.
//!
//! [`Front`] keeps the calls and owns neither clock nor socket; [`run`] gives it both.

use super::cause::{self, Ending};
use super::frame::{self, element, iax, kind, put, Elements, Frame, Full};
use super::media::{Media, Stream};
use super::session::{Session, Verdict};
use super::{DEFAULT_FORMATS, FORM};
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

/// How often retransmissions are looked after.
pub const TICK: Duration = Duration::from_millis(20);
/// Calls at most; a call number is not taken again while its call lingers.
const CALLS_MOST: usize = 8192;
/// Our number in answers outside a call.
const OUTSIDE: u16 = 1;
/// A call that is over still answers repeats for so long.
pub const LINGER: Micros = Micros(5_000_000);
/// A call failed this close to its deadline is told that its time is up.
const DEADLINE_NEAR: Micros = Micros(50_000);
/// The longest datagram that is read.
pub const DATAGRAM_MOST: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The core has not answered yet.
    Offered,
    /// The call stands.
    Standing,
    /// Over; only repeats are answered, until then.
    Over(Micros),
}

struct Call {
    session: Session,
    peer: SocketAddr,
    name: CallName,
    /// The NEW's timestamp, which tells a repeat from another call.
    began: u32,
    formats: u32,
    deadline: Micros,
    state: State,
    media: Stream,
}

/// The front's calls.
pub struct Front {
    id: FrontId,
    class: Arc<str>,
    place: i64,
    answer_within: Micros,
    calls: BTreeMap<u16, Call>,
    by_peer: HashMap<(SocketAddr, u16), u16>,
    by_name: HashMap<CallName, u16>,
    last_number: u16,
    named: u64,
    names: RandomState,
    /// Datagrams to send.
    pub out: Vec<(SocketAddr, Vec<u8>)>,
    /// What the core is to be told.
    pub inputs: Vec<Input>,
}

impl Front {
    /// A front without calls; those that come are taken for calls as `defaults` says.
    pub fn new(id: FrontId, defaults: &Iax2Calls) -> Front {
        Front {
            id,
            class: defaults.class.as_str().into(),
            place: defaults.place,
            answer_within: defaults.answer_within,
            calls: BTreeMap::new(),
            by_peer: HashMap::new(),
            by_name: HashMap::new(),
            last_number: OUTSIDE,
            named: 0,
            names: RandomState::new(),
            out: Vec::new(),
            inputs: Vec::new(),
        }
    }

    /// Calls that are kept, with those that linger.
    pub fn kept(&self) -> usize {
        self.calls.len()
    }

    /// Calls whose desk is owed a word: an answer that was not given, or frames that it has not heard.
    pub fn owes(&self) -> usize {
        self.calls.values().filter(|c| matches!(c.state, State::Offered) || !c.session.settled()).count()
    }

    /// Takes a datagram in.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, datagram: &[u8]) {
        let Some(read) = frame::parse(datagram) else { return };
        match read {
            Frame::Full(full) if full.destination == 0 => self.outside(now, from, &full),
            Frame::Full(full) => {
                // A frame belongs to a call only if it comes from the call's peer, address and number.
                let call = self.calls.get(&full.destination);
                if call.is_some_and(|c| c.peer == from && c.session.remote == full.source) {
                    self.inside(now, full.destination, &full);
                } else if full.counts() && full.destination != OUTSIDE {
                    self.out.push((from, inval(&full)));
                }
            }
            Frame::Mini { source, .. } => {
                let local = self.by_peer.get(&(from, source)).copied();
                if let Some(call) = local.and_then(|l| self.calls.get_mut(&l)) {
                    self.inputs.extend(hear(self.id, call, &read));
                }
            }
        }
    }

    fn outside(&mut self, now: Micros, from: SocketAddr, full: &Full) {
        if let Some(local) = self.by_peer.get(&(from, full.source)).copied() {
            let repeat = self.calls.get(&local).is_some_and(|c| c.began == full.timestamp);
            if repeat || !full.is(iax::NEW) {
                return self.inside(now, local, full);
            }
            // Another call under a number whose last call lingers, or was left without a word.
            self.end(now, local, true);
            self.remove(local);
        }
        let reply = |subclass, data: &[u8]| answer_outside(full, subclass, data);
        match full.subclass {
            _ if full.kind != kind::IAX => self.out.push((from, inval(full))),
            iax::NEW => self.begin(now, from, full),
            iax::POKE => self.out.push((from, reply(iax::PONG, &[]))),
            iax::REGREQ => {
                let mut data = Vec::new();
                put(&mut data, element::CAUSE, b"No registrations here");
                self.out.push((from, reply(iax::REGREJ, &data)));
            }
            _ if full.counts() => self.out.push((from, inval(full))),
            _ => {}
        }
    }

    fn begin(&mut self, now: Micros, from: SocketAddr, full: &Full) {
        let elements = Elements::parse(full.data).unwrap_or_default();
        let number = elements.text(element::CALLED_NUMBER).filter(|n| !n.is_empty());
        let version = elements.number(element::VERSION);
        let ending = match (number, version) {
            (Some(_), Some(2)) if self.calls.len() < CALLS_MOST => None,
            (Some(_), Some(2)) => Some(Ending::Full),
            _ => Some(Ending::Malformed),
        };
        if let Some(ending) = ending {
            let data = cause::elements(ending);
            return self.out.push((from, answer_outside(full, iax::REJECT, &data)));
        }
        let local = self.free_number();
        self.named += 1;
        let name = CallName(self.names.hash_one(self.named));
        let formats = elements.number(element::CAPABILITY).or(elements.number(element::FORMAT));
        let wanted = elements.number(element::FORMAT).filter(|f| f.count_ones() == 1);
        let mut call = Call {
            session: Session::new(local, full.source, now),
            peer: from,
            name,
            began: full.timestamp,
            formats: formats.unwrap_or(DEFAULT_FORMATS),
            deadline: now + self.answer_within,
            state: State::Offered,
            media: Stream::default(),
        };
        let mut out = Vec::new();
        call.session.receive(now, full, &mut out);
        self.out.extend(out.into_iter().map(|d| (from, d)));
        let mut description = Vec::new();
        put(&mut description, element::CAPABILITY, &call.formats.to_be_bytes());
        if let Some(wanted) = wanted {
            put(&mut description, element::FORMAT, &wanted.to_be_bytes());
        }
        if let Some(calling) = elements.get(element::CALLING_NUMBER) {
            put(&mut description, element::CALLING_NUMBER, calling);
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
            description: Description { format: FORM, bytes: description.into() },
        }));
        self.by_peer.insert((from, full.source), local);
        self.by_name.insert(name, local);
        self.calls.insert(local, call);
    }

    fn free_number(&mut self) -> u16 {
        loop {
            self.last_number = if self.last_number >= 0x7ffe { OUTSIDE + 1 } else { self.last_number + 1 };
            if !self.calls.contains_key(&self.last_number) {
                return self.last_number;
            }
        }
    }

    fn inside(&mut self, now: Micros, local: u16, full: &Full) {
        let Some(call) = self.calls.get_mut(&local) else { return };
        let mut out = Vec::new();
        let verdict = call.session.receive(now, full, &mut out);
        let peer = call.peer;
        self.out.extend(out.into_iter().map(|d| (peer, d)));
        match verdict {
            Verdict::Done => {}
            Verdict::Unknown => self.end(now, local, false),
            Verdict::Next => match (full.kind, full.subclass) {
                (kind::IAX, iax::HANGUP | iax::REJECT) => {
                    let elements = Elements::parse(full.data).unwrap_or_default();
                    self.hung_up(now, local, cause::heard(&elements, false).0);
                }
                (kind::CONTROL, frame::control::HANGUP) => self.hung_up(now, local, Cause::NORMAL),
                (kind::VOICE | kind::DTMF, _) => {
                    self.inputs.extend(hear(self.id, call, &Frame::Full(*full)));
                }
                // A frame type that is not spoken is acknowledged and skipped; a subclass is told.
                (kind::IAX, known)
                    if !matches!(known, iax::PONG | iax::LAGRP | iax::UNSUPPORT | iax::NEW) =>
                {
                    let data = [element::IAX_UNKNOWN, 1, known as u8];
                    let reply = call.session.send(now, kind::IAX, iax::UNSUPPORT, &data);
                    self.out.extend(reply.map(|d| (peer, d)));
                }
                _ => {}
            },
        }
    }

    /// The caller hung up, or its leg is lost: the core is told, and repeats are answered for a while.
    fn hung_up(&mut self, now: Micros, local: u16, cause: Cause) {
        let Some(call) = self.calls.get_mut(&local) else { return };
        call.session.forget_sent();
        let origin = Origin(u64::from(local));
        match std::mem::replace(&mut call.state, State::Over(now + LINGER)) {
            State::Offered => self.inputs.push(Input::Withdrawn(self.id, origin, call.name)),
            State::Standing => self.inputs.push(Input::Hangup(self.id, call.name, cause)),
            State::Over(_) => {}
        }
        self.by_name.remove(&call.name);
    }

    fn end(&mut self, now: Micros, local: u16, quiet: bool) {
        self.hung_up(now, local, if quiet { Cause::NORMAL } else { Cause::TEMPORARY_FAILURE });
    }

    fn remove(&mut self, local: u16) {
        if let Some(call) = self.calls.remove(&local) {
            let key = (call.peer, call.session.remote);
            if self.by_peer.get(&key) == Some(&local) {
                self.by_peer.remove(&key);
            }
            self.by_name.remove(&call.name);
        }
    }

    /// Takes an answer of the core.
    pub fn tell(&mut self, now: Micros, message: ToFront) {
        let name = match &message {
            ToFront::Answer(_, name, _)
            | ToFront::Refuse(_, name, _)
            | ToFront::Fail(_, name)
            | ToFront::Release(_, name, _)
            | ToFront::Media(_, name, _) => *name,
        };
        let found = self.by_name.get(&name).copied();
        let Some((local, call)) = found.and_then(|l| self.calls.get_mut(&l).map(|c| (l, c))) else {
            // Danger: the caller hung up while the answer was under way; nobody has the call.
            if let ToFront::Answer(..) = message {
                self.inputs.push(Input::Hangup(self.id, name, Cause::NORMAL));
            }
            return;
        };
        let mut out = Vec::new();
        let session = &mut call.session;
        let ending = match message {
            ToFront::Answer(_, _, description) => {
                let elements = Elements::parse(&description.bytes).unwrap_or_default();
                let told = elements.number(element::FORMAT).filter(|_| description.format == FORM);
                let format = told.filter(|f| f & call.formats != 0).unwrap_or(lowest(call.formats));
                let mut data = Vec::new();
                put(&mut data, element::FORMAT, &format.to_be_bytes());
                out.extend(session.send(now, kind::IAX, iax::ACCEPT, &data));
                out.extend(session.send(now, kind::CONTROL, frame::control::ANSWER, &[]));
                call.state = State::Standing;
                None
            }
            ToFront::Media(_, _, description) => {
                let media = Media::from_core(&description);
                out.extend(media.and_then(|m| call.media.send(&m, session, now)));
                None
            }
            ToFront::Refuse(..) => Some((iax::REJECT, Ending::Refused)),
            ToFront::Fail(..) if now + DEADLINE_NEAR >= call.deadline => {
                Some((iax::REJECT, Ending::DeadlinePassed))
            }
            ToFront::Fail(..) => Some((iax::REJECT, Ending::Failed)),
            ToFront::Release(_, _, cause) => Some((iax::HANGUP, Ending::Released(cause))),
        };
        if let Some((subclass, ending)) = ending {
            session.forget_sent();
            out.extend(session.send(now, kind::IAX, subclass, &cause::elements(ending)));
            call.state = State::Over(now + LINGER);
            self.by_name.remove(&name);
        }
        let peer = call.peer;
        debug_assert_eq!(call.session.local, local);
        self.out.extend(out.into_iter().map(|d| (peer, d)));
    }

    /// Sends again what is due, and forgets what is over.
    pub fn tick(&mut self, now: Micros) {
        let (mut lost, mut over) = (Vec::new(), Vec::new());
        for (local, call) in &mut self.calls {
            let mut out = Vec::new();
            match (call.session.tick(now, &mut out), call.state) {
                (Err(_), _) => lost.push(*local),
                (Ok(()), State::Over(until)) if now >= until && call.session.settled() => over.push(*local),
                _ => {}
            }
            let peer = call.peer;
            self.out.extend(out.into_iter().map(|d| (peer, d)));
        }
        for local in lost {
            self.end(now, local, false);
            self.remove(local);
        }
        over.into_iter().for_each(|local| self.remove(local));
    }
}

/// A frame of media for the core, if the call stands.
fn hear(id: FrontId, call: &mut Call, frame: &Frame) -> Option<Input> {
    let media = call.media.hear(frame)?;
    Some(Input::Media(id, call.name, media.to_core())).filter(|_| call.state == State::Standing)
}

/// The lowest of several formats.
pub fn lowest(formats: u32) -> u32 {
    formats & formats.wrapping_neg()
}

/// Says that a frame's call is not known.
pub fn inval(full: &Full) -> Vec<u8> {
    let (source, destination) = (full.destination.max(OUTSIDE), full.source);
    Full {
        source,
        destination,
        again: false,
        oseq: 0,
        iseq: full.oseq,
        kind: kind::IAX,
        subclass: iax::INVAL,
        data: &[],
        ..*full
    }
    .write()
}

fn answer_outside(full: &Full, subclass: u32, data: &[u8]) -> Vec<u8> {
    let (source, destination) = (OUTSIDE, full.source);
    let iseq = full.oseq.wrapping_add(1);
    Full { source, destination, again: false, oseq: 0, iseq, kind: kind::IAX, subclass, data, ..*full }
        .write()
}

/// Serves desk equipment for ever.
pub async fn run(
    mut front: Front,
    socket: UdpSocket,
    owed: SharedCount,
    clock: Clock,
    core: mpsc::Sender<Input>,
    mut answers: mpsc::Receiver<ToFront>,
) -> io::Result<()> {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut datagram = vec![0; DATAGRAM_MOST];
    let mut debt = owed.share();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut datagram) => {
                // An error here tells of a peer that is gone; its retransmissions find that out.
                if let Ok((length, from)) = received {
                    front.receive(clock.now(), from, &datagram[..length]);
                }
            }
            answer = answers.recv() => match answer {
                Some(answer) => front.tell(clock.now(), answer),
                None => return Ok(()),
            },
            _ = ticks.tick() => {
                front.tick(clock.now());
                debt.set(front.owes());
            }
        }
        for (to, datagram) in front.out.drain(..) {
            // What a full socket drops is sent again as any lost datagram.
            let _ = socket.try_send_to(&datagram, to);
        }
        for input in front.inputs.drain(..) {
            let _ = core.send(input).await;
        }
    }
}
