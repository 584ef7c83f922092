//! Tests of the started program with a hub whose answer to a call arrives after its release of the same call, or after
//! the attempt was lost. The scripted hubs send each message when the test tells them to.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/scripted_hub.rs"]
mod scripted_hub;
#[path = "common/site_config.rs"]
mod site_config;

use peers::*;
use petreldock::net::binary::{code, kind};
use scripted_hub::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time after the hub's release within which the caller must receive its final response.
const MAX_RELEASE_DELAY: Duration = Duration::from_secs(1);
/// Delays of the answer after the release.
const ANSWER_DELAYS: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(1_000), Duration::from_millis(4_000)];
/// Release causes that can end an answered call.
const CAUSES: [u8; 2] = [16, 41];
/// Time after which no further message is expected; far longer than the pause before a further attempt (200 ms).
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// A call whose hub has released it and answers it later.
struct ReleasedCall {
    call: u64,
    cause: u8,
    set_up: ReceivedMessage,
    answer_at: Instant,
    caller: Caller,
}

/// Changes the idempotency of the class `voice`.
fn with_idempotency(name: &'static str) -> impl Fn(String) -> String {
    move |text| {
        with_long_objective(text).replace("\"idempotency\":\"free\"", &format!("\"idempotency\":\"{name}\""))
    }
}

/// The final responses and the BYEs that a caller received for a call.
fn received_messages(caller: &mut Caller, call: u64) -> Vec<Received> {
    caller.receive();
    let of_call = |message: &&Received| match message {
        Received::Answer(c, status, ..) => *c == call && *status >= 200,
        Received::Bye(c, _) => *c == call,
        Received::Other(..) => false,
    };
    caller.received.iter().filter(of_call).cloned().collect()
}

/// Sets up a call that its hub releases before it answers, and checks the caller's final response.
fn release_before_answer(
    hub: &mut ScriptedHub,
    program: &Program,
    call: u64,
    cause: u8,
    answer_delay: Duration,
) -> ReleasedCall {
    let mut caller = Caller::connect(program.address);
    caller.invite(call, 15_000, 0);
    let set_up = hub.wait_for_set_up(call, 1);
    let released = Instant::now();
    hub.send(set_up.connection, kind::RELEASE, call, &[(code::CAUSE, &[cause])]);
    let (status, retry_after, _) = caller.answer(call).expect("a final answer");
    assert!(
        released.elapsed() < MAX_RELEASE_DELAY,
        "cause {cause}: final response after {:?}",
        released.elapsed()
    );
    assert_eq!(
        (status, retry_after),
        (500, None),
        "cause {cause}: the call may have run, so it is not refused"
    );
    ReleasedCall { call, cause, set_up, answer_at: released + answer_delay, caller }
}

/// Sets up, answers and releases a call on the same hubs and connections.
fn complete_call(hub: &mut ScriptedHub, program: &Program, call: u64) {
    let mut caller = Caller::connect(program.address);
    caller.invite(call, 15_000, 0);
    let set_up = hub.wait_for_set_up(call, 1);
    hub.answer(&set_up);
    assert_eq!(answer_status(&mut caller, call), 200);
    hub.send(set_up.connection, kind::RELEASE, call, &[(code::CAUSE, &[16])]);
    caller.wait_for("the BYE of a completed call", |message| *message == Received::Bye(call, 16));
}

fn answer_after_release_is_ignored(idempotency: &'static str) {
    let (mut hub, mut other) = (ScriptedHub::new(), ScriptedHub::new());
    let program =
        Program::start_with_config(&[hub.target(0), other.target(1)], None, with_idempotency(idempotency));
    let mut released_calls = Vec::new();
    for (number, answer_delay) in ANSWER_DELAYS.into_iter().enumerate() {
        for cause in CAUSES {
            let call = 0x100 * (number as u64 + 1) + u64::from(cause);
            released_calls.push(release_before_answer(&mut hub, &program, call, cause, answer_delay));
        }
    }
    released_calls.sort_by_key(|c| c.answer_at);
    for released in &released_calls {
        sleep(released.answer_at.saturating_duration_since(Instant::now()));
        hub.answer(&released.set_up);
    }
    complete_call(&mut hub, &program, 0x900);
    sleep(SETTLE_TIME);
    for ReleasedCall { call, cause, mut caller, .. } in released_calls {
        let received = received_messages(&mut caller, call);
        assert_eq!(
            received.len(),
            1,
            "one final response, and no BYE for a call that was never answered: {cause} {received:?}"
        );
        assert_eq!(
            (hub.set_up_count(call), other.set_up_count(call)),
            (1, 0),
            "no further attempt, cause {cause}"
        );
    }
    complete_call(&mut hub, &program, 0x901);
}

#[test]
fn an_answer_after_the_release_of_a_repeatable_call_is_ignored() {
    answer_after_release_is_ignored("free");
}

#[test]
fn an_answer_after_the_release_of_a_guarded_call_is_ignored() {
    answer_after_release_is_ignored("guarded");
}

