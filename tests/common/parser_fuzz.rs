//! Fuzzes parsers with truncated and altered messages and random bytes, from fixed seeds.

use quickcheck::{Arbitrary, Gen};

/// Number of random inputs and of altered messages for each parser.
const RANDOM_ROUNDS: u64 = 400;

/// Runs a parser on each valid message, on every proper prefix of it, on messages with 1 to 4 bytes replaced, and on
/// random bytes. `parse` returns the number of bytes consumed, or `None` if the message is incomplete.
///
/// The parser must not panic, must consume exactly a whole valid message, and never more than it was given. If
/// `truncated_is_incomplete`, it must also report every prefix as incomplete.
pub fn fuzz_parser(
    valid: &[Vec<u8>],
    truncated_is_incomplete: bool,
    mut parse: impl FnMut(&[u8]) -> Result<Option<usize>, ()>,
) {
    for message in valid {
        assert_eq!(parse(message), Ok(Some(message.len())), "{:?}", String::from_utf8_lossy(message));
        for length in 0..message.len() {
            let result = parse(&message[..length]);
            assert!(
                !truncated_is_incomplete || result == Ok(None),
                "truncated to {length} bytes: {result:?}"
            );
        }
    }
    for seed in 0..RANDOM_ROUNDS {
        let mut gen = Gen::from_size_and_seed(300, seed);
        let garbage = Vec::<u8>::arbitrary(&mut gen);
        let mut changed = gen.choose(valid).cloned().unwrap_or_default();
        for _ in 0..=seed % 4 {
            let at = usize::arbitrary(&mut gen) % changed.len();
            changed[at] = u8::arbitrary(&mut gen);
        }
        for input in [garbage, changed] {
            if let Ok(Some(consumed)) = parse(&input) {
                assert!(consumed <= input.len(), "consumed more bytes than the input has: {input:?}");
            }
        }
    }
}

#[test]
fn each_seed_gives_its_own_repeatable_input() {
    let generate = |seed| Vec::<u8>::arbitrary(&mut Gen::from_size_and_seed(300, seed));
    assert_eq!(generate(3), generate(3));
    assert_ne!(generate(3), generate(4));
}
