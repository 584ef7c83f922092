//! Tests of what the core keeps of calls that are over, with injected time and without sockets.

#[path = "common/core_harness.rs"]
mod core_harness;
#[path = "common/site_config.rs"]
mod site_config;

use core_harness::*;
use petreldock::core::*;
use petreldock::interface::{Idempotency, Micros};

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
            harness.input(Input::Shutdown(Micros(harness.now)));
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

/// Classes that may be repeated and that may not.
const IDEMPOTENCIES: [Idempotency; 3] = [Idempotency::Free, Idempotency::Guarded, Idempotency::SingleShot];

/// Has a caller leave while its set-up is at hub `a`, whose give-up is then written. Returns the harness.
fn abandon_at_hub(idempotency: Idempotency, began: bool) -> Harness {
    let mut harness = Harness::with(|config| config.settings.classes[0].idempotency = idempotency);
    harness.offer(1, 0);
    let attempt = harness.next_set_up(0).expect("at a");
    harness.withdraw(1);
    assert!(matches!(harness.next_command(0), Some(ToHub::GiveUp(..))));
    harness.hub_event(0, FromHub::GivenUp { attempt, call: CallName(1), began });
    harness
}

/// A set-up that came again under its name, after its connection had ended, reached a hub during the release pause.
#[test]
fn a_call_that_comes_again_after_its_caller_left_waits_for_the_release_pause() {
    let mut harness = abandon_at_hub(Idempotency::Free, true);
    harness.advance(5_000);
    harness.offer_from(6, 1, 0, b"");
    harness.advance(190_000);
    assert!(harness.next_set_up(0).or(harness.next_set_up(1)).is_none(), "not during the pause");
    harness.advance(10_000);
    assert!(harness.next_set_up(0).or(harness.next_set_up(1)).is_some(), "it is sent after the pause");
}

/// The same, and the caller leaves again during the pause: nothing may be sent for it.
#[test]
fn a_call_that_is_abandoned_again_during_the_pause_begins_no_attempt() {
    let mut harness = abandon_at_hub(Idempotency::Free, true);
    harness.offer(1, 0);
    harness.withdraw(1);
    harness.advance(SECOND);
    assert!(harness.next_set_up(0).or(harness.next_set_up(1)).is_none());
    assert_eq!((harness.core.open_calls(), harness.core.waiting_timers()), (0, 0));
}

/// A single-shot call ran twice when its caller left and sent it again under its name.
#[test]
fn a_call_that_may_have_run_and_must_not_run_twice_is_failed_when_it_comes_again() {
    for idempotency in IDEMPOTENCIES {
        let mut harness = abandon_at_hub(idempotency, true);
        harness.advance(SECOND);
        harness.offer_from(6, 1, 0, b"");
        let is_sent = harness.next_set_up(0).or(harness.next_set_up(1)).is_some();
        assert_eq!(is_sent, idempotency == Idempotency::Free, "{idempotency:?}");
        let is_failed = matches!(harness.next_message(), Some(ToFront::Fail(Origin(6), CallName(1))));
        assert_eq!(
            is_failed,
            idempotency != Idempotency::Free,
            "{idempotency:?}: a refusal says that nothing ran"
        );
    }
}

/// The same while the give-up of the earlier attempt is not written yet.
#[test]
fn a_call_that_comes_again_while_its_attempt_is_given_up_gets_no_second_attempt() {
    for idempotency in IDEMPOTENCIES {
        let mut harness = Harness::with(|config| config.settings.classes[0].idempotency = idempotency);
        harness.offer(1, 0);
        harness.next_set_up(0).expect("at a");
        harness.withdraw(1);
        assert!(matches!(harness.next_command(0), Some(ToHub::GiveUp(..))));
        harness.offer_from(6, 1, 0, b"");
        assert!(harness.next_set_up(0).or(harness.next_set_up(1)).is_none());
        let is_failed = match harness.next_message() {
            Some(ToFront::Fail(Origin(6), CallName(1))) => true,
            Some(ToFront::Refuse(Origin(6), CallName(1), _)) => false,
            other => panic!("{other:?}"),
        };
        assert_eq!(is_failed, idempotency != Idempotency::Free, "{idempotency:?}");
    }
}

/// A set-up that was withdrawn before its first byte never ran: it is sent at once when it comes again.
#[test]
fn a_call_that_never_ran_is_sent_at_once_when_it_comes_again() {
    for idempotency in IDEMPOTENCIES {
        let mut harness = abandon_at_hub(idempotency, false);
        harness.offer_from(6, 1, 1, b"");
        assert!(harness.next_set_up(1).is_some(), "{idempotency:?}");
    }
}

/// How long the caller of a single-shot call may send it again is set by the longest wait, not by the flood beside it.
#[test]
fn refused_calls_do_not_displace_a_call_that_must_not_run_twice() {
    let mut harness = abandon_at_hub(Idempotency::SingleShot, true);
    harness.input(list(true, vec![]));
    for call in 0x1000..0x1000 + 40_000 {
        harness.offer(call, 0);
        assert!(matches!(harness.next_message(), Some(ToFront::Refuse(..))));
    }
    harness.advance(59 * SECOND);
    harness.offer_from(6, 1, 0, b"");
    assert!(matches!(harness.next_message(), Some(ToFront::Fail(Origin(6), CallName(1)))));
}
