//! The releases of calls in a quiet time, while three of four callers' connections have fallen silent.

use crate::caller::{new_id, Callers, Connection, SetUp};
use crate::hub::{Behaviour, Hub};
use crate::platform::{ChangeLog, Controller, Site, Target};
use crate::record::Record;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A call that is over must be released within this time of the release that its hub sent.
const AFTER_RELEASE: Duration = Duration::from_millis(1_050);
/// How long after the last release the run goes on.
const WAIT: Duration = Duration::from_secs(10);
const SILENT: usize = 3;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Vec<String> {
    let hub = |name: &str, seconds: u64| {
        let behaviour = Behaviour { call_length: Duration::from_secs(seconds), ..Behaviour::default() };
        Hub::start(name, behaviour, record)
    };
    let hubs = [hub("hub-0", 8), hub("hub-1", 60)];
    let target = |i: usize| Target {
        uid: format!("s-{i}"),
        address: hubs[i].address,
        place: i,
        state: "in_service",
        boot_ms: 0,
    };
    let change_log = ChangeLog::start(record);
    change_log.add(true, &[target(0), target(1)]);
    let mut controller = Controller::new(folder, Site::selam(), 2, record);
    controller.start(&change_log);
    let callers = Callers::new(record);
    let place = |connection: &mut Connection, routing| {
        let id = new_id();
        let number = "7f3a9c21e0b4d655";
        connection.send(&SetUp { id, class: "seat-lookup", number, answer_within: "3000", routing });
        sleep(Duration::from_millis(100));
        id
    };
    // The sound connection holds a call of its own, so that nobody closes it. It is heard from first. Of the calls on the other
    // connections the first ends in the run.
    let mut sound = callers.connect("caller 0", controller.address).expect("connect");
    let other = place(&mut sound, "dest:1;width:1;via:-1");
    let mut connections: Vec<Connection> = (1..=SILENT)
        .map(|i| callers.connect(&format!("caller {i}"), controller.address).expect("connect"))
        .collect();
    let routings = ["dest:0;width:1;via:-1", "dest:1;width:1;via:-1", "dest:1;width:1;via:-1"];
    let mut calls: Vec<u64> = connections.iter_mut().zip(routings).map(|(c, to)| place(c, to)).collect();
    if callers.seen(other).status() != Some(200)
        || calls.iter().any(|id| callers.seen(*id).status() != Some(200))
    {
        crate::cannot_run("the calls do not stand");
    }
    calls.truncate(1);
    sleep(Duration::from_millis(500));
    if trouble {
        connections.iter().for_each(Connection::fall_silent);
    }
    // A quiet time: nothing is sent until the calls end.
    let begun = Instant::now();
    while calls.iter().any(|id| hubs[0].call(*id).is_none_or(|c| c.release_written_at.is_none())) {
        sleep(Duration::from_millis(20));
        if begun.elapsed() > Duration::from_secs(30) {
            crate::cannot_run("the calls at hub-0 do not end");
        }
    }
    sleep(WAIT);
    let mut broken = Vec::new();
    for id in calls {
        let Some(written_at) = hubs[0].call(id).and_then(|c| c.release_written_at) else { continue };
        match callers.seen(id).releases.first() {
            Some(at) if *at <= written_at + AFTER_RELEASE => {}
            Some(at) => broken.push(format!(
                "{id:016x} was released {} ms after its hub's release",
                (*at - written_at).as_millis()
            )),
            None => broken.push(format!(
                "{id:016x} still stands at its caller, {} ms after its hub's release",
                written_at.elapsed().as_millis()
            )),
        }
    }
    if sound.has_ended() {
        crate::cannot_run("the sound connection has ended");
    }
    broken
}
