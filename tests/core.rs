//! Tests of the core with injected time and without sockets: each rule that it enforces, and messages that
//! cross.

#[path = "common/core_harness.rs"]
mod core_harness;
#[path = "common/site_config.rs"]
mod site_config;

use core_harness::*;
use petreldock::core::*;
use petreldock::interface::*;
use petreldock::learning::{DecaySettings, Identity, LearnedHub, LearnedState, RestoredState};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

#[test]
fn a_refusal_by_a_full_hub_leads_to_another_hub_and_exactly_one_answer() {
    let mut harness = Harness::new();
    harness.offer(1, 0);
    assert!(harness.next_set_up(0).is_some() && harness.next_set_up(1).is_none());
    harness.released(0, 1, 34, RefusalNote::Throttled);
    assert!(harness.next_set_up(1).is_some(), "a refused set-up never ran: the next attempt needs no pause");
    harness.answered(1, 1);
    assert!(matches!(harness.next_message(), Some(ToFront::Answer(Origin(5), CallName(1), _))));
    harness.answered(1, 1);
    harness.advance(4 * SECOND);
    assert!(harness.next_message().is_none(), "one answer, and no deadline once the call is established");
    harness.released(1, 1, 16, RefusalNote::None);
    assert!(matches!(
        harness.next_message(),
        Some(ToFront::Release(Some(Origin(5)), CallName(1), Cause(16)))
    ));
    harness.released(1, 1, 16, RefusalNote::None);
    assert!(harness.next_message().is_none(), "a repeated release is passed on once");
    assert_eq!(harness.core.open_calls(), 0);
}

#[test]
fn a_withdrawn_set_up_that_was_not_sent_is_cancelled() {
    let mut harness = Harness::new();
    harness.offer(1, 0);
    let attempt = harness.next_set_up(0).expect("sent");
    harness.withdraw(1);
    assert!(matches!(harness.next_command(0), Some(ToHub::GiveUp(CallName(1), n)) if n == attempt));
    assert_eq!(harness.core.open_calls(), 1, "the attempt ends when its link reports it");
    harness.hub_event(0, FromHub::GivenUp { attempt, call: CallName(1), began: false });
    assert_eq!(harness.core.open_calls(), 0);
    assert!(harness.next_message().is_none(), "no answer is owed to a caller that has left");
}

#[test]
fn an_answer_that_crosses_the_give_up_is_released_and_not_passed_on() {
    for written in [false, true] {
        let mut harness = Harness::new();
        harness.offer(1, 0);
        let attempt = harness.next_set_up(0).expect("sent");
        harness.withdraw(1);
        assert!(matches!(harness.next_command(0), Some(ToHub::GiveUp(..))));
        if written {
            harness.hub_event(0, FromHub::GivenUp { attempt, call: CallName(1), began: true });
        }
        harness.answered(0, 1);
        assert!(matches!(harness.next_command(0), Some(ToHub::Release(CallName(1), Cause(16)))));
        assert!(harness.next_message().is_none());
    }
}

#[test]
fn the_release_pause_starts_when_the_give_up_is_written() {
    let mut harness = Harness::new();
    harness.offer(1, 0);
    let attempt = harness.next_set_up(0).expect("sent");
    // The hub does not respond: the attempt is cancelled while there is time to try another hub.
    harness.advance(SECOND);
    assert!(matches!(harness.next_command(0), Some(ToHub::GiveUp(..))));
    assert!(harness.next_set_up(1).is_none(), "no second attempt while the first is open");
    harness.hub_event(0, FromHub::GivenUp { attempt, call: CallName(1), began: true });
    harness.advance(195_000);
    assert!(harness.next_set_up(1).is_none(), "not within 200 ms of writing the give-up");
    harness.advance(10_000);
    assert!(
        harness.next_set_up(1).is_some()
            || harness.next_set_up(0).is_some()
            || harness.next_message().is_some()
    );
}

