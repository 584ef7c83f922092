//! Tests of the running program between SIP and IAX2 callers and hubs of both protocols. Under mixed load, the peers'
//! records must show one final answer per call, no overlapping attempts, the pause before a repeated attempt, and no
//! set-up at a draining hub after its grace period.

#[path = "common/iax2_peers.rs"]
mod iax2_peers;
#[path = "common/peers.rs"]
mod peers;
#[path = "common/site_config.rs"]
mod site_config;

use iax2_peers::{DeskEquipment, Iax2Hub};
use peers::*;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// Minimum time between an attempt that was reset or given up and the next attempt of the same call.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Tolerance for a give-up, which a hub records slightly later than the program sends it.
const RECORD_TOLERANCE: Duration = Duration::from_millis(60);

/// The program with its hubs and its change log.
struct Site {
    record: HubRecord,
    sip_hub: Hub,
    iax2_hub: Iax2Hub,
    change_log: ChangeLog,
    program: Program,
    iax2: SocketAddr,
}

/// Starts the program with a table hub at place 0, an IAX2 hub at place 1, and both fronts.
fn start(sip_manner: HubBehavior, iax2_manner: HubBehavior) -> Site {
    let record = HubRecord::default();
    let sip_hub = Hub::start(0, sip_manner, &record);
    let iax2_hub = Iax2Hub::start(1, iax2_manner, &record);
    let change_log = ChangeLog::start(100);
    let iax2 = UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("a free port");
    let operator = format!(
        r#"{{"iax2":{{"listen":"{iax2}","local":"127.0.0.1:0","hubs":[{{"uid":"desk","address":"{}","place":1}}],
            "calls":{{"class":"voice","answerWithinMs":3000,"place":1}}}}}}"#,
        iax2_hub.address
    );
    let targets = [site_config::target("s-0", &sip_hub.address.to_string(), 0, "in_service")];
    let program = Program::start(&targets, Some(change_log.address), Some(&operator));
    Site { record, sip_hub, iax2_hub, change_log, program, iax2 }
}

/// Checks the attempts of each call over all hubs, identified by the number called. Returns the number of attempts.
fn check_attempts(record: &HubRecord) -> usize {
    let mut numbers: BTreeMap<u64, Vec<(Instant, usize, HubEvent)>> = BTreeMap::new();
    for (at, number, hub, seen) in record.lock().expect("lock").iter() {
        numbers.entry(*number).or_default().push((*at, *hub, *seen));
    }
    let mut attempts = 0;
    for (number, mut events) in numbers {
        events.sort_by_key(|e| e.0);
        let (mut pending_hub, mut not_before) = (None, None);
        for (at, hub, seen) in events {
            match seen {
                HubEvent::SetUp => {
                    attempts += 1;
                    assert_eq!(pending_hub, None, "{number:x}: an attempt at {hub} while another is pending");
                    assert!(not_before.is_none_or(|t| at >= t), "{number:x}: an attempt during the pause");
                    pending_hub = Some(hub);
                }
                HubEvent::Refused => pending_hub = None,
                HubEvent::Reset => {
                    (pending_hub, not_before) = (None, Some(at + MIN_RETRY_PAUSE));
                }
                // A give-up, or the release of an established call, which is not set up again.
                HubEvent::Release(_) if pending_hub == Some(hub) => {
                    (pending_hub, not_before) = (None, Some(at + MIN_RETRY_PAUSE - RECORD_TOLERANCE));
                }
                HubEvent::Release(_) | HubEvent::Answered => {}
            }
        }
    }
    attempts
}

#[test]
fn calls_connect_across_protocols_and_iax2_legs_exchange_media() {
    let site = start(HubBehavior::Answer, HubBehavior::Answer);
    let mut phones = DeskEquipment::connect(site.iax2);
    phones.dial(10, 0x510);
    wait_until("the desk call is established", || {
        phones.run_for(Duration::from_millis(20));
        (phones.line(10).answers == [None]).then_some(())
    });
    phones.send_voice(10, b"hello");
    wait_until("the voice is echoed", || {
        phones.run_for(Duration::from_millis(20));
        phones.line(10).voice.contains(&b"hello".to_vec()).then_some(())
    });
    // A SIP caller reaches the IAX2 hub; later, desk equipment reaches the table hub.
    let mut caller = Caller::connect(site.program.address);
    caller.invite(0x511, 3000, 1);
    let (code, _, body) = caller.answer(0x511).expect("an answer");
    assert_eq!((code, body.len()), (200, 0), "the call is signalled without a media description");
    caller.send("BYE", 0x511, "", b"");
    wait_until("the IAX2 hub receives the release", || {
        let record = site.record.lock().expect("lock");
        record.iter().any(|e| (e.1, e.2, e.3) == (0x511, 1, HubEvent::Release(16))).then_some(())
    });
    site.iax2_hub.set_behavior(HubBehavior::Full);
    phones.dial(11, 0x512);
    wait_until("the table hub accepts the call that the IAX2 hub refused", || {
        phones.run_for(Duration::from_millis(20));
        (phones.line(11).answers == [None]).then_some(())
    });
    assert_eq!(site.sip_hub.events_of(0x512), [HubEvent::SetUp, HubEvent::Answered]);
    phones.hang_up(11);
    phones.run_for(Duration::from_millis(50));
    site.sip_hub.wait_for(0x512, HubEvent::Release(16));
}

