//! Clients whose set-ups hold figures that are out of range or not numbers.

use crate::caller::{new_id, Callers, SetUp};
use crate::hub::{Behaviour, Hub};
use crate::platform::{ChangeLog, Controller, Site, Target};
use crate::record::Record;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

/// Each client's `Answer-Within` and `Routing-Data`.
const BAD: [(&str, &str); 6] = [
    ("3000", "dest:0;width:many;via:-1"),
    ("3000", "dest:0;width:-5;via:-1"),
    ("3000", "dest:0;width:1;via:nowhere"),
    ("3000", "dest:-99;width:1;via:-1"),
    ("3000", "dest:4611686018427387904;width:1;via:-1"),
    ("9007199254740993", "dest:0;width:1;via:-1"),
];
const GOOD: (&str, &str) = ("3000", "dest:0;width:1;via:-1");

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Vec<String> {
    let hubs = ["hub-0", "hub-1"].map(|name| Hub::start(name, Behaviour::default(), record));
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
    let mut clients = Vec::new();
    for (i, bad) in BAD.iter().enumerate() {
        for (kind, (answer_within, routing)) in [("usual", GOOD), ("bad", if trouble { *bad } else { GOOD })]
        {
            let mut connection =
                callers.connect(&format!("{kind} client {i}"), controller.address).expect("connect");
            let set_up = SetUp {
                id: new_id(),
                class: "seat-lookup",
                number: "7f3a9c21e0b4d655",
                answer_within,
                routing,
            };
            connection.send(&set_up);
            clients.push((kind, set_up, connection));
            sleep(Duration::from_millis(250));
        }
    }
    sleep(Duration::from_secs(4));
    let mut broken = Vec::new();
    for (kind, set_up, _) in &clients {
        let served = callers.seen(set_up.id).status() == Some(200);
        if *kind == "usual" && !served {
            crate::cannot_run("a usual client is not served");
        }
        if *kind == "bad" && trouble && served {
            broken.push(format!(
                "{:016x} was answered 'served', with Answer-Within: {} and Routing-Data: {}",
                set_up.id, set_up.answer_within, set_up.routing
            ));
        }
        if *kind == "bad" && !trouble && !served {
            crate::cannot_run("a client is not served");
        }
    }
    broken
}
