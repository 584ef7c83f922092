//! Tests of the IAX2 hub link without sockets: another process comes up at the hub's address and doesn't know the calls
//! that stood at the one before.

use petreldock::core::*;
use petreldock::iax2::frame::{self, control, iax, kind, Frame, FullFrame};
use petreldock::iax2::hub::Link;
use petreldock::iax2::media::MediaFrame;
use petreldock::iax2::session::Session;
use petreldock::interface::Micros;

const SECOND: Micros = Micros(1_000_000);
const TICK: Micros = Micros(20_000);
/// Time after its end within which a call must be released.
const RELEASE_TIMEOUT: Micros = Micros(8_000_000);
/// The call that stands when the hub's process is replaced.
const STANDING_CALL: CallName = CallName(1);

/// What the new process does with frames of calls that it does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnknownFrames {
    AnsweredWithInval,
    Ignored,
}

fn full(datagram: &[u8]) -> FullFrame<'_> {
    match frame::parse(datagram) {
        Some(Frame::Full(full)) => full,
        other => panic!("a full frame was expected, not {other:?}"),
    }
}

/// Sends a set-up and has the hub answer it under a call number of its own. Returns the hub's transport.
fn establish(link: &mut Link, now: Micros, call: CallName, number: u16) -> Session {
    link.handle_command(
        now,
        ToHub::SetUp(SetUp {
            call,
            attempt: call.0,
            class: "voice".into(),
            number: "7f3a".into(),
            until: now + Micros(4_000_000),
            description: Description::default(),
        }),
    );
    let mut session = Session::new(number, 0, now);
    for datagram in std::mem::take(&mut link.datagrams) {
        let frame = full(&datagram);
        if frame.is_iax(iax::NEW) {
            session.receive(now, &frame, &mut Vec::new());
        }
    }
    let answer = session.send(now, kind::CONTROL, control::ANSWER, &[]).expect("room");
    link.receive(now, &answer);
    link.datagrams.clear();
    session
}

fn is_release(event: &FromHub, call: CallName) -> bool {
    matches!(event, FromHub::Released(c, Cause::TEMPORARY_FAILURE, ..) if *c == call)
}

/// The PING of one call counted for all calls at the hub, and any frame of the hub as a sign of their life.
#[test]
fn calls_of_a_replaced_process_are_released_in_time_while_the_new_one_is_busy() {
    for unknown_frames in [UnknownFrames::AnsweredWithInval, UnknownFrames::Ignored] {
        let mut link = Link::default();
        let mut now = SECOND;
        for call in 1..=3 {
            establish(&mut link, now, CallName(call), 100 + call as u16);
        }
        link.events.clear();
        let replaced_at = now;
        let mut released = Vec::new();
        while released.len() < 3 {
            now = now + TICK;
            assert!(now < replaced_at + RELEASE_TIMEOUT, "{unknown_frames:?}: {released:?} released in time");
            // The new process sends something all the time.
            if now.0.is_multiple_of(500_000) {
                let poke = FullFrame {
                    source: 200,
                    destination: 0,
                    is_retransmission: false,
                    timestamp: 5,
                    oseq: 0,
                    iseq: 0,
                    kind: kind::IAX,
                    subclass: iax::POKE,
                    data: &[],
                };
                link.receive(now, &poke.encode());
            }
            link.tick(now);
            for datagram in std::mem::take(&mut link.datagrams) {
                let frame = full(&datagram);
                if unknown_frames == UnknownFrames::AnsweredWithInval
                    && frame.is_sequenced()
                    && frame.destination > 0
                {
                    let (source, destination) = (frame.destination, frame.source);
                    let inval =
                        FullFrame { source, destination, subclass: iax::INVAL, kind: kind::IAX, ..frame };
                    link.receive(now, &inval.encode());
                }
            }
            for event in link.events.drain(..) {
                let call = (1..=3).map(CallName).find(|call| is_release(&event, *call));
                released.push(call.unwrap_or_else(|| panic!("{unknown_frames:?}: {event:?}")));
            }
        }
    }
}

/// The caller of an old call heard the voice of a new one, to which the new process had given the old one's number.
#[test]
fn a_call_whose_number_the_hub_gives_to_another_is_over_and_hears_nothing_of_it() {
    let mut link = Link::default();
    establish(&mut link, SECOND, STANDING_CALL, 77);
    link.events.clear();
    let now = SECOND + SECOND;
    let mut session = establish(&mut link, now, CallName(2), 77);
    assert!(link.events.iter().any(|event| is_release(event, STANDING_CALL)), "{:?}", link.events);
    assert!(link.events.iter().any(|event| matches!(event, FromHub::Answered(CallName(2), _))));
    link.events.clear();
    let voice = session.send(now, kind::VOICE, 4, b"voice").expect("room");
    link.receive(now, &voice);
    link.receive(now, &frame::encode_mini(77, 60, b"more"));
    let heard: Vec<CallName> = link
        .events
        .iter()
        .filter_map(|event| match event {
            FromHub::Media(call, description) => MediaFrame::from_description(description).map(|_| *call),
            _ => None,
        })
        .collect();
    assert!(!heard.contains(&STANDING_CALL), "{heard:?}");
    assert!(heard.contains(&CallName(2)), "{:?}", link.events);
}
