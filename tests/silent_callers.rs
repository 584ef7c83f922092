//! Callers whose connections stay open and say nothing more (a machine that vanished, a network that was cut):
//! what they swallow of our releases has to come on another connection, within 1 s of the hub's release.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/script.rs"]
mod script;
#[path = "front/server.rs"]
mod server;
#[path = "common/site.rs"]
mod site;

use bytes::Bytes;
use petreldock::core::{CallName, Cause, Description, Origin, ToFront};
use petreldock::net::binary::{code, kind};
use petreldock::net::sip::{self, Start};
use petreldock::net::SDP;
use server::{message, TestServer};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A release reaches its client within this (PROTOCOL, 'The rules on sockets').
const RULE: Duration = Duration::from_secs(1);
/// Longer than any repeat takes: what has not come by then does not come.
const SETTLED: Duration = Duration::from_millis(1_500);
const MILLI: Duration = Duration::from_millis(1);
const CAUSE: Cause = Cause(16);

/// One connection of a caller, which reads only when the test has it read.
struct Peer {
    stream: TcpStream,
    input: Vec<u8>,
    /// Whether it answers a BYE at once.
    answers: bool,
    /// The BYEs that came, and when.
    byes: Vec<(u64, Instant)>,
    /// Responses that came.
    responses: usize,
}

impl Peer {
    /// One that the server has taken in and has heard from.
    async fn connect(server: &TestServer) -> Peer {
        let stream = server.caller(false).await;
        Peer { stream, input: Vec::new(), answers: true, byes: Vec::new(), responses: 0 }
    }

    fn say(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("room");
    }

    fn answer_bye(&mut self, call: u64) {
        self.say(&format!(
            "SIP/2.0 200 OK\r\nVia: x\r\nCall-ID: {call:016x}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n"
        ));
    }

    /// Reads what is there.
    fn take_in(&mut self) {
        let mut bytes = [0; 16 * 1024];
        while let Ok(count @ 1..) = self.stream.read(&mut bytes) {
            self.input.extend_from_slice(&bytes[..count]);
        }
        let (mut used, mut calls) = (0, Vec::new());
        while let Ok(Some(message)) = sip::parse(&self.input[used..]) {
            match message.start {
                Start::Request("BYE", _) => {
                    let id = message.header("Call-ID").expect("a call");
                    calls.push(u64::from_str_radix(id, 16).expect("a number"));
                }
                Start::Request(..) => panic!("nothing but BYE is sent to callers"),
                Start::Response(_) => self.responses += 1,
            }
            used += message.bytes;
        }
        self.input.drain(..used);
        for call in calls {
            self.byes.push((call, Instant::now()));
            if self.answers {
                self.answer_bye(call);
            }
        }
    }

    /// Reads for so long.
    async fn read_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.take_in();
            tokio::time::sleep(MILLI).await;
        }
    }

    /// Reads till so many BYEs have come.
    async fn read_byes(&mut self, count: usize) {
        let end = Instant::now() + server::PATIENCE;
        while self.byes.len() < count {
            assert!(Instant::now() < end, "{} of {count} BYEs came", self.byes.len());
            self.take_in();
            tokio::time::sleep(MILLI).await;
        }
    }

    fn bye_calls(&self) -> Vec<u64> {
        self.byes.iter().map(|(call, _)| *call).collect()
    }
}

impl TestServer {
    /// Has a call answered on a connection, with a description so long; the caller need not read it.
    async fn stand(&mut self, peer: &mut Peer, call: u64, length: usize) -> Origin {
        peer.say(&message("INVITE", call));
        let offer = self.offer().await;
        let description = Description { format: SDP, bytes: Bytes::from(vec![b'v'; length]) };
        let answer = ToFront::Answer(offer.origin, offer.call, description);
        self.answers.send(answer).await.expect("taken");
        offer.origin
    }

    /// The hub releases a call; when that was.
    async fn release(&mut self, origin: Origin, call: u64) -> Instant {
        let now = Instant::now();
        let release = ToFront::Release(Some(origin), CallName(call), CAUSE);
        self.answers.send(release).await.expect("taken");
        now
    }

