//! Table hubs that stop in the middle of their work, on the started program: their connections stay open and say
//! nothing more, and new ones hang, are refused, come up in silence or end at once. The calls that stand there are
//! over, and each has to be released towards its caller within 8 s (PROTOCOL, 'The rules on sockets').

#[path = "common/peers.rs"]
mod peers;
#[path = "common/script.rs"]
mod script;
#[path = "common/site.rs"]
mod site;

use peers::*;
use petreldock::net::binary::{code, kind};
use script::*;
use std::net::TcpListener;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Within this a call that is over is released, if its hub could not say so.
const RELEASE_RULE: Duration = Duration::from_secs(8);
/// Connections to one hub at most.
const MAX_CONNECTIONS: usize = 4;
/// Longer than one set-up may be begun before another without being taken for overtaken.
const APART: Duration = Duration::from_millis(50);
/// The call that stands when its hub falls silent.
const CALL: u64 = 0xa0;

fn say_state(hub: &mut ScriptedHub, link: usize) {
    hub.say(link, kind::STATE, 0, &[(code::REPORT, b"x0:190;x1:200;qps:50")]);
}

/// Waits until the hub has so many connections, and says its state on each new one.
fn connected(hub: &mut ScriptedHub, count: usize) {
    let known = hub.links.len();
    until(&format!("{count} connections"), || {
        hub.take_in();
        (hub.links.len() >= count).then_some(())
    });
    (known..hub.links.len()).for_each(|link| say_state(hub, link));
}

fn stand(hub: &mut ScriptedHub, caller: &mut Caller, call: u64) -> Sent {
    caller.invite(call, 100_000, 0);
    let set_up = hub.set_up(call, 1);
    hub.answer(&set_up);
    assert_eq!(status(caller, call), 200);
    set_up
}

/// A program, its hub with two connections, and a caller whose call stands there.
fn standing(hub: ScriptedHub) -> (Program, ScriptedHub, Caller) {
    standing_with(hub, unhurried)
}

