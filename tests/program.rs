//! Tests of the running program from the outside, with callers, hubs and a change log over sockets.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/site_config.rs"]
mod site_config;

use peers::*;
use petreldock::config::{self, Config, JsonNode, OperatorConfig};
use petreldock::learning::DecaySettings;
use petreldock::net::binary::{code, kind};
use std::io::{Read, Write};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

fn targets(hubs: &[&Hub]) -> Vec<String> {
    let target = |h: &&Hub| {
        site_config::target(&format!("s-{}", h.number), &h.address.to_string(), h.number as i64, "in_service")
    };
    hubs.iter().map(target).collect()
}

fn status(caller: &mut Caller, call: u64) -> u16 {
    caller.answer(call).expect("an answer").0
}

#[test]
fn calls_are_answered_and_released_on_any_connection() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let program = Program::start(&targets(&[&hub]), None, None);
    let mut first = Caller::connect(program.address);
    first.invite(0xa1, 3000, 0);
    let (code, _, body) = first.answer(0xa1).expect("an answer");
    assert_eq!((code, &body[..]), (200, HUB_BODY), "the hub's description is unchanged");
    // A BYE may come on another connection than its INVITE.
    let mut second = Caller::connect(program.address);
    second.send("BYE", 0xa1, "Reason: Q.850;cause=31\r\n", b"");
    hub.wait_for(0xa1, HubEvent::Release(31));
    second.wait_for(
        "the BYE is answered",
        |message| matches!(message, Received::Other(0xa1, m, 200) if m == "BYE"),
    );
    // The hub ends a call whose connection was closed: the release is sent on another connection.
    first.invite(0xa2, 3000, 0);
    assert_eq!(status(&mut first, 0xa2), 200);
    drop(first);
    hub.send(kind::RELEASE, 0xa2, &[(code::CAUSE, &[16])]);
    second.wait_for("the release", |message| *message == Received::Bye(0xa2, 16));
    // While no connection is open, a release waits for the next one.
    second.invite(0xa3, 3000, 0);
    assert_eq!(status(&mut second, 0xa3), 200);
    drop(second);
    hub.send(kind::RELEASE, 0xa3, &[(code::CAUSE, &[41])]);
    let mut third = Caller::connect(program.address);
    third.wait_for("the waiting release", |message| *message == Received::Bye(0xa3, 41));
    // A release of a call from before the start is passed on too.
    hub.send(kind::RELEASE, 0xbeef, &[(code::CAUSE, &[16])]);
    third.wait_for("the release of an unknown call", |message| *message == Received::Bye(0xbeef, 16));
}

#[test]
fn full_hubs_give_503_with_a_retry_time() {
    let record = HubRecord::default();
    let hubs = [Hub::start(0, HubBehavior::Full, &record), Hub::start(1, HubBehavior::Full, &record)];
    let program = Program::start(&targets(&[&hubs[0], &hubs[1]]), None, None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0xb1, 3000, 0);
    let (code, retry_after_ms, _) = caller.answer(0xb1).expect("an answer");
    assert_eq!(code, 503);
    assert!(retry_after_ms.is_some_and(|ms| ms > 0 && ms <= 2000), "{retry_after_ms:?}");
    assert!(
        hubs.iter().all(|h| h.events_of(0xb1) == [HubEvent::SetUp, HubEvent::Refused]),
        "each hub gets one set-up"
    );
    caller.invite(0xb2, 3000, 0);
    hubs[1].set_behavior(HubBehavior::Answer);
    status(&mut caller, 0xb2);
}

