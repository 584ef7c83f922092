//! The parsers on truncated, altered and random input, and on unusual but complete messages.

#[path = "common/parser_fuzz.rs"]
mod parser_fuzz;

use parser_fuzz::fuzz_parser;
use petreldock::config::{self, JsonNode};
use petreldock::iax2::frame::{self, append_element, element, iax, kind, Elements, Frame, FullFrame};
use petreldock::net::sip::{Malformed, StartLine};
use petreldock::net::{binary, http, sip};

const INVITE: &str = "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n\
    Call-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nCall-Kind: voice\r\nAnswer-Within: 1500\r\n\
    Content-Length: 6\r\n\r\nv=0\r\n\n";

#[test]
fn sip_parser_handles_truncated_and_random_input() {
    let response = "SIP/2.0 200 OK\r\ni: 9b1f03aa5c7e2d41\r\nCSeq: 1 BYE\r\nl: 0\r\n\r\n";
    let folded = "BYE sip:a@net SIP/2.0\r\nReason: Q.850\r\n ;cause=41\r\nCall-ID: 1\r\n\r\n";
    let valid = [INVITE, response, folded].map(|t| t.as_bytes().to_vec());
    fuzz_parser(&valid, true, |input| match sip::parse(input) {
        Ok(read) => Ok(read.map(|m| m.bytes)),
        Err(_) => Err(()),
    });
}

#[test]
fn sip_messages_are_parsed_and_bare_line_feeds_rejected() {
    let message = sip::parse(INVITE.as_bytes()).expect("valid").expect("complete");
    assert_eq!(message.start, StartLine::Request("INVITE", "sip:7f3a9c21e0b4d655@net"));
    assert_eq!((message.header("call-kind"), message.cseq()), (Some("voice"), Some((1, "INVITE"))));
    assert_eq!(message.body, b"v=0\r\n\n");
    assert_eq!(sip::user("sip:7f3a:pw@net;x=1"), Some("7f3a"));
    assert_eq!([sip::user("sip:net"), sip::user("tel:1@x"), sip::user("sip:@net")], [None; 3]);
    assert_eq!((sip::cause("Q.850;cause=41;text=x"), sip::cause("SIP;cause=200")), (Some(41), None));
    let folded = b"BYE sip:a@net SIP/2.0\r\nReason: Q.850\r\n ;cause=41\r\n\r\n";
    let message = sip::parse(folded).expect("valid").expect("complete");
    assert_eq!(message.header("Reason").and_then(sip::cause), Some(41));
    let line_feed = INVITE.replace("Call-Kind: voice", "Call-Kind: a\nEvil: b");
    assert!(sip::parse(line_feed.as_bytes()).is_err(), "a bare line feed must not be copied into a response");
}

#[test]
fn malformed_sip_request_is_answerable_only_if_identifiable() {
    let answerable = |text: &str| match sip::parse(text.as_bytes()) {
        Err(Malformed::Request { headers, bytes }) => (headers.lines().count(), bytes),
        other => panic!("{text}: {other:?}"),
    };
    let no_colon = INVITE.replace("Answer-Within: 1500", "Answer-Within 1500");
    assert_eq!(
        answerable(&no_colon),
        (3, no_colon.len()),
        "its end is known, so that the connection stays open"
    );
    assert_eq!(answerable(&INVITE.replace("Length: 6", "Length: x")), (3, 0));
    assert_eq!(answerable(&INVITE.replace("Length: 6", "Length: 99999")), (3, 0), "over 16 KiB");
    for unrecoverable in [
        INVITE.replace("Call-ID", "Call ID"),
        "SIP/2.0 99999 x\r\nCall-ID: 1\r\nCSeq: 1 BYE\r\n\r\n".into(),
        "x".repeat(17_000),
    ] {
        assert_eq!(sip::parse(unrecoverable.as_bytes()), Err(Malformed::Unrecoverable), "{unrecoverable}");
    }
}

fn release_with_report() -> Vec<u8> {
    let mut out = Vec::new();
    let parameters: [(u8, &[u8]); 4] =
        [(binary::code::CAUSE, &[34]), (114, b"throttled"), (118, b"x0:12;x1:40;qps:3.5;new:1"), (200, b"?")];
    assert!(binary::write(&mut out, binary::kind::RELEASE, 0x9b1f, &parameters));
    out
}

#[test]
fn binary_parser_handles_truncated_and_random_input() {
    let mut plain = Vec::new();
    assert!(binary::write(&mut plain, binary::kind::RELEASE_ACK, u64::MAX, &[]));
    fuzz_parser(&[release_with_report(), plain], true, |input| match binary::parse(input) {
        Ok(read) => Ok(read.map(|m| m.bytes)),
        Err(_) => Err(()),
    });
}

#[test]
fn binary_messages_are_parsed_and_wrong_lengths_rejected() {
    let bytes = release_with_report();
    let message = binary::parse(&bytes).expect("valid").expect("complete");
    assert_eq!((message.kind, message.call, message.cause()), (12, 0x9b1f, Some(34)));
    let report = message.report();
    assert_eq!((report.free, report.size, report.can_take), (Some(12.0), Some(40.0), Some(3.5)));
    assert_eq!(binary::parse(&[0xff, 0xff, 1]), Err(binary::MalformedMessage), "longer than any message");
    assert_eq!(binary::parse(&[0, 8, 1]), Err(binary::MalformedMessage), "shorter than any message");
    let truncated_parameter = [0, 11, 12, 0, 0, 0, 0, 0, 0, 0, 1, 128, 0];
    assert_eq!(binary::parse(&truncated_parameter), Err(binary::MalformedMessage));
    assert!(!binary::write(&mut Vec::new(), 1, 1, &[(130, &[0; 16_384])]), "over 16 KiB");
}

