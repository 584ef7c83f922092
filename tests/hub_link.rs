//! Tests of the link to a table hub, over loopback: hubs that stop reading or answering, lost connections, stale and
//! malformed messages, and releases after a silence.

#[path = "common/site_config.rs"]
mod site_config;

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

/// Number of set-ups of 8 KiB each, far more than the socket buffers hold.
const SET_UPS: u64 = 4_000;
/// Upper bound of every wait for an event that must come.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A link whose hub has accepted one connection and reads nothing.
struct StalledLink {
    commands: mpsc::Sender<ToHub>,
    events: mpsc::Receiver<Input>,
    hub: TcpStream,
    clock: Clock,
}

/// The command for a set-up whose attempt number is the call id plus one.
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

/// Starts a link to a hub that accepts the connection and reads nothing, and queues [`SET_UPS`] set-ups.
async fn stalled_link() -> StalledLink {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let endpoint = listener.local_addr().expect("an address").to_string();
    let (inputs, events) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let clock = Clock::system();
    let commands = hub::start(
        LinkId(1),
        &endpoint,
        site_config::config(&[]).limits,
        &ConnectionLimit::new(1024),
        &SharedCount::default(),
        clock,
        inputs,
    );
    let (hub, _) =
        timeout(TEST_TIMEOUT, listener.accept()).await.expect("dialled at the start").expect("accepted");
    // No second connection may come up: it would be reset, with what began on it, when the listener goes.
    drop(listener);
    let bytes = Bytes::from(vec![b'v'; 8 * 1024]);
    for call in 0..SET_UPS {
        commands.send(set_up(&clock, call, bytes.clone())).await.expect("taken");
    }
    StalledLink { commands, events, hub, clock }
}

impl StalledLink {
    async fn next_event(&mut self) -> FromHub {
        match timeout(TEST_TIMEOUT, self.events.recv()).await.expect("in time") {
            Some(Input::Hub(LinkId(1), event)) => event,
            other => panic!("expected an event of the hub, got {other:?}"),
        }
    }

    /// Reads as the hub until the connection ends; returns the calls of all complete messages.
    async fn read_calls_to_end(&mut self) -> BTreeSet<u64> {
        let (mut input, mut calls) = (Vec::new(), BTreeSet::new());
        let _ = timeout(TEST_TIMEOUT, self.hub.read_to_end(&mut input)).await.expect("it ends");
        while let Ok(Some(message)) = binary::parse(&input) {
            calls.insert(message.call);
            let used = message.bytes;
            input.drain(..used);
        }
        calls
    }

    /// Reads as the hub until the link writes nothing more; returns the calls whose set-ups arrived.
    async fn read_set_ups(&mut self) -> BTreeSet<u64> {
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
        assert!(input.is_empty(), "no message is left incomplete");
        calls
    }
}