#[test]
fn a_desk_call_cancelled_before_a_slow_hub_answers_is_given_up_there() {
    let site = start(HubBehavior::Silent, HubBehavior::AnswerAfter(Duration::from_millis(900)));
    let mut phones = DeskEquipment::connect(site.iax2);
    phones.dial(10, 0x520);
    wait_until("the set-up reaches the hub", || {
        phones.run_for(Duration::from_millis(10));
        (!site.record.lock().expect("lock").is_empty()).then_some(())
    });
    phones.hang_up(10);
    phones.run_for(Duration::from_millis(1200));
    assert!(phones.line(10).answers.is_empty(), "a cancelled call must not be answered");
    let seen: Vec<_> = site.record.lock().expect("lock").iter().map(|e| e.3).collect();
    assert_eq!(seen, [HubEvent::SetUp, HubEvent::Release(16)], "the hub is released and does not answer");
}

/// Returns the connection on which a call is placed. Every connection is used, because one that sends nothing after it
/// was opened is closed.
fn connection_of(call: u64) -> usize {
    ((call / 16 + call) % 4) as usize
}

#[test]
fn mixed_load_gets_one_answer_per_call_and_no_overlapping_early_or_late_attempts() {
    let site = start(HubBehavior::AnswerAfter(Duration::from_millis(30)), HubBehavior::Answer);
    let mut callers: Vec<Caller> = (0..4).map(|_| Caller::connect(site.program.address)).collect();
    let mut phones = DeskEquipment::connect(site.iax2);
    let (mut drain_polled_at, mut cancelled) = (None, Vec::new());
    let rounds = 150_u64;
    for round in 0..rounds {
        match round {
            20 => site.sip_hub.set_behavior(HubBehavior::Reset),
            40 => site.iax2_hub.set_behavior(HubBehavior::Full),
            50 => site.sip_hub.set_behavior(HubBehavior::Silent),
            70 => site.iax2_hub.set_behavior(HubBehavior::Reset),
            80 => site.sip_hub.set_behavior(HubBehavior::Answer),
            90 => {
                site.change_log.append_event(&[site_config::target(
                    "s-0",
                    &site.sip_hub.address.to_string(),
                    0,
                    "terminating",
                )]);
                site.iax2_hub.set_behavior(HubBehavior::Answer);
            }
            _ => {}
        }
        // A burst: eight calls at once instead of one.
        let burst = if (60..63).contains(&round) { 8 } else { 1 };
        for extra in 0..burst {
            let call = 0x1000 + round * 16 + extra;
            let caller = &mut callers[connection_of(call)];
            caller.invite(call, 2500, (call % 2) as i64);
            if round % 10 == 7 {
                cancelled.push(call);
            }
        }
        phones.dial(100 + round as u16, 0x9000 + round);
        phones.run_for(Duration::from_millis(25));
        if let Some(call) = cancelled.last().filter(|c| (**c - 0x1000) / 16 == round) {
            callers[connection_of(*call)].send("CANCEL", *call, "", b"");
        }
        if drain_polled_at.is_none() && site.change_log.polls.lock().expect("lock").contains(&2) {
            drain_polled_at = Some(Instant::now());
        }
        callers[(round % 4) as usize].receive();
    }
    phones.run_for(Duration::from_millis(3500));
    let mut by_status: BTreeMap<u16, usize> = BTreeMap::new();
    for round in 0..rounds {
        let burst = if (60..63).contains(&round) { 8 } else { 1 };
        for extra in 0..burst {
            let call = 0x1000 + round * 16 + extra;
            let caller = &mut callers[connection_of(call)];
            let (status, ..) = caller.answer(call).expect("every call is answered");
            caller.receive();
            let finals = caller
                .received
                .iter()
                .filter(|message| matches!(message, Received::Answer(c, ..) if *c == call));
            assert_eq!(finals.count(), 1, "{call:x}: exactly one final answer");
            *by_status.entry(status).or_default() += 1;
        }
        assert_eq!(
            phones.line(100 + round as u16).answers.len(),
            1,
            "line {}: exactly one final answer",
            100 + round
        );
    }
    assert!(
        by_status[&200] > 25 && by_status.len() > 1,
        "some calls must succeed and some fail: {by_status:?}"
    );
    let attempts = check_attempts(&site.record);
    assert!(attempts > 100, "{attempts} attempts");
    let drain_polled_at = drain_polled_at.expect("the program polled past the drain event");
    let has_late_set_up = site.record.lock().expect("lock").iter().any(|(at, _, hub, seen)| {
        *hub == 0 && *seen == HubEvent::SetUp && *at > drain_polled_at + Duration::from_millis(2050)
    });
    assert!(!has_late_set_up, "no set-up may reach a draining hub after its grace period");
}
