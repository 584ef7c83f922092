//! A link to a table hub over loopback: a hub that stops reading, and what can be taken back then.

#[path = "common/site.rs"]
mod site;

use bytes::Bytes;
use petreldock::core::*;
use petreldock::interface::Micros;
use petreldock::net::connection_limit::ConnectionLimit;
use petreldock::net::shared_count::SharedCount;
use petreldock::net::{binary, hub, SDP};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
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

fn set_up(clock: &Clock, call: u64, bytes: Bytes) -> ToHub {
    ToHub::SetUp(SetUp {
        call: CallName(call),
        attempt: call + 1,
        class: "voice".into(),
        number: "1".into(),
        until: clock.now() + Micros(60_000_000),
        description: Description { format: SDP, bytes },
    })
}

/// A link whose hub took the connection and reads nothing, with all the set-ups queued.
async fn stalled() -> Desk {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let endpoint = listener.local_addr().expect("an address").to_string();
    let (inputs, news) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let clock = Clock::system();
    let commands = hub::start(
        LinkId(1),
        &endpoint,
        site::config(&[]).limits,
        &ConnectionLimit::new(1024),
        &SharedCount::default(),
        clock,
        inputs,
    );
    let (hub, _) = timeout(PATIENCE, listener.accept()).await.expect("dialled early").expect("accepted");
    // No second connection may come up: it would be reset, with what began on it, when the listener goes.
    drop(listener);
    let bytes = Bytes::from(vec![b'v'; 8 * 1024]);
    for call in 0..SET_UPS {
        commands.send(set_up(&clock, call, bytes.clone())).await.expect("taken");
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

    /// Reads as the hub to the end of the connection; the calls whose set-ups came whole.
    async fn read_to_end(&mut self) -> BTreeSet<u64> {
        let (mut input, mut calls) = (Vec::new(), BTreeSet::new());
        let _ = timeout(PATIENCE, self.hub.read_to_end(&mut input)).await.expect("it ends");
        while let Ok(Some(message)) = binary::parse(&input) {
            calls.insert(message.call);
            let used = message.bytes;
            input.drain(..used);
        }
        calls
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
    desk.commands.send(ToHub::SetUpCutoff(Some(now))).await.expect("taken");
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
            Some(Input::Hub(_, FromHub::ConnectionLost(CallName(call), _))) => assert!(broken.insert(call)),
            Some(Input::Hub(_, FromHub::Unreachable(CallName(call), _))) => assert!(unreachable.insert(call)),
            other => panic!("{other:?}"),
        }
    }
    assert!(broken.contains(&0) && unreachable.contains(&(SET_UPS - 1)));
    assert!(broken.is_disjoint(&unreachable));
    drop(commands);
}

/// A link with both its connections up.
struct Pair {
    commands: mpsc::Sender<ToHub>,
    news: mpsc::Receiver<Input>,
    hub: [TcpStream; 2],
    open: [bool; 2],
    clock: Clock,
}

impl Pair {
    async fn new() -> Pair {
        Pair::listening(&TcpListener::bind("127.0.0.1:0").await.expect("a port")).await
    }

    async fn listening(listener: &TcpListener) -> Pair {
        let endpoint = listener.local_addr().expect("an address").to_string();
        let (inputs, news) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let clock = Clock::system();
        let commands = hub::start(
            LinkId(1),
            &endpoint,
            site::config(&[]).limits,
            &ConnectionLimit::new(1024),
            &SharedCount::default(),
            clock,
            inputs,
        );
        let accept = || async { timeout(PATIENCE, listener.accept()).await.expect("dialled").expect("up").0 };
        let hub = [accept().await, accept().await];
        Pair { commands, news, hub, open: [true; 2], clock }
    }

    /// Sends a set-up, and tells on which of the hub's connections it came.
    async fn set_up(&mut self, call: u64) -> usize {
        self.commands.send(set_up(&self.clock, call, Bytes::new())).await.expect("taken");
        let (mut one, mut two) = ([0; 256], [0; 256]);
        let [first, second] = &mut self.hub;
        let (count, at, bytes) = tokio::select! {
            count = first.read(&mut one), if self.open[0] => (count, 0, &one),
            count = second.read(&mut two), if self.open[1] => (count, 1, &two),
        };
        let message = binary::parse(&bytes[..count.expect("open")]).expect("read").expect("whole");
        assert_eq!((message.kind, message.call), (binary::kind::SET_UP, call));
        at
    }

