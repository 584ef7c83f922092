//! Paths that end things, forced on real sockets: what is still owed when the started program ends, closes,
//! gives up or is left. A process that is stopped (SIGSTOP) has everything that was sent meanwhile before it at
//! once when it goes on: that is how an order of events is forced here, and not hoped for.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/script.rs"]
mod script;
#[path = "common/site.rs"]
mod site;

use peers::*;
use petreldock::net::binary::{code, kind};
use script::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{PoisonError, RwLock, RwLockReadGuard};
use std::thread::sleep;
use std::time::{Duration, Instant};

const MILLI: Duration = Duration::from_millis(1);

/// A flood takes all of the machine that it gets: none of the others runs beside it.
static QUIET: RwLock<()> = RwLock::new(());

fn quiet() -> RwLockReadGuard<'static, ()> {
    QUIET.read().unwrap_or_else(PoisonError::into_inner)
}

// ---- exits ----

#[test]
fn what_waits_in_sockets_when_a_planned_end_is_due_is_answered_first() {
    let _quiet = quiet();
    for in_flight in [false, true] {
        let mut hub = ScriptedHub::new();
        let mut program = Program::changed(&[hub.target(0)], None, unhurried);
        let mut callers: Vec<Caller> = (0..4).map(|_| Caller::connect(program.address)).collect();
        let mut set_ups = Vec::new();
        if in_flight {
            callers[0].invite(0xa0, 15_000, 0);
            set_ups.push(hub.set_up(0xa0, 1));
        }
        // One is half there before the end is told.
        let half = invitation(0xa1, 15_000, 0);
        callers[1].stream.write_all(&half[..60]).expect("written");
        program.signal("-TERM");
        let told = Instant::now();
        until("it has heard", || program.logged("ending").then_some(()));
        program.pause();
        // Whole in the socket's buffer, two behind one another, the rest of the half one, and one on a connection
        // that is not accepted yet.
        callers[1].stream.write_all(&half[60..]).expect("written");
        callers[2].invite(0xa2, 15_000, 0);
        let both = [invitation(0xa3, 15_000, 0), invitation(0xa4, 15_000, 0)].concat();
        callers[3].stream.write_all(&both).expect("written");
        let mut late = Caller::connect(program.address);
        late.invite(0xa5, 15_000, 0);
        callers.push(late);
        // The time to stay is over before any of them is read.
        sleep((told + Duration::from_millis(1_200)).saturating_duration_since(Instant::now()));
        program.go_on();
        set_ups.extend((0xa1..=0xa5).map(|call| hub.set_up(call, 1)));
        // Longer than it lingers once nothing is owed.
        sleep(Duration::from_millis(400));
        assert!(program.child.try_wait().expect("waited").is_none(), "it waits for the answers");
        set_ups.iter().for_each(|set_up| hub.answer(set_up));
        let calls = [&[0xa0][..], &[0xa1], &[0xa2], &[0xa3, 0xa4], &[0xa5]];
        for (caller, calls) in callers.iter_mut().zip(calls).skip(usize::from(!in_flight)) {
            for call in calls {
                assert_eq!(status(caller, *call), 200, "{call:x}");
            }
        }
        let exit = until("the program ends", || program.child.try_wait().expect("waited"));
        assert!(exit.success());
    }
}

#[test]
fn what_may_have_run_is_never_called_refused_at_a_planned_end() {
    let _quiet = quiet();
    let mut hub = ScriptedHub::new();
    let short = |text: String| once(text).replace("\"deadline\":6000000", "\"deadline\":1000000");
    let program = Program::changed(&[hub.target(0)], None, short);
    let mut caller = Caller::connect(program.address);
    caller.invite(0xb0, 15_000, 0);
    hub.set_up(0xb0, 1);
    program.signal("-TERM");
    let (code, away, _) = caller.answer(0xb0).expect("an answer");
    assert_eq!((code, away), (500, None), "'refused' would have it dial again");
    assert_eq!(hub.release(0xb0).cause, Some(16), "and the hub is told");
}

