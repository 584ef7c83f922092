//! Counters of the process. They only grow, and are written to the log from time to time and at the end.

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::{interval, Duration, MissedTickBehavior};

/// How often the counters are written to the log, if any of them has changed.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A number of events since the start of the process.
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

    /// How many events were counted.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Calls that callers offered.
pub static CALLS_OFFERED: Counter = Counter::new();
/// Calls that were answered by a hub.
pub static CALLS_ANSWERED: Counter = Counter::new();
/// Calls that were refused: nothing ran, and the caller may dial again.
pub static CALLS_REFUSED: Counter = Counter::new();
/// Calls that were failed.
pub static CALLS_FAILED: Counter = Counter::new();
/// Attempts that were sent towards a hub.
pub static ATTEMPTS: Counter = Counter::new();
/// Attempts after the first one of their call.
pub static RETRIES: Counter = Counter::new();
/// Answered calls that their hub released.
pub static CALLS_RELEASED: Counter = Counter::new();
/// Answered calls that ended because their hub was dead or gone.
pub static CALLS_CUT: Counter = Counter::new();
/// Connections to hubs that came up.
pub static HUB_DIALS: Counter = Counter::new();
/// Connections to hubs that did not come up.
pub static HUB_DIAL_FAILURES: Counter = Counter::new();
/// Connections to hubs that ended or broke.
pub static HUB_CONNECTIONS_LOST: Counter = Counter::new();
/// Hubs that were declared dead.
pub static HUBS_DEAD: Counter = Counter::new();
/// Releases that were written to callers' connections.
pub static RELEASES_SENT: Counter = Counter::new();
/// Releases that were sent again on another connection.
pub static RELEASES_REPEATED: Counter = Counter::new();
/// Releases that no connection of a caller took in time.
pub static RELEASES_LOST: Counter = Counter::new();

/// Writes the counters to the log.
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
        hubs_dead = HUBS_DEAD.get(),
        releases_sent = RELEASES_SENT.get(),
        releases_repeated = RELEASES_REPEATED.get(),
        releases_lost = RELEASES_LOST.get(),
        "metrics"
    );
}

/// Writes the counters to the log every 10 s in which a call was offered or a hub dialled.
pub async fn report_regularly() {
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
