//! Snapshots under power loss, a failing disk, damage, and a killed process.

#[path = "common/sim_disk.rs"]
mod sim_disk;

use petreldock::store::{encode, read, Disk, Fault, Folder, Header, OpenError, Snapshots, HEADER};
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
    Snapshots::new("kept", KIND)
}

/// A payload that tells its number, long enough to be torn.
fn payload(number: u64) -> Vec<u8> {
    [&number.to_be_bytes()[..], &[number as u8; 100]].concat()
}

fn number(bytes: &[u8]) -> Result<u64, String> {
    let number = u64::from_be_bytes(bytes[..8].try_into().expect("eight bytes"));
    assert_eq!(bytes, payload(number), "never half of one and half of another");
    Ok(number)
}

fn load(disk: &mut impl Disk) -> Option<u64> {
    snapshots().load(disk, |_, bytes| number(bytes)).found
}

/// Saves 1 to `count`; gives the last one that was said to last.
fn save(disk: &mut impl Disk, count: u64) -> u64 {
    let mut snapshots = snapshots();
    let mut last = snapshots.load(disk, |_, bytes| number(bytes)).found.unwrap_or(0);
    for next in last + 1..=count {
        if snapshots.save(disk, 1, &payload(next)).is_ok() {
            last = next;
        }
    }
    last
}

#[test]
fn power_lost_at_every_step_leaves_the_previous_or_the_new_one() {
    let mut whole = SimDisk::default();
    assert_eq!(save(&mut whole, 4), 4);
    for cut in 0..whole.steps {
        for seed in 0..60 {
            let mut disk = SimDisk::default().with_power_loss_at(cut);
            let lasts = save(&mut disk, 4);
            let mut found = disk.after_power_loss(seed);
            let loaded = snapshots().load(&mut found, |_, bytes| number(bytes));
            let got = loaded.found.unwrap_or(0);
            assert!(got == lasts || got == lasts + 1, "cut at {cut}, seed {seed}: {got} after {lasts}");
            assert!(loaded.aside.is_empty(), "nothing torn ever stands under a name in use");
            // A second loss, while the start after the first is writing.
            let mut again = found.with_power_loss_at(seed as usize % whole.steps);
            let lasts = save(&mut again, got + 2).max(got);
            let got = load(&mut again.after_power_loss(seed + 1)).unwrap_or(0);
            assert!(
                got == lasts || got == lasts + 1,
                "cut twice, at {cut}, seed {seed}: {got} after {lasts}"
            );
        }
    }
}

#[test]
fn a_disk_that_fails_keeps_the_last_good_one_and_goes_on_later() {
    type Fail = fn(&mut SimDisk, bool);
    let fails: [Fail; 3] =
        [|d, on| d.max_file_bytes = on.then_some(50), |d, on| d.failing_syncs = on, |d, on| d.read_only = on];
    for fail in fails {
        let (mut disk, mut snapshots) = (SimDisk::default(), snapshots());
        snapshots.save(&mut disk, 1, &payload(1)).expect("sound");
        fail(&mut disk, true);
        for _ in 0..3 {
            snapshots.save(&mut disk, 1, &payload(2)).expect_err("it fails");
            for seed in 0..20 {
                assert_eq!(load(&mut disk.after_power_loss(seed)), Some(1));
            }
        }
        fail(&mut disk, false);
        snapshots.save(&mut disk, 1, &payload(3)).expect("sound again");
        disk.damage("kept", |bytes| bytes[HEADER + 3] ^= 1);
        assert_eq!(load(&mut disk), Some(1), "the one before is still there");
    }
}

#[test]
fn what_cannot_be_used_is_set_aside_and_the_one_before_is_taken() {
    let flipped = |at: usize| move |b: &mut Vec<u8>| b[at] ^= 0x10;
    let later = encode(Header { kind: KIND, version: 9, generation: 5 }, &payload(9));
    let other = encode(Header { kind: 5, version: 1, generation: 5 }, &payload(9));
    type Damage = Box<dyn FnOnce(&mut Vec<u8>)>;
    let cases: Vec<(Damage, Fault)> = vec![
        (Box::new(flipped(0)), Fault::Foreign),
        (Box::new(flipped(20)), Fault::Header),
        (Box::new(flipped(HEADER + 50)), Fault::Payload),
        (Box::new(|b| b.truncate(HEADER - 1)), Fault::Short),
        (Box::new(|b| b.truncate(HEADER + 90)), Fault::Short),
        (Box::new(|b| b.push(0)), Fault::Long),
        (Box::new(|b| b.clear()), Fault::Short),
        (Box::new(|b| *b = b"[learning]\nno such form\n".to_vec()), Fault::Foreign),
        (Box::new(move |b| *b = later), Fault::Refused("version 9".into())),
        (Box::new(move |b| *b = other), Fault::Kind(5)),
    ];
    for (damage, fault) in cases {
        let mut disk = SimDisk::default();
        save(&mut disk, 2);
        disk.damage("kept", damage);
        let loaded = snapshots().load(&mut disk, |header, bytes| match header.version {
            1 => number(bytes),
            newer => Err(format!("version {newer}")),
        });
        assert_eq!((loaded.found, loaded.fallback), (Some(1), true), "{fault:?}");
        assert_eq!((&*loaded.aside[0].file, &loaded.aside[0].fault), ("kept", &fault));
        assert_eq!(loaded.aside[0].to.as_deref(), Some("kept.bad-1"));
        // The good one before is not overwritten by what was bad, and the next load has nothing to say.
        assert_eq!(save(&mut disk, 2), 2);
        assert_eq!(load(&mut disk), Some(2));
        disk.damage("kept", |b| b.clear());
        assert_eq!(load(&mut disk), Some(1));
    }
}