#[test]
fn what_comes_on_an_open_connection_till_a_planned_end_is_over_is_answered() {
    comes_till_the_end(unhurried, Duration::from_millis(3_700));
}

#[test]
fn what_comes_on_an_open_connection_till_a_planned_end_with_short_deadlines_is_over_is_answered() {
    for deadline_us in [100_000, 300_000] {
        let change = |text: String| {
            let short = format!("\"objective\":80000,\"deadline\":{deadline_us}");
            text.replace("\"objective\":1000000,\"deadline\":6000000", &short)
        };
        comes_till_the_end(change, Duration::from_micros(deadline_us) + Duration::from_millis(700));
    }
}

/// Callers go on using an open connection until SIGKILL, which comes at its earliest after SIGTERM.
fn comes_till_the_end(change: impl Fn(String) -> String, kill_after: Duration) {
    let _quiet = quiet();
    let hub = ScriptedHub::new();
    let mut program = Program::changed(&[hub.target(0)], None, change);
    let mut caller = Caller::connect(program.address);
    let kill_at = Instant::now() + kill_after;
    program.signal("-TERM");
    let mut sent: Vec<(u64, Instant)> = Vec::new();
    // The hub never answers, so that the program stays for as long as it may.
    let ended = loop {
        let call = 0x1000 + sent.len() as u64;
        sent.push((call, Instant::now()));
        caller.invite(call, 15_000, 0);
        let next = Instant::now() + 20 * MILLI;
        while Instant::now() < next {
            caller.take_in();
        }
        if Instant::now() >= kill_at {
            program.child.kill().expect("killed");
        }
        if !caller.take_in() {
            break Instant::now();
        }
    };
    until("the program ends", || program.child.try_wait().expect("waited"));
    // What crosses the end of its connection is sent again by its caller.
    let taken = sent.iter().filter(|(_, at)| *at + 50 * MILLI < ended);
    let is_answered = |call: u64| caller.said.iter().any(|s| matches!(s, Said::Answer(c, ..) if *c == call));
    let lost: Vec<_> = taken.filter(|(call, _)| !is_answered(*call)).collect();
    assert!(
        lost.is_empty(),
        "{} of {} lost, the first {:?} before the end",
        lost.len(),
        sent.len(),
        ended - lost[0].1
    );
}

#[test]
fn a_start_under_the_same_name_takes_nothing_of_the_old_run_for_its_own() {
    let _quiet = quiet();
    let mut hub = ScriptedHub::new();
    let mut old = Program::start(&[hub.target(0)], None, None);
    let mut caller = Caller::connect(old.address);
    for call in [0xc0, 0xc1] {
        caller.invite(call, 15_000, 0);
    }
    let (stands, open) = (hub.set_up(0xc0, 1), hub.set_up(0xc1, 1));
    hub.answer(&stands);
    assert_eq!(status(&mut caller, 0xc0), 200);
    old.child.kill().expect("killed");
    old.child.wait().expect("ended");
    // The caller's end of the old connection lingers: the address must be free all the same.
    let new = Program::launch(old.address, &[hub.target(0)], None, None, 1024, |text| text);
    let mut second = Caller::connect(new.address);
    second.invite(0xc2, 15_000, 0);
    let own = hub.set_up(0xc2, 1);
    assert!(own.link > open.link, "on a connection of its own");
    // The old run's answer and end come to the new one: an answer that nobody waits for is no answer, and the
    // end of what stood is passed on.
    hub.say(own.link, kind::ANSWER, 0xc1, &[(code::DESCRIPTION, HUB_BODY)]);
    hub.say(own.link, kind::RELEASE, 0xc0, &[(code::CAUSE, &[16])]);
    hub.answer(&own);
    assert_eq!(status(&mut second, 0xc2), 200);
    second.wait_for("the old call's end", |s| *s == Said::Bye(0xc0, 16));
    assert!(!second.said.iter().any(|s| matches!(s, Said::Answer(0xc1, ..))), "{:?}", second.said);
    drop(caller);
}

