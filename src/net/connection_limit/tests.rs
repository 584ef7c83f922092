//! The links' part of the descriptors.

use super::*;

#[test]
fn what_a_link_keeps_up_follows_from_limits_and_hubs() {
    for (sockets, hubs, kept) in [
        (256, 24, 2),
        (256, 48, 2),
        (256, 49, 1),
        (256, 96, 1),
        (256, 97, 0),
        (1024, 240, 2),
        (1024, 300, 1),
        (64, 16, 1),
        (64, 17, 0),
    ] {
        let limit = ConnectionLimit::new(sockets);
        let links: Vec<LinkHandle> = (0..hubs).map(|_| limit.register_link()).collect();
        assert_eq!(links[0].allowance(2), kept, "{sockets} descriptors, {hubs} hubs");
    }
}

#[tokio::test(start_paused = true)]
async fn what_is_closed_makes_room_also_for_a_call_that_waits() {
    let limit = ConnectionLimit::new(16);
    let link = limit.register_link();
    let mut open = Vec::new();
    for _ in 0..4 {
        assert!(!link.is_exhausted());
        open.push(link.acquire(false).await.expect("a place"));
    }
    assert!(link.is_exhausted() && !link.has_waiters());
    let none_left =
        |door: io::Result<ConnectionPermit>| door.err().map(|e| e.kind()) == Some(DESCRIPTORS_EXHAUSTED);
    assert!(none_left(link.acquire(false).await), "one that nobody needs does not wait");
    let begun = tokio::time::Instant::now();
    assert!(none_left(link.acquire(true).await) && begun.elapsed() >= ACQUIRE_TIMEOUT);
    assert!(!link.has_waiters(), "it waits no more");
    let waits = tokio::spawn(link.acquire(true));
    tokio::task::yield_now().await;
    assert!(link.has_waiters());
    open.pop();
    let door = waits.await.expect("ended").expect("the place that was left");
    assert!(link.is_exhausted() && !link.has_waiters());
    // A dial that is ended while it waits is forgotten.
    let ended = tokio::spawn(link.acquire(true));
    tokio::task::yield_now().await;
    assert!(link.has_waiters());
    ended.abort();
    assert!(ended.await.is_err() && !link.has_waiters());
    drop((door, open));
    assert!(!link.is_exhausted());
}
