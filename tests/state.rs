//! The started program with a state folder: what it recalls, what it says when the folder fails, its commands.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/site_config.rs"]
mod site_config;

use peers::*;
use petreldock::net::binary::{code, kind};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("petreldock-state-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn operator(folder: &Path) -> String {
    format!(r#"{{"state":{{"folder":{folder:?},"intervalMs":100}}}}"#)
}

fn command(arguments: &[&str], folder: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_petreldock")).args(arguments).arg(folder).output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn verify(folder: &Path) -> (bool, String) {
    let out = command(&["state", "verify"], folder);
    (out.status.success(), text(&out.stdout))
}

#[test]
fn what_is_learnt_outlives_a_kill_and_a_planned_end() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
    let path = folder("recall");
    let mut program = Program::start(&targets, None, Some(&operator(&path)));
    let mut caller = Caller::connect(program.address);
    caller.invite(0x11, 3000, 0);
    assert_eq!(caller.answer(0x11).map(|a| a.0), Some(200));
    hub.send(kind::RELEASE, 0x11, &[(code::CAUSE, &[16]), (code::REPORT, b"x0:90;x1:100;qps:17")]);
    caller.wait_for("released", |s| *s == Received::Bye(0x11, 16));
    // What is shown beside the running program is what it has learnt.
    wait_until("the rate is kept", || {
        let shown = command(&["state", "show", "--json"], &path);
        text(&shown.stdout).contains(r#""can_take_per_s":17.0"#).then_some(())
    });
    assert!(verify(&path).0, "{:?}", verify(&path));
    let refused = command(&["state", "forget"], &path);
    assert!(!refused.status.success() && text(&refused.stderr).contains("in use by another process"));
    program.child.kill().expect("killed");
    program.child.wait().expect("ended");
    let program_again = Program::start(&targets, None, Some(&operator(&path)));
    wait_until("it says what it recalled", || {
        program_again.log_contains("state: recalled hubs=1").then_some(())
    });
    // A planned end leaves what is known at its end.
    drop(program);
    let mut program = program_again;
    program.signal("-TERM");
    let before = std::fs::metadata(path.join("learning")).expect("there").modified().expect("known");
    assert!(wait_until("it ends", || program.child.try_wait().expect("waited")).success());
    assert!(std::fs::metadata(path.join("learning")).expect("there").modified().expect("known") > before);
    let shown = command(&["state", "show"], &path);
    assert!(text(&shown.stdout).contains("s-0"), "{shown:?}");
    assert!(command(&["state", "forget"], &path).status.success());
    let elsewhere = command(&["state", "forget"], &std::env::temp_dir());
    assert!(!elsewhere.status.success() && text(&elsewhere.stderr).contains("no state folder"));
    let shown = command(&["state", "show"], &path);
    assert!(text(&shown.stderr).contains("nothing that can be used is kept here"));
    std::fs::remove_dir_all(&path).expect("removed");
}

#[test]
fn one_process_a_folder_and_the_second_ends_with_one_line() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
    let path = folder("two");
    let _first = Program::start(&targets, None, Some(&operator(&path)));
    let own = folder("two-config");
    std::fs::create_dir_all(&own).expect("made");
    std::fs::write(own.join("c.json"), site_config::document("127.0.0.1:0", None, &targets))
        .expect("written");
    std::fs::write(own.join("o.json"), operator(&path)).expect("written");
    let mut second = Command::new(env!("CARGO_BIN_EXE_petreldock"));
    second.env("ROUTER_CONFIG", own.join("c.json")).env("PETRELDOCK_OPERATOR", own.join("o.json"));
    let out = second.env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME").output().expect("it runs");
    let expected = format!("petreldock: state.folder: '{}': in use by another process\n", path.display());
    assert_eq!((out.status.success(), text(&out.stderr)), (false, expected));
    // The same files, looked at alone: what is in force, and which key is faulty.
    let check = |operator: &str| {
        std::fs::write(own.join("o.json"), operator).expect("written");
        let mut check = Command::new(env!("CARGO_BIN_EXE_petreldock"));
        check
            .arg("check")
            .env("ROUTER_CONFIG", own.join("c.json"))
            .env("PETRELDOCK_OPERATOR", own.join("o.json"));
        let out = check.env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME").output().expect("it runs");
        (out.status.success(), text(&out.stdout) + &text(&out.stderr))
    };
    let (good, said) = check(&operator(&path));
    assert!(good && said.contains("state.intervalMs              100"), "{said}");
    for (faulty, key) in [
        (r#"{"state":{}}"#, "state.folder: expected a folder's path"),
        (r#"{"state":{"folder":""}}"#, "state.folder: expected a folder's path"),
        (
            r#"{"state":{"folder":"a","intervalMs":5}}"#,
            "state.intervalMs: expected 100 to 600000 milliseconds",
        ),
        (r#"{"state":{"folder":"a","greatestAgeMs":-1}}"#, "state.greatestAgeMs: expected a time"),
        (r#"{"state":{"folder":"a","halfLivesMs":{"wait":0}}}"#, "state.halfLivesMs.wait: expected 1 to"),
        (r#"{"log":{"level":"loud"}}"#, "log.level: expected error, warn, info or debug"),
        (r#"{"log":{"form":7}}"#, "log.form: expected a text"),
    ] {
        let (good, said) = check(faulty);
        assert!(!good && said.starts_with(&format!("petreldock: {key}")), "{faulty}: {said}");
    }
    for path in [path, own] {
        std::fs::remove_dir_all(&path).expect("removed");
    }
}

#[test]
fn damaged_files_are_set_aside_and_never_refuse_a_start() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
    let path = folder("damaged");
    std::fs::create_dir_all(&path).expect("made");
    std::fs::write(path.join("learning"), include_bytes!("data/learning-v1").split_at(100).0)
        .expect("written");
    std::fs::write(path.join("learning.prev"), include_bytes!("data/learning-v1")).expect("written");
    let (good, said) = verify(&path);
    assert!(
        !good && said.contains("faulty: it is cut short") && said.contains("version 1, 1 hubs"),
        "{said}"
    );
    let program = Program::start(&targets, None, Some(&operator(&path)));
    assert!(program.log_contains("state: it is cut short; set aside as learning.bad-1"));
    assert!(program.log_contains("fallback=true"));
    let mut caller = Caller::connect(program.address);
    caller.invite(0x21, 3000, 0);
    assert_eq!(caller.answer(0x21).map(|a| a.0), Some(200));
    wait_until("a sound one takes its place", || verify(&path).0.then_some(()));
    drop(program);
    std::fs::remove_dir_all(&path).expect("removed");
}

#[test]
fn a_folder_that_vanishes_costs_no_call_and_is_said_once() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
    let path = folder("vanished");
    let mut program = Program::start(&targets, None, Some(&operator(&path)));
    wait_until("it is kept", || path.join("learning").exists().then_some(()));
    let away = folder("vanished-away");
    std::fs::rename(&path, &away).expect("moved");
    wait_until("it says so", || program.log_contains("state: not kept").then_some(()));
    let mut caller = Caller::connect(program.address);
    for call in 0x31..0x41 {
        caller.invite(call, 3000, 0);
        assert_eq!(caller.answer(call).map(|a| a.0), Some(200));
    }
    std::thread::sleep(Duration::from_millis(1500));
    std::fs::rename(&away, &path).expect("moved back");
    wait_until("it is kept again", || program.log_contains("state: kept again").then_some(()));
    assert_eq!(program.log().matches("state: not kept").count(), 1, "{}", program.log());
    // One that cannot even be made at the start: calls are served all the same.
    program.signal("-TERM");
    wait_until("it ends", || program.child.try_wait().expect("waited"));
    std::fs::remove_dir_all(&path).expect("removed");
    std::fs::write(&path, b"a file").expect("written");
    let program = Program::start(&targets, None, Some(&operator(&path.join("below"))));
    assert!(program.log_contains("starting without it"));
    let mut caller = Caller::connect(program.address);
    caller.invite(0x51, 3000, 0);
    assert_eq!(caller.answer(0x51).map(|a| a.0), Some(200));
    drop(program);
    std::fs::remove_file(&path).expect("removed");
}

#[test]
fn a_disk_that_never_answers_holds_up_neither_the_start_nor_a_call_nor_the_end() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
    let path = folder("slow");
    std::fs::create_dir_all(&path).expect("made");
    // To open a pipe that nobody writes to takes for ever.
    let made = Command::new("mkfifo").arg(path.join("learning")).status().expect("it runs");
    assert!(made.success());
    let mut program = Program::start(&targets, None, Some(&operator(&path)));
    assert!(program.log_contains("not read within 500ms; starting without it"), "{}", program.log());
    let mut caller = Caller::connect(program.address);
    caller.invite(0x61, 3000, 0);
    assert_eq!(caller.answer(0x61).map(|a| a.0), Some(200));
    program.signal("-TERM");
    assert!(wait_until("it ends", || program.child.try_wait().expect("waited")).success());
    assert!(program.log_contains("the last of what was learnt is not written in time"));
    std::fs::remove_dir_all(&path).expect("removed");
}

#[test]
fn logs_are_json_where_the_operator_says_so() {
    let program = Program::start(&[], None, Some(r#"{"log":{"form":"json","level":"info"}}"#));
    let log = program.log();
    let line = log.lines().find(|l| l.contains("serving at")).expect("logged");
    let value = petreldock::config::parse(line, "log").expect("JSON");
    let root = petreldock::config::At::root(&value, "");
    assert_eq!(root.key("level").text(), Ok("INFO"));
    assert_eq!(root.key("fields").key("name").text(), Ok("n1"));
    // One that says nothing does not say where it serves either.
    let reserved = ReservedAddress::bind();
    let operator = Some(r#"{"log":{"level":"error"}}"#);
    let quiet = Program::launch(reserved.address, &[], None, operator, 1024, |text| text);
    assert_eq!(quiet.log(), "");
}
