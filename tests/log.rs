//! The append-only log under power loss, a failing disk, damage, and garbage.

#[path = "common/sim_disk.rs"]
mod sim_disk;

use petreldock::store::{
    frame, next_record, BadRecord, Disk, Finding, Folder, Log, Record, Replayed, BATCH_MOST, RECORD_MOST,
    SEGMENT_FULL,
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

/// Opens the log; gives it with the sequences it holds, whose payloads are checked.
fn open(disk: &mut impl Disk, after: u64) -> (Log, Vec<u64>, Replayed) {
    let (mut log, mut sequences) = (log(), Vec::new());
    let replayed = log.open(disk, after, |version, record| {
        assert_eq!((version, record.payload), (3, &payload(record.sequence)[..]));
        sequences.push(record.sequence);
    });
    let replayed = replayed.expect("the folder is there");
    assert_eq!(replayed.records, sequences.len() as u64);
    (log, sequences, replayed)
}

/// Commits so many records in batches of one to three, with a new segment now and then, and older ones forgotten
/// up to `covered`; gives the last that was said to last.
fn write(disk: &mut impl Disk, log: &mut Log, count: u64) -> u64 {
    let mut lasts = log.next() - 1;
    while lasts < count {
        let batch: Vec<Vec<u8>> = (1..=1 + lasts % 3).map(|n| payload(lasts + n)).collect();
        let batch: Vec<&[u8]> = batch.iter().map(Vec::as_slice).collect();
        match log.commit(disk, &batch) {
            Ok(first) => {
                assert_eq!(first, lasts + 1);
                lasts += batch.len() as u64;
            }
            Err(_) => return lasts,
        }
        if lasts.is_multiple_of(5) && log.rotate(disk).is_err() {
            return lasts;
        }
    }
    lasts
}

#[test]
fn power_lost_at_every_step_loses_nothing_that_lasted_and_leaves_no_gap() {
    let mut whole = SimDisk::default();
    assert!(write(&mut whole, &mut log(), 14) >= 14);
    for cut in 0..whole.steps {
        for seed in 0..25 {
            let mut disk = SimDisk::default().with_power_loss_at(cut);
            let lasts = write(&mut disk, &mut log(), 14);
            let mut found = disk.after_power_loss(seed);
            let (mut again, sequences, replayed) = open(&mut found, 0);
            let last = sequences.len() as u64;
            assert_eq!(sequences, (1..=last).collect::<Vec<_>>(), "cut at {cut}, seed {seed}");
            assert!(last >= lasts && last <= lasts + 3, "cut at {cut}, seed {seed}: {last} after {lasts}");
            let lost = replayed.findings.iter().any(|f| matches!(f, Finding::Lost { .. }));
            assert!(!lost, "cut at {cut}, seed {seed}: {:?}", replayed.findings);
            // It goes on from there, and is cut again.
            let mut found = found.with_power_loss_at(seed as usize * 7 % whole.steps);
            let lasts = write(&mut found, &mut again, last + 6);
            let (_, sequences, replayed) = open(&mut found.after_power_loss(seed + 1), 0);
            let last = sequences.len() as u64;
            assert_eq!(sequences, (1..=last).collect::<Vec<_>>(), "cut twice, at {cut}, seed {seed}");
            assert!(last >= lasts, "cut twice, at {cut}, seed {seed}: {last} after {lasts}");
            assert!(!replayed.findings.iter().any(|f| matches!(f, Finding::Lost { .. })));
        }
    }
}

#[test]
fn after_a_failed_sync_the_segment_is_over_and_what_it_held_does_not_count() {
    let (mut disk, mut log) = (SimDisk::default(), log());
    assert_eq!(write(&mut disk, &mut log, 4), 4);
    disk.failing_syncs = true;
    let other = payload(200);
    assert!(log.commit(&mut disk, &[&other]).is_err());
    assert!(log.commit(&mut disk, &[&other]).is_err(), "nor can a new one be begun");
    disk.failing_syncs = false;
    let next = payload(5);
    assert_eq!(log.commit(&mut disk, &[&next]).expect("sound again"), 5);
    // The failed record is whole in the old segment, under the same sequence. It never counted.
    let (_, sequences, replayed) = open(&mut disk, 0);
    assert_eq!((sequences, replayed.findings), ((1..=5).collect(), vec![]));
    // A full disk: the batch is cut short, and goes to a new segment once there is room.
    disk.max_file_bytes = Some(80);
    let batch: Vec<Vec<u8>> = (6..=9).map(payload).collect();
    let batch: Vec<&[u8]> = batch.iter().map(Vec::as_slice).collect();
    assert!(log.commit(&mut disk, &batch).is_err());
    disk.max_file_bytes = None;
    assert_eq!(log.commit(&mut disk, &batch).expect("room again"), 6);
    assert_eq!(open(&mut disk, 0).1, (1..=9).collect::<Vec<_>>());
}

#[test]
fn damage_is_told_from_a_torn_tail_and_named_by_file_and_byte() {
    let (mut disk, mut log) = (SimDisk::default(), log());
    for sequence in 1..=9 {
        log.commit(&mut disk, &[&payload(sequence)]).expect("sound");
        if sequence == 4 {
            log.rotate(&mut disk).expect("sound");
        }
    }
    let names = disk.names().expect("names");
    assert_eq!(names, ["calls.0000000001", "calls.0000000002"]);
    // Records of 26 bytes and more after a head of 48: the third one of the first segment.
    let third = 48 + (16 + 11) + (16 + 12);
    let mut damaged = disk.clone();
    damaged.damage(&names[0], |b| b[third + 20] ^= 1);
    let (_, sequences, replayed) = open(&mut damaged, 0);
    assert_eq!(sequences, [1, 2, 5, 6, 7, 8, 9]);
    let lost = Finding::Lost { file: Some(names[0].clone()), at: third, from: 3, to: 5 };
    assert_eq!((replayed.findings, replayed.last), (vec![lost], 9));
    // Covered by a checkpoint, it is no loss.
    assert_eq!(open(&mut damaged, 4).1, [5, 6, 7, 8, 9]);
    assert!(open(&mut damaged, 4).2.findings.iter().all(|f| matches!(f, Finding::TornTail { .. })));
    // The last segment's tail: cut off, and nothing else.
    let mut torn = disk.clone();
    torn.damage(&names[1], |b| b.truncate(b.len() - 1));
    let (log, sequences, replayed) = open(&mut torn, 0);
    assert_eq!((sequences.len(), log.next()), (8, 9));
    assert!(matches!(&replayed.findings[..], [Finding::TornTail { what: BadRecord::Short, .. }]));
    // A segment that is gone, or whose head is spoilt, is a loss.
    let mut headless = disk.clone();
    headless.damage(&names[0], |b| b[5] ^= 1);
    let (_, sequences, replayed) = open(&mut headless, 0);
    assert_eq!(sequences, [5, 6, 7, 8, 9]);
    assert!(matches!(&replayed.findings[..], [Finding::Head { .. }, Finding::Lost { from: 1, to: 5, .. }]));
}

#[test]
fn a_checkpoint_bounds_what_is_kept() {
    let (mut disk, mut log) = (SimDisk::default(), log());
    let mut most = 0;
    for sequence in 1..=200 {
        log.commit(&mut disk, &[&payload(sequence)]).expect("sound");
        if sequence % 10 == 0 {
            log.rotate(&mut disk).expect("sound");
            most = most.max(disk.names().expect("names").len());
            log.forget(&mut disk, sequence).expect("sound");
        }
    }
    assert_eq!(most, 2);
    let (_, sequences, replayed) = open(&mut disk, 200);
    assert_eq!((sequences, replayed.last, replayed.findings), (vec![], 200, vec![]));
    // What a checkpoint does not cover stays.
    let (mut log, ..) = open(&mut disk, 200);
    let lasts = write(&mut disk, &mut log, 207);
    log.rotate(&mut disk).expect("sound");
    log.forget(&mut disk, 203).expect("sound");
    assert_eq!(open(&mut disk, 203).1, (204..=lasts).collect::<Vec<_>>());
}

#[test]
fn records_and_batches_are_bounded_and_segments_rotate_by_themselves() {
    let mut disk = SimDisk::default();
    let mut log = log();
    let (long, most) = (vec![1; RECORD_MOST + 1], vec![1; RECORD_MOST]);
    assert!(log.commit(&mut disk, &[&long]).is_err());
    assert!(
        log.commit(&mut disk, &vec![&most[..]; BATCH_MOST / RECORD_MOST]).is_err(),
        "frames count as well"
    );
    assert!(disk.names().expect("names").is_empty(), "which changes nothing");
    let fit = BATCH_MOST / RECORD_MOST - 1;
    for _ in 0..4 {
        log.commit(&mut disk, &vec![&most[..]; fit]).expect("sound");
    }
    assert!(log.is_full() && SEGMENT_FULL <= BATCH_MOST);
    assert_eq!(disk.names().expect("names").len(), 2, "two batches fill one");
    let mut log = Log::new("calls", KIND, 3);
    let replayed = log.open(&mut disk, 0, |_, record| assert_eq!(record.payload, most)).expect("there");
    assert_eq!((replayed.records, replayed.findings), (4 * fit as u64, vec![]));
}

#[test]
fn garbled_records_are_refused_and_none_panics() {
    let mut whole = Vec::new();
    frame(&mut whole, Record { sequence: 7, payload: b"seven" });
    assert_eq!(next_record(&whole), Ok(Some(Record { sequence: 7, payload: b"seven" })));
    for cut in 1..whole.len() {
        assert_eq!(next_record(&whole[..cut]), Err(BadRecord::Short), "cut at {cut}");
    }
    for bit in 0..whole.len() * 8 {
        let mut flipped = whole.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(next_record(&flipped).is_err(), "bit {bit}");
    }
    for seed in 0..2000 {
        let mut gen = Gen::from_size_and_seed(200, seed);
        let garbage = Vec::<u8>::arbitrary(&mut gen);
        assert!(garbage.is_empty() || next_record(&garbage).is_err());
        // Any bytes in place of segments.
        let mut disk = SimDisk::default();
        log().commit(&mut disk, &[b"x"]).expect("sound");
        disk.damage("calls.0000000001", |b| b.splice(48.., garbage.clone()).for_each(drop));
        disk.add_synced_file("calls.0000000002", &garbage);
        let opened = log().open(&mut disk, 0, |_, _| {}).expect("there");
        assert!(opened.findings.len() <= 3);
    }
}

#[test]
fn a_real_folder_keeps_a_log() {
    let path = std::env::temp_dir().join(format!("petreldock-log-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let mut folder = Folder::open(&path).expect("made");
    let lasts = write(&mut folder, &mut log(), 20);
    drop(folder);
    let mut folder = Folder::open(&path).expect("there");
    let (mut log, sequences, replayed) = open(&mut folder, 0);
    assert_eq!((sequences, replayed.findings), ((1..=lasts).collect(), vec![]));
    write(&mut folder, &mut log, 30);
    log.rotate(&mut folder).expect("sound");
    assert!(log.forget(&mut folder, lasts).expect("sound") > 0);
    assert!(open(&mut folder, lasts).1.len() >= 30 - lasts as usize);
    std::fs::remove_dir_all(&path).expect("removed");
}
