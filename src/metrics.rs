//! Counters of the process. They only increase, and are logged periodically and at shutdown.

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::{interval, Duration, MissedTickBehavior};

/// How often the counters are logged, if calls were offered or hubs dialled since the last time.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Number of events since the start of the process.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    const fn new() -> Counter {
        Counter(AtomicU64::new(0))
    }

    /// Counts one event.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Counts several events.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the number of events counted.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Calls that callers offered.
pub static CALLS_OFFERED: Counter = Counter::new();
/// Calls that were answered by a hub.
pub static CALLS_ANSWERED: Counter = Counter::new();
/// Calls that were refused: no attempt of them ran, and the caller may dial again.
pub static CALLS_REFUSED: Counter = Counter::new();
/// Calls that were failed.
pub static CALLS_FAILED: Counter = Counter::new();
/// Attempts that were sent to a hub.
pub static ATTEMPTS: Counter = Counter::new();
/// Attempts other than the first one of their call.
pub static RETRIES: Counter = Counter::new();
/// Answered calls that their hub released.
pub static CALLS_RELEASED: Counter = Counter::new();
/// Answered calls that ended because their hub was dead or gone.
pub static CALLS_CUT: Counter = Counter::new();
/// Connections to hubs that were established.
pub static HUB_DIALS: Counter = Counter::new();
/// Connections to hubs that could not be established.
pub static HUB_DIAL_FAILURES: Counter = Counter::new();
/// Connections to hubs that were closed or lost.
pub static HUB_CONNECTIONS_LOST: Counter = Counter::new();
/// Connections to hubs that were taken out of service and read on.
pub static HUB_CONNECTIONS_SUSPENDED: Counter = Counter::new();
/// Messages of hubs that were incomplete when their connection ended, and were lost with it.
pub static HUB_MESSAGES_DISCARDED: Counter = Counter::new();
/// Hubs that were declared dead.
pub static HUBS_DEAD: Counter = Counter::new();
/// Callers' connections that the server closed while calls answered on them were up.
pub static CALLER_CONNECTIONS_CLOSED_WITH_CALLS: Counter = Counter::new();
/// Polls of the change log that took longer than expected.
pub static CHANGE_LOG_POLLS_OVERDUE: Counter = Counter::new();
/// Polls of the change log that failed.
pub static CHANGE_LOG_POLL_FAILURES: Counter = Counter::new();
/// Releases that were written to callers' connections.
pub static RELEASES_SENT: Counter = Counter::new();
/// Releases that were repeated on another connection.
pub static RELEASES_REPEATED: Counter = Counter::new();
/// Releases that could not be delivered on any connection of a caller in time.
pub static RELEASES_LOST: Counter = Counter::new();
/// Releases by callers of calls unknown to this process that were not passed on, because too many waited.
pub static UNKNOWN_RELEASES_DROPPED: Counter = Counter::new();

/// Logs the counters.
pub fn report() {
    tracing::info!(
        calls_offered = CALLS_OFFERED.get(),
        calls_answered = CALLS_ANSWERED.get(),
        calls_refused = CALLS_REFUSED.get(),
        calls_failed = CALLS_FAILED.get(),
        attempts = ATTEMPTS.get(),
        retries = RETRIES.get(),
        calls_released = CALLS_RELEASED.get(),
        calls_cut = CALLS_CUT.get(),
        hub_dials = HUB_DIALS.get(),
        hub_dial_failures = HUB_DIAL_FAILURES.get(),
        hub_connections_lost = HUB_CONNECTIONS_LOST.get(),
        hub_connections_suspended = HUB_CONNECTIONS_SUSPENDED.get(),
        hub_messages_discarded = HUB_MESSAGES_DISCARDED.get(),
        hubs_dead = HUBS_DEAD.get(),
        caller_connections_closed_with_calls = CALLER_CONNECTIONS_CLOSED_WITH_CALLS.get(),
        change_log_polls_overdue = CHANGE_LOG_POLLS_OVERDUE.get(),
        change_log_poll_failures = CHANGE_LOG_POLL_FAILURES.get(),
        releases_sent = RELEASES_SENT.get(),
        releases_repeated = RELEASES_REPEATED.get(),
        releases_lost = RELEASES_LOST.get(),
        unknown_releases_dropped = UNKNOWN_RELEASES_DROPPED.get(),
        "metrics"
    );
}

/// Logs the counters after every 10 s in which a call was offered or a hub dialled.
pub async fn report_periodically() {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reported = 0;
    loop {
        ticks.tick().await;
        let activity = CALLS_OFFERED.get() + HUB_DIALS.get() + HUB_DIAL_FAILURES.get();
        if activity != reported {
            report();
        }
        reported = activity;
    }
}
