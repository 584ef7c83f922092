//! Tests of the program with a state folder: restoring, failing folders and the commands that work on a folder.

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
fn learned_state_survives_sigkill_and_a_planned_end() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
    let path = folder("recall");
    let mut program = Program::start(&targets, None, Some(&operator(&path)));
    let mut caller = Caller::connect(program.address);
    caller.invite(0x11, 3000, 0);
    assert_eq!(caller.answer(0x11).map(|a| a.0), Some(200));
    hub.send(kind::RELEASE, 0x11, &[(code::CAUSE, &[16]), (code::REPORT, b"x0:90;x1:100;qps:17")]);
    caller.wait_for("released", |message| *message == Received::Bye(0x11, 16));
    // While the program runs, `state show` prints what it has learned.
    wait_until("the rate is saved", || {
        let shown = command(&["state", "show", "--json"], &path);
        text(&shown.stdout).contains(r#""can_take_per_s":17.0"#).then_some(())
    });
    assert!(verify(&path).0, "{:?}", verify(&path));
    let refused = command(&["state", "forget"], &path);
    assert!(!refused.status.success() && text(&refused.stderr).contains("in use by another process"));
    program.child.kill().expect("killed");
    program.child.wait().expect("ended");
    let restarted = Program::start(&targets, None, Some(&operator(&path)));
    wait_until("it logs the restored state", || {
        restarted.log_contains("state: recalled hubs=1").then_some(())
    });
    // A planned end writes the state once more.
    drop(program);
    let mut program = restarted;
    program.signal("-TERM");
    let before = std::fs::metadata(path.join("learning")).expect("there").modified().expect("known");
    assert!(wait_until("it ends", || program.child.try_wait().expect("waited")).success());
    assert!(std::fs::metadata(path.join("learning")).expect("there").modified().expect("known") > before);
    let shown = command(&["state", "show"], &path);
    assert!(text(&shown.stdout).contains("s-0"), "{shown:?}");
    assert!(command(&["state", "forget"], &path).status.success());
    let no_folder = command(&["state", "forget"], &std::env::temp_dir());
    assert!(!no_folder.status.success() && text(&no_folder.stderr).contains("no state folder"));
    let shown = command(&["state", "show"], &path);
    assert!(text(&shown.stderr).contains("nothing that can be used is kept here"));
    std::fs::remove_dir_all(&path).expect("removed");
}

#[test]
fn second_process_on_a_folder_and_faulty_keys_end_with_one_line() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
    let path = folder("two");
    let _first = Program::start(&targets, None, Some(&operator(&path)));
    let config = folder("two-config");
    std::fs::create_dir_all(&config).expect("made");
    std::fs::write(config.join("c.json"), site_config::document("127.0.0.1:0", None, &targets))
        .expect("written");
    std::fs::write(config.join("o.json"), operator(&path)).expect("written");
    let mut second = Command::new(env!("CARGO_BIN_EXE_petreldock"));
    second.env("ROUTER_CONFIG", config.join("c.json")).env("PETRELDOCK_OPERATOR", config.join("o.json"));
    let out = second.env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME").output().expect("it runs");
    let expected = format!("petreldock: state.folder: '{}': in use by another process\n", path.display());
    assert_eq!((out.status.success(), text(&out.stderr)), (false, expected));
    // `check` on the same files prints the effective values, or names the faulty key.
    let check = |operator: &str| {
        std::fs::write(config.join("o.json"), operator).expect("written");
        let mut check = Command::new(env!("CARGO_BIN_EXE_petreldock"));
        check
            .arg("check")
            .env("ROUTER_CONFIG", config.join("c.json"))
            .env("PETRELDOCK_OPERATOR", config.join("o.json"));
        let out = check.env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME").output().expect("it runs");
        (out.status.success(), text(&out.stdout) + &text(&out.stderr))
    };
    let (success, output) = check(&operator(&path));
    assert!(success && output.contains("state.intervalMs              100"), "{output}");
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
        (r#"{"log":{"form":7}}"#, "log.form: expected a string"),
    ] {
        let (success, output) = check(faulty);
        assert!(!success && output.starts_with(&format!("petreldock: {key}")), "{faulty}: {output}");
    }
    for path in [path, config] {
        std::fs::remove_dir_all(&path).expect("removed");
    }
}

