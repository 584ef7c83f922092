//! IAX2 without sockets: the transport under lost, repeated and reordered frames, the front and the
//! hub link with injected time.

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

/// Sends `count` frames through a network that loses, repeats and reorders, and says which were
/// acted on at the far end, in order.
fn carry(count: u32, first: u8, fate: impl Fn(u32) -> u32) -> Vec<u32> {
    let (mut near, mut far) = (Session::new(1, 2, Micros(0)), Session::new(2, 1, Micros(0)));
    // Lead both to the wrap of the sequence numbers.
    for _ in 0..first {
        let frame = near.send(Micros(0), kind::DTMF, 1, &[]).expect("room");
        let mut replies = Vec::new();
        far.receive(Micros(0), &full(&frame), &mut replies);
        for reply in &replies {
            near.receive(Micros(0), &full(reply), &mut Vec::new());
        }
    }
    let (mut now, mut acted, mut step) = (Micros(0), Vec::new(), 0);
    let mut wire: Vec<(u32, Vec<u8>, bool)> = Vec::new();
    for n in 0..count {
        let frame = near.send(now, kind::DTMF, n, &[]).expect("room");
        wire.push((0, frame, true));
    }
    for _ in 0..400 {
        for (wait, frame, to_far) in std::mem::take(&mut wire) {
            step += 1;
            let lot = if wait == 0 { fate(step) } else { 3 };
            if lot == 0 {
                continue; // lost
            }
            if lot == 1 {
                wire.push((1, frame, to_far)); // overtaken
                continue;
            }
            let mut replies = Vec::new();
            for _ in 0..if lot == 2 { 2 } else { 1 } {
                let read = full(&frame);
                let session = if to_far { &mut far } else { &mut near };
                if session.receive(now, &read, &mut replies) == ReceiveOutcome::Deliver && to_far {
                    acted.push(read.subclass);
                }
            }
            wire.extend(replies.into_iter().map(|r| (0, r, !to_far)));
        }
        now = now + Micros(20_000);
        let mut again = Vec::new();
        near.tick(now, &mut again).expect("the peer is there");
        wire.extend(again.into_iter().map(|f| (0, f, true)));
    }
    assert!(near.is_fully_acknowledged(), "all is acknowledged in the end");
    acted
}

#[test]
fn lost_repeated_and_reordered_frames_are_acted_on_once_and_in_order() {
    let all: Vec<u32> = (0..20).collect();
    for first in [0, 250] {
        assert_eq!(carry(20, first, |_| 3), all, "a calm network");
        assert_eq!(carry(20, first, |n| if n % 3 == 0 { 0 } else { 3 }), all, "lost");
        assert_eq!(carry(20, first, |_| 2), all, "repeated");
        assert_eq!(carry(20, first, |n| if n % 2 == 0 { 1 } else { 3 }), all, "reordered");
        assert_eq!(carry(20, first, |n| n.wrapping_mul(2_654_435_761) >> 30), all, "all of it");
    }
}

#[test]
fn retransmission_is_bounded() {
    let mut session = Session::new(1, 2, Micros(0));
    let first = session.send(Micros(0), kind::IAX, iax::NEW, &[]).expect("room");
    assert!(!full(&first).is_retransmission);
    let (mut sent, mut now) = (Vec::new(), Micros(0));
    let lost = loop {
        now = now + INITIAL_RETRANSMIT_INTERVAL;
        let mut out = Vec::new();
        if session.tick(now, &mut out).is_err() {
            break now;
        }
        sent.extend(out);
        assert!(now < Micros(60_000_000), "given up at some time");
    };
    assert_eq!(sent.len(), MAX_RETRANSMISSIONS as usize);
    assert!(sent.iter().all(|f| full(f).is_retransmission && full(f).oseq == 0));
    assert_eq!(lost, Micros(INITIAL_RETRANSMIT_INTERVAL.0 * 31), "at doubling gaps");
}

