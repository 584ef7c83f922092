//! The change log's poller over loopback: stalled and truncated responses, and the event from which it resumes.

#[path = "common/site_config.rs"]
mod site_config;

use petreldock::core::{Clock, HubListUpdate, Input};
use petreldock::interface::Micros;
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
/// Maximum number of polls in progress: four that are overdue, and the latest one.
const MAX_POLLS: usize = 5;

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

/// Time after which the change log sends a response that it need not hold back.
const FIRST_RESPONSE_DELAY: Duration = Duration::from_millis(50);

#[tokio::test]
async fn first_poll_requests_no_hold_and_events_count_from_their_earliest_publication() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (_address, addresses) = watch::channel(listener.local_addr().ok());
    let (inputs, mut core) = mpsc::channel(16);
    let clock = Clock::system();
    let started = clock.now();
    tokio::spawn(change_log_poller::run(addresses, 1, 7, clock, inputs));
    let (mut stream, text) = accept_request(&listener).await;
    assert!(text.contains("timeout=0 "), "{text}");
    let no_events = r#"{"seq":1,"results":[]}"#;
    tokio::time::sleep(FIRST_RESPONSE_DELAY).await;
    stream.write_all(response(no_events).as_bytes()).await.expect("written");
    assert!(matches!(timeout(TEST_TIMEOUT, core.recv()).await, Ok(Some(Input::ChangeLogCurrent))));
    // The next response may have been underway for as long as this one, which was not held back.
    let max_lateness = clock.now() - started;
    let text = read_request(&mut stream).await;
    assert!(!text.contains("timeout=0 "), "later polls request a hold: {text}");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let held_until = clock.now();
    let event = site_config::event(2, false, &[site_config::target("b", "10.0.0.2:1", 1, "terminating")]);
    let held_response = response(&format!(r#"{{"seq":2,"results":[{event}]}}"#));
    stream.write_all(held_response.as_bytes()).await.expect("written");
    let input = timeout(TEST_TIMEOUT, core.recv()).await.expect("an input in time");
    let Some(Input::HubList(HubListUpdate { effective_since, .. })) = input else { panic!("{input:?}") };
    let earliest = held_until - max_lateness;
    assert!(effective_since >= earliest, "a response that was held back contains only new events");
    let latest = clock.now() - Micros(FIRST_RESPONSE_DELAY.as_micros() as u64);
    assert!(effective_since <= latest, "the change log's lateness counts");
}

/// Answers the polls of one connection with the events of a shared list, each answer later than a prompt one.
async fn serve_late(mut stream: TcpStream, lateness: Duration, mut events: watch::Receiver<Vec<String>>) {
    loop {
        let mut text = String::new();
        let mut bytes = [0; 512];
        while !text.ends_with("\r\n\r\n") {
            match stream.read(&mut bytes).await {
                Ok(count @ 1..) => text.push_str(std::str::from_utf8(&bytes[..count]).expect("UTF-8")),
                _ => return,
            }
        }
        let number = |name: &str| -> u64 {
            let rest = text.split(name).nth(1).expect("a parameter");
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().expect("a number")
        };
        let (since, hold) = (number("since="), Duration::from_millis(number("timeout=")));
        let has_news = |events: &Vec<String>| events.len() as u64 + 1 > since;
        let _ = timeout(hold, events.wait_for(has_news)).await;
        tokio::time::sleep(lateness).await;
        let news = events.borrow()[since as usize - 1..].to_vec();
        let body = format!(r#"{{"seq":{},"results":[{}]}}"#, since + news.len() as u64, news.join(","));
        if stream.write_all(response(&body).as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Runs the poller against a change log whose responses are late, and publishes an event.
async fn assert_late_change_log_is_heard(lateness: Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (_address, addresses) = watch::channel(listener.local_addr().ok());
    let (inputs, mut core) = mpsc::channel(16);
    let (events, published) = watch::channel(Vec::new());
    let clock = Clock::system();
    tokio::spawn(change_log_poller::run(addresses, 1, 7, clock, inputs));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_late(stream, lateness, published.clone()));
        }
    });
    let current = timeout(lateness + TEST_TIMEOUT, core.recv()).await;
    assert!(matches!(current, Ok(Some(Input::ChangeLogCurrent))), "{lateness:?} late: {current:?}");
    let target = site_config::target("b", "10.0.0.2:1", 1, "terminating");
    let published_at = clock.now();
    events.send_replace(vec![site_config::event(2, false, &[target])]);
    let input = timeout(2 * lateness + TEST_TIMEOUT, core.recv()).await;
    let Ok(Some(Input::HubList(HubListUpdate { effective_since, .. }))) = input else {
        panic!("{lateness:?} late: {input:?}")
    };
    let half_of_the_lateness = Micros(lateness.as_micros() as u64 / 2);
    assert!(
        effective_since < published_at + half_of_the_lateness,
        "{lateness:?} late: the event counts from its publication and not from its arrival"
    );
}

// Guards against a change log that is never heard because each of its responses is later than a fixed limit.
#[tokio::test]
async fn a_change_log_is_heard_however_late_its_responses_are() {
    tokio::join!(
        assert_late_change_log_is_heard(Duration::from_millis(1_000)),
        assert_late_change_log_is_heard(Duration::from_millis(4_500)),
        assert_late_change_log_is_heard(Duration::from_secs(12)),
    );
}

// Guards against a change log that is never heard because the parts of a response come too slowly.
#[tokio::test]
async fn a_response_that_arrives_in_parts_over_four_seconds_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (_address, addresses) = watch::channel(listener.local_addr().ok());
    let (inputs, mut core) = mpsc::channel(16);
    tokio::spawn(change_log_poller::run(addresses, 1, 7, Clock::system(), inputs));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                read_request(&mut stream).await;
                let event = site_config::event(2, false, &[]);
                let response = response(&format!(r#"{{"seq":2,"results":[{event}]}}"#));
                for part in response.as_bytes().chunks(response.len() / 4) {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                    if stream.write_all(part).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    let input = timeout(TEST_TIMEOUT, core.recv()).await;
    assert!(matches!(input, Ok(Some(Input::HubList(_)))), "{input:?}");
}

#[tokio::test]
async fn polls_of_a_change_log_that_never_responds_are_bounded() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (_address, addresses) = watch::channel(listener.local_addr().ok());
    let (inputs, core) = mpsc::channel(16);
    tokio::spawn(change_log_poller::run(addresses, 1, 7, Clock::system(), inputs));
    let mut polls = Vec::new();
    for _ in 0..MAX_POLLS + 4 {
        polls.push(accept_poll(&listener).await.0);
    }
    let mut open = 0;
    for poll in &mut polls {
        let mut byte = [0];
        let is_open = timeout(Duration::from_millis(100), poll.read(&mut byte)).await.is_err();
        open += usize::from(is_open);
    }
    assert!(open <= MAX_POLLS, "{open} polls are open");
    // The poller ends with the core, and with it all polls.
    drop(core);
    for poll in &mut polls {
        let closed = timeout(TEST_TIMEOUT, poll.read(&mut [0])).await.expect("in time");
        assert!(matches!(closed, Ok(0) | Err(_)));
    }
}
