//! Tests of the started program on real sockets: shutdown, closed and reset connections, abandoned calls, polls of the
//! change log that hang, floods, and a start without peers. Many of them stop the program (SIGSTOP): when it continues,
//! everything that was sent meanwhile is in its sockets at once, which forces the order of events.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/scripted_hub.rs"]
mod scripted_hub;
#[path = "common/site_config.rs"]
mod site_config;

use peers::*;
use petreldock::net::binary::{code, kind};
use scripted_hub::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{PoisonError, RwLock, RwLockReadGuard};
use std::thread::sleep;
use std::time::{Duration, Instant};

const MILLISECOND: Duration = Duration::from_millis(1);

/// Held exclusively by the test with a flood, which uses all processor time, and shared by all other tests.
static FLOOD_LOCK: RwLock<()> = RwLock::new(());

fn exclude_flood() -> RwLockReadGuard<'static, ()> {
    FLOOD_LOCK.read().unwrap_or_else(PoisonError::into_inner)
}

// ---- shutdown ----

#[test]
fn requests_in_sockets_are_answered_before_a_shutdown_completes() {
    let _no_flood = exclude_flood();
    for in_flight in [false, true] {
        let mut hub = ScriptedHub::new();
        let mut program = Program::start_with_config(&[hub.target(0)], None, with_long_objective);
        let mut callers: Vec<Caller> = (0..4).map(|_| Caller::connect(program.address)).collect();
        let mut set_ups = Vec::new();
        if in_flight {
            callers[0].invite(0xa0, 15_000, 0);
            set_ups.push(hub.wait_for_set_up(0xa0, 1));
        }
        // Half of one request is read before the shutdown begins.
        let half = invite_request(0xa1, 15_000, 0);
        callers[1].stream.write_all(&half[..60]).expect("written");
        program.signal("-TERM");
        let signalled = Instant::now();
        wait_until("the program handles the signal", || program.log_contains("ending").then_some(()));
        program.pause();
        // The rest of the half request, a whole one, two on the same connection, and one on a connection that is not
        // accepted yet.
        callers[1].stream.write_all(&half[60..]).expect("written");
        callers[2].invite(0xa2, 15_000, 0);
        let both = [invite_request(0xa3, 15_000, 0), invite_request(0xa4, 15_000, 0)].concat();
        callers[3].stream.write_all(&both).expect("written");
        let mut late = Caller::connect(program.address);
        late.invite(0xa5, 15_000, 0);
        callers.push(late);
        // The program's minimum time before it may exit is over before any of them is read.
        sleep((signalled + Duration::from_millis(1_200)).saturating_duration_since(Instant::now()));
        program.resume();
        set_ups.extend((0xa1..=0xa5).map(|call| hub.wait_for_set_up(call, 1)));
        // Longer than the program continues once no work is outstanding.
        sleep(Duration::from_millis(400));
        assert!(program.child.try_wait().expect("waited").is_none(), "the program waits for the answers");
        set_ups.iter().for_each(|set_up| hub.answer(set_up));
        let calls = [&[0xa0][..], &[0xa1], &[0xa2], &[0xa3, 0xa4], &[0xa5]];
        for (caller, calls) in callers.iter_mut().zip(calls).skip(usize::from(!in_flight)) {
            for call in calls {
                assert_eq!(answer_status(caller, *call), 200, "{call:x}");
            }
        }
        let exit = wait_until("the program exits", || program.child.try_wait().expect("waited"));
        assert!(exit.success());
    }
}

#[test]
fn a_call_that_may_have_run_is_not_refused_at_shutdown() {
    let _no_flood = exclude_flood();
    let mut hub = ScriptedHub::new();
    let with_short_deadline =
        |text: String| with_single_shot(text).replace("\"deadline\":6000000", "\"deadline\":1000000");
    let program = Program::start_with_config(&[hub.target(0)], None, with_short_deadline);
    let mut caller = Caller::connect(program.address);
    caller.invite(0xb0, 15_000, 0);
    hub.wait_for_set_up(0xb0, 1);
    program.signal("-TERM");
    let (code, retry_after, _) = caller.answer(0xb0).expect("an answer");
    assert_eq!((code, retry_after), (500, None), "the caller would dial again after a refusal");
    assert_eq!(hub.wait_for_release(0xb0).cause, Some(16), "the hub gets a give-up");
}

