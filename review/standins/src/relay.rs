//! A TCP relay between a caller and a session controller, which can end the connections that it carries.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    pairs: Arc<Mutex<Vec<(TcpStream, TcpStream)>>>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Relay { address: listener.local_addr().unwrap(), pairs: Arc::default() };
        let serving = relay.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let copy = |s: &TcpStream| s.try_clone().unwrap();
                let (a, b) = ((copy(&near), copy(&far)), (copy(&far), copy(&near)));
                std::thread::spawn(move || pass(a.0, a.1));
                std::thread::spawn(move || pass(b.0, b.1));
                serving.pairs.lock().unwrap().push((near, far));
            }
        });
        relay
    }

    /// Ends all connections that it carries at present.
    pub fn end_connections(&self) {
        for (near, far) in self.pairs.lock().unwrap().drain(..) {
            let _ = far.shutdown(Shutdown::Both);
            let _ = near.shutdown(Shutdown::Both);
        }
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0; 16384];
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// A relay whose messages towards the one that connected arrive in two pieces with a pause in between.
pub fn start_splitting(to: SocketAddr, gap_ms: Arc<std::sync::atomic::AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (a, b) = (near.try_clone().unwrap(), far.try_clone().unwrap());
            std::thread::spawn(move || pass(a, b));
            let gap_ms = gap_ms.clone();
            std::thread::spawn(move || {
                let (mut from, mut to) = (far, near);
                let mut chunk = [0; 16384];
                while let Ok(count) = from.read(&mut chunk) {
                    let gap = gap_ms.load(std::sync::atomic::Ordering::Relaxed);
                    let first = if gap > 0 { count / 2 } else { 0 };
                    if count == 0 || to.write_all(&chunk[..first]).is_err() {
                        break;
                    }
                    if gap > 0 {
                        crate::sleep_ms(gap);
                    }
                    if to.write_all(&chunk[first..count]).is_err() {
                        break;
                    }
                }
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            });
        }
    });
    address
}
