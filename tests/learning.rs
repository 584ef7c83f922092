//! What is kept of beliefs: its form and old forms, how it ages, and whose it is.

use petreldock::interface::{Micros, ServerEstimate};
use petreldock::learning::{decode, encode, Ageing, Identity, Kept, Memory, Picture, HUBS_MOST, VERSION};
use petreldock::store;
use quickcheck::{Arbitrary, Gen};

const SECOND: u64 = 1_000_000;
const AT: Micros = Micros(1_700_000_000 * SECOND);

fn identity(uid: &str) -> Identity {
    Identity { uid: uid.into(), endpoint: "10.0.0.1:1".into(), place: 2, born: None }
}

fn belief() -> ServerEstimate {
    ServerEstimate {
        heard: AT,
        carried: 25.0,
        carries: 8.0,
        can_take: 9.0,
        wait: Micros(800_000),
        delay: Micros(600_000),
        weight: 0.25,
        pass: 0.5,
        share: 0.5,
        share_until: AT + Micros(4 * SECOND),
        silent: true,
        cold_until: Micros(0),
    }
}

fn picture(uids: &[&str]) -> Picture {
    let hubs = uids.iter().map(|uid| Kept { hub: identity(uid), belief: belief() }).collect();
    Picture { at: AT, hold: 8.5, hubs }
}

/// What is recalled of a hub so many microseconds after it was kept.
fn after(age: u64) -> Option<ServerEstimate> {
    let now = AT + Micros(age);
    Memory::new(picture(&["a"]), Ageing::default(), now).0.recall(&identity("a"), now)
}

#[test]
fn facts_count_for_less_the_older_they_are_and_then_for_nothing() {
    let fresh = after(0).expect("recalled");
    assert_eq!(fresh, belief());
    let (mut wait, mut weight, mut pass) = (fresh.wait, fresh.weight, fresh.pass);
    for seconds in 1..900 {
        let b = after(seconds * SECOND).expect("not too old");
        assert!(b.wait <= wait && b.weight >= weight && b.pass >= pass, "at {seconds} s");
        (wait, weight, pass) = (b.wait, b.weight, b.pass);
    }
    let half = after(2 * SECOND).expect("recalled");
    assert_eq!(half.wait, Micros(400_000), "the half-life of waits");
    assert!(half.silent && half.share == 0.5);
    let later = after(15 * SECOND).expect("recalled");
    assert_eq!((later.weight, later.pass, later.share, later.silent), (0.625, 0.75, 0.0, false));
    assert_eq!(later.carries, 8.0);
    let old = after(60 * SECOND).expect("recalled");
    assert_eq!((old.carries, old.can_take, old.carried), (0.0, 0.0, 25.0), "the machine is the same still");
    assert_eq!(after(901 * SECOND), None, "past the stated age nothing steers");
}

#[test]
fn a_clock_that_jumped_makes_the_age_unknown_or_great() {
    let (mut memory, taken) = Memory::new(picture(&["a"]), Ageing::default(), AT - Micros(5 * SECOND));
    assert!(taken.future && taken.hubs == 0 && taken.dropped == 1);
    assert_eq!(memory.recall(&identity("a"), AT), None);
    assert_eq!(memory.hold(AT - Micros(5 * SECOND)), None);
    let (_, taken) = Memory::new(picture(&["a"]), Ageing::default(), AT + Micros(86_400 * SECOND));
    assert!(taken.old && taken.hubs == 0);
    // One hub alone that claims so, in a picture that is sound.
    let mut one = picture(&["a", "b"]);
    one.hubs[0].belief.heard = AT + Micros(60 * SECOND);
    let (mut memory, taken) = Memory::new(one, Ageing::default(), AT);
    assert_eq!((taken.hubs, taken.dropped), (1, 1));
    assert!(memory.recall(&identity("a"), AT).is_none() && memory.recall(&identity("b"), AT).is_some());
}

#[test]
fn a_hub_is_itself_by_name_start_address_and_place() {
    let recall = |change: fn(&mut Identity)| {
        let mut hub = identity("a");
        change(&mut hub);
        Memory::new(picture(&["a"]), Ageing::default(), AT).0.recall(&hub, AT)
    };
    assert!(recall(|_| {}).is_some());
    assert_eq!(recall(|h| h.uid = "b".into()), None);
    assert_eq!(recall(|h| h.endpoint = "10.0.0.2:1".into()), None);
    assert_eq!(recall(|h| h.place = 3), None);
    assert_eq!(recall(|h| h.born = Some(AT)), None, "it started anew and is cold");
    // Each is recalled once: one that leaves and comes back is not what it was.
    let mut memory = Memory::new(picture(&["a"]), Ageing::default(), AT).0;
    assert!(memory.recall(&identity("a"), AT).is_some() && memory.recall(&identity("a"), AT).is_none());
}

