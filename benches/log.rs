//! Cost of writing records durably: one sync per record compared with one sync per batch.
//!
//!     cargo bench --bench log

use hdrhistogram::Histogram;
use petreldock::store::{Folder, Log};
use std::time::Instant;

/// Size of a typical call record (names, class, deadline and description), in bytes.
const RECORD_BYTES: usize = 220;
const RECORD_COUNT: usize = 4000;

fn main() {
    let path = std::env::temp_dir().join(format!("petreldock-bench-log-{}", std::process::id()));
    println!("{RECORD_COUNT} records of {RECORD_BYTES} bytes; time per commit in us, and records per second; three rounds each");
    for batch in [1, 4, 16, 64, 256] {
        for _ in 0..3 {
            let _ = std::fs::remove_dir_all(&path);
            let mut folder = Folder::open(&path).expect("folder opened");
            let mut log = Log::new("calls", 2, 1);
            let payload = vec![7; RECORD_BYTES];
            let mut times =
                Histogram::<u64>::new_with_max(10_000_000_000, 3).expect("valid histogram bounds");
            let start = Instant::now();
            // 1,000 commits are enough to measure the cost of small batches, in which every commit waits for
            // the disk.
            let commits = (RECORD_COUNT / batch).min(1000);
            for _ in 0..commits {
                let began = Instant::now();
                log.commit(&mut folder, &vec![&payload[..]; batch]).expect("written");
                times.saturating_record(began.elapsed().as_nanos() as u64);
            }
            let rate = (commits * batch) as f64 / start.elapsed().as_secs_f64();
            let us = |q| times.value_at_quantile(q) as f64 / 1e3;
            println!(
                "  {batch:>4} per commit: p50 {:>6.0}  p99 {:>6.0}  {rate:>9.0} records/s",
                us(0.5),
                us(0.99)
            );
        }
    }
    std::fs::remove_dir_all(&path).expect("removed");
}
