use super::*;
use crate::core::{CallName, Cause, Description, Origin};

/// Creates a registry with connections 1 to `connections`, each last read from later than the one before it.
fn registry(connections: u64) -> (ConnectionRegistry, Vec<mpsc::Receiver<Command>>) {
    let mut registry = ConnectionRegistry::default();
    let mut receivers = Vec::new();
    let start = Instant::now();
    for number in 1..=connections {
        let (registered, commands) = registry.register();
        assert_eq!(registered, number);
        let entry = registry.entry(number).expect("registered");
        entry.last_received = Some(start + Duration::from_millis(number));
        receivers.push(commands);
    }
    (registry, receivers)
}

fn release(call: u64, tried_connections: &[u64]) -> Release {
    Release { call: CallName(call), cause: Cause(16), tried_connections: tried_connections.into() }
}

/// Numbers of the connections that received a release, once for each release.
fn receivers_of_releases(receivers: &mut [mpsc::Receiver<Command>]) -> Vec<u64> {
    let mut numbers = Vec::new();
    for (number, commands) in (1..).zip(receivers) {
        while let Ok(command) = commands.try_recv() {
            assert!(matches!(command, Command::Release(_) | Command::FromCore(ToFront::Release(..))));
            numbers.push(number);
        }
    }
    numbers
}

fn release_from_core(origin: u64, call: u64) -> ToFront {
    ToFront::Release(Some(Origin(origin)), CallName(call), Cause(16))
}

#[test]
fn a_release_avoids_its_own_connection_if_that_is_unresponsive_or_closed() {
    let (mut registry, mut receivers) = registry(3);
    registry.route(release_from_core(1, 1));
    assert_eq!(receivers_of_releases(&mut receivers), [1]);
    registry.entry(1).expect("open").is_unresponsive = true;
    registry.route(release_from_core(1, 2));
    assert_eq!(receivers_of_releases(&mut receivers), [3], "the one read from most recently");
    registry.remove(3, false);
    registry.route(release_from_core(3, 3));
    assert_eq!(receivers_of_releases(&mut receivers), [2], "not the unresponsive one");
}

#[test]
fn a_release_is_still_sent_if_all_connections_are_unresponsive() {
    let (mut registry, mut receivers) = registry(2);
    for number in 1..=2 {
        registry.entry(number).expect("open").is_unresponsive = true;
    }
    registry.route(release_from_core(1, 1));
    assert_eq!(receivers_of_releases(&mut receivers), [2]);
}

#[test]
fn a_repeat_avoids_tried_unresponsive_and_write_blocked_connections() {
    let (mut registry, mut receivers) = registry(4);
    assert!(registry.repeat(release(1, &[4])));
    assert_eq!(receivers_of_releases(&mut receivers), [3]);
    registry.entry(3).expect("open").is_unresponsive = true;
    registry.entry(2).expect("open").is_write_blocked = true;
    assert!(registry.repeat(release(1, &[4])));
    assert_eq!(receivers_of_releases(&mut receivers), [1]);
    assert!(!registry.repeat(release(1, &[4, 1])), "no connection is left");
    assert!(receivers_of_releases(&mut receivers).is_empty());
}

#[test]
fn a_connection_without_a_request_is_chosen_last() {
    let (mut registry, mut receivers) = registry(2);
    registry.entry(2).expect("open").last_received = None;
    assert!(registry.repeat(release(1, &[])));
    assert_eq!(receivers_of_releases(&mut receivers), [1]);
    assert!(registry.repeat(release(2, &[1])));
    assert_eq!(receivers_of_releases(&mut receivers), [2]);
}

#[test]
fn releases_without_a_connection_are_queued_up_to_a_limit() {
    let (mut registry, _) = registry(0);
    for call in 0..MAX_QUEUED_RELEASES as u64 + 10 {
        registry.release(release(call, &[]));
    }
    assert_eq!(registry.queued_releases.len(), MAX_QUEUED_RELEASES);
    let (_, mut commands) = registry.register();
    assert!(registry.queued_releases.is_empty());
    let mut calls = Vec::new();
    while let Ok(Command::Release(release)) = commands.try_recv() {
        calls.push(release.call.0);
    }
    assert_eq!(calls, (0..MAX_QUEUED_RELEASES as u64).collect::<Vec<_>>());
}

