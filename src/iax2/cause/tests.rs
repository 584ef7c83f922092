//! Tests of the cause table.

use super::*;

#[test]
fn each_end_reason_encodes_to_its_cause_and_decodes_again() {
    let table = [
        (EndReason::Refused, 42, "Switching equipment congestion", (Cause(34), RefusalNote::Throttled)),
        (
            EndReason::CallLimitReached,
            42,
            "Switching equipment congestion",
            (Cause(34), RefusalNote::Throttled),
        ),
        (EndReason::Failed, 41, "Temporary failure", (Cause(41), RefusalNote::None)),
        (EndReason::DeadlinePassed, 102, "Recovery on timer expiry", (Cause(102), RefusalNote::None)),
        (EndReason::GivenUp, 16, "Normal call clearing", (Cause(16), RefusalNote::None)),
        (EndReason::Released(Cause(17)), 17, "User busy", (Cause(17), RefusalNote::NumberBusy)),
        (
            EndReason::Released(Cause(34)),
            34,
            "No circuit/channel available",
            (Cause(34), RefusalNote::Congestion),
        ),
        (EndReason::Released(Cause(88)), 88, "Interworking, unspecified", (Cause(88), RefusalNote::None)),
        (
            EndReason::Malformed,
            96,
            "Mandatory information element is missing",
            (Cause(96), RefusalNote::None),
        ),
    ];
    for (end, code, text, parsed) in table {
        let bytes = cause_elements(end);
        let read = Elements::parse(&bytes).expect("complete elements");
        assert_eq!(read.number(element::CAUSECODE), Some(code), "{end:?}");
        assert_eq!(read.text(element::CAUSE), Some(text), "{end:?}");
        assert_eq!(parse_cause(&read, false), parsed, "{end:?}");
    }
    let none = Elements::default();
    assert_eq!(parse_cause(&none, true), (Cause(21), RefusalNote::None));
    assert_eq!(parse_cause(&none, false), (Cause::NORMAL, RefusalNote::None));
}