#[test]
fn no_request_on_an_open_connection_is_lost_during_shutdown() {
    send_until_exit(with_long_objective, Duration::from_millis(3_700));
}

#[test]
fn no_request_on_an_open_connection_is_lost_during_a_shutdown_with_short_deadlines() {
    for deadline_us in [100_000, 300_000] {
        let change = |text: String| {
            let deadlines = format!("\"objective\":80000,\"deadline\":{deadline_us}");
            text.replace("\"objective\":1000000,\"deadline\":6000000", &deadlines)
        };
        send_until_exit(change, Duration::from_micros(deadline_us) + Duration::from_millis(700));
    }
}

/// Checks that requests on an open connection are answered until the program exits after SIGTERM. `kill_after` is the
/// shortest time after which SIGKILL may follow.
fn send_until_exit(change: impl Fn(String) -> String, kill_after: Duration) {
    let _no_flood = exclude_flood();
    let hub = ScriptedHub::new();
    let mut program = Program::start_with_config(&[hub.target(0)], None, change);
    let mut caller = Caller::connect(program.address);
    let kill_at = Instant::now() + kill_after;
    program.signal("-TERM");
    let mut sent: Vec<(u64, Instant)> = Vec::new();
    // The hub never answers, so that the program runs for as long as it may.
    let ended = loop {
        let call = 0x1000 + sent.len() as u64;
        sent.push((call, Instant::now()));
        caller.invite(call, 15_000, 0);
        let next = Instant::now() + 20 * MILLISECOND;
        while Instant::now() < next {
            caller.receive();
        }
        if Instant::now() >= kill_at {
            program.child.kill().expect("killed");
        }
        if !caller.receive() {
            break Instant::now();
        }
    };
    wait_until("the program exits", || program.child.try_wait().expect("waited"));
    // A caller repeats a request that crosses the close of its connection, so the last ones do not count.
    let received = sent.iter().filter(|(_, at)| *at + 50 * MILLISECOND < ended);
    let is_answered = |call: u64| {
        caller.received.iter().any(|message| matches!(message, Received::Answer(c, ..) if *c == call))
    };
    let lost: Vec<_> = received.filter(|(call, _)| !is_answered(*call)).collect();
    assert!(
        lost.is_empty(),
        "{} of {} lost, the first {:?} before the exit",
        lost.len(),
        sent.len(),
        ended - lost[0].1
    );
}

#[test]
fn a_restarted_program_does_not_take_an_answer_to_the_old_process_for_its_own() {
    let _no_flood = exclude_flood();
    let mut hub = ScriptedHub::new();
    let mut old = Program::start(&[hub.target(0)], None, None);
    let mut caller = Caller::connect(old.address);
    for call in [0xc0, 0xc1] {
        caller.invite(call, 15_000, 0);
    }
    let (answered, open) = (hub.wait_for_set_up(0xc0, 1), hub.wait_for_set_up(0xc1, 1));
    hub.answer(&answered);
    assert_eq!(answer_status(&mut caller, 0xc0), 200);
    old.child.kill().expect("killed");
    old.child.wait().expect("ended");
    // The caller's end of the old connection still exists, and the address must be free nevertheless.
    let new = Program::launch(old.address, &[hub.target(0)], None, None, 1024, |text| text);
    let mut second = Caller::connect(new.address);
    second.invite(0xc2, 15_000, 0);
    let new_set_up = hub.wait_for_set_up(0xc2, 1);
    assert!(new_set_up.connection > open.connection, "on a new connection");
    // The new process receives the answer and the release of the old one's calls: it ignores an answer that no caller
    // waits for, and passes on the release of the answered call.
    hub.send(new_set_up.connection, kind::ANSWER, 0xc1, &[(code::DESCRIPTION, HUB_BODY)]);
    hub.send(new_set_up.connection, kind::RELEASE, 0xc0, &[(code::CAUSE, &[16])]);
    hub.answer(&new_set_up);
    assert_eq!(answer_status(&mut second, 0xc2), 200);
    second.wait_for("the BYE of the old call", |message| *message == Received::Bye(0xc0, 16));
    assert!(
        !second.received.iter().any(|message| matches!(message, Received::Answer(0xc1, ..))),
        "{:?}",
        second.received
    );
    drop(caller);
}

// ---- closed connections ----