#[test]
fn vnak_brings_back_what_is_missing_and_ping_and_lagrq_are_answered() {
    let (mut near, mut far) = (Session::new(1, 2, Micros(0)), Session::new(2, 1, Micros(0)));
    let frames: Vec<_> = (0..3).map(|n| near.send(Micros(0), kind::DTMF, n, &[]).expect("room")).collect();
    let mut replies = Vec::new();
    assert_eq!(far.receive(Micros(0), &full(&frames[1]), &mut replies), ReceiveOutcome::Consumed);
    assert!(full(&replies[0]).is_iax(iax::VNAK));
    let mut again = Vec::new();
    near.receive(Micros(0), &full(&replies[0]), &mut again);
    assert_eq!(again.iter().map(|f| full(f).oseq).collect::<Vec<_>>(), [0, 1, 2]);
    for (asked, answered) in [(iax::PING, iax::PONG), (iax::LAGRQ, iax::LAGRP)] {
        let mut near = Session::new(1, 2, Micros(0));
        let request = near.send_at(Micros(0), 4321, kind::IAX, asked, &[]).expect("room");
        let mut replies = Vec::new();
        Session::new(2, 1, Micros(0)).receive(SECOND, &full(&request), &mut replies);
        assert!(full(&replies[0]).is_iax(answered) && full(&replies[0]).timestamp == 4321);
        near.receive(SECOND, &full(&replies[0]), &mut Vec::new());
        assert!(near.is_fully_acknowledged(), "the answer acknowledges");
    }
}

// ---- the front ----

fn new_elements() -> Vec<u8> {
    let mut data = Vec::new();
    append_element(&mut data, element::VERSION, &[0, 2]);
    append_element(&mut data, element::CALLED_NUMBER, b"7f3a");
    append_element(&mut data, element::CAPABILITY, &[0, 0, 0, 12]);
    data
}

/// Desk equipment at a front: its transport, and what the front said last.
struct Phone {
    front: Front,
    session: Session,
    now: Micros,
}

impl Phone {
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
        let frame = self.session.send(self.now, kind, subclass, data).expect("room");
        self.front.receive(self.now, peer(4000), &frame);
        frame
    }

    /// What the front sent, seen by the phone's transport, acknowledgements aside.
    fn heard(&mut self) -> Vec<(u8, u32, Vec<u8>)> {
        let mut heard = Vec::new();
        for (to, datagram) in std::mem::take(&mut self.front.datagrams) {
            assert_eq!(to, peer(4000));
            let read = full(&datagram);
            let mut replies = Vec::new();
            if self.session.receive(self.now, &read, &mut replies) == ReceiveOutcome::Deliver {
                heard.push((read.kind, read.subclass, read.data.to_vec()));
            }
            replies.iter().for_each(|r| self.front.receive(self.now, peer(4000), r));
        }
        heard
    }
}

fn cause_of(data: &[u8]) -> Option<u32> {
    Elements::parse(data).expect("elements").number(element::CAUSECODE)
}

#[test]
fn a_call_is_answered_carries_media_and_is_hung_up() {
    let (mut phone, call) = Phone::dial();
    assert!(phone.heard().is_empty(), "acknowledged, and no answer yet");
    let mut description = Vec::new();
    append_element(&mut description, element::FORMAT, &[0, 0, 0, 8]);
    let description = Description { format: petreldock::iax2::DESCRIPTION_FORMAT, bytes: description.into() };
    phone.front.handle_message(phone.now, ToFront::Answer(Origin(2), call, description));
    let heard = phone.heard();
    assert_eq!((heard[0].0, heard[0].1), (kind::IAX, iax::ACCEPT));
    assert_eq!(Elements::parse(&heard[0].2).expect("elements").number(element::FORMAT), Some(8));
    assert_eq!((heard[1].0, heard[1].1), (kind::CONTROL, control::ANSWER));
    phone.send(kind::VOICE, 8, b"full");
    let mini = frame::encode_mini(7, 60, b"mini");
    phone.front.receive(phone.now, peer(4000), &mini);
    phone.front.receive(phone.now, peer(4001), &mini);
    let media: Vec<_> = phone.front.inputs.drain(..).collect();
    assert_eq!(media.len(), 2, "and none from a foreign address: {media:?}");
    assert!(media.iter().all(|m| matches!(m, Input::Media(FrontId(1), c, _) if *c == call)));
    phone.send(kind::IAX, iax::HANGUP, &cause::cause_elements(EndReason::Released(Cause(31))));
    assert!(matches!(phone.front.inputs[..], [Input::Hangup(_, c, Cause(31))] if c == call));
    phone.front.tick(phone.now + Micros(6_000_000));
    assert_eq!(phone.front.call_count(), 0);
}

