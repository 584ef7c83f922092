//! The change log's poller: one long poll after another, without gaps.

use super::buffer::Buffer;
use super::dial::dial;
use super::http;
use crate::config::{self, At, Changes};
use crate::core::{Clock, Hub, HubListUpdate, Input};
use crate::interface::Micros;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::io;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Duration};

/// How long the change log may hold an answer back. Danger: one that stops and stays open is found out
/// only after this and the slack, and its news are late by as much.
const HOLD: Duration = Duration::from_millis(1_000);
/// A connection, the first bytes of an answer after the hold, and each part of its rest come within this.
const SLACK: Duration = Duration::from_millis(750);
/// A whole answer takes no longer than this after the hold. Danger: one that comes byte by byte would keep news
/// back for longer than they may be unheard.
const ANSWER_MOST: Duration = Duration::from_secs(3);
/// The first retry after a failure is made at once; the next ones wait this long, then twice that,
const RETRY: Micros = Micros(50_000);
/// ... up to this, less up to half of it by chance: all session controllers lose the change log at one instant.
/// Danger: what was told while it was down counts from then. Once it is back it is heard within this and one
/// dial that hung, which together are half of the usual grace of a drain.
const RETRY_MOST: Duration = Duration::from_millis(250);

/// An answer that came sooner than this after it was asked for may tell what the change log held before.
const PROMPT: Micros = Micros(250_000);

/// Since when news may have been in the change log, and so count as told, although they came later.
///
/// Danger: what is in the change log counts as told, connected or not. Counted from when it arrives, the
/// grace of a drain that a lost answer held up would end late.
#[derive(Clone, Copy, Debug)]
pub struct Horizon {
    /// When the last whole answer began to come: nothing that it lacks was in the change log before.
    heard: Micros,
    /// A poll since then was lost, with what it may have told.
    lost: bool,
}

impl Horizon {
    /// At a start, when all news up to `now` are known.
    pub fn new(now: Micros) -> Horizon {
        Horizon { heard: now, lost: false }
    }

    /// A whole answer came, asked for and begun then: since when its news count as told, at the earliest.
    pub fn answered(&mut self, asked: Micros, began: Micros) -> Micros {
        // An answer that was held back came at once when there was something to tell.
        let held = began - asked >= PROMPT && !self.lost;
        let told = if held { began } else { self.heard };
        *self = Horizon { heard: began, lost: false };
        told
    }

    /// A poll was lost.
    pub fn lost(&mut self) {
        self.lost = true;
    }
}

/// The core's inputs for the events that come after `seq`, which moves on with them. They count as told
/// since `told`, at the earliest.
pub fn inputs(changes: Changes, seq: &mut u64, told: Micros) -> Vec<Input> {
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
        let (all, hubs, seq) = (event.all, hubs.collect(), event.seq);
        inputs.push(Input::HubList(HubListUpdate { full: all, hubs, effective_since: told, seq }));
    }
    *seq = changes.seq.max(*seq);
    inputs
}

/// Polls for ever, from the event `seq` on, at the address that `addresses` holds; without one it waits.
/// A new address is asked at once.
/// `seed` spreads its retries.
pub async fn run(
    mut addresses: watch::Receiver<Option<SocketAddr>>,
    mut seq: u64,
    seed: u64,
    clock: Clock,
    core: mpsc::Sender<Input>,
) {
    let mut chance = Pcg32::seed_from_u64(seed);
    let (mut failures, mut kept) = (0, None);
    let mut horizon = Horizon::new(clock.now());
    // The first answer is not to be held back: it says at once whether the news of the start are the latest.
    let mut hold = Duration::ZERO;
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
                horizon.lost();
                continue;
            }
            asked = ask(address, (seq, hold), pause(failures, chance.next_u32()), &clock, kept.take()) => asked,
        };
        match asked {
            Ok(Answer { changes, asked, began, kept: connection }) => {
                // Danger: a change log that closes after each answer is no failing one. To wait longer
                // and longer for it leaves gaps in which its news are not heard.
                (failures, kept) = (0, connection);
                let mut news = inputs(changes, &mut seq, horizon.answered(asked, began));
                if hold.is_zero() {
                    hold = HOLD;
                    news.push(Input::ChangeLogCurrent);
                }
                for input in news {
                    if core.send(input).await.is_err() {
                        return;
                    }
                }
            }
            Err(error) => {
                tracing::warn!(seq, "change log: {error}; asking again");
                failures += 1;
                horizon.lost();
            }
        }
    }
}

