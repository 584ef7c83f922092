//! Peers for tests of the program under floods: a hub that answers usual callers only, connections that each send a part
//! of a flood, and the process's own memory.

use crate::peers::{ephemeral_address, request, Program, HUB_BODY};
use crate::scripted_hub::encode;
use crate::site_config;
use petreldock::net::binary::{self, code, kind};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Limits of the tightest deployments: memory in MiB and descriptors.
pub const TIGHTEST_MEMORY_MB: usize = 32;
pub const TIGHTEST_SOCKETS: u32 = 256;
/// Connections that the callers of such a deployment may hold together: a third of its descriptors.
pub const TIGHTEST_CALLERS: usize = TIGHTEST_SOCKETS as usize / 3;
/// Ids of the calls of usual callers start here; the hub answers these alone.
pub const FIRST_USUAL_CALL: u64 = 0xa0_0000_0000_0000;

/// Starts the program with these limits of memory, in MiB, and of descriptors, and one hub.
pub fn start_with_limits(hub: &AnsweringHub, memory_mb: usize, sockets: u32) -> Program {
    let targets = [site_config::target("s-0", &hub.address.to_string(), 0, "in_service")];
    start_with_hubs(&targets, memory_mb, sockets)
}

/// Starts the program with these limits of memory, in MiB, and of descriptors, and these hubs.
pub fn start_with_hubs(targets: &[String], memory_mb: usize, sockets: u32) -> Program {
    Program::launch(ephemeral_address(), targets, None, None, sockets, |text| {
        text.replace("\"sockets\":1024", &format!("\"sockets\":{sockets}"))
            .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"))
    })
}

/// A hub that answers the set-ups of usual callers and leaves all others open.
pub struct AnsweringHub {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Releases and give-ups received.
    pub releases: Arc<AtomicUsize>,
}

impl AnsweringHub {
    /// Starts it on a free port.
    pub fn start() -> AnsweringHub {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let releases = Arc::<AtomicUsize>::default();
        let hub = AnsweringHub { address, releases: releases.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let releases = releases.clone();
                thread::spawn(move || serve(stream, &releases));
            }
        });
        hub
    }
}

fn serve(mut stream: TcpStream, releases: &AtomicUsize) {
    let _ = stream.write_all(&encode(kind::STATE, 0, &[(code::REPORT, b"x0:9000;x1:10000;x2:5000")]));
    let (mut input, mut bytes) = (Vec::new(), [0; 64 * 1024]);
    loop {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return,
            Ok(count) => input.extend_from_slice(&bytes[..count]),
        }
        let mut used = 0;
        while let Some(read) = binary::parse(&input[used..]).expect("whole messages") {
            match read.kind {
                kind::SET_UP if read.call >= FIRST_USUAL_CALL => {
                    let answer = encode(kind::ANSWER, read.call, &[(code::DESCRIPTION, HUB_BODY)]);
                    let _ = stream.write_all(&answer);
                }
                kind::RELEASE => {
                    releases.fetch_add(1, Ordering::Relaxed);
                }
                _ => {}
            }
            used += read.bytes;
        }
        input.drain(..used);
    }
}

/// Samples the memory that the process holds of its own, without the pages of its files.
pub struct MemoryWatch {
    peak_kib: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    /// Starts to sample.
    pub fn start(program: &Program) -> MemoryWatch {
        let (peak_kib, ended) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let (peak, end, process) = (peak_kib.clone(), ended.clone(), program.child.id());
        let sampler = thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                peak.fetch_max(own_memory_kib(process), Ordering::Relaxed);
                thread::sleep(Duration::from_millis(5));
            }
        });
        MemoryWatch { peak_kib, ended, sampler: Some(sampler) }
    }

    /// The most that was seen, in KiB.
    pub fn peak_kib(&self) -> usize {
        self.peak_kib.load(Ordering::Relaxed)
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        let _ = self.sampler.take().map(JoinHandle::join);
    }
}

fn own_memory_kib(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// A set-up with further header lines, that the hub leaves open.
pub fn set_up_with(call: u64, more: &str) -> Vec<u8> {
    let more =
        format!("Call-Kind: voice\r\nAnswer-Within: 60000\r\nRouting-Data: dest:0;width:1;via:-1\r\n{more}");
    request("INVITE", call, &more, b"v=0 offer\r\n")
}

/// Connections that each send a part of a flood and read what comes back.
pub struct Flood {
    connections: Vec<(TcpStream, JoinHandle<bool>)>,
}

/// Call of the OPTIONS that ends each connection's part.
const LAST_CALL: u64 = 0xffff_ffff_ffff;

impl Flood {
    /// Opens `count` connections, of which each sends what `bytes` returns for its number, and then an OPTIONS.
    pub fn start(to: SocketAddr, count: usize, bytes: impl Fn(u64) -> Vec<u8>) -> Flood {
        let open = |number| {
            let stream = TcpStream::connect(to).expect("it listens");
            let (mut writer, reader) =
                (stream.try_clone().expect("cloned"), stream.try_clone().expect("cloned"));
            let bytes = [bytes(number), request("OPTIONS", LAST_CALL, "", b"")].concat();
            thread::spawn(move || writer.write_all(&bytes));
            (stream, thread::spawn(move || reads_last_response(reader)))
        };
        Flood { connections: (0..count as u64).map(open).collect() }
    }

    /// Waits until every connection has its last response, and closes them. Returns the number of connections that the
    /// program closed before.
    pub fn finish(self) -> usize {
        let closed = self.connections.into_iter().map(|(stream, reader)| {
            let finished = reader.join().expect("no panic");
            let _ = stream.shutdown(std::net::Shutdown::Both);
            usize::from(!finished)
        });
        closed.sum()
    }
}

/// Reads until the response to the last request; returns `false` if the connection is closed before.
fn reads_last_response(mut stream: TcpStream) -> bool {
    let last = format!("Call-ID: {LAST_CALL:016x}");
    let (mut input, mut bytes) = (Vec::new(), [0; 64 * 1024]);
    loop {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return false,
            Ok(count) => input.extend_from_slice(&bytes[..count]),
        }
        if input.windows(last.len()).any(|window| window == last.as_bytes()) {
            return true;
        }
        let kept = input.len().saturating_sub(last.len());
        input.drain(..kept);
    }
}
