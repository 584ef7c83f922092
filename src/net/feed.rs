//! The change log's poller: one long poll after another, without gaps.

use super::buffer::Buffer;
use super::http;
use crate::config::{self, At, Changes};
use crate::core::{Hub, Input};
use std::io;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Duration, Instant};

/// How long the change log may hold an answer back.
const HOLD: Duration = Duration::from_millis(5_000);
/// An answer that takes longer than that and this is not waited for.
const SLACK: Duration = Duration::from_millis(2_000);
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

/// Polls for ever, from the event `seq` on.
pub async fn run(address: SocketAddr, mut seq: u64, core: mpsc::Sender<Input>) {
    let mut wait = Duration::ZERO;
    loop {
        let mut answered = false;
        if let Err(error) = poll(address, &mut seq, &core, &mut answered).await {
            eprintln!("change log: {error}; asking again after {seq}");
        }
        if core.is_closed() {
            return;
        }
        // Danger: a change log that closes after each answer is no failing one. To wait longer and
        // longer for it leaves gaps in which its news are not heard.
        if answered {
            wait = Duration::ZERO;
        }
        sleep(wait).await;
        wait = (wait * 2).clamp(RETRY, RETRY_MOST);
    }
}

/// One connection's polls; ends with an error, or as the change log closes it.
async fn poll(
    address: SocketAddr,
    seq: &mut u64,
    core: &mpsc::Sender<Input>,
    answered: &mut bool,
) -> io::Result<()> {
    let garbled = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let mut stream = timeout(SLACK, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let mut buffer = Buffer::default();
    loop {
        let hold = HOLD.as_millis();
        let request = format!(
            "GET /changes?since={seq}&timeout={hold} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
        );
        let asked = Instant::now();
        timeout(SLACK, stream.write_all(request.as_bytes())).await??;
        let response = timeout(HOLD + SLACK, response(&mut stream, &mut buffer)).await??;
        if response.status != 200 {
            return Err(garbled(format!("answered {}", response.status)));
        }
        let text = String::from_utf8(response.body).map_err(|e| garbled(e.to_string()))?;
        let value = config::parse(&text, "answer").map_err(|e| garbled(e.to_string()))?;
        let changes = config::changes(&At::root(&value, "")).map_err(|e| garbled(e.to_string()))?;
        *answered = true;
        let inputs = inputs(changes, seq);
        // An answer without news that was not held back must not lead to a storm of polls.
        if inputs.is_empty() && asked.elapsed() < RETRY {
            sleep(RETRY).await;
        }
        for input in inputs {
            if core.send(input).await.is_err() {
                return Ok(());
            }
        }
        if !response.keep {
            return Ok(());
        }
    }
}

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
        stream.readable().await?;
        match buffer.fill(stream) {
            Ok(0) => ended = true,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}