    async fn answer(&mut self, at: usize, call: u64) {
        let mut bytes = Vec::new();
        binary::write(&mut bytes, binary::kind::ANSWER, call, &[(binary::code::DESCRIPTION, b"v=0")]);
        self.hub[at].write_all(&bytes).await.expect("written");
        assert!(matches!(self.news().await, FromHub::Answered(CallName(c), _) if c == call));
    }

    async fn news(&mut self) -> FromHub {
        match timeout(PATIENCE, self.news.recv()).await.expect("in time") {
            Some(Input::Hub(LinkId(1), news)) => news,
            other => panic!("news of the hub were expected, not {other:?}"),
        }
    }

    /// Waits till the link closes that connection.
    async fn closed(&mut self, at: usize) {
        let mut bytes = [0; 256];
        while timeout(PATIENCE, self.hub[at].read(&mut bytes)).await.expect("in time").is_ok_and(|n| n > 0) {}
        self.open[at] = false;
    }
}

/// Longer than a set-up may be overtaken by.
const LATER: Duration = Duration::from_millis(200);

#[tokio::test]
async fn a_connection_whose_set_up_is_overtaken_is_closed() {
    for called_off in [false, true] {
        let mut pair = Pair::new().await;
        let stuck = pair.set_up(1).await;
        tokio::time::sleep(LATER).await;
        if called_off {
            // The module saw it first; its connection owes nothing now, and is of no use all the same.
            pair.commands.send(ToHub::GiveUp(CallName(1), 2)).await.expect("taken");
            assert!(matches!(pair.news().await, FromHub::GivenUp { attempt: 2, began: true, .. }));
            let mut give_up = [0; 256];
            let read = timeout(PATIENCE, pair.hub[stuck].read(&mut give_up)).await;
            assert!(read.expect("in time").is_ok_and(|n| n > 0 && give_up[2] == binary::kind::RELEASE));
        }
        let other = pair.set_up(2).await;
        assert_ne!(other, stuck, "the one that owes least is taken");
        pair.answer(other, 2).await;
        if !called_off {
            assert!(matches!(pair.news().await, FromHub::ConnectionLost(CallName(1), 2)));
        }
        pair.closed(stuck).await;
        assert_eq!(pair.set_up(3).await, other, "its calls and set-ups go on");
    }
}

#[tokio::test]
async fn a_refusal_ahead_of_its_turn_closes_no_connection() {
    let mut pair = Pair::new().await;
    let slow = pair.set_up(1).await;
    tokio::time::sleep(LATER).await;
    let other = pair.set_up(2).await;
    let mut refusal = Vec::new();
    binary::write(&mut refusal, binary::kind::RELEASE, 2, &[(binary::code::CAUSE, &[47])]);
    pair.hub[other].write_all(&refusal).await.expect("written");
    assert!(matches!(pair.news().await, FromHub::Released(CallName(2), ..)));
    tokio::time::sleep(LATER).await;
    pair.answer(slow, 1).await;
}

#[tokio::test]
async fn a_connection_with_half_an_answer_is_closed() {
    let mut pair = Pair::new().await;
    let stuck = pair.set_up(1).await;
    pair.hub[stuck].write_all(&[0, 90, binary::kind::ANSWER, 0, 0]).await.expect("written");
    assert!(matches!(pair.news().await, FromHub::ConnectionLost(CallName(1), 2)));
    pair.closed(stuck).await;
    assert_ne!(pair.set_up(2).await, stuck);
}

#[tokio::test]
async fn a_second_copy_of_an_answer_and_a_half_that_is_completed_do_no_harm() {
    let mut pair = Pair::new().await;
    let at = pair.set_up(1).await;
    pair.answer(at, 1).await;
    let mut bytes = Vec::new();
    binary::write(&mut bytes, binary::kind::ANSWER, 1, &[]);
    binary::write(&mut bytes, binary::kind::RELEASE, 1, &[(binary::code::CAUSE, &[16])]);
    pair.hub[at].write_all(&bytes[..7]).await.expect("written");
    tokio::time::sleep(Duration::from_millis(20)).await;
    pair.hub[at].write_all(&bytes[7..]).await.expect("written");
    let news = pair.news().await;
    assert!(matches!(news, FromHub::Released(CallName(1), Cause(16), ..)), "{news:?}");
}