#[test]
fn a_closing_connection_is_not_reset_after_its_last_response() {
    let _no_flood = exclude_flood();
    let hub = ScriptedHub::new();
    let program = Program::start(&[hub.target(0)], None, None);
    let stream = TcpStream::connect(program.address).expect("it listens");
    let unreadable = request("INVITE", 0xd0, "Content-Length: many\r\n", b"");
    let unreadable = String::from_utf8(unreadable).expect("text").replace("Content-Length: 0\r\n", "");
    program.pause();
    // The requests behind it are complete and are never handled.
    let behind: Vec<u8> = (0..200).flat_map(|n| invite_request(0xd1 + n, 15_000, 0)).collect();
    (&stream).write_all(unreadable.as_bytes()).expect("written");
    (&stream).write_all(&behind).expect("written");
    program.resume();
    let (clean, received) = read_until_closed(stream);
    let received = String::from_utf8_lossy(&received).into_owned();
    assert!(received.starts_with("SIP/2.0 400 ") && received.matches("SIP/2.0 ").count() == 1, "{received}");
    assert!(clean, "a reset could have destroyed the response");
}

#[test]
fn a_set_up_ahead_of_an_unparsable_message_gets_a_final_response() {
    let _no_flood = exclude_flood();
    let mut hub = ScriptedHub::new();
    let program = Program::start(&[hub.target(0)], None, None);
    let stream = TcpStream::connect(program.address).expect("it listens");
    (&stream).write_all(&invite_request(0xd8, 15_000, 0)).expect("written");
    hub.wait_for_set_up(0xd8, 1);
    (&stream).write_all(b"\x16\x03\x01 nonsense\r\n\r\n").expect("written");
    let (clean, received) = read_until_closed(stream);
    let received = String::from_utf8_lossy(&received).into_owned();
    assert!(
        clean && received.starts_with("SIP/2.0 500 ") && received.contains("00000000000000d8"),
        "{received}"
    );
    assert_eq!(hub.wait_for_release(0xd8).cause, Some(16), "the set-up is given up at the hub");
}

#[test]
fn a_connection_with_an_unread_or_partial_request_is_not_closed_as_idle() {
    let _no_flood = exclude_flood();
    let mut hub = ScriptedHub::new();
    // 32 connections may be open. From 24 on, idle ones are closed, the least recently used first.
    let program = Program::start_with_socket_limits(&[hub.target(0)], None, None, (1024, 64));
    let mut idle: Vec<Caller> = (0..22).map(|_| Caller::connect(program.address)).collect();
    for caller in &mut idle {
        caller.send("OPTIONS", 0, "", b"");
        assert_eq!(answer_status(caller, 0), 200);
    }
    // The first caller sends half a request, which is read; the next three a whole one, which is not read yet.
    let half = invite_request(0xe0, 15_000, 0);
    idle[0].stream.write_all(&half[..40]).expect("written");
    idle[21].send("OPTIONS", 0xe9, "", b"");
    idle[21].wait_for("the response to the request after the half one", |message| {
        matches!(message, Received::Other(0xe9, _, 200))
    });
    program.pause();
    for (n, caller) in idle[1..4].iter_mut().enumerate() {
        caller.invite(0xe1 + n as u64, 15_000, 0);
    }
    let mut newcomers: Vec<Caller> = (0..8).map(|_| Caller::connect(program.address)).collect();
    for caller in &mut newcomers {
        caller.send("OPTIONS", 0, "", b"");
    }
    program.resume();
    for caller in &mut newcomers {
        assert_eq!(answer_status(caller, 0), 200);
    }
    idle[0].stream.write_all(&half[40..]).expect("the connection is open");
    for call in 0xe0..0xe4 {
        let set_up = hub.wait_for_set_up(call, 1);
        hub.answer(&set_up);
        assert_eq!(answer_status(&mut idle[(call - 0xe0) as usize], call), 200);
    }
    let closed = idle[4..21].iter_mut().filter_map(|c| (!c.receive()).then_some(())).count();
    assert!(closed > 0, "idle connections were closed");
}

