use super::*;

const MILLI: Duration = Duration::from_millis(1);
/// How long one BYE is.
const LENGTH: u64 = 250;

/// A tracker, its connection's clock, and what it had sent elsewhere.
struct Bench {
    tracker: ReleaseTracker,
    start: Instant,
    now: Instant,
    queued: u64,
    repeated: Vec<(u64, u128)>,
}

impl Bench {
    fn new() -> Bench {
        let now = Instant::now();
        Bench { tracker: ReleaseTracker::new(7), start: now, now, queued: 0, repeated: Vec::new() }
    }

    /// Queues the BYE of a call; it is not written yet.
    fn queue(&mut self, call: u64, tried: &[u64]) {
        self.queued += LENGTH;
        let release = Release { call: CallName(call), cause: Cause(16), tried: tried.into() };
        self.tracker.queued(self.now, release, self.queued);
    }

    fn write_all(&mut self) {
        self.tracker.wrote(self.now, self.queued);
    }

    fn put_out(&mut self, calls: impl IntoIterator<Item = u64>) {
        for call in calls {
            self.queue(call, &[]);
            self.write_all();
        }
    }

    /// Lets time pass; each check comes when it is due, and other connections take what they may.
    fn pass(&mut self, millis: u64, is_taken: impl Fn(Duration) -> bool) {
        let end = self.now + MILLI * millis as u32;
        while let Some(at) = self.tracker.check_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            let since = self.now - self.start;
            let repeated = &mut self.repeated;
            self.tracker.check(self.now, |release| {
                assert_eq!(release.tried.last(), Some(&7), "it says which connection swallowed it");
                if is_taken(since) {
                    repeated.push((release.call.0, since.as_millis()));
                }
                is_taken(since)
            });
        }
        self.now = end;
    }

    fn read(&mut self) {
        self.tracker.read(self.now);
    }

    fn ended(self) -> Vec<u64> {
        self.tracker.end(self.now).map(|release| release.call.0).collect()
    }
}

const REPEATED_AT: u128 = 350;

#[test]
fn a_release_without_a_sign_of_life_is_repeated_once_well_within_a_second() {
    let mut bench = Bench::new();
    bench.put_out([1]);
    bench.pass(REPEATED_AT as u64 - 1, |_| true);
    assert!(bench.repeated.is_empty());
    assert!(!bench.tracker.is_silent());
    bench.pass(20_000, |_| true);
    assert_eq!(bench.repeated, [(1, REPEATED_AT)]);
    assert!(bench.tracker.is_silent());
    assert_eq!(bench.tracker.check_at(), None, "it is the other connection's now");
    assert!(bench.ended().is_empty(), "... also when this one ends");
}

#[test]
fn what_is_confirmed_is_not_repeated() {
    for after in [0, 100, 299, 349] {
        let mut bench = Bench::new();
        bench.put_out([1, 2]);
        bench.pass(after, |_| true);
        bench.read();
        bench.tracker.confirmed(CallName(1));
        bench.tracker.confirmed(CallName(2));
        bench.pass(20_000, |_| true);
        assert!(bench.repeated.is_empty(), "confirmed after {after} ms");
        assert!(bench.ended().is_empty());
    }
}

#[test]
fn a_confirmation_after_the_repeat_or_of_an_unknown_call_changes_nothing() {
    let mut bench = Bench::new();
    bench.tracker.confirmed(CallName(9));
    bench.put_out([1]);
    bench.pass(1_000, |_| true);
    bench.read();
    bench.tracker.confirmed(CallName(1));
    assert!(!bench.tracker.is_silent(), "it was heard from");
    bench.pass(1_000, |_| true);
    assert_eq!(bench.repeated.len(), 1);
}

#[test]
fn only_bytes_read_later_than_a_round_trip_show_that_the_connection_lives() {
    for (read_after, repeats) in [(0, 1), (99, 1), (100, 0), (349, 0)] {
        let mut bench = Bench::new();
        bench.put_out([1]);
        bench.pass(read_after, |_| true);
        bench.read();
        bench.pass(20_000, |_| true);
        assert_eq!(bench.repeated.len(), repeats, "read {read_after} ms after it was written");
    }
}

#[test]
fn what_was_read_before_the_write_does_not_excuse_it() {
    let mut bench = Bench::new();
    bench.pass(500, |_| true);
    bench.read();
    bench.put_out([1]);
    bench.pass(500, |_| true);
    assert_eq!(bench.repeated.len(), 1);
}

#[test]
fn a_connection_that_lives_and_ends_within_a_second_has_its_releases_sent_again() {
    for (ends_after, again) in [(999, vec![1]), (1_000, vec![])] {
        let mut bench = Bench::new();
        bench.put_out([1]);
        bench.pass(200, |_| true);
        bench.read();
        bench.pass(ends_after - 200, |_| true);
        assert_eq!(bench.ended(), again, "ended after {ends_after} ms");
    }
}

#[test]
fn what_is_not_written_whole_is_repeated_though_the_connection_is_heard_from() {
    let mut bench = Bench::new();
    bench.queue(1, &[]);
    bench.tracker.wrote(bench.now, LENGTH - 1);
    bench.pass(200, |_| true);
    bench.read();
    bench.pass(1_000, |_| true);
    assert_eq!(bench.repeated, [(1, REPEATED_AT)]);
}