fn standing_with(mut hub: ScriptedHub, change: impl Fn(String) -> String) -> (Program, ScriptedHub, Caller) {
    let debug = Some(r#"{"log":{"level":"debug"}}"#);
    let program = Program::launch(any_address(), &[hub.target(0)], None, debug, 1024, change);
    connected(&mut hub, 2);
    let mut caller = Caller::connect(program.address);
    stand(&mut hub, &mut caller, CALL);
    (program, hub, caller)
}

/// Has the hub refuse further connections.
fn close_listener(hub: &mut ScriptedHub) {
    hub.listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    hub.listener.set_nonblocking(true).expect("set");
}

/// Leaves set-ups without an answer until the program has opened all the connections that it may.
fn open_all_connections(hub: &mut ScriptedHub, caller: &mut Caller) -> Vec<Sent> {
    let mut unanswered = Vec::new();
    while hub.links.len() < MAX_CONNECTIONS {
        // One on each connection, so that none of them is spare.
        for _ in 0..hub.links.len() {
            let call = 0x100 + unanswered.len() as u64;
            caller.invite(call, 100_000, 0);
            unanswered.push(hub.set_up(call, 1));
            sleep(APART);
        }
        connected(hub, hub.links.len() + 1);
    }
    unanswered
}

/// Waits for the release of the call, which is over since `since`; `meanwhile` is what the hub's machine does.
fn is_released(caller: &mut Caller, since: Instant, mut meanwhile: impl FnMut()) {
    until("the release of a call that is over", || {
        meanwhile();
        caller.take_in();
        caller.said.contains(&Said::Bye(CALL, 41)).then_some(())
    });
    let took = since.elapsed();
    assert!(took < RELEASE_RULE, "released after {took:?}");
}

#[test]
fn calls_at_a_hub_that_vanished_are_released_in_time() {
    let (_program, hub, mut caller) = standing(ScriptedHub::with_short_queue());
    let since = Instant::now();
    let _filling = hub.fill_queue();
    is_released(&mut caller, since, || ());
}

#[test]
fn calls_at_a_hub_that_vanished_with_all_connections_open_are_released_in_time() {
    let (_program, mut hub, mut caller) = standing(ScriptedHub::with_short_queue());
    for set_up in open_all_connections(&mut hub, &mut caller) {
        hub.answer(&set_up);
        assert_eq!(status(&mut caller, set_up.call), 200);
    }
    let since = Instant::now();
    let _filling = hub.fill_queue();
    is_released(&mut caller, since, || ());
}

#[test]
fn calls_at_a_hub_that_vanished_with_set_ups_out_on_all_connections_are_released_in_time() {
    let (_program, mut hub, mut caller) = standing(ScriptedHub::with_short_queue());
    let _unanswered = open_all_connections(&mut hub, &mut caller);
    let since = Instant::now();
    let _filling = hub.fill_queue();
    is_released(&mut caller, since, || ());
}

#[test]
fn calls_at_a_hub_that_vanished_with_no_descriptor_left_are_released_in_time() {
    // With 64 descriptors the connections to hubs may be 16: eight hubs with two each.
    let mut hub = ScriptedHub::with_short_queue();
    let mut others: Vec<ScriptedHub> = (1..8).map(|_| ScriptedHub::new()).collect();
    let mut targets = vec![hub.target(0)];
    targets.extend(
        others.iter().map(|other| {
            site::target(&other.address.to_string(), &other.address.to_string(), 1, "in_service")
        }),
    );
    let program = Program::changed(&targets, None, |text| {
        unhurried(text).replace("\"sockets\":1024", "\"sockets\":64")
    });
    connected(&mut hub, 2);
    others.iter_mut().for_each(|other| connected(other, 2));
    let mut caller = Caller::connect(program.address);
    stand(&mut hub, &mut caller, CALL);
    // All the others have calls too, and go on speaking: none of their connections is spare for long.
    let since = Instant::now();
    let _filling = hub.fill_queue();
    is_released(&mut caller, since, || {
        for other in &mut others {
            other.take_in();
            for link in 0..other.links.len() {
                if other.links[link].open {
                    say_state(other, link);
                }
            }
        }
        sleep(Duration::from_millis(50));
    });
}

#[test]
fn calls_at_a_hub_whose_process_hangs_are_released_in_time() {
    // Its kernel goes on accepting connections.
    let (_program, _hub, mut caller) = standing(ScriptedHub::new());
    is_released(&mut caller, Instant::now(), || ());
}

#[test]
fn calls_at_a_hub_whose_machine_came_back_before_it_was_missed_are_released_in_time() {
    let (_program, mut hub, mut caller) = standing(ScriptedHub::new());
    // Its old connections stay open and silent; the new process says its state, and the list tells nothing.
    is_released(&mut caller, Instant::now(), || tell_state_when_dialled(&mut hub, Duration::from_millis(50)));
}

#[test]
fn calls_at_a_hub_that_refuses_connections_beside_silent_ones_are_released_in_time() {
    for may_probe in [true, false] {
        let change =
            |text: String| unhurried(text).replace("\"mayProbe\":true", &format!("\"mayProbe\":{may_probe}"));
        let (_program, mut hub, mut caller) = standing_with(ScriptedHub::new(), change);
        close_listener(&mut hub);
        is_released(&mut caller, Instant::now(), || ());
        hub.take_in();
        assert_eq!(
            hub.sent.iter().any(|sent| sent.kind == kind::TEST),
            may_probe,
            "tested where that is allowed"
        );
    }
}

#[test]
fn calls_at_a_hub_that_has_closed_its_listener_and_answers_tests_go_on() {
    let (_program, mut hub, caller) = standing(ScriptedHub::new());
    close_listener(&mut hub);
    let since = Instant::now();
    let mut answered = 0;
    while since.elapsed() < 2 * RELEASE_RULE {
        hub.take_in();
        let tests: Vec<Sent> = hub.sent.iter().filter(|sent| sent.kind == kind::TEST).cloned().collect();
        for test in tests.iter().skip(answered) {
            hub.say(test.link, kind::TESTED, test.call, &[(code::CAUSE, &[1])]);
        }
        answered = tests.len();
        sleep(Duration::from_millis(5));
    }
    assert!(answered > 0, "it was asked");
    ends_as_usual(hub, caller);
}

#[test]
fn calls_at_a_hub_that_ends_each_new_connection_are_released_in_time() {
    let (_program, hub, mut caller) = standing(ScriptedHub::new());
    is_released(&mut caller, Instant::now(), || while hub.listener.accept().is_ok() {});
}

/// Has the hub say its state on each new connection for so long.
fn tell_state_when_dialled(hub: &mut ScriptedHub, time: Duration) {
    let since = Instant::now();
    while since.elapsed() < time {
        let known = hub.links.len();
        hub.take_in();
        (known..hub.links.len()).for_each(|link| say_state(hub, link));
        sleep(Duration::from_millis(5));
    }
}

/// The hub ends the call, on the connection that came up last, and the caller hears of it.
fn ends_as_usual(mut hub: ScriptedHub, mut caller: Caller) {
    hub.take_in();
    let last = hub.links.iter().rposition(|link| link.open).expect("a connection");
    hub.say(last, kind::RELEASE, CALL, &[(code::CAUSE, &[16])]);
    caller.wait_for("its end", |said| matches!(said, Said::Bye(CALL, _)));
    assert!(caller.said.contains(&Said::Bye(CALL, 16)), "released while it stood: {:?}", caller.said);
}

#[test]
fn calls_at_a_hub_that_has_nothing_to_say_go_on_as_long_as_it_tells_its_state_when_dialled() {
    let (_program, mut hub, caller) = standing(ScriptedHub::new());
    tell_state_when_dialled(&mut hub, 2 * RELEASE_RULE);
    ends_as_usual(hub, caller);
}

#[test]
fn calls_at_a_hub_that_hangs_for_a_moment_go_on() {
    let (_program, mut hub, caller) = standing(ScriptedHub::new());
    sleep(Duration::from_secs(5));
    tell_state_when_dialled(&mut hub, RELEASE_RULE);
    ends_as_usual(hub, caller);
}