#[tokio::test]
async fn a_queued_set_up_is_withdrawn_at_once_while_the_hub_does_not_read() {
    let mut link = stalled_link().await;
    // Latest first: none of these has begun, so each give-up is confirmed at once.
    let mut withdrawn = BTreeSet::new();
    for call in (SET_UPS / 2..SET_UPS).rev() {
        link.commands.send(ToHub::GiveUp(CallName(call), call + 1)).await.expect("taken");
        match link.next_event().await {
            FromHub::GivenUp { call: CallName(given), began: false, .. } => {
                assert_eq!(given, call);
                withdrawn.insert(given);
            }
            other => panic!("{other:?}"),
        }
    }
    // The give-up of a set-up that has begun must be written, but the hub does not read yet.
    link.commands.send(ToHub::GiveUp(CallName(0), 1)).await.expect("taken");
    let early = timeout(Duration::from_millis(100), link.events.recv()).await;
    assert!(early.is_err(), "confirmed before the give-up was written: {early:?}");
    let received = link.read_set_ups().await;
    assert!(received.contains(&0) && received.is_disjoint(&withdrawn), "a withdrawn set-up was written");
    match link.next_event().await {
        FromHub::GivenUp { attempt: 1, began: true, .. } => {}
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_set_up_queued_before_a_drain_is_not_written_after_it() {
    let mut link = stalled_link().await;
    let now = link.clock.now();
    link.commands.send(ToHub::SetUpCutoff(Some(now))).await.expect("taken");
    let received = link.read_set_ups().await;
    let mut not_sent = BTreeSet::new();
    while received.len() + not_sent.len() < SET_UPS as usize {
        match link.next_event().await {
            FromHub::NotSent(CallName(call), _) => assert!(not_sent.insert(call)),
            other => panic!("{other:?}"),
        }
    }
    assert!(!not_sent.is_empty() && not_sent.is_disjoint(&received));
}

#[tokio::test]
async fn a_lost_connection_breaks_only_the_set_ups_that_have_begun() {
    let link = stalled_link().await;
    let StalledLink { mut events, hub, commands, .. } = link;
    // Resets the connection once the socket is full. The listener is closed, so no new connection can be opened.
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(hub);
    let (mut broken, mut unreachable) = (BTreeSet::new(), BTreeSet::new());
    while broken.len() + unreachable.len() < SET_UPS as usize {
        match timeout(TEST_TIMEOUT, events.recv()).await.expect("in time") {
            Some(Input::Hub(_, FromHub::ConnectionLost(CallName(call), _))) => assert!(broken.insert(call)),
            Some(Input::Hub(_, FromHub::Unreachable(CallName(call), _))) => assert!(unreachable.insert(call)),
            other => panic!("{other:?}"),
        }
    }
    assert!(broken.contains(&0) && unreachable.contains(&(SET_UPS - 1)));
    assert!(broken.is_disjoint(&unreachable));
    drop(commands);
}

/// A link with two open connections to its hub.
struct ConnectedLink {
    commands: mpsc::Sender<ToHub>,
    events: mpsc::Receiver<Input>,
    hub: [TcpStream; 2],
    open: [bool; 2],
    clock: Clock,
}

impl ConnectedLink {
    async fn new() -> ConnectedLink {
        ConnectedLink::dialling(&TcpListener::bind("127.0.0.1:0").await.expect("a port")).await
    }

    async fn dialling(listener: &TcpListener) -> ConnectedLink {
        let endpoint = listener.local_addr().expect("an address").to_string();
        let (inputs, events) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let clock = Clock::system();
        let commands = hub::start(
            LinkId(1),
            &endpoint,
            site_config::config(&[]).limits,
            &ConnectionLimit::new(1024),
            &SharedCount::default(),
            clock,
            inputs,
        );
        let accept =
            || async { timeout(TEST_TIMEOUT, listener.accept()).await.expect("dialled").expect("up").0 };
        let hub = [accept().await, accept().await];
        ConnectedLink { commands, events, hub, open: [true; 2], clock }
    }

    /// Sends a set-up and returns on which of the hub's connections it arrived.
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

    /// Answers a call as the hub and checks that the link reports it.
    async fn answer(&mut self, at: usize, call: u64) {
        let mut bytes = Vec::new();
        binary::write(&mut bytes, binary::kind::ANSWER, call, &[(binary::code::DESCRIPTION, b"v=0")]);
        self.hub[at].write_all(&bytes).await.expect("written");
        assert!(matches!(self.next_event().await, FromHub::Answered(CallName(c), _) if c == call));
    }

    async fn next_event(&mut self) -> FromHub {
        match timeout(TEST_TIMEOUT, self.events.recv()).await.expect("in time") {
            Some(Input::Hub(LinkId(1), event)) => event,
            other => panic!("expected an event of the hub, got {other:?}"),
        }
    }

    /// Waits until the link closes the connection.
    async fn wait_closed(&mut self, at: usize) {
        let mut bytes = [0; 256];
        while timeout(TEST_TIMEOUT, self.hub[at].read(&mut bytes))
            .await
            .expect("in time")
            .is_ok_and(|n| n > 0)
        {}
        self.open[at] = false;
    }
}

/// Exceeds the time by which a later set-up may be answered first before a connection counts as stalled (120 ms).
const OVERTAKEN_DELAY: Duration = Duration::from_millis(200);

#[tokio::test]
async fn a_connection_whose_set_up_is_overtaken_by_a_later_answer_is_closed() {
    for given_up in [false, true] {
        let mut link = ConnectedLink::new().await;
        let stalled = link.set_up(1).await;
        tokio::time::sleep(OVERTAKEN_DELAY).await;
        if given_up {
            // The core gave the set-up up first. No answer is due on its connection now, but it is stalled all the same.
            link.commands.send(ToHub::GiveUp(CallName(1), 2)).await.expect("taken");
            assert!(matches!(link.next_event().await, FromHub::GivenUp { attempt: 2, began: true, .. }));
            let mut give_up = [0; 256];
            let read = timeout(TEST_TIMEOUT, link.hub[stalled].read(&mut give_up)).await;
            assert!(read.expect("in time").is_ok_and(|n| n > 0 && give_up[2] == binary::kind::RELEASE));
        }
        let other = link.set_up(2).await;
        assert_ne!(other, stalled, "the least loaded connection is chosen");
        link.answer(other, 2).await;
        if !given_up {
            assert!(matches!(link.next_event().await, FromHub::ConnectionLost(CallName(1), 2)));
        }
        link.wait_closed(stalled).await;
        assert_eq!(link.set_up(3).await, other, "the other connection keeps working");
    }
}

#[tokio::test]
async fn a_refusal_out_of_order_does_not_close_the_connection_of_an_earlier_set_up() {
    let mut link = ConnectedLink::new().await;
    let slow = link.set_up(1).await;
    tokio::time::sleep(OVERTAKEN_DELAY).await;
    let other = link.set_up(2).await;
    let mut refusal = Vec::new();
    binary::write(&mut refusal, binary::kind::RELEASE, 2, &[(binary::code::CAUSE, &[47])]);
    link.hub[other].write_all(&refusal).await.expect("written");
    assert!(matches!(link.next_event().await, FromHub::Released(CallName(2), ..)));
    tokio::time::sleep(OVERTAKEN_DELAY).await;
    link.answer(slow, 1).await;
}

#[tokio::test]
async fn a_connection_whose_answer_stays_incomplete_is_closed() {
    let mut link = ConnectedLink::new().await;
    let stalled = link.set_up(1).await;
    link.hub[stalled].write_all(&[0, 90, binary::kind::ANSWER, 0, 0]).await.expect("written");
    assert!(matches!(link.next_event().await, FromHub::ConnectionLost(CallName(1), 2)));
    link.wait_closed(stalled).await;
    assert_ne!(link.set_up(2).await, stalled);
}

#[tokio::test]
async fn a_repeated_answer_and_a_message_in_two_parts_do_not_break_the_connection() {
    let mut link = ConnectedLink::new().await;
    let at = link.set_up(1).await;
    link.answer(at, 1).await;
    let mut bytes = Vec::new();
    binary::write(&mut bytes, binary::kind::ANSWER, 1, &[]);
    binary::write(&mut bytes, binary::kind::RELEASE, 1, &[(binary::code::CAUSE, &[16])]);
    link.hub[at].write_all(&bytes[..7]).await.expect("written");
    tokio::time::sleep(Duration::from_millis(20)).await;
    link.hub[at].write_all(&bytes[7..]).await.expect("written");
    let event = link.next_event().await;
    assert!(matches!(event, FromHub::Released(CallName(1), Cause(16), ..)), "{event:?}");
}

/// A listener whose accept queue is soon full.
fn listener_with_short_accept_queue() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
    socket.listen(1).expect("listens")
}

/// Fills the listener's accept queue, so that further dials hang.
async fn fill_accept_queue(listener: &TcpListener) -> Vec<TcpStream> {
    let address = listener.local_addr().expect("an address");
    let mut waiting = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(500), TcpStream::connect(address)).await {
        waiting.push(stream.expect("queued"));
    }
    waiting
}

