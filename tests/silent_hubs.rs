//! Table hubs that fail while calls stand, against the started program. Their open connections stay silent, and new
//! ones hang, are refused, stay silent or end at once. The calls at such a hub are over, and each must be released
//! towards its caller within 8 s. Hubs that still give signs of life must keep their calls.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/scripted_hub.rs"]
mod scripted_hub;
#[path = "common/site_config.rs"]
mod site_config;

use peers::*;
use petreldock::net::binary::{code, kind};
use scripted_hub::*;
use std::net::TcpListener;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time within which a call that is over must be released if its hub cannot report the end.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of connections to one hub, as the program has it.
const MAX_CONNECTIONS: usize = 4;
/// Time between set-ups. It is shorter than the 120 ms after which a later answer marks an earlier set-up as overtaken.
const SET_UP_SPACING: Duration = Duration::from_millis(50);
/// The call that stands when its hub fails.
const STANDING_CALL: u64 = 0xa0;

/// Sends the hub's state on one of its connections.
fn send_state(hub: &mut ScriptedHub, connection: usize) {
    hub.send(connection, kind::STATE, 0, &[(code::REPORT, b"x0:190;x1:200;qps:50")]);
}

/// Waits until the hub has `count` connections, and sends its state on each new one.
fn wait_connected(hub: &mut ScriptedHub, count: usize) {
    let known = hub.connections.len();
    wait_until(&format!("{count} connections"), || {
        hub.receive();
        (hub.connections.len() >= count).then_some(())
    });
    (known..hub.connections.len()).for_each(|connection| send_state(hub, connection));
}

/// Sets a call up and answers it as the hub.
fn set_up_call(hub: &mut ScriptedHub, caller: &mut Caller, call: u64) -> ReceivedMessage {
    caller.invite(call, 100_000, 0);
    let set_up = hub.wait_for_set_up(call, 1);
    hub.answer(&set_up);
    assert_eq!(answer_status(caller, call), 200);
    set_up
}

/// Starts the program with one hub that has two connections, and sets up a call there.
fn start_with_call(hub: ScriptedHub) -> (Program, ScriptedHub, Caller) {
    start_with_call_and_config(hub, with_long_objective)
}

