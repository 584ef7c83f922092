use super::*;
use crate::core::{CallName, Cause, Origin};

/// A registry with so many connections, each heard from later than the one before it.
fn registry(connections: u64) -> (ConnectionRegistry, Vec<mpsc::Receiver<Command>>) {
    let mut registry = ConnectionRegistry::default();
    let mut receivers = Vec::new();
    let start = Instant::now();
    for number in 1..=connections {
        let (entered, commands) = registry.enter();
        assert_eq!(entered, number);
        let entry = registry.entry(number).expect("entered");
        entry.heard = Some(start + Duration::from_millis(number));
        receivers.push(commands);
    }
    (registry, receivers)
}

fn release(call: u64, tried: &[u64]) -> Release {
    Release { call: CallName(call), cause: Cause(16), tried: tried.into() }
}

/// Which connections were told of a release, by their numbers.
fn told(receivers: &mut [mpsc::Receiver<Command>]) -> Vec<u64> {
    let mut told = Vec::new();
    for (number, commands) in (1..).zip(receivers) {
        while let Ok(command) = commands.try_recv() {
            assert!(matches!(command, Command::Release(_) | Command::Core(ToFront::Release(..))));
            told.push(number);
        }
    }
    told
}

fn released(origin: u64, call: u64) -> ToFront {
    ToFront::Release(Some(Origin(origin)), CallName(call), Cause(16))
}

#[test]
fn a_release_goes_on_its_own_connection_unless_that_is_silent_or_gone() {
    let (mut registry, mut receivers) = registry(3);
    registry.route(released(1, 1));
    assert_eq!(told(&mut receivers), [1]);
    registry.entry(1).expect("open").is_silent = true;
    registry.route(released(1, 2));
    assert_eq!(told(&mut receivers), [3], "the one heard from last");
    registry.remove(3, false);
    registry.route(released(3, 3));
    assert_eq!(told(&mut receivers), [2], "not the silent one");
}

#[test]
fn where_all_are_silent_a_release_goes_on_one_of_them_all_the_same() {
    let (mut registry, mut receivers) = registry(2);
    for number in 1..=2 {
        registry.entry(number).expect("open").is_silent = true;
    }
    registry.route(released(1, 1));
    assert_eq!(told(&mut receivers), [2]);
}

#[test]
fn a_repeat_goes_on_no_connection_that_swallowed_it_or_is_silent_or_full() {
    let (mut registry, mut receivers) = registry(4);
    assert!(registry.repeat(release(1, &[4])));
    assert_eq!(told(&mut receivers), [3]);
    registry.entry(3).expect("open").is_silent = true;
    registry.entry(2).expect("open").is_full = true;
    assert!(registry.repeat(release(1, &[4])));
    assert_eq!(told(&mut receivers), [1]);
    assert!(!registry.repeat(release(1, &[4, 1])), "nobody is left");
    assert!(told(&mut receivers).is_empty());
}

#[test]
fn a_connection_that_sent_no_request_yet_is_the_last_choice() {
    let (mut registry, mut receivers) = registry(2);
    registry.entry(2).expect("open").heard = None;
    assert!(registry.repeat(release(1, &[])));
    assert_eq!(told(&mut receivers), [1]);
    assert!(registry.repeat(release(2, &[1])));
    assert_eq!(told(&mut receivers), [2]);
}

#[test]
fn what_no_connection_can_take_waits_for_the_next_one_bounded_in_number() {
    let (mut registry, _) = registry(0);
    for call in 0..MAX_PARKED as u64 + 10 {
        registry.release(release(call, &[]));
    }
    assert_eq!(registry.parked.len(), MAX_PARKED);
    let (_, mut commands) = registry.enter();
    assert!(registry.parked.is_empty());
    let mut calls = Vec::new();
    while let Ok(Command::Release(release)) = commands.try_recv() {
        calls.push(release.call.0);
    }
    assert_eq!(calls, (0..MAX_PARKED as u64).collect::<Vec<_>>());
}

#[test]
fn an_answer_whose_connection_is_gone_is_given_back() {
    let (mut registry, mut receivers) = registry(1);
    let fail = ToFront::Fail(Origin(7), CallName(1));
    assert!(matches!(registry.route(fail), Some(ToFront::Fail(Origin(7), CallName(1)))));
    assert!(told(&mut receivers).is_empty());
}

#[test]
fn idle_connections_without_standing_calls_make_room_first_and_are_asked_once() {
    let (mut registry, mut receivers) = registry(4);
    registry.entry(1).expect("open").carries = true;
    registry.entry(2).expect("open").busy = true;
    let asked = |receivers: &mut Vec<mpsc::Receiver<Command>>| -> Vec<bool> {
        receivers.iter_mut().map(|c| matches!(c.try_recv(), Ok(Command::CloseIdle))).collect()
    };
    registry.shed(2);
    assert_eq!(asked(&mut receivers), [false, false, true, true]);
    registry.shed(2);
    assert_eq!(asked(&mut receivers), [true, false, false, false]);
    registry.shed(2);
    assert_eq!(asked(&mut receivers), [false; 4]);
}
