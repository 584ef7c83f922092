//! A link to a table hub over loopback: a hub that stops reading, and what can be taken back then.

#[path = "common/site.rs"]
mod site;

use bytes::Bytes;
use petreldock::core::*;
use petreldock::interface::Micros;
use petreldock::net::{binary, hub, SDP};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Set-ups of 8 KiB: far more than the sockets' buffers take.
const SET_UPS: u64 = 4_000;
const PATIENCE: Duration = Duration::from_secs(20);

struct Desk {
    commands: mpsc::Sender<ToHub>,
    news: mpsc::Receiver<Input>,
    hub: TcpStream,
    clock: Clock,
}

/// A link whose hub took the connection and reads nothing, with all the set-ups queued.
async fn stalled() -> Desk {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let endpoint = listener.local_addr().expect("an address").to_string();
    let (inputs, news) = mpsc::channel(QUEUE);
    let clock = Clock::system();
    let commands = hub::start(LinkId(1), &endpoint, site::config(&[]).limits, clock, inputs);
    let (hub, _) = timeout(PATIENCE, listener.accept()).await.expect("dialled early").expect("accepted");
    let bytes = Bytes::from(vec![b'v'; 8 * 1024]);
    for call in 0..SET_UPS {
        let set_up = SetUp {
            call: CallName(call),
            attempt: call + 1,
            class: "voice".into(),
            number: "1".into(),
            until: clock.now() + Micros(60_000_000),
            description: Description { form: SDP, bytes: bytes.clone() },
        };
        commands.send(ToHub::SetUp(set_up)).await.expect("taken");
    }
    Desk { commands, news, hub, clock }
}

impl Desk {
    async fn news(&mut self) -> FromHub {
        match timeout(PATIENCE, self.news.recv()).await.expect("in time") {
            Some(Input::Hub(LinkId(1), news)) => news,
            other => panic!("news of the hub were expected, not {other:?}"),
        }
    }

    /// Reads as the hub until the link has nothing more to write; the calls whose set-ups came.
    async fn read(&mut self) -> BTreeSet<u64> {
        let (mut input, mut calls) = (Vec::new(), BTreeSet::new());
        let mut bytes = vec![0; 64 * 1024];
        while let Ok(count) = timeout(Duration::from_millis(300), self.hub.read(&mut bytes)).await {
            input.extend_from_slice(&bytes[..count.expect("open")]);
            while let Some(message) = binary::parse(&input).expect("whole messages") {
                if message.kind == binary::kind::SET_UP {
                    calls.insert(message.call);
                }
                let used = message.bytes;
                input.drain(..used);
            }
        }
        assert!(input.is_empty(), "no message is left half written");
        calls
    }
}

#[tokio::test]
async fn what_has_not_begun_is_taken_back_while_the_hub_reads_nothing() {
    let mut desk = stalled().await;
    // The latest first: none of them has begun, and each is told at once.
    let mut taken_back = BTreeSet::new();
    for call in (SET_UPS / 2..SET_UPS).rev() {
        desk.commands.send(ToHub::GiveUp(CallName(call), call + 1)).await.expect("taken");
        match desk.news().await {
            FromHub::GivenUp { call: CallName(given), began: false, .. } => {
                assert_eq!(given, call);
                taken_back.insert(given);
            }
            other => panic!("{other:?}"),
        }
    }
    // One that has begun is given up on the wire, which the hub does not read yet.
    desk.commands.send(ToHub::GiveUp(CallName(0), 1)).await.expect("taken");
    let early = timeout(Duration::from_millis(100), desk.news.recv()).await;
    assert!(early.is_err(), "the give-up is not written yet: {early:?}");
    let came = desk.read().await;
    assert!(came.contains(&0) && came.is_disjoint(&taken_back), "never ran");
    match desk.news().await {
        FromHub::GivenUp { attempt: 1, began: true, .. } => {}
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_drain_is_looked_at_again_at_a_set_ups_first_byte() {
    let mut desk = stalled().await;
    let now = desk.clock.now();
    desk.commands.send(ToHub::NotAfter(Some(now))).await.expect("taken");
    let came = desk.read().await;
    let mut not_sent = BTreeSet::new();
    while came.len() + not_sent.len() < SET_UPS as usize {
        match desk.news().await {
            FromHub::NotSent(CallName(call), _) => assert!(not_sent.insert(call)),
            other => panic!("{other:?}"),
        }
    }
    assert!(!not_sent.is_empty() && not_sent.is_disjoint(&came));
}

#[tokio::test]
async fn a_lost_connection_breaks_what_has_begun_and_brings_the_rest_elsewhere() {
    let desk = stalled().await;
    let Desk { mut news, hub, commands, .. } = desk;
    // Wait till the socket is full, then reset it; the listener is gone, so nothing comes up again.
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(hub);
    let (mut broken, mut unreachable) = (BTreeSet::new(), BTreeSet::new());
    while broken.len() + unreachable.len() < SET_UPS as usize {
        match timeout(PATIENCE, news.recv()).await.expect("in time") {
            Some(Input::Hub(_, FromHub::Broken(CallName(call), _))) => assert!(broken.insert(call)),
            Some(Input::Hub(_, FromHub::Unreachable(CallName(call), _))) => assert!(unreachable.insert(call)),
            other => panic!("{other:?}"),
        }
    }
    assert!(broken.contains(&0) && unreachable.contains(&(SET_UPS - 1)));
    assert!(broken.is_disjoint(&unreachable));
    drop(commands);
}