/// A door that lets nobody in: its queue is full, and further connections never come up.
async fn shut(listener: &TcpListener) -> Vec<TcpStream> {
    let address = listener.local_addr().expect("an address");
    let mut waiting = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(500), TcpStream::connect(address)).await {
        waiting.push(stream.expect("queued"));
    }
    waiting
}

#[tokio::test]
async fn a_hub_held_to_be_dead_beside_silent_connections_has_them_closed_before_its_set_ups_end() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
    let listener = socket.listen(1).expect("listens");
    let mut pair = Pair::listening(&listener).await;
    let at = pair.set_up(1).await;
    pair.answer(at, 1).await;
    pair.set_up(2).await;
    let _waiting = shut(&listener).await;
    // Danger: told by the death alone, the core would send the call elsewhere while this hub still has it.
    assert!(matches!(pair.news().await, FromHub::ConnectionLost(CallName(2), 3)));
    assert!(matches!(pair.news().await, FromHub::Dead));
    for stream in &mut pair.hub {
        let mut bytes = [0; 256];
        let end = timeout(Duration::from_millis(100), stream.read(&mut bytes)).await;
        assert!(matches!(end, Ok(Ok(0) | Err(_))), "closed by then: {end:?}");
    }
}

/// Call 1 is given up on a connection, and out again on the other; the first and the second.
async fn sent_again(pair: &mut Pair) -> (usize, usize) {
    let first = pair.set_up(1).await;
    pair.commands.send(ToHub::GiveUp(CallName(1), 2)).await.expect("taken");
    assert!(matches!(pair.news().await, FromHub::GivenUp { attempt: 2, began: true, .. }));
    let mut give_up = [0; 256];
    timeout(PATIENCE, pair.hub[first].read(&mut give_up)).await.expect("in time").expect("open");
    // Keeps the first connection the busier one, so that the call's next attempt takes the other.
    let busy = pair.set_up(7).await;
    let again = pair.set_up(1).await;
    assert_ne!(busy, again);
    (busy, again)
}

#[tokio::test]
async fn an_answer_to_what_was_given_up_is_not_taken_for_the_next_attempts() {
    let mut pair = Pair::new().await;
    let (busy, again) = sent_again(&mut pair).await;
    let mut late = Vec::new();
    binary::write(&mut late, binary::kind::ANSWER, 1, &[(binary::code::DESCRIPTION, b"late")]);
    pair.hub[busy].write_all(&late).await.expect("written");
    pair.answer(again, 1).await;
    let quiet = timeout(Duration::from_millis(100), pair.news.recv()).await;
    assert!(quiet.is_err(), "the late one means nothing: {quiet:?}");
}

