//! A small site's configuration, for tests of the core and of the started program.

#![allow(dead_code)]

use petreldock::config::{self, Config, JsonNode};

/// The settings: one class that wants to stand within 1 s.
pub const SETTINGS: &str = r#"{"balancers":1,"classes":[{"name":"voice","objective":1000000,"deadline":6000000,
    "idempotency":"free","lateWorth":0.2,"worth":1.0}],"contract":{"coldFrom":0.3,"warmUp":14000000,
    "overloadFactor":3.0,"overloadFor":1000000,"drainGrace":2000000},"familyInfo":{"allowedPools":[[0,1]],
    "classHold":[8000000],"release":200000,"resend":500000,"networkForm":"pools"},"limits":{"maxAttempts":6,
    "cancel":true,"mayProbe":true,"dialTimeout":500000,"retryAfter":true,"maxRetryAfter":2000000},
    "report":{"names":["free","size","can_take"],"via":"piggyback"}}"#;

/// A hub of the change log.
pub fn target(uid: &str, endpoint: &str, place: i64, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"east","model":"std","pod_group":{place},"state":"{state}","capacity_hint":1,"boot_ms":0}}"#
    )
}

/// One event of the change log.
pub fn event(seq: u64, all: bool, targets: &[String]) -> String {
    format!(r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":{all},"targets":[{}]}}}}"#, targets.join(","))
}

/// The whole document.
pub fn document(listen: &str, change_log: Option<&str>, targets: &[String]) -> String {
    let log = change_log.map_or(String::new(), |a| format!(r#""changelog":"{a}","#));
    let known = event(1, true, targets);
    format!(
        r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},{log}"known":{{"seq":1,"results":[{known}]}},"settings":{SETTINGS}}}"#
    )
}

/// The document, read.
pub fn config(targets: &[String]) -> Config {
    let text = document("127.0.0.1:0", None, targets);
    let value = config::parse(&text, "test").expect("JSON");
    Config::read(&JsonNode::root(&value, ""), None).expect("a sound configuration")
}