    /// Lets the server do what it has to.
    async fn settle(&self) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn assert_in_time(released: Instant, came: Instant) {
    let took = came.saturating_duration_since(released);
    eprintln!("released on the other connection after {} ms", took.as_millis());
    assert!(took < RULE, "{took:?} after the hub's release");
}

#[tokio::test]
async fn a_release_that_a_silent_connection_swallows_comes_on_another_within_a_second() {
    for silent_is_used_last in [false, true] {
        let mut server = TestServer::start().await;
        let mut silent = Peer::connect(&server).await;
        let mut other = Peer::connect(&server).await;
        let origin = server.stand(&mut silent, 1, 0).await;
        if !silent_is_used_last {
            other.say(&message("OPTIONS", 0));
            server.settle().await;
        }
        let released = server.release(origin, 1).await;
        other.read_byes(1).await;
        assert_in_time(released, other.byes[0].1);
        other.read_for(SETTLED).await;
        assert_eq!(other.bye_calls(), [1], "once is enough");
        silent.take_in();
        assert_eq!(silent.bye_calls(), [1], "never on the same connection again");
    }
}

#[tokio::test]
async fn of_several_silent_connections_and_one_that_lives_the_living_one_gets_the_release() {
    let mut server = TestServer::start().await;
    let mut living = Peer::connect(&server).await;
    let mut silent = Vec::new();
    for call in 1..=4 {
        let mut peer = Peer::connect(&server).await;
        let origin = server.stand(&mut peer, call, 0).await;
        silent.push((peer, origin));
    }
    server.settle().await;
    living.say(&message("OPTIONS", 0));
    server.settle().await;
    let mut released = Vec::new();
    for (call, (_, origin)) in (1..).zip(&silent) {
        released.push(server.release(*origin, call).await);
    }
    living.read_byes(4).await;
    for (call, came) in &living.byes {
        assert_in_time(released[*call as usize - 1], *came);
    }
    living.read_for(SETTLED).await;
    let mut calls = living.bye_calls();
    calls.sort_unstable();
    assert_eq!(calls, [1, 2, 3, 4], "each of them once");
}

#[tokio::test]
async fn a_connection_that_was_only_written_to_is_not_taken_for_one_that_lives() {
    let mut server = TestServer::start().await;
    let (mut first, mut second) = (Peer::connect(&server).await, Peer::connect(&server).await);
    let origins = [server.stand(&mut first, 1, 0).await, server.stand(&mut second, 2, 0).await];
    let mut living = Peer::connect(&server).await;
    let released = server.release(origins[0], 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    // Now it is the one used last, though nothing was heard from it.
    server.release(origins[1], 2).await;
    living.read_byes(2).await;
    assert_eq!(living.bye_calls(), [1, 2]);
    assert_in_time(released, living.byes[0].1);
    second.take_in();
    assert_eq!(second.bye_calls(), [2], "it gets no more to swallow");
}

#[tokio::test]
async fn where_the_repeat_is_swallowed_too_a_third_connection_gets_it() {
    let mut server = TestServer::start().await;
    let mut living = Peer::connect(&server).await;
    // Heard from later than the living one, so that it is chosen first.
    let mut second = Peer::connect(&server).await;
    let mut first = Peer::connect(&server).await;
    let origin = server.stand(&mut first, 1, 0).await;
    let released = server.release(origin, 1).await;
    living.read_byes(1).await;
    assert_in_time(released, living.byes[0].1);
    living.read_for(SETTLED).await;
    assert_eq!(living.bye_calls(), [1]);
    second.take_in();
    assert_eq!(second.bye_calls(), [1], "it was tried");
}

#[tokio::test]
async fn a_release_waits_for_the_next_connection_where_no_other_is_open() {
    for later in [300, 2_000] {
        let mut server = TestServer::start().await;
        let mut silent = Peer::connect(&server).await;
        let origin = server.stand(&mut silent, 1, 0).await;
        let released = server.release(origin, 1).await;
        tokio::time::sleep(Duration::from_millis(later)).await;
        let opened = Instant::now();
        let mut next = Peer::connect(&server).await;
        next.read_byes(1).await;
        let by = if later < 1_000 { released } else { opened };
        assert_in_time(by, next.byes[0].1);
        next.read_for(SETTLED).await;
        assert_eq!(next.bye_calls(), [1]);
    }
}

#[tokio::test]
async fn a_200_that_comes_after_the_repeat_does_no_harm() {
    let mut server = TestServer::start().await;
    let mut slow = Peer::connect(&server).await;
    let mut other = Peer::connect(&server).await;
    let origin = server.stand(&mut slow, 1, 0).await;
    server.stand(&mut slow, 2, 0).await;
    server.release(origin, 1).await;
    other.read_byes(1).await;
    slow.read_for(SETTLED).await;
    assert_eq!(slow.bye_calls(), [1], "it reads and answers at last");
    other.take_in();
    assert_eq!(other.bye_calls(), [1]);
    // It is used as before: what stands on it is released on it, and it takes new calls.
    server.release(origin, 2).await;
    slow.read_for(SETTLED).await;
    server.stand(&mut slow, 3, 0).await;
    server.release(origin, 3).await;
    slow.read_for(SETTLED).await;
    other.take_in();
    assert_eq!((slow.bye_calls(), other.bye_calls()), (vec![1, 2, 3], vec![1]));
}

#[tokio::test]
async fn a_release_that_does_not_fit_into_a_full_connection_comes_on_another() {
    const LONG: usize = 12 * 1024;
    let mut server = TestServer::start().await;
    let mut full = Peer::connect(&server).await;
    let mut other = Peer::connect(&server).await;
    let (mut call, mut origin) = (0, Origin(0));
    // Answers that the caller does not read, till one of them sticks.
    while server.owed.count() == 0 {
        call += 1;
        assert!(call < 5_000, "the sockets take all");
        origin = server.stand(&mut full, call, LONG).await;
        let start = Instant::now();
        while server.owed.count() > 0 && start.elapsed() < Duration::from_millis(100) {
            tokio::time::sleep(MILLI).await;
        }
    }
    let released = server.release(origin, call).await;
    other.read_byes(1).await;
    assert_in_time(released, other.byes[0].1);
    other.read_for(SETTLED).await;
    assert_eq!(other.bye_calls(), [call]);
}

#[tokio::test]
async fn all_calls_of_a_silent_connection_are_released_on_one_that_lives() {
    // More than one batch of repeats.
    const CALLS: u64 = 300;
    let mut server = TestServer::start().await;
    let mut silent = Peer::connect(&server).await;
    let mut living = Peer::connect(&server).await;
    let mut origin = Origin(0);
    for call in 1..=CALLS {
        origin = server.stand(&mut silent, call, 0).await;
    }
    living.say(&message("OPTIONS", 0));
    server.settle().await;
    let mut released = Instant::now();
    for call in 1..=CALLS {
        released = server.release(origin, call).await;
    }
    living.read_byes(CALLS as usize).await;
    assert_in_time(released, living.byes.last().expect("some").1);
    living.read_for(SETTLED).await;
    let mut calls = living.bye_calls();
    calls.sort_unstable();
    assert_eq!(calls, (1..=CALLS).collect::<Vec<_>>(), "each of them once");
}

#[tokio::test]
async fn a_connection_known_to_be_silent_is_not_waited_for_again() {
    let mut server = TestServer::start().await;
    let mut silent = Peer::connect(&server).await;
    let mut other = Peer::connect(&server).await;
    let origin = server.stand(&mut silent, 1, 0).await;
    server.stand(&mut silent, 2, 0).await;
    server.release(origin, 1).await;
    other.read_byes(1).await;
    server.release(origin, 2).await;
    other.read_byes(2).await;
    other.read_for(SETTLED).await;
    assert_eq!(other.bye_calls(), [1, 2]);
    silent.take_in();
    assert_eq!(silent.bye_calls(), [1], "the second one is not even tried there");
}

#[tokio::test]
async fn a_caller_that_answers_its_release_gets_no_other_also_when_the_answer_is_late() {
    for late in [0, 100] {
        let mut server = TestServer::start().await;
        let mut healthy = Peer::connect(&server).await;
        let mut other = Peer::connect(&server).await;
        healthy.answers = false;
        let origin = server.stand(&mut healthy, 1, 0).await;
        other.say(&message("OPTIONS", 0));
        server.release(origin, 1).await;
        healthy.read_byes(1).await;
        tokio::time::sleep(Duration::from_millis(late)).await;
        healthy.answer_bye(1);
        healthy.read_for(SETTLED).await;
        other.take_in();
        assert_eq!((healthy.bye_calls(), other.bye_calls()), (vec![1], vec![]));
    }
}

#[tokio::test]
async fn a_caller_that_answers_no_release_and_goes_on_speaking_is_not_silent() {
    let mut server = TestServer::start().await;
    let mut talkative = Peer::connect(&server).await;
    let mut other = Peer::connect(&server).await;
    talkative.answers = false;
    let origin = server.stand(&mut talkative, 1, 0).await;
    other.say(&message("OPTIONS", 0));
    server.release(origin, 1).await;
    for _ in 0..30 {
        talkative.say(&message("OPTIONS", 0));
        talkative.read_for(Duration::from_millis(50)).await;
    }
    other.take_in();
    assert_eq!((talkative.bye_calls(), other.bye_calls()), (vec![1], vec![]));
}

#[tokio::test]
async fn a_200_that_waits_in_the_socket_of_a_starved_process_is_read_before_it_is_missed() {
    // Which of a timer and a socket is seen first is left to chance: one connection proves little.
    const CALLERS: u64 = 24;
    let mut server = TestServer::start().await;
    let mut callers = Vec::new();
    for call in 1..=CALLERS {
        let mut peer = Peer::connect(&server).await;
        peer.answers = false;
        let origin = server.stand(&mut peer, call, 0).await;
        callers.push((call, peer, origin));
    }
    for (call, _, origin) in &callers {
        server.release(*origin, *call).await;
    }
    for (call, peer, _) in &mut callers {
        peer.read_byes(1).await;
        peer.answer_bye(*call);
    }
    // The processor goes elsewhere: the time limit and what waits in the sockets are seen at once.
    std::thread::sleep(SETTLED);
    tokio::time::sleep(SETTLED).await;
    for (call, peer, _) in &mut callers {
        peer.take_in();
        assert_eq!(peer.bye_calls(), [*call]);
    }
}

#[tokio::test]
async fn a_silent_connection_that_ends_after_its_release_was_repeated_causes_no_third() {
    let mut server = TestServer::start().await;
    let mut silent = Peer::connect(&server).await;
    let mut other = Peer::connect(&server).await;
    let origin = server.stand(&mut silent, 1, 0).await;
    server.release(origin, 1).await;
    other.read_byes(1).await;
    drop(silent);
    other.read_for(SETTLED).await;
    assert_eq!(other.bye_calls(), [1]);
}

#[test]
fn the_program_releases_the_calls_of_a_caller_that_vanished_on_another_connection() {
    use peers::{Caller, Program, Said};
    let mut hub = script::ScriptedHub::new();
    let program = Program::start(&[hub.target(0)], None, None);
    let mut vanished = Caller::connect(program.address);
    vanished.invite(0xa1, 1_500, 0);
    let set_up = hub.set_up(0xa1, 1);
    hub.answer(&set_up);
    assert_eq!(script::status(&mut vanished, 0xa1), 200);
    let mut other = Caller::connect(program.address);
    other.send("OPTIONS", 0, "", b"");
    assert_eq!(other.answer(0).map(|a| a.0), Some(200));
    let released = Instant::now();
    hub.say(set_up.link, kind::RELEASE, 0xa1, &[(code::CAUSE, &[16])]);
    other.wait_for("the release on the other connection", |said| *said == Said::Bye(0xa1, 16));
    assert_in_time(released, Instant::now());
}
