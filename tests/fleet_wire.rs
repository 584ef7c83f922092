//! Tests of the fleet's datagram format: round trips, and robustness against truncated, corrupt and random input.

#[path = "common/parser_fuzz.rs"]
mod parser_fuzz;

use foca::{Header, Member, Message, State};
use petreldock::fleet::show;
use petreldock::fleet::view::facts::Facts;
use petreldock::fleet::wire::{self, DropReason, Identity, Kind, Record, MAX_DATAGRAM_BYTES};
use quickcheck::{Arbitrary, Gen};

fn identity(n: u8) -> Identity {
    let address = match n % 2 {
        0 => ([10, 0, 0, n], 7946).into(),
        _ => "[fd00::7]:7946".parse().expect("an address"),
    };
    Identity {
        name: format!("n{n}").as_str().into(),
        zone: "north".into(),
        address,
        generation: 1_000 + u64::from(n),
    }
}

fn swim_bodies() -> Vec<Vec<u8>> {
    let (target, origin, probe_number) = (identity(3), identity(3), 9);
    let messages = [
        Message::Ping(1),
        Message::Ack(2),
        Message::PingReq { target: target.clone(), probe_number },
        Message::IndirectPing { origin: origin.clone(), probe_number },
        Message::IndirectAck { target, probe_number },
        Message::ForwardedAck { origin, probe_number },
        Message::Feed,
        Message::Gossip,
        Message::TurnUndead,
    ];
    let entries = [
        Member::alive(identity(4)),
        Member::new(identity(5), 7, State::Suspect),
        Member::new(identity(6), 8, State::Down),
    ];
    let encode = |message| {
        let header = Header { src: identity(1), src_incarnation: 4, dst: identity(2), message };
        let bytes = wire::encode_swim(&header, &entries);
        assert_eq!(wire::decode_swim(&bytes), Ok((header, entries.to_vec())));
        bytes
    };
    messages.into_iter().map(encode).collect()
}

#[test]
fn truncated_or_corrupt_datagrams_are_rejected() {
    let encoded: Vec<Vec<u8>> = swim_bodies()
        .iter()
        .map(|body| wire::encode_datagram("lab", &identity(1), Kind::Swim, true, body))
        .collect();
    parser_fuzz::fuzz_parser(&encoded, false, |input| match wire::decode_datagram("lab", input) {
        Ok(envelope) => {
            assert!(envelope.isolated && envelope.sender == identity(1) && envelope.kind == Kind::Swim);
            Ok(Some(input.len()))
        }
        Err(_) => Err(()),
    });
    for bytes in &encoded {
        for cut in 0..bytes.len() {
            assert!(wire::decode_datagram("lab", &bytes[..cut]).is_err(), "cut at {cut}");
        }
    }
}

#[test]
fn truncated_or_corrupt_bodies_behind_a_valid_checksum_do_not_panic() {
    parser_fuzz::fuzz_parser(&swim_bodies(), false, |input| {
        wire::decode_swim(input).map(|_| Some(input.len())).map_err(|_| ())
    });
    let records: Vec<Record> = (1..4)
        .map(|n| Record {
            address: identity(n).address,
            generation: 5,
            version: 6,
            age_ms: 7,
            facts: Facts {
                offered: 62,
                open_calls: 9,
                change_log_seq: 41,
                program: "1".into(),
                ..Facts::default()
            }
            .encode()
            .into(),
        })
        .collect();
    let mut body = Vec::new();
    records.iter().for_each(|r| wire::put_record(&mut body, r));
    assert_eq!(body.len(), records.iter().map(wire::record_len).sum::<usize>());
    assert_eq!(wire::read_records(&body), Ok(records));
    parser_fuzz::fuzz_parser(&[body], false, |input| {
        wire::read_records(input).map(|_| Some(input.len())).map_err(|_| ())
    });
}

#[test]
fn foreign_corrupt_newer_and_too_long_datagrams_are_told_apart() {
    let encoded = wire::encode_datagram("lab", &identity(1), Kind::Sync, false, &[0; 256]);
    assert!(wire::decode_datagram("lab", &encoded).is_ok());
    assert_eq!(wire::decode_datagram("other", &encoded), Err(DropReason::Foreign));
    assert_eq!(wire::decode_datagram("lab", b"PX............"), Err(DropReason::Foreign));
    assert_eq!(wire::decode_datagram("lab", &[0; MAX_DATAGRAM_BYTES + 1]), Err(DropReason::TooLong));
    let changed = |at: usize, by: u8, sum: bool| {
        let mut bytes = encoded.clone();
        bytes[at] = bytes[at].wrapping_add(by);
        if sum {
            let sum = wire::checksum(&bytes);
            bytes[6..10].copy_from_slice(&sum.to_be_bytes());
        }
        wire::decode_datagram("lab", &bytes).map(|e| e.kind)
    };
    assert_eq!(changed(2, 5, true), Ok(Kind::Sync), "a later version that this reader understands");
    assert_eq!(changed(3, 1, true), Err(DropReason::UnsupportedVersion));
    assert_eq!(
        changed(3, 1, false),
        Err(DropReason::Corrupt),
        "a corrupt datagram is not reported as a later version"
    );
    assert_eq!(
        changed(4, 100, true),
        Err(DropReason::UnsupportedVersion),
        "an unknown kind belongs to a later version"
    );
}

#[test]
fn facts_survive_a_round_trip_and_unknown_ones_are_preserved() {
    for seed in 0..200 {
        let mut gen = Gen::from_size_and_seed(20, seed);
        let mut facts = Facts {
            offered: u32::arbitrary(&mut gen),
            open_calls: u32::arbitrary(&mut gen),
            change_log_seq: u64::arbitrary(&mut gen),
            program: "0.1.0".into(),
            leaving: bool::arbitrary(&mut gen),
            ..Facts::default()
        };
        facts.unknown.insert(100 + u8::arbitrary(&mut gen) % 100, Vec::arbitrary(&mut gen));
        let bytes = facts.encode();
        assert!(bytes.len() <= wire::MAX_FACTS_BYTES);
        assert_eq!(Facts::decode(&bytes), facts);
        // Decoding arbitrary bytes must not panic.
        Facts::decode(&Vec::<u8>::arbitrary(&mut gen));
    }
    let oversized = Facts { unknown: (0..40).map(|n| (50 + n, vec![0; 30])).collect(), ..Facts::default() };
    assert!(oversized.encode().len() <= wire::MAX_FACTS_BYTES, "facts that do not fit are omitted");
}

#[test]
fn a_text_split_into_pages_is_reassembled() {
    let text: Vec<u8> = (0..5_000u32).map(|n| n as u8).collect();
    let (mut whole, mut page, mut pages) = (Vec::new(), 0, 1);
    while page < pages {
        let body = show::encode_page(77, page, &text, 1_228);
        let ([nonce, number, of], part) = show::decode_page(&body).expect("a page");
        assert_eq!((nonce, number), (77, page));
        whole.extend_from_slice(part);
        (page, pages) = (page + 1, of);
    }
    assert_eq!(whole, text);
    let beyond = show::encode_page(77, u64::MAX, &text, 1_228);
    assert_eq!(
        show::decode_page(&beyond).map(|(_, part)| part.len()),
        Some(0),
        "a page beyond the last is empty"
    );
    assert_eq!(show::decode_page(&[0; 23]), None);
}
