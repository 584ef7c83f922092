use super::*;

#[test]
fn a_connection_at_its_byte_limit_has_no_room_until_its_inputs_are_sent() {
    let total = SharedCount::default();
    let mut pending = PendingInputs::new(&total);
    pending.add_bytes(MAX_PENDING_BYTES - 1);
    assert!(pending.has_room());
    pending.add_bytes(1);
    assert!(!pending.has_room());
    pending.take();
    assert!(!pending.has_room(), "bytes count until their inputs are sent to the core");
    pending.clear();
    assert!(pending.has_room());
    assert_eq!(total.count(), 0);
}

#[test]
fn all_connections_together_stay_within_the_total_byte_limit() {
    let total = SharedCount::default();
    let count = MAX_TOTAL_PENDING_BYTES / (MAX_PENDING_BYTES / 2);
    let mut connections: Vec<PendingInputs> = (0..=count).map(|_| PendingInputs::new(&total)).collect();
    connections.iter_mut().for_each(|pending| pending.add_bytes(MAX_PENDING_BYTES / 2));
    assert!(connections.iter().all(|pending| !pending.has_room()));
    connections.truncate(count / 2);
    assert!(connections.iter().all(PendingInputs::has_room), "closed connections free their share");
}