#[test]
fn a_lost_set_up_is_repeated_only_after_the_release_pause() {
    let mut harness = Harness::new();
    harness.offer(1, 0);
    let attempt = harness.next_set_up(0).expect("sent");
    harness.hub_event(0, FromHub::ConnectionLost(CallName(1), attempt));
    harness.advance(195_000);
    assert!(harness.next_set_up(0).is_none() && harness.next_set_up(1).is_none());
    harness.advance(10_000);
    assert!(harness.next_set_up(0).or(harness.next_set_up(1)).is_some());
}

#[test]
fn a_call_that_no_hub_answers_gets_a_final_answer_by_its_deadline() {
    let mut harness = Harness::new();
    harness.offer(1, 0);
    harness.advance(3 * SECOND);
    assert!(matches!(harness.next_message(), Some(ToFront::Fail(..) | ToFront::Refuse(..))));
    assert!(harness.next_message().is_none());
    harness.answered(0, 1);
    assert!(harness.next_message().is_none(), "the answer is too late");
}

#[test]
fn a_drain_is_passed_to_the_link_and_no_set_up_starts_after_its_grace() {
    let mut harness = Harness::new();
    harness.input(list(false, vec![hub("b", "10.0.0.2:1", 1, Phase::Draining)]));
    let until = Micros(harness.now + 2 * SECOND);
    assert!(matches!(harness.next_command(1), Some(ToHub::SetUpCutoff(Some(t))) if t == until));
    harness.advance(2 * SECOND);
    for call in 0..20 {
        harness.offer(call, 1);
    }
    assert!(harness.next_command(1).is_none());
}

#[test]
fn a_gone_or_dead_hub_releases_its_calls_and_a_new_hub_can_reuse_its_address() {
    let mut harness = Harness::new();
    for call in [1, 2] {
        harness.offer(call, call as i64 - 1);
        assert!(harness.next_set_up(call as usize - 1).is_some());
        harness.answered(call as usize - 1, call);
        assert!(matches!(harness.next_message(), Some(ToFront::Answer(..))));
    }
    harness.hub_event(1, FromHub::Dead);
    assert!(matches!(harness.next_message(), Some(ToFront::Release(_, CallName(2), Cause(41)))));
    let replaced = vec![hub("a", "", 0, Phase::Gone), hub("c", "10.0.0.1:1", 0, Phase::Up)];
    harness.input(list(false, replaced));
    assert!(matches!(harness.next_message(), Some(ToFront::Release(_, CallName(1), Cause(41)))));
    assert!(matches!(harness.next_command(0), Some(ToHub::Close)));
    let links = harness.links.lock().expect("lock");
    assert_eq!((links.len(), &*links[2].endpoint), (3, "10.0.0.1:1"));
    drop(links);
    harness.released(0, 9, 16, RefusalNote::None);
    assert!(harness.next_message().is_none(), "events of a closed link are ignored");
}

#[test]
fn a_dead_hub_cuts_its_calls_and_its_set_ups_stay_open_until_the_link_reports_their_end() {
    let mut harness = Harness::new();
    for call in [1, 2] {
        harness.offer(call, 0);
    }
    let open = harness.next_set_up(0).expect("the first");
    assert!(harness.next_set_up(0).is_some());
    harness.answered(0, 2);
    assert!(matches!(harness.next_message(), Some(ToFront::Answer(..))));
    harness.hub_event(0, FromHub::Dead);
    assert!(matches!(harness.next_message(), Some(ToFront::Release(_, CallName(2), Cause(41)))));
    harness.advance(SECOND / 2);
    assert!(
        harness.next_set_up(0).or(harness.next_set_up(1)).is_none(),
        "no second attempt while the first may still run"
    );
    harness.hub_event(0, FromHub::ConnectionLost(CallName(1), open));
    harness.advance(SECOND / 2);
    assert!(harness.next_set_up(0).or(harness.next_set_up(1)).is_some());
}

