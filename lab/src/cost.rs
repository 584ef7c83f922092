//! What keeping what is learnt, or talking to a fleet, costs a call: two programs side by side, on and off.

use crate::caller::{Arrivals, Callers};
use crate::hub::Hub;
use hdrhistogram::Histogram;
use petreldock_lab::program::{target, ChangeLog, Program, Site};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::io;
use std::path::Path;
use tokio::time::{sleep, Duration, Instant};

const PLACES: usize = 4;
/// Quick hubs: what is measured is the program.
const CAPACITY: f64 = 3000.0;
const LENGTH: f64 = 20.0;
/// Calls a second of each.
const RATE: f64 = 200.0;
/// Four times as often as by default.
const STATE: &str = r#","intervalMs":500"#;

/// The p50 and the p99 of a set-up in microseconds, from its intended start: on, then off.
pub async fn play(
    binary: &Path,
    seed: u64,
    folder: &Path,
    fleet: Option<usize>,
) -> io::Result<[(f64, f64); 2]> {
    let (mut sides, mut others) = (Vec::new(), Vec::new());
    for on in [true, false] {
        let log = ChangeLog::default();
        let change_log = log.start().await?;
        let mut up = Vec::new();
        for place in 0..PLACES {
            let hub = Hub::start(CAPACITY, 1.0, false, StdRng::seed_from_u64(seed + place as u64)).await?;
            up.push(target(&format!("s-{place}"), hub.address, place, "in_service", 0));
        }
        log.tell(true, &up);
        let site = Site { balancers: 1, places: PLACES, change_log, known: log.since(0) };
        let run = (seed * 8 + 6) as u16;
        let mut program = Program::new(binary, folder, run, usize::from(on))?;
        let talks = |p: &Program| {
            let (own, first) = (p.address.ip(), std::net::IpAddr::from([127, 20, run as u8, 2]));
            format!(
                r#"{{"fleet":{{"name":"lab","listen":"{own}:7946","seeds":["{first}:7946"],"prefixes":["127.0.0.0/8"]}}}}"#
            )
        };
        let state = if fleet.is_some() { talks(&program) } else { STATE.into() };
        program.start(&site, seed, on.then_some(&state)).await?;
        sides.push(program);
        // The rest of its fleet has no calls.
        for n in 2..if on { fleet.unwrap_or(0) + 1 } else { 0 } {
            let mut other = Program::new(binary, folder, run, n)?;
            let talks = talks(&other);
            other.start(&site, seed, Some(&talks)).await?;
            others.push(other);
        }
    }
    let start = Instant::now() + Duration::from_millis(500);
    let callers: Vec<Callers> = sides
        .iter()
        .map(|p| Callers::start(p.address, 1, start, Arrivals::draw(seed, LENGTH, PLACES, |_| RATE)))
        .collect();
    sleep(Duration::from_secs_f64(LENGTH + 1.5)).await;
    let quantiles = |callers: &Callers| {
        let mut times = Histogram::<u64>::new_with_max(10_000_000, 3).expect("three digits");
        for wish in callers.wishes.borrow().iter() {
            // One that did not stand took as long as can be told.
            let took = wish.stood.map_or(10_000_000, |at| (at - wish.intended).as_micros() as u64);
            times.saturating_record(took);
        }
        (times.value_at_quantile(0.5) as f64, times.value_at_quantile(0.99) as f64)
    };
    Ok([quantiles(&callers[0]), quantiles(&callers[1])])
}
