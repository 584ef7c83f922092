//! The one way between started processes: a socket for each, at which all others reach it, and the faults of the
//! script on each directed pair.

use crate::script::{Act, Faults};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BinaryHeap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Datagrams under way at most; more are lost.
const UNDER_WAY: usize = 20_000;
/// Datagrams kept for those who play them again.
const RECORDED: usize = 500;

/// A datagram under way: when it is due, its number, which process it is for, and its bytes.
type UnderWay = std::cmp::Reverse<(Instant, u64, usize, Vec<u8>)>;

#[derive(Default)]
struct Shared {
    faults: Mutex<Faults>,
    /// Where each process takes datagrams, once it has said so.
    real: Mutex<Vec<Option<SocketAddr>>>,
    queue: Mutex<BinaryHeap<UnderWay>>,
    recorded: Mutex<Vec<(usize, Vec<u8>)>>,
    datagrams: AtomicU64,
    bytes: AtomicU64,
    numbered: AtomicU64,
    over: AtomicBool,
}

/// The proxy; its threads end with it.
pub struct Proxy {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Proxy {
    /// Sockets for so many processes, each on an address of its own under `net`.
    pub fn start(size: usize, net: [u8; 3], seed: u64) -> io::Result<Proxy> {
        let shared = Arc::new(Shared::default());
        shared.real.lock().expect("no panic elsewhere").resize(size, None);
        let (mut addresses, mut threads, mut sockets) = (Vec::new(), Vec::new(), Vec::new());
        for n in 0..size {
            let ip = IpAddr::V4(Ipv4Addr::new(net[0], net[1], net[2], 101 + n as u8));
            let socket = UdpSocket::bind((ip, 0))?;
            socket.set_read_timeout(Some(Duration::from_millis(50)))?;
            addresses.push(socket.local_addr()?);
            sockets.push(socket.try_clone()?);
            let shared = shared.clone();
            threads.push(thread::spawn(move || take(&shared, &socket, n, seed)));
        }
        let carrier = shared.clone();
        threads.push(thread::spawn(move || carry(&carrier, &sockets)));
        Ok(Proxy { shared, addresses, threads })
    }

    /// Where others reach a process.
    pub fn address(&self, n: usize) -> SocketAddr {
        self.addresses[n]
    }

    /// Says where a process takes datagrams.
    pub fn is_at(&self, n: usize, real: Option<SocketAddr>) {
        self.shared.real.lock().expect("no panic elsewhere")[n] = real;
    }

    /// Takes up a fault on the network; `false` for one on processes.
    pub fn take(&self, act: &Act) -> bool {
        self.shared.faults.lock().expect("no panic elsewhere").take(act)
    }

    /// Datagrams and bytes that processes sent so far.
    pub fn sent(&self) -> (u64, u64) {
        (self.shared.datagrams.load(Ordering::Relaxed), self.shared.bytes.load(Ordering::Relaxed))
    }

    /// The first datagrams of the run, with whom they were for.
    pub fn recorded(&self) -> Vec<(usize, Vec<u8>)> {
        self.shared.recorded.lock().expect("no panic elsewhere").clone()
    }

    /// Sends a process bytes as if they had come over the network.
    pub fn inject(&self, n: usize, bytes: Vec<u8>) {
        push(&self.shared, Instant::now(), n, bytes);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

fn push(shared: &Shared, due: Instant, n: usize, bytes: Vec<u8>) {
    let mut queue = shared.queue.lock().expect("no panic elsewhere");
    if queue.len() < UNDER_WAY {
        let number = shared.numbered.fetch_add(1, Ordering::Relaxed);
        queue.push(std::cmp::Reverse((due, number, n, bytes)));
    }
}

/// Takes what others send to a process, and lets the faults decide.
fn take(shared: &Shared, socket: &UdpSocket, n: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed << 16 ^ n as u64);
    let mut buffer = [0; 2048];
    while !shared.over.load(Ordering::Relaxed) {
        let Ok((length, source)) = socket.recv_from(&mut buffer) else { continue };
        let real = shared.real.lock().expect("no panic elsewhere");
        let Some(from) = real.iter().position(|r| *r == Some(source)) else { continue };
        drop(real);
        shared.datagrams.fetch_add(1, Ordering::Relaxed);
        shared.bytes.fetch_add(length as u64, Ordering::Relaxed);
        let mut recorded = shared.recorded.lock().expect("no panic elsewhere");
        if recorded.len() < RECORDED {
            recorded.push((n, buffer[..length].to_vec()));
        }
        drop(recorded);
        let fate = shared.faults.lock().expect("no panic elsewhere").fate(from, n, &mut rng);
        for after in fate {
            push(shared, Instant::now() + Duration::from_micros(after), n, buffer[..length].to_vec());
        }
    }
}

/// Delivers what is due.
fn carry(shared: &Shared, sockets: &[UdpSocket]) {
    while !shared.over.load(Ordering::Relaxed) {
        let mut queue = shared.queue.lock().expect("no panic elsewhere");
        let due = queue.peek().is_some_and(|next| next.0 .0 <= Instant::now());
        let next = if due { queue.pop() } else { None };
        drop(queue);
        match next {
            Some(std::cmp::Reverse((_, _, n, bytes))) => {
                let real = shared.real.lock().expect("no panic elsewhere")[n];
                if let Some(real) = real {
                    let _ = sockets[n].send_to(&bytes, real);
                }
            }
            None => thread::sleep(Duration::from_micros(500)),
        }
    }
}