// ---- closes ----

#[test]
fn a_last_word_is_followed_by_an_end_and_not_by_a_reset() {
    let _quiet = quiet();
    let hub = ScriptedHub::new();
    let program = Program::start(&[hub.target(0)], None, None);
    let stream = TcpStream::connect(program.address).expect("it listens");
    let unreadable = request("INVITE", 0xd0, "Content-Length: many\r\n", b"");
    let unreadable = String::from_utf8(unreadable).expect("text").replace("Content-Length: 0\r\n", "");
    program.pause();
    // What comes behind it is whole, and is plainly never taken.
    let behind: Vec<u8> = (0..200).flat_map(|n| invitation(0xd1 + n, 15_000, 0)).collect();
    (&stream).write_all(unreadable.as_bytes()).expect("written");
    (&stream).write_all(&behind).expect("written");
    program.go_on();
    let (clean, said) = end_of(stream);
    let said = String::from_utf8_lossy(&said).into_owned();
    assert!(said.starts_with("SIP/2.0 400 ") && said.matches("SIP/2.0 ").count() == 1, "{said}");
    assert!(clean, "a reset could have destroyed the answer");
}

#[test]
fn what_came_whole_ahead_of_what_cannot_be_read_is_answered() {
    let _quiet = quiet();
    let mut hub = ScriptedHub::new();
    let program = Program::start(&[hub.target(0)], None, None);
    let stream = TcpStream::connect(program.address).expect("it listens");
    (&stream).write_all(&invitation(0xd8, 15_000, 0)).expect("written");
    hub.set_up(0xd8, 1);
    (&stream).write_all(b"\x16\x03\x01 nonsense\r\n\r\n").expect("written");
    let (clean, said) = end_of(stream);
    let said = String::from_utf8_lossy(&said).into_owned();
    assert!(clean && said.starts_with("SIP/2.0 500 ") && said.contains("00000000000000d8"), "{said}");
    assert_eq!(hub.release(0xd8).cause, Some(16), "and its set-up is given up");
}

#[test]
fn neither_a_whole_request_nor_half_of_one_is_evicted_with_its_connection() {
    let _quiet = quiet();
    let mut hub = ScriptedHub::new();
    // 32 connections may be open, and from 24 on idle ones make room, the oldest first.
    let program = Program::start_with(&[hub.target(0)], None, None, (1024, 64));
    let mut idle: Vec<Caller> = (0..22).map(|_| Caller::connect(program.address)).collect();
    for caller in &mut idle {
        caller.send("OPTIONS", 0, "", b"");
        assert_eq!(status(caller, 0), 200);
    }
    // The oldest one sends half a request, which is read; the next ones a whole one, which is not yet.
    let half = invitation(0xe0, 15_000, 0);
    idle[0].stream.write_all(&half[..40]).expect("written");
    idle[21].send("OPTIONS", 0xe9, "", b"");
    idle[21].wait_for("what came after the half", |s| matches!(s, Said::Other(0xe9, _, 200)));
    program.pause();
    for (n, caller) in idle[1..4].iter_mut().enumerate() {
        caller.invite(0xe1 + n as u64, 15_000, 0);
    }
    let mut press: Vec<Caller> = (0..8).map(|_| Caller::connect(program.address)).collect();
    for caller in &mut press {
        caller.send("OPTIONS", 0, "", b"");
    }
    program.go_on();
    for caller in &mut press {
        assert_eq!(status(caller, 0), 200);
    }
    idle[0].stream.write_all(&half[40..]).expect("its connection is open");
    for call in 0xe0..0xe4 {
        let set_up = hub.set_up(call, 1);
        hub.answer(&set_up);
        assert_eq!(status(&mut idle[(call - 0xe0) as usize], call), 200);
    }
    let closed = idle[4..21].iter_mut().filter_map(|c| (!c.take_in()).then_some(())).count();
    assert!(closed > 0, "the others made room");
}

