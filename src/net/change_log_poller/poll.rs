//! One poll of the change log: its request, and its response however late that comes.
//!
//! A change log that is late cannot be told from one that has stopped. So a poll that takes longer than expected is only
//! reported as overdue, upon which the poller starts another one beside it, and goes on waiting.

use super::publication::ResponseTimes;
use crate::config::{self, Changes, JsonNode};
use crate::core::Clock;
use crate::interface::Micros;
use crate::net::buffer::Buffer;
use crate::net::dial::dial;
use crate::net::http;
use crate::net::shared_count::{CountShare, SharedCount};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Duration, Instant};

/// Expected limit for a dial, for a response's first bytes once the hold has passed, and for each further part of a
/// response. A poll that exceeds it is overdue.
pub const IO_TIMEOUT: Duration = Duration::from_millis(750);
/// Expected limit for a whole response once the hold has passed. Without it, a response that arrives byte by byte would
/// delay events for longer than they may go unnoticed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Age at which a poll is abandoned, however late the change log may be. It bounds how long a poll on a connection whose
/// other side is gone takes the place of another one.
const MAX_POLL_TIME: Duration = Duration::from_secs(60);
/// Pause after a response without events that was not held back, so that a change log that holds none back is not polled
/// in a tight loop.
const UNHELD_RESPONSE_PAUSE: Micros = Micros(50_000);
/// Maximum number of bytes of incomplete responses of all polls together: one of the longest, with its head and the
/// lines between its chunks.
const MAX_BUFFERED_BYTES: usize = 2 * http::MAX_BODY_BYTES;

/// A connection that stays open after a response, with the bytes that were read past its end.
pub type KeptAlive = Option<(TcpStream, Buffer)>;

/// What a poll requests, and how.
pub struct PollRequest {
    /// Address of the change log.
    pub address: SocketAddr,
    /// Number of the last event that is known.
    pub seq: u64,
    /// How long the change log may hold the response back while it has no events.
    pub hold: Duration,
    /// Delay before the poll.
    pub delay: Duration,
    /// The connection to use instead of a new one.
    pub kept_alive: KeptAlive,
}

/// The response to a poll.
pub struct PollResponse {
    /// The events.
    pub changes: Changes,
    /// When it was requested and when it arrived.
    pub times: ResponseTimes,
    /// Its connection, if that stays open.
    pub kept_alive: KeptAlive,
}

/// Reports that a poll takes longer than expected, once.
pub struct OverdueReporter {
    number: u64,
    reports: mpsc::UnboundedSender<OverduePoll>,
    is_reported: bool,
}

/// A poll that takes longer than expected.
#[derive(Debug)]
pub struct OverduePoll {
    /// Number of the poll.
    pub number: u64,
    /// What it waits for.
    pub stage: String,
}

impl OverdueReporter {
    /// Creates the reporter of the poll with this number.
    pub fn new(number: u64, reports: mpsc::UnboundedSender<OverduePoll>) -> OverdueReporter {
        OverdueReporter { number, reports, is_reported: false }
    }

    fn report(&mut self, stage: &str) {
        if !std::mem::replace(&mut self.is_reported, true) {
            // Fails only after the poller has ended.
            let _ = self.reports.send(OverduePoll { number: self.number, stage: stage.into() });
        }
    }

    /// Awaits one step of the poll, reports the poll if the step takes longer than `limit`, and goes on waiting.
    async fn await_step<T>(
        &mut self,
        stage: &str,
        limit: Duration,
        step: impl Future<Output = io::Result<T>>,
    ) -> io::Result<T> {
        let mut step = pin!(step);
        let result = match timeout(limit, &mut step).await {
            Ok(result) => result,
            Err(_) => {
                self.report(stage);
                step.await
            }
        };
        result.map_err(|error| io::Error::new(error.kind(), format!("{stage}: {error}")))
    }
}

/// Polls once after a delay. `buffered_bytes` counts the bytes of incomplete responses of all polls.
pub async fn poll(
    request: PollRequest,
    clock: Clock,
    buffered_bytes: SharedCount,
    mut overdue: OverdueReporter,
) -> io::Result<PollResponse> {
    sleep(request.delay).await;
    let exchange = exchange(request, &clock, &buffered_bytes, &mut overdue);
    let response = timeout(MAX_POLL_TIME, exchange).await??;
    let took = response.times.began_at - response.times.requested_at;
    let may_be_held = response.times.hold > Micros(0);
    if response.changes.events.is_empty() && may_be_held && took < UNHELD_RESPONSE_PAUSE {
        sleep(Duration::from_micros(UNHELD_RESPONSE_PAUSE.0)).await;
    }
    Ok(response)
}

