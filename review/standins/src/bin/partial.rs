//! Thousands of connections come in with a part of a request only, while callers set calls up on fresh connections.

use review_standins::caller::{invite, Calls, Connection};
use review_standins::hub::Hub;
use review_standins::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn main() {
    limit_run();
    let folder = std::env::args().nth(1).unwrap_or(".".into());
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let hubs: Vec<Hub> = (0..2).map(|n| Hub::start(&format!("hub-{n}"), 400, 30, 2000, &record)).collect();
    let targets: Vec<String> = hubs
        .iter()
        .enumerate()
        .map(|(n, h)| target(&format!("hub-{n}"), h.address, n, "in_service"))
        .collect();
    let log = changelog::ChangeLog::start(&record);
    log.put(1, event(1, true, &targets));
    let known = event(1, true, &targets);
    let deployment = Deployment {
        sockets: number("SOCKETS", 512) as u32,
        changelog: Some(log.address),
        known: &known,
        seq: 1,
        hubs: 2,
        idempotency: "free",
    };
    let mut program = Program::start(&deployment.json(), free_port(), &record);
    let calls = Calls::new(&record);
    let address = program.address;
    let (rate, seconds, within) = (number("RATE", 400), number("SECONDS", 6), 3000);
    let opened = Arc::new(AtomicU64::new(0));
    let flood = {
        let opened = opened.clone();
        std::thread::spawn(move || {
            if !trouble() {
                return;
            }
            sleep_ms(3000);
            let start = Instant::now();
            let part = {
                let whole = invite(0xbad, "seat-check", 3000, 0);
                whole[..whole.len() / 2].to_vec()
            };
            let held: Arc<Mutex<Vec<(Instant, TcpStream)>>> = Arc::default();
            let workers: Vec<_> = (0..8u64)
                .map(|worker| {
                    let (part, held, opened) = (part.clone(), held.clone(), opened.clone());
                    std::thread::spawn(move || {
                        let mut nth = worker;
                        while nth < rate * seconds {
                            let at = start + Duration::from_micros(nth * 1_000_000 / rate);
                            std::thread::sleep(at.saturating_duration_since(Instant::now()));
                            if let Ok(mut s) =
                                TcpStream::connect_timeout(&address, Duration::from_millis(900))
                            {
                                let _ = s.write_all(&part);
                                opened.fetch_add(1, Ordering::Relaxed);
                                held.lock().unwrap().push((Instant::now() + Duration::from_secs(4), s));
                            }
                            held.lock().unwrap().retain(|(until, _)| Instant::now() < *until);
                            nth += 8;
                        }
                    })
                })
                .collect();
            workers.into_iter().for_each(|w| w.join().unwrap());
            while !held.lock().unwrap().is_empty() {
                sleep_ms(100);
                held.lock().unwrap().retain(|(until, _)| Instant::now() < *until);
            }
        })
    };
    // 10 calls a second, each on a connection of its own.
    let start = Instant::now();
    let mut callers = Vec::new();
    for nth in 0..150u64 {
        let calls = calls.clone();
        callers.push(std::thread::spawn(move || {
            std::thread::sleep(
                (start + Duration::from_millis(nth * 100)).saturating_duration_since(Instant::now()),
            );
            let call = 0x3000 + nth;
            // A set-up that crosses the close of its connection within 50 ms is sent again, once, on a new one.
            for _ in 0..2 {
                let Ok(connection) = Connection::open("fresh", address, &calls) else { return false };
                calls.table.lock().unwrap().remove(&call);
                if !connection.send_set_up(call, "seat-check", within, (nth % 2) as usize) {
                    continue;
                }
                let sent = calls.get(call).sent.unwrap();
                while calls.get(call).answers.is_empty()
                    && now_us() < sent + (within + 550) * 1000
                    && connection.ended.lock().unwrap().is_none()
                {
                    sleep_ms(5);
                }
                if calls.get(call).answers.is_empty() {
                    if connection.ended.lock().unwrap().is_some() {
                        continue;
                    }
                    connection.cancel(call);
                    sleep_ms(3000);
                } else {
                    sleep_ms(4000);
                }
                return true;
            }
            false
        }));
    }
    let taken: Vec<bool> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    flood.join().unwrap();
    if !program.is_running() {
        record.say("the session controller has ended");
    }
    let (mut lost, mut answered, mut slowest) = (0, 0, 0);
    for nth in 0..150u64 {
        let call = calls.get(0x3000 + nth);
        let Some(sent) = call.sent.filter(|_| taken[nth as usize]) else { continue };
        match call.answers.first() {
            Some((at, ..)) if *at <= sent + (within + 550) * 1000 => {
                answered += 1;
                slowest = slowest.max(at - sent);
            }
            late => {
                lost += 1;
                record.line(&format!(
                    "call {:016x}: sent at {:.0} ms, no answer within {} ms; later: {:?}",
                    0x3000 + nth,
                    record.ms(sent),
                    within + 550,
                    late.map(|(at, status, _)| (record.ms(*at), *status))
                ));
            }
        }
    }
    record.say(&format!(
        "{} partial connections; {answered} set-ups answered in time (slowest {:.0} ms), {lost} not, {} not taken",
        opened.load(Ordering::Relaxed),
        slowest as f64 / 1000.0,
        150 - answered - lost
    ));
    drop(program);
    std::process::exit(i32::from(lost > 0));
}
