//! The links' part of the descriptors.

use super::*;

#[test]
fn what_a_link_keeps_up_follows_from_limits_and_hubs() {
    for (sockets, hubs, kept) in [
        (256, 24, 2),
        (256, 56, 2),
        (256, 57, 1),
        (256, 112, 1),
        (256, 113, 0),
        (1024, 248, 2),
        (1024, 300, 1),
    ] {
        let doors = Doors::new(sockets);
        let links: Vec<Link> = (0..hubs).map(|_| doors.link()).collect();
        assert_eq!(links[0].keeps(2), kept, "{sockets} descriptors, {hubs} hubs");
    }
}

#[test]
fn what_is_closed_makes_room() {
    let doors = Doors::new(40);
    let link = doors.link();
    let open: Vec<Door> = (0..4).map(|_| link.open()).collect();
    assert!(link.full());
    drop(open);
    assert!(!link.full());
}
