//! The change log's poller over loopback: stalled and truncated responses, and the event from which it resumes.

#[path = "common/site_config.rs"]
mod site_config;

use petreldock::core::{Clock, HubListUpdate, Input};
use petreldock::net::change_log_poller;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Instant};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Within this a stalled response must be detected. The requested hold and the I/O timeout are 1.75 s together; an
/// earlier version took 7 s.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(5);

fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Accepts the next poll and returns its connection and its text.
async fn accept_request(listener: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) =
        timeout(TEST_TIMEOUT, listener.accept()).await.expect("a poll in time").expect("accepted");
    let text = read_request(&mut stream).await;
    (stream, text)
}

async fn read_request(stream: &mut TcpStream) -> String {
    let (mut text, mut bytes) = (String::new(), [0; 512]);
    while !text.ends_with("\r\n\r\n") {
        let count =
            timeout(TEST_TIMEOUT, stream.read(&mut bytes)).await.expect("a request in time").expect("open");
        text.push_str(std::str::from_utf8(&bytes[..count]).expect("UTF-8"));
    }
    text
}

/// Accepts the next poll and returns its connection and the event after which it asks.
async fn accept_poll(listener: &TcpListener) -> (TcpStream, u64) {
    let (stream, text) = accept_request(listener).await;
    let since = text.split("since=").nth(1).and_then(|t| t.split('&').next()).expect("since");
    (stream, since.parse().expect("a number"))
}

#[tokio::test]
async fn stalled_and_truncated_responses_are_polled_again_from_the_last_event() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (_address, addresses) = watch::channel(listener.local_addr().ok());
    let (inputs, mut core) = mpsc::channel(16);
    let clock = Clock::system();
    tokio::spawn(change_log_poller::run(addresses, 1, 7, clock, inputs));
    let event = site_config::event(2, false, &[site_config::target("b", "10.0.0.2:1", 1, "in_service")]);
    let response = response(&format!(r#"{{"seq":2,"results":[{event}]}}"#));
    let start = Instant::now();
    // The first poll gets no response and the second stalls in the middle of the event; both connections stay open.
    let (_silent, since) = accept_poll(&listener).await;
    let first_poll_at = clock.now();
    assert_eq!(since, 1);
    let (mut stalled, since) = accept_poll(&listener).await;
    assert_eq!(since, 1);
    stalled.write_all(&response.as_bytes()[..response.len() - 30]).await.expect("written");
    // The third is closed in the middle of the event.
    let (mut truncated, since) = accept_poll(&listener).await;
    assert_eq!(since, 1, "an incomplete event must not be taken for read");
    assert!(start.elapsed() < MAX_DETECTION_TIME, "{:?}", start.elapsed());
    truncated.write_all(&response.as_bytes()[..response.len() - 30]).await.expect("written");
    drop(truncated);
    let (mut complete, since) = accept_poll(&listener).await;
    assert_eq!(since, 1);
    assert!(core.try_recv().is_err());
    complete.write_all(response.as_bytes()).await.expect("written");
    let input = timeout(TEST_TIMEOUT, core.recv()).await.expect("an input in time");
    let Some(Input::HubList(HubListUpdate { full: false, hubs, effective_since, .. })) = input else {
        panic!("{input:?}")
    };
    assert_eq!(hubs.len(), 1);
    assert!(
        effective_since <= first_poll_at,
        "the event may have been published before the first failed poll"
    );
    assert!(matches!(timeout(TEST_TIMEOUT, core.recv()).await, Ok(Some(Input::ChangeLogCurrent))));
    drop(complete);
    assert_eq!(accept_poll(&listener).await.1, 2);
}

#[tokio::test]
async fn first_poll_requests_no_hold_and_events_count_from_their_earliest_publication() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (_address, addresses) = watch::channel(listener.local_addr().ok());
    let (inputs, mut core) = mpsc::channel(16);
    let clock = Clock::system();
    tokio::spawn(change_log_poller::run(addresses, 1, 7, clock, inputs));
    let (mut stream, text) = accept_request(&listener).await;
    assert!(text.contains("timeout=0 "), "{text}");
    let no_events = r#"{"seq":1,"results":[]}"#;
    stream.write_all(response(no_events).as_bytes()).await.expect("written");
    assert!(matches!(timeout(TEST_TIMEOUT, core.recv()).await, Ok(Some(Input::ChangeLogCurrent))));
    let text = read_request(&mut stream).await;
    assert!(!text.contains("timeout=0 "), "later polls request a hold: {text}");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let held_until = clock.now();
    let event = site_config::event(2, false, &[site_config::target("b", "10.0.0.2:1", 1, "terminating")]);
    let held_response = response(&format!(r#"{{"seq":2,"results":[{event}]}}"#));
    stream.write_all(held_response.as_bytes()).await.expect("written");
    let input = timeout(TEST_TIMEOUT, core.recv()).await.expect("an input in time");
    let Some(Input::HubList(HubListUpdate { effective_since, .. })) = input else { panic!("{input:?}") };
    assert!(effective_since >= held_until, "a response that was held back contains only new events");
}