#[test]
fn set_ups_at_a_replaced_hub_stay_open_until_its_connections_are_closed() {
    let mut harness = Harness::new();
    harness.offer(1, 0);
    let attempt = harness.next_set_up(0).expect("sent");
    harness.input(list(false, vec![hub("a", "", 0, Phase::Gone)]));
    assert!(matches!(harness.next_command(0), Some(ToHub::SetUpCutoff(_)) | Some(ToHub::Close)));
    harness.advance(SECOND / 2);
    assert!(harness.next_command(1).is_none(), "no second attempt while the first may still run");
    harness.answered(0, 1);
    assert!(harness.next_message().is_none(), "other events of a closing link are ignored");
    harness.hub_event(0, FromHub::ConnectionLost(CallName(1), attempt));
    harness.hub_event(0, FromHub::Closed);
    harness.advance(SECOND / 10);
    assert!(harness.next_command(1).is_none(), "no attempt during the release pause");
    harness.advance(SECOND / 5);
    assert!(harness.next_set_up(1).is_some());
    // A set-up whose end the link did not report ends when the link is closed.
    harness.input(list(false, vec![hub("b", "", 1, Phase::Gone), hub("c", "10.0.0.3:1", 0, Phase::Up)]));
    harness.hub_event(1, FromHub::Closed);
    harness.advance(SECOND / 2);
    assert!(harness.next_set_up(2).is_some());
}

#[test]
fn a_drain_takes_effect_when_the_change_log_may_have_announced_it() {
    let mut harness = Harness::new();
    let announced = Micros(START - SECOND);
    let hubs = vec![hub("b", "10.0.0.2:1", 1, Phase::Draining)];
    harness.input(Input::HubList(HubListUpdate {
        full: false,
        hubs: hubs.clone(),
        effective_since: announced,
        seq: 0,
    }));
    assert!(
        matches!(harness.next_command(1), Some(ToHub::SetUpCutoff(Some(t))) if t == announced + Micros(2 * SECOND))
    );
    harness.advance(SECOND / 2);
    harness.input(list(false, hubs));
    assert!(harness.next_command(1).is_none(), "a repeated drain counts from the first time");
    // At the start, drains in the configured list have been in effect for long.
    let drains = [
        site_config::target("a", "10.0.0.1:1", 0, "terminating"),
        site_config::target("b", "10.0.0.2:1", 1, "in_service"),
    ];
    let mut harness = Harness::with(|config| config.known = site_config::config(&drains).known);
    for call in 0..10 {
        harness.offer(call, 0);
        assert!(harness.next_set_up(0).is_some(), "the only link is that of the other hub");
        harness.answered(0, call);
    }
    assert_eq!(&*harness.links.lock().expect("lock")[0].endpoint, "10.0.0.2:1");
}

#[test]
fn the_core_is_ready_only_after_the_change_log_was_read_or_a_time_out() {
    let mut harness = Harness::with(|config| config.change_log = "10.0.0.9:1".parse().ok());
    harness.hub_event(0, FromHub::LoadReport(Report::default()));
    harness.hub_event(1, FromHub::LoadReport(Report::default()));
    harness.advance(SECOND / 2);
    assert!(!harness.status.borrow().ready, "the change log may hold a drain that the configured list lacks");
    harness.input(Input::ChangeLogCurrent);
    harness.advance(10_000);
    assert!(harness.status.borrow().ready);
    let mut unreachable = Harness::with(|config| config.change_log = "10.0.0.9:1".parse().ok());
    unreachable.advance(SECOND + 10_000);
    assert!(
        unreachable.status.borrow().ready,
        "an unreachable change log delays readiness only for a limited time"
    );
}