#[test]
fn cancel_bye_and_lost_connection_withdraw_a_set_up() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Silent, &record);
    // A silent hub soon gets few calls, so that later calls name another hub's place.
    let other = Hub::start(1, HubBehavior::Silent, &record);
    let program = Program::start(&targets(&[&hub, &other]), None, None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0xc1, 3000, 0);
    hub.wait_for(0xc1, HubEvent::SetUp);
    caller.send("CANCEL", 0xc1, "", b"");
    assert_eq!(status(&mut caller, 0xc1), 487);
    hub.wait_for(0xc1, HubEvent::Release(16));
    // An answer of the hub that crosses the CANCEL is released, and the caller gets no second final response.
    hub.send(kind::ANSWER, 0xc1, &[(code::DESCRIPTION, b"late")]);
    wait_until("the late answer is released", || {
        (hub.events_of(0xc1).iter().filter(|s| **s == HubEvent::Release(16)).count() == 2).then_some(())
    });
    caller.send("CANCEL", 0xc1, "", b"");
    caller.wait_for("481 for a set-up that has ended", |message| {
        matches!(message, Received::Other(0xc1, _, 481))
    });
    let finals =
        caller.received.iter().filter(|message| matches!(message, Received::Answer(0xc1, ..))).count();
    assert_eq!(finals, 1);
    // A BYE before the answer withdraws the set-up too.
    caller.invite(0xc3, 3000, 1);
    other.wait_for(0xc3, HubEvent::SetUp);
    caller.send("BYE", 0xc3, "", b"");
    assert_eq!(status(&mut caller, 0xc3), 487);
    other.wait_for(0xc3, HubEvent::Release(16));
    // A lost connection withdraws its set-ups.
    caller.invite(0xc2, 3000, 1);
    other.wait_for(0xc2, HubEvent::SetUp);
    drop(caller);
    other.wait_for(0xc2, HubEvent::Release(16));
}

#[test]
fn retry_after_a_reset_is_delayed_and_a_dead_hub_releases_its_calls() {
    let record = HubRecord::default();
    let other = Hub::start(0, HubBehavior::Reset, &record);
    let hub = Hub::start(1, HubBehavior::Answer, &record);
    let program = Program::start(&targets(&[&other, &hub]), None, None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0xd1, 3000, 0);
    assert_eq!(status(&mut caller, 0xd1), 200);
    let record = record.lock().expect("lock").clone();
    let at = |seen| record.iter().filter(|e| e.3 == seen).map(|e| e.0).max().expect("seen");
    assert_eq!(hub.events_of(0xd1), [HubEvent::SetUp, HubEvent::Answered]);
    assert!(at(HubEvent::SetUp) - at(HubEvent::Reset) >= Duration::from_millis(200), "{record:?}");
    // A lost connection alone ends no established call.
    hub.close_connections();
    wait_until("the link is up again", || (!hub.connections.lock().expect("lock").is_empty()).then_some(()));
    caller.invite(0xd2, 3000, 1);
    assert_eq!(status(&mut caller, 0xd2), 200);
    assert!(!caller.received.contains(&Received::Bye(0xd1, 41)));
    hub.kill();
    for call in [0xd1, 0xd2] {
        caller.wait_for("the dead hub's calls are released", |message| *message == Received::Bye(call, 41));
    }
}

#[test]
fn silent_hub_leads_to_a_refusal_and_a_release() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Silent, &record);
    let program = Program::start(&targets(&[&hub]), None, None);
    let mut caller = Caller::connect(program.address);
    let sent = Instant::now();
    caller.invite(0xe1, 1500, 0);
    assert!(status(&mut caller, 0xe1) >= 480);
    assert!(sent.elapsed() >= Duration::from_millis(1000), "{:?}", sent.elapsed());
    hub.wait_for(0xe1, HubEvent::Release(16));
}

// Guards against a change log that is never heard because it is later than the poller's fixed limit.
#[test]
fn drain_in_a_late_change_log_moves_calls_to_another_hub() {
    let record = HubRecord::default();
    let hubs = [Hub::start(0, HubBehavior::Answer, &record), Hub::start(1, HubBehavior::Answer, &record)];
    let change_log = ChangeLog::start_late(1000, Duration::from_secs(1));
    let program = Program::start(&targets(&[&hubs[0], &hubs[1]]), Some(change_log.address), None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0xc0, 3000, 0);
    assert_eq!(status(&mut caller, 0xc0), 200);
    assert_eq!(hubs[0].events_of(0xc0), [HubEvent::SetUp, HubEvent::Answered]);
    change_log.append_event(&[site_config::target("s-0", &hubs[0].address.to_string(), 0, "terminating")]);
    wait_until("the poller has the event", || {
        change_log.polls.lock().expect("lock").contains(&2).then_some(())
    });
    std::thread::sleep(Duration::from_millis(2100));
    for call in 0xc1..0xc9 {
        caller.invite(call, 3000, 0);
        assert_eq!(status(&mut caller, call), 200);
        assert!(hubs[0].events_of(call).is_empty(), "no set-up after the grace period of the drain");
    }
}