/// The same with a changed configuration.
fn start_with_call_and_config(
    mut hub: ScriptedHub,
    change: impl Fn(String) -> String,
) -> (Program, ScriptedHub, Caller) {
    let debug = Some(r#"{"log":{"level":"debug"}}"#);
    let program = Program::launch(ephemeral_address(), &[hub.target(0)], None, debug, 1024, change);
    wait_connected(&mut hub, 2);
    let mut caller = Caller::connect(program.address);
    set_up_call(&mut hub, &mut caller, STANDING_CALL);
    (program, hub, caller)
}

/// Makes the hub refuse further connections.
fn close_listener(hub: &mut ScriptedHub) {
    hub.listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    hub.listener.set_nonblocking(true).expect("set");
}

/// Leaves set-ups unanswered until the program has opened its maximum of connections to the hub.
fn open_all_connections(hub: &mut ScriptedHub, caller: &mut Caller) -> Vec<ReceivedMessage> {
    let mut unanswered = Vec::new();
    while hub.connections.len() < MAX_CONNECTIONS {
        // One set-up on each connection, so that none is idle.
        for _ in 0..hub.connections.len() {
            let call = 0x100 + unanswered.len() as u64;
            caller.invite(call, 100_000, 0);
            unanswered.push(hub.wait_for_set_up(call, 1));
            sleep(SET_UP_SPACING);
        }
        wait_connected(hub, hub.connections.len() + 1);
    }
    unanswered
}

/// Checks that the call, which is over since `since`, is released in time; runs `meanwhile` repeatedly while waiting.
fn assert_released_in_time(caller: &mut Caller, since: Instant, mut meanwhile: impl FnMut()) {
    wait_until("the release of a call that is over", || {
        meanwhile();
        caller.receive();
        caller.received.contains(&Received::Bye(STANDING_CALL, 41)).then_some(())
    });
    let took = since.elapsed();
    assert!(took < RELEASE_TIMEOUT, "released after {took:?}");
}

#[test]
fn calls_at_a_hub_whose_machine_failed_are_released_in_time() {
    let (_program, hub, mut caller) = start_with_call(ScriptedHub::with_short_accept_queue());
    let since = Instant::now();
    let _filling = hub.fill_accept_queue();
    assert_released_in_time(&mut caller, since, || ());
}

#[test]
fn calls_at_a_failed_hub_with_the_maximum_of_connections_are_released_in_time() {
    let (_program, mut hub, mut caller) = start_with_call(ScriptedHub::with_short_accept_queue());
    for set_up in open_all_connections(&mut hub, &mut caller) {
        hub.answer(&set_up);
        assert_eq!(answer_status(&mut caller, set_up.call), 200);
    }
    let since = Instant::now();
    let _filling = hub.fill_accept_queue();
    assert_released_in_time(&mut caller, since, || ());
}

#[test]
fn calls_at_a_failed_hub_with_unanswered_set_ups_on_all_connections_are_released_in_time() {
    let (_program, mut hub, mut caller) = start_with_call(ScriptedHub::with_short_accept_queue());
    let _unanswered = open_all_connections(&mut hub, &mut caller);
    let since = Instant::now();
    let _filling = hub.fill_accept_queue();
    assert_released_in_time(&mut caller, since, || ());
}

#[test]
fn calls_at_a_failed_hub_are_released_in_time_with_no_file_descriptor_left() {
    // Of 64 file descriptors, 16 may be connections to hubs: eight hubs with two each.
    let mut hub = ScriptedHub::with_short_accept_queue();
    let mut others: Vec<ScriptedHub> = (1..8).map(|_| ScriptedHub::new()).collect();
    let mut targets = vec![hub.target(0)];
    targets.extend(others.iter().map(|other| {
        site_config::target(&other.address.to_string(), &other.address.to_string(), 1, "in_service")
    }));
    let program = Program::start_with_config(&targets, None, |text| {
        with_long_objective(text).replace("\"sockets\":1024", "\"sockets\":64")
    });
    wait_connected(&mut hub, 2);
    others.iter_mut().for_each(|other| wait_connected(other, 2));
    let mut caller = Caller::connect(program.address);
    set_up_call(&mut hub, &mut caller, STANDING_CALL);
    // The other hubs keep sending their state, so that none of their connections is closed as idle.
    let since = Instant::now();
    let _filling = hub.fill_accept_queue();
    assert_released_in_time(&mut caller, since, || {
        for other in &mut others {
            other.receive();
            for connection in 0..other.connections.len() {
                if other.connections[connection].open {
                    send_state(other, connection);
                }
            }
        }
        sleep(Duration::from_millis(50));
    });
}

#[test]
fn calls_at_a_hub_whose_process_hangs_are_released_in_time() {
    // The kernel still accepts connections for the process.
    let (_program, _hub, mut caller) = start_with_call(ScriptedHub::new());
    assert_released_in_time(&mut caller, Instant::now(), || ());
}

#[test]
fn calls_at_a_hub_that_restarts_before_its_failure_is_detected_are_released_in_time() {
    let (_program, mut hub, mut caller) = start_with_call(ScriptedHub::new());
    // The old connections stay open and silent, the new process sends its state on new ones, and the change log
    // reports no restart.
    assert_released_in_time(&mut caller, Instant::now(), || {
        send_state_on_new_connections(&mut hub, Duration::from_millis(50))
    });
}

#[test]
fn calls_at_a_hub_that_refuses_connections_while_open_ones_are_silent_are_released_in_time() {
    for may_probe in [true, false] {
        let change = |text: String| {
            with_long_objective(text).replace("\"mayProbe\":true", &format!("\"mayProbe\":{may_probe}"))
        };
        let (_program, mut hub, mut caller) = start_with_call_and_config(ScriptedHub::new(), change);
        close_listener(&mut hub);
        assert_released_in_time(&mut caller, Instant::now(), || ());
        hub.receive();
        assert_eq!(
            hub.received.iter().any(|sent| sent.kind == kind::TEST),
            may_probe,
            "test messages are sent only where the configuration allows them"
        );
    }
}

#[test]
fn calls_at_a_hub_that_closed_its_listener_but_answers_tests_are_kept() {
    let (_program, mut hub, caller) = start_with_call(ScriptedHub::new());
    close_listener(&mut hub);
    let since = Instant::now();
    let mut answered = 0;
    while since.elapsed() < 2 * RELEASE_TIMEOUT {
        hub.receive();
        let tests: Vec<ReceivedMessage> =
            hub.received.iter().filter(|sent| sent.kind == kind::TEST).cloned().collect();
        for test in tests.iter().skip(answered) {
            hub.send(test.connection, kind::TEST_RESULT, test.call, &[(code::CAUSE, &[1])]);
        }
        answered = tests.len();
        sleep(Duration::from_millis(5));
    }
    assert!(answered > 0, "no test message was sent");
    assert_call_still_stands(hub, caller);
}

#[test]
fn calls_at_a_hub_that_closes_each_new_connection_are_released_in_time() {
    let (_program, hub, mut caller) = start_with_call(ScriptedHub::new());
    assert_released_in_time(&mut caller, Instant::now(), || while hub.listener.accept().is_ok() {});
}

/// Sends the hub's state on each new connection for the given time.
fn send_state_on_new_connections(hub: &mut ScriptedHub, time: Duration) {
    let since = Instant::now();
    while since.elapsed() < time {
        let known = hub.connections.len();
        hub.receive();
        (known..hub.connections.len()).for_each(|connection| send_state(hub, connection));
        sleep(Duration::from_millis(5));
    }
}

/// Checks that the call was not released: the hub ends it on its newest open connection, and the caller gets that
/// release.
fn assert_call_still_stands(mut hub: ScriptedHub, mut caller: Caller) {
    hub.receive();
    let last = hub.connections.iter().rposition(|connection| connection.open).expect("a connection");
    hub.send(last, kind::RELEASE, STANDING_CALL, &[(code::CAUSE, &[16])]);
    caller.wait_for("its end", |message| matches!(message, Received::Bye(STANDING_CALL, _)));
    assert!(
        caller.received.contains(&Received::Bye(STANDING_CALL, 16)),
        "released while it stood: {:?}",
        caller.received
    );
}

#[test]
fn calls_at_a_silent_hub_that_sends_its_state_on_new_connections_are_kept() {
    let (_program, mut hub, caller) = start_with_call(ScriptedHub::new());
    send_state_on_new_connections(&mut hub, 2 * RELEASE_TIMEOUT);
    assert_call_still_stands(hub, caller);
}

#[test]
fn calls_at_a_hub_that_hangs_for_5_s_are_kept() {
    let (_program, mut hub, caller) = start_with_call(ScriptedHub::new());
    sleep(Duration::from_secs(5));
    send_state_on_new_connections(&mut hub, RELEASE_TIMEOUT);
    assert_call_still_stands(hub, caller);
}