/// For each way in which an attempt can end and each idempotency: whether and when the call is tried again, and
/// how it is answered if not.
#[test]
fn each_attempt_end_is_repeated_or_answered_as_the_idempotency_of_its_class_allows() {
    let released = |cause, note| FromHub::Released(CallName(1), Cause(cause), note, Report::default());
    let attempt = 1;
    let given_up = |began| FromHub::GivenUp { attempt, call: CallName(1), began };
    let ends = [
        (released(34, RefusalNote::Congestion), false, false),
        (released(34, RefusalNote::Throttled), false, false),
        (FromHub::Unreachable(CallName(1), attempt), false, false),
        (FromHub::NotSent(CallName(1), attempt), false, false),
        (given_up(false), false, false),
        (released(17, RefusalNote::None), true, false),
        (released(47, RefusalNote::None), true, false),
        (released(41, RefusalNote::None), true, true),
        (FromHub::ConnectionLost(CallName(1), attempt), true, true),
        (given_up(true), true, true),
    ];
    for idempotency in [Idempotency::Free, Idempotency::Guarded, Idempotency::SingleShot] {
        for (end, may_have_run, pause) in &ends {
            let case = format!("{idempotency:?}, {end:?}");
            let mut harness = Harness::with(|config| config.settings.classes[0].idempotency = idempotency);
            harness.offer(1, 0);
            assert_eq!(harness.next_set_up(0), Some(attempt), "{case}");
            harness.hub_event(0, end.clone());
            harness.advance(190_000);
            let immediately = harness.next_set_up(0).or(harness.next_set_up(1)).is_some();
            harness.advance(20_000);
            let later = harness.next_set_up(0).or(harness.next_set_up(1)).is_some();
            let repeated = idempotency == Idempotency::Free || !may_have_run;
            assert_eq!((immediately, later), (repeated && !pause, repeated && *pause), "{case}");
            if !repeated {
                assert!(matches!(harness.next_message(), Some(ToFront::Fail(..))), "{case}: it may have run");
                assert!(harness.next_message().is_none(), "{case}: one answer");
            }
        }
        // Void, or expired before its first byte: nothing ran, so the call may be refused.
        for end in [released(102, RefusalNote::None), FromHub::NotSent(CallName(1), attempt)] {
            let late = matches!(end, FromHub::NotSent(..));
            let mut harness = Harness::with(|config| config.settings.classes[0].idempotency = idempotency);
            harness.offer(1, 0);
            harness.now += if late { 3 * SECOND } else { 0 };
            harness.hub_event(0, end);
            assert!(matches!(harness.next_message(), Some(ToFront::Refuse(..))), "{idempotency:?}");
        }
    }
}

#[test]
fn replaced_hubs_are_forgotten_so_that_new_hubs_are_always_accepted() {
    let mut harness = Harness::new();
    let (first, second) = (hub("a", "10.0.0.1:1", 0, Phase::Gone), hub("a", "10.0.0.1:1", 0, Phase::Up));
    harness.input(list(false, vec![first]));
    harness.input(list(false, vec![second]));
    for number in 0..5_000 {
        harness.now += 1_000;
        let uid = format!("s-{number}");
        // Each hub has the address of the previous one.
        harness.input(list(false, vec![hub(&uid, "10.0.0.9:1", 1, Phase::Up)]));
        harness.input(list(false, vec![hub(&uid, "", 1, Phase::Gone)]));
    }
    assert!(harness.core.known_hubs() < 1100, "{} hubs known", harness.core.known_hubs());
    harness.input(list(false, vec![hub("b", "10.0.0.2:1", 1, Phase::Gone)]));
    harness.input(list(false, vec![hub("last", "10.0.0.9:1", 1, Phase::Up)]));
    harness.offer(1, 1);
    let last = harness.links.lock().expect("lock").len() - 1;
    assert!(harness.next_set_up(last).is_some());
    harness.offer(2, 0);
    let set_up = std::iter::from_fn(|| harness.next_command(2)).any(|c| matches!(c, ToHub::SetUp(_)));
    assert!(set_up, "the hub that stays in service still gets set-ups");
}

#[test]
fn an_answer_for_an_unknown_call_is_ignored() {
    let mut harness = Harness::new();
    harness.answered(0, 78);
    assert!(harness.next_command(0).is_none() && harness.next_message().is_none());
}

#[test]
fn a_release_of_an_unknown_call_is_passed_on_once() {
    let mut harness = Harness::new();
    harness.released(0, 77, 16, RefusalNote::None);
    assert!(matches!(harness.next_message(), Some(ToFront::Release(None, CallName(77), Cause(16)))));
    harness.released(1, 77, 16, RefusalNote::None);
    assert!(harness.next_message().is_none());
}

