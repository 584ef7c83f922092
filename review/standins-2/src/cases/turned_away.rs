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
/// A client sends no faster than this, so that the case does not depend on the machine: 5,000 requests a second.
const PAUSE: Duration = Duration::from_millis(80);
const LENGTH: Duration = Duration::from_secs(50);
/// Lines of a hub; all are in use by calls of usual clients.
const LINES: usize = 4;

/// One client: sends, reads an answer to each request, and sends again. Returns once the connection ends.
fn client(address: std::net::SocketAddr, over: &AtomicBool, answers: &AtomicU64) -> Option<()> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let (mut buffer, mut id) = (vec![0; 65536], new_id());
    while !over.load(Ordering::Relaxed) {
        let (begun, mut bytes) = (Instant::now(), Vec::new());
        for i in 0..AT_ONCE {
            id = id.wrapping_add(1);
            let request = format!(
                "INVITE sip:{id:016x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id:016x}\r\nCSeq: 1 INVITE\r\nCall-Kind: seat-lookup\r\nAnswer-Within: 60000\r\nRouting-Data: dest:{};width:1;via:-1\r\nContent-Length: 0\r\n\r\n",
                i % 2
            );
            bytes.extend_from_slice(request.as_bytes());
        }
        stream.write_all(&bytes).ok()?;
        let (mut open, mut tail) = (AT_ONCE, Vec::new());
        while open > 0 {
            let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
            tail.extend_from_slice(&buffer[..count]);
            let found = tail.windows(8).filter(|w| *w == b"SIP/2.0 ").count();
            tail.drain(..tail.len().saturating_sub(7));
            open = open.saturating_sub(found);
            answers.fetch_add(found as u64, Ordering::Relaxed);
        }
        sleep(PAUSE.saturating_sub(begun.elapsed()));
    }
    Some(())
}

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Vec<String> {
    let behaviour = Behaviour { lines: LINES, call_length: Duration::from_secs(100), ..Behaviour::default() };
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
        usual.send(&SetUp {
            id,
            class: "result-post",
            number: "7f3a9c21e0b4d655",
            answer_within: "3000",
            routing,
        });
        id
    };
    for i in 0..3 * LINES {
        calls.push(place(&mut usual, i));
        sleep(Duration::from_millis(400));
    }
    let standing = calls.iter().filter(|id| callers.seen(**id).status() == Some(200)).count();
    record.line(&format!("usual client: {standing} calls stand, on {LINES} lines of each hub"));
    if standing < LINES {
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
    record.line(&format!("the session controller held {most} KiB of its own at most"));
    for client in clients {
        let _ = client.join();
    }
    broken
}
