//! Tests of the running program at the limits of the tightest deployments: no flood of callers takes it past its memory.

#[path = "common/flood_peers.rs"]
mod flood_peers;
#[path = "common/peers.rs"]
mod peers;
#[path = "common/scripted_hub.rs"]
mod scripted_hub;
#[path = "common/site_config.rs"]
mod site_config;

use flood_peers::*;
use peers::*;
use scripted_hub::ScriptedHub;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Releases of unknown calls that the program passes on to a hub in a second, at most.
const RELEASES_PER_SECOND: usize = 800;
/// A compact `Via`, the shortest header that responses repeat.
const SHORT_FIELD: &str = "v:x\r\n";

/// Has `connections` callers send `set_ups` set-ups each, as `format` returns for the names of their calls.
///
/// # Panics
/// If the program's memory passes its limit, or if it does not serve on.
fn assert_memory_stays_within_limit(
    connections: usize,
    set_ups: u64,
    sockets: u32,
    format: impl Fn(u64) -> Vec<u8>,
) {
    let hub = AnsweringHub::start();
    let mut program = start_with_limits(&hub, TIGHTEST_MEMORY_MB, sockets);
    let memory = MemoryWatch::start(&program);
    let flood = Flood::start(program.address, connections, |connection| {
        (0..set_ups).flat_map(|set_up| format(connection * set_ups + set_up + 1)).collect()
    });
    flood.finish();
    let peak = memory.peak_kib();
    assert!(peak < TIGHTEST_MEMORY_MB * 1024, "{peak} KiB");
    assert_eq!(program.child.try_wait().expect("a child"), None, "it runs on");
    let mut caller = Caller::connect(program.address);
    caller.invite(FIRST_USUAL_CALL, 3_000, 0);
    assert!(caller.answer(FIRST_USUAL_CALL).is_some(), "a usual caller gets its final answer");
}

/// Each short header field of an open set-up took some 110 bytes for its 4.
#[test]
fn open_set_ups_with_many_short_fields_do_not_exhaust_the_memory() {
    assert_memory_stays_within_limit(TIGHTEST_CALLERS, 20, TIGHTEST_SOCKETS, |call| {
        set_up_with(call, &SHORT_FIELD.repeat(450))
    });
}

/// The front held the headers of set-ups that the core had not taken yet, without a bound.
#[test]
fn set_ups_that_wait_for_the_core_do_not_exhaust_the_memory() {
    assert_memory_stays_within_limit(TIGHTEST_CALLERS, 100, TIGHTEST_SOCKETS, |call| {
        set_up_with(call, &SHORT_FIELD.repeat(200))
    });
}

/// Connections held the responses to a flood while they waited for the core, and their buffers for good.
#[test]
fn responses_of_hundreds_of_connections_do_not_exhaust_the_memory() {
    let sockets = 1024;
    assert_memory_stays_within_limit(sockets as usize / 3, 8, sockets, |call| {
        request("OPTIONS", call, &SHORT_FIELD.repeat(3_000), b"")
    });
}

/// Each release of a call under a new name was queued for every hub, without a bound where a hub reads nothing.
#[test]
fn releases_of_unknown_calls_do_not_exhaust_the_memory_while_hubs_read_nothing() {
    let hub = AnsweringHub::start();
    let silent_hubs: Vec<ScriptedHub> = (0..4).map(|_| ScriptedHub::with_small_receive_buffer()).collect();
    let addresses = silent_hubs.iter().map(|hub| hub.address);
    let targets: Vec<String> = std::iter::once(hub.address)
        .chain(addresses)
        .enumerate()
        .map(|(n, address)| {
            site_config::target(&format!("s-{n}"), &address.to_string(), n as i64, "in_service")
        })
        .collect();
    let program = start_with_hubs(&targets, TIGHTEST_MEMORY_MB, TIGHTEST_SOCKETS);
    let memory = MemoryWatch::start(&program);
    let start = Instant::now();
    let flood = Flood::start(program.address, 1, |_| {
        (1..=300_000).flat_map(|call| request("BYE", call, "", b"")).collect()
    });
    assert_eq!(flood.finish(), 0, "every release is answered");
    let peak = memory.peak_kib();
    assert!(peak < TIGHTEST_MEMORY_MB * 1024, "{peak} KiB");
    wait_until("a release at the hub that reads", || {
        (hub.releases.load(Ordering::Relaxed) > 0).then_some(())
    });
    let releases = hub.releases.load(Ordering::Relaxed);
    let most = RELEASES_PER_SECOND * (start.elapsed().as_secs() as usize + 2);
    assert!(releases <= most, "{releases} releases at the hub, {most} allowed");
}