#[test]
fn http_parser_handles_truncated_and_random_input() {
    let plain = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nX: y\r\n\r\n{\"seq\":412}";
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6;x=1\r\n{\"seq\"\r\n3\r\n:4}\r\n0\r\n\r\n";
    let valid = [plain, chunked].map(|t| t.as_bytes().to_vec());
    fuzz_parser(&valid, true, |input| match http::parse(input, false) {
        Ok(read) => Ok(read.map(|r| r.bytes)),
        Err(_) => Err(()),
    });
    let read = http::parse(chunked.as_bytes(), false).expect("valid").expect("complete");
    assert_eq!((read.status, &read.body[..], read.keep_alive), (200, &b"{\"seq\":4}"[..], true));
    let without_length = b"HTTP/1.0 200 OK\r\n\r\n{}";
    assert_eq!(http::parse(without_length, false), Ok(None));
    let read = http::parse(without_length, true).expect("valid").expect("complete at end of input");
    assert_eq!((&read.body[..], read.keep_alive), (&b"{}"[..], false));
    assert!(http::parse(&plain.as_bytes()[..50], true).is_err(), "a truncated body must not be accepted");
}

#[test]
fn iax2_parser_handles_truncated_and_random_input() {
    let mut data = Vec::new();
    append_element(&mut data, element::VERSION, &[0, 2]);
    append_element(&mut data, element::CALLED_NUMBER, b"7f3a");
    let new = FullFrame {
        source: 7,
        destination: 0,
        is_retransmission: true,
        timestamp: 3,
        oseq: 0,
        iseq: 0,
        kind: kind::IAX,
        subclass: iax::NEW,
        data: &data,
    };
    let voice = FullFrame { kind: kind::VOICE, subclass: 1 << 14, data: &[1, 2, 3], ..new };
    for full in [new, voice] {
        assert_eq!(frame::parse(&full.encode()), Some(Frame::Full(full)));
    }
    let elements = Elements::parse(&data).expect("complete");
    assert_eq!(
        (elements.number(element::VERSION), elements.text(element::CALLED_NUMBER)),
        (Some(2), Some("7f3a"))
    );
    assert_eq!(Elements::parse(&data[..data.len() - 1]), None, "truncated");
    let mini = frame::encode_mini(9, 77, b"voice");
    assert_eq!(frame::parse(&mini), Some(Frame::Mini { source: 9, timestamp: 77, data: b"voice" }));
    // Frames have no length field, so that a truncated frame can be a valid shorter one.
    fuzz_parser(&[new.encode(), voice.encode(), mini], false, |input| match frame::parse(input) {
        Some(Frame::Full(full)) => {
            let _ = Elements::parse(full.data);
            Ok(Some(full.data.len() + 12))
        }
        Some(Frame::Mini { data, .. }) => Ok(Some(data.len() + 4)),
        None => Err(()),
    });
}

#[test]
fn configuration_errors_name_the_key_path() {
    let settings = r#"{"classes":[{"name":"a","objective":1,"deadline":2}],"limits":{"maxAttempts":-1}}"#;
    let cases = [
        (r#"{"listen":"127.0.0.1:1","settings":{}}"#, "settings.classes: expected a list"),
        (r#"{"settings":{"classes":[]}}"#, "listen: expected an address, as in 10.0.0.4:5060"),
        (
            r#"{"settings":{"classes":[{"name":"a","objective":"x"}]}}"#,
            "settings.classes[0].objective: expected a time of zero or more",
        ),
        (&format!(r#"{{"settings":{settings}}}"#), "settings.limits.maxAttempts: expected a count"),
        (
            r#"{"listen":"127.0.0.1:1","settings":{"classes":[]},"known":{"seq":1,"results":[{"seq":1,"fleet":{"targets":[{"uid":"a","state":"odd"}]}}]}}"#,
            "known.results[0].fleet.targets[0].state: expected in_service, terminating or terminated",
        ),
    ];
    for (text, expected) in cases {
        let value = config::parse(text, "file").expect("JSON");
        let error = config::Config::read(&JsonNode::root(&value, ""), None).expect_err(text);
        assert_eq!(error.to_string(), expected);
    }
    assert_eq!(
        config::parse("{", "file").expect_err("truncated").to_string(),
        "file: expected a JSON document"
    );
    let operator = |text: &str| {
        let value = config::parse(text, "file").expect("JSON");
        config::OperatorConfig::read(&JsonNode::root(&value, ""), &config::WireNames::default())
            .map_err(|e| e.to_string())
    };
    let duplicate_uid =
        r#"{"iax2":{"hubs":[{"uid":"a","address":"127.0.0.1:1"},{"uid":"a","address":"127.0.0.1:2"}]}}"#;
    assert_eq!(
        operator(duplicate_uid),
        Err("iax2.hubs[1].uid: expected a name unique among the hubs".into())
    );
    assert_eq!(
        operator(r#"{"iax2":{"calls":{"class":"x"}}}"#),
        Err("iax2.calls.class: expected a class of the settings".into())
    );
    assert_eq!(operator("{}"), Ok(config::OperatorConfig::default()), "features are off unless configured");
}
