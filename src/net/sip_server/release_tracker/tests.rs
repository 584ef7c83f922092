use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);
/// Length of a BYE in bytes.
const BYE_LENGTH: u64 = 250;

/// A tracker with a simulated connection and clock.
struct TestConnection {
    tracker: ReleaseTracker,
    start: Instant,
    now: Instant,
    /// Total number of bytes queued for writing.
    queued: u64,
    /// The calls whose BYE another connection took, and after how many milliseconds.
    repeated: Vec<(u64, u128)>,
}

impl TestConnection {
    fn new() -> TestConnection {
        let now = Instant::now();
        TestConnection { tracker: ReleaseTracker::new(7), start: now, now, queued: 0, repeated: Vec::new() }
    }

    /// Queues the BYE of a call without writing it.
    fn queue(&mut self, call: u64, tried_connections: &[u64]) {
        self.queued += BYE_LENGTH;
        let release =
            Release { call: CallName(call), cause: Cause(16), tried_connections: tried_connections.into() };
        self.tracker.on_queued(self.now, release, self.queued);
    }

    fn write_all(&mut self) {
        self.tracker.on_written(self.now, self.queued);
    }

    fn send(&mut self, calls: impl IntoIterator<Item = u64>) {
        for call in calls {
            self.queue(call, &[]);
            self.write_all();
        }
    }

    /// Advances the clock and makes each check when it is due. `is_taken` tells, by the time since the start, whether
    /// another connection takes a BYE.
    fn advance(&mut self, millis: u64, is_taken: impl Fn(Duration) -> bool) {
        let end = self.now + MILLISECOND * millis as u32;
        while let Some(at) = self.tracker.check_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            let since = self.now - self.start;
            let repeated = &mut self.repeated;
            self.tracker.check(self.now, |release| {
                assert_eq!(
                    release.tried_connections.last(),
                    Some(&7),
                    "it names the connection that was tried"
                );
                if is_taken(since) {
                    repeated.push((release.call.0, since.as_millis()));
                }
                is_taken(since)
            });
        }
        self.now = end;
    }

    fn read(&mut self) {
        self.tracker.on_read(self.now);
    }

    fn close(self) -> Vec<u64> {
        self.tracker.on_close(self.now).map(|release| release.call.0).collect()
    }
}

/// When an overdue BYE is repeated, in milliseconds after it was written.
const REPEATED_AT_MS: u128 = 350;

#[test]
fn a_release_on_an_unresponsive_connection_is_repeated_once_within_a_second() {
    let mut connection = TestConnection::new();
    connection.send([1]);
    connection.advance(REPEATED_AT_MS as u64 - 1, |_| true);
    assert!(connection.repeated.is_empty());
    assert!(!connection.tracker.is_unresponsive());
    connection.advance(20_000, |_| true);
    assert_eq!(connection.repeated, [(1, REPEATED_AT_MS)]);
    assert!(connection.tracker.is_unresponsive());
    assert_eq!(connection.tracker.check_at(), None, "the other connection tracks it now");
    assert!(connection.close().is_empty(), "nor is it sent again when this connection closes");
}

#[test]
fn a_confirmed_release_is_not_repeated() {
    for after in [0, 100, 299, 349] {
        let mut connection = TestConnection::new();
        connection.send([1, 2]);
        connection.advance(after, |_| true);
        connection.read();
        connection.tracker.on_confirmed(CallName(1));
        connection.tracker.on_confirmed(CallName(2));
        connection.advance(20_000, |_| true);
        assert!(connection.repeated.is_empty(), "confirmed after {after} ms");
        assert!(connection.close().is_empty());
    }
}

#[test]
fn a_late_or_unknown_confirmation_causes_no_further_repeat() {
    let mut connection = TestConnection::new();
    connection.tracker.on_confirmed(CallName(9));
    connection.send([1]);
    connection.advance(1_000, |_| true);
    connection.read();
    connection.tracker.on_confirmed(CallName(1));
    assert!(!connection.tracker.is_unresponsive(), "bytes were read");
    connection.advance(1_000, |_| true);
    assert_eq!(connection.repeated.len(), 1);
}