#[test]
fn a_callers_release_reaches_the_hub_even_for_a_call_from_before_the_start() {
    let mut harness = Harness::new();
    harness.offer(1, 0);
    harness.next_set_up(0).expect("sent");
    harness.answered(0, 1);
    harness.input(Input::Hangup(FrontId(0), CallName(1), Cause(16)));
    assert!(matches!(harness.next_command(0), Some(ToHub::Release(CallName(1), Cause(16)))));
    assert_eq!(harness.core.open_calls(), 0);
    harness.input(Input::Hangup(FrontId(0), CallName(55), Cause(16)));
    harness.input(Input::Hangup(FrontId(0), CallName(55), Cause(16)));
    harness.advance(5_000);
    for hub in [0, 1] {
        assert!(matches!(harness.next_command(hub), Some(ToHub::ReleaseUnknown(CallName(55), Cause(16)))));
        assert!(harness.next_command(hub).is_none(), "passed on once");
    }
}

#[test]
fn retransmissions_unknown_classes_and_other_connections_start_and_end_nothing() {
    let mut harness = Harness::new();
    harness.offer(1, 0);
    harness.offer(1, 0);
    assert!(
        harness.next_set_up(0).is_some() && harness.next_command(0).is_none(),
        "a retransmission starts no attempt"
    );
    harness.input(Input::Withdrawn(FrontId(0), Origin(6), CallName(1)));
    assert!(harness.next_command(0).is_none(), "the loss of another connection does not withdraw the set-up");
    harness.input(Input::Hangup(FrontId(0), CallName(1), Cause(16)));
    assert!(harness.next_command(0).is_none(), "nor does a release of a call that is not established");
    assert!(harness.next_message().is_none());
    // The same call name on another connection is refused there, before and after the call is established.
    harness.offer_from(6, 1, 0, b"other");
    assert!(matches!(harness.next_message(), Some(ToFront::Refuse(Origin(6), CallName(1), _))));
    harness.answered(0, 1);
    assert!(matches!(harness.next_message(), Some(ToFront::Answer(Origin(5), CallName(1), _))));
    harness.offer_from(6, 1, 0, b"other");
    assert!(matches!(harness.next_message(), Some(ToFront::Refuse(Origin(6), CallName(1), _))));
    assert!(harness.next_command(0).is_none() && harness.next_command(1).is_none());
    let deadline = Some(Micros(harness.now + SECOND));
    harness.input(Input::Offer(Offer {
        front: FrontId(0),
        origin: Origin(5),
        call: CallName(2),
        class: "odd".into(),
        number: "1".into(),
        place: 0,
        deadline,
        repeat: false,
        returned: false,
        description: Description::default(),
        retained_bytes: 0,
    }));
    assert!(matches!(harness.next_message(), Some(ToFront::Fail(_, CallName(2)))));
}

#[test]
fn a_shutdown_refuses_calls_still_open_at_its_time() {
    let mut harness = Harness::new();
    harness.offer(1, 0);
    harness.input(Input::Shutdown(Micros(harness.now + SECOND / 2)));
    harness.advance(5_000);
    assert_eq!(
        *harness.status.borrow(),
        Status { ready: false, stopping: true, unanswered: 1, unsent_releases: 0 }
    );
    harness.advance(SECOND / 2);
    assert!(matches!(harness.next_message(), Some(ToFront::Refuse(_, CallName(1), _))));
    harness.advance(5_000);
    assert_eq!(harness.status.borrow().unanswered, 0);
}

#[test]
fn the_total_size_of_descriptions_is_bounded_and_released_with_the_calls() {
    let mut harness = Harness::with(|c| c.limits.max_open_bytes = 25_000);
    let body = [b'v'; 10_000];
    for call in [1, 2, 3] {
        harness.offer_with(call, 0, &body);
    }
    assert!(matches!(harness.next_message(), Some(ToFront::Refuse(_, CallName(3), _))));
    harness.answered(0, 1);
    assert!(matches!(harness.next_message(), Some(ToFront::Answer(_, CallName(1), _))));
    harness.offer_with(4, 0, &body);
    assert!(harness.next_message().is_none(), "an established call no longer holds its description");
    harness.released(0, 2, 17, RefusalNote::NumberBusy);
    assert!(matches!(harness.next_message(), Some(ToFront::Fail(..) | ToFront::Refuse(..))));
    harness.offer_with(5, 0, &body);
    assert!(harness.next_message().is_none(), "nor does an ended call");
}

