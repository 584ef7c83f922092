//! Answers of hubs that are just short enough for a message.

use crate::caller::{new_id, Callers, SetUp};
use crate::hub::{Behaviour, Hub};
use crate::platform::{ChangeLog, Controller, Site, Target};
use crate::record::Record;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

/// A message may hold 16 KiB at most.
const LONGEST: usize = 16 * 1024;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Vec<String> {
    // The whole answer, with its report, is within the limit too.
    let description_bytes = if trouble { LONGEST - 80 } else { 60 };
    let behaviour = Behaviour { description_bytes, ..Behaviour::default() };
    let hub = Hub::start("hub-0", behaviour, record);
    let target =
        Target { uid: "s-0".into(), address: hub.address, place: 0, state: "in_service", boot_ms: 0 };
    let change_log = ChangeLog::start(record);
    change_log.add(true, &[target]);
    let mut controller = Controller::new(folder, Site::selam(), 1, record);
    controller.start(&change_log);
    let callers = Callers::new(record);
    let mut caller = callers.connect("caller 1", controller.address).expect("connect");
    let calls: Vec<u64> = (0..5).map(|_| new_id()).collect();
    for id in &calls {
        caller.send(&SetUp {
            id: *id,
            class: "seat-lookup",
            number: "7f3a9c21e0b4d655",
            answer_within: "3000",
            routing: "dest:0;width:1;via:-1",
        });
        sleep(Duration::from_millis(200));
    }
    sleep(Duration::from_millis(3_500));
    let mut broken = Vec::new();
    for id in calls {
        match callers.seen(id).answers.first() {
            None => broken.push(format!("{id:016x} has no answer")),
            Some((_, status, _, whole)) if *whole > LONGEST => {
                broken.push(format!("{id:016x} was answered {status} by a message of {whole} bytes"))
            }
            Some(_) => {}
        }
    }
    broken
}
