//! A caller sets a few calls up, keeps its connection and sends nothing more. One of the calls lasts longer than the
//! others.

use review_standins::caller::{Calls, Connection};
use review_standins::hub::{Hub, Kind};
use review_standins::*;
use std::path::Path;

const LONG_CALL: u64 = 0x5000;

fn main() {
    limit_run();
    let folder = std::env::args().nth(1).unwrap_or(".".into());
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let hubs: Vec<Hub> = (0..2).map(|n| Hub::start(&format!("hub-{n}"), 200, 30, 5000, &record)).collect();
    let targets: Vec<String> = hubs
        .iter()
        .enumerate()
        .map(|(n, h)| target(&format!("hub-{n}"), h.address, n, "in_service"))
        .collect();
    let log = changelog::ChangeLog::start(&record);
    log.put(1, event(1, true, &targets));
    let known = event(1, true, &targets);
    let deployment = Deployment {
        sockets: 1024,
        changelog: Some(log.address),
        known: &known,
        seq: 1,
        hubs: 2,
        idempotency: "free",
    };
    let mut program = Program::start(&deployment.json(), free_port(), &record);
    let calls = Calls::new(&record);
    let connection = Connection::open("quiet", program.address, &calls).unwrap();
    if std::env::var("VARIANT").is_ok_and(|v| v == "other") {
        return other_connection(&record, program, &hubs, &calls, connection);
    }
    hubs.iter().for_each(|h| h.set_hold(LONG_CALL, 40_000));
    // Seven calls of 5 s and one of 40 s: 9.4 s on average.
    for nth in 0..8u64 {
        connection.send_set_up(LONG_CALL + nth, "seat-hold", 3000, (nth % 2) as usize);
    }
    let mut nth = 8;
    for second in 0..50 {
        sleep_ms(1000);
        // Without the quiet time, another call every 4 s.
        if !trouble() && second % 4 == 3 {
            connection.send_set_up(LONG_CALL + nth, "seat-hold", 3000, (nth % 2) as usize);
            nth += 1;
        }
    }
    if !program.is_running() {
        record.say("the session controller has ended");
    }
    if let Some(at) = *connection.ended.lock().unwrap() {
        record.say(&format!(
            "the session controller closed the caller's connection at {:.1} s",
            record.ms(at) / 1000.0
        ));
    }
    let answer = calls.get(LONG_CALL).answers.first().map(|a| a.1);
    let end = hubs.iter().flat_map(|h| h.events()).find(|e| e.call == LONG_CALL && e.kind == Kind::End);
    let Some(end) = end.filter(|_| answer == Some(200)) else {
        cannot_run("the long call did not stand to its end")
    };
    let bye = calls.get(LONG_CALL).byes.first().map(|b| b.0);
    let in_time = bye.is_some_and(|at| at <= end.at + 8_050_000);
    record.say(&format!(
        "the hub released the long call at {:.1} s; its caller heard of it {}",
        record.ms(end.at) / 1000.0,
        bye.map_or("not at all".into(), |at| format!(
            "{:.2} s later",
            at.saturating_sub(end.at) as f64 / 1e6
        ))
    ));
    drop(connection);
    drop(program);
    std::process::exit(i32::from(!in_time));
}

/// A variant: a call of 12 s, and the caller ends a call of its other connection on this one.
fn other_connection(record: &Record, program: Program, hubs: &[Hub], calls: &Calls, connection: Connection) {
    hubs.iter().for_each(|h| h.set_hold(LONG_CALL, 12_000));
    let second = Connection::open("second", program.address, calls).unwrap();
    connection.send_set_up(LONG_CALL, "seat-hold", 3000, 0);
    second.send_set_up(LONG_CALL + 1, "seat-hold", 3000, 1);
    sleep_ms(1000);
    connection.hang_up(LONG_CALL + 1);
    // Callers close a connection that has had no call on it for 4 s.
    sleep_ms(4000);
    second.close();
    sleep_ms(17_000);
    let end =
        hubs.iter().flat_map(|h| h.events()).find(|e| e.call == LONG_CALL && e.kind == Kind::End).unwrap();
    let bye = calls.get(LONG_CALL).byes.first().map(|b| b.0);
    if let Some(at) = *connection.ended.lock().unwrap() {
        record.say(&format!(
            "the session controller closed the caller's connection at {:.1} s",
            record.ms(at) / 1000.0
        ));
    }
    record.say(&format!(
        "the hub released the call at {:.1} s; heard: {}",
        record.ms(end.at) / 1000.0,
        bye.is_some()
    ));
    drop(program);
    std::process::exit(i32::from(bye.is_none()));
}