#[test]
fn change_log_drain_moves_calls_to_another_hub() {
    let record = HubRecord::default();
    let hubs = [Hub::start(0, HubBehavior::Answer, &record), Hub::start(1, HubBehavior::Answer, &record)];
    // The change log closes the connection after each answer. The poller must reconnect and continue after the last
    // event.
    let change_log = ChangeLog::start(1);
    let program = Program::start(&targets(&[&hubs[0], &hubs[1]]), Some(change_log.address), None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0xf0, 3000, 0);
    assert_eq!(status(&mut caller, 0xf0), 200);
    assert_eq!(hubs[0].events_of(0xf0), [HubEvent::SetUp, HubEvent::Answered]);
    change_log.append_event(&[site_config::target("s-0", &hubs[0].address.to_string(), 0, "terminating")]);
    wait_until("the poller has the event", || {
        change_log.polls.lock().expect("lock").contains(&2).then_some(())
    });
    let before = change_log.polls.lock().expect("lock").len();
    std::thread::sleep(Duration::from_millis(2100));
    let polls = change_log.polls.lock().expect("lock").len() - before;
    assert!(polls >= 12, "polling continues without gaps after each closed connection: {polls} polls");
    let drained = Instant::now();
    for call in 0xf1..0xf9 {
        caller.invite(call, 3000, 0);
        status(&mut caller, call);
    }
    let sent_late =
        record.lock().expect("lock").iter().any(|e| e.0 > drained && e.2 == 0 && e.3 == HubEvent::SetUp);
    assert!(!sent_late, "no set-up after the grace period of the drain");
    assert!((0xf1..0xf9).any(|c| hubs[1].events_of(c).contains(&HubEvent::Answered)));
    change_log.append_event(&[site_config::target("s-0", &hubs[0].address.to_string(), 0, "terminated")]);
    caller.wait_for("the call on the terminated hub is released", |message| {
        *message == Received::Bye(0xf0, 41)
    });
    let polls = change_log.polls.lock().expect("lock").clone();
    assert!(polls.windows(2).all(|w| w[0] <= w[1]) && polls[0] == 1, "without gaps: {polls:?}");
}

#[test]
fn sighup_changes_the_polled_address_and_interrupts_no_call() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::AnswerAfter(Duration::from_millis(300)), &record);
    // The first change log sends event 2 and then nothing more, while its connection stays open.
    let (old, new) = (ChangeLog::start(1000), ChangeLog::start(1000));
    let mut program = Program::start(&targets(&[&hub]), Some(old.address), None);
    let moved = [Hub::start(2, HubBehavior::Answer, &record), Hub::start(1, HubBehavior::Answer, &record)];
    let added = |i: usize| [targets(&[&moved[i]]).remove(0)];
    for change_log in [&old, &new] {
        change_log.append_event(&added(0));
    }
    wait_until("the poller has event 2", || old.polls.lock().expect("lock").contains(&2).then_some(()));
    let mut caller = Caller::connect(program.address);
    caller.invite(0x51, 3000, 0);
    hub.wait_for(0x51, HubEvent::SetUp);
    let address = |change_log: &ChangeLog| format!("{:?}", change_log.address.to_string());
    let (old_address, new_address) = (address(&old), address(&new));
    let (valid, invalid) = ("\"balancers\":1", "\"balancers\":0");
    let rejected = "not reloaded: settings: balancers must be at least 1";
    program.reload(|text| text.replace(valid, invalid).replace(&old_address, &new_address), rejected);
    let rejected = "not reloaded: changelog: expected an address, as in 10.0.0.4:5060";
    program.reload(|text| text.replace(invalid, valid).replace(&new_address, "\"there\""), rejected);
    assert!(new.polls.lock().expect("lock").is_empty(), "an invalid file changes nothing");
    let logged = format!("reloaded: change log now at {}", new.address);
    program.reload(|text| text.replace("\"there\"", &new_address), &logged);
    new.append_event(&added(1));
    wait_until("the new change log is polled", || new.polls.lock().expect("lock").contains(&3).then_some(()));
    assert_eq!(new.polls.lock().expect("lock")[0], 2, "polling continues after the last event");
    assert_eq!(status(&mut caller, 0x51), 200, "an open call is not interrupted");
    caller.invite(0x52, 3000, 1);
    assert_eq!(status(&mut caller, 0x52), 200);
    assert!(
        moved[1].events_of(0x52).contains(&HubEvent::Answered),
        "events of the new change log take effect"
    );
    assert!(program.child.try_wait().expect("waited").is_none());
}

