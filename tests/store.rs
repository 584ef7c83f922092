//! Tests of snapshots with power loss, a failing disk, damaged files and a killed process, and of the folder lock.

#[path = "common/sim_disk.rs"]
mod sim_disk;

use petreldock::store::{
    decode, encode, Disk, FileError, Folder, Header, OpenError, Snapshots, HEADER_BYTES,
};
use quickcheck::{Arbitrary, Gen};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use sim_disk::SimDisk;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

const KIND: u16 = 77;

fn snapshots() -> Snapshots {
    Snapshots::new("state", KIND)
}

/// Returns a payload that holds its number and is long enough to be torn.
fn payload(number: u64) -> Vec<u8> {
    [&number.to_be_bytes()[..], &[number as u8; 100]].concat()
}

fn number(bytes: &[u8]) -> Result<u64, String> {
    let number = u64::from_be_bytes(bytes[..8].try_into().expect("eight bytes"));
    assert_eq!(bytes, payload(number), "no mix of two payloads is ever loaded");
    Ok(number)
}

fn load(disk: &mut impl Disk) -> Option<u64> {
    snapshots().load(disk, |_, bytes| number(bytes)).value
}

/// Saves the payloads after the loaded one, up to `count`. Returns the number of the last one saved.
fn save(disk: &mut impl Disk, count: u64) -> u64 {
    let mut snapshots = snapshots();
    let mut last = snapshots.load(disk, |_, bytes| number(bytes)).value.unwrap_or(0);
    for next in last + 1..=count {
        if snapshots.save(disk, 1, &payload(next)).is_ok() {
            last = next;
        }
    }
    last
}

#[test]
fn power_loss_at_any_step_leaves_the_previous_or_the_new_snapshot() {
    let mut reliable = SimDisk::default();
    assert_eq!(save(&mut reliable, 4), 4);
    for cut in 0..reliable.steps {
        for seed in 0..60 {
            let mut disk = SimDisk::default().with_power_loss_at(cut);
            let saved = save(&mut disk, 4);
            let mut recovered = disk.after_power_loss(seed);
            let loaded = snapshots().load(&mut recovered, |_, bytes| number(bytes));
            let got = loaded.value.unwrap_or(0);
            assert!(got == saved || got == saved + 1, "cut at {cut}, seed {seed}: {got} after {saved}");
            assert!(loaded.set_aside.is_empty(), "the current file and the previous one are never torn");
            // The power fails a second time while the next process writes.
            let mut second_run = recovered.with_power_loss_at(seed as usize % reliable.steps);
            let saved = save(&mut second_run, got + 2).max(got);
            let got = load(&mut second_run.after_power_loss(seed + 1)).unwrap_or(0);
            assert!(
                got == saved || got == saved + 1,
                "second cut after one at {cut}, seed {seed}: {got} after {saved}"
            );
        }
    }
}

#[test]
fn a_failing_disk_keeps_the_last_intact_snapshot_and_can_be_used_once_it_works_again() {
    type Fail = fn(&mut SimDisk, bool);
    let fails: [Fail; 3] =
        [|d, on| d.max_file_bytes = on.then_some(50), |d, on| d.failing_syncs = on, |d, on| d.read_only = on];
    for fail in fails {
        let (mut disk, mut snapshots) = (SimDisk::default(), snapshots());
        snapshots.save(&mut disk, 1, &payload(1)).expect("the disk works");
        fail(&mut disk, true);
        for _ in 0..3 {
            snapshots.save(&mut disk, 1, &payload(2)).expect_err("the disk fails");
            for seed in 0..20 {
                assert_eq!(load(&mut disk.after_power_loss(seed)), Some(1));
            }
        }
        fail(&mut disk, false);
        snapshots.save(&mut disk, 1, &payload(3)).expect("the disk works again");
        disk.damage("state", |bytes| bytes[HEADER_BYTES + 3] ^= 1);
        assert_eq!(load(&mut disk), Some(1), "the previous generation is still there");
    }
}

#[test]
fn unusable_files_are_set_aside_and_the_previous_generation_is_loaded() {
    let flipped = |at: usize| move |b: &mut Vec<u8>| b[at] ^= 0x10;
    let later = encode(Header { kind: KIND, version: 9, generation: 5 }, &payload(9));
    let other = encode(Header { kind: 5, version: 1, generation: 5 }, &payload(9));
    type Damage = Box<dyn FnOnce(&mut Vec<u8>)>;
    let cases: Vec<(Damage, FileError)> = vec![
        (Box::new(flipped(0)), FileError::BadMagic),
        (Box::new(flipped(20)), FileError::HeaderChecksum),
        (Box::new(flipped(HEADER_BYTES + 50)), FileError::PayloadChecksum),
        (Box::new(|b| b.truncate(HEADER_BYTES - 1)), FileError::Truncated),
        (Box::new(|b| b.truncate(HEADER_BYTES + 90)), FileError::Truncated),
        (Box::new(|b| b.push(0)), FileError::TrailingBytes),
        (Box::new(|b| b.clear()), FileError::Truncated),
        (Box::new(|b| *b = b"[learning]\nno such form\n".to_vec()), FileError::BadMagic),
        (Box::new(move |b| *b = later), FileError::Rejected("version 9".into())),
        (Box::new(move |b| *b = other), FileError::WrongKind(5)),
    ];
    for (damage, error) in cases {
        let mut disk = SimDisk::default();
        save(&mut disk, 2);
        disk.damage("state", damage);
        let loaded = snapshots().load(&mut disk, |header, bytes| match header.version {
            1 => number(bytes),
            newer => Err(format!("version {newer}")),
        });
        assert_eq!((loaded.value, loaded.fallback), (Some(1), true), "{error:?}");
        assert_eq!((&*loaded.set_aside[0].file, &loaded.set_aside[0].error), ("state", &error));
        assert_eq!(loaded.set_aside[0].renamed_to.as_deref(), Some("state.bad-1"));
        // The previous generation is not overwritten by the bad file, and can still be loaded after the next save.
        assert_eq!(save(&mut disk, 2), 2);
        assert_eq!(load(&mut disk), Some(2));
        disk.damage("state", |b| b.clear());
        assert_eq!(load(&mut disk), Some(1));
    }
}

