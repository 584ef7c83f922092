//! Calls in progress across a restart: the table of calls, its encoding, and how a start continues each call.

use petreldock::core::CallName;
use petreldock::interface::Micros;
use petreldock::learning::Identity;
use petreldock::recovery::{
    decode, decode_table, encode, encode_table, Answer, CallEvent, CallTable, Durability, Entry, HubStatus,
    RecoveryAction, RejectedEvent, ANSWER_RETENTION, MAX_CALLS, VERSION,
};
use quickcheck::{Arbitrary, Gen};

const SECOND: u64 = 1_000_000;
const PAUSE: Micros = Micros(200_000);
const START: Micros = Micros(1_700_000_000 * SECOND);

fn after(ms: u64) -> Micros {
    START + Micros(ms * 1000)
}

fn hub(uid: &str) -> Identity {
    Identity { uid: uid.into(), endpoint: "10.0.0.1:1".into(), place: -1, born: Some(Micros(5)) }
}

fn accepted(deadline: u64) -> CallEvent {
    let deadline = after(deadline);
    CallEvent::Accepted { front: 1, class: "voice".into(), number: "7f\"3a".into(), place: 2, deadline }
}

fn attempt_started(attempt: u64, attempts_before: u32) -> CallEvent {
    CallEvent::AttemptStarted { attempt, attempts_before, hub: hub("a") }
}

fn established() -> CallEvent {
    CallEvent::Answered(Answer::Established(b"v=0\r\n\xff".to_vec()))
}

/// Returns the table after these events of call 7, which are 10 ms apart.
fn table(events: &[CallEvent]) -> CallTable {
    let mut table = CallTable::default();
    for (index, event) in (0..).zip(events) {
        let entry = Entry { at: after(index * 10), call: CallName(7), event: event.clone() };
        assert_eq!(table.apply(&entry), Ok(()), "{event:?}");
    }
    table
}

fn action(events: &[CallEvent], now: Micros, hub_status: HubStatus) -> RecoveryAction {
    let [(CallName(7), action)] = &table(events).recover(now, PAUSE, |_| hub_status)[..] else {
        panic!("expected one call")
    };
    action.clone()
}

#[test]
fn every_call_in_the_table_is_resumed_retried_answered_or_released() {
    let established_call = [accepted(3000), attempt_started(4, 0), established()];
    let resume = RecoveryAction::Resume { attempt: 4, description: b"v=0\r\n\xff".to_vec() };
    assert_eq!(
        action(&established_call, after(9000), HubStatus::Same),
        resume,
        "the deadline only applies until the answer"
    );
    assert_eq!(action(&established_call, after(9000), HubStatus::Gone), RecoveryAction::Release);
    // An attempt in progress may have been sent just before the program ended: the whole pause counts from now.
    let retry = |not_before, attempts, give_up| RecoveryAction::Retry {
        not_before,
        deadline: after(3000),
        attempts,
        give_up,
    };
    let attempting = [accepted(3000), attempt_started(4, 0)];
    assert_eq!(action(&attempting, after(1000), HubStatus::Same), retry(after(1200), 1, Some(4)));
    assert_eq!(action(&attempting, after(1000), HubStatus::Gone), retry(after(1200), 1, None));
    assert_eq!(
        action(&attempting, after(3000), HubStatus::Same),
        RecoveryAction::Expired(Some(4)),
        "the attempt is given up after the deadline, too"
    );
    // A call in a pause waits for the rest of it and keeps its number of attempts.
    let paused = [accepted(3000), attempt_started(4, 0), CallEvent::MayHaveRun(after(220))];
    assert_eq!(action(&paused, after(100), HubStatus::Same), retry(after(220), 1, None));
    assert_eq!(action(&paused, after(1000), HubStatus::Same), retry(after(220), 1, None));
    let not_run = [accepted(3000), attempt_started(4, 0), CallEvent::DidNotRun];
    assert_eq!(action(&not_run, after(1000), HubStatus::Same), retry(Micros(0), 1, None));
    assert_eq!(action(&[accepted(3000)], after(1000), HubStatus::Same), retry(Micros(0), 0, None));
    assert_eq!(action(&[accepted(3000)], after(4000), HubStatus::Same), RecoveryAction::Expired(None));
    // An answered call gets the same answer again.
    let answer = Answer::Refused(Micros(700_000));
    let refused = [accepted(3000), CallEvent::Answered(answer.clone())];
    assert_eq!(action(&refused, after(9000), HubStatus::Gone), RecoveryAction::RepeatAnswer(answer));
    assert!(table(&[accepted(3000), CallEvent::Answered(Answer::Failed), CallEvent::Ended]).is_empty());
}

