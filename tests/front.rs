//! The SIP server on a starved processor, and what it owes its callers.

#[path = "front/server.rs"]
mod server;

use petreldock::core::*;
use petreldock::interface::Micros;
use server::{message, TestServer, PATIENCE};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use tokio::time::timeout;

#[tokio::test]
async fn a_set_up_that_came_before_its_connections_time_was_up_is_taken_however_late_it_is_read() {
    const EACH: u64 = 12;
    let mut server = TestServer::start().await;
    let mut callers = Vec::new();
    for call in 0..EACH {
        // Half have said all of a message and are idle from then on, half are in the midst of their first.
        callers.push((call * 2 + 1, server.caller(false).await, message("INVITE", call * 2 + 1)));
        let rest = message("OPTIONS", 0)[20..].to_string() + &message("INVITE", call * 2 + 2);
        callers.push((call * 2 + 2, server.caller(true).await, rest));
    }
    for (_, stream, text) in &mut callers {
        stream.write_all(text.as_bytes()).expect("written");
    }
    // The processor goes elsewhere for longer than any limit: all of them are over when it is back.
    std::thread::sleep(Duration::from_millis(5_200));
    let mut came = Vec::new();
    for _ in 0..2 * EACH {
        came.push(server.offer().await.call.0);
    }
    came.sort_unstable();
    assert_eq!(came, (1..=2 * EACH).collect::<Vec<_>>());
}

#[tokio::test]
async fn what_is_owed_counts_until_it_is_written_or_its_caller_is_gone() {
    let mut server = TestServer::start().await;
    let mut callers = Vec::new();
    for call in 1..=3 {
        let mut stream = server.caller(false).await;
        stream.write_all(message("INVITE", call).as_bytes()).expect("written");
        callers.push((stream, server.offer().await));
    }
    let counts = |count: usize| {
        let owed = server.owed.clone();
        async move {
            while owed.count() != count {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    };
    timeout(PATIENCE, counts(3)).await.expect("three set-ups");
    let (stream, offer) = callers.pop().expect("three");
    server.answers.send(ToFront::Refuse(offer.origin, offer.call, Micros(0))).await.expect("taken");
    timeout(PATIENCE, counts(2)).await.expect("one is answered");
    let mut bytes = Vec::new();
    stream.set_nonblocking(false).expect("set");
    stream.set_read_timeout(Some(Duration::from_millis(500))).expect("set");
    let _ = (&stream).read_to_end(&mut bytes);
    assert!(bytes.starts_with(b"SIP/2.0 503"), "... and its answer is written");
    callers.clear();
    timeout(PATIENCE, counts(0)).await.expect("the others are gone");
}

/// Answers so long that the sockets take few of them before the caller reads.
const LONG: usize = 12 * 1024;

impl TestServer {
    /// Answers call after call of a caller that reads nothing, till an answer stays half written; how many.
    async fn answer_till_it_sticks(&mut self, mut stream: &TcpStream) -> u64 {
        let bytes = bytes::Bytes::from(vec![b'v'; LONG]);
        let mut call = 0;
        while self.owed.count() == 0 {
            call += 1;
            assert!(call < 5_000, "the sockets take all");
            stream.write_all(message("INVITE", call).as_bytes()).expect("room");
            let offer = self.offer().await;
            let description = Description { format: petreldock::net::SDP, bytes: bytes.clone() };
            let answer = ToFront::Answer(offer.origin, offer.call, description);
            self.answers.send(answer).await.expect("taken");
            let start = std::time::Instant::now();
            while self.owed.count() > 0 && start.elapsed() < Duration::from_millis(100) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        call
    }
}

#[tokio::test]
async fn an_answer_that_its_caller_never_got_whole_is_released_at_its_hub() {
    let mut server = TestServer::start().await;
    let stream = server.caller(false).await;
    let last = server.answer_till_it_sticks(&stream).await;
    // It leaves: the last one is nobody's, and of the others all was written.
    drop(stream);
    let input = timeout(PATIENCE, server.inputs.recv()).await.expect("in time");
    assert!(matches!(input, Some(Input::Hangup(_, CallName(c), Cause::NORMAL)) if c == last), "{input:?}");
    let more = timeout(Duration::from_millis(100), server.inputs.recv()).await;
    assert!(more.is_err(), "{more:?}");
}

#[tokio::test]
async fn an_answer_half_written_to_a_slow_reader_is_owed_until_its_last_byte_is_out() {
    let mut server = TestServer::start().await;
    let mut stream = server.caller(false).await;
    let last = server.answer_till_it_sticks(&stream).await;
    let (mut read, mut bytes) = (Vec::new(), [0; 4096]);
    while server.owed.count() > 0 || read.len() < last as usize * LONG {
        match stream.read(&mut bytes) {
            Ok(count) if count > 0 => read.extend_from_slice(&bytes[..count]),
            Ok(_) => panic!("closed with {} bytes read", read.len()),
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
    assert_eq!(read.windows(12).filter(|w| w == b"SIP/2.0 200 ").count() as u64, last, "each of them whole");
}

#[tokio::test]
async fn half_a_request_is_owed_its_rest() {
    let mut server = TestServer::start().await;
    let mut stream = server.caller(false).await;
    let text = message("INVITE", 1);
    let (half, rest) = text.split_at(50);
    stream.write_all(half.as_bytes()).expect("written");
    let counted = async {
        while server.owed.count() != 1 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(PATIENCE, counted).await.expect("it counts");
    stream.write_all(rest.as_bytes()).expect("written");
    assert_eq!(server.offer().await.call, CallName(1));
    assert_eq!(server.owed.count(), 1, "now the answer is");
}