#[tokio::test]
async fn a_hub_declared_dead_has_its_silent_connections_closed_before_its_set_ups_are_settled() {
    let listener = listener_with_short_accept_queue();
    let mut link = ConnectedLink::dialling(&listener).await;
    let at = link.set_up(1).await;
    link.answer(at, 1).await;
    link.set_up(2).await;
    let _waiting = fill_accept_queue(&listener).await;
    // The set-up is reported before the hub's death. Otherwise the core would send the call to another hub while this
    // one still holds it.
    assert!(matches!(link.next_event().await, FromHub::ConnectionLost(CallName(2), 3)));
    assert!(matches!(link.next_event().await, FromHub::Dead));
    for stream in &mut link.hub {
        let mut bytes = [0; 256];
        let end = timeout(Duration::from_millis(100), stream.read(&mut bytes)).await;
        assert!(matches!(end, Ok(Ok(0) | Err(_))), "still open: {end:?}");
    }
}

/// Gives call 1 up on one connection and sends it again on the other; returns the first and the second connection.
async fn resent_call(link: &mut ConnectedLink) -> (usize, usize) {
    let first = link.set_up(1).await;
    link.commands.send(ToHub::GiveUp(CallName(1), 2)).await.expect("taken");
    assert!(matches!(link.next_event().await, FromHub::GivenUp { attempt: 2, began: true, .. }));
    let mut give_up = [0; 256];
    timeout(TEST_TIMEOUT, link.hub[first].read(&mut give_up)).await.expect("in time").expect("open");
    // Loads the first connection more, so that the call's next attempt goes to the other.
    let busy = link.set_up(7).await;
    let again = link.set_up(1).await;
    assert_ne!(busy, again);
    (busy, again)
}

