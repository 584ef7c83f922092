//! Tests of the append-only log with power loss, a failing disk, damaged segments and random bytes.

#[path = "common/sim_disk.rs"]
mod sim_disk;

use petreldock::store::{
    encode_record, next_record, Disk, Folder, Log, Record, RecordError, ReplayIssue, ReplaySummary,
    MAX_BATCH_BYTES, MAX_RECORD_BYTES, SEGMENT_ROTATION_BYTES,
};
use quickcheck::{Arbitrary, Gen};
use sim_disk::SimDisk;

const KIND: u16 = 78;

fn log() -> Log {
    Log::new("calls", KIND, 3)
}

fn payload(sequence: u64) -> Vec<u8> {
    vec![sequence as u8; 10 + sequence as usize % 40]
}

/// Opens the log and checks its payloads; returns the log, the sequences of its records and the summary.
fn open(disk: &mut impl Disk, covered: u64) -> (Log, Vec<u64>, ReplaySummary) {
    let (mut log, mut sequences) = (log(), Vec::new());
    let summary = log.open(disk, covered, |version, record| {
        assert_eq!((version, record.payload), (3, &payload(record.sequence)[..]));
        sequences.push(record.sequence);
    });
    let summary = summary.expect("the folder can be read");
    assert_eq!(summary.records, sequences.len() as u64);
    (log, sequences, summary)
}

/// Commits records in batches of one to three, with a new segment from time to time, until the log has at least
/// `count` records or an operation fails. Returns the sequence of the last committed record.
fn write(disk: &mut impl Disk, log: &mut Log, count: u64) -> u64 {
    let mut committed = log.next_sequence() - 1;
    while committed < count {
        let batch: Vec<Vec<u8>> = (1..=1 + committed % 3).map(|n| payload(committed + n)).collect();
        let batch: Vec<&[u8]> = batch.iter().map(Vec::as_slice).collect();
        match log.commit(disk, &batch) {
            Ok(first) => {
                assert_eq!(first, committed + 1);
                committed += batch.len() as u64;
            }
            Err(_) => return committed,
        }
        if committed.is_multiple_of(5) && log.rotate(disk).is_err() {
            return committed;
        }
    }
    committed
}

#[test]
fn power_loss_at_any_step_loses_no_committed_record_and_leaves_no_gap() {
    let mut reliable = SimDisk::default();
    assert!(write(&mut reliable, &mut log(), 14) >= 14);
    for cut in 0..reliable.steps {
        for seed in 0..25 {
            let mut disk = SimDisk::default().with_power_loss_at(cut);
            let committed = write(&mut disk, &mut log(), 14);
            let mut recovered = disk.after_power_loss(seed);
            let (mut reopened, sequences, summary) = open(&mut recovered, 0);
            let last = sequences.len() as u64;
            assert_eq!(sequences, (1..=last).collect::<Vec<_>>(), "cut at {cut}, seed {seed}");
            assert!(
                last >= committed && last <= committed + 3,
                "cut at {cut}, seed {seed}: {last} after {committed}"
            );
            let lost = summary.issues.iter().any(|issue| matches!(issue, ReplayIssue::Lost { .. }));
            assert!(!lost, "cut at {cut}, seed {seed}: {:?}", summary.issues);
            // The reopened log is written to until the power fails once more.
            let mut recovered = recovered.with_power_loss_at(seed as usize * 7 % reliable.steps);
            let committed = write(&mut recovered, &mut reopened, last + 6);
            let (_, sequences, summary) = open(&mut recovered.after_power_loss(seed + 1), 0);
            let last = sequences.len() as u64;
            assert_eq!(
                sequences,
                (1..=last).collect::<Vec<_>>(),
                "second cut after one at {cut}, seed {seed}"
            );
            assert!(
                last >= committed,
                "second cut after one at {cut}, seed {seed}: {last} after {committed}"
            );
            assert!(!summary.issues.iter().any(|issue| matches!(issue, ReplayIssue::Lost { .. })));
        }
    }
}

