//! Tests of what the core keeps of calls that are over, with injected time and without sockets.

#[path = "common/core_harness.rs"]
mod core_harness;
#[path = "common/site_config.rs"]
mod site_config;

use core_harness::*;
use petreldock::core::*;

/// Ends a call that is open at hub `a` in one way.
type EndCall = fn(&mut Harness, u64);

/// Refused set-ups kept their timers until their callers' time was up, and a flood of them exhausted the memory.
#[test]
fn no_timer_outlives_the_call_that_it_was_set_for() {
    let ends: [(&str, EndCall); 5] = [
        ("refused", |harness, call| {
            harness.released(0, call, 17, RefusalNote::NumberBusy);
        }),
        ("answered", |harness, call| harness.answered(0, call)),
        ("withdrawn", |harness, call| {
            harness.withdraw(call);
        }),
        ("released before its answer", |harness, call| {
            let event = FromHub::ReleasedUnanswered(CallName(call), Cause::NORMAL, Default::default());
            harness.hub_event(0, event);
        }),
        ("shut down", |harness, _| {
            harness.input(Input::Shutdown(petreldock::interface::Micros(harness.now)));
            harness.advance(5_000);
        }),
    ];
    for (end, end_call) in ends {
        let mut harness = Harness::new();
        harness.offer(1, 0);
        assert!(harness.next_set_up(0).is_some(), "{end}");
        assert!(harness.core.waiting_timers() > 0, "{end}: an open call has a deadline");
        end_call(&mut harness, 1);
        assert_eq!(harness.core.waiting_timers(), 0, "{end}");
    }
}

/// The same for a set-up that is refused without an attempt.
#[test]
fn a_set_up_that_no_hub_may_take_leaves_no_timer() {
    let mut harness = Harness::new();
    harness.input(list(true, vec![]));
    for call in 1..=50 {
        harness.offer(call, 0);
        assert!(matches!(harness.next_message(), Some(ToFront::Refuse(..))));
    }
    assert_eq!(harness.core.waiting_timers(), 0);
}

/// The checks of an open attempt, which are repeated, are each forgotten once they came due.
#[test]
fn the_timers_of_an_open_call_do_not_accumulate() {
    let mut harness = Harness::new();
    harness.offer(1, 0);
    let at_start = harness.core.waiting_timers();
    harness.advance(SECOND / 2);
    assert_eq!(harness.core.open_calls(), 1);
    assert!(harness.core.waiting_timers() <= at_start, "{} > {at_start}", harness.core.waiting_timers());
}