#[test]
fn what_is_written_late_gets_its_time_from_then_on_and_still_less_than_a_second() {
    let mut bench = Bench::new();
    for call in [1, 2] {
        bench.queue(call, &[]);
        bench.tracker.wrote(bench.now, 0);
    }
    bench.pass(299, |_| true);
    bench.tracker.wrote(bench.now, LENGTH);
    bench.pass(5_000, |_| true);
    assert_eq!(bench.repeated.iter().map(|(call, _)| *call).collect::<Vec<_>>(), [1, 2]);
    assert!(bench.repeated.iter().all(|(_, at)| *at < 700), "{:?}", bench.repeated);
}

#[test]
fn a_check_that_comes_late_is_followed_by_another_before_anything_is_repeated() {
    let mut bench = Bench::new();
    bench.put_out([1]);
    bench.now += MILLI * 5_000;
    bench.tracker.check(bench.now, |_| panic!("the socket's news may not be known yet"));
    // The news: the 200 had waited there.
    bench.read();
    bench.tracker.confirmed(CallName(1));
    bench.pass(1_000, |_| true);
    assert!(bench.repeated.is_empty());
}

#[test]
fn a_release_is_held_until_another_connection_takes_it() {
    let mut bench = Bench::new();
    bench.put_out([1, 2]);
    bench.pass(5_000, |since| since >= Duration::from_millis(2_000));
    assert_eq!(bench.repeated.len(), 2);
    assert!(bench.repeated.iter().all(|(_, at)| (2_000..=2_100).contains(at)), "{:?}", bench.repeated);
}

#[test]
fn a_release_that_is_held_goes_out_as_its_connection_ends_and_is_forgotten_after_a_while() {
    for (ends_after, again) in [(5_000, vec![1]), (9_999, vec![1]), (10_000, vec![]), (30_000, vec![])] {
        let mut bench = Bench::new();
        bench.put_out([1]);
        bench.pass(ends_after, |_| false);
        assert_eq!(bench.ended(), again, "ended after {ends_after} ms");
    }
    let mut bench = Bench::new();
    bench.put_out([1]);
    bench.pass(30_000, |_| false);
    assert_eq!(bench.tracker.check_at(), None, "nothing is checked for ever");
}

#[test]
fn a_release_that_is_held_is_settled_once_its_connection_is_heard_from() {
    let mut bench = Bench::new();
    bench.put_out([1]);
    bench.pass(3_000, |_| false);
    bench.read();
    bench.pass(5_000, |_| true);
    assert!(bench.repeated.is_empty());
    assert!(bench.ended().is_empty());
}

#[test]
fn a_release_that_was_tried_often_enough_is_repeated_only_as_its_connection_ends() {
    for (tried, repeats) in [(&[1][..], 1), (&[1, 2], 0)] {
        let mut bench = Bench::new();
        bench.queue(1, tried);
        bench.write_all();
        bench.pass(900, |_| true);
        assert_eq!(bench.repeated.len(), repeats, "swallowed by {tried:?}");
        assert_eq!(bench.ended().len(), 1 - repeats);
    }
}

#[test]
fn many_releases_are_repeated_in_bounded_batches_and_all_within_a_second() {
    const MANY: u64 = 5_000;
    let mut bench = Bench::new();
    bench.put_out(1..=MANY);
    bench.pass(1_000, |_| true);
    assert_eq!(
        bench.repeated.iter().map(|(call, _)| *call).collect::<Vec<_>>(),
        (1..=MANY).collect::<Vec<_>>()
    );
    let batches = bench.repeated.chunk_by(|a, b| a.1 == b.1).map(<[_]>::len);
    assert!(batches.into_iter().all(|batch| batch <= MAX_BATCH));
    let last = bench.repeated.last().expect("some").1;
    assert!(last < 600, "the last after {last} ms");
}

#[test]
fn the_table_is_bounded_and_forgets_the_oldest() {
    let mut bench = Bench::new();
    bench.put_out(1..=MAX_TRACKED as u64 + 10);
    let calls = bench.ended();
    assert_eq!(calls.len(), MAX_TRACKED);
    assert_eq!(calls.first(), Some(&11));
}

#[test]
fn no_order_of_events_repeats_a_call_twice_or_loses_one_on_a_silent_connection() {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut bench = Bench::new();
        let (mut last, mut done) = (0, Vec::new());
        for _ in 0..60 {
            match random.random_range(0..6) {
                0 | 1 => {
                    last += 1;
                    bench.queue(last, &[]);
                    let taken = bench.queued - random.random_range(0..2) * LENGTH / 2;
                    bench.tracker.wrote(bench.now, taken.max(bench.tracker.written));
                }
                2 => bench.write_all(),
                3 => {
                    let call = random.random_range(0..=last);
                    bench.tracker.confirmed(CallName(call));
                    done.push(call);
                }
                _ => {
                    let others = random.random_bool(0.7);
                    bench.pass(random.random_range(0..400), |_| others);
                }
            }
        }
        // Nothing was ever read: at the end each call was confirmed or sent elsewhere, once.
        bench.pass(2_000, |_| true);
        let mut sent: Vec<u64> = bench.repeated.iter().map(|(call, _)| *call).collect();
        sent.sort_unstable();
        assert!(sent.windows(2).all(|two| two[0] < two[1]), "seed {seed}: {sent:?}");
        for call in 1..=last {
            assert!(sent.contains(&call) || done.contains(&call), "seed {seed}: {call} is lost");
        }
    }
}