#[test]
fn files_set_aside_are_bounded() {
    let mut disk = SimDisk::default();
    for _ in 0..30 {
        disk.add_synced_file("kept", b"nonsense");
        assert_eq!(load(&mut disk), None);
    }
    assert_eq!(disk.names().expect("names").len(), 8);
}

#[test]
fn any_garbled_file_is_refused_and_none_panics() {
    let whole = encode(Header { kind: KIND, version: 1, generation: 3 }, &payload(3));
    assert!(read(&whole).is_ok());
    for cut in 0..whole.len() {
        assert!(read(&whole[..cut]).is_err(), "cut at {cut}");
    }
    for bit in 0..whole.len() * 8 {
        let mut flipped = whole.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(read(&flipped).is_err(), "bit {bit}");
    }
    for seed in 0..2000 {
        let mut gen = Gen::from_size_and_seed(200, seed);
        let garbage = Vec::<u8>::arbitrary(&mut gen);
        assert!(read(&garbage).is_err());
        assert!(read(&[b"PETRELDK", &garbage[..]].concat()).is_err());
    }
}

fn folder(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("petreldock-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// A process that is being started holds, till it is another program, what its parent holds: a lock as well.
static STARTS: Mutex<()> = Mutex::new(());

#[test]
fn a_folder_is_its_owners_and_one_process_s() {
    use std::os::unix::fs::PermissionsExt;
    let _none_starts = STARTS.lock().unwrap_or_else(PoisonError::into_inner);
    let path = folder("lock");
    let mut held = Folder::open(&path).expect("made");
    assert!(matches!(Folder::open(&path), Err(OpenError::InUse)));
    held.put("a", b"b").expect("written");
    let mode = |p: &std::path::Path| std::fs::metadata(p).expect("there").permissions().mode() & 0o777;
    assert_eq!((mode(&path), mode(&path.join("a")), mode(&path.join("lock"))), (0o700, 0o600, 0o600));
    assert!(Folder::look(&path).expect("looked").read("a", 0).is_err(), "longer than is wanted");
    drop(held);
    Folder::open(&path).expect("let go");
    std::fs::remove_dir_all(&path).expect("removed");
    // A folder with other files in it stays open to those who use it; what is kept there is not.
    std::fs::create_dir_all(&path).expect("made");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("set");
    std::fs::write(path.join("theirs"), b"x").expect("written");
    Folder::open(&path).expect("taken").put("a", b"b").expect("written");
    assert_eq!((mode(&path), mode(&path.join("a"))), (0o755, 0o600));
    std::fs::remove_dir_all(&path).expect("removed");
}

/// Not a test of its own: what [`a_killed_process_leaves_whole_files`] starts and kills.
#[test]
fn writer() {
    let Ok(path) = std::env::var("PETRELDOCK_TEST_WRITER") else { return };
    let mut disk = Folder::open(path.as_ref()).expect("opened");
    let mut snapshots = snapshots();
    let mut last = snapshots.load(&mut disk, |_, bytes| number(bytes)).found.unwrap_or(0);
    loop {
        last += 1;
        snapshots.save(&mut disk, 1, &payload(last)).expect("saved");
        println!("\nsaved {last}");
    }
}

#[test]
fn a_killed_process_leaves_whole_files() {
    let path = folder("kill");
    let mut rng = Pcg32::seed_from_u64(20);
    let mut told = 0;
    for kill in 0..200 {
        let mut command = Command::new(std::env::current_exe().expect("this test"));
        command.args(["--exact", "writer", "--nocapture"]).env("PETRELDOCK_TEST_WRITER", &path);
        let starts = STARTS.lock().unwrap_or_else(PoisonError::into_inner);
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("started");
        drop(starts);
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let saved = |l: std::io::Result<String>| l.ok()?.strip_prefix("saved ")?.parse::<u64>().ok();
        told = lines.by_ref().find_map(saved).unwrap_or(told);
        std::thread::sleep(Duration::from_micros(u64::from(rng.next_u32() % 8_000)));
        child.kill().expect("killed");
        child.wait().expect("ended");
        told = lines.filter_map(saved).last().unwrap_or(told);
        let mut disk = Folder::open(&path).expect("the lock went with the process");
        let loaded = snapshots().load(&mut disk, |_, bytes| number(bytes));
        let found = loaded.found.expect("the previous one or the new one");
        assert!(loaded.aside.is_empty(), "kill {kill}: {:?}", loaded.aside);
        assert!(found == told || found == told + 1, "kill {kill}: {found} after {told}");
    }
    assert!(told >= 200, "{told} files in 200 kills");
    std::fs::remove_dir_all(&path).expect("removed");
}