/// Only descriptions were bounded, and numbers of 15 KiB exhausted the memory.
#[test]
fn long_numbers_and_retained_headers_count_towards_the_size_of_open_set_ups() {
    for (number_bytes, retained_bytes) in [(10_000, 0), (0, 10_000)] {
        let mut harness = Harness::with(|c| c.limits.max_open_bytes = 25_000);
        for call in [1, 2, 3] {
            let deadline = Some(Micros(harness.now + 3 * SECOND));
            harness.input(Input::Offer(Offer {
                front: FrontId(0),
                origin: Origin(5),
                call: CallName(call),
                class: "voice".into(),
                number: "9".repeat(number_bytes).into(),
                place: 0,
                deadline,
                repeat: false,
                returned: false,
                description: Description::default(),
                retained_bytes,
            }));
        }
        assert!(matches!(harness.next_message(), Some(ToFront::Refuse(_, CallName(3), _))));
        assert!(harness.next_message().is_none(), "the others fit");
    }
}

#[test]
fn a_shutdown_during_a_state_collection_still_exports_all_hubs_once() {
    let (mut harness, latest) = exporting(None);
    let hubs = (0..1000).map(|n| hub(&format!("h-{n}"), "10.0.0.9:1", n, Phase::Up)).collect();
    harness.input(list(true, hubs));
    harness.advance(SECOND + 15_000);
    assert!(latest.borrow().is_none(), "the collection is not complete");
    harness.input(Input::ExportState);
    let state = latest.borrow().clone().expect("complete");
    let names: std::collections::BTreeSet<_> = state.hubs.iter().map(|k| k.hub.uid.clone()).collect();
    assert_eq!((state.hubs.len(), names.len()), (1000, 1000));
}

#[test]
fn hubs_of_the_operators_file_are_exported_without_any_list() {
    let (mut harness, latest) = exporting(None);
    harness.core.add_configured_hubs(Micros(START), vec![hub("desk", "iax2:10.0.0.8:4569", 0, Phase::Up)]);
    harness.input(Input::ExportState);
    assert_eq!(latest.borrow().as_ref().expect("exported").hubs.len(), 1);
}

/// A core that exports its state every second and has received no list. It restores the given state, if any.
fn exporting(restored: Option<RestoredState>) -> (Harness, watch::Receiver<Option<Arc<LearnedState>>>) {
    let mut harness = Harness::with(|config| config.known.events.clear());
    let (sender, latest) = watch::channel(None);
    harness.core.export_state(sender, Micros(SECOND), Micros(START));
    if let Some(restored) = restored {
        harness.core.restore(restored);
    }
    (harness, latest)
}

fn learned_hub(uid: &str, endpoint: &str, place: i64) -> LearnedHub {
    let hub = Identity { uid: uid.into(), endpoint: endpoint.into(), place, born: None };
    let estimate = ServerEstimate {
        heard: Micros(START - SECOND),
        pass: 0.1,
        carries: 3.0,
        ..ServerEstimate::default()
    };
    LearnedHub { hub, estimate }
}

#[test]
fn state_is_exported_only_after_the_first_list_and_a_few_hubs_per_tick() {
    let (mut harness, mut latest) = exporting(None);
    harness.advance(5 * SECOND);
    harness.input(Input::ExportState);
    assert!(latest.borrow_and_update().is_none(), "nothing is exported before the first list");
    let hubs = (0..1000).map(|n| hub(&format!("h-{n}"), "10.0.0.9:1", n, Phase::Up)).collect();
    harness.input(list(true, hubs));
    harness.advance(20_000);
    assert!(latest.borrow().is_none(), "not all hubs are collected at one tick");
    harness.advance(30_000);
    let state = latest.borrow_and_update().clone().expect("complete");
    assert_eq!(state.hubs.len(), 1000);
    assert_eq!(state.hold, 8.0);
    // The next export follows a second later. On request one is made at once, without hubs that are gone.
    harness.input(list(false, vec![hub("h-3", "", 3, Phase::Gone)]));
    harness.advance(900_000);
    assert!(!latest.has_changed().expect("open"));
    harness.input(Input::ExportState);
    assert_eq!(latest.borrow_and_update().as_ref().expect("exported on request").hubs.len(), 999);
}

