//! The change log answers late while a hub drains.

use review_standins::caller::{Calls, Connection};
use review_standins::hub::{Hub, Kind};
use review_standins::*;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn main() {
    limit_run();
    let folder = std::env::args().nth(1).unwrap_or(".".into());
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let hubs: Vec<Hub> = (0..2).map(|n| Hub::start(&format!("hub-{n}"), 400, 30, 2000, &record)).collect();
    let entry = |n: usize, state| target(&format!("hub-{n}"), hubs[n].address, n, state);
    let log = changelog::ChangeLog::start(&record);
    let known = event(1, true, &[entry(0, "in_service"), entry(1, "in_service")]);
    log.put(1, known.clone());
    let deployment = Deployment {
        sockets: 1024,
        changelog: Some(log.address),
        known: &known,
        seq: 1,
        hubs: 2,
        idempotency: "free",
    };
    if trouble() {
        log.late_ms.store(number("LATE_MS", 1000), Ordering::Relaxed);
    }
    let mut program = Program::start(&deployment.json(), free_port(), &record);
    let calls = Calls::new(&record);
    let connection = Connection::open("c", program.address, &calls).unwrap();
    let start = Instant::now();
    let (mut told, mut stopped) = (None, false);
    // 40 calls a second; the hub drains from 8 s on and stops 9.6 s later.
    for nth in 0..880u64 {
        let at = Duration::from_millis(nth * 25);
        std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
        if told.is_none() && at >= Duration::from_secs(8) {
            told = Some(now_us());
            log.put(2, event(2, false, &[entry(1, "terminating")]));
        }
        if !stopped && at >= Duration::from_millis(17_600) {
            stopped = true;
            hubs[1].stop();
        }
        connection.send_set_up(0x4000 + nth, "seat-check", 3000, (nth % 2) as usize);
    }
    sleep_ms(3000);
    if !program.is_running() {
        record.say("the session controller has ended");
    }
    let told = told.unwrap();
    let late = |after_ms: u64| {
        let limit = told + after_ms * 1000;
        hubs[1].events().iter().filter(|e| e.kind == Kind::SetUp && e.at > limit).count()
    };
    let (strict, broken) = (late(2050), late(9050));
    record.say(&format!(
        "change log: asked {} times, answered {} times; set-ups to the draining hub: {strict} later than 2.05 s after the drain was in the change log, {broken} later than 9.05 s",
        log.asked.load(Ordering::Relaxed),
        log.answers.load(Ordering::Relaxed)
    ));
    drop(program);
    std::process::exit(i32::from(broken > 0));
}
