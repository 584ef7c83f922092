//! Tests of the memory that open set-ups are counted with.

use super::*;
use crate::net::sip;

fn set_up(bytes: usize) -> OpenSetUp {
    let request = b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\n\r\n";
    let headers = sip::parse(request).expect("valid").expect("complete").response_headers();
    OpenSetUp { headers, bytes }
}

#[test]
fn the_total_of_all_connections_counts_each_set_up_until_it_is_removed() {
    let total = SharedCount::default();
    let [mut first, mut second] = [OpenSetUps::new(&total), OpenSetUps::new(&total)];
    for call in 1..=3 {
        first.insert(CallName(call), set_up(100));
    }
    second.insert(CallName(1), set_up(50));
    assert_eq!(second.total_bytes(), 350);
    assert!(first.remove(CallName(2)).is_some() && first.remove(CallName(2)).is_none());
    assert_eq!(total.count(), 250);
    assert_eq!(first.take_all().iter().map(|(call, _)| call.0).collect::<Vec<_>>(), [1, 3]);
    assert_eq!((total.count(), first.len()), (50, 0));
    drop(second);
    assert_eq!(total.count(), 0, "a closed connection holds nothing");
}
