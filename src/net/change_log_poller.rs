//! The change log's poller: one long poll directly after another.

use super::buffer::Buffer;
use super::dial::dial;
use super::http;
use crate::config::{self, Changes, JsonNode};
use crate::core::{Clock, Hub, HubListUpdate, Input};
use crate::interface::Micros;
use crate::metrics;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::io;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Duration};

/// How long the change log may hold a response back while it has no events. A change log that stops responding on an
/// open connection is detected only after this plus [`IO_TIMEOUT`], which delays its events by as much.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Limit for a dial, for a response's first bytes once the hold has passed, and for each further part of a response.
const IO_TIMEOUT: Duration = Duration::from_millis(750);
/// Limit for a whole response once the hold has passed. Without it, a response that arrives byte by byte would delay
/// events for longer than they may go unnoticed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the second retry after a failure; the first is made at once. It doubles with each further failure, up
/// to [`MAX_RETRY_DELAY`]. It also spaces polls where the change log responds at once although it has no events.
const INITIAL_RETRY_DELAY: Micros = Micros(50_000);
/// The longest delay between retries. Each delay is shortened by a random part of up to half, as all session
/// controllers lose the change log at the same instant.
///
/// Events published while the change log is down count from their publication. This delay and one dial that timed out
/// bound the time until it is polled again, and together are half of the usual grace of a drain.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A response that began sooner than this after its request may contain events published before the request.
const MIN_HELD_TIME: Micros = Micros(250_000);

/// The earliest time at which the events of the next response can have been published.
///
/// An event counts as announced from its publication, whether or not the session controller was connected. If it
/// counted from its arrival, the grace of a drain whose response was lost would end late.
#[derive(Clone, Copy, Debug)]
pub struct EarliestPublication {
    /// When the last complete response began to arrive: it contained all events published before.
    last_response_at: Micros,
    /// Whether a poll has failed since, and with it perhaps events.
    poll_failed: bool,
}

impl EarliestPublication {
    /// Starts at a time up to which all events are known.
    pub fn new(now: Micros) -> EarliestPublication {
        EarliestPublication { last_response_at: now, poll_failed: false }
    }

    /// Records a complete response by when it was requested and when it began to arrive, and returns the earliest
    /// time at which its events can have been published.
    pub fn poll_succeeded(&mut self, requested_at: Micros, began_at: Micros) -> Micros {
        // A response that was held back was sent as soon as there was an event.
        let was_held = began_at - requested_at >= MIN_HELD_TIME && !self.poll_failed;
        let published_at = if was_held { began_at } else { self.last_response_at };
        *self = EarliestPublication { last_response_at: began_at, poll_failed: false };
        published_at
    }

    /// Records a failed poll.
    pub fn poll_failed(&mut self) {
        self.poll_failed = true;
    }
}

/// Converts the events after `seq` to inputs for the core and advances `seq`. They count as announced from
/// `effective_since` at the earliest.
pub fn core_inputs(changes: Changes, seq: &mut u64, effective_since: Micros) -> Vec<Input> {
    let mut inputs = Vec::new();
    for event in changes.events {
        // A repeated response must not return a hub to an earlier state.
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
        let (all, hubs, seq) = (event.all, hubs.collect(), event.seq);
        inputs.push(Input::HubList(HubListUpdate { full: all, hubs, effective_since, seq }));
    }
    *seq = changes.seq.max(*seq);
    inputs
}

/// Polls the address that `addresses` holds, from the event `seq` on, until the core ends. It waits while there is no
/// address, and polls a new one at once. `seed` randomizes the retry delays.
pub async fn run(
    mut addresses: watch::Receiver<Option<SocketAddr>>,
    mut seq: u64,
    seed: u64,
    clock: Clock,
    core: mpsc::Sender<Input>,
) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let (mut failures, mut kept_alive) = (0, None);
    let mut earliest_publication = EarliestPublication::new(clock.now());
    // The first response must not be held back: it tells at once whether the events known at the start are current.
    let mut hold = Duration::ZERO;
    while !core.is_closed() {
        let address = *addresses.borrow_and_update();
        // A poll may be cancelled at any await point. It changes neither `seq` nor the core, so that no event is
        // skipped; its result is applied only as a whole.
        let result = tokio::select! {
            biased;
            changed = addresses.changed() => {
                if changed.is_err() {
                    return;
                }
                (failures, kept_alive) = (0, None);
                earliest_publication.poll_failed();
                continue;
            }
            result = poll(
                address,
                (seq, hold),
                retry_delay(failures, rng.next_u32()),
                &clock,
                kept_alive.take(),
            ) => result,
        };
        match result {
            Ok(PollResponse { changes, requested_at, began_at, kept_alive: connection }) => {
                // A change log that closes the connection after each response has not failed: retry delays
                // would only add gaps during which its events go unnoticed.
                (failures, kept_alive) = (0, connection);
                let effective_since = earliest_publication.poll_succeeded(requested_at, began_at);
                let mut inputs = core_inputs(changes, &mut seq, effective_since);
                if hold.is_zero() {
                    hold = LONG_POLL_TIMEOUT;
                    inputs.push(Input::ChangeLogCurrent);
                }
                for input in inputs {
                    if core.send(input).await.is_err() {
                        return;
                    }
                }
            }
            Err(error) => {
                tracing::warn!(seq, "change log: {error}; asking again");
                metrics::CHANGE_LOG_POLL_FAILURES.increment();
                failures += 1;
                earliest_publication.poll_failed();
            }
        }
    }
}