#[test]
fn a_single_shot_call_that_was_reset_fails_without_a_further_attempt() {
    let _no_flood = exclude_flood();
    for by_close in [false, true] {
        let mut hub = ScriptedHub::new();
        let mut other = ScriptedHub::new();
        let program = Program::start_with_config(&[hub.target(0), other.target(1)], None, with_single_shot);
        let mut caller = Caller::connect(program.address);
        caller.invite(0xf0, 15_000, 0);
        let set_up = hub.wait_for_set_up(0xf0, 1);
        match by_close {
            // The hub closes its connection during the set-up.
            true => hub.break_connection(set_up.connection),
            false => hub.send(set_up.connection, kind::RELEASE, set_up.call, &[(code::CAUSE, &[41])]),
        }
        let (code, retry_after, _) = caller.answer(0xf0).expect("an answer");
        assert_eq!((code, retry_after), (500, None), "the caller would dial again after a refusal");
        // A later call shows that no attempt follows: the pause of 200 ms is over and the connection is up again.
        sleep(Duration::from_millis(300));
        caller.invite(0xf1, 15_000, 0);
        let later = hub.wait_for_set_up(0xf1, 1);
        hub.answer(&later);
        assert_eq!(answer_status(&mut caller, 0xf1), 200);
        assert_eq!((hub.set_up_count(0xf0), other.set_up_count(0xf0)), (1, 0));
    }
}

// ---- abandoned calls ----

#[test]
fn a_set_up_abandoned_before_it_was_read_reaches_no_hub() {
    let _no_flood = exclude_flood();
    let mut hub = ScriptedHub::new();
    let program = Program::start(&[hub.target(0)], None, None);
    let mut waits = Caller::connect(program.address);
    let mut cancels = Caller::connect(program.address);
    program.pause();
    let mut disconnects = Caller::connect(program.address);
    disconnects.invite(0x10, 15_000, 0);
    drop(disconnects);
    cancels.invite(0x11, 15_000, 0);
    cancels.send("CANCEL", 0x11, "", b"");
    waits.invite(0x12, 15_000, 0);
    program.resume();
    assert_eq!(answer_status(&mut cancels, 0x11), 487);
    let last = hub.wait_for_set_up(0x12, 1);
    hub.answer(&last);
    assert_eq!(answer_status(&mut waits, 0x12), 200);
    // Requests are handled in the order in which they are read, so this call follows all others.
    waits.invite(0x13, 15_000, 0);
    hub.wait_for_set_up(0x13, 1);
    assert_eq!((hub.set_up_count(0x10), hub.set_up_count(0x11)), (0, 0), "{:?}", hub.received);
}

#[test]
fn a_call_abandoned_in_its_pause_is_not_set_up_again() {
    let _no_flood = exclude_flood();
    let mut hub = ScriptedHub::new();
    let with_long_pause = |text: String| text.replace("\"release\":200000", "\"release\":3000000");
    let program = Program::start_with_config(&[hub.target(0)], None, with_long_pause);
    let [mut disconnects, mut cancels, mut waits] = [(); 3].map(|()| Caller::connect(program.address));
    let mut set_ups = Vec::new();
    for (caller, call) in [(&mut disconnects, 0x20), (&mut cancels, 0x21), (&mut waits, 0x22)] {
        caller.invite(call, 15_000, 0);
        set_ups.push(hub.wait_for_set_up(call, 1));
    }
    set_ups.iter().for_each(|set_up| hub.break_connection(set_up.connection));
    cancels.send("CANCEL", 0x21, "", b"");
    assert_eq!(answer_status(&mut cancels, 0x21), 487, "cancelled in the pause");
    drop(disconnects);
    // The pause of this call began last: when its next attempt is made, the pauses of the others would be over too.
    let again = hub.wait_for_set_up(0x22, 2);
    hub.answer(&again);
    assert_eq!(answer_status(&mut waits, 0x22), 200);
    assert_eq!((hub.set_up_count(0x20), hub.set_up_count(0x21)), (1, 1));
}