#[test]
fn saved_state_is_restored_for_the_same_hub_only_and_kept_for_hubs_not_listed_yet() {
    let hubs = vec![
        learned_hub("a", "10.0.0.1:1", 0),
        learned_hub("b", "10.0.0.7:1", 1),
        learned_hub("late", "10.0.0.3:1", 2),
    ];
    let state = LearnedState { at: Micros(START - SECOND), hold: 5.0, hubs };
    let restored = RestoredState::new(state, DecaySettings::default(), Micros(START)).0;
    let (mut harness, latest) = exporting(Some(restored));
    // Hub b has another address than before, so it is another machine.
    harness
        .input(list(true, vec![hub("a", "10.0.0.1:1", 0, Phase::Up), hub("b", "10.0.0.2:1", 1, Phase::Up)]));
    harness.input(Input::ExportState);
    let exported = |latest: &watch::Receiver<Option<Arc<LearnedState>>>, uid: &str| {
        let state = latest.borrow().clone().expect("exported");
        state.hubs.iter().find(|h| &*h.hub.uid == uid).map(|h| (h.estimate.pass, h.estimate.heard))
    };
    assert_eq!(latest.borrow().as_ref().expect("exported").hold, 5.0);
    let (pass, heard) = exported(&latest, "a").expect("exported");
    assert!(pass < 0.2 && heard == Micros(START - SECOND), "{pass} {heard:?}");
    assert_eq!(exported(&latest, "b"), Some((1.0, Micros(0))), "no state is restored for it");
    assert_eq!(exported(&latest, "late"), Some((0.1, Micros(START - SECOND))));
    // A list that names it later restores its state; after it has left and returned, nothing is restored.
    harness.input(list(false, vec![hub("late", "10.0.0.3:1", 2, Phase::Up)]));
    harness.input(Input::ExportState);
    assert!(exported(&latest, "late").expect("exported").0 < 0.2);
    harness.input(list(false, vec![hub("late", "10.0.0.3:1", 2, Phase::Gone)]));
    harness.input(list(false, vec![hub("late", "10.0.0.3:1", 2, Phase::Up)]));
    harness.input(Input::ExportState);
    assert_eq!(exported(&latest, "late"), Some((1.0, Micros(0))));
}

#[test]
fn a_hub_at_the_address_of_another_that_is_not_known_to_be_gone_replaces_it() {
    let mut harness = Harness::new();
    harness.offer(1, 0);
    harness.next_set_up(0).expect("at a");
    harness.answered(0, 1);
    assert!(matches!(harness.next_message(), Some(ToFront::Answer(..))));
    // The list entry that removes 'a' is late or lost, and another process has its address now.
    harness.input(list(false, vec![hub("c", "10.0.0.1:1", 0, Phase::Up)]));
    assert!(
        matches!(harness.next_command(0), Some(ToHub::Close)),
        "the link of 'a' must not dial that address any more"
    );
    assert!(matches!(harness.next_message(), Some(ToFront::Release(Some(_), CallName(1), Cause(41)))));
    harness.hub_event(0, FromHub::Closed);
    assert_eq!(harness.links.lock().expect("lock")[2].endpoint, "10.0.0.1:1");
    harness.offer(2, 0);
    assert!(harness.next_set_up(2).is_some(), "the new hub serves its place");
    // The late removal of 'a' does not affect the hub that replaced it.
    harness.input(list(false, vec![hub("a", "10.0.0.1:1", 0, Phase::Gone)]));
    assert!(harness.next_command(2).is_none());
}