#[test]
fn bytes_read_within_a_round_trip_do_not_prevent_the_repeat() {
    for (read_after, repeats) in [(0, 1), (99, 1), (100, 0), (349, 0)] {
        let mut connection = TestConnection::new();
        connection.send([1]);
        connection.advance(read_after, |_| true);
        connection.read();
        connection.advance(20_000, |_| true);
        assert_eq!(connection.repeated.len(), repeats, "read {read_after} ms after it was written");
    }
}

#[test]
fn bytes_read_before_the_write_do_not_prevent_the_repeat() {
    let mut connection = TestConnection::new();
    connection.advance(500, |_| true);
    connection.read();
    connection.send([1]);
    connection.advance(500, |_| true);
    assert_eq!(connection.repeated.len(), 1);
}

#[test]
fn an_unconfirmed_release_is_sent_again_if_a_working_connection_closes_within_a_second() {
    for (closed_after, resent) in [(999, vec![1]), (1_000, vec![])] {
        let mut connection = TestConnection::new();
        connection.send([1]);
        connection.advance(200, |_| true);
        connection.read();
        connection.advance(closed_after - 200, |_| true);
        assert_eq!(connection.close(), resent, "closed after {closed_after} ms");
    }
}

#[test]
fn a_partially_written_release_is_repeated_even_if_bytes_are_read() {
    let mut connection = TestConnection::new();
    connection.queue(1, &[]);
    connection.tracker.on_written(connection.now, BYE_LENGTH - 1);
    connection.advance(200, |_| true);
    connection.read();
    connection.advance(1_000, |_| true);
    assert_eq!(connection.repeated, [(1, REPEATED_AT_MS)]);
}

#[test]
fn the_timeout_of_a_release_written_late_starts_at_the_write_and_ends_within_a_second() {
    let mut connection = TestConnection::new();
    for call in [1, 2] {
        connection.queue(call, &[]);
        connection.tracker.on_written(connection.now, 0);
    }
    connection.advance(299, |_| true);
    connection.tracker.on_written(connection.now, BYE_LENGTH);
    connection.advance(5_000, |_| true);
    assert_eq!(connection.repeated.iter().map(|(call, _)| *call).collect::<Vec<_>>(), [1, 2]);
    assert!(connection.repeated.iter().all(|(_, at)| *at < 700), "{:?}", connection.repeated);
}

#[test]
fn a_late_check_repeats_nothing_before_a_second_check() {
    let mut connection = TestConnection::new();
    connection.send([1]);
    connection.now += MILLISECOND * 5_000;
    connection.tracker.check(connection.now, |_| panic!("data in the socket may not have been read yet"));
    // The 200 was in the socket.
    connection.read();
    connection.tracker.on_confirmed(CallName(1));
    connection.advance(1_000, |_| true);
    assert!(connection.repeated.is_empty());
}

#[test]
fn a_release_is_retried_until_another_connection_takes_it() {
    let mut connection = TestConnection::new();
    connection.send([1, 2]);
    connection.advance(5_000, |since| since >= Duration::from_millis(2_000));
    assert_eq!(connection.repeated.len(), 2);
    assert!(
        connection.repeated.iter().all(|(_, at)| (2_000..=2_100).contains(at)),
        "{:?}",
        connection.repeated
    );
}