#[test]
fn a_call_abandoned_during_the_dial_is_not_set_up_once_it_succeeds() {
    let _no_flood = exclude_flood();
    let mut hub = ScriptedHub::with_short_accept_queue();
    let filling = hub.fill_accept_queue();
    // The dial succeeds as soon as the queue is emptied and the kernel has tried again.
    let with_long_dial_timeout =
        |text: String| text.replace("\"dialTimeout\":500000", "\"dialTimeout\":15000000");
    let program = Program::start_with_config(&[hub.target(0)], None, with_long_dial_timeout);
    let [mut disconnects, mut cancels, mut waits] = [(); 3].map(|()| Caller::connect(program.address));
    for (caller, call) in [(&mut disconnects, 0x30), (&mut cancels, 0x31), (&mut waits, 0x32)] {
        caller.invite(call, 15_000, 0);
    }
    cancels.send("CANCEL", 0x31, "", b"");
    assert_eq!(answer_status(&mut cancels, 0x31), 487);
    drop(disconnects);
    // This request is read after the close of the other connection.
    waits.send("OPTIONS", 0x39, "", b"");
    waits.wait_for("the response to the later request", |message| {
        matches!(message, Received::Other(0x39, _, 200))
    });
    hub.receive();
    drop(filling);
    let late = hub.wait_for_set_up(0x32, 1);
    assert_eq!((hub.set_up_count(0x30), hub.set_up_count(0x31)), (0, 0), "{:?}", hub.received);
    hub.answer(&late);
    assert_eq!(answer_status(&mut waits, 0x32), 200);
}