#[test]
fn a_clock_set_back_neither_extends_a_pause_nor_ends_a_call() {
    let hour = Micros(3_600 * SECOND);
    let paused = [accepted(3000), attempt_started(4, 0), CallEvent::MayHaveRun(after(220))];
    let RecoveryAction::Retry { not_before, deadline, .. } = action(&paused, START - hour, HubStatus::Same)
    else {
        panic!("expected a retry")
    };
    // At the last event, 20 ms after the start, 200 ms of the pause and 2,980 ms until the deadline remained.
    assert_eq!((not_before, deadline), (START - hour + PAUSE, START - hour + Micros(2_980_000)));
    assert_eq!(
        action(&paused, START + hour, HubStatus::Same),
        RecoveryAction::Expired(None),
        "a clock set forward ends the call"
    );
    // A stored time cannot extend the wait beyond a whole pause.
    let long = [accepted(60_000), attempt_started(4, 0), CallEvent::MayHaveRun(after(50_000))];
    let RecoveryAction::Retry { not_before, .. } = action(&long, after(100), HubStatus::Same) else {
        panic!("expected a retry")
    };
    assert_eq!(not_before, after(100) + PAUSE);
}

#[test]
fn set_ups_and_final_answers_wait_until_their_events_are_durable() {
    for event in [attempt_started(1, 0), established(), CallEvent::Answered(Answer::Failed)] {
        assert_eq!(event.durability(), Durability::BeforeSending);
    }
    for event in [accepted(1), CallEvent::MayHaveRun(START), CallEvent::DidNotRun, CallEvent::Ended] {
        assert_eq!(event.durability(), Durability::Deferred);
    }
    // Wherever a crash cuts the log, no attempt is sent too early: an attempt whose end was not written yet is
    // treated as in progress.
    let events = [
        accepted(3000),
        attempt_started(4, 0),
        CallEvent::MayHaveRun(after(25)),
        attempt_started(5, 1),
        CallEvent::DidNotRun,
    ];
    let expected = [Micros(0), after(60) + PAUSE, after(25), after(60) + PAUSE, Micros(0)];
    for (count, expected) in (1..).zip(expected) {
        let RecoveryAction::Retry { not_before, .. } = action(&events[..count], after(60), HubStatus::Same)
        else {
            panic!("expected a retry")
        };
        assert_eq!(not_before, expected, "after {count} events");
    }
}

#[test]
fn rejected_events_leave_the_table_unchanged() {
    let cases: [(&[CallEvent], CallEvent); 11] = [
        (&[], attempt_started(1, 0)),
        (&[], CallEvent::Ended),
        (&[accepted(1)], accepted(2)),
        (&[accepted(1)], established()),
        (&[accepted(1)], CallEvent::MayHaveRun(START)),
        (&[accepted(1), attempt_started(4, 0)], attempt_started(5, 1)),
        (&[accepted(1), attempt_started(4, 0), CallEvent::DidNotRun], attempt_started(4, 1)),
        (&[accepted(1), attempt_started(4, 0), CallEvent::DidNotRun], attempt_started(5, 0)),
        (&[accepted(1), attempt_started(4, 0), CallEvent::MayHaveRun(after(500))], attempt_started(5, 1)),
        (&[accepted(1), attempt_started(4, 0), established()], CallEvent::Answered(Answer::Failed)),
        (&[accepted(1), CallEvent::Answered(Answer::Failed)], attempt_started(5, 0)),
    ];
    for (events, event) in cases {
        let before = table(events);
        let mut changed = before.clone();
        let entry = Entry { at: after(100), call: CallName(7), event: event.clone() };
        assert_eq!(changed.apply(&entry), Err(RejectedEvent), "{event:?} after {events:?}");
        assert_eq!(changed, before);
    }
    let mut full = CallTable::default();
    for call in 0..=MAX_CALLS as u64 {
        let entry = Entry { at: START, call: CallName(call), event: accepted(1) };
        assert_eq!(full.apply(&entry).is_ok(), call < MAX_CALLS as u64);
    }
}