#[test]
fn a_reset_under_a_set_up_that_may_run_once_is_answered_and_never_sent_again() {
    let _quiet = quiet();
    for by_close in [false, true] {
        let mut hub = ScriptedHub::new();
        let mut other = ScriptedHub::new();
        let program = Program::changed(&[hub.target(0), other.target(1)], None, once);
        let mut caller = Caller::connect(program.address);
        caller.invite(0xf0, 15_000, 0);
        let set_up = hub.set_up(0xf0, 1);
        match by_close {
            // The hub closes its connection as the set-up crosses it.
            true => hub.break_connection(set_up.link),
            false => hub.say(set_up.link, kind::RELEASE, set_up.call, &[(code::CAUSE, &[41])]),
        }
        let (code, away, _) = caller.answer(0xf0).expect("an answer");
        assert_eq!((code, away), (500, None), "not 'refused', by which it would dial again");
        // A call of later shows that all is said: the pause of 200 ms is over, and the link is up again.
        sleep(Duration::from_millis(300));
        caller.invite(0xf1, 15_000, 0);
        let later = hub.set_up(0xf1, 1);
        hub.answer(&later);
        assert_eq!(status(&mut caller, 0xf1), 200);
        assert_eq!((hub.set_ups(0xf0), other.set_ups(0xf0)), (1, 0));
    }
}

// ---- callers that leave ----

#[test]
fn a_set_up_whose_caller_left_before_it_was_read_is_not_sent_on() {
    let _quiet = quiet();
    let mut hub = ScriptedHub::new();
    let program = Program::start(&[hub.target(0)], None, None);
    let mut stays = Caller::connect(program.address);
    let mut cancels = Caller::connect(program.address);
    program.pause();
    let mut leaves = Caller::connect(program.address);
    leaves.invite(0x10, 15_000, 0);
    drop(leaves);
    cancels.invite(0x11, 15_000, 0);
    cancels.send("CANCEL", 0x11, "", b"");
    stays.invite(0x12, 15_000, 0);
    program.go_on();
    assert_eq!(status(&mut cancels, 0x11), 487);
    let last = hub.set_up(0x12, 1);
    hub.answer(&last);
    assert_eq!(status(&mut stays, 0x12), 200);
    // In the order in which they were read, one more call is behind all of them.
    stays.invite(0x13, 15_000, 0);
    hub.set_up(0x13, 1);
    assert_eq!((hub.set_ups(0x10), hub.set_ups(0x11)), (0, 0), "{:?}", hub.sent);
}

#[test]
fn a_call_whose_caller_leaves_in_the_pause_is_not_sent_again() {
    let _quiet = quiet();
    let mut hub = ScriptedHub::new();
    let long = |text: String| text.replace("\"release\":200000", "\"release\":3000000");
    let program = Program::changed(&[hub.target(0)], None, long);
    let [mut closes, mut cancels, mut stays] = [(); 3].map(|()| Caller::connect(program.address));
    let mut set_ups = Vec::new();
    for (caller, call) in [(&mut closes, 0x20), (&mut cancels, 0x21), (&mut stays, 0x22)] {
        caller.invite(call, 15_000, 0);
        set_ups.push(hub.set_up(call, 1));
    }
    set_ups.iter().for_each(|set_up| hub.break_connection(set_up.link));
    cancels.send("CANCEL", 0x21, "", b"");
    assert_eq!(status(&mut cancels, 0x21), 487, "in its pause");
    drop(closes);
    // The pause of the last one began last: once it is sent again, the others' would have been over.
    let again = hub.set_up(0x22, 2);
    hub.answer(&again);
    assert_eq!(status(&mut stays, 0x22), 200);
    assert_eq!((hub.set_ups(0x20), hub.set_ups(0x21)), (1, 1));
}