#[test]
fn a_desk_is_owed_an_answer_and_then_that_it_hears_it() {
    let (mut phone, call) = Phone::dial();
    assert_eq!(phone.front.outstanding_count(), 1, "an answer");
    phone.front.handle_message(phone.now, ToFront::Refuse(Origin(2), call, Micros(0)));
    // The datagram is lost: at a planned end it is waited for, and sent again.
    phone.front.datagrams.clear();
    assert_eq!(phone.front.outstanding_count(), 1, "a word that it has not heard");
    phone.now = phone.now + INITIAL_RETRANSMIT_INTERVAL;
    phone.front.tick(phone.now);
    assert!(matches!(phone.heard()[..], [(kind::IAX, iax::REJECT, _)]));
    assert_eq!(phone.front.outstanding_count(), 0);
}

#[test]
fn refusals_failures_and_releases_have_their_causes() {
    let cases = [
        (iax::REJECT, 42, SECOND, ToFront::Refuse(Origin(2), CallName(0), Micros(0))),
        (iax::REJECT, 41, SECOND, ToFront::Fail(Origin(2), CallName(0))),
        (iax::REJECT, 102, Micros(4_000_000), ToFront::Fail(Origin(2), CallName(0))),
        (iax::HANGUP, 41, SECOND, ToFront::Release(Some(Origin(2)), CallName(0), Cause(41))),
    ];
    for (subclass, code, at, message) in cases {
        let (mut phone, call) = Phone::dial();
        phone.heard();
        phone.now = at;
        let message = match message {
            ToFront::Refuse(o, _, away) => ToFront::Refuse(o, call, away),
            ToFront::Fail(o, _) => ToFront::Fail(o, call),
            _ => ToFront::Release(None, call, Cause(41)),
        };
        phone.front.handle_message(phone.now, message.clone());
        let heard = phone.heard();
        assert_eq!((heard[0].1, cause_of(&heard[0].2)), (subclass, Some(code)), "{message:?}");
        phone.front.handle_message(phone.now, message);
        assert!(phone.heard().is_empty(), "one final answer");
    }
}

#[test]
fn a_repeated_new_is_one_call_and_a_hang_up_before_the_answer_withdraws_it() {
    let (mut phone, call) = Phone::dial();
    let mut repeat = Session::new(7, 0, Micros(0));
    let frame = repeat.send(phone.now, kind::IAX, iax::NEW, &new_elements()).expect("room");
    phone.front.receive(phone.now, peer(4000), &frame);
    assert!(phone.front.inputs.is_empty(), "acknowledged again, and no second call");
    phone.heard();
    phone.send(kind::IAX, iax::HANGUP, &[]);
    assert!(matches!(phone.front.inputs[..], [Input::Withdrawn(_, _, c)] if c == call));
    phone.front.inputs.clear();
    phone.front.handle_message(phone.now, ToFront::Answer(Origin(2), call, Description::default()));
    assert!(phone.front.inputs.iter().any(|i| matches!(i, Input::Hangup(_, c, _) if *c == call)));
    assert!(phone.heard().is_empty(), "an answer that comes too late is not passed on");
}

