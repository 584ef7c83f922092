//! Tests of the simulator's protocol and of the built adapter: parsing, writing, a short dialogue and malformed input.

use petreldock::interface::*;
use petreldock::simulator_protocol::{self, Host, Line};
use std::io::Write;
use std::process::{Command, Output, Stdio};

const PARAMS: &str = concat!(
    r#"{"balancers":2,"classes":[{"name":"a","objective":1000000,"deadline":5000000,"idempotency":"free","#,
    r#""lateWorth":0.2,"worth":1.0}],"contract":{"coldFrom":0.4,"warmUp":10000000,"overloadFactor":3.0,"#,
    r#""overloadFor":1000000},"familyInfo":{"allowedPools":[[0,1]],"classHold":[8000000],"release":300000,"#,
    r#""networkForm":"pools"},"limits":{"maxAttempts":3,"cancel":true},"report":{"names":["free","size","#,
    r#""svc_ms","newfield"],"via":"piggyback"},"unknown":{"x":1}}"#
);

fn start() -> String {
    format!(
        "batch moment=100 serial=1\nswitch_to who=3\ninit seed=9 params={PARAMS}\ncatalog setId=0 members=2\n\
         entry switch=7 placeNo=0 phase=in_service rating=1\nentry switch=8 placeNo=1 phase=terminating\n\
         registry kind=SAVED index=1 setId=0\nflush\n"
    )
}

fn call(at: u64, serial: u64, handle: u64, place: u64) -> String {
    format!(
        "batch moment={at} serial={serial}\nswitch_to who=3\naccept handle={handle} farEnd={place} grade=a \
         clientDeadline={} affinity=5\nflush\n",
        at + 2_000_000
    )
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_petreldock-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter stops reading at a malformed line, so that writing the rest of the input may fail.
    let _ = child.stdin.take().expect("stdin is piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

#[test]
fn adapter_answers_each_batch_and_forwards_a_call() {
    let input = start() + &call(200, 2, 42, 0) + "batch moment=300 serial=3\nflush\n";
    let out = run(input.as_bytes());
    let text = String::from_utf8(out.stdout).expect("text");
    assert!(out.status.success());
    assert!(text.starts_with("finished serial=1\n"), "{text}");
    assert!(text.contains("at who=3\n") && text.contains("forward handle=42 switch=7 timeout="), "{text}");
    assert!(text.ends_with("finished serial=3\n"), "{text}");
    assert!(out.stderr.is_empty());
}

#[test]
fn equal_input_gives_equal_output() {
    let input = (0..50).fold(start(), |text, n| text + &call(1000 * (n + 1), n + 2, n, n % 3));
    assert_eq!(run(input.as_bytes()).stdout, run(input.as_bytes()).stdout);
}

#[test]
fn unknown_and_stopped_instances_are_rejected() {
    let mut host = Host::default();
    for line in start().lines() {
        host.handle_line(line).expect("valid line");
    }
    host.handle_line("batch moment=200 serial=2").expect("valid line");
    host.handle_line("switch_to who=4").expect("valid line");
    assert!(host.handle_line("tick_due mark=1").is_err(), "instance 4 was never started");
    host.handle_line("switch_to who=3").expect("valid line");
    host.handle_line("shutdown").expect("valid line");
    assert!(host.handle_line("tick_due mark=1").is_err(), "instance 3 has been stopped");
}

#[test]
fn malformed_input_fails_with_line_number_and_reason() {
    let cases: &[(&str, &str)] = &[
        ("nonsense\n", "line 1: expected 'batch'"),
        ("batch moment=x serial=1\n", "line 1: batch: expected a whole number in 'moment'"),
        ("batch serial=1\n", "line 1: batch: expected a field 'moment'"),
        ("batch moment=1 serial=1\ntick_due mark=1\n", "line 2: expected 'switch_to'"),
        ("batch moment=1 serial=1\n", "expected 'flush'"),
        ("batch moment=1 serial=1\nswitch_to who=1\ninit seed=1 params={\n", "line 3: init: expected JSON"),
        ("batch moment=1 serial=1\nswitch_to who=1\ninit seed=1 params={\"classes\":[]}\n", "no call class"),
        ("batch moment=1 serial=1\ncatalog setId=0 members=2\nflush\n", "line 3: expected 2 more 'entry'"),
        ("batch moment=1 serial=1\n\nflush\n", "line 2: expected a message name"),
    ];
    for (input, expected) in cases {
        let out = run(input.as_bytes());
        let error = String::from_utf8(out.stderr).expect("text");
        assert!(!out.status.success(), "{input}");
        assert!(error.contains(expected), "{input}: {error}");
    }
    let out = run(b"batch moment=1 serial=\xff\n");
    assert!(!out.status.success() && String::from_utf8_lossy(&out.stderr).contains("UTF-8"));
    let out = run((start() + "batch moment=2 serial=2\nswitch_to who=3\nwhatever x=1\nflush\n").as_bytes());
    assert!(!out.status.success() && String::from_utf8_lossy(&out.stderr).contains("known message"));
}

#[test]
fn end_of_input_between_batches_succeeds() {
    assert!(run(b"").status.success());
}

#[test]
fn settings_and_events_are_parsed() {
    let (settings, names) = simulator_protocol::parse_settings(PARAMS).expect("valid line");
    assert_eq!((settings.balancers, settings.max_attempts, settings.release), (2, 3, Micros(300_000)));
    assert_eq!(settings.classes[0].places, vec![0, 1]);
    let line = Line::parse(
        "done handle=4 copy=1 switch=7 disposition=failure took=9 terminal=1 note=4 metrics=3,5,-1,8",
    )
    .expect("valid line");
    let event = simulator_protocol::parse_event(&line, &names).expect("valid line").expect("known");
    let report = Report { free: Some(3.0), size: Some(5.0), ..Report::default() };
    let (id, server) = (CallId(4), ServerId(7));
    assert_eq!(
        event,
        Event::Ended(AttemptEnd {
            id,
            attempt: 1,
            server,
            outcome: Outcome::Failure,
            over: true,
            number_busy: true,
            report
        })
    );
    let line = Line::parse("inbox from=2 msg=6869").expect("valid line");
    assert_eq!(
        simulator_protocol::parse_event(&line, &names).expect("valid line"),
        Some(Event::PeerMessage(2, b"hi".to_vec()))
    );
}

#[test]
fn actions_are_written_as_lines() {
    let cases = [
        (Action::Send(CallId(1), ServerId(2), Micros(3)), "forward handle=1 switch=2 timeout=3\n"),
        (Action::Refuse(CallId(1), Micros(0)), "overload_reply handle=1\n"),
        (Action::Fail(CallId(1)), "end_failed handle=1\n"),
        (Action::Cancel(CallId(1), 2), "undo_send handle=1 copy=2\n"),
        (Action::Timer(CallId(2), Micros(5), 6), "after alarmTime=5 mark=6\n"),
        (Action::SendToPeer(3, vec![0, 255]), "notify whom=3 msg=00ff\n"),
        (Action::Subscribe, "watch on=1\n"),
    ];
    for (action, expected) in cases {
        let mut text = String::new();
        simulator_protocol::write_action(&action, &mut text);
        assert_eq!(text, expected);
    }
}

#[test]
fn module_keeps_its_size() {
    let text = include_str!("../src/logic.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 950, "{lines} lines");
    assert!(text.lines().all(|l| l.chars().count() <= 110));
    assert!(text.lines().take(3).any(|l| l.contains("src/interface.rs")));
}
