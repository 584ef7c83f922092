//! What a failed dial shows.

use super::*;
use io::ErrorKind::{ConnectionRefused, Other, TimedOut};

#[test]
fn a_hub_is_dead_only_where_the_dial_shows_it() {
    let (short, long) = (Duration::from_millis(600), Duration::from_secs(6));
    assert!(is_dead(ConnectionRefused, false, Duration::ZERO, Duration::ZERO));
    assert!(!is_dead(ConnectionRefused, true, long, long), "a draining hub's door");
    assert!(!is_dead(TimedOut, false, short, short) && is_dead(TimedOut, false, long, short));
    assert!(!is_dead(TimedOut, true, long, short) && is_dead(TimedOut, true, short, long));
    assert!(!is_dead(Other, false, long, long), "no descriptor left");
}
