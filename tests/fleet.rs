//! Started programs that talk to one another through a proxy with faults, while calls go through them.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/site.rs"]
mod site;

use miniserde::json;
use peers::*;
use petreldock::fleet::show::{Shown, ShownMember};
use petreldock_lab::processes::Processes;
use petreldock_lab::script::{FaultAction, ProcessRange};
use std::path::Path;
use std::time::Duration;

/// Quick enough for tests; nothing here is judged by a time.
const DETECTION_MS: u64 = 1_500;

struct Fleet {
    processes: Processes<'static>,
    hub: Hub,
    calls: u64,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Fleet {
        let record = Record::default();
        let hub = Hub::start(0, Manner::Answer, &record);
        let targets = [site::target("s-0", &hub.address.to_string(), 0, "in_service")];
        let document = move |_: usize, listens: std::net::SocketAddr| {
            site::document(&listens.to_string(), None, &targets)
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_petreldock"));
        let processes = Processes::new(binary, size, seed, DETECTION_MS, Box::new(document));
        Fleet { processes: processes.expect("a proxy"), hub, calls: 0x1000 }
    }

    /// All started, and agreed.
    fn joined(size: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(size, seed);
        (0..size).for_each(|n| fleet.processes.start(n).expect("it starts"));
        fleet.agree();
        fleet
    }

    fn act(&mut self, text: &str) {
        println!("{text}");
        self.processes.apply(&text.parse().expect("an act")).expect("done");
    }

    fn shown(&self, n: usize) -> Option<Shown> {
        json::from_str(&self.processes.show(n, true)?).ok()
    }

    fn member(&self, by: usize, name: &str) -> Option<ShownMember> {
        self.shown(by)?.members.into_iter().find(|m| m.name == name)
    }

    /// Waits until all that run see the same, which is who runs.
    fn agree(&self) {
        let running = self.processes.running();
        until("all agree on who is there", || {
            let views: Vec<Shown> = running.iter().filter_map(|n| self.shown(*n)).collect();
            let equal = views.iter().all(|v| v.hash == views[0].hash && v.live == running.len());
            (equal && views.len() == running.len()).then_some(())
        });
    }

    fn sees_gone(&self, by: usize, name: &str) {
        until(&format!("n{by} sees {name} gone"), || {
            let phase = self.member(by, name).map(|m| m.phase);
            (phase.as_deref() == Some("gone")).then_some(())
        });
    }

    /// A call through a member is answered by the hub.
    fn call(&mut self, n: usize) {
        self.calls += 1;
        let call = self.calls;
        let mut caller = until("a caller gets in", || Caller::try_connect(self.processes.caller_address(n)));
        caller.invite(call, 5_000, 0);
        let answer = caller.answer(call);
        assert_eq!(answer, Some((200, None, HUB_BODY.to_vec())), "call {call:x} through n{n}");
        assert_eq!(self.hub.seen(call).iter().filter(|s| **s == Seen::SetUp).count(), 1);
    }

    /// How often a member logged that.
    fn logged(&self, n: usize, what: &str) -> usize {
        self.processes.log(n).matches(what).count()
    }
}

#[test]
fn members_find_one_another_with_the_seeds_down_and_a_killed_one_comes_back() {
    let mut fleet = Fleet::new(5, 1);
    // n0 and n1 are the seeds.
    (2..5).for_each(|n| fleet.processes.start(n).expect("it starts"));
    fleet.call(3);
    assert!(fleet.shown(2).is_some_and(|s| s.live == 1 && s.members[0].phase == "joining"));
    (0..2).for_each(|n| fleet.processes.start(n).expect("it starts"));
    fleet.agree();
    fleet.act("kill 4");
    (0..4).for_each(|n| fleet.sees_gone(n, "n4"));
    fleet.call(2);
    fleet.act("start 4");
    fleet.agree();
    fleet.call(4);
    let table = fleet.processes.show(0, false).expect("a table");
    assert!(table.contains("fleet lab, seen by n0@") && table.contains("5 live"), "{table}");
    until("n4's facts have come", || {
        let m = fleet.member(0, "n4")?;
        (m.program.as_deref() == Some(env!("CARGO_PKG_VERSION")) && m.seq == Some(1)).then_some(())
    });
}

#[test]
fn halves_that_held_one_another_to_be_gone_agree_again_while_calls_go_on() {
    let mut fleet = Fleet::joined(6, 2);
    fleet.act("split 0-2");
    (3..6).for_each(|n| fleet.sees_gone(n, "n1"));
    (0..3).for_each(|n| fleet.sees_gone(n, "n4"));
    (0..6).for_each(|n| fleet.call(n));
    fleet.act("heal");
    fleet.agree();
}

#[test]
fn a_seed_that_returns_with_an_empty_view_during_a_split_joins_both_sides() {
    let mut fleet = Fleet::joined(5, 3);
    fleet.act("kill 0");
    fleet.act("split 1-2");
    fleet.sees_gone(3, "n1");
    fleet.act("start 0");
    fleet.act("heal");
    fleet.agree();
    fleet.call(0);
}

#[test]
fn one_that_was_stopped_is_gone_and_comes_back_and_calls_nobody_dead() {
    let mut fleet = Fleet::joined(4, 4);
    fleet.act("pause 2");
    [0, 1, 3].iter().for_each(|n| fleet.sees_gone(*n, "n2"));
    std::thread::sleep(Duration::from_millis(2 * DETECTION_MS));
    fleet.act("resume 2");
    fleet.agree();
    assert!(fleet.logged(2, "this process was held to be gone, and is back") >= 1);
    assert_eq!(fleet.logged(2, "fleet: gone"), 0, "its own silence was nobody's death");
    fleet.call(2);
}

#[test]
fn one_that_is_cut_off_one_way_gets_nobody_believed_dead() {
    let mut fleet = Fleet::joined(4, 5);
    fleet.act("cut 0-2 3");
    fleet.sees_gone(0, "n3");
    fleet.call(3);
    fleet.act("heal");
    fleet.agree();
    for (by, about) in [(0, 1), (1, 2), (2, 0)] {
        let address = fleet.processes.proxy.address(about);
        assert_eq!(fleet.logged(by, &format!("fleet: gone member=n{about}@{address}")), 0);
    }
}

#[test]
fn of_two_under_one_name_the_later_start_holds_it_and_calls_are_undisturbed() {
    let mut fleet = Fleet::new(4, 6);
    fleet.processes.names[3] = "n2".into();
    (0..4).for_each(|n| fleet.processes.start(n).expect("it starts"));
    fleet.agree();
    until("the displaced one says so", || {
        (fleet.logged(2, "started later: it is not counted on") == 1).then_some(())
    });
    until("the holder says so", || {
        (fleet.logged(3, "this one started later and holds it") == 1).then_some(())
    });
    let shown = fleet.shown(0).expect("a view");
    let displaced: Vec<&str> =
        shown.members.iter().filter(|m| m.displaced).map(|m| m.address.as_str()).collect();
    assert_eq!(displaced, [fleet.processes.proxy.address(2).to_string()]);
    fleet.call(2);
    fleet.call(3);
}

#[test]
fn a_planned_end_is_told_and_the_program_ends_well() {
    let mut fleet = Fleet::joined(4, 7);
    fleet.act("leave 1");
    let phase = |f: &Fleet| f.member(0, "n1").map(|m| m.phase);
    until("n1 is seen to leave", || {
        matches!(phase(&fleet).as_deref(), Some("leaving" | "gone")).then_some(())
    });
    assert!(fleet.processes.wait_for_exit(1), "exit code nought");
    [0, 2, 3].iter().for_each(|n| fleet.sees_gone(*n, "n1"));
    fleet.agree();
}

#[test]
fn garbage_and_old_datagrams_change_nothing_and_are_counted() {
    let mut fleet = Fleet::joined(4, 8);
    fleet.act("kill 3");
    fleet.sees_gone(0, "n3");
    fleet.act("start 3");
    fleet.agree();
    let generation = |f: &Fleet, name: &str| f.member(0, name).map(|m| m.generation);
    let before = ["n1", "n2", "n3"].map(|n| generation(&fleet, n));
    for (to, bytes) in fleet.processes.proxy.recorded() {
        fleet.processes.proxy.inject(to, bytes.clone());
        let mut torn = bytes;
        torn.truncate(torn.len() / 2);
        fleet.processes.proxy.inject(0, torn);
    }
    fleet.processes.proxy.inject(0, vec![7; 1_500]);
    until("what was torn is counted", || {
        let dropped = fleet.shown(0)?.dropped;
        let count = |why: &str| dropped.iter().any(|c| c.why == why);
        (count("torn") && count("too long")).then_some(())
    });
    fleet.agree();
    assert_eq!(["n1", "n2", "n3"].map(|n| generation(&fleet, n)), before, "nobody had to come back");
    fleet.call(0);
}

#[test]
fn without_the_section_nothing_is_bound_and_nothing_sent() {
    let mut fleet = Fleet::new(2, 9);
    fleet.processes.fleet_enabled = false;
    (0..2).for_each(|n| fleet.processes.start(n).expect("it starts"));
    fleet.call(0);
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
fn a_faulty_section_is_named_by_its_key() {
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
        let names = site::config(&[]).names;
        let error = petreldock::config::OperatorConfig::read(&root, &names).expect_err(&section).to_string();
        assert!(error.starts_with(expected), "{section}: {error}");
    }
    drop(fleet);
    assert_eq!(ProcessRange::single(3).to_string(), "3");
    assert_eq!("cut 1-2 3".parse::<FaultAction>().map(|a| a.to_string()), Ok("cut 1-2 3".into()));
}