#[tokio::test]
async fn an_answer_to_an_attempt_given_up_is_not_matched_to_the_next_attempt() {
    let mut link = ConnectedLink::new().await;
    let (busy, again) = resent_call(&mut link).await;
    let mut late = Vec::new();
    binary::write(&mut late, binary::kind::ANSWER, 1, &[(binary::code::DESCRIPTION, b"late")]);
    link.hub[busy].write_all(&late).await.expect("written");
    link.answer(again, 1).await;
    let quiet = timeout(Duration::from_millis(100), link.events.recv()).await;
    assert!(quiet.is_err(), "an event for the stale answer: {quiet:?}");
}

#[tokio::test]
async fn closing_a_link_settles_each_set_up_once_and_is_confirmed() {
    let mut link = stalled_link().await;
    link.commands.send(ToHub::Close).await.expect("taken");
    let (mut broken, mut unreachable) = (BTreeSet::new(), BTreeSet::new());
    loop {
        match link.next_event().await {
            FromHub::ConnectionLost(CallName(call), _) => assert!(broken.insert(call)),
            FromHub::Unreachable(CallName(call), _) => assert!(unreachable.insert(call)),
            FromHub::Closed => break,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(broken.len() + unreachable.len(), SET_UPS as usize);
    assert!(
        broken.contains(&0) && unreachable.contains(&(SET_UPS - 1)),
        "the first set-up has begun, the last has not"
    );
    let received = link.read_calls_to_end().await;
    assert!(received.is_disjoint(&unreachable), "a set-up reported as unreachable was written");
}

/// Writes on a hub's connection without yielding to the link's task.
fn write_without_yield(stream: &TcpStream, bytes: &[u8]) {
    assert_eq!(stream.try_write(bytes).expect("room in the socket buffer"), bytes.len());
}

/// Encodes a message with an optional cause.
fn message(kind: u8, call: u64, cause: Option<u8>) -> Vec<u8> {
    let (mut bytes, cause) = (Vec::new(), cause.map(|c| [c]));
    let parameters: Vec<(u8, &[u8])> = cause.iter().map(|c| (binary::code::CAUSE, &c[..])).collect();
    assert!(binary::write(&mut bytes, kind, call, &parameters));
    bytes
}

#[tokio::test]
async fn an_unread_answer_prevents_its_connection_from_being_closed_as_stalled() {
    // The connection that is read first has the later answer; the earlier answer is still in the other's socket buffer.
    let mut link = ConnectedLink::new().await;
    let first = link.set_up(7).await;
    let second = link.set_up(1).await;
    assert_ne!(first, second);
    link.answer(first, 7).await;
    tokio::time::sleep(OVERTAKEN_DELAY).await;
    assert_eq!(link.set_up(2).await, first, "the least loaded connection");
    write_without_yield(&link.hub[first], &message(binary::kind::ANSWER, 2, None));
    write_without_yield(&link.hub[second], &message(binary::kind::ANSWER, 1, None));
    // Blocks the runtime's thread, so that both answers are there when the link runs again.
    std::thread::sleep(OVERTAKEN_DELAY);
    let mut standing = BTreeSet::new();
    while standing.len() < 2 {
        match link.next_event().await {
            FromHub::Answered(CallName(call), _) => assert!(standing.insert(call)),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(standing, BTreeSet::from([1, 2]));
    // The second half of an answer arrives in time, but the link only runs long after the limit.
    let slow = link.set_up(3).await;
    let answer = message(binary::kind::ANSWER, 3, None);
    write_without_yield(&link.hub[slow], &answer[..5]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    write_without_yield(&link.hub[slow], &answer[5..]);
    std::thread::sleep(Duration::from_millis(500));
    assert!(matches!(link.next_event().await, FromHub::Answered(CallName(3), _)));
}

#[tokio::test]
async fn a_set_up_whose_give_up_is_already_queued_is_never_written() {
    let mut link = ConnectedLink::new().await;
    // The set-up and its give-up are both queued before the link's task runs.
    link.commands.try_send(set_up(&link.clock, 1, Bytes::new())).expect("taken");
    link.commands.try_send(ToHub::GiveUp(CallName(1), 2)).expect("taken");
    link.commands.try_send(set_up(&link.clock, 2, Bytes::new())).expect("taken");
    match link.next_event().await {
        FromHub::GivenUp { attempt: 2, began: false, .. } => {}
        other => panic!("{other:?}"),
    }
    let mut bytes = [0; 256];
    let count = link.hub[0].read(&mut bytes).await.expect("open");
    let received = binary::parse(&bytes[..count]).expect("read").expect("whole");
    assert_eq!((received.call, received.bytes), (2, count), "only the other set-up");
}

#[tokio::test]
async fn a_refusal_of_an_attempt_given_up_is_not_matched_to_the_next_attempt() {
    let mut link = ConnectedLink::new().await;
    let (busy, again) = resent_call(&mut link).await;
    // Cause 34 (full) proves that the hub runs nothing. Matched to the current attempt, it would send the call to another hub
    // while that attempt is open.
    write_without_yield(&link.hub[busy], &message(binary::kind::RELEASE, 1, Some(34)));
    write_without_yield(&link.hub[busy], &message(binary::kind::RELEASE, 1, Some(41)));
    link.answer(again, 1).await;
    // Once the call stands, its release may arrive on any connection.
    write_without_yield(&link.hub[busy], &message(binary::kind::RELEASE, 1, Some(16)));
    let event = link.next_event().await;
    assert!(matches!(event, FromHub::Released(CallName(1), Cause(16), ..)), "{event:?}");
}

#[tokio::test]
async fn a_hanging_dial_does_not_block_the_open_connection() {
    let listener = listener_with_short_accept_queue();
    let mut link = ConnectedLink::dialling(&listener).await;
    let at = link.set_up(1).await;
    link.answer(at, 1).await;
    let _waiting = fill_accept_queue(&listener).await;
    // The other connection is lost, and the dial to replace it hangs.
    link.hub[1 - at].shutdown().await.expect("shut");
    link.wait_closed(1 - at).await;
    for call in 2..6 {
        assert_eq!(link.set_up(call).await, at);
        link.answer(at, call).await;
    }
}

#[tokio::test]
async fn unwritten_give_ups_are_counted_as_outstanding_work() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let endpoint = listener.local_addr().expect("an address").to_string();
    let (inputs, mut events) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let (clock, outstanding) = (Clock::system(), SharedCount::default());
    let limits = site_config::config(&[]).limits;
    let commands =
        hub::start(LinkId(1), &endpoint, limits, &ConnectionLimit::new(1024), &outstanding, clock, inputs);
    let (mut hub, _) = timeout(TEST_TIMEOUT, listener.accept()).await.expect("dialled").expect("accepted");
    let bytes = Bytes::from(vec![b'v'; 8 * 1024]);
    for call in 0..SET_UPS {
        commands.send(set_up(&clock, call, bytes.clone())).await.expect("taken");
    }
    let has_count = |count: usize| {
        let outstanding = outstanding.clone();
        async move {
            while outstanding.count() != count {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    };
    timeout(TEST_TIMEOUT, has_count(0)).await.expect("set-ups are not counted here, as the core counts them");
    // The hub does not read, so the give-up of the set-up that has begun cannot be written.
    commands.send(ToHub::GiveUp(CallName(0), 1)).await.expect("taken");
    timeout(TEST_TIMEOUT, has_count(1)).await.expect("the give-up is counted");
    let mut bytes = vec![0; 64 * 1024];
    while outstanding.count() > 0 {
        timeout(TEST_TIMEOUT, hub.read(&mut bytes)).await.expect("in time").expect("open");
        tokio::task::yield_now().await;
    }
    let event = timeout(TEST_TIMEOUT, events.recv()).await.expect("in time");
    assert!(
        matches!(event, Some(Input::Hub(_, FromHub::GivenUp { attempt: 1, began: true, .. }))),
        "{event:?}"
    );
}

/// Sets call 1 up on one connection and call 7 on the other; returns the connection of call 1 and that of call 7, to
/// which further set-ups go.
async fn calls_on_separate_connections(link: &mut ConnectedLink) -> (usize, usize) {
    let active = link.set_up(7).await;
    let silent = link.set_up(1).await;
    assert_ne!(active, silent);
    link.answer(silent, 1).await;
    link.answer(active, 7).await;
    (silent, active)
}

/// Releases a call as the hub on this connection.
async fn release_on(stream: &mut TcpStream, call: u64) {
    stream.write_all(&message(binary::kind::RELEASE, call, Some(16))).await.expect("written");
}

#[tokio::test]
async fn a_release_lost_on_a_silent_connection_is_recovered_while_another_connection_is_active() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut link = ConnectedLink::dialling(&listener).await;
    let (_silent, active) = calls_on_separate_connections(&mut link).await;
    let begun = tokio::time::Instant::now();
    let mut call = 10;
    // The hub keeps answering on its other connection.
    let mut next = loop {
        assert_eq!(link.set_up(call).await, active, "set-ups go to the active connection");
        link.answer(active, call).await;
        release_on(&mut link.hub[active], call).await;
        assert!(matches!(link.next_event().await, FromHub::Released(CallName(c), ..) if c == call));
        // Reads the link's acknowledgement of the release, so that the next set-up arrives alone.
        let mut heard = [0; 256];
        timeout(TEST_TIMEOUT, link.hub[active].read(&mut heard)).await.expect("in time").expect("open");
        if let Ok(next) = timeout(Duration::from_millis(200), listener.accept()).await {
            break next.expect("accepted").0;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "no new connection");
        call += 1;
    };
    // The hub repeats on the new connection the release that it could not deliver on the silent one.
    release_on(&mut next, 1).await;
    let event = link.next_event().await;
    assert!(matches!(event, FromHub::Released(CallName(1), Cause(16), ..)), "{event:?}");
    release_on(&mut link.hub[active], 7).await;
    assert!(matches!(link.next_event().await, FromHub::Released(CallName(7), ..)));
}

#[tokio::test]
async fn a_release_on_the_connection_dialled_after_a_silence_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut link = ConnectedLink::dialling(&listener).await;
    calls_on_separate_connections(&mut link).await;
    // Both connections are silent, so the link dials to check that the hub is alive.
    let (mut next, _) = timeout(TEST_TIMEOUT, listener.accept()).await.expect("dialled").expect("accepted");
    release_on(&mut next, 1).await;
    release_on(&mut next, 7).await;
    for call in [1, 7] {
        let event = link.next_event().await;
        assert!(matches!(event, FromHub::Released(CallName(c), ..) if c == call), "{event:?}");
    }
}

// Guards against a release to the hub that is dropped because the hub was unreachable for 10 s.
#[tokio::test]
async fn a_release_is_delivered_to_a_hub_that_was_unreachable_for_a_minute() {
    let listener = listener_with_short_accept_queue();
    let mut link = ConnectedLink::dialling(&listener).await;
    let at = link.set_up(1).await;
    link.answer(at, 1).await;
    let waiting = fill_accept_queue(&listener).await;
    for at in [0, 1] {
        link.hub[at].shutdown().await.expect("shut");
        link.wait_closed(at).await;
    }
    link.commands.send(ToHub::Release(CallName(1), Cause::NORMAL)).await.expect("taken");
    tokio::task::yield_now().await;
    for _ in 0..60 {
        tokio::time::pause();
        tokio::time::advance(Duration::from_secs(1)).await;
        tokio::time::resume();
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(waiting);
    let start = std::time::Instant::now();
    loop {
        assert!(start.elapsed() < TEST_TIMEOUT, "the release is not delivered");
        let (mut hub, _) = timeout(TEST_TIMEOUT, listener.accept()).await.expect("dialled").expect("up");
        let mut bytes = [0; 256];
        // Connections that only filled the queue are closed.
        if let Ok(Ok(count @ 1..)) = timeout(Duration::from_secs(1), hub.read(&mut bytes)).await {
            let message = binary::parse(&bytes[..count]).expect("read").expect("whole");
            assert_eq!((message.kind, message.call), (binary::kind::RELEASE, 1));
            return;
        }
    }
}

// Guards against a release lost with a connection, and its repetition with the next, that are closed as a later set-up
// was answered first.
#[tokio::test]
async fn a_release_on_connections_that_later_answers_overtake_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut link = ConnectedLink::dialling(&listener).await;
    let slow = link.set_up(1).await;
    link.answer(slow, 1).await;
    // From now on nothing that the hub writes arrives, except on the prompt connection.
    assert_eq!(link.set_up(2).await, slow);
    tokio::time::sleep(OVERTAKEN_DELAY).await;
    let prompt = link.set_up(3).await;
    link.answer(prompt, 3).await;
    assert!(matches!(link.next_event().await, FromHub::ConnectionLost(CallName(2), 3)));
    let (next, _) = timeout(TEST_TIMEOUT, listener.accept()).await.expect("dialled").expect("accepted");
    let mut first = std::mem::replace(&mut link.hub[slow], next);
    assert_eq!(link.set_up(4).await, prompt, "the connection opened first");
    assert_eq!(link.set_up(5).await, slow);
    tokio::time::sleep(OVERTAKEN_DELAY).await;
    link.answer(prompt, 4).await;
    assert_eq!(link.set_up(6).await, prompt, "the least loaded connection");
    link.answer(prompt, 6).await;
    assert!(matches!(link.next_event().await, FromHub::ConnectionLost(CallName(5), 6)));
    // The hub has released the call on its connection, and again on the next one.
    let late = message(binary::kind::RELEASE, 1, Some(16));
    let _ = first.write_all(&late).await;
    let _ = link.hub[slow].write_all(&late).await;
    let event = link.next_event().await;
    assert!(matches!(event, FromHub::Released(CallName(1), Cause(16), ..)), "{event:?}");
}

// Guards against a release lost because a hub that hung writes it on a connection that was just closed as silent.
#[tokio::test]
async fn a_release_written_on_a_connection_that_was_just_closed_as_silent_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut link = ConnectedLink::dialling(&listener).await;
    let (silent, _) = calls_on_separate_connections(&mut link).await;
    // Both connections are silent, so the link dials, and closes the one that was silent longest.
    let (_next, _) = timeout(TEST_TIMEOUT, listener.accept()).await.expect("dialled").expect("accepted");
    link.wait_closed(silent).await;
    release_on(&mut link.hub[silent], 1).await;
    let event = link.next_event().await;
    assert!(matches!(event, FromHub::Released(CallName(1), Cause(16), ..)), "{event:?}");
}

// Guards against a release of a call from before a restart lost on a connection that is not needed once it is up.
#[tokio::test]
async fn a_release_on_a_connection_that_is_no_longer_needed_is_reported() {
    let listener = listener_with_short_accept_queue();
    let mut link = ConnectedLink::dialling(&listener).await;
    let fillers = fill_accept_queue(&listener).await;
    // The hub is dialled because an answer is overdue, and refuses the set-up before the connection is up.
    let at = link.set_up(1).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    link.hub[at].write_all(&message(binary::kind::RELEASE, 1, Some(34))).await.expect("written");
    assert!(matches!(link.next_event().await, FromHub::Released(CallName(1), Cause(34), ..)));
    drop(fillers);
    let start = std::time::Instant::now();
    loop {
        assert!(start.elapsed() < TEST_TIMEOUT, "the release is not reported");
        let (mut hub, _) = timeout(TEST_TIMEOUT, listener.accept()).await.expect("dialled").expect("up");
        // Connections that only filled the queue are closed.
        let _ = hub.write_all(&message(binary::kind::RELEASE, 99, Some(16))).await;
        if let Ok(Some(Input::Hub(_, event))) = timeout(Duration::from_secs(1), link.events.recv()).await {
            assert!(matches!(event, FromHub::Released(CallName(99), Cause(16), ..)), "{event:?}");
            return;
        }
    }
}

// Guards against a release, repeated as its connection is gone, that is lost when a later answer overtakes the next one.
#[tokio::test]
async fn a_release_repeated_on_a_connection_that_a_later_answer_overtakes_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut link = ConnectedLink::dialling(&listener).await;
    let lost = link.set_up(1).await;
    link.answer(lost, 1).await;
    link.hub[lost].shutdown().await.expect("shut");
    link.wait_closed(lost).await;
    let (next, _) = timeout(TEST_TIMEOUT, listener.accept()).await.expect("dialled").expect("accepted");
    (link.hub[lost], link.open[lost]) = (next, true);
    let (slow, prompt) = (lost, 1 - lost);
    assert_eq!(link.set_up(2).await, prompt, "the connection opened first");
    assert_eq!(link.set_up(3).await, slow);
    tokio::time::sleep(OVERTAKEN_DELAY).await;
    link.answer(prompt, 2).await;
    assert_eq!(link.set_up(4).await, prompt, "the least loaded connection");
    link.answer(prompt, 4).await;
    assert!(matches!(link.next_event().await, FromHub::ConnectionLost(CallName(3), 4)));
    link.wait_closed(slow).await;
    // What the hub wrote there before it saw the end arrives late.
    release_on(&mut link.hub[slow], 1).await;
    let event = link.next_event().await;
    assert!(matches!(event, FromHub::Released(CallName(1), Cause(16), ..)), "{event:?}");
}

// Guards against a connection that is half-closed, and on which the hub goes on writing, taken for one that can deliver
// the release of its call.
#[tokio::test]
async fn a_half_closed_connection_with_traffic_does_not_delay_the_next_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut link = ConnectedLink::dialling(&listener).await;
    let (silent, active) = calls_on_separate_connections(&mut link).await;
    let (_probe, _) = timeout(TEST_TIMEOUT, listener.accept()).await.expect("dialled").expect("accepted");
    link.wait_closed(silent).await;
    let half_closed = std::time::Instant::now();
    let state = message(binary::kind::STATE, 0, None);
    // The hub repeats on the next connection the release that was lost.
    while timeout(Duration::from_millis(200), listener.accept()).await.is_err() {
        assert!(half_closed.elapsed() < Duration::from_secs(7), "no connection in time for a release");
        for connection in [silent, active] {
            link.hub[connection].write_all(&state).await.expect("open");
        }
    }
}
