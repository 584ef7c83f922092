//! Clients that send hundreds of requests at once, and the same again as soon as they are turned away.

use crate::caller::{new_id, Callers, SetUp};
use crate::hub::{Behaviour, Hub};
use crate::platform::{ChangeLog, Controller, Site, Target, SIGKILL};
use crate::record::Record;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 256;
const CLIENTS: u64 = 4;
/// Requests that a client sends at once.
const AT_ONCE: usize = 400;
/// A client sends no faster than one request in this time, so that the case does not depend on the machine.
const PAUSE: Duration = Duration::from_micros(200);
const LENGTH: Duration = Duration::from_secs(50);
/// The number that usual clients call; the bad ones call numbers that no hub knows.
const KNOWN: &str = "7f3a9c21e0b4d655";

/// One client: sends, and sends another request for each that was turned away. Returns once the connection ends.
fn client(address: std::net::SocketAddr, over: &AtomicBool, answers: &AtomicU64) -> Option<()> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let (mut buffer, mut tail, mut id) = (vec![0; 65536], Vec::new(), new_id());
    let (begun, mut sent, mut due) = (Instant::now(), 0, AT_ONCE);
    while !over.load(Ordering::Relaxed) {
        let mut bytes = Vec::new();
        for _ in 0..std::mem::take(&mut due) {
            (id, sent) = (id.wrapping_add(1), sent + 1);
            let request = format!(
                "INVITE sip:{id:016x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id:016x}\r\nCSeq: 1 INVITE\r\nCall-Kind: seat-lookup\r\nAnswer-Within: 60000\r\nRouting-Data: dest:{};width:1;via:-1\r\nContent-Length: 0\r\n\r\n",
                id % 2
            );
            bytes.extend_from_slice(request.as_bytes());
        }
        stream.write_all(&bytes).ok()?;
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        tail.extend_from_slice(&buffer[..count]);
        due = tail.windows(8).filter(|w| *w == b"SIP/2.0 ").count();
        tail.drain(..tail.len().saturating_sub(7));
        answers.fetch_add(due as u64, Ordering::Relaxed);
        sleep((begun + PAUSE * sent).saturating_duration_since(Instant::now()));
    }
    Some(())
}

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Vec<String> {
    // A processor of one line that carries 25 set-ups a second.
    let behaviour = Behaviour {
        answer_after: Duration::from_millis(40),
        longest_wait: Some(Duration::from_millis(2_500)),
        known_number: Some(KNOWN),
        can_take: 25.0,
        ..Behaviour::default()
    };
    let hubs = ["hub-0", "hub-1"].map(|name| Hub::start(name, behaviour.clone(), record));
    let target = |i: usize| Target {
        uid: format!("s-{i}"),
        address: hubs[i].address,
        place: i,
        state: "in_service",
        boot_ms: 0,
    };
    let change_log = ChangeLog::start(record);
    change_log.add(true, &[target(0), target(1)]);
    let site = Site { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Site::selam() };
    let mut controller = Controller::new(folder, site, 2, record);
    controller.start(&change_log);
    let callers = Callers::new(record);
    let mut usual = callers.connect("usual client", controller.address).expect("connect");
    let mut calls = Vec::new();
    let place = |usual: &mut crate::caller::Connection, i: usize| {
        let id = new_id();
        let routing = ["dest:0;width:1;via:-1", "dest:1;width:1;via:-1"][i % 2];
        usual.send(&SetUp { id, class: "result-post", number: KNOWN, answer_within: "3000", routing });
        id
    };
    for i in 0..8 {
        calls.push(place(&mut usual, i));
        sleep(Duration::from_millis(200));
    }
    let standing = calls.iter().filter(|id| callers.seen(**id).status() == Some(200)).count();
    record.line(&format!("usual client: {standing} calls of 8 stand"));
    if standing < 4 {
        crate::cannot_run("the usual client's calls do not stand");
    }
    let (over, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for _ in 0..if trouble { CLIENTS } else { 0 } {
        let (over, answers, address) = (over.clone(), answers.clone(), controller.address);
        clients.push(thread::spawn(move || client(address, &over, &answers)));
    }
    // The platform kills a session controller that is over its memory. Pages of files are left out here.
    let (start, mut most, mut told, mut broken) = (Instant::now(), 0, 0, Vec::new());
    while start.elapsed() < LENGTH && broken.is_empty() {
        sleep(Duration::from_millis(50));
        if controller.has_exited() {
            broken.push("the session controller has ended".into());
            break;
        }
        let memory = controller.memory_kib("RssAnon");
        most = most.max(memory);
        if start.elapsed().as_secs() / 5 > told {
            told = start.elapsed().as_secs() / 5;
            record.line(&format!(
                "bad clients: {} requests turned away so far; the session controller holds {memory} KiB of its own",
                answers.load(Ordering::Relaxed)
            ));
        }
        if memory > MEMORY_MB * 1024 {
            broken.push(format!(
                "after {} s and {} requests that were turned away, the session controller holds {memory} KiB of its own, more than {MEMORY_MB} MB, and is killed",
                start.elapsed().as_secs(),
                answers.load(Ordering::Relaxed)
            ));
            controller.signal(SIGKILL);
            controller.wait_end(Duration::from_secs(1));
        }
    }
    over.store(true, Ordering::Relaxed);
    for hub in &hubs {
        record.line(&format!("{}: {} set-ups to numbers that it does not know", hub.name, hub.unknown()));
    }
    record.line(&format!("the session controller held {most} KiB of its own at most"));
    for client in clients {
        let _ = client.join();
    }
    broken
}
