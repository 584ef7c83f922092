//! Set-ups cross the end of a resting connection and are sent again, once, on a new one.

use review_standins::caller::{Calls, Connection};
use review_standins::hub::{Hub, Kind};
use review_standins::relay::Relay;
use review_standins::*;
use std::path::Path;
use std::time::Duration;

const ROUNDS: u64 = 10;

fn main() {
    limit_run();
    let folder = std::env::args().nth(1).unwrap_or(".".into());
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let hubs: Vec<Hub> = (0..2).map(|n| Hub::start(&format!("hub-{n}"), 200, 150, 3000, &record)).collect();
    let targets: Vec<String> = hubs
        .iter()
        .enumerate()
        .map(|(n, h)| target(&format!("hub-{n}"), h.address, n, "in_service"))
        .collect();
    let log = changelog::ChangeLog::start(&record);
    log.put(1, event(1, true, &targets));
    let known = event(1, true, &targets);
    let idempotency = std::env::var("IDEMPOTENCY").unwrap_or("free".into());
    let deployment = Deployment {
        sockets: 1024,
        changelog: Some(log.address),
        known: &known,
        seq: 1,
        hubs: 2,
        idempotency: &idempotency,
    };
    let mut program = Program::start(&deployment.json(), free_port(), &record);
    let calls = Calls::new(&record);
    let mut ids = Vec::new();
    for round in 0..ROUNDS {
        let relay = Relay::start(program.address);
        let connection = Connection::open("first", relay.address, &calls).unwrap();
        // A call that is set up and over, so that the connection is in use and then rests.
        let earlier = 0x1000 + round;
        connection.send_set_up(earlier, "seat-check", 3000, 0);
        sleep_ms(1200);
        let call = 0x2000 + round;
        ids.push(call);
        connection.send_set_up(call, "seat-hold", 3000, (round % 2) as usize);
        if trouble() {
            sleep_ms(20);
            relay.end_connections();
            record.line("the resting connection ends");
            sleep_ms(5);
            let ended = *connection.ended.lock().unwrap();
            let sent = calls.get(call).sent.unwrap();
            if ended.is_some_and(|at| at - sent < 50_000) && calls.get(call).answers.is_empty() {
                record.line("it ended within 50 ms of the set-up: sent again, once, on a new connection");
                let second = Connection::open("second", program.address, &calls).unwrap();
                second.send_set_up(call, "seat-hold", 3000, (round % 2) as usize);
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_secs(10));
                    drop(second);
                });
            }
        }
        sleep_ms(800);
    }
    sleep_ms(3500);
    if !program.is_running() {
        record.say("the session controller has ended");
    }
    let (mut twice, mut early) = (0, 0);
    for call in &ids {
        let mut events: Vec<(u64, Kind, usize)> = Vec::new();
        for (n, hub) in hubs.iter().enumerate() {
            events.extend(hub.events().iter().filter(|e| e.call == *call).map(|e| (e.at, e.kind, n)));
        }
        events.sort_by_key(|e| e.0);
        let set_ups: Vec<u64> = events.iter().filter(|e| e.1 == Kind::SetUp).map(|e| e.0).collect();
        let ends: Vec<u64> = events
            .iter()
            .filter(|e| matches!(e.1, Kind::GiveUp | Kind::ConnectionEnd))
            .map(|e| e.0)
            .collect();
        twice += u64::from(set_ups.len() > 1);
        for end in &ends {
            if let Some(next) = set_ups.iter().find(|at| **at >= *end) {
                record.say(&format!(
                    "call {call:016x} was sent again {:.1} ms after it was given up",
                    (next - end) as f64 / 1000.0
                ));
                early += u64::from(next - end < 250_000);
            }
        }
        record.line(&format!(
            "call {call:016x}: {} set-ups at hubs, answers {:?}",
            set_ups.len(),
            calls.get(*call).answers.iter().map(|a| a.1).collect::<Vec<_>>()
        ));
    }
    record.say(&format!(
        "class {idempotency}: {} set-ups, {twice} of them reached a hub twice, {early} within 250 ms of the give-up",
        ids.len()
    ));
    let broken = if idempotency == "single_shot" { twice > 0 } else { early > 0 };
    drop(program);
    std::process::exit(i32::from(broken));
}
