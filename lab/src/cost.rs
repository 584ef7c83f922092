//! Measures how much keeping learned state, or membership in a fleet, adds to the set-up latency of calls. Two
//! controllers run side by side under the same load, one with the feature on and one with it off.

use crate::caller::{Arrivals, Callers};
use crate::hub::Hub;
use hdrhistogram::Histogram;
use petreldock_lab::program::{target_json, ChangeLog, ControllerProcess, Deployment};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::io;
use std::path::Path;
use tokio::time::{sleep, Duration, Instant};

/// Number of places, with one hub each.
const PLACES: usize = 4;
/// Calls per second that a hub carries; far above the load, so that the controller's latency is what is measured.
const HUB_CAPACITY: f64 = 3000.0;
/// Length of the run, in seconds.
const LENGTH_S: f64 = 20.0;
/// Calls per second through each controller.
const CALL_RATE: f64 = 200.0;
/// State section members that make the controller save four times as often as by default.
const STATE_SETTINGS: &str = r#","intervalMs":500"#;

/// Measures the p50 and p99 set-up latency in microseconds from the scheduled start, with the feature on and off in
/// this order. The feature is a fleet of `fleet` members, or the state folder without it.
pub async fn measure(
    binary: &Path,
    seed: u64,
    folder: &Path,
    fleet: Option<usize>,
) -> io::Result<[(f64, f64); 2]> {
    let (mut controllers, mut others) = (Vec::new(), Vec::new());
    for on in [true, false] {
        let log = ChangeLog::default();
        let change_log = log.start().await?;
        let mut targets = Vec::new();
        for place in 0..PLACES {
            let hub =
                Hub::start(HUB_CAPACITY, 1.0, false, StdRng::seed_from_u64(seed + place as u64)).await?;
            targets.push(target_json(&format!("s-{place}"), hub.address, place, "in_service", 0));
        }
        log.append(true, &targets);
        let deployment = Deployment { balancers: 1, places: PLACES, change_log, known: log.since(0) };
        let run = (seed * 8 + 6) as u16;
        let mut controller = ControllerProcess::new(binary, folder, run, usize::from(on))?;
        let fleet_settings = |controller: &ControllerProcess| {
            let (own, first) = (controller.address.ip(), std::net::IpAddr::from([127, 20, run as u8, 2]));
            format!(
                r#"{{"fleet":{{"name":"lab","listen":"{own}:7946","seeds":["{first}:7946"],"prefixes":["127.0.0.0/8"]}}}}"#
            )
        };
        let settings = if fleet.is_some() { fleet_settings(&controller) } else { STATE_SETTINGS.into() };
        controller.start(&deployment, seed, on.then_some(&settings)).await?;
        controllers.push(controller);
        // The other members of the fleet get no calls.
        for n in 2..if on { fleet.unwrap_or(0) + 1 } else { 0 } {
            let mut other = ControllerProcess::new(binary, folder, run, n)?;
            let settings = fleet_settings(&other);
            other.start(&deployment, seed, Some(&settings)).await?;
            others.push(other);
        }
    }
    let start = Instant::now() + Duration::from_millis(500);
    let callers: Vec<Callers> = controllers
        .iter()
        .map(|c| {
            let arrivals = Arrivals::generate(seed, LENGTH_S, PLACES, |_| CALL_RATE);
            Callers::start(c.address, 1, start, arrivals)
        })
        .collect();
    sleep(Duration::from_secs_f64(LENGTH_S + 1.5)).await;
    let quantiles = |callers: &Callers| {
        let mut latencies =
            Histogram::<u64>::new_with_max(10_000_000, 3).expect("three significant digits are allowed");
        for call in callers.calls.borrow().iter() {
            // A call that was not answered counts as the greatest latency of the histogram.
            let latency_us =
                call.answered_at.map_or(10_000_000, |at| (at - call.scheduled_at).as_micros() as u64);
            latencies.saturating_record(latency_us);
        }
        (latencies.value_at_quantile(0.5) as f64, latencies.value_at_quantile(0.99) as f64)
    };
    Ok([quantiles(&callers[0]), quantiles(&callers[1])])
}