/// Returns the delay before the next poll after `failures` in a row. `random` is uniform over its type.
fn retry_delay(failures: u32, random: u32) -> Duration {
    let longest = match failures {
        0 | 1 => Duration::ZERO,
        more => Duration::from_micros(INITIAL_RETRY_DELAY.0)
            .saturating_mul(1 << (more - 2).min(16))
            .min(MAX_RETRY_DELAY),
    };
    longest - longest.mul_f64(f64::from(random) / f64::from(u32::MAX) / 2.0)
}

/// A connection that stays open after a response, with the bytes that were read past its end.
type KeptAlive = Option<(TcpStream, Buffer)>;

/// A successful poll.
struct PollResponse {
    changes: Changes,
    requested_at: Micros,
    /// When its first bytes arrived.
    began_at: Micros,
    kept_alive: KeptAlive,
}

/// Polls once after a delay, on the connection that was kept alive or else on a new one: requests the events after
/// `seq`, which the change log may hold back for up to `hold`.
async fn poll(
    address: Option<SocketAddr>,
    (seq, hold): (u64, Duration),
    delay: Duration,
    clock: &Clock,
    kept_alive: KeptAlive,
) -> io::Result<PollResponse> {
    let invalid_data = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let Some(address) = address else { return std::future::pending().await };
    sleep(delay).await;
    let (mut stream, mut buffer) = match kept_alive {
        Some(kept_alive) => kept_alive,
        None => {
            let stream = dial(address, IO_TIMEOUT).await;
            (stream.map_err(|error| in_stage("connecting", error))?, Buffer::default())
        }
    };
    let hold_ms = hold.as_millis();
    let request = format!(
        "GET /changes?since={seq}&timeout={hold_ms} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
    );
    let requested_at = clock.now();
    timeout(IO_TIMEOUT, stream.write_all(request.as_bytes())).await??;
    let response =
        timeout(hold + RESPONSE_TIMEOUT, read_response(&mut stream, &mut buffer, hold, clock)).await;
    let (response, began_at) =
        response.map_err(io::Error::from).and_then(|response| response).map_err(|error| {
            let waited_ms = (clock.now() - requested_at).0 / 1_000;
            let stage = format!("response after {waited_ms} ms, {hold_ms} of them requested");
            in_stage(&stage, error)
        })?;
    if response.status != 200 {
        return Err(invalid_data(format!("HTTP status {}", response.status)));
    }
    let text = String::from_utf8(response.body).map_err(|e| invalid_data(e.to_string()))?;
    let value = config::parse(&text, "answer").map_err(|e| invalid_data(e.to_string()))?;
    let changes =
        config::read_changes(&JsonNode::root(&value, "")).map_err(|e| invalid_data(e.to_string()))?;
    // A change log that does not hold back responses without events must not be polled in a tight loop.
    if changes.events.is_empty() && !hold.is_zero() && clock.now() - requested_at < INITIAL_RETRY_DELAY {
        sleep(Duration::from_micros(INITIAL_RETRY_DELAY.0)).await;
    }
    let kept_alive = Some((stream, buffer)).filter(|_| response.keep_alive);
    Ok(PollResponse { changes, requested_at, began_at, kept_alive })
}

/// Adds the stage of a poll to its error.
fn in_stage(stage: &str, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{stage}: {error}"))
}

/// Reads one response, and returns it with the time of its first bytes.
///
/// A change log may stop before it responds or in the middle of an event and leave the connection open. Nothing more
/// arrives there, so short timeouts bound how long the next events are delayed.
async fn read_response(
    stream: &mut TcpStream,
    buffer: &mut Buffer,
    hold: Duration,
    clock: &Clock,
) -> io::Result<(http::Response, Micros)> {
    let (mut at_eof, mut began_at) = (false, None);
    loop {
        match http::parse(buffer.unconsumed(), at_eof) {
            Ok(Some(response)) => {
                buffer.consume(response.bytes);
                return Ok((response, began_at.unwrap_or_else(|| clock.now())));
            }
            Ok(None) => {}
            Err(http::InvalidResponse) => {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "invalid HTTP response"));
            }
        }
        let limit = if buffer.unconsumed().is_empty() { hold + IO_TIMEOUT } else { IO_TIMEOUT };
        timeout(limit, stream.readable()).await??;
        match buffer.fill(stream) {
            Ok(0) => at_eof = true,
            Ok(_) => began_at = began_at.or(Some(clock.now())),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

#[cfg(test)]
mod tests;