#[test]
fn a_peer_that_forgot_the_call_or_answers_nothing_ends_it() {
    let stand = || {
        let (mut phone, call) = Phone::dial();
        phone.front.handle_message(phone.now, ToFront::Answer(Origin(2), call, Description::default()));
        (phone, call)
    };
    let (mut phone, call) = stand();
    phone.heard();
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
    let (mut phone, call) = stand();
    (0..2_000).for_each(|n| phone.front.tick(phone.now + Micros(n * 20_000)));
    assert!(matches!(phone.front.inputs[..], [Input::Hangup(_, c, Cause(41))] if c == call));
    assert_eq!(phone.front.call_count(), 0);
}

#[test]
fn what_is_no_call_is_answered_and_starts_nothing() {
    let (mut phone, _) = Phone::dial();
    phone.heard();
    let ask = |kind, subclass, destination, data: &[u8]| {
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
        (ask(kind::IAX, iax::POKE, 0, &[]), Some(iax::PONG)),
        (ask(kind::IAX, iax::NEW, 0, &[]), Some(iax::REJECT)),
        (ask(kind::IAX, iax::REGREQ, 0, &[]), Some(iax::REGREJ)),
        (ask(kind::IAX, iax::PING, 555, &[]), Some(iax::INVAL)),
        (ask(kind::IAX, iax::INVAL, 555, &[]), None),
        (ask(kind::IAX, iax::HANGUP, 2, &[]), Some(iax::INVAL)),
    ];
    for (datagram, answer) in cases {
        phone.front.receive(phone.now, peer(4002), &datagram);
        let said: Vec<_> = phone.front.datagrams.drain(..).collect();
        let subclass = said.first().map(|(to, d)| {
            assert_eq!((*to, full(d).destination), (peer(4002), 9));
            full(d).subclass
        });
        assert_eq!((said.len(), subclass), (usize::from(answer.is_some()), answer), "{datagram:?}");
    }
    assert!(phone.front.inputs.is_empty(), "another address cannot end the call: {:?}", phone.front.inputs);
}

