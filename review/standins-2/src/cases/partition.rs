//! Calls that stand at a hub which is cut off for some seconds.

use crate::caller::{new_id, Callers, SetUp};
use crate::hub::{Behaviour, Hub};
use crate::platform::{ChangeLog, Controller, Site, Target};
use crate::record::Record;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

/// How long a zone is partitioned from the others.
const CUT_OFF: Duration = Duration::from_millis(6_000);

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Vec<String> {
    let behaviour = Behaviour { call_length: Duration::from_secs(14), ..Behaviour::default() };
    let names = ["hub-0", "hub-1", "hub-2", "hub-3"];
    let hubs = names.map(|name| Hub::start(name, behaviour.clone(), record));
    let target = |i: usize| Target {
        uid: format!("s-{i}"),
        address: hubs[i].address,
        place: i,
        state: "in_service",
        boot_ms: 0,
    };
    let change_log = ChangeLog::start(record);
    change_log.add(true, &[target(0), target(1), target(2), target(3)]);
    let mut controller = Controller::new(folder, Site::selam(), 4, record);
    controller.start(&change_log);
    let callers = Callers::new(record);
    let mut caller = callers.connect("caller 1", controller.address).expect("connect");
    let mut calls = Vec::new();
    let mut place = |count: usize, dest: &[&'static str], calls: &mut Vec<u64>| {
        for i in 0..count {
            let id = new_id();
            caller.send(&SetUp {
                id,
                class: "seat-lookup",
                number: "7f3a9c21e0b4d655",
                answer_within: "3000",
                routing: dest[i % dest.len()],
            });
            calls.push(id);
            sleep(Duration::from_millis(200));
        }
    };
    let all =
        ["dest:0;width:1;via:-1", "dest:1;width:1;via:-1", "dest:2;width:1;via:-1", "dest:3;width:1;via:-1"];
    place(20, &all, &mut calls);
    sleep(Duration::from_millis(500));
    if trouble {
        hubs[0].cut_off();
    }
    // Ordinary traffic goes on at the other hubs.
    place(CUT_OFF.as_millis() as usize / 200, &all[1..], &mut calls);
    if trouble {
        hubs[0].heal();
    }
    sleep(Duration::from_secs(16));
    let (mut broken, mut kept) = (Vec::new(), 0);
    for id in calls {
        let seen = callers.seen(id);
        let at_hub = hubs.iter().filter_map(|h| Some((h, h.call(id)?))).max_by_key(|(_, c)| c.set_up_at);
        let (Some((hub, call)), Some(200), Some(released)) = (at_hub, seen.status(), seen.releases.first())
        else {
            continue;
        };
        match call.ended_at {
            Some(at) if at <= *released => kept += 1,
            ended => broken.push(format!(
                "the caller of {id:016x} was told that its call is over, {} ms after its answer; it stood at {} for {} ms more ({:?})",
                (*released - seen.answers[0].0).as_millis(),
                hub.name,
                ended.map_or(0, |at| (at - *released).as_millis()),
                call.phase
            )),
        }
    }
    record.line(&format!("{kept} calls were released after their end"));
    if kept == 0 {
        crate::cannot_run("no call stood to its end");
    }
    broken
}
