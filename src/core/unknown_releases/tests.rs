//! Tests of the releases of unknown calls.

use super::*;

#[test]
fn a_flood_under_new_names_is_paced_and_bounded_and_each_call_is_released_once() {
    let mut releases = UnknownReleases::default();
    let added = (0..100_000).filter(|name| releases.add(Micros(0), CallName(*name), Cause::NORMAL)).count();
    assert_eq!(added, MAX_WAITING);
    let first = releases.take_due(Micros(5_000));
    assert_eq!(first.iter().map(|(name, _)| name.0).collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert!(releases.add(Micros(5_000), CallName(0), Cause::NORMAL), "known, and not dropped");
    assert_eq!(releases.len(), MAX_WAITING - first.len(), "it is not passed on again");
    assert!(releases.take_due(Micros(9_999)).is_empty(), "not before the interval is over");
    assert_eq!(releases.take_due(Micros(10_000)).len(), RELEASES_PER_INTERVAL);
}
