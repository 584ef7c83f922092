//! Tests of the set-ups that wait for their socket to be drained.

use super::*;
use crate::core::{Description, FrontId, Origin};

fn offer(call: u64) -> Offer {
    Offer {
        front: FrontId(0),
        origin: Origin(1),
        call: CallName(call),
        class: "voice".into(),
        number: "1".into(),
        place: 0,
        deadline: None,
        repeat: false,
        returned: false,
        description: Description::default(),
        retained_bytes: 0,
    }
}

#[test]
fn set_ups_wait_for_a_limited_time_from_the_first_one_and_withdrawn_ones_are_removed() {
    let start = Instant::now();
    let mut pending = PendingOffers::default();
    for call in 1..=3 {
        pending.push(start + Duration::from_millis(call), offer(call));
    }
    assert!(pending.remove(CallName(2)) && !pending.remove(CallName(2)));
    let end = start + Duration::from_millis(1) + MAX_WAIT;
    assert!(pending.may_wait(end - Duration::from_millis(1)) && !pending.may_wait(end));
    assert_eq!(pending.take().iter().map(|offer| offer.call.0).collect::<Vec<_>>(), [1, 3]);
    assert!(pending.is_empty() && pending.may_wait(end), "the next one starts anew");
}
