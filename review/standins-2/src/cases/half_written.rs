//! Requests on new connections, while many connections come in that hold half a request or nothing.

use crate::caller::{invite, new_id, Callers, SetUp};
use crate::hub::{Behaviour, Hub};
use crate::platform::{ChangeLog, Controller, Site, Target};
use crate::record::Record;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The descriptors that the session controller may hold: half of the 1,024 of scored days.
const SOCKETS: u64 = 512;
/// Of five such connections four hold half a request, and one nothing.
const BAD_CONNECTIONS: usize = 2_500;
const COME_IN_WITHIN: Duration = Duration::from_secs(5);
const REQUESTS: usize = 30;
/// A set-up that crosses the close of its connection within this time is sent again, once, on a new connection.
const CROSSES: Duration = Duration::from_millis(50);
const ANSWER_WITHIN: Duration = Duration::from_millis(3_000);
/// Past its time by so much a request without its answer is lost.
const GRACE: Duration = Duration::from_millis(550);

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Vec<String> {
    let hubs = ["hub-0", "hub-1"].map(|name| Hub::start(name, Behaviour::default(), record));
    let target = |i: usize| Target {
        uid: format!("s-{i}"),
        address: hubs[i].address,
        place: i,
        state: "in_service",
        boot_ms: 0,
    };
    let change_log = ChangeLog::start(record);
    change_log.add(true, &[target(0), target(1)]);
    let mut controller = Controller::new(folder, Site { sockets: SOCKETS, ..Site::selam() }, 2, record);
    controller.start(&change_log);
    let address = controller.address;
    let over = Arc::new(AtomicBool::new(false));
    let bad = trouble.then(|| {
        let (over, record) = (over.clone(), record.clone());
        thread::spawn(move || {
            let start = Instant::now();
            let mut open: Vec<(Instant, TcpStream)> = Vec::new();
            let mut refused = 0;
            for i in 0..BAD_CONNECTIONS {
                sleep(
                    (start + COME_IN_WITHIN * i as u32 / BAD_CONNECTIONS as u32)
                        .saturating_duration_since(Instant::now()),
                );
                match TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
                    Ok(mut stream) => {
                        if i % 5 != 0 {
                            let whole = invite(&SetUp {
                                id: new_id(),
                                class: "seat-lookup",
                                number: "7f3a9c21e0b4d655",
                                answer_within: "3000",
                                routing: "dest:0;width:1;via:-1",
                            });
                            let _ = stream.write_all(&whole.as_bytes()[..whole.len() / 2]);
                        }
                        let _ = stream.set_nonblocking(true);
                        open.push((Instant::now(), stream));
                    }
                    Err(_) => refused += 1,
                }
            }
            record.line(&format!(
                "bad clients: {BAD_CONNECTIONS} connections have come in, {refused} more could not be opened"
            ));
            // They stay until they are closed by the session controller.
            while !open.is_empty() && !over.load(Ordering::Relaxed) {
                open.retain_mut(|(_, stream)| {
                    matches!(stream.read(&mut [0; 64]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
                });
                sleep(Duration::from_millis(20));
            }
        })
    });
    let callers = Callers::new(record);
    let mut requests = Vec::new();
    for i in 0..REQUESTS {
        let (callers, record) = (callers.clone(), record.clone());
        // Each usual client comes on a connection of its own, waits for its time and a little longer, and leaves.
        requests.push(thread::spawn(move || {
            let name = format!("caller {i}");
            let id = new_id();
            let set_up = SetUp {
                id,
                class: "seat-lookup",
                number: "7f3a9c21e0b4d655",
                answer_within: "3000",
                routing: if i % 2 == 0 { "dest:0;width:1;via:-1" } else { "dest:1;width:1;via:-1" },
            };
            let mut again = true;
            let mut sent;
            'connection: loop {
                let Ok(mut connection) = callers.connect(&name, address) else {
                    record.line(&format!("{name}: no connection was accepted"));
                    return None;
                };
                sent = Instant::now();
                connection.send(&set_up);
                while callers.seen(id).answers.is_empty() && sent.elapsed() < ANSWER_WITHIN + GRACE {
                    if again && sent.elapsed() < CROSSES && connection.has_ended() {
                        record.line(&format!("{name}: the set-up crossed the close, and is sent again"));
                        again = false;
                        continue 'connection;
                    }
                    sleep(Duration::from_millis(5));
                }
                // A request is taken once its last byte is written to a connection that the machine accepted.
                if callers.seen(id).answers.is_empty()
                    && !connection.has_ended()
                    && connection.has_unacknowledged()
                {
                    record.line(&format!("{name}: the machine has not accepted the connection"));
                    return None;
                }
                break;
            }
            Some((name, id, callers.seen(id).answers.first().map(|a| (a.0 - sent, a.1))))
        }));
        sleep(Duration::from_millis(200));
    }
    let mut broken = Vec::new();
    for request in requests {
        let Ok(Some((name, id, answer))) = request.join() else { continue };
        match answer {
            Some((after, status)) => record.line(&format!("{name}: {status} after {} ms", after.as_millis())),
            None => broken.push(format!(
                "{name}: {id:016x} had no answer {} ms after it was sent",
                (ANSWER_WITHIN + GRACE).as_millis()
            )),
        }
    }
    over.store(true, Ordering::Relaxed);
    if let Some(bad) = bad {
        let _ = bad.join();
    }
    broken
}
