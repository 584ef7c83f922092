//! UDP proxy between the processes of a fleet. Each process has one proxy socket, whose address is the only one the
//! others know; the proxy applies the script's faults to each directed pair of processes.

use crate::script::{FaultAction, NetworkFaults};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BinaryHeap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upper bound of datagrams waiting for delivery; more are dropped.
const MAX_IN_FLIGHT_DATAGRAMS: usize = 20_000;
/// Upper bound of datagrams recorded for replay.
const MAX_RECORDED_DATAGRAMS: usize = 500;

/// A datagram waiting for delivery: when it is due, its sequence number, the receiving process, and its bytes.
type InFlightDatagram = std::cmp::Reverse<(Instant, u64, usize, Vec<u8>)>;

/// State shared with the threads.
#[derive(Default)]
struct Shared {
    faults: Mutex<NetworkFaults>,
    /// The address at which each process receives datagrams, once its log has shown it.
    process_addresses: Mutex<Vec<Option<SocketAddr>>>,
    queue: Mutex<BinaryHeap<InFlightDatagram>>,
    recorded: Mutex<Vec<(usize, Vec<u8>)>>,
    datagrams: AtomicU64,
    bytes: AtomicU64,
    next_sequence: AtomicU64,
    stopped: AtomicBool,
}

/// A running proxy; its threads end when it is dropped.
pub struct Proxy {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Proxy {
    /// Binds a socket for each of `size` processes, on its own address under the /24 prefix `subnet`, and starts the
    /// threads.
    pub fn start(size: usize, subnet: [u8; 3], seed: u64) -> io::Result<Proxy> {
        let shared = Arc::new(Shared::default());
        shared.process_addresses.lock().expect("lock is not poisoned").resize(size, None);
        let (mut addresses, mut threads, mut sockets) = (Vec::new(), Vec::new(), Vec::new());
        for n in 0..size {
            let ip = IpAddr::V4(Ipv4Addr::new(subnet[0], subnet[1], subnet[2], 101 + n as u8));
            let socket = UdpSocket::bind((ip, 0))?;
            socket.set_read_timeout(Some(Duration::from_millis(50)))?;
            addresses.push(socket.local_addr()?);
            sockets.push(socket.try_clone()?);
            let shared = shared.clone();
            threads.push(thread::spawn(move || receive_datagrams(&shared, &socket, n, seed)));
        }
        let delivery = shared.clone();
        threads.push(thread::spawn(move || deliver_datagrams(&delivery, &sockets)));
        Ok(Proxy { shared, addresses, threads })
    }

    /// The proxy address at which other processes reach a process.
    pub fn address(&self, n: usize) -> SocketAddr {
        self.addresses[n]
    }

    /// Sets the address at which a process receives datagrams; `None` when it does not run.
    pub fn set_process_address(&self, n: usize, address: Option<SocketAddr>) {
        self.shared.process_addresses.lock().expect("lock is not poisoned")[n] = address;
    }

    /// Applies a network action; returns `false` for an action on processes.
    pub fn apply(&self, action: &FaultAction) -> bool {
        self.shared.faults.lock().expect("lock is not poisoned").apply(action)
    }

    /// Datagrams and bytes that the processes have sent so far.
    pub fn sent(&self) -> (u64, u64) {
        (self.shared.datagrams.load(Ordering::Relaxed), self.shared.bytes.load(Ordering::Relaxed))
    }

    /// The first datagrams of the run, each with the index of the receiving process.
    pub fn recorded(&self) -> Vec<(usize, Vec<u8>)> {
        self.shared.recorded.lock().expect("lock is not poisoned").clone()
    }

    /// Delivers bytes to a process as if another process had sent them.
    pub fn inject(&self, n: usize, bytes: Vec<u8>) {
        enqueue(&self.shared, Instant::now(), n, bytes);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

/// Queues a datagram for delivery, unless the queue is full.
fn enqueue(shared: &Shared, due: Instant, n: usize, bytes: Vec<u8>) {
    let mut queue = shared.queue.lock().expect("lock is not poisoned");
    if queue.len() < MAX_IN_FLIGHT_DATAGRAMS {
        let sequence = shared.next_sequence.fetch_add(1, Ordering::Relaxed);
        queue.push(std::cmp::Reverse((due, sequence, n, bytes)));
    }
}

/// Receives the datagrams that others send to a process, and queues each by the faults in effect. Datagrams from an
/// unknown source are ignored.
fn receive_datagrams(shared: &Shared, socket: &UdpSocket, n: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed << 16 ^ n as u64);
    let mut buffer = [0; 2048];
    while !shared.stopped.load(Ordering::Relaxed) {
        let Ok((length, source)) = socket.recv_from(&mut buffer) else { continue };
        let addresses = shared.process_addresses.lock().expect("lock is not poisoned");
        let Some(from) = addresses.iter().position(|address| *address == Some(source)) else { continue };
        drop(addresses);
        shared.datagrams.fetch_add(1, Ordering::Relaxed);
        shared.bytes.fetch_add(length as u64, Ordering::Relaxed);
        let mut recorded = shared.recorded.lock().expect("lock is not poisoned");
        if recorded.len() < MAX_RECORDED_DATAGRAMS {
            recorded.push((n, buffer[..length].to_vec()));
        }
        drop(recorded);
        let delays = shared.faults.lock().expect("lock is not poisoned").delivery_delays(from, n, &mut rng);
        for delay_us in delays {
            enqueue(shared, Instant::now() + Duration::from_micros(delay_us), n, buffer[..length].to_vec());
        }
    }
}

/// Sends the datagrams that are due to their processes.
fn deliver_datagrams(shared: &Shared, sockets: &[UdpSocket]) {
    while !shared.stopped.load(Ordering::Relaxed) {
        let mut queue = shared.queue.lock().expect("lock is not poisoned");
        let due = queue.peek().is_some_and(|next| next.0 .0 <= Instant::now());
        let next = if due { queue.pop() } else { None };
        drop(queue);
        match next {
            Some(std::cmp::Reverse((_, _, n, bytes))) => {
                let address = shared.process_addresses.lock().expect("lock is not poisoned")[n];
                if let Some(address) = address {
                    let _ = sockets[n].send_to(&bytes, address);
                }
            }
            None => thread::sleep(Duration::from_micros(500)),
        }
    }
}