#[test]
fn final_answers_are_kept_for_the_retention_time_and_then_removed() {
    let mut table = table(&[accepted(3000), CallEvent::Answered(Answer::Failed)]);
    table.remove_expired_answers(after(10) + ANSWER_RETENTION);
    assert!(table.get(CallName(7)).is_some());
    table.remove_expired_answers(after(11) + ANSWER_RETENTION);
    assert!(table.is_empty());
}

/// Returns a random event.
fn random_event(gen: &mut Gen, attempt: u64) -> CallEvent {
    match u8::arbitrary(gen) % 8 {
        0 | 1 => accepted(u64::from(u16::arbitrary(gen))),
        2 | 3 => attempt_started(attempt, u32::from(u8::arbitrary(gen) % 3)),
        4 => CallEvent::MayHaveRun(after(u64::from(u8::arbitrary(gen)))),
        5 => CallEvent::DidNotRun,
        6 => established(),
        _ if bool::arbitrary(gen) => {
            CallEvent::Answered(Answer::Refused(Micros(u64::from(u32::arbitrary(gen)))))
        }
        _ => CallEvent::Ended,
    }
}

#[test]
fn a_checkpoint_and_the_log_after_it_restore_the_table() {
    for seed in 0..300 {
        let mut gen = Gen::from_size_and_seed(50, seed);
        let (mut live, mut log) = (CallTable::default(), Vec::new());
        let (mut checkpoint, mut covered) = (CallTable::default(), 0);
        for index in 1..200u64 {
            let call = CallName(u64::from(u8::arbitrary(&mut gen) % 6) << 60 | 9);
            let entry = Entry { at: after(index * 20), call, event: random_event(&mut gen, index) };
            if live.apply(&entry).is_ok() {
                log.push(encode(&entry));
            }
            if index % 50 == 0 {
                (checkpoint, covered) = (live.clone(), log.len());
            }
        }
        let (mut restored, restored_covered) =
            decode_table(VERSION, &encode_table(&checkpoint, covered as u64)).expect("valid");
        assert_eq!((&restored, restored_covered), (&checkpoint, covered as u64), "seed {seed}");
        for payload in &log[covered..] {
            assert_eq!(restored.apply(&decode(VERSION, payload).expect("valid")), Ok(()));
        }
        assert_eq!(restored, live, "seed {seed}");
    }
}

#[test]
fn corrupt_entries_and_tables_are_rejected_without_a_panic() {
    let entry = Entry { at: START, call: CallName(7), event: attempt_started(4, 0) };
    let (entry, table) =
        (encode(&entry), encode_table(&table(&[accepted(3000), attempt_started(4, 0), established()]), 9));
    for cut in 0..entry.len() {
        assert!(decode(VERSION, &entry[..cut]).is_err());
    }
    for cut in 0..table.len() {
        assert!(decode_table(VERSION, &table[..cut]).is_err());
    }
    assert!(decode(VERSION + 1, &entry).expect_err("a later version").contains("later version"));
    let negative = String::from_utf8(entry.clone()).expect("text").replace("\"sent\":0", "\"sent\":-1");
    assert_eq!(decode(VERSION, negative.as_bytes()), Err("sent: expected a count".into()));
    for seed in 0..3000 {
        let mut gen = Gen::from_size_and_seed(120, seed);
        let garbage = Vec::<u8>::arbitrary(&mut gen);
        assert!(decode(VERSION, &garbage).is_err() && decode_table(VERSION, &garbage).is_err());
        let mut changed = table.clone();
        let at = usize::arbitrary(&mut gen) % changed.len();
        changed[at] = u8::arbitrary(&mut gen);
        if let Ok((read, _)) = decode_table(VERSION, &changed) {
            assert!(read.recover(START, PAUSE, |_| HubStatus::Same).len() <= 1);
        }
    }
}
