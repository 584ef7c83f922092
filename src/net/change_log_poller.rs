//! The change log's poller: one long poll directly after another.
//!
//! A poll that takes longer than expected may be late, or its change log or connection may have stopped. Both are provided
//! for: another poll starts beside it, and the overdue one is still read, as a change log that is later than any fixed
//! limit would otherwise never be heard. A response makes all earlier polls unnecessary.

mod poll;
mod publication;

use self::poll::{KeptAlive, OverduePoll, OverdueReporter, PollRequest, PollResponse};
use self::publication::EarliestPublication;
use crate::config::Changes;
use crate::core::{Clock, Hub, HubListUpdate, Input};
use crate::interface::Micros;
use crate::metrics;
use crate::net::shared_count::SharedCount;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Duration;

/// How long the change log may hold a response back while it has no events. A change log that stops responding on an
/// open connection is detected only after this plus [`poll::IO_TIMEOUT`], which delays its events by as much.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before the second retry after a failure; the first is made at once. It doubles with each further failure, up
/// to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest delay between retries. Each delay is shortened by a random part of up to half, as all session
/// controllers lose the change log at the same instant.
///
/// Events published while the change log is down count from their publication. This delay and one dial that takes too
/// long bound the time until it is polled again, and together are half of the usual grace of a drain.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of overdue polls. With polls that become overdue after 1.75 s, a change log that is up to 5 s late
/// answers every poll.
const MAX_OVERDUE_POLLS: usize = 4;

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
    seq: u64,
    seed: u64,
    clock: Clock,
    core: mpsc::Sender<Input>,
) {
    let (reports, mut overdue_polls) = mpsc::unbounded_channel();
    let mut poller = Poller::new(seq, seed, clock, reports);
    while !core.is_closed() {
        poller.start_poll(*addresses.borrow());
        // Cancelling a poll changes neither `seq` nor the core, so that no event is skipped; its result is applied only
        // as a whole.
        tokio::select! {
            biased;
            changed = addresses.changed() => match changed {
                Ok(()) => poller.abandon_all(),
                Err(_) => return,
            },
            Some(overdue) = overdue_polls.recv() => poller.on_overdue(overdue),
            Some(finished) = poller.polls.join_next() => {
                // An abandoned poll has no result.
                let Ok((number, result)) = finished else { continue };
                for input in poller.on_finished(number, result) {
                    if core.send(input).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// A poll in progress.
struct PollInProgress {
    number: u64,
    abort: AbortHandle,
}

/// The polls in progress, and what was learned from earlier ones.
struct Poller {
    /// Number of the last event that is known.
    seq: u64,
    clock: Clock,
    rng: Pcg32,
    polls: JoinSet<(u64, io::Result<PollResponse>)>,
    overdue_reports: mpsc::UnboundedSender<OverduePoll>,
    /// Number of polls started so far; the number of the latest one.
    polls_started: u64,
    /// The latest poll, unless it is overdue.
    current: Option<PollInProgress>,
    /// Overdue polls, the oldest first.
    overdue: VecDeque<PollInProgress>,
    /// Bytes of incomplete responses.
    buffered_bytes: SharedCount,
    kept_alive: KeptAlive,
    /// Number of polls in a row that failed or became overdue.
    failures: u32,
    earliest_publication: EarliestPublication,
    /// Whether a response has told that the events known at the start are current.
    is_current: bool,
}

impl Poller {
    fn new(seq: u64, seed: u64, clock: Clock, overdue_reports: mpsc::UnboundedSender<OverduePoll>) -> Poller {
        Poller {
            seq,
            clock,
            rng: Pcg32::seed_from_u64(seed),
            polls: JoinSet::new(),
            overdue_reports,
            polls_started: 0,
            current: None,
            overdue: VecDeque::new(),
            buffered_bytes: SharedCount::default(),
            kept_alive: None,
            failures: 0,
            earliest_publication: EarliestPublication::new(clock.now()),
            is_current: false,
        }
    }

    /// Starts a poll unless one is in progress that is not overdue, or there is no address.
    fn start_poll(&mut self, address: Option<SocketAddr>) {
        let Some(address) = address.filter(|_| self.current.is_none()) else { return };
        self.polls_started += 1;
        let number = self.polls_started;
        let request = PollRequest {
            address,
            seq: self.seq,
            // The first response must not be held back: it tells at once whether the known events are current.
            hold: if self.is_current { LONG_POLL_TIMEOUT } else { Duration::ZERO },
            delay: retry_delay(self.failures, self.rng.next_u32()),
            kept_alive: self.kept_alive.take(),
        };
        let reporter = OverdueReporter::new(number, self.overdue_reports.clone());
        let poll = poll::poll(request, self.clock, self.buffered_bytes.clone(), reporter);
        let abort = self.polls.spawn(async move { (number, poll.await) });
        self.current = Some(PollInProgress { number, abort });
    }

    /// Abandons all polls, as the change log has a new address.
    fn abandon_all(&mut self) {
        self.polls.abort_all();
        (self.current, self.kept_alive, self.failures) = (None, None, 0);
        self.overdue.clear();
        self.earliest_publication.poll_failed();
    }

    /// Lets another poll start beside one that takes longer than expected.
    fn on_overdue(&mut self, report: OverduePoll) {
        let Some(poll) = self.current.take_if(|poll| poll.number == report.number) else { return };
        tracing::warn!(seq = self.seq, "change log: {} overdue; asking again", report.stage);
        metrics::CHANGE_LOG_POLLS_OVERDUE.increment();
        self.failures += 1;
        self.earliest_publication.poll_failed();
        self.overdue.push_back(poll);
        // The oldest one stays, so that a change log that is later than all others wait for is heard too.
        if self.overdue.len() > MAX_OVERDUE_POLLS {
            if let Some(abandoned) = self.overdue.remove(1) {
                abandoned.abort.abort();
            }
        }
    }

    /// Handles the result of a poll, and returns the inputs for the core.
    fn on_finished(&mut self, number: u64, result: io::Result<PollResponse>) -> Vec<Input> {
        let was_current = self.current.take_if(|poll| poll.number == number).is_some();
        let overdue_count = self.overdue.len();
        self.overdue.retain(|poll| poll.number != number);
        let was_abandoned = !was_current && self.overdue.len() == overdue_count;
        match result {
            // It had finished before it could be cancelled. Its connection may lead to an earlier address.
            _ if was_abandoned => Vec::new(),
            Ok(response) => self.on_response(number, response),
            Err(error) => {
                self.on_failure(&error, was_current);
                Vec::new()
            }
        }
    }

    fn on_response(&mut self, number: u64, response: PollResponse) -> Vec<Input> {
        // A change log that closes the connection after each response has not failed: retry delays would only add gaps
        // during which its events go unnoticed.
        (self.failures, self.kept_alive) = (0, response.kept_alive);
        // Earlier polls have nothing to tell that the next one does not.
        for earlier in self.overdue.iter().filter(|poll| poll.number < number) {
            earlier.abort.abort();
        }
        self.overdue.retain(|poll| poll.number > number);
        let has_events = !response.changes.events.is_empty();
        let effective_since = self.earliest_publication.poll_succeeded(response.times, has_events);
        let mut inputs = core_inputs(response.changes, &mut self.seq, effective_since);
        if !std::mem::replace(&mut self.is_current, true) {
            inputs.push(Input::ChangeLogCurrent);
        }
        inputs
    }

    fn on_failure(&mut self, error: &io::Error, was_current: bool) {
        metrics::CHANGE_LOG_POLL_FAILURES.increment();
        if was_current {
            tracing::warn!(seq = self.seq, "change log: {error}; asking again");
            self.failures += 1;
            self.earliest_publication.poll_failed();
        } else {
            tracing::debug!(seq = self.seq, "change log: overdue poll failed: {error}");
        }
    }
}

/// Returns the delay before the next poll after `failures` in a row. `random` is uniform over its type.
fn retry_delay(failures: u32, random: u32) -> Duration {
    let longest = match failures {
        0 | 1 => Duration::ZERO,
        more => INITIAL_RETRY_DELAY.saturating_mul(1 << (more - 2).min(16)).min(MAX_RETRY_DELAY),
    };
    longest - longest.mul_f64(f64::from(random) / f64::from(u32::MAX) / 2.0)
}

#[cfg(test)]
mod tests;