#[test]
fn a_message_for_a_closed_connection_is_returned() {
    let (mut registry, mut receivers) = registry(1);
    let fail = ToFront::Fail(Origin(7), CallName(1));
    assert!(matches!(registry.route(fail), Some(ToFront::Fail(Origin(7), CallName(1)))));
    assert!(receivers_of_releases(&mut receivers).is_empty());
}

#[test]
fn idle_connections_without_calls_are_closed_first_and_asked_once() {
    let (mut registry, mut receivers) = registry(4);
    let idle_since = Instant::now() - RECENT_USE;
    for number in 1..=4 {
        registry.entry(number).expect("open").last_used = idle_since;
    }
    registry.call_answered(CallName(1), 1);
    registry.entry(2).expect("open").is_busy = true;
    let asked_to_close = |receivers: &mut Vec<mpsc::Receiver<Command>>| -> Vec<bool> {
        receivers.iter_mut().map(|c| matches!(c.try_recv(), Ok(Command::CloseIdle))).collect()
    };
    registry.close_idle(2);
    assert_eq!(asked_to_close(&mut receivers), [false, false, true, true]);
    registry.close_idle(2);
    assert_eq!(asked_to_close(&mut receivers), [true, false, false, false]);
    registry.close_idle(2);
    assert_eq!(asked_to_close(&mut receivers), [false; 4]);
}

#[test]
fn a_connection_is_told_once_when_the_last_call_answered_on_it_has_ended() {
    let (mut registry, mut receivers) = registry(2);
    let answer = |call| ToFront::Answer(Origin(1), CallName(call), Description::default());
    assert!(registry.route(answer(1)).is_none() && registry.route(answer(2)).is_none());
    while receivers[0].try_recv().is_ok() {}
    registry.call_ended(CallName(1));
    registry.call_ended(CallName(1));
    assert!(registry.entry(1).expect("open").has_calls());
    registry.entry(1).expect("open").is_unresponsive = true;
    registry.route(release_from_core(1, 2));
    assert!(!registry.entry(1).expect("open").has_calls(), "its release went to the other connection");
    assert!(matches!(receivers[0].try_recv(), Ok(Command::LastCallEnded)));
    assert!(receivers[0].try_recv().is_err());
    assert_eq!(receivers_of_releases(&mut receivers), [2]);
}

#[test]
fn a_call_answered_again_under_its_id_belongs_to_the_later_connection() {
    let (mut registry, _receivers) = registry(2);
    registry.call_answered(CallName(1), 1);
    registry.call_answered(CallName(1), 2);
    let mut has_calls = |number| registry.entry(number).expect("open").has_calls();
    assert_eq!((has_calls(1), has_calls(2)), (false, true));
    assert_eq!((registry.remove(1, false), registry.remove(2, false)), (0, 1));
    assert!(registry.connection_by_call.is_empty());
}

#[test]
fn unresponsive_connections_are_evicted_before_quiet_ones_and_those_just_opened_last() {
    let (mut registry, mut receivers) = registry(4);
    let idle_since = Instant::now() - RECENT_USE;
    for (number, used_later) in [(1, 0), (2, 1), (3, 2)] {
        registry.entry(number).expect("open").last_used = idle_since + Duration::from_millis(used_later);
        registry.call_answered(CallName(number), number);
    }
    registry.entry(2).expect("open").is_unresponsive = true;
    registry.entry(4).expect("open").last_used = Instant::now() + Duration::from_secs(60);
    let mut order = Vec::new();
    for _ in 0..4 {
        registry.close_idle(1);
        let asked = receivers.iter_mut().position(|c| matches!(c.try_recv(), Ok(Command::CloseIdle)));
        order.push(asked.expect("one is asked") + 1);
    }
    assert_eq!(order, [2, 1, 3, 4]);
}