#[test]
fn a_segment_is_not_used_after_a_failed_sync_and_its_failed_records_are_not_replayed() {
    let (mut disk, mut log) = (SimDisk::default(), log());
    assert_eq!(write(&mut disk, &mut log, 4), 4);
    disk.failing_syncs = true;
    let other = payload(200);
    assert!(log.commit(&mut disk, &[&other]).is_err());
    assert!(log.commit(&mut disk, &[&other]).is_err(), "a new segment cannot be created either");
    disk.failing_syncs = false;
    let next = payload(5);
    assert_eq!(log.commit(&mut disk, &[&next]).expect("the disk works again"), 5);
    // The old segment holds the complete record of the failed commit under the same sequence.
    let (_, sequences, summary) = open(&mut disk, 0);
    assert_eq!((sequences, summary.issues), ((1..=5).collect(), vec![]));
    // On a full disk the batch is cut short; it is committed to a new segment once there is room.
    disk.max_file_bytes = Some(80);
    let batch: Vec<Vec<u8>> = (6..=9).map(payload).collect();
    let batch: Vec<&[u8]> = batch.iter().map(Vec::as_slice).collect();
    assert!(log.commit(&mut disk, &batch).is_err());
    disk.max_file_bytes = None;
    assert_eq!(log.commit(&mut disk, &batch).expect("there is room again"), 6);
    assert_eq!(open(&mut disk, 0).1, (1..=9).collect::<Vec<_>>());
}

#[test]
fn damage_is_distinguished_from_a_torn_tail_and_reported_with_file_and_offset() {
    let (mut disk, mut log) = (SimDisk::default(), log());
    for sequence in 1..=9 {
        log.commit(&mut disk, &[&payload(sequence)]).expect("the disk works");
        if sequence == 4 {
            log.rotate(&mut disk).expect("the disk works");
        }
    }
    let names = disk.file_names().expect("file names");
    assert_eq!(names, ["calls.0000000001", "calls.0000000002"]);
    // Offset of the third record of the first segment: after the segment header of 48 bytes, the records have a
    // header of 16 bytes and payloads of 11 and 12 bytes.
    let third = 48 + (16 + 11) + (16 + 12);
    let mut damaged = disk.clone();
    damaged.damage(&names[0], |b| b[third + 20] ^= 1);
    let (_, sequences, summary) = open(&mut damaged, 0);
    assert_eq!(sequences, [1, 2, 5, 6, 7, 8, 9]);
    let lost = ReplayIssue::Lost { file: Some(names[0].clone()), offset: third, from: 3, to: 5 };
    assert_eq!((summary.issues, summary.last_sequence), (vec![lost], 9));
    // Damage to records that a checkpoint covers is no loss.
    assert_eq!(open(&mut damaged, 4).1, [5, 6, 7, 8, 9]);
    assert!(open(&mut damaged, 4).2.issues.iter().all(|issue| matches!(issue, ReplayIssue::TornTail { .. })));
    // At the end of the last segment only the torn record is missing, and it is not reported as lost.
    let mut torn = disk.clone();
    torn.damage(&names[1], |b| b.truncate(b.len() - 1));
    let (log, sequences, summary) = open(&mut torn, 0);
    assert_eq!((sequences.len(), log.next_sequence()), (8, 9));
    assert!(matches!(&summary.issues[..], [ReplayIssue::TornTail { error: RecordError::Truncated, .. }]));
    // A damaged segment header loses the records of the segment.
    let mut bad_header = disk.clone();
    bad_header.damage(&names[0], |b| b[5] ^= 1);
    let (_, sequences, summary) = open(&mut bad_header, 0);
    assert_eq!(sequences, [5, 6, 7, 8, 9]);
    assert!(matches!(
        &summary.issues[..],
        [ReplayIssue::BadHeader { .. }, ReplayIssue::Lost { from: 1, to: 5, .. }]
    ));
}

#[test]
fn checkpoints_bound_the_number_of_segments_and_keep_uncovered_records() {
    let (mut disk, mut log) = (SimDisk::default(), log());
    let mut max_segments = 0;
    for sequence in 1..=200 {
        log.commit(&mut disk, &[&payload(sequence)]).expect("the disk works");
        if sequence % 10 == 0 {
            log.rotate(&mut disk).expect("the disk works");
            max_segments = max_segments.max(disk.file_names().expect("file names").len());
            log.remove_covered_segments(&mut disk, sequence).expect("the disk works");
        }
    }
    assert_eq!(max_segments, 2);
    let (_, sequences, summary) = open(&mut disk, 200);
    assert_eq!((sequences, summary.last_sequence, summary.issues), (vec![], 200, vec![]));
    // Records that a checkpoint does not cover stay.
    let (mut log, ..) = open(&mut disk, 200);
    let committed = write(&mut disk, &mut log, 207);
    log.rotate(&mut disk).expect("the disk works");
    log.remove_covered_segments(&mut disk, 203).expect("the disk works");
    assert_eq!(open(&mut disk, 203).1, (204..=committed).collect::<Vec<_>>());
}