#[test]
fn what_was_recalled_does_not_grow_young_by_being_kept_again() {
    let mut again = picture(&["a"]);
    again.at = AT + Micros(300 * SECOND);
    let now = again.at;
    let (mut memory, _) = Memory::new(again, Ageing::default(), now);
    assert_eq!(memory.recall(&identity("a"), now), after(300 * SECOND));
}

#[test]
fn absurd_figures_are_dropped_and_numbers_are_bounded() {
    let absurd: [fn(&mut Kept); 10] = [
        |k| k.belief.weight = 1.5,
        |k| k.belief.pass = -0.1,
        |k| k.belief.share = f64::NAN,
        |k| k.belief.carried = f64::INFINITY,
        |k| k.belief.carries = -1.0,
        |k| k.belief.can_take = 1e9,
        |k| k.belief.wait = Micros(u64::MAX),
        |k| k.belief.delay = Micros(3_600 * SECOND),
        |k| k.hub.uid = "x".repeat(300).into(),
        |k| k.hub.endpoint = "x".repeat(300).into(),
    ];
    for (nth, spoil) in absurd.into_iter().enumerate() {
        let mut spoilt = picture(&["a", "b", "b"]);
        spoil(&mut spoilt.hubs[0]);
        let (_, taken) = Memory::new(spoilt, Ageing::default(), AT);
        assert_eq!((taken.hubs, taken.dropped), (1, 2), "case {nth}; one name twice is dropped as well");
    }
    let names: Vec<String> = (0..HUBS_MOST + 50).map(|n| format!("s-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (memory, taken) = Memory::new(picture(&names), Ageing::default(), AT);
    assert_eq!((taken.hubs, taken.dropped), (HUBS_MOST, 50));
    assert_eq!(memory.unnamed(AT).count(), HUBS_MOST, "kept on until a list names them");
    assert_eq!(memory.unnamed(AT + Micros(901 * SECOND)).count(), 0);
}

#[test]
fn a_picture_comes_back_as_it_was() {
    let mut kept = picture(&["a", "b\"\\\u{e9}\n"]);
    kept.hubs[1].hub.born = Some(Micros(7));
    kept.hubs[1].belief = ServerEstimate { carried: 0.1 + 0.2, ..ServerEstimate::default() };
    assert_eq!(decode(VERSION, &encode(&kept)), Ok(kept));
}

#[test]
fn a_file_of_version_1_is_read() {
    let bytes = include_bytes!("data/learning-v1");
    let (header, payload) = store::read(bytes).expect("whole");
    assert_eq!(header.version, 1);
    let read = decode(1, payload).expect("migrated");
    let [kept] = &read.hubs[..] else { panic!("one hub: {read:?}") };
    assert_eq!((&*kept.hub.uid, &*kept.hub.endpoint, kept.hub.born), ("toy-1", "127.0.0.1:5071", None));
    assert_eq!((kept.belief.carries, kept.belief.can_take), (20.0, 0.0));
    assert_eq!(kept.belief.heard, read.at, "all was as old as the file");
    assert_eq!((read.at, read.hold), (Micros(1_796_143_036_665_422), 9.406250000000002));
    let later = decode(VERSION + 1, payload).expect_err("not known yet");
    assert!(later.contains("later version"), "{later}");
}

#[test]
fn garbled_payloads_are_refused_or_read_and_none_panics() {
    let whole = encode(&picture(&["a", "b"]));
    for cut in 0..whole.len() {
        assert!(decode(VERSION, &whole[..cut]).is_err(), "cut at {cut}");
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
        // What is still JSON of the form must pass the second look without a panic.
        for version in [1, VERSION] {
            if let Ok(read) = decode(version, &changed) {
                let (mut memory, taken) = Memory::new(read, Ageing::default(), AT);
                assert!(taken.hubs <= 2);
                let recalled = memory.recall(&identity("a"), AT);
                assert!(recalled.is_none_or(|b| (0.0..=1.0).contains(&b.weight) && b.carries <= 1e6));
            }
        }
    }
}