#[test]
fn sigterm_answers_open_and_new_calls_before_the_end() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::AnswerAfter(Duration::from_millis(900)), &record);
    let mut program = Program::start(&targets(&[&hub]), None, None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0x71, 3000, 0);
    hub.wait_for(0x71, HubEvent::SetUp);
    program.signal("-TERM");
    let end = Instant::now();
    let mut late = wait_until("still accepting", || Caller::try_connect(program.address));
    late.invite(0x72, 3000, 0);
    assert_eq!(status(&mut caller, 0x71), 200);
    late.send("OPTIONS", 0, "", b"");
    assert_eq!(late.answer(0).map(|a| a.0), Some(503), "503 to OPTIONS asks for no more callers");
    assert_eq!(late.answer(0x72).map(|a| a.0), Some(200));
    let exit = wait_until("the program ends", || program.child.try_wait().expect("waited"));
    assert!(exit.success() && end.elapsed() >= Duration::from_millis(700));
}

#[test]
fn malformed_input_affects_no_other_call() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let program = Program::start(&targets(&[&hub]), None, None);
    let mut caller = Caller::connect(program.address);
    caller.send("INVITE", 0x91, "Call-Kind: voice\r\nAnswer-Within: soon\r\n", b"");
    assert_eq!(status(&mut caller, 0x91), 400);
    caller.send("INVITE", 0x92, "Call-Kind voice\r\n", b"");
    assert_eq!(status(&mut caller, 0x92), 400, "a header without a colon");
    caller.send("INVITE", 0x93, "Call-Kind: odd\r\nAnswer-Within: 900\r\nX-New: 1\r\n", b"");
    assert_eq!(
        status(&mut caller, 0x93),
        500,
        "an unknown class fails the call, an unknown header is ignored"
    );
    let long = format!("Via: SIP/2.0/TCP {}\r\n", "x".repeat(3000));
    caller.send("INVITE", 0x9a, &long, b"");
    assert_eq!(status(&mut caller, 0x9a), 513, "headers that a response must repeat are too long");
    caller.send("PUBLISH", 0x94, "", b"");
    caller.wait_for("405", |message| matches!(message, Received::Other(0x94, _, 405)));
    caller.invite(0x95, 3000, 0);
    assert_eq!(status(&mut caller, 0x95), 200, "the connection stays open");
    let mut lost = Caller::connect(program.address);
    lost.stream.write_all(b"\x16\x03\x01 nonsense\r\n\r\n").expect("written");
    wait_until("the connection with malformed input is closed", || (!lost.receive()).then_some(()));
    // A malformed binary message only closes its connection. Unknown types and parameters are ignored.
    hub.send(99, 5, &[(250, b"new")]);
    hub.send(kind::RELEASE, 0x95, &[(250, b"new"), (code::CAUSE, &[16])]);
    caller.wait_for("released", |message| *message == Received::Bye(0x95, 16));
    caller.invite(0x96, 3000, 0);
    assert_eq!(status(&mut caller, 0x96), 200);
    let before = hub.connections.lock().expect("lock").len();
    hub.send_raw(&[0xff; 40]);
    wait_until("the link is reopened", || {
        (hub.connections.lock().expect("lock").len() > before).then_some(())
    });
    caller.invite(0x97, 3000, 0);
    assert_eq!(status(&mut caller, 0x97), 200);
    assert!(
        !caller.received.contains(&Received::Bye(0x96, 41)),
        "an established call does not depend on a connection"
    );
}

