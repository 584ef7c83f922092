//! Settings and calls shared by tests of the routing rules.

use petreldock::interface::*;

/// Returns settings with two classes that differ only in their worth.
pub fn settings() -> Settings {
    let class = Class {
        objective: Micros(1_000_000),
        deadline: Micros(6_000_000),
        worth: 1.0,
        late_worth: 0.2,
        idempotency: Idempotency::Free,
        places: vec![],
        hold_time: Micros(8_000_000),
    };
    Settings {
        balancers: 2,
        classes: vec![class.clone(), Class { worth: 5.0, ..class }],
        cold_from: 0.4,
        warm_up: Micros(10_000_000),
        overload_factor: 3.0,
        overload_for: Micros(1_500_000),
        drain_grace: Micros(2_000_000),
        release: Micros(300_000),
        resend: Micros(0),
        max_attempts: 4,
        may_cancel: true,
        may_message_peers: false,
        max_retry_after: Micros(0),
        index: 0,
        must_subscribe: false,
        own_place: None,
    }
}

/// Returns a call of class 0 without a number and with a deadline of 0.
pub fn new_call(id: u64, place: i64) -> NewCall {
    NewCall {
        id: CallId(id),
        class: 0,
        place,
        number: None,
        deadline: Micros(0),
        repeat: false,
        returned: false,
        transit: false,
    }
}