#[test]
fn damaged_state_file_is_set_aside_and_does_not_prevent_the_start() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
    let path = folder("damaged");
    std::fs::create_dir_all(&path).expect("made");
    std::fs::write(path.join("learning"), include_bytes!("data/learning-v1").split_at(100).0)
        .expect("written");
    std::fs::write(path.join("learning.prev"), include_bytes!("data/learning-v1")).expect("written");
    let (success, output) = verify(&path);
    assert!(
        !success && output.contains("faulty: it is cut short") && output.contains("version 1, 1 hubs"),
        "{output}"
    );
    let program = Program::start(&targets, None, Some(&operator(&path)));
    assert!(program.log_contains("state: it is cut short; set aside as learning.bad-1"));
    assert!(program.log_contains("fallback=true"));
    let mut caller = Caller::connect(program.address);
    caller.invite(0x21, 3000, 0);
    assert_eq!(caller.answer(0x21).map(|a| a.0), Some(200));
    wait_until("a valid file replaces it", || verify(&path).0.then_some(()));
    drop(program);
    std::fs::remove_dir_all(&path).expect("removed");
}

#[test]
fn missing_state_folder_fails_no_call_and_is_logged_once() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
    let path = folder("vanished");
    let mut program = Program::start(&targets, None, Some(&operator(&path)));
    wait_until("the state is saved", || path.join("learning").exists().then_some(()));
    let away = folder("vanished-away");
    std::fs::rename(&path, &away).expect("moved");
    wait_until("the failure is logged", || program.log_contains("state: not kept").then_some(()));
    let mut caller = Caller::connect(program.address);
    for call in 0x31..0x41 {
        caller.invite(call, 3000, 0);
        assert_eq!(caller.answer(call).map(|a| a.0), Some(200));
    }
    std::thread::sleep(Duration::from_millis(1500));
    std::fs::rename(&away, &path).expect("moved back");
    wait_until("the state is saved again", || program.log_contains("state: kept again").then_some(()));
    assert_eq!(program.log().matches("state: not kept").count(), 1, "{}", program.log());
    // Calls are also served if the folder cannot be created at the start.
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
fn hanging_disk_delays_neither_the_start_nor_calls_nor_the_end() {
    let record = HubRecord::default();
    let hub = Hub::start(0, HubBehavior::Answer, &record);
    let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
    let path = folder("slow");
    std::fs::create_dir_all(&path).expect("made");
    // Opening a FIFO without a writer blocks forever, as a hanging disk does.
    let made = Command::new("mkfifo").arg(path.join("learning")).status().expect("it runs");
    assert!(made.success());
    let mut program = Program::start(&targets, None, Some(&operator(&path)));
    assert!(program.log_contains("not read within 500ms; starting without it"), "{}", program.log());
    let mut caller = Caller::connect(program.address);
    caller.invite(0x61, 3000, 0);
    assert_eq!(caller.answer(0x61).map(|a| a.0), Some(200));
    program.signal("-TERM");
    assert!(wait_until("it ends", || program.child.try_wait().expect("waited")).success());
    assert!(program.log_contains("state: the final learned state was not written in time"));
    std::fs::remove_dir_all(&path).expect("removed");
}

#[test]
fn log_format_and_level_follow_the_operator_file() {
    let program = Program::start(&[], None, Some(r#"{"log":{"form":"json","level":"info"}}"#));
    let log = program.log();
    let line = log.lines().find(|l| l.contains("serving at")).expect("logged");
    let value = petreldock::config::parse(line, "log").expect("JSON");
    let root = petreldock::config::JsonNode::root(&value, "");
    assert_eq!(root.key("level").text(), Ok("INFO"));
    assert_eq!(root.key("fields").key("name").text(), Ok("n1"));
    // At level `error` nothing is logged, not even the address, so that the test chooses the address itself.
    let reserved = ReservedAddress::bind();
    let operator = Some(r#"{"log":{"level":"error"}}"#);
    let quiet = Program::launch(reserved.address, &[], None, operator, 1024, |text| text);
    assert_eq!(quiet.log(), "");
}