#[test]
fn idle_and_stalled_connections_are_closed_and_a_duplicate_call_id_is_refused() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Silent, &record);
    let program = Program::start(&targets(&[&hub]), None, None);
    let start = Instant::now();
    let mut silent = Caller::connect(program.address);
    let mut blank = Caller::connect(program.address);
    blank.stream.write_all(b"\r\n\r\n").expect("written");
    let mut stalled = Caller::connect(program.address);
    stalled.stream.write_all(b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 00").expect("written");
    let mut short = Caller::connect(program.address);
    short.stream.write_all(b"BYE sip:1@net SIP/2.0\r\nContent-Length: 90\r\n\r\nno").expect("written");
    // A connection that waits for an answer stays open.
    let mut waiting = Caller::connect(program.address);
    waiting.invite(0x41, 15_000, 0);
    hub.wait_for(0x41, HubEvent::SetUp);
    // The Call-ID is in use, whichever connection repeats it.
    waiting.invite(0x41, 15_000, 0);
    assert_eq!(status(&mut waiting, 0x41), 503);
    waiting.received.clear();
    let mut other = Caller::connect(program.address);
    other.invite(0x41, 15_000, 0);
    assert_eq!(status(&mut other, 0x41), 503);
    other.send("BYE", 0x41, "", b"");
    // If a connection stalls within a message, its open set-up fails with a response.
    let mut both = Caller::connect(program.address);
    both.invite(0x42, 15_000, 0);
    both.stream.write_all(b"OPTIONS sip:").expect("written");
    assert_eq!(status(&mut both, 0x42), 500);
    for (who, caller) in [("silent", &mut silent), ("blank", &mut blank), ("stalled", &mut stalled)] {
        wait_until(who, || (!caller.receive()).then_some(()));
    }
    wait_until("short", || (!short.receive()).then_some(()));
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "{:?}; closing them after 30 s was too late",
        start.elapsed()
    );
    assert!(
        waiting.receive() && waiting.received.is_empty(),
        "the open call is not affected: {:?}",
        waiting.received
    );
    assert_eq!(hub.events_of(0x41), [HubEvent::SetUp]);
}

#[test]
fn invalid_configuration_ends_the_start_with_one_line() {
    let run = |document: &str, operator: Option<&str>| {
        let folder = std::env::temp_dir().join(format!("petreldock-bad-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut command = Command::new(env!("CARGO_BIN_EXE_petreldock"));
        command.env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME").env_remove("PETRELDOCK_OPERATOR");
        std::fs::write(folder.join("c.json"), document).expect("written");
        command.env("ROUTER_CONFIG", folder.join("c.json"));
        if let Some(text) = operator {
            std::fs::write(folder.join("o.json"), text).expect("written");
            command.env("PETRELDOCK_OPERATOR", folder.join("o.json"));
        }
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let mut text = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut text).expect("text");
        assert!(!child.wait().expect("ended").success(), "{text}");
        std::fs::remove_dir_all(&folder).expect("removed");
        text
    };
    let good = site_config::document("127.0.0.1:0", None, &[]);
    assert_eq!(run("{", None), "petreldock: ROUTER_CONFIG: expected a JSON document\n");
    let attempts = good.replace("\"maxAttempts\":6", "\"maxAttempts\":\"x\"");
    assert_eq!(run(&attempts, None), "petreldock: settings.limits.maxAttempts: expected a count\n");
    let no_balancers = good.replace("\"balancers\":1", "\"balancers\":0");
    assert_eq!(run(&no_balancers, None), "petreldock: settings: balancers must be at least 1\n");
    let hub = r#"{"iax2":{"hubs":[{"uid":"a","address":"here"}]}}"#;
    let expected = "petreldock: iax2.hubs[0].address: expected an address, as in 10.0.0.4:5060\n";
    assert_eq!(run(&good, Some(hub)), expected);
}

#[test]
fn descriptor_exhaustion_closes_idle_connections_only() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    // The configuration allows 1,024 descriptors, but the process may open only 40, so that `accept` fails.
    let program = Program::start_with_socket_limits(&targets(&[&hub]), None, None, (40, 1024));
    let mut serving = Caller::connect(program.address);
    serving.invite(0x81, 3000, 0);
    assert_eq!(status(&mut serving, 0x81), 200);
    let _idle: Vec<Caller> = (0..60).map(|_| Caller::connect(program.address)).collect();
    let mut late = Caller::connect(program.address);
    late.invite(0x82, 15_000, 0);
    assert_eq!(status(&mut late, 0x82), 200, "idle connections are closed for it");
    assert!(!serving.received.contains(&Received::Bye(0x81, 41)));
    let mut any = Caller::connect(program.address);
    hub.send(kind::RELEASE, 0x81, &[(code::CAUSE, &[16])]);
    wait_until("the release arrives on some connection", || {
        [&mut serving, &mut late, &mut any]
            .into_iter()
            .any(|c| {
                c.receive();
                c.received.contains(&Received::Bye(0x81, 16))
            })
            .then_some(())
    });
}

