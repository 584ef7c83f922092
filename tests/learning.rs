//! Tests of the learned state: its encoding and old versions, its decay with age, and which hub it is
//! restored for.

use petreldock::interface::{Micros, ServerEstimate};
use petreldock::learning::{
    decode, encode, DecaySettings, Identity, LearnedHub, LearnedState, RestoredState, MAX_HUBS, VERSION,
};
use petreldock::store;
use quickcheck::{Arbitrary, Gen};

const SECOND: u64 = 1_000_000;
const SAVED_AT: Micros = Micros(1_700_000_000 * SECOND);

fn identity(uid: &str) -> Identity {
    Identity { uid: uid.into(), endpoint: "10.0.0.1:1".into(), place: 2, born: None }
}

fn estimate() -> ServerEstimate {
    ServerEstimate {
        heard: SAVED_AT,
        carried: 25.0,
        carries: 8.0,
        can_take: 9.0,
        wait: Micros(800_000),
        delay: Micros(600_000),
        weight: 0.25,
        pass: 0.5,
        share: 0.5,
        share_until: SAVED_AT + Micros(4 * SECOND),
        silent: true,
        cold_until: Micros(0),
    }
}

fn learned_state(uids: &[&str]) -> LearnedState {
    let hubs = uids.iter().map(|uid| LearnedHub { hub: identity(uid), estimate: estimate() }).collect();
    LearnedState { at: SAVED_AT, hold: 8.5, hubs }
}

/// Returns the estimate restored for a hub this many microseconds after it was saved.
fn restored_after(age: u64) -> Option<ServerEstimate> {
    let now = SAVED_AT + Micros(age);
    RestoredState::new(learned_state(&["a"]), DecaySettings::default(), now).0.recall(&identity("a"), now)
}

#[test]
fn values_decay_with_age_and_are_dropped_past_the_maximum_age() {
    let fresh = restored_after(0).expect("restored");
    assert_eq!(fresh, estimate());
    let (mut wait, mut weight, mut pass) = (fresh.wait, fresh.weight, fresh.pass);
    for seconds in 1..900 {
        let b = restored_after(seconds * SECOND).expect("not too old");
        assert!(b.wait <= wait && b.weight >= weight && b.pass >= pass, "at {seconds} s");
        (wait, weight, pass) = (b.wait, b.weight, b.pass);
    }
    let half = restored_after(2 * SECOND).expect("restored");
    assert_eq!(half.wait, Micros(400_000), "waits halve after their half-life");
    assert!(half.silent && half.share == 0.5);
    let later = restored_after(15 * SECOND).expect("restored");
    assert_eq!((later.weight, later.pass, later.share, later.silent), (0.625, 0.75, 0.0, false));
    assert_eq!(later.carries, 8.0);
    let old = restored_after(60 * SECOND).expect("restored");
    assert_eq!(
        (old.carries, old.can_take, old.carried),
        (0.0, 0.0, 25.0),
        "the carried rate decays slowly because the machine is the same"
    );
    assert_eq!(restored_after(901 * SECOND), None, "nothing is restored past the maximum age");
}

#[test]
fn state_from_the_future_or_too_old_after_a_clock_jump_is_dropped() {
    let (mut restored, summary) =
        RestoredState::new(learned_state(&["a"]), DecaySettings::default(), SAVED_AT - Micros(5 * SECOND));
    assert!(summary.from_future && summary.hubs == 0 && summary.dropped == 1);
    assert_eq!(restored.recall(&identity("a"), SAVED_AT), None);
    assert_eq!(restored.hold(SAVED_AT - Micros(5 * SECOND)), None);
    let (_, summary) = RestoredState::new(
        learned_state(&["a"]),
        DecaySettings::default(),
        SAVED_AT + Micros(86_400 * SECOND),
    );
    assert!(summary.too_old && summary.hubs == 0);
    // A single hub from the future in an otherwise valid state.
    let mut one = learned_state(&["a", "b"]);
    one.hubs[0].estimate.heard = SAVED_AT + Micros(60 * SECOND);
    let (mut restored, summary) = RestoredState::new(one, DecaySettings::default(), SAVED_AT);
    assert_eq!((summary.hubs, summary.dropped), (1, 1));
    assert!(
        restored.recall(&identity("a"), SAVED_AT).is_none()
            && restored.recall(&identity("b"), SAVED_AT).is_some()
    );
}

#[test]
fn state_is_restored_once_and_only_for_the_same_name_start_address_and_place() {
    let recall = |change: fn(&mut Identity)| {
        let mut hub = identity("a");
        change(&mut hub);
        RestoredState::new(learned_state(&["a"]), DecaySettings::default(), SAVED_AT).0.recall(&hub, SAVED_AT)
    };
    assert!(recall(|_| {}).is_some());
    assert_eq!(recall(|h| h.uid = "b".into()), None);
    assert_eq!(recall(|h| h.endpoint = "10.0.0.2:1".into()), None);
    assert_eq!(recall(|h| h.place = 3), None);
    assert_eq!(recall(|h| h.born = Some(SAVED_AT)), None, "a restarted hub is cold");
    // Each hub is restored once: a hub that leaves and returns may have changed.
    let mut restored = RestoredState::new(learned_state(&["a"]), DecaySettings::default(), SAVED_AT).0;
    assert!(
        restored.recall(&identity("a"), SAVED_AT).is_some()
            && restored.recall(&identity("a"), SAVED_AT).is_none()
    );
}

