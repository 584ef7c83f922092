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
        let doors = Doors::new(sockets);
        let links: Vec<Link> = (0..hubs).map(|_| doors.link()).collect();
        assert_eq!(links[0].keeps(2), kept, "{sockets} descriptors, {hubs} hubs");
    }
}

#[tokio::test(start_paused = true)]
async fn what_is_closed_makes_room_also_for_a_call_that_waits() {
    let doors = Doors::new(16);
    let link = doors.link();
    let mut open = Vec::new();
    for _ in 0..4 {
        assert!(!link.full());
        open.push(link.open(false).await.expect("a place"));
    }
    assert!(link.full() && !link.pressed());
    let none_left = |door: io::Result<Door>| door.err().map(|e| e.kind()) == Some(NONE_LEFT);
    assert!(none_left(link.open(false).await), "one that nobody needs does not wait");
    let begun = tokio::time::Instant::now();
    assert!(none_left(link.open(true).await) && begun.elapsed() >= WAIT);
    assert!(!link.pressed(), "it waits no more");
    let waits = tokio::spawn(link.open(true));
    tokio::task::yield_now().await;
    assert!(link.pressed());
    open.pop();
    let door = waits.await.expect("ended").expect("the place that was left");
    assert!(link.full() && !link.pressed());
    // A dial that is ended while it waits is forgotten.
    let ended = tokio::spawn(link.open(true));
    tokio::task::yield_now().await;
    assert!(link.pressed());
    ended.abort();
    assert!(ended.await.is_err() && !link.pressed());
    drop((door, open));
    assert!(!link.full());
}