#[test]
fn connection_limit_closes_idle_connections_only() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::AnswerAfter(Duration::from_millis(300)), &record);
    let program = Program::start_with_socket_limits(&targets(&[&hub]), None, None, (1024, 64));
    let mut busy = Caller::connect(program.address);
    busy.invite(0x61, 10_000, 0);
    hub.wait_for(0x61, HubEvent::SetUp);
    let mut idle: Vec<Caller> = (0..50).map(|_| Caller::connect(program.address)).collect();
    let mut late = Caller::connect(program.address);
    late.invite(0x62, 10_000, 0);
    assert_eq!(status(&mut late, 0x62), 200);
    assert_eq!(status(&mut busy, 0x61), 200, "a connection with an open set-up stays");
    let closed = idle.iter_mut().filter_map(|c| (!c.receive()).then_some(())).count();
    assert!(closed >= 20, "{closed} of 50 idle connections closed, of which 32 may be open");
}

#[test]
fn example_files_are_valid() {
    let read = |path: &str| std::fs::read_to_string(path).expect("there");
    let value = config::parse(&read("examples/config.json"), "examples").expect("JSON");
    let read_config = Config::read(&JsonNode::root(&value, ""), None).expect("valid");
    assert_eq!(read_config.known.events[0].targets[0].uid, "toy-1");
    let value = config::parse(&read("deploy/operator.example.json"), "operator").expect("JSON");
    let operator = OperatorConfig::read(&JsonNode::root(&value, ""), &read_config.names).expect("valid");
    assert!(operator.iax2_listen.is_some() && operator.iax2_hubs.len() == 1);
    let value = config::parse(&read("deploy/state.example.json"), "operator").expect("JSON");
    let operator = OperatorConfig::read(&JsonNode::root(&value, ""), &read_config.names).expect("valid");
    assert!(operator.state.is_some_and(|s| s.decay == DecaySettings::default()) && operator.log.json);
}

#[test]
fn more_hubs_than_descriptors_still_leave_descriptors_for_callers() {
    let record = HubRecord::default();
    let hubs: Vec<Hub> = (0..90).map(|n| Hub::start(n, HubBehavior::Answer, &record)).collect();
    // The hubs that get calls are listed last, so that connections to the others would be opened first.
    let target = |n: usize| {
        site_config::target(&format!("s-{n}"), &hubs[n].address.to_string(), n as i64, "in_service")
    };
    let targets: Vec<String> = (0..90).rev().map(target).collect();
    let program = Program::start_with_socket_limits(&targets, None, None, (96, 96));
    let descriptors =
        || std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).map_or(0, |files| files.count());
    let mut callers: Vec<Caller> = Vec::new();
    for n in 0..30u64 {
        let mut caller = Caller::connect(program.address);
        let call = 0x500 + n;
        caller.invite(call, 5_000, (n % 2) as i64);
        assert_eq!(caller.answer(call).map(|a| a.0), Some(200), "call {n} with {} open", descriptors());
        callers.push(caller);
        assert!(descriptors() < 96);
    }
    let reached = hubs.iter().filter(|h| !h.connections.lock().expect("lock").is_empty()).count();
    assert_eq!(reached, 2, "only hubs that get calls are connected");
}
