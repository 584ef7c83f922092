//! Tests with callers whose connections stay open although their machine failed or their network was cut. A release
//! written to such a connection is lost, and must be sent on another connection within 1 s of the hub's release.

#[path = "common/caller_connection.rs"]
mod caller_connection;
#[path = "common/peers.rs"]
mod peers;
#[path = "common/scripted_hub.rs"]
mod scripted_hub;
#[path = "common/sip_test_server.rs"]
mod sip_test_server;
#[path = "common/site_config.rs"]
mod site_config;

use caller_connection::{CallerConnection, MILLISECOND};
use petreldock::core::Origin;
use petreldock::net::binary::{code, kind};
use sip_test_server::{request, TestServer};
use std::time::{Duration, Instant};

/// Time after the hub's release within which the caller must receive its BYE.
const MAX_RELEASE_DELAY: Duration = Duration::from_secs(1);
/// Time after which no further repeat is expected; longer than any repeat takes.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

fn assert_in_time(released: Instant, received: Instant) {
    let took = received.saturating_duration_since(released);
    eprintln!("released on the other connection after {} ms", took.as_millis());
    assert!(took < MAX_RELEASE_DELAY, "{took:?} after the hub's release");
}

#[tokio::test]
async fn a_release_lost_on_an_unresponsive_connection_is_sent_on_another_within_a_second() {
    for unresponsive_is_used_last in [false, true] {
        let mut server = TestServer::start().await;
        let mut unresponsive = CallerConnection::connect(&server).await;
        let mut other = CallerConnection::connect(&server).await;
        let origin = server.establish_call(&mut unresponsive, 1, 0).await;
        if !unresponsive_is_used_last {
            other.send(&request("OPTIONS", 0));
            server.settle().await;
        }
        let released = server.release(origin, 1).await;
        other.read_byes(1).await;
        assert_in_time(released, other.byes[0].1);
        other.read_for(SETTLE_TIME).await;
        assert_eq!(other.bye_calls(), [1], "released only once");
        unresponsive.read_available();
        assert_eq!(unresponsive.bye_calls(), [1], "not repeated on the same connection");
    }
}

#[tokio::test]
async fn a_release_is_repeated_on_the_only_responsive_connection() {
    let mut server = TestServer::start().await;
    let mut responsive = CallerConnection::connect(&server).await;
    let mut unresponsive = Vec::new();
    for call in 1..=4 {
        let mut caller = CallerConnection::connect(&server).await;
        let origin = server.establish_call(&mut caller, call, 0).await;
        unresponsive.push((caller, origin));
    }
    server.settle().await;
    responsive.send(&request("OPTIONS", 0));
    server.settle().await;
    let mut released = Vec::new();
    for (call, (_, origin)) in (1..).zip(&unresponsive) {
        released.push(server.release(*origin, call).await);
    }
    responsive.read_byes(4).await;
    for (call, received) in &responsive.byes {
        assert_in_time(released[*call as usize - 1], *received);
    }
    responsive.read_for(SETTLE_TIME).await;
    let mut calls = responsive.bye_calls();
    calls.sort_unstable();
    assert_eq!(calls, [1, 2, 3, 4], "each call is released once");
}

