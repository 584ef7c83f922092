//! The change log's poller: one long poll after another, without gaps.

use super::buffer::Buffer;
use super::dial::dial;
use super::http;
use crate::config::{self, At, Changes};
use crate::core::{Hub, Input};
use std::io;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Duration, Instant};

/// How long the change log may hold an answer back. Danger: one that stops and stays open is found out
/// only after this and the slack, and its news are late by as much.
const HOLD: Duration = Duration::from_millis(1_000);
/// A connection, the first bytes of an answer after the hold, and each part of its rest come within this.
const SLACK: Duration = Duration::from_millis(750);
/// A whole answer takes no longer than this.
const ANSWER_MOST: Duration = Duration::from_secs(10);
/// The first retry after a failure is made at once; the next ones wait this long, then twice that,
const RETRY: Duration = Duration::from_millis(50);
/// ... up to this.
const RETRY_MOST: Duration = Duration::from_secs(1);

/// The core's inputs for the events that come after `seq`, which moves on with them.
pub fn inputs(changes: Changes, seq: &mut u64) -> Vec<Input> {
    let mut inputs = Vec::new();
    for event in changes.events {
        // A repeated answer must not set a hub back to an earlier state.
        if event.seq <= *seq {
            continue;
        }
        *seq = event.seq;
        let hubs = event.targets.into_iter().map(|t| Hub {
            uid: t.uid,
            endpoint: t.endpoint,
            place: t.place,
            phase: t.phase,
            born: t.born,
        });
        inputs.push(Input::List(event.all, hubs.collect()));
    }
    *seq = changes.seq.max(*seq);
    inputs
}

/// Polls for ever, from the event `seq` on, at the address that `addresses` holds; without one it waits.
/// A new address is asked at once.
pub async fn run(
    mut addresses: watch::Receiver<Option<SocketAddr>>,
    mut seq: u64,
    core: mpsc::Sender<Input>,
) {
    let (mut failures, mut kept) = (0, None);
    while !core.is_closed() {
        let address = *addresses.borrow_and_update();
        // Danger: a poll may be dropped half-way here. It touches neither `seq` nor the core, so that
        // nothing is skipped; what a poll brought is taken in whole.
        let asked = tokio::select! {
            biased;
            changed = addresses.changed() => {
                if changed.is_err() {
                    return;
                }
                (failures, kept) = (0, None);
                continue;
            }
            asked = ask(address, seq, pause(failures), kept.take()) => asked,
        };
        match asked {
            Ok((changes, connection)) => {
                // Danger: a change log that closes after each answer is no failing one. To wait longer
                // and longer for it leaves gaps in which its news are not heard.
                (failures, kept) = (0, connection);
                for input in inputs(changes, &mut seq) {
                    if core.send(input).await.is_err() {
                        return;
                    }
                }
            }
            Err(error) => {
                tracing::warn!(seq, "change log: {error}; asking again");
                failures += 1;
            }
        }
    }
}

/// How long to wait after so many failures in a row.
fn pause(failures: u32) -> Duration {
    match failures {
        0 | 1 => Duration::ZERO,
        more => RETRY.saturating_mul(1 << (more - 2).min(16)).min(RETRY_MOST),
    }
}

/// A connection that stays open after an answer, with what was read beyond it.
type Kept = Option<(TcpStream, Buffer)>;

/// One poll after a pause, on the connection that was kept, else on a new one.
async fn ask(
    address: Option<SocketAddr>,
    seq: u64,
    pause: Duration,
    kept: Kept,
) -> io::Result<(Changes, Kept)> {
    let garbled = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let Some(address) = address else { return std::future::pending().await };
    sleep(pause).await;
    let (mut stream, mut buffer) = match kept {
        Some(kept) => kept,
        None => (dial(address, SLACK).await?, Buffer::default()),
    };
    let hold = HOLD.as_millis();
    let request = format!(
        "GET /changes?since={seq}&timeout={hold} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
    );
    let asked = Instant::now();
    timeout(SLACK, stream.write_all(request.as_bytes())).await??;
    let response = timeout(ANSWER_MOST, response(&mut stream, &mut buffer)).await??;
    if response.status != 200 {
        return Err(garbled(format!("answered {}", response.status)));
    }
    let text = String::from_utf8(response.body).map_err(|e| garbled(e.to_string()))?;
    let value = config::parse(&text, "answer").map_err(|e| garbled(e.to_string()))?;
    let changes = config::changes(&At::root(&value, "")).map_err(|e| garbled(e.to_string()))?;
    // An answer without news that was not held back must not lead to a storm of polls.
    if changes.events.is_empty() && asked.elapsed() < RETRY {
        sleep(RETRY).await;
    }
    Ok((changes, Some((stream, buffer)).filter(|_| response.keep)))
}

/// Danger: a change log may stop in the middle of an event, or before it answers, and stay open. Nothing
/// more comes there: the sooner it is asked anew, the sooner its news are heard.
async fn response(stream: &mut TcpStream, buffer: &mut Buffer) -> io::Result<http::Response> {
    let mut ended = false;
    loop {
        match http::parse(buffer.held(), ended) {
            Ok(Some(response)) => {
                buffer.consume(response.bytes);
                return Ok(response);
            }
            Ok(None) => {}
            Err(http::Garbled) => return Err(io::Error::new(io::ErrorKind::InvalidData, "no HTTP response")),
        }
        let limit = if buffer.held().is_empty() { HOLD + SLACK } else { SLACK };
        timeout(limit, stream.readable()).await??;
        match buffer.fill(stream) {
            Ok(0) => ended = true,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}