#[tokio::test]
async fn a_link_that_is_closed_settles_each_set_up_and_says_when_it_is_done() {
    let mut desk = stalled().await;
    desk.commands.send(ToHub::Close).await.expect("taken");
    let (mut broken, mut unreachable) = (BTreeSet::new(), BTreeSet::new());
    loop {
        match desk.news().await {
            FromHub::ConnectionLost(CallName(call), _) => assert!(broken.insert(call)),
            FromHub::Unreachable(CallName(call), _) => assert!(unreachable.insert(call)),
            FromHub::Closed => break,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(broken.len() + unreachable.len(), SET_UPS as usize);
    assert!(broken.contains(&0) && unreachable.contains(&(SET_UPS - 1)), "one byte went out, or none");
    let came = desk.read_to_end().await;
    assert!(came.is_disjoint(&unreachable), "what never ran never came");
}

/// Writes on a hub's connection without letting the link run.
fn write_now(stream: &TcpStream, bytes: &[u8]) {
    assert_eq!(stream.try_write(bytes).expect("room"), bytes.len());
}

fn message(kind: u8, call: u64, cause: Option<u8>) -> Vec<u8> {
    let (mut bytes, cause) = (Vec::new(), cause.map(|c| [c]));
    let parameters: Vec<(u8, &[u8])> = cause.iter().map(|c| (binary::code::CAUSE, &c[..])).collect();
    assert!(binary::write(&mut bytes, kind, call, &parameters));
    bytes
}

#[tokio::test]
async fn an_answer_that_waits_to_be_read_keeps_its_connection_however_late_it_is_read() {
    // The one that is read first brings the later answer; the other's waits in its socket.
    let mut pair = Pair::new().await;
    let first = pair.set_up(7).await;
    let second = pair.set_up(1).await;
    assert_ne!(first, second);
    pair.answer(first, 7).await;
    tokio::time::sleep(LATER).await;
    assert_eq!(pair.set_up(2).await, first, "the one that owes least");
    write_now(&pair.hub[first], &message(binary::kind::ANSWER, 2, None));
    write_now(&pair.hub[second], &message(binary::kind::ANSWER, 1, None));
    // The processor goes elsewhere, so that both are there when it is back.
    std::thread::sleep(LATER);
    let mut stand = BTreeSet::new();
    while stand.len() < 2 {
        match pair.news().await {
            FromHub::Answered(CallName(call), _) => assert!(stand.insert(call)),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(stand, BTreeSet::from([1, 2]));
    // Half an answer, and the other half long after its time, but before anybody looked.
    let slow = pair.set_up(3).await;
    let answer = message(binary::kind::ANSWER, 3, None);
    write_now(&pair.hub[slow], &answer[..5]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    write_now(&pair.hub[slow], &answer[5..]);
    std::thread::sleep(Duration::from_millis(500));
    assert!(matches!(pair.news().await, FromHub::Answered(CallName(3), _)));
}

#[tokio::test]
async fn a_set_up_whose_give_up_waits_behind_it_is_never_written() {
    let mut pair = Pair::new().await;
    // Both are in the link's queue before it runs.
    pair.commands.try_send(set_up(&pair.clock, 1, Bytes::new())).expect("taken");
    pair.commands.try_send(ToHub::GiveUp(CallName(1), 2)).expect("taken");
    pair.commands.try_send(set_up(&pair.clock, 2, Bytes::new())).expect("taken");
    match pair.news().await {
        FromHub::GivenUp { attempt: 2, began: false, .. } => {}
        other => panic!("{other:?}"),
    }
    let mut bytes = [0; 256];
    let count = pair.hub[0].read(&mut bytes).await.expect("open");
    let came = binary::parse(&bytes[..count]).expect("read").expect("whole");
    assert_eq!((came.call, came.bytes), (2, count), "the other one alone");
}

#[tokio::test]
async fn a_refusal_of_what_was_given_up_is_not_taken_for_the_next_attempts() {
    let mut pair = Pair::new().await;
    let (busy, again) = sent_again(&mut pair).await;
    // Danger: 'full' proves that nothing runs, and the call would go elsewhere while this attempt is out.
    write_now(&pair.hub[busy], &message(binary::kind::RELEASE, 1, Some(34)));
    write_now(&pair.hub[busy], &message(binary::kind::RELEASE, 1, Some(41)));
    pair.answer(again, 1).await;
    // Once it stands, its end may come on any connection.
    write_now(&pair.hub[busy], &message(binary::kind::RELEASE, 1, Some(16)));
    let news = pair.news().await;
    assert!(matches!(news, FromHub::Released(CallName(1), Cause(16), ..)), "{news:?}");
}

#[tokio::test]
async fn a_dial_that_hangs_holds_up_nothing_on_the_connection_that_is_up() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
    let listener = socket.listen(1).expect("listens");
    let mut pair = Pair::listening(&listener).await;
    let at = pair.set_up(1).await;
    pair.answer(at, 1).await;
    let _waiting = shut(&listener).await;
    // The other connection is lost, and its next dial never comes up.
    pair.hub[1 - at].shutdown().await.expect("shut");
    pair.closed(1 - at).await;
    for call in 2..6 {
        assert_eq!(pair.set_up(call).await, at);
        pair.answer(at, call).await;
    }
}

#[tokio::test]
async fn ends_that_a_hub_was_not_told_yet_are_owed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let endpoint = listener.local_addr().expect("an address").to_string();
    let (inputs, mut news) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let (clock, owed) = (Clock::system(), SharedCount::default());
    let limits = site::config(&[]).limits;
    let commands =
        hub::start(LinkId(1), &endpoint, limits, &ConnectionLimit::new(1024), &owed, clock, inputs);
    let (mut hub, _) = timeout(PATIENCE, listener.accept()).await.expect("dialled").expect("accepted");
    let bytes = Bytes::from(vec![b'v'; 8 * 1024]);
    for call in 0..SET_UPS {
        commands.send(set_up(&clock, call, bytes.clone())).await.expect("taken");
    }
    let counts = |count: usize| {
        let owed = owed.clone();
        async move {
            while owed.count() != count {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    };
    timeout(PATIENCE, counts(0)).await.expect("a set-up is owed to nobody here: the core counts it");
    // The hub reads nothing: the give-up of what has begun waits.
    commands.send(ToHub::GiveUp(CallName(0), 1)).await.expect("taken");
    timeout(PATIENCE, counts(1)).await.expect("owed");
    let mut bytes = vec![0; 64 * 1024];
    while owed.count() > 0 {
        timeout(PATIENCE, hub.read(&mut bytes)).await.expect("in time").expect("open");
        tokio::task::yield_now().await;
    }
    let news = timeout(PATIENCE, news.recv()).await.expect("in time");
    assert!(
        matches!(news, Some(Input::Hub(_, FromHub::GivenUp { attempt: 1, began: true, .. }))),
        "{news:?}"
    );
}

/// Call 1 stands on one connection; all further set-ups go to the other, which is given back.
async fn standing_apart(pair: &mut Pair) -> (usize, usize) {
    let talks = pair.set_up(7).await;
    let silent = pair.set_up(1).await;
    assert_ne!(talks, silent);
    pair.answer(silent, 1).await;
    pair.answer(talks, 7).await;
    (silent, talks)
}

async fn release_on(stream: &mut TcpStream, call: u64) {
    stream.write_all(&message(binary::kind::RELEASE, call, Some(16))).await.expect("written");
}

#[tokio::test]
async fn a_release_swallowed_by_a_silent_connection_is_heard_though_another_one_talks() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut pair = Pair::listening(&listener).await;
    let (_silent, talks) = standing_apart(&mut pair).await;
    let begun = tokio::time::Instant::now();
    let mut call = 10;
    // The hub is alive all the while: it answers on its other connection.
    let mut next = loop {
        assert_eq!(pair.set_up(call).await, talks, "the silent one was set up on last");
        pair.answer(talks, call).await;
        release_on(&mut pair.hub[talks], call).await;
        assert!(matches!(pair.news().await, FromHub::Released(CallName(c), ..) if c == call));
        // The link's 'release heard' is read, so that the next set-up comes alone.
        let mut heard = [0; 256];
        timeout(PATIENCE, pair.hub[talks].read(&mut heard)).await.expect("in time").expect("open");
        if let Ok(next) = timeout(Duration::from_millis(200), listener.accept()).await {
            break next.expect("accepted").0;
        }
        assert!(begun.elapsed() < PATIENCE, "no new connection");
        call += 1;
    };
    // What it could not tell on the silent one, it tells on the next.
    release_on(&mut next, 1).await;
    let news = pair.news().await;
    assert!(matches!(news, FromHub::Released(CallName(1), Cause(16), ..)), "{news:?}");
    release_on(&mut pair.hub[talks], 7).await;
    assert!(matches!(pair.news().await, FromHub::Released(CallName(7), ..)));
}

#[tokio::test]
async fn a_release_that_comes_on_the_connection_dialled_in_a_silence_is_heard() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut pair = Pair::listening(&listener).await;
    standing_apart(&mut pair).await;
    // Nothing is said on either; the link dials to see whether the hub is there.
    let (mut next, _) = timeout(PATIENCE, listener.accept()).await.expect("dialled").expect("accepted");
    release_on(&mut next, 1).await;
    release_on(&mut next, 7).await;
    for call in [1, 7] {
        let news = pair.news().await;
        assert!(matches!(news, FromHub::Released(CallName(c), ..) if c == call), "{news:?}");
    }
}
