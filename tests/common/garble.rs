//! Random cuts of valid messages and random garbage, from fixed seeds, for every parser.

use quickcheck::{Arbitrary, Gen};

/// Inputs for each parser and kind.
const ROUNDS: u64 = 400;

/// Feeds a parser what a network may bring: each valid message whole, cut at every byte, with bytes
/// changed, and random garbage. `parse` tells how many bytes it took, `None` where it wants more.
/// It must not panic, must take exactly the whole message, and must want more of any cut.
pub fn feed(
    valid: &[Vec<u8>],
    cuts_want_more: bool,
    mut parse: impl FnMut(&[u8]) -> Result<Option<usize>, ()>,
) {
    for message in valid {
        assert_eq!(parse(message), Ok(Some(message.len())), "{:?}", String::from_utf8_lossy(message));
        for cut in 0..message.len() {
            let read = parse(&message[..cut]);
            assert!(!cuts_want_more || read == Ok(None), "cut at {cut}: {read:?}");
        }
    }
    for seed in 0..ROUNDS {
        let mut gen = Gen::from_size_and_seed(300, seed);
        let garbage = Vec::<u8>::arbitrary(&mut gen);
        let mut changed = gen.choose(valid).cloned().unwrap_or_default();
        for _ in 0..=seed % 4 {
            let at = usize::arbitrary(&mut gen) % changed.len();
            changed[at] = u8::arbitrary(&mut gen);
        }
        for input in [garbage, changed] {
            if let Ok(Some(taken)) = parse(&input) {
                assert!(taken <= input.len(), "more taken than given: {input:?}");
            }
        }
    }
}

#[test]
fn the_generator_is_seeded() {
    let draw = |seed| Vec::<u8>::arbitrary(&mut Gen::from_size_and_seed(300, seed));
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
}
