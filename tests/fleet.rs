//! End-to-end tests of the fleet: processes that communicate through a proxy with faults while they carry calls.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/site_config.rs"]
mod site_config;

use miniserde::json;
use peers::*;
use petreldock::fleet::show::{FleetStatus, MemberStatus};
use petreldock_lab::processes::Processes;
use petreldock_lab::script::{FaultAction, ProcessRange};
use std::path::Path;
use std::time::Duration;

/// Short, to keep the tests fast. No assertion depends on it.
const DETECTION_MS: u64 = 1_500;

struct Fleet {
    processes: Processes<'static>,
    hub: Hub,
    calls: u64,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Fleet {
        let record = HubRecord::default();
        let hub = Hub::start(0, HubBehavior::Answer, &record);
        let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
        let document = move |_: usize, listens: std::net::SocketAddr| {
            site_config::document(&listens.to_string(), None, &targets)
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_petreldock"));
        let processes = Processes::new(binary, size, seed, DETECTION_MS, Box::new(document));
        Fleet { processes: processes.expect("a proxy"), hub, calls: 0x1000 }
    }

    /// Starts all members and waits until their views agree.
    fn start_all(size: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(size, seed);
        (0..size).for_each(|n| fleet.processes.start(n).expect("it starts"));
        fleet.wait_until_agreed();
        fleet
    }

    fn act(&mut self, text: &str) {
        println!("{text}");
        self.processes.apply(&text.parse().expect("an act")).expect("done");
    }

    fn status(&self, n: usize) -> Option<FleetStatus> {
        json::from_str(&self.processes.show(n, true)?).ok()
    }

    fn member(&self, by: usize, name: &str) -> Option<MemberStatus> {
        self.status(by)?.members.into_iter().find(|m| m.name == name)
    }

    /// Waits until the views of all running processes are equal and contain exactly these processes.
    fn wait_until_agreed(&self) {
        let running = self.processes.running();
        wait_until("all views agree", || {
            let views: Vec<FleetStatus> = running.iter().filter_map(|n| self.status(*n)).collect();
            let equal = views.iter().all(|v| v.hash == views[0].hash && v.live == running.len());
            (equal && views.len() == running.len()).then_some(())
        });
    }

    fn wait_until_gone(&self, by: usize, name: &str) {
        wait_until(&format!("n{by} sees {name} gone"), || {
            let phase = self.member(by, name).map(|m| m.phase);
            (phase.as_deref() == Some("gone")).then_some(())
        });
    }

    /// Makes a call through a member and checks that the hub answers it.
    fn make_call(&mut self, n: usize) {
        self.calls += 1;
        let call = self.calls;
        let mut caller =
            wait_until("a caller gets in", || Caller::try_connect(self.processes.caller_address(n)));
        caller.invite(call, 5_000, 0);
        let answer = caller.answer(call);
        assert_eq!(answer, Some((200, None, HUB_BODY.to_vec())), "call {call:x} through n{n}");
        assert_eq!(self.hub.events_of(call).iter().filter(|s| **s == HubEvent::SetUp).count(), 1);
    }

    /// How often a text occurs in the log of a member.
    fn logged(&self, n: usize, text: &str) -> usize {
        self.processes.log(n).matches(text).count()
    }
}

#[test]
fn members_join_once_the_seeds_start_and_a_killed_member_rejoins() {
    let mut fleet = Fleet::new(5, 1);
    // n0 and n1 are the seeds.
    (2..5).for_each(|n| fleet.processes.start(n).expect("it starts"));
    fleet.make_call(3);
    assert!(fleet.status(2).is_some_and(|s| s.live == 1 && s.members[0].phase == "joining"));
    (0..2).for_each(|n| fleet.processes.start(n).expect("it starts"));
    fleet.wait_until_agreed();
    fleet.act("kill 4");
    (0..4).for_each(|n| fleet.wait_until_gone(n, "n4"));
    fleet.make_call(2);
    fleet.act("start 4");
    fleet.wait_until_agreed();
    fleet.make_call(4);
    let table = fleet.processes.show(0, false).expect("a table");
    assert!(table.contains("fleet lab, seen by n0@") && table.contains("5 live"), "{table}");
    wait_until("n4's facts have arrived", || {
        let m = fleet.member(0, "n4")?;
        (m.program.as_deref() == Some(env!("CARGO_PKG_VERSION")) && m.seq == Some(1)).then_some(())
    });
}

#[test]
fn two_sides_of_a_split_merge_again_while_calls_go_on() {
    let mut fleet = Fleet::start_all(6, 2);
    fleet.act("split 0-2");
    (3..6).for_each(|n| fleet.wait_until_gone(n, "n1"));
    (0..3).for_each(|n| fleet.wait_until_gone(n, "n4"));
    (0..6).for_each(|n| fleet.make_call(n));
    fleet.act("heal");
    fleet.wait_until_agreed();
}

#[test]
fn a_seed_restarted_with_an_empty_view_during_a_split_joins_both_sides() {
    let mut fleet = Fleet::start_all(5, 3);
    fleet.act("kill 0");
    fleet.act("split 1-2");
    fleet.wait_until_gone(3, "n1");
    fleet.act("start 0");
    fleet.act("heal");
    fleet.wait_until_agreed();
    fleet.make_call(0);
}

#[test]
fn a_suspended_process_rejoins_and_declares_nobody_down() {
    let mut fleet = Fleet::start_all(4, 4);
    fleet.act("pause 2");
    [0, 1, 3].iter().for_each(|n| fleet.wait_until_gone(*n, "n2"));
    std::thread::sleep(Duration::from_millis(2 * DETECTION_MS));
    fleet.act("resume 2");
    fleet.wait_until_agreed();
    assert!(fleet.logged(2, "fleet: rejoined under a later generation") >= 1);
    assert_eq!(fleet.logged(2, "fleet: gone"), 0, "it declared nobody down for its own silence");
    fleet.make_call(2);
}

#[test]
fn a_one_way_partition_gets_no_other_member_declared_down() {
    let mut fleet = Fleet::start_all(4, 5);
    fleet.act("cut 0-2 3");
    fleet.wait_until_gone(0, "n3");
    fleet.make_call(3);
    fleet.act("heal");
    fleet.wait_until_agreed();
    for (by, about) in [(0, 1), (1, 2), (2, 0)] {
        let address = fleet.processes.proxy.address(about);
        assert_eq!(fleet.logged(by, &format!("fleet: gone member=n{about}@{address}")), 0);
    }
}

#[test]
fn of_two_members_with_one_name_the_later_start_owns_it_and_calls_go_on() {
    let mut fleet = Fleet::new(4, 6);
    fleet.processes.names[3] = "n2".into();
    (0..4).for_each(|n| fleet.processes.start(n).expect("it starts"));
    fleet.wait_until_agreed();
    wait_until("the displaced process logs the duplicate name", || {
        (fleet.logged(2, "fleet: another process with the same name started later and owns it") == 1)
            .then_some(())
    });
    wait_until("the owner of the name logs the duplicate name", || {
        (fleet.logged(3, "fleet: another process has the same name; this one started later and owns it") == 1)
            .then_some(())
    });
    let status = fleet.status(0).expect("a view");
    let displaced: Vec<&str> =
        status.members.iter().filter(|m| m.displaced).map(|m| m.address.as_str()).collect();
    assert_eq!(displaced, [fleet.processes.proxy.address(2).to_string()]);
    fleet.make_call(2);
    fleet.make_call(3);
}

#[test]
fn a_planned_shutdown_is_announced_and_exits_with_success() {
    let mut fleet = Fleet::start_all(4, 7);
    fleet.act("leave 1");
    let phase = |f: &Fleet| f.member(0, "n1").map(|m| m.phase);
    wait_until("n1 is seen to leave", || {
        matches!(phase(&fleet).as_deref(), Some("leaving" | "gone")).then_some(())
    });
    assert!(fleet.processes.wait_for_exit(1), "exit code 0");
    [0, 2, 3].iter().for_each(|n| fleet.wait_until_gone(*n, "n1"));
    fleet.wait_until_agreed();
}

#[test]
fn garbage_and_replayed_datagrams_change_nothing_and_are_counted() {
    let mut fleet = Fleet::start_all(4, 8);
    fleet.act("kill 3");
    fleet.wait_until_gone(0, "n3");
    fleet.act("start 3");
    fleet.wait_until_agreed();
    let generation = |f: &Fleet, name: &str| f.member(0, name).map(|m| m.generation);
    let before = ["n1", "n2", "n3"].map(|n| generation(&fleet, n));
    for (to, bytes) in fleet.processes.proxy.recorded() {
        fleet.processes.proxy.inject(to, bytes.clone());
        let mut truncated = bytes;
        truncated.truncate(truncated.len() / 2);
        fleet.processes.proxy.inject(0, truncated);
    }
    wait_until("the truncated datagrams are counted", || {
        // Sent again until it is counted: a burst overflows the receiver's socket buffer, which drops the last of it.
        fleet.processes.proxy.inject(0, vec![7; 1_500]);
        let dropped = fleet.status(0)?.dropped;
        let count = |why: &str| dropped.iter().any(|c| c.why == why);
        (count("torn") && count("too long")).then_some(())
    });
    fleet.wait_until_agreed();
    assert_eq!(["n1", "n2", "n3"].map(|n| generation(&fleet, n)), before, "no member had to rejoin");
    fleet.make_call(0);
}

#[test]
fn without_the_fleet_section_no_udp_socket_is_opened_and_nothing_sent() {
    let mut fleet = Fleet::new(2, 9);
    fleet.processes.fleet_enabled = false;
    (0..2).for_each(|n| fleet.processes.start(n).expect("it starts"));
    fleet.make_call(0);
    assert_eq!(fleet.processes.proxy.sent(), (0, 0));
    let id = fleet.processes.pid(0).expect("runs");
    let sockets = std::fs::read_dir(format!("/proc/{id}/fd")).expect("its descriptors");
    let inodes: Vec<String> = sockets
        .filter_map(|f| std::fs::read_link(f.ok()?.path()).ok()?.to_str().map(String::from))
        .filter_map(|l| l.strip_prefix("socket:[")?.strip_suffix(']').map(String::from))
        .collect();
    let udp = std::fs::read_to_string(format!("/proc/{id}/net/udp")).expect("the machine's UDP sockets");
    let own =
        udp.lines().filter(|l| l.split_whitespace().nth(9).is_some_and(|i| inodes.iter().any(|o| o == i)));
    assert_eq!(own.count(), 0);
    assert_eq!(fleet.logged(0, "fleet"), 0);
}

#[test]
fn an_invalid_fleet_section_is_reported_by_its_key() {
    let fleet = Fleet::new(1, 10);
    let base = r#""name":"a","listen":"127.0.0.1:0","seeds":[],"prefixes":["127.0.0.0/8"]"#;
    for (section, expected) in [
        (base.replace(r#""name":"a""#, r#""name":"""#), "fleet.name: expected a name of 1 to 32 bytes"),
        (base.replace("127.0.0.1:0", "x"), "fleet.listen: expected an address"),
        (base.replace("127.0.0.0/8", "127.0.0.0/40"), "fleet.prefixes[0]: expected a prefix"),
        (base.replace(r#"["127.0.0.0/8"]"#, "[]"), "fleet.prefixes: expected at least one prefix"),
        (
            base.replace("[],", r#"["10.0.0.1:1"],"#),
            "fleet.seeds[0]: expected an address under one of the prefixes",
        ),
        (
            base.replace("127.0.0.1:0", "10.0.0.1:0"),
            "fleet.listen: expected an address under one of the prefixes",
        ),
        (format!("{base},\"advertise\":\"127.0.0.1:0\""), "fleet.advertise: expected a port"),
        (format!("{base},\"detectionMs\":20"), "fleet.detectionMs: expected 500 to 60000 milliseconds"),
        (format!("{base},\"zone\":7"), "fleet.zone: expected a string"),
    ] {
        let value =
            petreldock::config::parse(&format!(r#"{{"fleet":{{{section}}}}}"#), "file").expect("JSON");
        let root = petreldock::config::JsonNode::root(&value, "");
        let names = site_config::config(&[]).names;
        let error = petreldock::config::OperatorConfig::read(&root, &names).expect_err(&section).to_string();
        assert!(error.starts_with(expected), "{section}: {error}");
    }
    drop(fleet);
    assert_eq!(ProcessRange::single(3).to_string(), "3");
    assert_eq!("cut 1-2 3".parse::<FaultAction>().map(|a| a.to_string()), Ok("cut 1-2 3".into()));
}