/// Sends the request, on the connection that was kept alive or else on a new one, and reads the response.
async fn exchange(
    request: PollRequest,
    clock: &Clock,
    buffered_bytes: &SharedCount,
    overdue: &mut OverdueReporter,
) -> io::Result<PollResponse> {
    let PollRequest { address, seq, hold, kept_alive, .. } = request;
    let (mut stream, mut buffer) = match kept_alive {
        Some(kept_alive) => kept_alive,
        None => {
            let dialling = dial(address, MAX_POLL_TIME);
            (overdue.await_step("connecting", IO_TIMEOUT, dialling).await?, Buffer::default())
        }
    };
    let hold_ms = hold.as_millis();
    let text = format!(
        "GET /changes?since={seq}&timeout={hold_ms} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
    );
    let requested_at = clock.now();
    overdue.await_step("request", IO_TIMEOUT, stream.write_all(text.as_bytes())).await?;
    let mut reader = ResponseReader {
        stream: &mut stream,
        buffer: &mut buffer,
        hold,
        whole_by: Instant::now() + hold + RESPONSE_TIMEOUT,
        share: buffered_bytes.share(),
        buffered_bytes,
        overdue,
    };
    let (response, began_at) = reader.read(clock).await?;
    let changes = parse_changes(&response)?;
    let times = ResponseTimes { requested_at, began_at, hold: Micros(hold.as_micros() as u64) };
    Ok(PollResponse { changes, times, kept_alive: Some((stream, buffer)).filter(|_| response.keep_alive) })
}

fn parse_changes(response: &http::Response) -> io::Result<Changes> {
    if response.status != 200 {
        return Err(invalid_data(format!("HTTP status {}", response.status)));
    }
    let text = std::str::from_utf8(&response.body).map_err(|e| invalid_data(e.to_string()))?;
    let value = config::parse(text, "answer").map_err(|e| invalid_data(e.to_string()))?;
    config::read_changes(&JsonNode::root(&value, "")).map_err(|e| invalid_data(e.to_string()))
}

fn invalid_data(what: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// Reads one response.
struct ResponseReader<'a> {
    stream: &'a mut TcpStream,
    buffer: &'a mut Buffer,
    hold: Duration,
    /// When the response should be complete.
    whole_by: Instant,
    /// This poll's share of `buffered_bytes`.
    share: CountShare,
    buffered_bytes: &'a SharedCount,
    overdue: &'a mut OverdueReporter,
}

impl ResponseReader<'_> {
    /// Returns the response with the time of its first bytes.
    async fn read(&mut self, clock: &Clock) -> io::Result<(http::Response, Micros)> {
        let (mut at_eof, mut began_at) = (false, None);
        loop {
            match http::parse(self.buffer.unconsumed(), at_eof) {
                Ok(Some(response)) => {
                    self.buffer.consume(response.bytes);
                    return Ok((response, began_at.unwrap_or_else(|| clock.now())));
                }
                Ok(None) => {}
                Err(http::InvalidResponse) => return Err(invalid_data("invalid HTTP response".into())),
            }
            self.wait_until_readable().await?;
            match self.buffer.fill(self.stream) {
                Ok(0) => at_eof = true,
                Ok(_) => began_at = began_at.or(Some(clock.now())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
            self.share.set(self.buffer.unconsumed().len());
            if self.buffered_bytes.count() > MAX_BUFFERED_BYTES {
                return Err(invalid_data("incomplete responses are too long".into()));
            }
        }
    }

    async fn wait_until_readable(&mut self) -> io::Result<()> {
        let has_begun = !self.buffer.unconsumed().is_empty();
        let limit = if has_begun { IO_TIMEOUT } else { self.hold + IO_TIMEOUT };
        let limit = limit.min(self.whole_by.saturating_duration_since(Instant::now()));
        let stage = if has_begun { "rest of the response" } else { "response" };
        self.overdue.await_step(stage, limit, self.stream.readable()).await
    }
}