#[test]
fn the_number_of_set_aside_files_is_bounded() {
    let mut disk = SimDisk::default();
    for _ in 0..30 {
        disk.add_synced_file("state", b"nonsense");
        assert_eq!(load(&mut disk), None);
    }
    assert_eq!(disk.file_names().expect("names").len(), 8);
}

#[test]
fn corrupt_files_are_rejected_without_a_panic() {
    let encoded = encode(Header { kind: KIND, version: 1, generation: 3 }, &payload(3));
    assert!(decode(&encoded).is_ok());
    for cut in 0..encoded.len() {
        assert!(decode(&encoded[..cut]).is_err(), "cut at {cut}");
    }
    for bit in 0..encoded.len() * 8 {
        let mut flipped = encoded.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&flipped).is_err(), "bit {bit}");
    }
    for seed in 0..2000 {
        let mut gen = Gen::from_size_and_seed(200, seed);
        let garbage = Vec::<u8>::arbitrary(&mut gen);
        assert!(decode(&garbage).is_err());
        assert!(decode(&[b"PETRELDK", &garbage[..]].concat()).is_err());
    }
}

fn folder(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("petreldock-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// Held while a process is started or a test holds a folder lock: until it executes its program, a child process
/// inherits the open files of its parent, including a lock.
static PROCESS_START: Mutex<()> = Mutex::new(());

#[test]
fn a_folder_is_locked_for_one_process_and_its_files_are_private() {
    use std::os::unix::fs::PermissionsExt;
    let _no_process_starts = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
    let path = folder("lock");
    let mut folder = Folder::open(&path).expect("created");
    assert!(matches!(Folder::open(&path), Err(OpenError::InUse)));
    folder.put("a", b"b").expect("written");
    let mode = |p: &std::path::Path| std::fs::metadata(p).expect("there").permissions().mode() & 0o777;
    assert_eq!((mode(&path), mode(&path.join("a")), mode(&path.join("lock"))), (0o700, 0o600, 0o600));
    assert!(
        Folder::open_read_only(&path).expect("opened read-only").read("a", 0).is_err(),
        "the file exceeds the maximum length"
    );
    drop(folder);
    Folder::open(&path).expect("the lock was released");
    std::fs::remove_dir_all(&path).expect("removed");
    // A folder with other files in it keeps its permissions, but the files created in it are private.
    std::fs::create_dir_all(&path).expect("created");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("set");
    std::fs::write(path.join("other"), b"x").expect("written");
    Folder::open(&path).expect("opened").put("a", b"b").expect("written");
    assert_eq!((mode(&path), mode(&path.join("a"))), (0o755, 0o600));
    std::fs::remove_dir_all(&path).expect("removed");
}

/// The process that [`a_killed_process_leaves_intact_files`] starts and kills. Does nothing when run as a test.
#[test]
fn writer() {
    let Ok(path) = std::env::var("PETRELDOCK_TEST_WRITER") else { return };
    let mut disk = Folder::open(path.as_ref()).expect("opened");
    let mut snapshots = snapshots();
    let mut last = snapshots.load(&mut disk, |_, bytes| number(bytes)).value.unwrap_or(0);
    loop {
        last += 1;
        snapshots.save(&mut disk, 1, &payload(last)).expect("saved");
        println!("\nsaved {last}");
    }
}

#[test]
fn a_killed_process_leaves_intact_files() {
    let path = folder("kill");
    let mut rng = Pcg32::seed_from_u64(20);
    let mut reported = 0;
    for kill in 0..200 {
        let mut command = Command::new(std::env::current_exe().expect("this test"));
        command.args(["--exact", "writer", "--nocapture"]).env("PETRELDOCK_TEST_WRITER", &path);
        let starting = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("started");
        drop(starting);
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let saved = |l: std::io::Result<String>| l.ok()?.strip_prefix("saved ")?.parse::<u64>().ok();
        reported = lines.by_ref().find_map(saved).unwrap_or(reported);
        std::thread::sleep(Duration::from_micros(u64::from(rng.next_u32() % 8_000)));
        child.kill().expect("killed");
        child.wait().expect("ended");
        reported = lines.filter_map(saved).last().unwrap_or(reported);
        let mut disk = Folder::open(&path).expect("the lock was released when the process ended");
        let loaded = snapshots().load(&mut disk, |_, bytes| number(bytes));
        let found = loaded.value.expect("the previous or the new snapshot");
        assert!(loaded.set_aside.is_empty(), "kill {kill}: {:?}", loaded.set_aside);
        assert!(found == reported || found == reported + 1, "kill {kill}: {found} after {reported}");
    }
    assert!(reported >= 200, "{reported} snapshots in 200 kills");
    std::fs::remove_dir_all(&path).expect("removed");
}
