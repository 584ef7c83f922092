//! Calls that are set up at a hub which has restarted, before the change log tells of its start.

use crate::caller::{new_id, Callers, SetUp};
use crate::hub::{Behaviour, Hub, Phase};
use crate::platform::{ChangeLog, Controller, Site, Target};
use crate::record::Record;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a zone with one hub is lost.
const OUTAGE: Duration = Duration::from_millis(5_000);
/// How late the change log tells of the start. (That a machine is silent it tells after 8.9 s or more.)
const NEWS_AFTER: Duration = Duration::from_millis(2_400);

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Vec<String> {
    let behaviour = Behaviour { call_length: Duration::from_secs(10), ..Behaviour::default() };
    let names = ["hub-0", "hub-1", "hub-2", "hub-3"];
    let hubs = names.map(|name| Hub::start(name, behaviour.clone(), record));
    let target = |i: usize, boot_ms| Target {
        uid: format!("s-{i}"),
        address: hubs[i].address,
        place: i,
        state: "in_service",
        boot_ms,
    };
    let change_log = ChangeLog::start(record);
    change_log.add(true, &[target(0, 0), target(1, 0), target(2, 0), target(3, 0)]);
    let mut controller = Controller::new(folder, Site::selam(), 4, record);
    controller.start(&change_log);
    let callers = Callers::new(record);
    let mut caller = callers.connect("caller 1", controller.address).expect("connect");
    let mut calls = Vec::new();
    let mut place = |count: usize, pause: u64, calls: &mut Vec<u64>| {
        for _ in 0..count {
            let id = new_id();
            caller.send(&SetUp {
                id,
                class: "seat-lookup",
                number: "7f3a9c21e0b4d655",
                answer_within: "3000",
                routing: "dest:0;width:1;via:-1",
            });
            calls.push(id);
            sleep(Duration::from_millis(pause));
        }
    };
    // Ordinary traffic of five calls a second before, during and after the loss.
    place(10, 200, &mut calls);
    let mut started = None;
    if trouble {
        hubs[0].vanish();
    }
    place(25, OUTAGE.as_millis() as u64 / 25, &mut calls);
    if trouble {
        hubs[0].come_back();
        let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis() as u64;
        started = Some((Instant::now(), boot_ms));
    }
    place(12, NEWS_AFTER.as_millis() as u64 / 12, &mut calls);
    if let Some((at, boot_ms)) = started {
        sleep((at + NEWS_AFTER).saturating_duration_since(Instant::now()));
        change_log.add(false, &[target(0, boot_ms)]);
    }
    place(5, 200, &mut calls);
    sleep(Duration::from_secs(11));
    let mut broken = Vec::new();
    let mut kept = 0;
    for id in calls {
        let seen = callers.seen(id);
        if seen.status() != Some(200) {
            continue;
        }
        let at_hub = hubs.iter().filter_map(|h| Some((h, h.call(id)?))).max_by_key(|(_, c)| c.set_up_at);
        let Some((hub, call)) = at_hub else { continue };
        let Some(released) = seen.releases.first() else { continue };
        match call.ended_at {
            Some(at) if at <= *released => kept += 1,
            _ => broken.push(format!(
                "the caller of {id:016x} was told that its call is over, {} ms after its answer; it stood at {} ({:?})",
                (*released - seen.answers[0].0).as_millis(),
                hub.name,
                call.phase
            )),
        }
        if call.phase == Phase::ReleasedByController {
            record.line(&format!("{id:016x} was released at the hub as well"));
        }
    }
    record.line(&format!("{kept} calls were released after their end"));
    if kept == 0 {
        crate::cannot_run("no call stood to its end");
    }
    broken
}
