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
    assert_eq!(total.count(), 350);
    assert!(first.remove(CallName(2)).is_some() && first.remove(CallName(2)).is_none());
    assert_eq!(total.count(), 250);
    assert_eq!(first.take_all().iter().map(|(call, _)| call.0).collect::<Vec<_>>(), [1, 3]);
    assert_eq!((total.count(), first.len()), (50, 0));
    drop(second);
    assert_eq!(total.count(), 0, "a closed connection holds nothing");
}

#[test]
fn a_connection_at_its_limit_has_no_room_until_its_set_ups_end() {
    let total = SharedCount::default();
    let mut open = OpenSetUps::new(&total);
    open.insert(CallName(1), set_up(99));
    assert!(open.has_room(1, 400) && !open.has_room(2, 400));
    assert!(open.remove(CallName(1)).is_some());
    assert!(open.has_room(100, 400));
    assert_eq!(total.count(), 0);
}

#[test]
fn all_connections_together_stay_within_the_total_limit() {
    let total = SharedCount::default();
    let mut connections: Vec<OpenSetUps> = (0..5).map(|_| OpenSetUps::new(&total)).collect();
    for connection in connections.iter_mut().take(4) {
        assert!(connection.has_room(100, 400));
        connection.insert(CallName(1), set_up(100));
    }
    assert!(connections.iter().all(|connection| !connection.has_room(1, 400)));
    connections.remove(0);
    assert!(connections[3].has_room(100, 400), "closed connections free their share");
}
