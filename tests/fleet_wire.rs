//! The fleet's datagrams against cuts, changes and garbage, and what each form gives back.

#[path = "common/parser_fuzz.rs"]
mod parser_fuzz;

use foca::{Header, Member, Message, State};
use petreldock::fleet::show;
use petreldock::fleet::view::facts::Facts;
use petreldock::fleet::wire::{self, Identity, Kind, Record, Refused, DATAGRAM_MOST};
use quickcheck::{Arbitrary, Gen};

fn who(n: u8) -> Identity {
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

fn swims() -> Vec<Vec<u8>> {
    let (target, origin, probe_number) = (who(3), who(3), 9);
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
    let entries =
        [Member::alive(who(4)), Member::new(who(5), 7, State::Suspect), Member::new(who(6), 8, State::Down)];
    let swim = |message| {
        let head = Header { src: who(1), src_incarnation: 4, dst: who(2), message };
        let bytes = wire::swim(&head, &entries);
        assert_eq!(wire::read_swim(&bytes), Ok((head, entries.to_vec())));
        bytes
    };
    messages.into_iter().map(swim).collect()
}

#[test]
fn datagrams_bear_cuts_and_garbage() {
    let sealed: Vec<Vec<u8>> =
        swims().iter().map(|body| wire::seal("lab", &who(1), Kind::Swim, true, body)).collect();
    parser_fuzz::fuzz_parser(&sealed, false, |input| match wire::open("lab", input) {
        Ok(envelope) => {
            assert!(envelope.unsure && envelope.sender == who(1) && envelope.kind == Kind::Swim);
            Ok(Some(input.len()))
        }
        Err(_) => Err(()),
    });
    for bytes in &sealed {
        for cut in 0..bytes.len() {
            assert!(wire::open("lab", &bytes[..cut]).is_err(), "cut at {cut}");
        }
    }
}

#[test]
fn bodies_bear_cuts_and_garbage_past_the_checksum() {
    parser_fuzz::fuzz_parser(&swims(), false, |input| {
        wire::read_swim(input).map(|_| Some(input.len())).map_err(|_| ())
    });
    let records: Vec<Record> = (1..4)
        .map(|n| Record {
            address: who(n).address,
            generation: 5,
            version: 6,
            age_ms: 7,
            facts: Facts { offered: 62, out: 9, seq: 41, program: "1".into(), ..Facts::default() }
                .encode()
                .into(),
        })
        .collect();
    let mut body = Vec::new();
    records.iter().for_each(|r| wire::record(&mut body, r));
    assert_eq!(body.len(), records.iter().map(wire::record_bytes).sum::<usize>());
    assert_eq!(wire::read_records(&body), Ok(records));
    parser_fuzz::fuzz_parser(&[body], false, |input| {
        wire::read_records(input).map(|_| Some(input.len())).map_err(|_| ())
    });
}

#[test]
fn what_is_foreign_torn_newer_or_too_long_is_told_apart() {
    let sealed = wire::seal("lab", &who(1), Kind::Sync, false, &[0; 256]);
    assert!(wire::open("lab", &sealed).is_ok());
    assert_eq!(wire::open("other", &sealed), Err(Refused::Foreign));
    assert_eq!(wire::open("lab", b"PX............"), Err(Refused::Foreign));
    assert_eq!(wire::open("lab", &[0; DATAGRAM_MOST + 1]), Err(Refused::TooLong));
    let changed = |at: usize, by: u8, sum: bool| {
        let mut bytes = sealed.clone();
        bytes[at] = bytes[at].wrapping_add(by);
        if sum {
            let sum = wire::checksum(&bytes);
            bytes[6..10].copy_from_slice(&sum.to_be_bytes());
        }
        wire::open("lab", &bytes).map(|e| e.kind)
    };
    assert_eq!(changed(2, 5, true), Ok(Kind::Sync), "a later writer that this reader understands");
    assert_eq!(changed(3, 1, true), Err(Refused::Newer));
    assert_eq!(changed(3, 1, false), Err(Refused::Torn), "what is torn is no later version");
    assert_eq!(changed(4, 100, true), Err(Refused::Newer), "a kind of later versions");
}

#[test]
fn facts_are_read_as_they_were_written_and_unknown_ones_kept() {
    for seed in 0..200 {
        let mut gen = Gen::from_size_and_seed(20, seed);
        let mut facts = Facts {
            offered: u32::arbitrary(&mut gen),
            out: u32::arbitrary(&mut gen),
            seq: u64::arbitrary(&mut gen),
            program: "0.1.0".into(),
            leaving: bool::arbitrary(&mut gen),
            ..Facts::default()
        };
        facts.more.insert(100 + u8::arbitrary(&mut gen) % 100, Vec::arbitrary(&mut gen));
        let bytes = facts.encode();
        assert!(bytes.len() <= wire::FACTS_MOST);
        assert_eq!(Facts::decode(&bytes), facts);
        // Any other bytes are read as something, without a panic.
        Facts::decode(&Vec::<u8>::arbitrary(&mut gen));
    }
    let much = Facts { more: (0..40).map(|n| (50 + n, vec![0; 30])).collect(), ..Facts::default() };
    assert!(much.encode().len() <= wire::FACTS_MOST, "what does not fit is left out");
}

#[test]
fn a_view_in_pages_is_put_together_again() {
    let text: Vec<u8> = (0..5_000u32).map(|n| n as u8).collect();
    let (mut whole, mut page, mut pages) = (Vec::new(), 0, 1);
    while page < pages {
        let body = show::page(77, page, &text, 1_228);
        let ([nonce, number, of], part) = show::read_page(&body).expect("a page");
        assert_eq!((nonce, number), (77, page));
        whole.extend_from_slice(part);
        (page, pages) = (page + 1, of);
    }
    assert_eq!(whole, text);
    let beyond = show::page(77, u64::MAX, &text, 1_228);
    assert_eq!(
        show::read_page(&beyond).map(|(_, part)| part.len()),
        Some(0),
        "a page that is not there is empty"
    );
    assert_eq!(show::read_page(&[0; 23]), None);
}
