//! Clients that send hundreds of requests at once, with long numbers.

use crate::caller::{new_id, Callers, SetUp};
use crate::hub::{Behaviour, Hub};
use crate::platform::{ChangeLog, Controller, Site, Target, SIGKILL};
use crate::record::Record;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 256;
const CLIENTS: usize = 10;
const REQUESTS: usize = 300;
/// Characters of the number in the first line; the message stays under 16 KiB.
const NUMBER: usize = 15_500;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Vec<String> {
    // A set-up is answered only after a while, as at a busy processor.
    let behaviour = Behaviour {
        answer_after: Duration::from_millis(600),
        known_number: Some("7f3a9c21e0b4d655"),
        lines: 2_000,
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
    let address = controller.address;
    let callers = Callers::new(record);
    let mut usual = callers.connect("usual client", address).expect("connect");
    let set_up = |id| SetUp {
        id,
        class: "seat-lookup",
        number: "7f3a9c21e0b4d655",
        answer_within: "3000",
        routing: "dest:0;width:1;via:-1",
    };
    let first = new_id();
    usual.send(&set_up(first));
    sleep(Duration::from_secs(1));
    if callers.seen(first).status() != Some(200) {
        crate::cannot_run("the usual client is not served");
    }
    let second = new_id();
    usual.send(&set_up(second));
    let number = "7".repeat(if trouble { NUMBER } else { 16 });
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let mut bytes = Vec::new();
        for i in 0..REQUESTS {
            let routing = format!("dest:{};width:1;via:-1", i % 2);
            let id = new_id();
            bytes.extend_from_slice(
                format!(
                    "INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id:016x}\r\nCSeq: 1 INVITE\r\nCall-Kind: seat-lookup\r\nAnswer-Within: 3000\r\nRouting-Data: {routing}\r\nContent-Length: 0\r\n\r\n"
                )
                .as_bytes(),
            );
        }
        record.line(&format!(
            "bad client {client}: {REQUESTS} requests at once, numbers of {} characters, {} bytes each",
            number.len(),
            bytes.len() / REQUESTS
        ));
        // It sends at full speed and reads what is sent to it.
        clients.push(thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect(address) else { return 0 };
            let Ok(mut writing) = stream.try_clone() else { return 0 };
            let writer = thread::spawn(move || writing.write_all(&bytes).is_ok());
            let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
            let (mut input, mut buffer, mut answers) = (Vec::new(), vec![0; 65536], 0);
            while answers < REQUESTS {
                match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => break,
                    Ok(count) => input.extend_from_slice(&buffer[..count]),
                }
                answers = input.windows(8).filter(|w| *w == b"SIP/2.0 ").count();
            }
            let _ = writer.join();
            answers
        }));
    }
    // The platform kills a session controller that is over its memory. Pages of files are left out here.
    let (start, mut most, mut broken) = (Instant::now(), 0, Vec::new());
    while start.elapsed() < Duration::from_secs(8) {
        let memory = controller.memory_kib("RssAnon");
        most = most.max(memory);
        if memory > MEMORY_MB * 1024 {
            broken.push(format!("the session controller holds {memory} KiB of its own, more than {MEMORY_MB} MB, and is killed"));
            controller.signal(SIGKILL);
            controller.wait_end(Duration::from_secs(1));
            break;
        }
        sleep(Duration::from_millis(2));
    }
    record.line(&format!("the session controller held {most} KiB of its own at most"));
    let answers: usize = clients.into_iter().filter_map(|c| c.join().ok()).sum();
    record.line(&format!("bad clients: {answers} answers"));
    match callers.seen(second).status() {
        Some(status) => record.line(&format!("usual client: {status}")),
        None if !broken.is_empty() => broken.push(format!("the usual client's {second:016x} has no answer")),
        None => {}
    }
    broken
}