#[test]
fn a_call_that_may_have_run_is_neither_refused_nor_repeated_unless_its_class_allows() {
    for (idempotency, refused) in
        [(Idempotency::Free, true), (Idempotency::Guarded, false), (Idempotency::SingleShot, false)]
    {
        let mut harness = Harness::with(|config| config.settings.classes[0].idempotency = idempotency);
        for call in [1, 2] {
            harness.offer(call, 0);
        }
        harness.next_set_up(0).expect("at a");
        harness.next_set_up(0).expect("at a");
        // The shutdown comes while one attempt is open and one call waits for its release pause to end.
        harness.input(Input::Shutdown(Micros(harness.now + 100_000)));
        harness.hub_event(0, FromHub::ConnectionLost(CallName(2), 2));
        harness.advance(150_000);
        let mut refusals = Vec::new();
        while let Some(message) = harness.next_message() {
            refusals.push(matches!(message, ToFront::Refuse(..)));
        }
        assert_eq!(refusals, [refused, refused], "{idempotency:?}");
        assert!(
            matches!(harness.next_command(0), Some(ToHub::GiveUp(CallName(1), 1))),
            "and the open attempt is given up"
        );
    }
}

#[test]
fn a_call_without_a_deadline_gets_that_of_its_class_and_long_deadlines_are_capped() {
    for (requested_ms, class_ms, waits_ms) in [
        (None, 900, 900),
        (Some(1_500), 900, 1_500),
        (Some(500_000), 900, 60_000),
        (Some(500_000), 90_000, 90_000),
    ] {
        let mut harness = Harness::with(|config| {
            config.settings.classes[0].deadline = Micros(class_ms * 1000);
            config.settings.classes[0].objective = Micros(class_ms * 500);
        });
        let now = harness.now;
        harness.input(Input::Offer(Offer {
            front: FrontId(0),
            origin: Origin(5),
            call: CallName(1),
            class: "voice".into(),
            number: "7f3a".into(),
            place: 0,
            deadline: requested_ms.map(|ms| Micros(now + ms * 1000)),
            repeat: false,
            returned: false,
            description: Description::default(),
            retained_bytes: 0,
        }));
        let Some(ToHub::SetUp(set_up)) = harness.next_command(0) else { panic!("no set-up was sent") };
        let until = set_up.until.0;
        let end = now + waits_ms * 1000;
        assert!((end - 100_000..=end).contains(&until), "{requested_ms:?} {class_ms}: {}", until - now);
    }
}

#[tokio::test]
async fn a_set_up_withdrawn_while_it_waits_in_the_queue_is_not_sent() {
    let harness = Harness::new();
    let offer = |call: u64, origin: u64| {
        Input::Offer(Offer {
            front: FrontId(0),
            origin: Origin(origin),
            call: CallName(call),
            class: "voice".into(),
            number: "7f3a".into(),
            place: 0,
            deadline: None,
            repeat: false,
            returned: false,
            description: Description::default(),
            retained_bytes: 0,
        })
    };
    let withdrawn = |call: u64, origin: u64| Input::Withdrawn(FrontId(0), Origin(origin), CallName(call));
    let (inputs, queue) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    // All inputs are queued before the core runs. The withdrawal of the second call comes from another
    // connection; the third call is withdrawn and then offered again.
    for input in [
        offer(1, 5),
        offer(2, 5),
        offer(3, 5),
        withdrawn(1, 5),
        withdrawn(2, 9),
        withdrawn(3, 5),
        offer(3, 5),
    ] {
        inputs.send(input).await.expect("taken");
    }
    let Harness { core, links, front: _front, .. } = harness;
    drop(inputs);
    petreldock::core::run(core, queue, Clock::system()).await;
    let mut sent = Vec::new();
    for link in links.lock().expect("lock").iter_mut() {
        while let Ok(command) = link.commands.try_recv() {
            if let ToHub::SetUp(set_up) = command {
                sent.push(set_up.call.0);
            }
        }
    }
    sent.sort_unstable();
    assert_eq!(sent, [2, 3]);
}