#[test]
fn a_jump_in_calls_is_bounded_and_each_gets_its_answer() {
    let mut front = Front::new(FrontId(1), &Iax2Calls::default());
    let mut rejected = 0;
    for n in 0..9_000_u32 {
        let source = (n % 30_000 + 1) as u16;
        let mut session = Session::new(source, 0, Micros(0));
        let frame = session.send(SECOND, kind::IAX, iax::NEW, &new_elements()).expect("room");
        front.receive(SECOND, peer(4000), &frame);
        let (_, reply) = front.datagrams.pop().expect("each is answered");
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
    assert_eq!(names.len(), front.call_count(), "no name twice");
}

// ---- the hub link ----

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

/// A stand-in hub's transport for one call at a link.
struct Far {
    link: Link,
    session: Session,
    now: Micros,
}

impl Far {
    fn new() -> Far {
        let mut link = Link::default();
        link.handle_command(SECOND, set_up(1, 10, Micros(4_000_000)));
        Far { link, session: Session::new(77, 0, Micros(0)), now: SECOND }
    }

    /// What the link sent, seen by the hub's transport.
    fn heard(&mut self) -> Vec<(u32, Vec<u8>)> {
        let mut heard = Vec::new();
        for datagram in std::mem::take(&mut self.link.datagrams) {
            let read = full(&datagram);
            let mut replies = Vec::new();
            if self.session.receive(self.now, &read, &mut replies) == ReceiveOutcome::Deliver {
                heard.push((read.subclass, read.data.to_vec()));
            }
            replies.iter().for_each(|r| self.link.receive(self.now, r));
        }
        heard
    }

    fn send(&mut self, kind: u8, subclass: u32, data: &[u8]) {
        let frame = self.session.send(self.now, kind, subclass, data).expect("room");
        self.link.receive(self.now, &frame);
    }

    fn events(&mut self) -> Vec<FromHub> {
        std::mem::take(&mut self.link.events)
    }
}

#[test]
fn a_call_is_placed_answered_and_released() {
    let mut far = Far::new();
    let heard = far.heard();
    let elements = Elements::parse(&heard[0].1).expect("elements");
    assert_eq!((heard[0].0, elements.text(element::CALLED_NUMBER)), (iax::NEW, Some("7f3a")));
    assert_eq!(&heard[0].1[..4], [element::VERSION, 2, 0, 2], "the version comes first");
    far.send(kind::IAX, iax::ACCEPT, &[element::FORMAT, 4, 0, 0, 0, 4]);
    far.send(kind::CONTROL, control::RINGING, &[]);
    assert!(far.events().is_empty(), "accepted and ringing is not answered");
    far.send(kind::CONTROL, control::ANSWER, &[]);
    assert!(matches!(far.events()[..], [FromHub::Answered(CallName(1), _)]));
    far.link.handle_command(far.now, ToHub::Release(CallName(1), Cause(16)));
    let heard = far.heard();
    assert_eq!((heard[0].0, cause_of(&heard[0].1)), (iax::HANGUP, Some(16)));
    far.link.tick(far.now + Micros(6_000_000));
    assert_eq!(far.link.call_count(), 0);
}

#[test]
fn a_call_cancelled_while_its_set_up_waits_at_a_slow_hub_is_hung_up_and_stays_so() {
    for new_arrives in [true, false] {
        let mut far = Far::new();
        if new_arrives {
            far.heard();
        } else {
            far.link.datagrams.clear();
        }
        far.link.handle_command(far.now, ToHub::GiveUp(CallName(1), 10));
        let events = far.events();
        assert!(matches!(events[..], [FromHub::GivenUp { attempt: 10, began: true, .. }]), "{events:?}");
        let said: Vec<_> = far.link.datagrams.iter().map(|d| full(d).subclass).collect();
        assert_eq!(said, [iax::HANGUP], "in the same turn");
        if new_arrives {
            assert_eq!(far.heard()[0].0, iax::HANGUP);
            // The answer crosses the hang-up.
            far.send(kind::CONTROL, control::ANSWER, &[]);
        }
        far.now = far.now + SECOND;
        far.link.datagrams.clear();
        far.link.tick(far.now);
        let again: Vec<_> = far.link.datagrams.iter().map(|d| full(d).subclass).collect();
        assert!(!again.contains(&iax::NEW), "a lost NEW must not begin the call after all: {again:?}");
        assert!(far.events().is_empty());
    }
}

#[test]
fn refusals_and_losses_are_told_apart() {
    let told = |kind, subclass, data: &[u8]| {
        let mut far = Far::new();
        far.heard();
        far.send(kind, subclass, data);
        far.events()
    };
    let released = |cause, note| vec![FromHub::Released(CallName(1), Cause(cause), note, Report::default())];
    let reject = |code| cause::cause_elements(EndReason::Released(Cause(code)));
    let same = |a: Vec<FromHub>, b: Vec<FromHub>| assert_eq!(format!("{a:?}"), format!("{b:?}"));
    same(told(kind::IAX, iax::REJECT, &reject(42)), released(34, RefusalNote::Throttled));
    same(told(kind::IAX, iax::REJECT, &reject(34)), released(34, RefusalNote::Congestion));
    same(told(kind::CONTROL, control::BUSY, &[]), released(17, RefusalNote::NumberBusy));
    same(told(kind::CONTROL, control::CONGESTION, &[]), released(34, RefusalNote::Congestion));
    same(told(kind::IAX, iax::AUTHREQ, &[]), released(21, RefusalNote::None));
    same(told(kind::IAX, iax::HANGUP, &reject(16)), released(21, RefusalNote::None));
    let mut silent = Link::default();
    silent.handle_command(SECOND, set_up(1, 10, Micros(90_000_000)));
    (0..2_000).for_each(|n| silent.tick(SECOND + Micros(n * 20_000)));
    assert!(matches!(silent.events[..], [FromHub::ConnectionLost(CallName(1), 10)]), "it may have run");
    let mut closed = Link::default();
    closed.handle_command(SECOND, set_up(1, 10, Micros(4_000_000)));
    closed.declare_dead();
    assert!(matches!(closed.events[..], [FromHub::ConnectionLost(CallName(1), 10), FromHub::Dead]));
}

/// A call that stands at a hub; ticks for `time` while the hub answers, or says nothing.
fn stands_for(time: Micros, hub_answers: bool) -> (Micros, Vec<FromHub>) {
    let mut far = Far::new();
    far.heard();
    far.send(kind::CONTROL, control::ANSWER, &[]);
    far.heard();
    far.events();
    let start = far.now;
    while far.now < start + time && far.link.events.is_empty() {
        far.now = far.now + Micros(20_000);
        far.link.tick(far.now);
        if hub_answers {
            far.heard();
        }
    }
    (far.now - start, far.events())
}

#[test]
fn calls_at_a_hub_that_went_silent_are_cut_in_time_and_go_on_at_one_that_answers() {
    let (took, events) = stands_for(Micros(60_000_000), false);
    assert!(matches!(events[..], [FromHub::Dead]), "{events:?}");
    // Within 8 s of its end a call is released (PROTOCOL, 'The rules on sockets').
    assert!(took < Micros(8_000_000), "after {took:?}");
    let (_, events) = stands_for(Micros(60_000_000), true);
    assert!(events.is_empty(), "{events:?}");
}

#[test]
fn a_drain_and_a_deadline_are_looked_at_before_the_first_frame() {
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
fn media_keeps_its_spacing_across_the_wrap_of_mini_timestamps() {
    let (mut far, mut near) = (Far::new(), Phone::dial());
    far.heard();
    far.send(kind::IAX, iax::ACCEPT, &[]);
    far.send(kind::CONTROL, control::ANSWER, &[]);
    near.0.front.handle_message(SECOND, ToFront::Answer(Origin(2), near.1, Description::default()));
    near.0.heard();
    near.0.front.inputs.clear();
    let voice = near.0.session.send_at(SECOND, 65_500, kind::VOICE, 4, b"0").expect("room");
    near.0.front.receive(SECOND, peer(4000), &voice);
    for stamp in [65_520_u16, 4, 24] {
        near.0.front.receive(SECOND, peer(4000), &frame::encode_mini(7, stamp, b"m"));
    }
    let relayed: Vec<Description> = near
        .0
        .front
        .inputs
        .drain(..)
        .map(|i| match i {
            Input::Media(_, _, frame) => frame,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(relayed.len(), 4);
    far.link.datagrams.clear();
    for frame in relayed {
        far.link.handle_command(SECOND, ToHub::Media(CallName(1), frame));
    }
    let stamps: Vec<u16> = far
        .link
        .datagrams
        .iter()
        .map(|d| match frame::parse(d) {
            Some(Frame::Full(full)) => full.timestamp as u16,
            Some(Frame::Mini { timestamp, .. }) => timestamp,
            None => panic!("no frame"),
        })
        .collect();
    let gaps: Vec<u16> = stamps.windows(2).map(|w| w[1].wrapping_sub(w[0])).collect();
    assert_eq!(gaps, [20, 20, 20]);
    assert!(matches!(frame::parse(&far.link.datagrams[0]), Some(Frame::Full(_))), "the format comes first");
}

#[test]
fn a_call_that_is_given_up_in_the_turn_of_its_set_up_never_goes_out() {
    let mut link = Link::default();
    let turn = [
        set_up(1, 11, Micros(60_000_000)),
        set_up(2, 12, Micros(60_000_000)),
        ToHub::GiveUp(CallName(1), 11),
        // Of an earlier turn, as far as this one can tell.
        ToHub::GiveUp(CallName(3), 13),
    ];
    link.handle_commands(SECOND, &turn);
    let out: Vec<_> = link.datagrams.iter().map(|d| full(d).subclass).collect();
    assert_eq!(out, [iax::NEW], "the other one alone");
    let given_up = |n: &FromHub| match n {
        FromHub::GivenUp { attempt, began, .. } => (*attempt, *began),
        other => panic!("{other:?}"),
    };
    assert_eq!(link.events.iter().map(given_up).collect::<Vec<_>>(), [(11, false), (13, true)]);
}
