//! The table of causes.

use super::*;

#[test]
fn every_ending_has_its_cause_and_is_read_back() {
    let table = [
        (Ending::Refused, 42, "Switching equipment congestion", (Cause(34), RefusalNote::Throttled)),
        (Ending::Full, 42, "Switching equipment congestion", (Cause(34), RefusalNote::Throttled)),
        (Ending::Failed, 41, "Temporary failure", (Cause(41), RefusalNote::None)),
        (Ending::DeadlinePassed, 102, "Recovery on timer expiry", (Cause(102), RefusalNote::None)),
        (Ending::GivenUp, 16, "Normal call clearing", (Cause(16), RefusalNote::None)),
        (Ending::Released(Cause(17)), 17, "User busy", (Cause(17), RefusalNote::NumberBusy)),
        (
            Ending::Released(Cause(34)),
            34,
            "No circuit/channel available",
            (Cause(34), RefusalNote::Congestion),
        ),
        (Ending::Released(Cause(88)), 88, "Interworking, unspecified", (Cause(88), RefusalNote::None)),
        (Ending::Malformed, 96, "Mandatory information element is missing", (Cause(96), RefusalNote::None)),
    ];
    for (ending, code, text, back) in table {
        let bytes = elements(ending);
        let read = Elements::parse(&bytes).expect("whole");
        assert_eq!(read.number(element::CAUSECODE), Some(code), "{ending:?}");
        assert_eq!(read.text(element::CAUSE), Some(text), "{ending:?}");
        assert_eq!(heard(&read, false), back, "{ending:?}");
    }
    let none = Elements::default();
    assert_eq!(heard(&none, true), (Cause(21), RefusalNote::None));
    assert_eq!(heard(&none, false), (Cause::NORMAL, RefusalNote::None));
}