#[test]
fn overlong_records_and_batches_are_rejected_and_full_segments_are_rotated() {
    let mut disk = SimDisk::default();
    let mut log = log();
    let (too_long, longest) = (vec![1; MAX_RECORD_BYTES + 1], vec![1; MAX_RECORD_BYTES]);
    assert!(log.commit(&mut disk, &[&too_long]).is_err());
    assert!(
        log.commit(&mut disk, &vec![&longest[..]; MAX_BATCH_BYTES / MAX_RECORD_BYTES]).is_err(),
        "the batch length includes the record headers"
    );
    assert!(disk.file_names().expect("file names").is_empty(), "a rejected batch creates no file");
    let records_per_batch = MAX_BATCH_BYTES / MAX_RECORD_BYTES - 1;
    for _ in 0..4 {
        log.commit(&mut disk, &vec![&longest[..]; records_per_batch]).expect("the disk works");
    }
    assert!(log.is_segment_full() && SEGMENT_ROTATION_BYTES <= MAX_BATCH_BYTES);
    assert_eq!(disk.file_names().expect("file names").len(), 2, "two batches fill a segment");
    let mut log = Log::new("calls", KIND, 3);
    let summary = log
        .open(&mut disk, 0, |_, record| assert_eq!(record.payload, longest))
        .expect("the folder can be read");
    assert_eq!((summary.records, summary.issues), (4 * records_per_batch as u64, vec![]));
}

#[test]
fn corrupt_records_and_segments_are_rejected_without_a_panic() {
    let mut encoded = Vec::new();
    encode_record(&mut encoded, Record { sequence: 7, payload: b"seven" });
    assert_eq!(next_record(&encoded), Ok(Some(Record { sequence: 7, payload: b"seven" })));
    for cut in 1..encoded.len() {
        assert_eq!(next_record(&encoded[..cut]), Err(RecordError::Truncated), "cut at {cut}");
    }
    for bit in 0..encoded.len() * 8 {
        let mut flipped = encoded.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(next_record(&flipped).is_err(), "bit {bit}");
    }
    for seed in 0..2000 {
        let mut gen = Gen::from_size_and_seed(200, seed);
        let garbage = Vec::<u8>::arbitrary(&mut gen);
        assert!(garbage.is_empty() || next_record(&garbage).is_err());
        // Random bytes in place of the records of one segment and of another whole segment.
        let mut disk = SimDisk::default();
        log().commit(&mut disk, &[b"x"]).expect("the disk works");
        disk.damage("calls.0000000001", |b| b.splice(48.., garbage.clone()).for_each(drop));
        disk.add_synced_file("calls.0000000002", &garbage);
        let opened = log().open(&mut disk, 0, |_, _| {}).expect("the folder can be read");
        assert!(opened.issues.len() <= 3);
    }
}

#[test]
fn a_log_in_a_real_folder_is_restored_and_its_covered_segments_are_removed() {
    let path = std::env::temp_dir().join(format!("petreldock-log-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let mut folder = Folder::open(&path).expect("opened");
    let committed = write(&mut folder, &mut log(), 20);
    drop(folder);
    let mut folder = Folder::open(&path).expect("opened again");
    let (mut log, sequences, summary) = open(&mut folder, 0);
    assert_eq!((sequences, summary.issues), ((1..=committed).collect(), vec![]));
    write(&mut folder, &mut log, 30);
    log.rotate(&mut folder).expect("the disk works");
    assert!(log.remove_covered_segments(&mut folder, committed).expect("the disk works") > 0);
    assert!(open(&mut folder, committed).1.len() >= 30 - committed as usize);
    std::fs::remove_dir_all(&path).expect("removed");
}
