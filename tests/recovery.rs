//! Calls in progress over a restart: the table that steps tell, its form, and what a start makes of it.

use petreldock::core::CallName;
use petreldock::interface::Micros;
use petreldock::learning::Identity;
use petreldock::recovery::{
    decode, decode_all, encode, encode_all, Answer, Durability, Entry, Ledger, Life, Misfit, Step, Verdict,
    ANSWERS_KEPT, CALLS_MOST, VERSION,
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

fn taken(deadline: u64) -> Step {
    let deadline = after(deadline);
    Step::Taken { front: 1, class: "voice".into(), number: "7f\"3a".into(), place: 2, deadline }
}

fn begins(attempt: u64, sent: u32) -> Step {
    Step::Begins { attempt, sent, hub: hub("a") }
}

fn stands() -> Step {
    Step::Answered(Answer::Stands(b"v=0\r\n\xff".to_vec()))
}

/// A ledger after steps of the call 7, each 10 ms after the one before.
fn ledger(steps: &[Step]) -> Ledger {
    let mut ledger = Ledger::default();
    for (nth, step) in (0..).zip(steps) {
        let entry = Entry { at: after(nth * 10), call: CallName(7), step: step.clone() };
        assert_eq!(ledger.take(&entry), Ok(()), "{step:?}");
    }
    ledger
}

fn verdict(steps: &[Step], now: Micros, life: Life) -> Verdict {
    let [(CallName(7), verdict)] = &ledger(steps).recover(now, PAUSE, |_| life)[..] else {
        panic!("one call")
    };
    verdict.clone()
}

#[test]
fn every_call_that_is_found_goes_on_or_is_ended() {
    let stood = [taken(3000), begins(4, 0), stands()];
    let goes_on = Verdict::GoesOn { attempt: 4, description: b"v=0\r\n\xff".to_vec() };
    assert_eq!(verdict(&stood, after(9000), Life::Same), goes_on, "it has no deadline any more");
    assert_eq!(verdict(&stood, after(9000), Life::Other), Verdict::Release);
    // An attempt that was out may have gone out in the last moment: the whole pause, from now.
    let again =
        |not_before, sent, give_up| Verdict::Again { not_before, deadline: after(3000), sent, give_up };
    let out = [taken(3000), begins(4, 0)];
    assert_eq!(verdict(&out, after(1000), Life::Same), again(after(1200), 1, Some(4)));
    assert_eq!(verdict(&out, after(1000), Life::Other), again(after(1200), 1, None));
    assert_eq!(verdict(&out, after(3000), Life::Same), Verdict::Late(Some(4)), "given up all the same");
    // In a pause: the rest of it, and the attempts that it had.
    let paused = [taken(3000), begins(4, 0), Step::Unsure(after(220))];
    assert_eq!(verdict(&paused, after(100), Life::Same), again(after(220), 1, None));
    assert_eq!(verdict(&paused, after(1000), Life::Same), again(after(220), 1, None));
    let refused = [taken(3000), begins(4, 0), Step::NeverRan];
    assert_eq!(verdict(&refused, after(1000), Life::Same), again(Micros(0), 1, None));
    assert_eq!(verdict(&[taken(3000)], after(1000), Life::Same), again(Micros(0), 0, None));
    assert_eq!(verdict(&[taken(3000)], after(4000), Life::Same), Verdict::Late(None));
    // Answered: the same again, and no other.
    let away = Answer::Refused(Micros(700_000));
    let refused = [taken(3000), Step::Answered(away.clone())];
    assert_eq!(verdict(&refused, after(9000), Life::Other), Verdict::Answered(away));
    assert!(ledger(&[taken(3000), Step::Answered(Answer::Failed), Step::Ends]).is_empty());
}

#[test]
fn a_clock_that_was_set_back_prolongs_no_pause_and_ends_no_call() {
    let hour = Micros(3_600 * SECOND);
    let paused = [taken(3000), begins(4, 0), Step::Unsure(after(220))];
    let Verdict::Again { not_before, deadline, .. } = verdict(&paused, START - hour, Life::Same) else {
        panic!("it goes on")
    };
    // The last step was 20 ms after the start: 200 ms of the pause and 2,980 of its time were left.
    assert_eq!((not_before, deadline), (START - hour + PAUSE, START - hour + Micros(2_980_000)));
    assert_eq!(verdict(&paused, START + hour, Life::Same), Verdict::Late(None), "set forward, it is late");
    // No record can ask for more than a pause.
    let long = [taken(60_000), begins(4, 0), Step::Unsure(after(50_000))];
    let Verdict::Again { not_before, .. } = verdict(&long, after(100), Life::Same) else {
        panic!("it goes on")
    };
    assert_eq!(not_before, after(100) + PAUSE);
}

#[test]
fn what_cannot_be_taken_back_waits_for_the_disk() {
    for step in [begins(1, 0), stands(), Step::Answered(Answer::Failed)] {
        assert_eq!(step.durability(), Durability::Before);
    }
    for step in [taken(1), Step::Unsure(START), Step::NeverRan, Step::Ends] {
        assert_eq!(step.durability(), Durability::Lazy);
    }
    // Wherever a crash cuts the log, no attempt is sent earlier than it was to be: one whose end was not written
    // yet is taken for out.
    let steps = [taken(3000), begins(4, 0), Step::Unsure(after(25)), begins(5, 1), Step::NeverRan];
    let expected = [Micros(0), after(60) + PAUSE, after(25), after(60) + PAUSE, Micros(0)];
    for (known, expected) in (1..).zip(expected) {
        let Verdict::Again { not_before, .. } = verdict(&steps[..known], after(60), Life::Same) else {
            panic!("it goes on")
        };
        assert_eq!(not_before, expected, "{known} steps known");
    }
}

#[test]
fn steps_that_do_not_fit_change_nothing() {
    let cases: [(&[Step], Step); 11] = [
        (&[], begins(1, 0)),
        (&[], Step::Ends),
        (&[taken(1)], taken(2)),
        (&[taken(1)], stands()),
        (&[taken(1)], Step::Unsure(START)),
        (&[taken(1), begins(4, 0)], begins(5, 1)),
        (&[taken(1), begins(4, 0), Step::NeverRan], begins(4, 1)),
        (&[taken(1), begins(4, 0), Step::NeverRan], begins(5, 0)),
        (&[taken(1), begins(4, 0), Step::Unsure(after(500))], begins(5, 1)),
        (&[taken(1), begins(4, 0), stands()], Step::Answered(Answer::Failed)),
        (&[taken(1), Step::Answered(Answer::Failed)], begins(5, 0)),
    ];
    for (steps, step) in cases {
        let before = ledger(steps);
        let mut after_it = before.clone();
        let entry = Entry { at: after(100), call: CallName(7), step: step.clone() };
        assert_eq!(after_it.take(&entry), Err(Misfit), "{step:?} after {steps:?}");
        assert_eq!(after_it, before);
    }
    let mut full = Ledger::default();
    for call in 0..=CALLS_MOST as u64 {
        let entry = Entry { at: START, call: CallName(call), step: taken(1) };
        assert_eq!(full.take(&entry).is_ok(), call < CALLS_MOST as u64);
    }
}

#[test]
fn answers_are_kept_for_who_asks_again_and_then_forgotten() {
    let mut ledger = ledger(&[taken(3000), Step::Answered(Answer::Failed)]);
    ledger.age(after(10) + ANSWERS_KEPT);
    assert!(ledger.get(CallName(7)).is_some());
    ledger.age(after(11) + ANSWERS_KEPT);
    assert!(ledger.is_empty());
}

/// A step for a call, from a seeded generator.
fn any_step(gen: &mut Gen, attempt: u64) -> Step {
    match u8::arbitrary(gen) % 8 {
        0 | 1 => taken(u64::from(u16::arbitrary(gen))),
        2 | 3 => begins(attempt, u32::from(u8::arbitrary(gen) % 3)),
        4 => Step::Unsure(after(u64::from(u8::arbitrary(gen)))),
        5 => Step::NeverRan,
        6 => stands(),
        _ if bool::arbitrary(gen) => Step::Answered(Answer::Refused(Micros(u64::from(u32::arbitrary(gen))))),
        _ => Step::Ends,
    }
}

#[test]
fn what_is_read_is_what_was_written_at_any_cut() {
    for seed in 0..300 {
        let mut gen = Gen::from_size_and_seed(50, seed);
        let (mut live, mut log) = (Ledger::default(), Vec::new());
        let (mut checkpoint, mut covered) = (Ledger::default(), 0);
        for nth in 1..200u64 {
            let call = CallName(u64::from(u8::arbitrary(&mut gen) % 6) << 60 | 9);
            let entry = Entry { at: after(nth * 20), call, step: any_step(&mut gen, nth) };
            if live.take(&entry).is_ok() {
                log.push(encode(&entry));
            }
            if nth % 50 == 0 {
                (checkpoint, covered) = (live.clone(), log.len());
            }
        }
        let (mut read, told) = decode_all(VERSION, &encode_all(&checkpoint, covered as u64)).expect("whole");
        assert_eq!((&read, told), (&checkpoint, covered as u64), "seed {seed}");
        for payload in &log[covered..] {
            assert_eq!(read.take(&decode(VERSION, payload).expect("whole")), Ok(()));
        }
        assert_eq!(read, live, "seed {seed}");
    }
}

#[test]
fn garbled_entries_and_tables_are_refused_and_none_panics() {
    let entry = Entry { at: START, call: CallName(7), step: begins(4, 0) };
    let (one, all) = (encode(&entry), encode_all(&ledger(&[taken(3000), begins(4, 0), stands()]), 9));
    for cut in 0..one.len() {
        assert!(decode(VERSION, &one[..cut]).is_err());
    }
    for cut in 0..all.len() {
        assert!(decode_all(VERSION, &all[..cut]).is_err());
    }
    assert!(decode(VERSION + 1, &one).expect_err("later").contains("later version"));
    let wrong = String::from_utf8(one.clone()).expect("text").replace("\"sent\":0", "\"sent\":-1");
    assert_eq!(decode(VERSION, wrong.as_bytes()), Err("sent: expected a count".into()));
    for seed in 0..3000 {
        let mut gen = Gen::from_size_and_seed(120, seed);
        let garbage = Vec::<u8>::arbitrary(&mut gen);
        assert!(decode(VERSION, &garbage).is_err() && decode_all(VERSION, &garbage).is_err());
        let mut changed = all.clone();
        let at = usize::arbitrary(&mut gen) % changed.len();
        changed[at] = u8::arbitrary(&mut gen);
        if let Ok((read, _)) = decode_all(VERSION, &changed) {
            assert!(read.recover(START, PAUSE, |_| Life::Same).len() <= 1);
        }
    }
}
