//! Tests with callers that keep a connection open and send nothing while a call of theirs is up. The connection has to
//! stay open for the call's release, and has to be closed once nothing more is due on it.

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

use caller_connection::CallerConnection;
use petreldock::core::Origin;
use petreldock::net::binary::{code, kind};
use sip_test_server::{request, TestServer};
use std::time::{Duration, Instant};

/// Time after the hub's release within which the caller must receive its BYE.
const MAX_RELEASE_DELAY: Duration = Duration::from_secs(1);
/// A quiet time that is longer than any timeout of a connection.
const LONG_QUIET_TIME: Duration = Duration::from_secs(3_600);
/// A quiet time after which a connection without calls has been closed.
const IDLE_TIME: Duration = Duration::from_secs(6);
/// Time that real sockets need between two steps of a test.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Advances the runtime's clock, and lets the connections' tasks handle the timeouts that have passed.
async fn let_pass(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    tokio::time::resume();
}

// Guards against a release that was lost because a connection with a standing call was closed as idle after 30 s.
#[tokio::test]
async fn a_call_is_released_on_a_connection_that_was_quiet_for_an_hour() {
    let mut server = TestServer::start().await;
    let mut caller = CallerConnection::connect(&server).await;
    let origin = server.establish_call(&mut caller, 1, 0).await;
    caller.read_for(SETTLE_TIME).await;
    for _ in 0..3 {
        let_pass(LONG_QUIET_TIME / 3).await;
        caller.read_for(SETTLE_TIME).await;
    }
    assert!(!caller.is_closed, "closed although a call answered on it is up");
    let released = server.release(origin, 1).await;
    caller.read_byes(1).await;
    assert!(caller.byes[0].1.saturating_duration_since(released) < MAX_RELEASE_DELAY);
    let_pass(IDLE_TIME).await;
    caller.read_close().await;
}

// Guards against a BYE for a call of another connection being counted as the end of a call of this one.
#[test]
fn a_bye_for_a_call_of_another_connection_leaves_a_quiet_connection_with_a_call_open() {
    use peers::{Caller, Program, Received};
    let mut hub = scripted_hub::ScriptedHub::new();
    let program = Program::start(&[hub.target(0)], None, None);
    let mut set_up = |call: u64| {
        let mut caller = Caller::connect(program.address);
        caller.invite(call, 1_500, 0);
        let set_up = hub.wait_for_set_up(call, 1);
        hub.answer(&set_up);
        assert_eq!(scripted_hub::answer_status(&mut caller, call), 200);
        (caller, set_up.connection)
    };
    let (mut quiet, hub_connection) = set_up(0xa1);
    let (other, _) = set_up(0xb1);
    quiet.send("BYE", 0xb1, "", b"");
    drop(other);
    let end = Instant::now() + IDLE_TIME;
    while Instant::now() < end {
        assert!(quiet.receive(), "closed although its call is up");
    }
    let released = Instant::now();
    hub.send(hub_connection, kind::RELEASE, 0xa1, &[(code::CAUSE, &[16])]);
    quiet.wait_for("the release", |message| *message == Received::Bye(0xa1, 16));
    assert!(released.elapsed() < MAX_RELEASE_DELAY);
}

// Guards against connections that are kept open for calls that have ended elsewhere.
#[tokio::test]
async fn a_quiet_connection_is_closed_once_its_last_call_has_ended_on_another_one() {
    let mut server = TestServer::start().await;
    let mut quiet = CallerConnection::connect(&server).await;
    server.establish_call(&mut quiet, 1, 0).await;
    server.establish_call(&mut quiet, 2, 0).await;
    let_pass(LONG_QUIET_TIME).await;
    let mut other = CallerConnection::connect(&server).await;
    other.send(&request("BYE", 1));
    other.read_for(SETTLE_TIME).await;
    let_pass(IDLE_TIME).await;
    quiet.read_for(SETTLE_TIME).await;
    assert!(!quiet.is_closed, "one of its calls is still up");
    let mut other = CallerConnection::connect(&server).await;
    other.send(&request("BYE", 2));
    other.read_for(SETTLE_TIME).await;
    assert!(!quiet.is_closed, "its caller may use it for another call");
    let_pass(IDLE_TIME).await;
    quiet.read_close().await;
}

// Guards against a connection that is kept open because its release went to another one.
#[tokio::test]
async fn an_unresponsive_connection_is_closed_once_its_calls_were_released_on_another_one() {
    let mut server = TestServer::start().await;
    let mut unresponsive = CallerConnection::connect(&server).await;
    let origin = server.establish_call(&mut unresponsive, 1, 0).await;
    server.establish_call(&mut unresponsive, 2, 0).await;
    let mut other = CallerConnection::connect(&server).await;
    server.release(origin, 1).await;
    other.read_byes(1).await;
    server.release(origin, 2).await;
    other.read_byes(2).await;
    let_pass(IDLE_TIME).await;
    unresponsive.read_close().await;
}

