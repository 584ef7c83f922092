//! Table hubs whose messages arrive in pieces with pauses between them, against the started program. What a hub has
//! written must be read to its end, and set-ups must not wait for it.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/scripted_hub.rs"]
mod scripted_hub;
#[path = "common/site_config.rs"]
mod site_config;

use peers::*;
use petreldock::net::binary::{code, kind};
use scripted_hub::*;
use std::time::{Duration, Instant};

/// Time within which a call that is over must be released.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of connections to one hub, as the program has it.
const MAX_CONNECTIONS: usize = 4;
/// The call that stands when the pauses begin.
const STANDING_CALL: u64 = 0xa0;

fn state() -> Vec<u8> {
    encode(kind::STATE, 0, &[(code::REPORT, b"x0:190;x1:200;qps:50")])
}

fn release(call: u64) -> Vec<u8> {
    encode(kind::RELEASE, call, &[(code::CAUSE, &[16])])
}

/// Splits what a hub writes into two pieces.
fn halves(bytes: &[u8]) -> (&[u8], &[u8]) {
    bytes.split_at(bytes.len() / 2)
}

/// Waits until the hub has `count` connections, and sends its state on each new one.
fn wait_connected(hub: &mut ScriptedHub, count: usize) {
    let known = hub.connections.len();
    wait_until(&format!("{count} connections"), || {
        hub.receive();
        (hub.connections.len() >= count).then_some(())
    });
    for connection in known..hub.connections.len() {
        hub.try_send_bytes(connection, &state());
    }
}

