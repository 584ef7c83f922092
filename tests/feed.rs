//! The change log's poller over loopback: stops, answers cut off, and where it resumes.

#[path = "common/site.rs"]
mod site;

use petreldock::core::{Clock, HubListUpdate, Input};
use petreldock::net::feed;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
/// The hold asked for and the slack are 1.75 s; what went before was found out after 7 s.
const SOON: Duration = Duration::from_secs(5);

fn answer(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Takes the next poll: its connection and its text.
async fn request(listener: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = timeout(PATIENCE, listener.accept()).await.expect("asked").expect("accepted");
    let text = read(&mut stream).await;
    (stream, text)
}

async fn read(stream: &mut TcpStream) -> String {
    let (mut text, mut bytes) = (String::new(), [0; 512]);
    while !text.ends_with("\r\n\r\n") {
        let count = timeout(PATIENCE, stream.read(&mut bytes)).await.expect("in time").expect("open");
        text.push_str(std::str::from_utf8(&bytes[..count]).expect("text"));
    }
    text
}

/// Takes the next poll: its connection, and after which event it asks.
async fn poll(listener: &TcpListener) -> (TcpStream, u64) {
    let (stream, text) = request(listener).await;
    let since = text.split("since=").nth(1).and_then(|t| t.split('&').next()).expect("since");
    (stream, since.parse().expect("a number"))
}

#[tokio::test]
async fn stops_and_cuts_are_asked_anew_from_the_last_event_on() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (_address, addresses) = watch::channel(listener.local_addr().ok());
    let (inputs, mut news) = mpsc::channel(16);
    let clock = Clock::system();
    tokio::spawn(feed::run(addresses, 1, 7, clock, inputs));
    let event = site::event(2, false, &[site::target("b", "10.0.0.2:1", 1, "in_service")]);
    let answer = answer(&format!(r#"{{"seq":2,"results":[{event}]}}"#));
    let start = Instant::now();
    // One never answers, one stops in the middle of the event: both stay open.
    let (_silent, since) = poll(&listener).await;
    let first = clock.now();
    assert_eq!(since, 1);
    let (mut stopped, since) = poll(&listener).await;
    assert_eq!(since, 1);
    stopped.write_all(&answer.as_bytes()[..answer.len() - 30]).await.expect("written");
    // One breaks off there.
    let (mut cut, since) = poll(&listener).await;
    assert_eq!(since, 1, "half an event is none");
    assert!(start.elapsed() < SOON, "{:?}", start.elapsed());
    cut.write_all(&answer.as_bytes()[..answer.len() - 30]).await.expect("written");
    drop(cut);
    let (mut whole, since) = poll(&listener).await;
    assert_eq!(since, 1);
    assert!(news.try_recv().is_err());
    whole.write_all(answer.as_bytes()).await.expect("written");
    let input = timeout(PATIENCE, news.recv()).await.expect("in time");
    let Some(Input::HubList(HubListUpdate { full: false, hubs, effective_since: told, .. })) = input else {
        panic!("{input:?}")
    };
    assert_eq!(hubs.len(), 1);
    assert!(told <= first, "it may have been in the change log since before the first lost poll");
    assert!(matches!(timeout(PATIENCE, news.recv()).await, Ok(Some(Input::ChangeLogCurrent))));
    drop(whole);
    assert_eq!(poll(&listener).await.1, 2);
}

#[tokio::test]
async fn the_first_poll_is_not_held_back_and_news_count_from_when_they_can_have_come() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (_address, addresses) = watch::channel(listener.local_addr().ok());
    let (inputs, mut news) = mpsc::channel(16);
    let clock = Clock::system();
    tokio::spawn(feed::run(addresses, 1, 7, clock, inputs));
    let (mut stream, text) = request(&listener).await;
    assert!(text.contains("timeout=0 "), "{text}");
    let nothing = r#"{"seq":1,"results":[]}"#;
    stream.write_all(answer(nothing).as_bytes()).await.expect("written");
    assert!(matches!(timeout(PATIENCE, news.recv()).await, Ok(Some(Input::ChangeLogCurrent))));
    let text = read(&mut stream).await;
    assert!(!text.contains("timeout=0 "), "the next ones are: {text}");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let held_till = clock.now();
    let event = site::event(2, false, &[site::target("b", "10.0.0.2:1", 1, "terminating")]);
    let told = answer(&format!(r#"{{"seq":2,"results":[{event}]}}"#));
    stream.write_all(told.as_bytes()).await.expect("written");
    let input = timeout(PATIENCE, news.recv()).await.expect("in time");
    let Some(Input::HubList(HubListUpdate { effective_since: told, .. })) = input else {
        panic!("{input:?}")
    };
    assert!(told >= held_till, "an answer that was held back tells what came just now");
}