// Guards against quiet connections with calls that use up the descriptors, and against new callers that are shut out
// because theirs are the only connections without a call.
#[tokio::test]
async fn quiet_connections_with_calls_are_closed_when_descriptors_run_short_and_released_elsewhere() {
    const DESCRIPTORS: usize = 64;
    const CALLERS: u64 = 60;
    let mut server = TestServer::start_with_descriptors(DESCRIPTORS).await;
    let mut callers: Vec<(u64, CallerConnection, Origin)> = Vec::new();
    for call in 1..=CALLERS {
        let mut caller = CallerConnection::connect(&server).await;
        let origin = server.establish_call(&mut caller, call, 0).await;
        callers.push((call, caller, origin));
    }
    let_pass(LONG_QUIET_TIME).await;
    let mut newest = CallerConnection::connect(&server).await;
    for (_, caller, _) in &mut callers {
        caller.read_available();
    }
    let open: Vec<u64> = callers.iter().filter(|c| !c.1.is_closed).map(|c| c.0).collect();
    assert!(open.len() < DESCRIPTORS / 2, "{} connections are open", open.len());
    assert!(open.len() > DESCRIPTORS / 4, "only {} connections are open", open.len());
    assert_eq!(open, (CALLERS + 1 - open.len() as u64..=CALLERS).collect::<Vec<_>>(), "the latest ones");
    // The call of a closed connection is released on the one that was last read from.
    let (call, _, origin) = &callers[0];
    let released = server.release(*origin, *call).await;
    newest.read_byes(1).await;
    assert_eq!(newest.bye_calls(), [1]);
    assert!(newest.byes[0].1.saturating_duration_since(released) < MAX_RELEASE_DELAY);
    // The call of an open one is released there.
    let (call, caller, origin) = callers.last_mut().expect("some");
    server.release(*origin, *call).await;
    caller.read_byes(1).await;
}

// Guards against a release that was lost because its connection was closed for a message that stayed incomplete for 2 s.
#[tokio::test]
async fn a_call_is_released_on_a_connection_whose_caller_paused_within_a_message() {
    let mut server = TestServer::start().await;
    let mut caller = CallerConnection::connect(&server).await;
    let origin = server.establish_call(&mut caller, 1, 0).await;
    server.establish_call(&mut caller, 2, 0).await;
    caller.read_for(SETTLE_TIME).await;
    // An answer would end up within the message.
    caller.answers_byes = false;
    let message = request("OPTIONS", 0);
    let (first_part, rest) = message.split_at(message.len() / 2);
    caller.send(first_part);
    caller.read_for(SETTLE_TIME).await;
    assert_eq!(server.outstanding.count(), 1, "a shutdown waits for the rest");
    let_pass(IDLE_TIME).await;
    caller.read_for(SETTLE_TIME).await;
    assert!(!caller.is_closed, "closed although calls answered on it are up");
    assert_eq!(server.outstanding.count(), 0, "a shutdown does not wait for it any more");
    server.release(origin, 1).await;
    caller.read_byes(1).await;
    let responses = caller.responses;
    caller.send(rest);
    caller.read_for(SETTLE_TIME).await;
    assert_eq!(caller.responses, responses + 1, "the message is read once it is complete");
    // Without calls an incomplete message ends the connection.
    caller.send(first_part);
    caller.read_for(SETTLE_TIME).await;
    let_pass(IDLE_TIME).await;
    server.release(origin, 2).await;
    caller.read_close().await;
    assert_eq!(caller.bye_calls(), [1, 2]);
}

// Guards against releases that are dropped because no caller connected for 10 s.
#[tokio::test]
async fn releases_without_a_connection_are_kept_until_a_caller_connects() {
    let mut server = TestServer::start().await;
    let mut caller = CallerConnection::connect(&server).await;
    let mut origin = Origin(0);
    for call in 1..=3 {
        origin = server.establish_call(&mut caller, call, 0).await;
    }
    caller.read_for(SETTLE_TIME).await;
    drop(caller);
    server.settle().await;
    for call in 1..=3 {
        server.release(origin, call).await;
        server.settle().await;
        let_pass(LONG_QUIET_TIME / 3).await;
    }
    let mut next = CallerConnection::connect(&server).await;
    next.read_byes(3).await;
    assert_eq!(next.bye_calls(), [1, 2, 3]);
}

// Guards against a release that is dropped because its connection fell silent and no other one opened for 10 s.
#[tokio::test]
async fn a_release_that_an_unresponsive_connection_took_is_kept_until_a_caller_connects() {
    let mut server = TestServer::start().await;
    let mut unresponsive = CallerConnection::connect(&server).await;
    let origin = server.establish_call(&mut unresponsive, 1, 0).await;
    // This one keeps the connection open.
    server.establish_call(&mut unresponsive, 2, 0).await;
    server.release(origin, 1).await;
    server.settle().await;
    for _ in 0..30 {
        let_pass(LONG_QUIET_TIME / 30).await;
        server.settle().await;
    }
    let mut next = CallerConnection::connect(&server).await;
    next.read_byes(1).await;
    assert_eq!(next.bye_calls(), [1]);
    unresponsive.read_available();
    assert!(!unresponsive.is_closed);
}