#[tokio::test]
async fn a_connection_that_was_only_written_to_does_not_count_as_responsive() {
    let mut server = TestServer::start().await;
    let (mut first, mut second) =
        (CallerConnection::connect(&server).await, CallerConnection::connect(&server).await);
    let origins =
        [server.establish_call(&mut first, 1, 0).await, server.establish_call(&mut second, 2, 0).await];
    let mut responsive = CallerConnection::connect(&server).await;
    let released = server.release(origins[0], 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    // Now it is the connection used last, although nothing was read from it.
    server.release(origins[1], 2).await;
    responsive.read_byes(2).await;
    assert_eq!(responsive.bye_calls(), [1, 2]);
    assert_in_time(released, responsive.byes[0].1);
    second.read_available();
    assert_eq!(second.bye_calls(), [2], "nothing else is sent on it");
}

#[tokio::test]
async fn a_repeat_lost_on_a_second_connection_is_sent_on_a_third() {
    let mut server = TestServer::start().await;
    let mut responsive = CallerConnection::connect(&server).await;
    // Read from later than the responsive one, so that it is chosen first.
    let mut second = CallerConnection::connect(&server).await;
    let mut first = CallerConnection::connect(&server).await;
    let origin = server.establish_call(&mut first, 1, 0).await;
    let released = server.release(origin, 1).await;
    responsive.read_byes(1).await;
    assert_in_time(released, responsive.byes[0].1);
    responsive.read_for(SETTLE_TIME).await;
    assert_eq!(responsive.bye_calls(), [1]);
    second.read_available();
    assert_eq!(second.bye_calls(), [1], "it was tried first");
}

#[tokio::test]
async fn a_release_without_another_connection_is_sent_on_the_next_one() {
    for later in [300, 2_000] {
        let mut server = TestServer::start().await;
        let mut unresponsive = CallerConnection::connect(&server).await;
        let origin = server.establish_call(&mut unresponsive, 1, 0).await;
        let released = server.release(origin, 1).await;
        tokio::time::sleep(Duration::from_millis(later)).await;
        let opened = Instant::now();
        let mut next = CallerConnection::connect(&server).await;
        next.read_byes(1).await;
        let by = if later < 1_000 { released } else { opened };
        assert_in_time(by, next.byes[0].1);
        next.read_for(SETTLE_TIME).await;
        assert_eq!(next.bye_calls(), [1]);
    }
}

#[tokio::test]
async fn a_200_after_the_repeat_leaves_the_connection_usable() {
    let mut server = TestServer::start().await;
    let mut slow = CallerConnection::connect(&server).await;
    let mut other = CallerConnection::connect(&server).await;
    let origin = server.establish_call(&mut slow, 1, 0).await;
    server.establish_call(&mut slow, 2, 0).await;
    server.release(origin, 1).await;
    other.read_byes(1).await;
    slow.read_for(SETTLE_TIME).await;
    assert_eq!(slow.bye_calls(), [1], "it reads and answers late");
    other.read_available();
    assert_eq!(other.bye_calls(), [1]);
    // The connection is used as before: its calls are released on it, and it takes new calls.
    server.release(origin, 2).await;
    slow.read_for(SETTLE_TIME).await;
    server.establish_call(&mut slow, 3, 0).await;
    server.release(origin, 3).await;
    slow.read_for(SETTLE_TIME).await;
    other.read_available();
    assert_eq!((slow.bye_calls(), other.bye_calls()), (vec![1, 2, 3], vec![1]));
}

#[tokio::test]
async fn a_release_blocked_by_unread_output_is_sent_on_another_connection() {
    const LONG_DESCRIPTION_LENGTH: usize = 12 * 1024;
    let mut server = TestServer::start().await;
    let mut blocked = CallerConnection::connect(&server).await;
    let mut other = CallerConnection::connect(&server).await;
    let (mut call, mut origin) = (0, Origin(0));
    // Answers calls of a caller that reads nothing, until an answer remains partially written.
    while server.outstanding.count() == 0 {
        call += 1;
        assert!(call < 5_000, "the socket buffers never fill up");
        origin = server.establish_call(&mut blocked, call, LONG_DESCRIPTION_LENGTH).await;
        let start = Instant::now();
        while server.outstanding.count() > 0 && start.elapsed() < Duration::from_millis(100) {
            tokio::time::sleep(MILLISECOND).await;
        }
    }
    let released = server.release(origin, call).await;
    other.read_byes(1).await;
    assert_in_time(released, other.byes[0].1);
    other.read_for(SETTLE_TIME).await;
    assert_eq!(other.bye_calls(), [call]);
}

#[tokio::test]
async fn all_calls_of_an_unresponsive_connection_are_released_on_a_responsive_one() {
    // More than one batch of repeats.
    const CALLS: u64 = 300;
    let mut server = TestServer::start().await;
    let mut unresponsive = CallerConnection::connect(&server).await;
    let mut responsive = CallerConnection::connect(&server).await;
    let mut origin = Origin(0);
    for call in 1..=CALLS {
        origin = server.establish_call(&mut unresponsive, call, 0).await;
    }
    responsive.send(&request("OPTIONS", 0));
    server.settle().await;
    let mut released = Instant::now();
    for call in 1..=CALLS {
        released = server.release(origin, call).await;
    }
    responsive.read_byes(CALLS as usize).await;
    assert_in_time(released, responsive.byes.last().expect("some").1);
    responsive.read_for(SETTLE_TIME).await;
    let mut calls = responsive.bye_calls();
    calls.sort_unstable();
    assert_eq!(calls, (1..=CALLS).collect::<Vec<_>>(), "each call is released once");
}

#[tokio::test]
async fn a_further_release_is_not_delayed_by_a_connection_known_to_be_unresponsive() {
    let mut server = TestServer::start().await;
    let mut unresponsive = CallerConnection::connect(&server).await;
    let mut other = CallerConnection::connect(&server).await;
    let origin = server.establish_call(&mut unresponsive, 1, 0).await;
    server.establish_call(&mut unresponsive, 2, 0).await;
    server.release(origin, 1).await;
    other.read_byes(1).await;
    server.release(origin, 2).await;
    other.read_byes(2).await;
    other.read_for(SETTLE_TIME).await;
    assert_eq!(other.bye_calls(), [1, 2]);
    unresponsive.read_available();
    assert_eq!(unresponsive.bye_calls(), [1], "the second release is not tried there");
}

#[tokio::test]
async fn a_release_that_is_confirmed_in_time_is_not_repeated() {
    for late in [0, 100] {
        let mut server = TestServer::start().await;
        let mut healthy = CallerConnection::connect(&server).await;
        let mut other = CallerConnection::connect(&server).await;
        healthy.answers_byes = false;
        let origin = server.establish_call(&mut healthy, 1, 0).await;
        other.send(&request("OPTIONS", 0));
        server.release(origin, 1).await;
        healthy.read_byes(1).await;
        tokio::time::sleep(Duration::from_millis(late)).await;
        healthy.answer_bye(1);
        healthy.read_for(SETTLE_TIME).await;
        other.read_available();
        assert_eq!((healthy.bye_calls(), other.bye_calls()), (vec![1], vec![]));
    }
}

#[tokio::test]
async fn a_caller_that_sends_requests_but_confirms_no_release_gets_no_repeat() {
    let mut server = TestServer::start().await;
    let mut talkative = CallerConnection::connect(&server).await;
    let mut other = CallerConnection::connect(&server).await;
    talkative.answers_byes = false;
    let origin = server.establish_call(&mut talkative, 1, 0).await;
    other.send(&request("OPTIONS", 0));
    server.release(origin, 1).await;
    for _ in 0..30 {
        talkative.send(&request("OPTIONS", 0));
        talkative.read_for(Duration::from_millis(50)).await;
    }
    other.read_available();
    assert_eq!((talkative.bye_calls(), other.bye_calls()), (vec![1], vec![]));
}

#[tokio::test]
async fn a_200_in_the_socket_of_a_starved_process_prevents_the_repeat() {
    // It is random whether the runtime reports a timer or a socket first, so one connection would not be enough.
    const CALLERS: u64 = 24;
    let mut server = TestServer::start().await;
    let mut callers = Vec::new();
    for call in 1..=CALLERS {
        let mut caller = CallerConnection::connect(&server).await;
        caller.answers_byes = false;
        let origin = server.establish_call(&mut caller, call, 0).await;
        callers.push((call, caller, origin));
    }
    for (call, _, origin) in &callers {
        server.release(*origin, *call).await;
    }
    for (call, caller, _) in &mut callers {
        caller.read_byes(1).await;
        caller.answer_bye(*call);
    }
    // Blocks the runtime, so that the timeout and the data in the sockets are seen at the same moment.
    std::thread::sleep(SETTLE_TIME);
    tokio::time::sleep(SETTLE_TIME).await;
    for (call, caller, _) in &mut callers {
        caller.read_available();
        assert_eq!(caller.bye_calls(), [*call]);
    }
}

#[tokio::test]
async fn closing_an_unresponsive_connection_does_not_repeat_its_release_again() {
    let mut server = TestServer::start().await;
    let mut unresponsive = CallerConnection::connect(&server).await;
    let mut other = CallerConnection::connect(&server).await;
    let origin = server.establish_call(&mut unresponsive, 1, 0).await;
    server.release(origin, 1).await;
    other.read_byes(1).await;
    drop(unresponsive);
    other.read_for(SETTLE_TIME).await;
    assert_eq!(other.bye_calls(), [1]);
}

#[test]
fn the_program_releases_calls_of_an_unresponsive_caller_on_another_connection() {
    use peers::{Caller, Program, Received};
    let mut hub = scripted_hub::ScriptedHub::new();
    let program = Program::start(&[hub.target(0)], None, None);
    let mut unresponsive = Caller::connect(program.address);
    unresponsive.invite(0xa1, 1_500, 0);
    let set_up = hub.wait_for_set_up(0xa1, 1);
    hub.answer(&set_up);
    assert_eq!(scripted_hub::answer_status(&mut unresponsive, 0xa1), 200);
    let mut other = Caller::connect(program.address);
    other.send("OPTIONS", 0, "", b"");
    assert_eq!(other.answer(0).map(|a| a.0), Some(200));
    let released = Instant::now();
    hub.send(set_up.connection, kind::RELEASE, 0xa1, &[(code::CAUSE, &[16])]);
    other.wait_for("the release on the other connection", |message| *message == Received::Bye(0xa1, 16));
    assert_in_time(released, Instant::now());
}