/// How long to wait after so many failures in a row; `chance` of all that is possible.
fn pause(failures: u32, chance: u32) -> Duration {
    let most = match failures {
        0 | 1 => Duration::ZERO,
        more => Duration::from_micros(RETRY.0).saturating_mul(1 << (more - 2).min(16)).min(RETRY_MOST),
    };
    most - most.mul_f64(f64::from(chance) / f64::from(u32::MAX) / 2.0)
}

/// A connection that stays open after an answer, with what was read beyond it.
type Kept = Option<(TcpStream, Buffer)>;

/// What a poll brought.
struct Answer {
    changes: Changes,
    /// When it was asked for, and when the first of it came.
    asked: Micros,
    began: Micros,
    kept: Kept,
}

/// One poll after a pause, on the connection that was kept, else on a new one; it asks for what comes after
/// the event `seq`, and waits for that for `hold`.
async fn ask(
    address: Option<SocketAddr>,
    (seq, hold): (u64, Duration),
    pause: Duration,
    clock: &Clock,
    kept: Kept,
) -> io::Result<Answer> {
    let garbled = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let Some(address) = address else { return std::future::pending().await };
    sleep(pause).await;
    let (mut stream, mut buffer) = match kept {
        Some(kept) => kept,
        None => (dial(address, SLACK).await?, Buffer::default()),
    };
    let held = hold.as_millis();
    let request = format!(
        "GET /changes?since={seq}&timeout={held} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
    );
    let asked = clock.now();
    timeout(SLACK, stream.write_all(request.as_bytes())).await??;
    let (response, began) =
        timeout(hold + ANSWER_MOST, response(&mut stream, &mut buffer, hold, clock)).await??;
    if response.status != 200 {
        return Err(garbled(format!("answered {}", response.status)));
    }
    let text = String::from_utf8(response.body).map_err(|e| garbled(e.to_string()))?;
    let value = config::parse(&text, "answer").map_err(|e| garbled(e.to_string()))?;
    let changes = config::changes(&At::root(&value, "")).map_err(|e| garbled(e.to_string()))?;
    // An answer without news that was not held back must not lead to a storm of polls.
    if changes.events.is_empty() && !hold.is_zero() && clock.now() - asked < RETRY {
        sleep(Duration::from_micros(RETRY.0)).await;
    }
    Ok(Answer { changes, asked, began, kept: Some((stream, buffer)).filter(|_| response.keep) })
}

/// Danger: a change log may stop in the middle of an event, or before it answers, and stay open. Nothing
/// more comes there: the sooner it is asked anew, the sooner its news are heard.
async fn response(
    stream: &mut TcpStream,
    buffer: &mut Buffer,
    hold: Duration,
    clock: &Clock,
) -> io::Result<(http::Response, Micros)> {
    let (mut ended, mut began) = (false, None);
    loop {
        match http::parse(buffer.held(), ended) {
            Ok(Some(response)) => {
                buffer.consume(response.bytes);
                return Ok((response, began.unwrap_or_else(|| clock.now())));
            }
            Ok(None) => {}
            Err(http::Garbled) => return Err(io::Error::new(io::ErrorKind::InvalidData, "no HTTP response")),
        }
        let limit = if buffer.held().is_empty() { hold + SLACK } else { SLACK };
        timeout(limit, stream.readable()).await??;
        match buffer.fill(stream) {
            Ok(0) => ended = true,
            Ok(_) => began = began.or(Some(clock.now())),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

#[cfg(test)]
mod tests;
