//! Tests of the SIP server in the test process: requests that a starved process reads after their timeouts, and the
//! count of outstanding work for which a shutdown waits.

#[path = "common/sip_test_server.rs"]
mod sip_test_server;

use petreldock::core::*;
use petreldock::interface::Micros;
use sip_test_server::{request, TestServer, WAIT_TIMEOUT};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use tokio::time::timeout;

#[tokio::test]
async fn a_set_up_received_before_a_timeout_is_not_lost_if_it_is_read_after_it() {
    const CALLERS_OF_EACH_KIND: u64 = 12;
    let mut server = TestServer::start().await;
    let mut callers = Vec::new();
    for call in 0..CALLERS_OF_EACH_KIND {
        // One kind of caller has sent a whole request and is idle from then on; the other has sent part of its first.
        callers.push((call * 2 + 1, server.connect_caller(false).await, request("INVITE", call * 2 + 1)));
        let rest = request("OPTIONS", 0)[20..].to_string() + &request("INVITE", call * 2 + 2);
        callers.push((call * 2 + 2, server.connect_caller(true).await, rest));
    }
    for (_, stream, text) in &mut callers {
        stream.write_all(text.as_bytes()).expect("written");
    }
    // Blocks the runtime for longer than the connections' timeouts, so that all have expired when it runs again.
    std::thread::sleep(Duration::from_millis(5_200));
    let mut received = Vec::new();
    for _ in 0..2 * CALLERS_OF_EACH_KIND {
        received.push(server.next_offer().await.call.0);
    }
    received.sort_unstable();
    assert_eq!(received, (1..=2 * CALLERS_OF_EACH_KIND).collect::<Vec<_>>());
}

#[tokio::test]
async fn a_set_up_is_outstanding_until_its_response_is_written_or_its_caller_disconnects() {
    let mut server = TestServer::start().await;
    let mut callers = Vec::new();
    for call in 1..=3 {
        let mut stream = server.connect_caller(false).await;
        stream.write_all(request("INVITE", call).as_bytes()).expect("written");
        callers.push((stream, server.next_offer().await));
    }
    let count_becomes = |count: usize| {
        let outstanding = server.outstanding.clone();
        async move {
            while outstanding.count() != count {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    };
    timeout(WAIT_TIMEOUT, count_becomes(3)).await.expect("three set-ups");
    let (stream, offer) = callers.pop().expect("three");
    server.messages.send(ToFront::Refuse(offer.origin, offer.call, Micros(0))).await.expect("taken");
    timeout(WAIT_TIMEOUT, count_becomes(2)).await.expect("one is answered");
    let mut bytes = Vec::new();
    stream.set_nonblocking(false).expect("set");
    stream.set_read_timeout(Some(Duration::from_millis(500))).expect("set");
    let _ = (&stream).read_to_end(&mut bytes);
    assert!(bytes.starts_with(b"SIP/2.0 503"), "and its refusal is written");
    callers.clear();
    timeout(WAIT_TIMEOUT, count_becomes(0)).await.expect("the others disconnected");
}

/// Length of a description at which the socket buffers hold only a few answers that are not read, in bytes.
const LONG_DESCRIPTION_LENGTH: usize = 12 * 1024;

impl TestServer {
    /// Answers one call after another of a caller that reads nothing, until an answer remains partially written.
    /// Returns the number of answers.
    async fn answer_until_blocked(&mut self, mut stream: &TcpStream) -> u64 {
        let bytes = bytes::Bytes::from(vec![b'v'; LONG_DESCRIPTION_LENGTH]);
        let mut call = 0;
        while self.outstanding.count() == 0 {
            call += 1;
            assert!(call < 5_000, "the socket buffers never fill up");
            stream.write_all(request("INVITE", call).as_bytes()).expect("room");
            let offer = self.next_offer().await;
            let description = Description { format: petreldock::net::SDP, bytes: bytes.clone() };
            let answer = ToFront::Answer(offer.origin, offer.call, description);
            self.messages.send(answer).await.expect("taken");
            let start = std::time::Instant::now();
            while self.outstanding.count() > 0 && start.elapsed() < Duration::from_millis(100) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        call
    }
}

#[tokio::test]
async fn a_call_whose_answer_was_not_written_completely_is_hung_up_on_disconnect() {
    let mut server = TestServer::start().await;
    let stream = server.connect_caller(false).await;
    let last = server.answer_until_blocked(&stream).await;
    // The caller disconnects. Only the last answer was not written completely.
    drop(stream);
    let input = timeout(WAIT_TIMEOUT, server.inputs.recv()).await.expect("in time");
    assert!(matches!(input, Some(Input::Hangup(_, CallName(c), Cause::NORMAL)) if c == last), "{input:?}");
    let more = timeout(Duration::from_millis(100), server.inputs.recv()).await;
    assert!(more.is_err(), "{more:?}");
}

#[tokio::test]
async fn a_partially_written_answer_is_outstanding_until_its_last_byte_is_written() {
    let mut server = TestServer::start().await;
    let mut stream = server.connect_caller(false).await;
    let last = server.answer_until_blocked(&stream).await;
    let (mut read, mut bytes) = (Vec::new(), [0; 4096]);
    while server.outstanding.count() > 0 || read.len() < last as usize * LONG_DESCRIPTION_LENGTH {
        match stream.read(&mut bytes) {
            Ok(count) if count > 0 => read.extend_from_slice(&bytes[..count]),
            Ok(_) => panic!("closed with {} bytes read", read.len()),
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
    assert_eq!(
        read.windows(12).filter(|w| w == b"SIP/2.0 200 ").count() as u64,
        last,
        "all answers are complete"
    );
}

#[tokio::test]
async fn a_partial_request_is_outstanding() {
    let mut server = TestServer::start().await;
    let mut stream = server.connect_caller(false).await;
    let text = request("INVITE", 1);
    let (half, rest) = text.split_at(50);
    stream.write_all(half.as_bytes()).expect("written");
    let counted = async {
        while server.outstanding.count() != 1 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(WAIT_TIMEOUT, counted).await.expect("the partial request counts");
    stream.write_all(rest.as_bytes()).expect("written");
    assert_eq!(server.next_offer().await.call, CallName(1));
    assert_eq!(server.outstanding.count(), 1, "the open set-up counts now");
}
