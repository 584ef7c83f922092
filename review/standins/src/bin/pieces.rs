//! Messages of a hub arrive split, with a pause between the pieces.

use review_standins::caller::{Calls, Connection};
use review_standins::hub::{Hub, Kind};
use review_standins::*;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

fn main() {
    limit_run();
    let folder = std::env::args().nth(1).unwrap_or(".".into());
    let gap: u64 = std::env::var("GAP_MS").ok().and_then(|v| v.parse().ok()).unwrap_or(400);
    let seconds: u64 = std::env::var("SECONDS").ok().and_then(|v| v.parse().ok()).unwrap_or(3);
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let hub = Hub::start("hub-0", 200, 30, 6000, &record);
    let gap_ms = Arc::new(AtomicU64::new(0));
    let address = relay::start_splitting(hub.address, gap_ms.clone());
    let log = changelog::ChangeLog::start(&record);
    let known = event(1, true, &[target("hub-0", address, 0, "in_service")]);
    log.put(1, known.clone());
    let deployment = Deployment {
        sockets: 1024,
        changelog: Some(log.address),
        known: &known,
        seq: 1,
        hubs: 1,
        idempotency: "free",
    };
    let mut program = Program::start(&deployment.json(), free_port(), &record);
    let calls = Calls::new(&record);
    let connection = Connection::open("c", program.address, &calls).unwrap();
    for nth in 0..20u64 {
        connection.send_set_up(0x6000 + nth, "seat-hold", 3000, 0);
        sleep_ms(100);
    }
    // The calls end from 6 to 8 s after the first one began.
    sleep_ms(3500);
    if trouble() {
        gap_ms.store(gap, Ordering::Relaxed);
        record.line("messages arrive in two pieces from now on");
    }
    sleep_ms(seconds * 1000);
    gap_ms.store(0, Ordering::Relaxed);
    record.line("messages arrive whole again");
    sleep_ms(16_000);
    if !program.is_running() {
        record.say("the session controller has ended");
    }
    let (mut late, mut never, mut stood) = (0, 0, 0);
    for end in hub.events().iter().filter(|e| e.kind == Kind::End) {
        stood += 1;
        match calls.get(end.call).byes.first() {
            Some((at, _)) if *at <= end.at + 8_050_000 => {}
            Some(_) => late += 1,
            None => never += 1,
        }
    }
    record.say(&format!("{stood} calls stood and were released by the hub; released towards the caller later than 8.05 s: {late}, never: {never}"));
    drop(connection);
    drop(program);
    std::process::exit(i32::from(late + never > 0));
}
