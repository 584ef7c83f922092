use super::*;

#[test]
fn one_connection_holds_no_more_than_its_bound_till_it_has_handed_on() {
    let all = SharedCount::default();
    let mut held = Held::new(&all);
    held.count(MAX_HELD - 1);
    assert!(held.has_room());
    held.count(1);
    assert!(!held.has_room());
    held.take();
    assert!(!held.has_room(), "its bytes count till they are handed on");
    held.clear();
    assert!(held.has_room());
    assert_eq!(all.count(), 0);
}

#[test]
fn all_connections_together_hold_no_more_than_their_bound() {
    let all = SharedCount::default();
    let count = MAX_HELD_IN_ALL / (MAX_HELD / 2);
    let mut many: Vec<Held> = (0..=count).map(|_| Held::new(&all)).collect();
    many.iter_mut().for_each(|held| held.count(MAX_HELD / 2));
    assert!(many.iter().all(|held| !held.has_room()));
    many.truncate(count / 2);
    assert!(many.iter().all(Held::has_room), "connections that ended hold nothing");
}