#[test]
fn a_call_abandoned_behind_a_hub_that_stopped_reading_is_not_set_up() {
    let _no_flood = exclude_flood();
    let mut hub = ScriptedHub::with_small_receive_buffer();
    let debug = Some(r#"{"log":{"level":"debug"}}"#);
    let program =
        Program::launch(ephemeral_address(), &[hub.target(0)], None, debug, 1024, with_long_objective);
    let mut waits = Caller::connect(program.address);
    let logged = |what: &str, call: u64| program.log_contains(&format!("{what} call={call:016x}"));
    // Fills all connections that the program may open, call by call, until several calls in a row are assigned and no
    // byte of them is written. The last connection is opened only after a silence of the hub.
    let body = vec![b'v'; 15 * 1024];
    let (mut last, mut stuck) = (0x1000, 0);
    while stuck < 4 {
        last += 1;
        let all_open = program.log_contains("connection opened link=1 connection=4 open=4");
        let more = "Call-Kind: voice\r\nAnswer-Within: 90000\r\nRouting-Data: dest:0;width:1;via:-1\r\n";
        waits.send("INVITE", last, more, &body);
        wait_until("the call is assigned to the hub", || logged("attempt sent", last).then_some(()));
        let sent_at = Instant::now();
        while !logged("begun", last) && sent_at.elapsed() < Duration::from_millis(200) {
            sleep(MILLISECOND);
        }
        stuck = if logged("begun", last) || !all_open { 0 } else { stuck + 1 };
        assert!(last < 0x1800, "the socket buffers never fill up");
    }
    // Two more calls wait behind these and are abandoned. The hub has read nothing, so no byte of them is written.
    let mut cancels = Caller::connect(program.address);
    let mut disconnects = Caller::connect(program.address);
    for (caller, call) in [(&mut cancels, 0x2000), (&mut disconnects, 0x2001)] {
        caller.invite(call, 15_000, 0);
        wait_until("the call is assigned to the hub", || logged("attempt sent", call).then_some(()));
    }
    cancels.send("CANCEL", 0x2000, "", b"");
    assert_eq!(answer_status(&mut cancels, 0x2000), 487);
    drop(disconnects);
    wait_until("the disconnect is detected", || logged("giving up attempt", 0x2001).then_some(()));
    assert!(!logged("begun", 0x2000) && !logged("begun", 0x2001), "the two wait behind the others");
    // The hub reads. After the other set-ups each connection carries their give-ups, once their caller disconnects as
    // well; set-ups of the two calls would come before these.
    for call in 0x1001..=last {
        hub.wait_for_set_up(call, 1);
    }
    drop(waits);
    for call in 0x1001..=last {
        assert_eq!(hub.wait_for_release(call).cause, Some(16));
    }
    assert_eq!((hub.set_up_count(0x2000), hub.set_up_count(0x2001)), (0, 0));
}

#[test]
fn a_call_is_not_delayed_by_a_dial_that_never_succeeds() {
    let _no_flood = exclude_flood();
    let unreachable = ScriptedHub::with_short_accept_queue();
    let _filling = unreachable.fill_accept_queue();
    let mut hub = ScriptedHub::new();
    let program = Program::start(&[unreachable.target(0), hub.target(1)], None, None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0x40, 15_000, 0);
    let set_up = hub.wait_for_set_up(0x40, 1);
    hub.answer(&set_up);
    assert_eq!(answer_status(&mut caller, 0x40), 200, "another hub takes the call, which never ran");
}

// ---- settings of each request ----

/// Configures a second class, `brief`, whose settings all differ from those of `voice`.
fn with_two_classes(text: String) -> String {
    with_long_objective(text)
        .replace(
            "\"classes\":[",
            "\"classes\":[{\"name\":\"brief\",\"objective\":8000000,\"deadline\":9000000,\
             \"idempotency\":\"single_shot\",\"lateWorth\":0.1,\"worth\":5.0},",
        )
        .replace("\"allowedPools\":[[0,1]]", "\"allowedPools\":[[0,1],[0,1]]")
        .replace("\"classHold\":[8000000]", "\"classHold\":[1000000,8000000]")
}

#[test]
fn requests_on_one_connection_do_not_share_class_settings() {
    let _no_flood = exclude_flood();
    let mut hub = ScriptedHub::new();
    let program = Program::start_with_config(&[hub.target(0)], None, with_two_classes);
    let mut caller = Caller::connect(program.address);
    let mut call = 0x100;
    // Each round uses the same connection with the classes in another order.
    for round in 0..4 {
        let mut kinds = ["voice", "brief", "odd", ""];
        kinds.rotate_left(round);
        let mut all = Vec::new();
        for (n, class) in kinds.iter().enumerate() {
            let kind = if class.is_empty() { String::new() } else { format!("Call-Kind: {class}\r\n") };
            // One with a deadline of its own and one without, which must get that of its class and not the previous one.
            let headers = format!("{kind}Answer-Within: 30000\r\nRouting-Data: dest:0;width:1;via:-1\r\n");
            all.extend(request("INVITE", call + 2 * n as u64, &headers, b"v=0 offer\r\n"));
            all.extend(request("INVITE", call + 2 * n as u64 + 1, &kind, b"v=0 offer\r\n"));
        }
        caller.stream.write_all(&all).expect("written");
        let mut set_ups = Vec::new();
        for (n, class) in kinds.iter().enumerate() {
            for (call, has_deadline) in [(call + 2 * n as u64, true), (call + 2 * n as u64 + 1, false)] {
                if !["voice", "brief"].contains(class) {
                    assert_eq!(answer_status(&mut caller, call), 500, "a call without a known class fails");
                    assert_eq!(hub.set_up_count(call), 0);
                    continue;
                }
                let set_up = hub.wait_for_set_up(call, 1);
                let (least, most) = match (has_deadline, *class) {
                    (true, _) => (20_001, 30_000),
                    (false, "voice") => (30_001, 120_000),
                    (false, _) => (1, 9_000),
                };
                assert_eq!(set_up.class, *class);
                // A slow machine has used some of the time already.
                assert!((least..=most).contains(&set_up.wait), "{class} {has_deadline}: {set_up:?}");
                set_ups.push((set_up, has_deadline));
            }
        }
        // Set-ups without a deadline of their own are answered and the others reset: then only the class `voice` allows
        // a further attempt.
        for (set_up, _) in set_ups.iter().filter(|(_, has_deadline)| !has_deadline) {
            hub.answer(set_up);
            assert_eq!(answer_status(&mut caller, set_up.call), 200);
        }
        for (set_up, _) in set_ups.iter().filter(|(_, has_deadline)| *has_deadline) {
            hub.break_connection(set_up.connection);
        }
        for (set_up, _) in set_ups.iter().filter(|(_, has_deadline)| *has_deadline) {
            if set_up.class == "brief" {
                assert_eq!(answer_status(&mut caller, set_up.call), 500);
            } else {
                let again = hub.wait_for_set_up(set_up.call, 2);
                hub.answer(&again);
                assert_eq!(answer_status(&mut caller, set_up.call), 200);
            }
        }
        call += 0x10;
    }
    let is_brief = |s: &ReceivedMessage| s.kind == kind::SET_UP && s.class == "brief";
    let mut brief: Vec<u64> = hub.received.iter().filter(|s| is_brief(s)).map(|s| s.call).collect();
    let sent = brief.len();
    brief.dedup();
    assert_eq!((sent, brief.len()), (8, 8), "no call is set up twice");
}

// ---- polls of the change log that hang ----

/// Accepts the next poll of a change log, and returns its connection and its `since`.
fn accept_poll(listener: &TcpListener) -> (TcpStream, u64) {
    let (mut stream, _) = listener.accept().expect("asked");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    let (mut text, mut bytes) = (Vec::new(), [0; 512]);
    while !text.ends_with(b"\r\n\r\n") {
        let count = stream.read(&mut bytes).expect("a request");
        assert!(count > 0, "a whole request");
        text.extend_from_slice(&bytes[..count]);
    }
    let text = String::from_utf8(text).expect("text");
    let since = text.split("since=").nth(1).and_then(|t| t.split('&').next()).expect("since");
    (stream, since.parse().expect("a number"))
}

/// Formats a response of the change log with one event, or none if there are no targets.
fn change_log_response(seq: u64, targets: &[String]) -> String {
    let events = if targets.is_empty() { String::new() } else { site_config::event(seq, false, targets) };
    let body = format!(r#"{{"seq":{seq},"results":[{events}]}}"#);
    format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn the_grace_period_of_a_drain_includes_the_time_of_a_hung_poll() {
    let _no_flood = exclude_flood();
    let (mut hub, mut other) = (ScriptedHub::new(), ScriptedHub::new());
    let change_log = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = change_log.local_addr().expect("an address");
    let drain = site_config::target("s-0", &hub.address.to_string(), 0, "terminating");
    let change_log = std::thread::spawn(move || {
        let (mut first, since) = accept_poll(&change_log);
        assert_eq!(since, 1);
        first.write_all(change_log_response(1, &[]).as_bytes()).expect("written");
        drop(first);
        // One poll gets no response and one only part of the drain event; both connections stay open.
        let (unanswered, _) = accept_poll(&change_log);
        let (mut partial, since) = accept_poll(&change_log);
        assert_eq!(since, 1);
        let response = change_log_response(2, &[drain]);
        partial.write_all(&response.as_bytes()[..response.len() - 20]).expect("written");
        let (mut complete, since) = accept_poll(&change_log);
        assert_eq!(since, 1, "a partial response changes nothing");
        complete.write_all(response.as_bytes()).expect("written");
        drop(complete);
        let (next, since) = accept_poll(&change_log);
        assert_eq!(since, 2, "the event is applied");
        drop((unanswered, partial, next));
    });
    let program = Program::start(&[hub.target(0), other.target(1)], Some(address), None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0x70, 15_000, 0);
    let before = hub.wait_for_set_up(0x70, 1);
    hub.answer(&before);
    assert_eq!(answer_status(&mut caller, 0x70), 200);
    change_log.join().expect("the polls are as expected");
    // The drain may have been announced more than 2 s ago, in the lost responses, so no grace period is left.
    for call in 0x71..0x75 {
        caller.invite(call, 15_000, 0);
        let set_up = other.wait_for_set_up(call, 1);
        other.answer(&set_up);
        assert_eq!(answer_status(&mut caller, call), 200);
        assert_eq!(hub.set_up_count(call), 0);
    }
    hub.send(before.connection, kind::RELEASE, 0x70, &[(code::CAUSE, &[16])]);
    caller.wait_for("the call at the draining hub continues until its release", |message| {
        *message == Received::Bye(0x70, 16)
    });
}

#[test]
fn a_hung_poll_does_not_delay_a_reload() {
    let _no_flood = exclude_flood();
    let hub = ScriptedHub::new();
    let [old, new] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
    let [from, to] = [&old, &new].map(|l| l.local_addr().expect("an address").to_string());
    let old_address = old.local_addr().expect("an address");
    // Each poll gets a response without events, until one has to hang.
    let (hang_sender, hang_receiver) = std::sync::mpsc::channel::<()>();
    let change_log = std::thread::spawn(move || loop {
        let (mut stream, _) = accept_poll(&old);
        if hang_receiver.try_recv().is_ok() {
            return stream;
        }
        stream.write_all(change_log_response(1, &[]).as_bytes()).expect("written");
    });
    let program = Program::start(&[hub.target(0)], Some(old_address), None);
    hang_sender.send(()).expect("the log is polled");
    let mut hung = change_log.join().expect("polled once more");
    program.reload(|text| text.replace(&from, &to), &format!("reloaded: change log now at {to}"));
    // Kept open, since its end would be a failed poll.
    let (_polled, since) = accept_poll(&new);
    assert_eq!(since, 1, "continues after the last event");
    let mut bytes = [0; 16];
    assert_eq!(hung.read(&mut bytes).expect("end of stream"), 0, "the old poll is closed");
    assert!(!program.log_contains("asking again"), "not because the poll timed out: {}", program.log());
}

// ---- floods and start ----

/// The program's resident memory in kilobytes.
fn resident_kb(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).expect("it runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a line");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

#[test]
fn floods_of_invalid_requests_do_not_starve_valid_ones() {
    let _exclusive = FLOOD_LOCK.write().unwrap_or_else(PoisonError::into_inner);
    const REQUESTS_PER_FLOOD: u64 = 3_000;
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let target = site_config::target("s-0", &hub.address.to_string(), 0, "in_service");
    let program = Program::start_with_config(&[target], None, with_long_objective);
    let mut valid = Caller::connect(program.address);
    valid.invite(0x50, 15_000, 0);
    assert_eq!(answer_status(&mut valid, 0x50), 200);
    let before = resident_kb(&program);
    let address = program.address;
    let flood = |request: fn(u64) -> Vec<u8>| {
        std::thread::spawn(move || {
            let stream = TcpStream::connect(address).expect("it listens");
            let mut writing = stream.try_clone().expect("cloned");
            let writer = std::thread::spawn(move || {
                for n in 0..REQUESTS_PER_FLOOD {
                    if writing.write_all(&request(n)).is_err() {
                        return;
                    }
                }
                let _ = writing.shutdown(std::net::Shutdown::Write);
            });
            let (_, received) = read_until_closed(stream);
            writer.join().expect("written");
            let received = String::from_utf8_lossy(&received).into_owned();
            (received.matches("SIP/2.0 200").count(), received.matches("\r\nCSeq").count())
        })
    };
    let unknown_class: fn(u64) -> Vec<u8> = |n| request("INVITE", 0x1_0000 + n, "Call-Kind: odd\r\n", b"");
    let invalid_header: fn(u64) -> Vec<u8> =
        |n| request("INVITE", 0x2_0000 + n, "Answer-Within: soon\r\n", b"");
    // Uses the Call-ID of an answered call.
    let repeated: fn(u64) -> Vec<u8> = |_| invite_request(0x50, 15_000, 0);
    let unknown_cancel: fn(u64) -> Vec<u8> = |n| request("CANCEL", 0x3_0000 + n, "", b"");
    let floods = [unknown_class, invalid_header, repeated, unknown_cancel].map(flood);
    let mut slowest = Duration::ZERO;
    for call in 0x51..0x81 {
        let sent = Instant::now();
        valid.invite(call, 15_000, 0);
        assert_eq!(answer_status(&mut valid, call), 200);
        slowest = slowest.max(sent.elapsed());
        sleep(2 * MILLISECOND);
    }
    for flood in floods {
        let (served, answered) = flood.join().expect("ended");
        assert_eq!(served, 0, "no request of a flood is accepted");
        assert!(answered > 0, "the requests get responses");
    }
    assert!(slowest < Duration::from_secs(5), "{slowest:?}");
    let growth_kb = resident_kb(&program).saturating_sub(before);
    assert!(growth_kb < 12 * 1024, "{growth_kb} kB more than before the flood");
    assert!(
        hub.events_of(0x50).iter().filter(|s| **s == HubEvent::SetUp).count() == 1,
        "a repeated Call-ID causes no second set-up"
    );
}

#[test]
fn the_program_starts_without_the_change_log_or_any_hub() {
    let _no_flood = exclude_flood();
    let reserved: Vec<ReservedAddress> = (0..3).map(|_| ReservedAddress::bind()).collect();
    let unreachable: Vec<SocketAddr> = reserved.iter().map(|r| r.address).collect();
    let targets: Vec<String> = (0..2)
        .map(|n| site_config::target(&format!("s-{n}"), &unreachable[n].to_string(), n as i64, "in_service"))
        .collect();
    let program = Program::start(&targets, Some(unreachable[2]), None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0x60, 15_000, 0);
    let (code, retry_after, _) = caller.answer(0x60).expect("an answer");
    assert_eq!(code, 503, "refused at once");
    assert!(retry_after.is_some_and(|ms| ms > 0), "with a time to come back");
}
