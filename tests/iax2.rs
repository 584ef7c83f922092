//! Tests of IAX2 without sockets: the transport under lost, duplicated and reordered frames, and the front and the
//! hub link with simulated time.

use petreldock::config::Iax2Calls;
use petreldock::core::*;
use petreldock::iax2::cause::{self, EndReason};
use petreldock::iax2::frame::{
    self, append_element, control, element, iax, kind, Elements, Frame, FullFrame,
};
use petreldock::iax2::front::Front;
use petreldock::iax2::hub::Link;
use petreldock::iax2::session::{ReceiveOutcome, Session, INITIAL_RETRANSMIT_INTERVAL, MAX_RETRANSMISSIONS};
use petreldock::interface::{Micros, Report};
use std::net::SocketAddr;

const SECOND: Micros = Micros(1_000_000);

fn full(datagram: &[u8]) -> FullFrame<'_> {
    match frame::parse(datagram) {
        Some(Frame::Full(full)) => full,
        other => panic!("a full frame was expected, not {other:?}"),
    }
}

fn peer(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Faults of the simulated network.
const LOSE: u32 = 0;
const DELAY: u32 = 1;
const DUPLICATE: u32 = 2;
const DELIVER: u32 = 3;

/// Sends `count` frames, starting with sequence number `first`, through a network that applies `fault` to each datagram
/// by its index. Returns the frames delivered at the far end in their order.
fn transfer(count: u32, first: u8, fault: impl Fn(u32) -> u32) -> Vec<u32> {
    let (mut near, mut far) = (Session::new(1, 2, Micros(0)), Session::new(2, 1, Micros(0)));
    // Advances both sides to sequence number `first`.
    for _ in 0..first {
        let frame = near.send(Micros(0), kind::DTMF, 1, &[]).expect("the send window has room");
        let mut replies = Vec::new();
        far.receive(Micros(0), &full(&frame), &mut replies);
        for reply in &replies {
            near.receive(Micros(0), &full(reply), &mut Vec::new());
        }
    }
    let (mut now, mut delivered, mut step) = (Micros(0), Vec::new(), 0);
    let mut wire: Vec<(u32, Vec<u8>, bool)> = Vec::new();
    for n in 0..count {
        let frame = near.send(now, kind::DTMF, n, &[]).expect("the send window has room");
        wire.push((0, frame, true));
    }
    for _ in 0..400 {
        for (wait, frame, to_far) in std::mem::take(&mut wire) {
            step += 1;
            let fault = if wait == 0 { fault(step) } else { DELIVER };
            if fault == LOSE {
                continue;
            }
            if fault == DELAY {
                wire.push((1, frame, to_far));
                continue;
            }
            let mut replies = Vec::new();
            for _ in 0..if fault == DUPLICATE { 2 } else { 1 } {
                let read = full(&frame);
                let session = if to_far { &mut far } else { &mut near };
                if session.receive(now, &read, &mut replies) == ReceiveOutcome::Deliver && to_far {
                    delivered.push(read.subclass);
                }
            }
            wire.extend(replies.into_iter().map(|r| (0, r, !to_far)));
        }
        now = now + Micros(20_000);
        let mut retransmitted = Vec::new();
        near.tick(now, &mut retransmitted).expect("the peer acknowledges");
        wire.extend(retransmitted.into_iter().map(|f| (0, f, true)));
    }
    assert!(near.is_fully_acknowledged(), "every frame is acknowledged in the end");
    delivered
}

#[test]
fn lost_duplicated_and_reordered_frames_are_delivered_once_and_in_order() {
    let all: Vec<u32> = (0..20).collect();
    for first in [0, 250] {
        assert_eq!(transfer(20, first, |_| DELIVER), all, "no faults");
        assert_eq!(transfer(20, first, |n| if n % 3 == 0 { LOSE } else { DELIVER }), all, "lost");
        assert_eq!(transfer(20, first, |_| DUPLICATE), all, "duplicated");
        assert_eq!(transfer(20, first, |n| if n % 2 == 0 { DELAY } else { DELIVER }), all, "reordered");
        assert_eq!(transfer(20, first, |n| n.wrapping_mul(2_654_435_761) >> 30), all, "all faults");
    }
}

#[test]
fn retransmission_stops_after_the_limit_and_reports_the_peer_lost() {
    let mut session = Session::new(1, 2, Micros(0));
    let first = session.send(Micros(0), kind::IAX, iax::NEW, &[]).expect("the send window has room");
    assert!(!full(&first).is_retransmission);
    let (mut retransmitted, mut now) = (Vec::new(), Micros(0));
    let lost_at = loop {
        now = now + INITIAL_RETRANSMIT_INTERVAL;
        let mut out = Vec::new();
        if session.tick(now, &mut out).is_err() {
            break now;
        }
        retransmitted.extend(out);
        assert!(now < Micros(60_000_000), "the peer must be reported lost at some time");
    };
    assert_eq!(retransmitted.len(), MAX_RETRANSMISSIONS as usize);
    assert!(retransmitted.iter().all(|f| full(f).is_retransmission && full(f).oseq == 0));
    assert_eq!(lost_at, Micros(INITIAL_RETRANSMIT_INTERVAL.0 * 31), "at doubling intervals");
}

#[test]
fn vnak_retransmits_missing_frames_and_ping_and_lagrq_are_answered() {
    let (mut near, mut far) = (Session::new(1, 2, Micros(0)), Session::new(2, 1, Micros(0)));
    let frames: Vec<_> =
        (0..3).map(|n| near.send(Micros(0), kind::DTMF, n, &[]).expect("the send window has room")).collect();
    let mut replies = Vec::new();
    assert_eq!(far.receive(Micros(0), &full(&frames[1]), &mut replies), ReceiveOutcome::Consumed);
    assert!(full(&replies[0]).is_iax(iax::VNAK));
    let mut retransmitted = Vec::new();
    near.receive(Micros(0), &full(&replies[0]), &mut retransmitted);
    assert_eq!(retransmitted.iter().map(|f| full(f).oseq).collect::<Vec<_>>(), [0, 1, 2]);
    for (request_subclass, reply_subclass) in [(iax::PING, iax::PONG), (iax::LAGRQ, iax::LAGRP)] {
        let mut near = Session::new(1, 2, Micros(0));
        let request = near
            .send_at(Micros(0), 4321, kind::IAX, request_subclass, &[])
            .expect("the send window has room");
        let mut replies = Vec::new();
        Session::new(2, 1, Micros(0)).receive(SECOND, &full(&request), &mut replies);
        assert!(full(&replies[0]).is_iax(reply_subclass) && full(&replies[0]).timestamp == 4321);
        near.receive(SECOND, &full(&replies[0]), &mut Vec::new());
        assert!(near.is_fully_acknowledged(), "the reply acknowledges the request");
    }
}

// The front.

fn new_elements() -> Vec<u8> {
    let mut data = Vec::new();
    append_element(&mut data, element::VERSION, &[0, 2]);
    append_element(&mut data, element::CALLED_NUMBER, b"7f3a");
    append_element(&mut data, element::CAPABILITY, &[0, 0, 0, 12]);
    data
}

/// Desk equipment connected to a front, with its own transport.
struct Phone {
    front: Front,
    session: Session,
    now: Micros,
}

impl Phone {
    /// Sends a NEW, and returns the name of the call that the front offers to the core.
    fn dial() -> (Phone, CallName) {
        let front = Front::new(FrontId(1), &Iax2Calls { class: "voice".into(), ..Iax2Calls::default() });
        let mut phone = Phone { front, session: Session::new(7, 0, Micros(0)), now: SECOND };
        phone.send(kind::IAX, iax::NEW, &new_elements());
        match &phone.front.inputs.drain(..).collect::<Vec<_>>()[..] {
            [Input::Offer(offer)] => {
                assert_eq!((&*offer.class, &*offer.number), ("voice", "7f3a"));
                assert_eq!(offer.deadline, Some(phone.now + Micros(3_000_000)));
                let call = offer.call;
                (phone, call)
            }
            other => panic!("one offer was expected, not {other:?}"),
        }
    }

    fn send(&mut self, kind: u8, subclass: u32, data: &[u8]) -> Vec<u8> {
        let frame = self.session.send(self.now, kind, subclass, data).expect("the send window has room");
        self.front.receive(self.now, peer(4000), &frame);
        frame
    }

    /// Passes what the front sent to the phone's transport, and returns the frames delivered, without acknowledgements.
    fn received(&mut self) -> Vec<(u8, u32, Vec<u8>)> {
        let mut received = Vec::new();
        for (to, datagram) in std::mem::take(&mut self.front.datagrams) {
            assert_eq!(to, peer(4000));
            let read = full(&datagram);
            let mut replies = Vec::new();
            if self.session.receive(self.now, &read, &mut replies) == ReceiveOutcome::Deliver {
                received.push((read.kind, read.subclass, read.data.to_vec()));
            }
            replies.iter().for_each(|r| self.front.receive(self.now, peer(4000), r));
        }
        received
    }
}

fn cause_of(data: &[u8]) -> Option<u32> {
    Elements::parse(data).expect("elements").number(element::CAUSECODE)
}

#[test]
fn an_answered_call_relays_media_and_is_hung_up() {
    let (mut phone, call) = Phone::dial();
    assert!(phone.received().is_empty(), "acknowledged, but not answered yet");
    let mut description = Vec::new();
    append_element(&mut description, element::FORMAT, &[0, 0, 0, 8]);
    let description = Description { format: petreldock::iax2::DESCRIPTION_FORMAT, bytes: description.into() };
    phone.front.handle_message(phone.now, ToFront::Answer(Origin(2), call, description));
    let received = phone.received();
    assert_eq!((received[0].0, received[0].1), (kind::IAX, iax::ACCEPT));
    assert_eq!(Elements::parse(&received[0].2).expect("elements").number(element::FORMAT), Some(8));
    assert_eq!((received[1].0, received[1].1), (kind::CONTROL, control::ANSWER));
    phone.send(kind::VOICE, 8, b"full");
    let mini = frame::encode_mini(7, 60, b"mini");
    phone.front.receive(phone.now, peer(4000), &mini);
    phone.front.receive(phone.now, peer(4001), &mini);
    let media: Vec<_> = phone.front.inputs.drain(..).collect();
    assert_eq!(media.len(), 2, "media from another address must be ignored: {media:?}");
    assert!(media.iter().all(|m| matches!(m, Input::Media(FrontId(1), c, _) if *c == call)));
    phone.send(kind::IAX, iax::HANGUP, &cause::cause_elements(EndReason::Released(Cause(31))));
    assert!(matches!(phone.front.inputs[..], [Input::Hangup(_, c, Cause(31))] if c == call));
    phone.front.tick(phone.now + Micros(6_000_000));
    assert_eq!(phone.front.call_count(), 0);
}

#[test]
fn a_call_counts_as_outstanding_until_its_answer_is_acknowledged() {
    let (mut phone, call) = Phone::dial();
    assert_eq!(phone.front.outstanding_count(), 1, "the call is not answered");
    phone.front.handle_message(phone.now, ToFront::Refuse(Origin(2), call, Micros(0)));
    // The datagram is lost. The process must not exit before its retransmission is acknowledged.
    phone.front.datagrams.clear();
    assert_eq!(phone.front.outstanding_count(), 1, "the answer is not acknowledged");
    phone.now = phone.now + INITIAL_RETRANSMIT_INTERVAL;
    phone.front.tick(phone.now);
    assert!(matches!(phone.received()[..], [(kind::IAX, iax::REJECT, _)]));
    assert_eq!(phone.front.outstanding_count(), 0);
}

#[test]
fn refusals_failures_and_releases_are_sent_with_their_causes() {
    let cases = [
        (iax::REJECT, 42, SECOND, ToFront::Refuse(Origin(2), CallName(0), Micros(0))),
        (iax::REJECT, 41, SECOND, ToFront::Fail(Origin(2), CallName(0))),
        (iax::REJECT, 102, Micros(4_000_000), ToFront::Fail(Origin(2), CallName(0))),
        (iax::HANGUP, 41, SECOND, ToFront::Release(Some(Origin(2)), CallName(0), Cause(41))),
    ];
    for (subclass, code, at, message) in cases {
        let (mut phone, call) = Phone::dial();
        phone.received();
        phone.now = at;
        let message = match message {
            ToFront::Refuse(o, _, retry_after) => ToFront::Refuse(o, call, retry_after),
            ToFront::Fail(o, _) => ToFront::Fail(o, call),
            _ => ToFront::Release(None, call, Cause(41)),
        };
        phone.front.handle_message(phone.now, message.clone());
        let received = phone.received();
        assert_eq!((received[0].1, cause_of(&received[0].2)), (subclass, Some(code)), "{message:?}");
        phone.front.handle_message(phone.now, message);
        assert!(phone.received().is_empty(), "only one final answer");
    }
}

#[test]
fn a_retransmitted_new_starts_no_second_call_and_a_hangup_before_the_answer_withdraws_the_call() {
    let (mut phone, call) = Phone::dial();
    let mut repeat = Session::new(7, 0, Micros(0));
    let frame =
        repeat.send(phone.now, kind::IAX, iax::NEW, &new_elements()).expect("the send window has room");
    phone.front.receive(phone.now, peer(4000), &frame);
    assert!(phone.front.inputs.is_empty(), "the retransmission must not start a second call");
    phone.received();
    phone.send(kind::IAX, iax::HANGUP, &[]);
    assert!(matches!(phone.front.inputs[..], [Input::Withdrawn(_, _, c)] if c == call));
    phone.front.inputs.clear();
    phone.front.handle_message(phone.now, ToFront::Answer(Origin(2), call, Description::default()));
    assert!(phone.front.inputs.iter().any(|i| matches!(i, Input::Hangup(_, c, _) if *c == call)));
    assert!(phone.received().is_empty(), "a late answer must not be sent to the caller");
}

#[test]
fn a_call_ends_if_its_peer_does_not_know_it_or_stops_acknowledging() {
    let establish = || {
        let (mut phone, call) = Phone::dial();
        phone.front.handle_message(phone.now, ToFront::Answer(Origin(2), call, Description::default()));
        (phone, call)
    };
    let (mut phone, call) = establish();
    phone.received();
    let inval = FullFrame {
        source: 7,
        destination: 2,
        is_retransmission: false,
        timestamp: 9,
        oseq: 1,
        iseq: 1,
        kind: kind::IAX,
        subclass: iax::INVAL,
        data: &[],
    };
    phone.front.receive(phone.now, peer(4000), &inval.encode());
    assert!(matches!(phone.front.inputs[..], [Input::Hangup(_, c, Cause(41))] if c == call));
    let (mut phone, call) = establish();
    (0..2_000).for_each(|n| phone.front.tick(phone.now + Micros(n * 20_000)));
    assert!(matches!(phone.front.inputs[..], [Input::Hangup(_, c, Cause(41))] if c == call));
    assert_eq!(phone.front.call_count(), 0);
}

#[test]
fn frames_outside_a_call_are_answered_and_change_no_call() {
    let (mut phone, _) = Phone::dial();
    phone.received();
    let request = |kind, subclass, destination, data: &[u8]| {
        FullFrame {
            source: 9,
            destination,
            is_retransmission: false,
            timestamp: 5,
            oseq: 0,
            iseq: 0,
            kind,
            subclass,
            data,
        }
        .encode()
    };
    let cases = [
        (request(kind::IAX, iax::POKE, 0, &[]), Some(iax::PONG)),
        (request(kind::IAX, iax::NEW, 0, &[]), Some(iax::REJECT)),
        (request(kind::IAX, iax::REGREQ, 0, &[]), Some(iax::REGREJ)),
        (request(kind::IAX, iax::PING, 555, &[]), Some(iax::INVAL)),
        (request(kind::IAX, iax::INVAL, 555, &[]), None),
        (request(kind::IAX, iax::HANGUP, 2, &[]), Some(iax::INVAL)),
    ];
    for (datagram, expected) in cases {
        phone.front.receive(phone.now, peer(4002), &datagram);
        let replies: Vec<_> = phone.front.datagrams.drain(..).collect();
        let subclass = replies.first().map(|(to, d)| {
            assert_eq!((*to, full(d).destination), (peer(4002), 9));
            full(d).subclass
        });
        assert_eq!((replies.len(), subclass), (usize::from(expected.is_some()), expected), "{datagram:?}");
    }
    assert!(
        phone.front.inputs.is_empty(),
        "a frame from another address must not end the call: {:?}",
        phone.front.inputs
    );
}

#[test]
fn calls_above_the_limit_are_rejected_and_every_new_is_answered() {
    let mut front = Front::new(FrontId(1), &Iax2Calls::default());
    let mut rejected = 0;
    for n in 0..9_000_u32 {
        let source = (n % 30_000 + 1) as u16;
        let mut session = Session::new(source, 0, Micros(0));
        let frame =
            session.send(SECOND, kind::IAX, iax::NEW, &new_elements()).expect("the send window has room");
        front.receive(SECOND, peer(4000), &frame);
        let (_, reply) = front.datagrams.pop().expect("every NEW is answered");
        rejected += u32::from(full(&reply).is_iax(iax::REJECT));
    }
    assert_eq!((front.call_count() as u32 + rejected, front.inputs.len()), (9_000, front.call_count()));
    assert!(rejected > 0 && front.call_count() <= 8192);
    let names: std::collections::HashSet<_> = front
        .inputs
        .iter()
        .map(|i| match i {
            Input::Offer(offer) => offer.call,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(names.len(), front.call_count(), "call names are unique");
}

// The hub link.

fn set_up(call: u64, attempt: u64, until: Micros) -> ToHub {
    ToHub::SetUp(SetUp {
        call: CallName(call),
        attempt,
        class: "voice".into(),
        number: "7f3a".into(),
        until,
        description: Description::default(),
    })
}

/// A link with one set-up sent, and the transport of a simulated hub.
struct HubPeer {
    link: Link,
    session: Session,
    now: Micros,
}

impl HubPeer {
    fn new() -> HubPeer {
        let mut link = Link::default();
        link.handle_command(SECOND, set_up(1, 10, Micros(4_000_000)));
        HubPeer { link, session: Session::new(77, 0, Micros(0)), now: SECOND }
    }

    /// Passes what the link sent to the hub's transport, and returns the frames delivered.
    fn received(&mut self) -> Vec<(u32, Vec<u8>)> {
        let mut received = Vec::new();
        for datagram in std::mem::take(&mut self.link.datagrams) {
            let read = full(&datagram);
            let mut replies = Vec::new();
            if self.session.receive(self.now, &read, &mut replies) == ReceiveOutcome::Deliver {
                received.push((read.subclass, read.data.to_vec()));
            }
            replies.iter().for_each(|r| self.link.receive(self.now, r));
        }
        received
    }

    fn send(&mut self, kind: u8, subclass: u32, data: &[u8]) {
        let frame = self.session.send(self.now, kind, subclass, data).expect("the send window has room");
        self.link.receive(self.now, &frame);
    }

    fn events(&mut self) -> Vec<FromHub> {
        std::mem::take(&mut self.link.events)
    }
}

#[test]
fn a_call_is_set_up_answered_and_released() {
    let mut hub = HubPeer::new();
    let received = hub.received();
    let elements = Elements::parse(&received[0].1).expect("elements");
    assert_eq!((received[0].0, elements.text(element::CALLED_NUMBER)), (iax::NEW, Some("7f3a")));
    assert_eq!(&received[0].1[..4], [element::VERSION, 2, 0, 2], "the version comes first");
    hub.send(kind::IAX, iax::ACCEPT, &[element::FORMAT, 4, 0, 0, 0, 4]);
    hub.send(kind::CONTROL, control::RINGING, &[]);
    assert!(hub.events().is_empty(), "ACCEPT and RINGING are not an answer");
    hub.send(kind::CONTROL, control::ANSWER, &[]);
    assert!(matches!(hub.events()[..], [FromHub::Answered(CallName(1), _)]));
    hub.link.handle_command(hub.now, ToHub::Release(CallName(1), Cause(16)));
    let received = hub.received();
    assert_eq!((received[0].0, cause_of(&received[0].1)), (iax::HANGUP, Some(16)));
    hub.link.tick(hub.now + Micros(6_000_000));
    assert_eq!(hub.link.call_count(), 0);
}

#[test]
fn a_set_up_given_up_at_a_slow_hub_is_hung_up_and_never_restarted() {
    for new_arrives in [true, false] {
        let mut hub = HubPeer::new();
        if new_arrives {
            hub.received();
        } else {
            hub.link.datagrams.clear();
        }
        hub.link.handle_command(hub.now, ToHub::GiveUp(CallName(1), 10));
        let events = hub.events();
        assert!(matches!(events[..], [FromHub::GivenUp { attempt: 10, began: true, .. }]), "{events:?}");
        let sent: Vec<_> = hub.link.datagrams.iter().map(|d| full(d).subclass).collect();
        assert_eq!(sent, [iax::HANGUP], "sent at once");
        if new_arrives {
            assert_eq!(hub.received()[0].0, iax::HANGUP);
            // The answer crosses the HANGUP.
            hub.send(kind::CONTROL, control::ANSWER, &[]);
        }
        hub.now = hub.now + SECOND;
        hub.link.datagrams.clear();
        hub.link.tick(hub.now);
        let retransmitted: Vec<_> = hub.link.datagrams.iter().map(|d| full(d).subclass).collect();
        assert!(!retransmitted.contains(&iax::NEW), "a lost NEW must not start the call: {retransmitted:?}");
        assert!(hub.events().is_empty());
    }
}

#[test]
fn refusals_and_lost_connections_are_reported_as_different_events() {
    let events_after = |kind, subclass, data: &[u8]| {
        let mut hub = HubPeer::new();
        hub.received();
        hub.send(kind, subclass, data);
        hub.events()
    };
    let released = |cause, note| vec![FromHub::Released(CallName(1), Cause(cause), note, Report::default())];
    let reject = |code| cause::cause_elements(EndReason::Released(Cause(code)));
    let assert_same = |a: Vec<FromHub>, b: Vec<FromHub>| assert_eq!(format!("{a:?}"), format!("{b:?}"));
    assert_same(events_after(kind::IAX, iax::REJECT, &reject(42)), released(34, RefusalNote::Throttled));
    assert_same(events_after(kind::IAX, iax::REJECT, &reject(34)), released(34, RefusalNote::Congestion));
    assert_same(events_after(kind::CONTROL, control::BUSY, &[]), released(17, RefusalNote::NumberBusy));
    assert_same(events_after(kind::CONTROL, control::CONGESTION, &[]), released(34, RefusalNote::Congestion));
    assert_same(events_after(kind::IAX, iax::AUTHREQ, &[]), released(21, RefusalNote::None));
    assert_same(events_after(kind::IAX, iax::HANGUP, &reject(16)), released(21, RefusalNote::None));
    let mut silent = Link::default();
    silent.handle_command(SECOND, set_up(1, 10, Micros(90_000_000)));
    (0..2_000).for_each(|n| silent.tick(SECOND + Micros(n * 20_000)));
    assert!(
        matches!(silent.events[..], [FromHub::ConnectionLost(CallName(1), 10)]),
        "the set-up may have run"
    );
    let mut closed = Link::default();
    closed.handle_command(SECOND, set_up(1, 10, Micros(4_000_000)));
    closed.declare_dead();
    assert!(matches!(closed.events[..], [FromHub::ConnectionLost(CallName(1), 10), FromHub::Dead]));
}

/// Establishes a call at a hub that then answers or stays silent, and ticks the link for `time` or until it reports an
/// event. Returns the time passed and the events.
fn run_established_call(time: Micros, hub_answers: bool) -> (Micros, Vec<FromHub>) {
    let mut hub = HubPeer::new();
    hub.received();
    hub.send(kind::CONTROL, control::ANSWER, &[]);
    hub.received();
    hub.events();
    let start = hub.now;
    while hub.now < start + time && hub.link.events.is_empty() {
        hub.now = hub.now + Micros(20_000);
        hub.link.tick(hub.now);
        if hub_answers {
            hub.received();
        }
    }
    (hub.now - start, hub.events())
}

#[test]
fn calls_at_a_silent_hub_are_cut_in_time_and_calls_at_a_responding_hub_continue() {
    let (elapsed, events) = run_established_call(Micros(60_000_000), false);
    assert!(matches!(events[..], [FromHub::Dead]), "{events:?}");
    // A call at a hub process that ended must be released within 8 s.
    assert!(elapsed < Micros(8_000_000), "after {elapsed:?}");
    let (_, events) = run_established_call(Micros(60_000_000), true);
    assert!(events.is_empty(), "{events:?}");
}

#[test]
fn no_set_up_is_sent_after_its_deadline_or_the_drain_cutoff() {
    let mut link = Link::default();
    link.handle_command(SECOND, set_up(1, 10, SECOND));
    link.handle_command(SECOND, ToHub::SetUpCutoff(Some(SECOND)));
    link.handle_command(SECOND, set_up(2, 11, Micros(4_000_000)));
    assert!(matches!(
        link.events[..],
        [FromHub::NotSent(CallName(1), 10), FromHub::NotSent(CallName(2), 11)]
    ));
    assert!(link.datagrams.is_empty());
    link.handle_command(SECOND, ToHub::SetUpCutoff(None));
    link.handle_command(SECOND, set_up(3, 12, Micros(4_000_000)));
    assert_eq!(link.datagrams.len(), 1);
}

#[test]
fn relayed_media_keeps_its_timestamp_intervals_across_the_wrap_of_mini_timestamps() {
    let (mut hub, (mut phone, call)) = (HubPeer::new(), Phone::dial());
    hub.received();
    hub.send(kind::IAX, iax::ACCEPT, &[]);
    hub.send(kind::CONTROL, control::ANSWER, &[]);
    phone.front.handle_message(SECOND, ToFront::Answer(Origin(2), call, Description::default()));
    phone.received();
    phone.front.inputs.clear();
    let voice =
        phone.session.send_at(SECOND, 65_500, kind::VOICE, 4, b"0").expect("the send window has room");
    phone.front.receive(SECOND, peer(4000), &voice);
    for timestamp in [65_520_u16, 4, 24] {
        phone.front.receive(SECOND, peer(4000), &frame::encode_mini(7, timestamp, b"m"));
    }
    let relayed: Vec<Description> = phone
        .front
        .inputs
        .drain(..)
        .map(|i| match i {
            Input::Media(_, _, frame) => frame,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(relayed.len(), 4);
    hub.link.datagrams.clear();
    for frame in relayed {
        hub.link.handle_command(SECOND, ToHub::Media(CallName(1), frame));
    }
    let timestamps: Vec<u16> = hub
        .link
        .datagrams
        .iter()
        .map(|d| match frame::parse(d) {
            Some(Frame::Full(full)) => full.timestamp as u16,
            Some(Frame::Mini { timestamp, .. }) => timestamp,
            None => panic!("not a frame"),
        })
        .collect();
    let intervals: Vec<u16> = timestamps.windows(2).map(|w| w[1].wrapping_sub(w[0])).collect();
    assert_eq!(intervals, [20, 20, 20]);
    assert!(
        matches!(frame::parse(&hub.link.datagrams[0]), Some(Frame::Full(_))),
        "a full frame with the format comes first"
    );
}

#[test]
fn a_set_up_given_up_in_the_same_batch_is_never_sent() {
    let mut link = Link::default();
    let batch = [
        set_up(1, 11, Micros(60_000_000)),
        set_up(2, 12, Micros(60_000_000)),
        ToHub::GiveUp(CallName(1), 11),
        // Its set-up is not in this batch, so it may have been sent in an earlier one.
        ToHub::GiveUp(CallName(3), 13),
    ];
    link.handle_commands(SECOND, &batch);
    let out: Vec<_> = link.datagrams.iter().map(|d| full(d).subclass).collect();
    assert_eq!(out, [iax::NEW], "only the other set-up is sent");
    let given_up = |n: &FromHub| match n {
        FromHub::GivenUp { attempt, began, .. } => (*attempt, *began),
        other => panic!("{other:?}"),
    };
    assert_eq!(link.events.iter().map(given_up).collect::<Vec<_>>(), [(11, false), (13, true)]);
}