#[test]
fn a_call_whose_caller_leaves_while_the_hub_is_dialled_is_not_sent_once_it_is_up() {
    let _quiet = quiet();
    let mut hub = ScriptedHub::with_short_queue();
    let filling = hub.fill_queue();
    // A dial may come up late: here, as soon as the queue is emptied and the kernel has tried again.
    let patient = |text: String| text.replace("\"dialTimeout\":500000", "\"dialTimeout\":15000000");
    let program = Program::changed(&[hub.target(0)], None, patient);
    let [mut closes, mut cancels, mut stays] = [(); 3].map(|()| Caller::connect(program.address));
    for (caller, call) in [(&mut closes, 0x30), (&mut cancels, 0x31), (&mut stays, 0x32)] {
        caller.invite(call, 15_000, 0);
    }
    cancels.send("CANCEL", 0x31, "", b"");
    assert_eq!(status(&mut cancels, 0x31), 487);
    drop(closes);
    // Read after the close: the connection's end was before it.
    stays.send("OPTIONS", 0x39, "", b"");
    stays.wait_for("what came after", |s| matches!(s, Said::Other(0x39, _, 200)));
    hub.take_in();
    drop(filling);
    let late = hub.set_up(0x32, 1);
    assert_eq!((hub.set_ups(0x30), hub.set_ups(0x31)), (0, 0), "{:?}", hub.sent);
    hub.answer(&late);
    assert_eq!(status(&mut stays, 0x32), 200);
}