/// Starts the program with one hub that has two connections.
fn start(hub: &mut ScriptedHub) -> (Program, Caller) {
    let debug = Some(r#"{"log":{"level":"debug"}}"#);
    let program =
        Program::launch(ephemeral_address(), &[hub.target(0)], None, debug, 1024, with_long_objective);
    wait_connected(hub, 2);
    let caller = Caller::connect(program.address);
    (program, caller)
}

/// Sets a call up and answers it as the hub; returns the connection of the set-up.
fn set_up_call(hub: &mut ScriptedHub, caller: &mut Caller, call: u64) -> usize {
    caller.invite(call, 100_000, 0);
    let set_up = hub.wait_for_set_up(call, 1);
    hub.answer(&set_up);
    assert_eq!(answer_status(caller, call), 200);
    set_up.connection
}

/// A hub that writes the first half of what it has to say on each connection, and the rest after a pause.
struct PausingHub {
    hub: ScriptedHub,
    /// The second halves, by connection.
    rests: Vec<(usize, Vec<u8>)>,
    /// Number of connections on which the hub has begun to write in pieces.
    begun: usize,
}

impl PausingHub {
    fn new(hub: ScriptedHub) -> PausingHub {
        let begun = hub.connections.len();
        PausingHub { hub, rests: Vec::new(), begun }
    }

    fn send_first_half(&mut self, connection: usize, bytes: &[u8]) {
        let (first, rest) = halves(bytes);
        self.hub.try_send_bytes(connection, first);
        self.rests.push((connection, rest.to_vec()));
    }

    /// Accepts connections for the time of the pause. On each the hub begins to write its state and, on the next one
    /// that is opened, the release that it repeats.
    fn pause(&mut self, pause: Duration, repeated: &[u8]) {
        let end = Instant::now() + pause;
        let mut repeated = Some(repeated);
        while Instant::now() < end {
            self.hub.receive();
            while self.begun < self.hub.connections.len() {
                let repeat = repeated.take().unwrap_or_default();
                self.send_first_half(self.begun, &[&state(), repeat].concat());
                self.begun += 1;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn send_rests(&mut self) {
        for (connection, rest) in std::mem::take(&mut self.rests) {
            self.hub.try_send_bytes(connection, &rest);
        }
    }
}

/// Lets a hub pause within its release of a standing call and within all else that it writes.
fn assert_released_after_pause(pause: Duration) {
    let mut hub = ScriptedHub::new();
    let (_program, mut caller) = start(&mut hub);
    let connection = set_up_call(&mut hub, &mut caller, STANDING_CALL);
    let mut hub = PausingHub::new(hub);
    let since = Instant::now();
    hub.send_first_half(connection, &release(STANDING_CALL));
    hub.send_first_half(1 - connection, &state());
    hub.pause(pause, &release(STANDING_CALL));
    hub.send_rests();
    caller.wait_for("the release", |message| *message == Received::Bye(STANDING_CALL, 16));
    let took = since.elapsed();
    assert!(took < RELEASE_TIMEOUT, "released after {took:?}");
}

// Guards against a connection, and the releases in it, dropped because a message was incomplete for 300 ms.
#[test]
fn a_release_that_arrives_in_pieces_a_second_apart_is_passed_on() {
    assert_released_after_pause(Duration::from_secs(1));
}

// Guards against the same where the pause makes the connection count as silent and further ones are dialled.
#[test]
fn a_release_that_arrives_in_pieces_five_seconds_apart_is_passed_on() {
    assert_released_after_pause(Duration::from_secs(5));
}

// Guards against set-ups that wait for the rest of an answer, and against a rest taken for the next attempt's answer.
#[test]
fn a_set_up_behind_an_incomplete_answer_is_given_up_and_the_rest_of_the_answer_is_ignored() {
    let mut hub = ScriptedHub::new();
    let (_program, mut caller) = start(&mut hub);
    let incomplete = 0xb0;
    caller.invite(incomplete, 100_000, 0);
    let first = hub.wait_for_set_up(incomplete, 1);
    let answer = encode(kind::ANSWER, incomplete, &[(code::DESCRIPTION, b"given up")]);
    let (beginning, rest) = halves(&answer);
    hub.try_send_bytes(first.connection, beginning);
    let give_up = hub.wait_for_release(incomplete);
    assert_eq!((give_up.connection, give_up.cause), (first.connection, Some(16)));
    let second = hub.wait_for_set_up(incomplete, 2);
    assert_ne!(second.connection, first.connection, "sent on the connection that waits for the rest");
    hub.try_send_bytes(first.connection, rest);
    hub.answer(&second);
    let (status, _, body) = caller.answer(incomplete).expect("an answer");
    assert_eq!((status, body), (200, HUB_BODY.to_vec()));
    assert!(hub.connections[first.connection].open, "closed although its message became complete");
    hub.try_send_bytes(first.connection, &release(incomplete));
    caller.wait_for("the release", |message| *message == Received::Bye(incomplete, 16));
}

// Guards against set-ups that wait for their deadline while every connection waits for the rest of a message.
#[test]
fn a_set_up_is_not_held_back_while_all_connections_wait_for_the_rest_of_a_message() {
    let mut hub = ScriptedHub::new();
    let (program, mut caller) = start(&mut hub);
    let state = state();
    let (beginning, rest) = halves(&state);
    for connection in 0..MAX_CONNECTIONS {
        wait_until("a connection", || {
            hub.receive();
            (hub.connections.len() > connection).then_some(())
        });
        hub.try_send_bytes(connection, beginning);
    }
    wait_until("all connections are suspended", || {
        (program.log().matches("connection suspended").count() >= MAX_CONNECTIONS).then_some(())
    });
    caller.invite(0xb0, 100_000, 0);
    assert_eq!(answer_status(&mut caller, 0xb0), 503, "no other hub can take the call");
    assert_eq!(hub.set_up_count(0xb0), 0);
    hub.try_send_bytes(0, rest);
    wait_until("a connection back in service", || {
        program.log_contains("connection back in service").then_some(())
    });
    // The decision module sends the hub no call for a while.
    let mut calls = 0xc0..;
    let set_up = wait_until("a set-up on the connection that is back", || {
        let call = calls.next()?;
        caller.invite(call, 100_000, 0);
        wait_until("an answer or a set-up", || {
            caller.receive();
            hub.receive();
            let refused = |m: &Received| matches!(m, Received::Answer(c, ..) if *c == call);
            (hub.received.iter().any(|m| m.call == call) || caller.received.iter().any(refused)).then_some(())
        });
        std::thread::sleep(Duration::from_millis(50));
        hub.received.iter().find(|m| m.kind == kind::SET_UP && m.call == call).cloned()
    });
    assert_eq!(set_up.connection, 0);
    hub.answer(&set_up);
    assert_eq!(answer_status(&mut caller, set_up.call), 200);
}

// Guards against an answer to an attempt that was given up, on a connection that was slow and is in service again, taken
// for the answer to the call's next attempt.
#[test]
fn a_late_answer_on_a_connection_that_is_back_in_service_is_not_matched_to_the_next_attempt() {
    let mut hub = ScriptedHub::new();
    let (program, mut caller) = start(&mut hub);
    let call = 0xb0;
    caller.invite(call, 100_000, 0);
    let first = hub.wait_for_set_up(call, 1);
    let state = state();
    let (beginning, rest) = halves(&state);
    hub.try_send_bytes(first.connection, beginning);
    hub.wait_for_release(call);
    hub.try_send_bytes(first.connection, rest);
    wait_until("the connection is back in service", || {
        program.log_contains("connection back in service").then_some(())
    });
    let second = hub.wait_for_set_up(call, 2);
    let late = encode(kind::ANSWER, call, &[(code::DESCRIPTION, b"given up")]);
    hub.try_send_bytes(first.connection, &late);
    // On another connection, so that the late answer is read first.
    std::thread::sleep(Duration::from_millis(100));
    hub.answer(&second);
    let (status, _, body) = caller.answer(call).expect("an answer");
    assert_eq!((status, body), (200, HUB_BODY.to_vec()));
}