#[test]
fn an_answer_after_the_release_of_a_single_shot_call_is_ignored() {
    answer_after_release_is_ignored("single_shot");
}

#[test]
fn an_answer_after_a_release_on_another_connection_is_ignored() {
    let (mut hub, mut other) = (ScriptedHub::new(), ScriptedHub::new());
    let program = Program::start_with_config(&[hub.target(0), other.target(1)], None, with_long_objective);
    wait_until("two connections are up", || {
        hub.receive();
        (hub.connections.len() >= 2).then_some(())
    });
    let mut caller = Caller::connect(program.address);
    caller.invite(0x20, 15_000, 0);
    let set_up = hub.wait_for_set_up(0x20, 1);
    let released = Instant::now();
    hub.send(1 - set_up.connection, kind::RELEASE, 0x20, &[(code::CAUSE, &[16])]);
    assert_eq!(answer_status(&mut caller, 0x20), 500);
    assert!(released.elapsed() < MAX_RELEASE_DELAY, "final response after {:?}", released.elapsed());
    // The set-up on the first connection may be a later attempt, so the program gives it up.
    let give_up = hub.wait_for_release(0x20);
    assert_eq!((give_up.connection, give_up.cause), (set_up.connection, Some(16)));
    hub.answer(&set_up);
    complete_call(&mut hub, &program, 0x21);
    sleep(SETTLE_TIME);
    let received = received_messages(&mut caller, 0x20);
    assert_eq!(received.len(), 1, "{received:?}");
    assert_eq!((hub.set_up_count(0x20), other.set_up_count(0x20)), (1, 0));
}

/// When the answer to the lost attempt arrives.
#[derive(Clone, Copy, Debug)]
enum AnswerTime {
    DuringNextAttempt,
    DuringCall,
    AfterCall,
}

#[test]
fn an_answer_to_a_lost_attempt_is_released_at_its_hub_and_not_taken_for_the_next_attempts() {
    for answer_time in [AnswerTime::DuringNextAttempt, AnswerTime::DuringCall, AnswerTime::AfterCall] {
        let (mut first, mut second) = (ScriptedHub::new(), ScriptedHub::new());
        let program =
            Program::start_with_config(&[first.target(0), second.target(1)], None, with_long_objective);
        let mut caller = Caller::connect(program.address);
        caller.invite(0x30, 15_000, 0);
        let lost = first.wait_for_set_up(0x30, 1);
        // The connection closes during the set-up, which may have run; the hub's answer comes on another connection.
        first.break_connection(lost.connection);
        let (hub_is_first, again) = wait_until("the next attempt", || {
            first.receive();
            second.receive();
            let set_ups = |hub: &ScriptedHub, skip: usize| {
                hub.received.iter().filter(|s| s.kind == kind::SET_UP && s.call == 0x30).nth(skip).cloned()
            };
            let at_first = set_ups(&first, 1).map(|sent| (true, sent));
            at_first.or_else(|| set_ups(&second, 0).map(|sent| (false, sent)))
        });
        let connection = wait_until("another connection of the first hub", || {
            first.receive();
            let is_other = |connection: &usize| {
                first.connections[*connection].open && !(hub_is_first && *connection == again.connection)
            };
            (0..first.connections.len()).find(is_other)
        });
        let next = |first: &mut ScriptedHub, second: &mut ScriptedHub, kind, parameters: &[(u8, &[u8])]| {
            let hub = if hub_is_first { first } else { second };
            hub.send(again.connection, kind, 0x30, parameters);
        };
        let late = ReceivedMessage { connection, ..lost.clone() };
        if matches!(answer_time, AnswerTime::DuringNextAttempt) {
            first.answer(&late);
            sleep(SETTLE_TIME);
            let received = received_messages(&mut caller, 0x30);
            assert!(
                received.is_empty(),
                "the answer belongs to no attempt: {received:?} {lost:?} {again:?} {late:?}"
            );
        }
        next(&mut first, &mut second, kind::ANSWER, &[(code::DESCRIPTION, HUB_BODY)]);
        assert_eq!(answer_status(&mut caller, 0x30), 200);
        if matches!(answer_time, AnswerTime::DuringCall) {
            first.answer(&late);
            sleep(SETTLE_TIME);
            assert_eq!(received_messages(&mut caller, 0x30).len(), 1, "the call continues");
        }
        next(&mut first, &mut second, kind::RELEASE, &[(code::CAUSE, &[16])]);
        caller.wait_for("the BYE", |message| *message == Received::Bye(0x30, 16));
        if matches!(answer_time, AnswerTime::AfterCall) {
            first.answer(&late);
        }
        if !hub_is_first {
            assert_eq!(
                first.wait_for_release(0x30).cause,
                Some(16),
                "{answer_time:?}: the call is released there"
            );
        }
        sleep(SETTLE_TIME);
        let received = received_messages(&mut caller, 0x30);
        assert_eq!(received.len(), 2, "{answer_time:?}: one answer and one BYE: {received:?}");
        assert_eq!(first.set_up_count(0x30) + second.set_up_count(0x30), 2, "{answer_time:?}");
    }
}