#[test]
fn a_call_whose_caller_leaves_behind_a_hub_that_stopped_reading_never_comes_there() {
    let _quiet = quiet();
    let mut hub = ScriptedHub::narrow();
    let debug = Some(r#"{"log":{"level":"debug"}}"#);
    let program = Program::launch(any_address(), &[hub.target(0)], None, debug, 1024, unhurried);
    let mut stays = Caller::connect(program.address);
    let said = |what: &str, call: u64| program.logged(&format!("{what} call={call:016x}"));
    // Both connections are filled, call by call, till several in a row are sent on and no first byte goes out.
    let body = vec![b'v'; 15 * 1024];
    let (mut last, mut stuck) = (0x1000, 0);
    while stuck < 4 {
        last += 1;
        let more = "Call-Kind: voice\r\nAnswer-Within: 90000\r\nRouting-Data: dest:0;width:1;via:-1\r\n";
        stays.send("INVITE", last, more, &body);
        until("sent on", || said("attempt sent", last).then_some(()));
        let asked = Instant::now();
        while !said("begun", last) && asked.elapsed() < Duration::from_millis(200) {
            sleep(MILLI);
        }
        stuck = if said("begun", last) { 0 } else { stuck + 1 };
        assert!(last < 0x1800, "the sockets take all");
    }
    // Two more wait behind it; their callers leave. Nothing has been read, so nothing has begun since.
    let mut cancels = Caller::connect(program.address);
    let mut closes = Caller::connect(program.address);
    for (caller, call) in [(&mut cancels, 0x2000), (&mut closes, 0x2001)] {
        caller.invite(call, 15_000, 0);
        until("sent on", || said("attempt sent", call).then_some(()));
    }
    cancels.send("CANCEL", 0x2000, "", b"");
    assert_eq!(status(&mut cancels, 0x2000), 487);
    drop(closes);
    until("it is noticed", || said("giving up attempt", 0x2001).then_some(()));
    assert!(!said("begun", 0x2000) && !said("begun", 0x2001), "they wait behind the others");
    // The hub reads on. What the others are followed by on each connection is their give-up, once their caller
    // leaves as well; it would be behind the two.
    for call in 0x1001..=last {
        hub.set_up(call, 1);
    }
    drop(stays);
    for call in 0x1001..=last {
        assert_eq!(hub.release(call).cause, Some(16));
    }
    assert_eq!((hub.set_ups(0x2000), hub.set_ups(0x2001)), (0, 0));
}

#[test]
fn a_dial_that_never_comes_up_holds_up_no_call_that_another_hub_can_take() {
    let _quiet = quiet();
    let unreachable = ScriptedHub::with_short_queue();
    let _filling = unreachable.fill_queue();
    let mut hub = ScriptedHub::new();
    let program = Program::start(&[unreachable.target(0), hub.target(1)], None, None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0x40, 15_000, 0);
    let set_up = hub.set_up(0x40, 1);
    hub.answer(&set_up);
    assert_eq!(status(&mut caller, 0x40), 200, "taken elsewhere: it never ran");
}

// ---- whose settings ----

/// Two classes that differ in all.
fn two_classes(text: String) -> String {
    unhurried(text)
        .replace(
            "\"classes\":[",
            "\"classes\":[{\"name\":\"brief\",\"objective\":8000000,\"deadline\":9000000,\
             \"idempotency\":\"single_shot\",\"lateWorth\":0.1,\"worth\":5.0},",
        )
        .replace("\"allowedPools\":[[0,1]]", "\"allowedPools\":[[0,1],[0,1]]")
        .replace("\"classHold\":[8000000]", "\"classHold\":[1000000,8000000]")
}

#[test]
fn each_request_on_a_connection_has_its_own_class_deadline_and_rules() {
    let _quiet = quiet();
    let mut hub = ScriptedHub::new();
    let program = Program::changed(&[hub.target(0)], None, two_classes);
    let mut caller = Caller::connect(program.address);
    let mut call = 0x100;
    // The same slots are used again and again, in other orders.
    for round in 0..4 {
        let mut kinds = ["voice", "brief", "odd", ""];
        kinds.rotate_left(round);
        let mut all = Vec::new();
        for (n, class) in kinds.iter().enumerate() {
            let kind = if class.is_empty() { String::new() } else { format!("Call-Kind: {class}\r\n") };
            // One with a time of its own, one without: that is its class's then, not the last one's.
            let own = format!("{kind}Answer-Within: 30000\r\nRouting-Data: dest:0;width:1;via:-1\r\n");
            all.extend(request("INVITE", call + 2 * n as u64, &own, b"v=0 offer\r\n"));
            all.extend(request("INVITE", call + 2 * n as u64 + 1, &kind, b"v=0 offer\r\n"));
        }
        caller.stream.write_all(&all).expect("written");
        let mut set_ups = Vec::new();
        for (n, class) in kinds.iter().enumerate() {
            for (call, own) in [(call + 2 * n as u64, true), (call + 2 * n as u64 + 1, false)] {
                if !["voice", "brief"].contains(class) {
                    assert_eq!(status(&mut caller, call), 500, "an unknown class, or none, is failed");
                    assert_eq!(hub.set_ups(call), 0);
                    continue;
                }
                let set_up = hub.set_up(call, 1);
                let (least, most) = match (own, *class) {
                    (true, _) => (20_001, 30_000),
                    (false, "voice") => (30_001, 120_000),
                    (false, _) => (1, 9_000),
                };
                assert_eq!(set_up.class, *class);
                // A slow machine has used some of it already.
                assert!((least..=most).contains(&set_up.wait), "{class} {own}: {set_up:?}");
                set_ups.push((set_up, own));
            }
        }
        // Those without a time of their own are answered, the others reset: what one class may do then, the other
        // may not.
        for (set_up, _) in set_ups.iter().filter(|(_, own)| !own) {
            hub.answer(set_up);
            assert_eq!(status(&mut caller, set_up.call), 200);
        }
        for (set_up, _) in set_ups.iter().filter(|(_, own)| *own) {
            hub.break_connection(set_up.link);
        }
        for (set_up, _) in set_ups.iter().filter(|(_, own)| *own) {
            if set_up.class == "brief" {
                assert_eq!(status(&mut caller, set_up.call), 500);
            } else {
                let again = hub.set_up(set_up.call, 2);
                hub.answer(&again);
                assert_eq!(status(&mut caller, set_up.call), 200);
            }
        }
        call += 0x10;
    }
    let twice = |s: &Sent| s.kind == kind::SET_UP && s.class == "brief";
    let mut brief: Vec<u64> = hub.sent.iter().filter(|s| twice(s)).map(|s| s.call).collect();
    let sent = brief.len();
    brief.dedup();
    assert_eq!((sent, brief.len()), (8, 8), "none twice");
}

// ---- a watch that is silent ----

/// Takes the next poll of a change log: its connection, and after which event it asks.
fn poll(log: &TcpListener) -> (TcpStream, u64) {
    let (mut stream, _) = log.accept().expect("asked");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
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

fn told(seq: u64, targets: &[String]) -> String {
    let events = if targets.is_empty() { String::new() } else { site::event(seq, false, targets) };
    let body = format!(r#"{{"seq":{seq},"results":[{events}]}}"#);
    format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn a_drain_told_to_a_silent_watch_counts_from_when_it_may_have_been_heard() {
    let _quiet = quiet();
    let (mut hub, mut other) = (ScriptedHub::new(), ScriptedHub::new());
    let log = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = log.local_addr().expect("an address");
    let drain = site::target("s-0", &hub.address.to_string(), 0, "terminating");
    let watch = std::thread::spawn(move || {
        let (mut first, since) = poll(&log);
        assert_eq!(since, 1);
        first.write_all(told(1, &[]).as_bytes()).expect("written");
        drop(first);
        // One never answers, one stops half-way through the drain; both stay open.
        let (silent, _) = poll(&log);
        let (mut half, since) = poll(&log);
        assert_eq!(since, 1);
        let news = told(2, &[drain]);
        half.write_all(&news.as_bytes()[..news.len() - 20]).expect("written");
        let (mut whole, since) = poll(&log);
        assert_eq!(since, 1, "half of it is nothing");
        whole.write_all(news.as_bytes()).expect("written");
        drop(whole);
        let (next, since) = poll(&log);
        assert_eq!(since, 2, "it is taken in");
        drop((silent, half, next));
    });
    let program = Program::start(&[hub.target(0), other.target(1)], Some(address), None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0x70, 15_000, 0);
    let before = hub.set_up(0x70, 1);
    hub.answer(&before);
    assert_eq!(status(&mut caller, 0x70), 200);
    watch.join().expect("asked as it should be");
    // It may have been told more than 2 s ago, in what was lost: no grace is left.
    for call in 0x71..0x75 {
        caller.invite(call, 15_000, 0);
        let set_up = other.set_up(call, 1);
        other.answer(&set_up);
        assert_eq!(status(&mut caller, call), 200);
        assert_eq!(hub.set_ups(call), 0);
    }
    hub.say(before.link, kind::RELEASE, 0x70, &[(code::CAUSE, &[16])]);
    caller.wait_for("what stands there lives on to its own end", |s| *s == Said::Bye(0x70, 16));
}

#[test]
fn a_hung_poll_does_not_keep_a_reload_waiting() {
    let _quiet = quiet();
    let hub = ScriptedHub::new();
    let [old, new] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
    let [from, to] = [&old, &new].map(|l| l.local_addr().expect("an address").to_string());
    let old_address = old.local_addr().expect("an address");
    // Every poll is answered with nothing, till one is to hang.
    let (hangs, hang) = std::sync::mpsc::channel::<()>();
    let watch = std::thread::spawn(move || loop {
        let (mut stream, _) = poll(&old);
        if hang.try_recv().is_ok() {
            return stream;
        }
        stream.write_all(told(1, &[]).as_bytes()).expect("written");
    });
    let program = Program::start(&[hub.target(0)], Some(old_address), None);
    hangs.send(()).expect("it watches");
    let mut hung = watch.join().expect("asked once more");
    program.reload(|text| text.replace(&from, &to), &format!("reloaded: change log now at {to}"));
    // Kept open: its end would be a poll that failed.
    let (_polled, since) = poll(&new);
    assert_eq!(since, 1, "from the last event on");
    let mut bytes = [0; 16];
    assert_eq!(hung.read(&mut bytes).expect("an end"), 0, "the old one is let go");
    assert!(!program.logged("asking again"), "not because its time was up: {}", program.log());
}

// ---- floods and starts ----

/// The process's resident memory, in kilobytes.
fn resident(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).expect("it runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a line");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

#[test]
fn bad_early_and_repeated_requests_starve_no_good_one() {
    let _alone = QUIET.write().unwrap_or_else(PoisonError::into_inner);
    const EACH: u64 = 3_000;
    let record = Record::default();
    let hub = Hub::start(0, Manner::Answer, &record);
    let target = site::target("s-0", &hub.address.to_string(), 0, "in_service");
    let program = Program::changed(&[target], None, unhurried);
    let mut good = Caller::connect(program.address);
    good.invite(0x50, 15_000, 0);
    assert_eq!(status(&mut good, 0x50), 200);
    let before = resident(&program);
    let address = program.address;
    let flood = |what: fn(u64) -> Vec<u8>| {
        std::thread::spawn(move || {
            let stream = TcpStream::connect(address).expect("it listens");
            let mut writing = stream.try_clone().expect("cloned");
            let writer = std::thread::spawn(move || {
                for n in 0..EACH {
                    if writing.write_all(&what(n)).is_err() {
                        return;
                    }
                }
                let _ = writing.shutdown(std::net::Shutdown::Write);
            });
            let (_, said) = end_of(stream);
            writer.join().expect("written");
            let said = String::from_utf8_lossy(&said).into_owned();
            (said.matches("SIP/2.0 200").count(), said.matches("\r\nCSeq").count())
        })
    };
    let unknown: fn(u64) -> Vec<u8> = |n| request("INVITE", 0x1_0000 + n, "Call-Kind: odd\r\n", b"");
    let wrong: fn(u64) -> Vec<u8> = |n| request("INVITE", 0x2_0000 + n, "Answer-Within: soon\r\n", b"");
    // Again and again under an id that stands.
    let repeated: fn(u64) -> Vec<u8> = |_| invitation(0x50, 15_000, 0);
    let unheard: fn(u64) -> Vec<u8> = |n| request("CANCEL", 0x3_0000 + n, "", b"");
    let floods = [unknown, wrong, repeated, unheard].map(flood);
    let mut slowest = Duration::ZERO;
    for call in 0x51..0x81 {
        let sent = Instant::now();
        good.invite(call, 15_000, 0);
        assert_eq!(status(&mut good, call), 200);
        slowest = slowest.max(sent.elapsed());
        sleep(2 * MILLI);
    }
    for flood in floods {
        let (served, answered) = flood.join().expect("ended");
        assert_eq!(served, 0, "none of them is served");
        assert!(answered > 0, "they are told");
    }
    assert!(slowest < Duration::from_secs(5), "{slowest:?}");
    let grown = resident(&program).saturating_sub(before);
    assert!(grown < 12 * 1024, "{grown} kB more than before the flood");
    assert!(hub.seen(0x50).iter().filter(|s| **s == Seen::SetUp).count() == 1, "a repeat is none");
}

#[test]
fn a_start_needs_neither_the_change_log_nor_any_hub() {
    let _quiet = quiet();
    let reserved: Vec<ReservedAddress> = (0..3).map(|_| ReservedAddress::bind()).collect();
    let nobody: Vec<SocketAddr> = reserved.iter().map(|r| r.address).collect();
    let targets: Vec<String> = (0..2)
        .map(|n| site::target(&format!("s-{n}"), &nobody[n].to_string(), n as i64, "in_service"))
        .collect();
    let program = Program::start(&targets, Some(nobody[2]), None);
    let mut caller = Caller::connect(program.address);
    caller.invite(0x60, 15_000, 0);
    let (code, away, _) = caller.answer(0x60).expect("an answer");
    assert_eq!(code, 503, "told at once");
    assert!(away.is_some_and(|ms| ms > 0), "with when to come back");
}
