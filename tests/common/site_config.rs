//! The configuration of a small site, for tests of the core and of the program as a process.
#![allow(dead_code)]

use petreldock::config::{self, Config, JsonNode};

/// The `settings` section: a single class `voice` with an objective of 1 s and a deadline of 6 s.
pub const SETTINGS: &str = r#"{"balancers":1,"classes":[{"name":"voice","objective":1000000,"deadline":6000000,
    "idempotency":"free","lateWorth":0.2,"worth":1.0}],"contract":{"coldFrom":0.3,"warmUp":14000000,
    "overloadFactor":3.0,"overloadFor":1000000,"drainGrace":2000000},"familyInfo":{"allowedPools":[[0,1]],
    "classHold":[8000000],"release":200000,"resend":500000,"networkForm":"pools"},"limits":{"maxAttempts":6,
    "cancel":true,"mayProbe":true,"dialTimeout":500000,"retryAfter":true,"maxRetryAfter":2000000},
    "report":{"names":["free","size","can_take"],"via":"piggyback"}}"#;

/// Formats a hub as an event of the change log lists it.
pub fn target(uid: &str, endpoint: &str, place: i64, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"east","model":"std","pod_group":{place},"state":"{state}","capacity_hint":1,"boot_ms":0}}"#
    )
}

/// Formats an event of the change log. If `all`, its targets replace all earlier ones.
pub fn event(seq: u64, all: bool, targets: &[String]) -> String {
    format!(r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":{all},"targets":[{}]}}}}"#, targets.join(","))
}

/// Formats the whole configuration; its known event (1) lists `targets`.
pub fn document(listen: &str, change_log: Option<&str>, targets: &[String]) -> String {
    let change_log_field = change_log.map_or(String::new(), |a| format!(r#""changelog":"{a}","#));
    let known_event = event(1, true, targets);
    format!(
        r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},{change_log_field}"known":{{"seq":1,"results":[{known_event}]}},"settings":{SETTINGS}}}"#
    )
}

/// Returns the parsed configuration, without a change log.
pub fn config(targets: &[String]) -> Config {
    let text = document("127.0.0.1:0", None, targets);
    let value = config::parse(&text, "test").expect("JSON");
    Config::read(&JsonNode::root(&value, ""), None).expect("a sound configuration")
}
