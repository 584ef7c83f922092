//! Calls that stand at a draining hub while the session controller is restarted.

use crate::caller::{new_id, Callers, SetUp};
use crate::hub::{Behaviour, Hub, Phase};
use crate::platform::{ChangeLog, Controller, Site, Target};
use crate::record::Record;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A call that is over must be released within this time of the release that its hub sent.
const AFTER_RELEASE: Duration = Duration::from_millis(1_050);
/// The same, counted from its end, if no release could be sent.
const AFTER_END: Duration = Duration::from_millis(8_050);
const CALLS: usize = 4;
/// How long a draining hub goes on before it stops.
const DRAIN: Duration = Duration::from_secs(9);

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Vec<String> {
    let hub = |name: &str, seconds: u64| {
        let behaviour = Behaviour { call_length: Duration::from_secs(seconds), ..Behaviour::default() };
        Hub::start(name, behaviour, record)
    };
    // The calls at the first hub end before it stops; one at the second keeps the caller's connection in use.
    let hubs = [hub("hub-0", 8), hub("hub-1", 60)];
    let target = |i: usize, state| Target {
        uid: format!("s-{i}"),
        address: hubs[i].address,
        place: i,
        state,
        boot_ms: 0,
    };
    let change_log = ChangeLog::start(record);
    change_log.add(true, &[target(0, "in_service"), target(1, "in_service")]);
    let mut controller = Controller::new(folder, Site::selam(), 2, record);
    controller.start(&change_log);
    let callers = Callers::new(record);
    let set_up = |id, dest: &'static str| SetUp {
        id,
        class: "seat-lookup",
        number: "7f3a9c21e0b4d655",
        answer_within: "3000",
        routing: dest,
    };
    let mut first = callers.connect("caller 1", controller.address).expect("connect");
    let calls: Vec<u64> = (0..CALLS).map(|_| new_id()).collect();
    for id in &calls {
        first.send(&set_up(*id, "dest:0;width:1;via:-1"));
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_millis(500));
    let standing: Vec<u64> = calls
        .iter()
        .copied()
        .filter(|id| {
            let at_hub = hubs[0].call(*id).is_some_and(|c| c.phase == Phase::Standing);
            callers.seen(*id).status() == Some(200) && at_hub
        })
        .collect();
    if standing.is_empty() {
        crate::cannot_run("no call stands at hub-0");
    }
    let state = if trouble { "terminating" } else { "in_service" };
    let stops_at = Instant::now() + DRAIN;
    if trouble {
        change_log.add(false, &[target(0, state)]);
    }
    sleep(Duration::from_millis(2_500));
    controller.stop();
    change_log.begin_again(&[target(0, state), target(1, "in_service")]);
    controller.start(&change_log);
    drop(first);
    // The caller comes back at once and keeps a call on its connection.
    let mut second = callers.connect("caller 2", controller.address).expect("connect");
    let other = new_id();
    second.send(&set_up(other, "dest:1;width:1;via:-1"));
    sleep(Duration::from_millis(500));
    if callers.seen(other).status() != Some(200) {
        crate::cannot_run("the call at hub-1 does not stand after the restart");
    }
    let waited = Instant::now();
    let mut has_stopped = !trouble;
    loop {
        sleep(Duration::from_millis(100));
        if !has_stopped && Instant::now() >= stops_at {
            has_stopped = true;
            hubs[0].stop();
            change_log.add(false, &[target(0, "terminated")]);
        }
        let ended = standing.iter().filter_map(|id| hubs[0].call(*id)?.ended_at);
        let (count, latest) = (ended.clone().count(), ended.max());
        let over = latest.is_some_and(|at| at.elapsed() >= AFTER_END + Duration::from_millis(500));
        if count == standing.len() && over {
            break;
        }
        if waited.elapsed() > Duration::from_secs(60) {
            crate::cannot_run("the calls at hub-0 do not end");
        }
    }
    let mut broken = Vec::new();
    for id in standing {
        let Some(call) = hubs[0].call(id) else { continue };
        let Some(ended_at) = call.ended_at else { continue };
        let due = call.release_written_at.map_or(ended_at + AFTER_END, |at| at + AFTER_RELEASE);
        match callers.seen(id).releases.first() {
            Some(at) if *at <= due => {}
            Some(at) => broken.push(format!("{id:016x} was released {} ms after its end", (*at - ended_at).as_millis())),
            None => broken.push(format!(
                "{id:016x} is over for {} ms and still stands at its caller; connections of the session controller to hub-0: {}",
                ended_at.elapsed().as_millis(),
                hubs[0].open_connections()
            )),
        }
    }
    broken
}