#[test]
fn restored_state_that_is_saved_again_keeps_its_age() {
    let mut saved_again = learned_state(&["a"]);
    saved_again.at = SAVED_AT + Micros(300 * SECOND);
    let now = saved_again.at;
    let (mut restored, _) = RestoredState::new(saved_again, DecaySettings::default(), now);
    assert_eq!(restored.recall(&identity("a"), now), restored_after(300 * SECOND));
}

#[test]
fn hubs_with_implausible_values_and_hubs_beyond_the_limit_are_dropped() {
    let implausible: [fn(&mut LearnedHub); 10] = [
        |h| h.estimate.weight = 1.5,
        |h| h.estimate.pass = -0.1,
        |h| h.estimate.share = f64::NAN,
        |h| h.estimate.carried = f64::INFINITY,
        |h| h.estimate.carries = -1.0,
        |h| h.estimate.can_take = 1e9,
        |h| h.estimate.wait = Micros(u64::MAX),
        |h| h.estimate.delay = Micros(3_600 * SECOND),
        |h| h.hub.uid = "x".repeat(300).into(),
        |h| h.hub.endpoint = "x".repeat(300).into(),
    ];
    for (nth, change) in implausible.into_iter().enumerate() {
        let mut changed = learned_state(&["a", "b", "b"]);
        change(&mut changed.hubs[0]);
        let (_, summary) = RestoredState::new(changed, DecaySettings::default(), SAVED_AT);
        assert_eq!((summary.hubs, summary.dropped), (1, 2), "case {nth}; a repeated name is dropped as well");
    }
    let names: Vec<String> = (0..MAX_HUBS + 50).map(|n| format!("s-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (restored, summary) = RestoredState::new(learned_state(&names), DecaySettings::default(), SAVED_AT);
    assert_eq!((summary.hubs, summary.dropped), (MAX_HUBS, 50));
    assert_eq!(restored.unlisted(SAVED_AT).count(), MAX_HUBS, "kept until a list names them");
    assert_eq!(restored.unlisted(SAVED_AT + Micros(901 * SECOND)).count(), 0);
}

#[test]
fn an_encoded_state_decodes_to_the_same_state() {
    let mut learned = learned_state(&["a", "b\"\\\u{e9}\n"]);
    learned.hubs[1].hub.born = Some(Micros(7));
    learned.hubs[1].estimate = ServerEstimate { carried: 0.1 + 0.2, ..ServerEstimate::default() };
    assert_eq!(decode(VERSION, &encode(&learned)), Ok(learned));
}

#[test]
fn a_file_of_version_1_is_migrated() {
    let bytes = include_bytes!("data/learning-v1");
    let (header, payload) = store::decode(bytes).expect("a valid snapshot");
    assert_eq!(header.version, 1);
    let read = decode(1, payload).expect("migrated");
    let [learned_hub] = &read.hubs[..] else { panic!("one hub: {read:?}") };
    assert_eq!(
        (&*learned_hub.hub.uid, &*learned_hub.hub.endpoint, learned_hub.hub.born),
        ("toy-1", "127.0.0.1:5071", None)
    );
    assert_eq!((learned_hub.estimate.carries, learned_hub.estimate.can_take), (20.0, 0.0));
    assert_eq!(learned_hub.estimate.heard, read.at, "the age of the hub is that of the file");
    assert_eq!((read.at, read.hold), (Micros(1_796_143_036_665_422), 9.406250000000002));
    let later = decode(VERSION + 1, payload).expect_err("unknown version");
    assert!(later.contains("later version"), "{later}");
}

#[test]
fn corrupt_payloads_are_rejected_or_decoded_without_a_panic() {
    let whole = encode(&learned_state(&["a", "b"]));
    for cut in 0..whole.len() {
        assert!(decode(VERSION, &whole[..cut]).is_err(), "truncated at {cut}");
    }
    for seed in 0..3000 {
        let mut gen = Gen::from_size_and_seed(120, seed);
        let garbage = Vec::<u8>::arbitrary(&mut gen);
        assert!(decode(VERSION, &garbage).is_err());
        let mut changed = whole.clone();
        for _ in 0..=seed % 5 {
            let at = usize::arbitrary(&mut gen) % changed.len();
            changed[at] = u8::arbitrary(&mut gen);
        }
        // A payload that still decodes must be validated without a panic.
        for version in [1, VERSION] {
            if let Ok(read) = decode(version, &changed) {
                let (mut restored, summary) = RestoredState::new(read, DecaySettings::default(), SAVED_AT);
                assert!(summary.hubs <= 2);
                let recalled = restored.recall(&identity("a"), SAVED_AT);
                assert!(recalled.is_none_or(|b| (0.0..=1.0).contains(&b.weight) && b.carries <= 1e6));
            }
        }
    }
}
