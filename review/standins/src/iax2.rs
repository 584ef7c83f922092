//! An IAX2 hub (RFC 5456): accepts and answers each call, and answers PING. It knows nothing of calls that an earlier
//! process had, and says so with INVAL.

use crate::{now_us, Record};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};

const IAX: u8 = 6;
const CONTROL: u8 = 4;
const NEW: u8 = 1;
const PING: u8 = 2;
const PONG: u8 = 3;
const ACK: u8 = 4;
const HANGUP: u8 = 5;
const ACCEPT: u8 = 7;
const INVAL: u8 = 10;
const VNAK: u8 = 18;
const ANSWER: u8 = 4;

struct Call {
    number: u16,
    oseq: u8,
    iseq: u8,
}

fn frame(
    source: u16,
    destination: u16,
    timestamp: u32,
    oseq: u8,
    iseq: u8,
    kind: u8,
    subclass: u8,
    data: &[u8],
) -> Vec<u8> {
    let mut out = (source | 0x8000).to_be_bytes().to_vec();
    out.extend(destination.to_be_bytes());
    out.extend(timestamp.to_be_bytes());
    out.extend([oseq, iseq, kind, subclass]);
    out.extend(data);
    out
}

/// Serves calls at a port until the process is killed. `first` is the first call number that it uses.
pub fn serve(port: u16, first: u16, record: &Record) -> ! {
    let socket = UdpSocket::bind(("127.0.0.1", port)).expect("the port is free");
    println!("ready");
    let mut calls: HashMap<(SocketAddr, u16), Call> = HashMap::new();
    let (mut next, start) = (first, now_us());
    let mut datagram = [0; 4096];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut datagram) else { continue };
        if length < 12 || datagram[0] & 0x80 == 0 {
            continue;
        }
        let word = |at: usize| u16::from_be_bytes([datagram[at], datagram[at + 1]]) & 0x7fff;
        let (source, destination) = (word(0), word(2));
        let timestamp = u32::from_be_bytes(datagram[4..8].try_into().unwrap());
        let (oseq, kind, subclass) = (datagram[8], datagram[10], datagram[11]);
        if kind == IAX && matches!(subclass, ACK | INVAL | VNAK) {
            continue;
        }
        let key = (from, source);
        if kind == IAX && subclass == NEW && destination == 0 && !calls.contains_key(&key) {
            next += 1;
            record.line(&format!("IAX2 hub: NEW, call number {next}"));
            let ms = ((now_us() - start) / 1000) as u32;
            let _ = socket.send_to(&frame(next, source, timestamp, 0, 1, IAX, ACK, &[]), from);
            let _ =
                socket.send_to(&frame(next, source, ms + 1, 0, 1, IAX, ACCEPT, &[9, 4, 0, 0, 0, 4]), from);
            let _ = socket.send_to(&frame(next, source, ms + 2, 1, 1, CONTROL, ANSWER, &[]), from);
            calls.insert(key, Call { number: next, oseq: 2, iseq: 1 });
            continue;
        }
        let Some(call) = calls.get_mut(&key).filter(|c| destination == c.number || destination == 0) else {
            record.line(&format!("IAX2 hub: frame {kind}/{subclass} of an unknown call: INVAL"));
            let _ = socket.send_to(
                &frame(destination.max(1), source, timestamp, 0, oseq.wrapping_add(1), IAX, INVAL, &[]),
                from,
            );
            continue;
        };
        if oseq == call.iseq {
            call.iseq = call.iseq.wrapping_add(1);
        }
        let (number, iseq) = (call.number, call.iseq);
        if kind == IAX && subclass == PING {
            let _ = socket.send_to(&frame(number, source, timestamp, call.oseq, iseq, IAX, PONG, &[]), from);
            call.oseq = call.oseq.wrapping_add(1);
        } else {
            let _ = socket.send_to(&frame(number, source, timestamp, call.oseq, iseq, IAX, ACK, &[]), from);
        }
        if kind == IAX && subclass == HANGUP {
            record.line(&format!("IAX2 hub: HANGUP of call number {number}"));
            calls.remove(&key);
        }
    }
}