// Guards against a release that is dropped because no connection took it in time.
#[test]
fn an_untaken_release_is_sent_again_on_close_or_left_for_the_next_connection_after_its_timeout() {
    for closed_after in [5_000, 9_999, 10_000, 30_000] {
        let mut connection = TestConnection::new();
        connection.send([1]);
        connection.advance(closed_after, |_| false);
        assert_eq!(connection.close(), [1], "closed after {closed_after} ms");
    }
    let mut connection = TestConnection::new();
    connection.send([1, 2]);
    connection.advance(9_900, |_| false);
    assert!(connection.tracker.take_undelivered().is_empty(), "tried until its timeout");
    connection.advance(20_100, |_| false);
    let undelivered: Vec<u64> = connection.tracker.take_undelivered().iter().map(|r| r.call.0).collect();
    assert_eq!(undelivered, [1, 2]);
    assert_eq!(connection.tracker.check_at(), None, "checks end");
    assert!(connection.tracker.take_undelivered().is_empty(), "taken once");
    assert!(connection.close().is_empty(), "not sent twice");
}

#[test]
fn an_untaken_release_is_not_repeated_after_bytes_are_read() {
    let mut connection = TestConnection::new();
    connection.send([1]);
    connection.advance(3_000, |_| false);
    connection.read();
    connection.advance(5_000, |_| true);
    assert!(connection.repeated.is_empty());
    assert!(connection.close().is_empty());
}

#[test]
fn a_release_at_the_limit_of_repeats_is_sent_again_only_on_close() {
    for (tried, repeats) in [(&[1][..], 1), (&[1, 2], 0)] {
        let mut connection = TestConnection::new();
        connection.queue(1, tried);
        connection.write_all();
        connection.advance(900, |_| true);
        assert_eq!(connection.repeated.len(), repeats, "tried on {tried:?}");
        assert_eq!(connection.close().len(), 1 - repeats);
    }
}

#[test]
fn many_releases_are_repeated_in_bounded_batches_within_a_second() {
    const CALLS: u64 = 5_000;
    let mut connection = TestConnection::new();
    connection.send(1..=CALLS);
    connection.advance(1_000, |_| true);
    assert_eq!(
        connection.repeated.iter().map(|(call, _)| *call).collect::<Vec<_>>(),
        (1..=CALLS).collect::<Vec<_>>()
    );
    let batches = connection.repeated.chunk_by(|a, b| a.1 == b.1).map(<[_]>::len);
    assert!(batches.into_iter().all(|batch| batch <= MAX_BATCH_SIZE));
    let last = connection.repeated.last().expect("some").1;
    assert!(last < 600, "the last after {last} ms");
}

#[test]
fn tracked_releases_are_bounded_and_the_oldest_are_dropped() {
    let mut connection = TestConnection::new();
    connection.send(1..=MAX_TRACKED_RELEASES as u64 + 10);
    let calls = connection.close();
    assert_eq!(calls.len(), MAX_TRACKED_RELEASES);
    assert_eq!(calls.first(), Some(&11));
}

#[test]
fn random_events_never_lose_a_release_or_repeat_it_twice() {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut connection = TestConnection::new();
        let (mut last, mut confirmed) = (0, Vec::new());
        for _ in 0..60 {
            match random.random_range(0..6) {
                0 | 1 => {
                    last += 1;
                    connection.queue(last, &[]);
                    let written = connection.queued - random.random_range(0..2) * BYE_LENGTH / 2;
                    connection.tracker.on_written(connection.now, written.max(connection.tracker.written));
                }
                2 => connection.write_all(),
                3 => {
                    let call = random.random_range(0..=last);
                    connection.tracker.on_confirmed(CallName(call));
                    confirmed.push(call);
                }
                _ => {
                    let is_taken = random.random_bool(0.7);
                    connection.advance(random.random_range(0..400), |_| is_taken);
                }
            }
        }
        // No read was reported, so each call must have been confirmed or repeated, and repeated at most once.
        connection.advance(2_000, |_| true);
        let mut sent: Vec<u64> = connection.repeated.iter().map(|(call, _)| *call).collect();
        sent.sort_unstable();
        assert!(sent.windows(2).all(|two| two[0] < two[1]), "seed {seed}: {sent:?}");
        for call in 1..=last {
            assert!(
                sent.contains(&call) || confirmed.contains(&call),
                "seed {seed}: the release of {call} is lost"
            );
        }
    }
}
