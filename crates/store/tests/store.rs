//! Behaviour of the store under crashes, torn writes, a full disk, failed syncs and corruption.

mod fake;

use {
    fake::FakeDisk,
    hemlockford_core::{
        consensus::{Entry, HardState, Member, Members, Payload, Recovered, Snapshot, Write},
        errors::ErrorKind,
    },
    hemlockford_store::{Opened, Store, StoreOptions},
    std::sync::Arc,
};

/// Number of seeds for torn writes per operation.
const SEEDS: u64 = 40;

fn open(disk: &FakeDisk) -> Opened {
    Store::open_disk(Box::new(disk.clone()), StoreOptions { wall_clock_ns: 100 }).unwrap()
}

fn entry(index: u64, term: u64) -> Entry {
    let command: Vec<u8> = (0..40).map(|at| (index * 7 + term + at) as u8).collect();
    Entry { index, term, payload: Payload::Command(command.into()) }
}

fn vote(term: u64) -> Write {
    Write::HardState(HardState {
        term,
        voted_for: Some(Member { replica: "a".into(), incarnation: 1 }),
        ..HardState::default()
    })
}

fn snapshot(index: u64, term: u64) -> Write {
    Write::Snapshot(Arc::new(Snapshot { index, term, members: Members::default(), data: vec![9; 50].into() }))
}

/// Batches of a replica that votes, appends entries, replaces conflicting ones, takes a snapshot and installs one over a
/// conflicting log.
fn batches() -> Vec<Vec<Write>> {
    vec![
        vec![vote(1), Write::Append(vec![entry(1, 1), entry(2, 1)])],
        vec![Write::Append(vec![entry(3, 1)]), Write::Append(vec![entry(4, 1)])],
        vec![vote(2), Write::Truncate(3), Write::Append(vec![entry(3, 2), entry(4, 2)])],
        vec![snapshot(3, 2)],
        vec![Write::Append(vec![entry(5, 2)]), vote(3), Write::Append(vec![entry(6, 3)])],
        vec![snapshot(5, 4), Write::Append(vec![entry(6, 4)])],
        vec![Write::Append(vec![entry(7, 4)])],
    ]
}

fn apply(state: &mut Recovered, write: &Write) {
    match write {
        Write::HardState(vote) => state.hard_state = vote.clone(),
        Write::Append(entries) => state.entries.extend(entries.iter().cloned()),
        Write::Truncate(from) => state.entries.retain(|entry| entry.index < *from),
        Write::Snapshot(snapshot) => {
            let last = (snapshot.index, snapshot.term);
            let is_held = state.entries.iter().any(|entry| (entry.index, entry.term) == last);
            state.entries.retain(|entry| is_held && entry.index > snapshot.index);
            state.snapshot = Some(snapshot.clone());
        }
    }
}

/// All states between two records, with the number of complete batches in each.
fn states() -> Vec<(usize, Recovered)> {
    let mut state = Recovered { incarnation: 100, ..Recovered::default() };
    let mut states = vec![(0, state.clone())];
    for (done, batch) in batches().into_iter().enumerate() {
        for write in batch {
            let parts = match write {
                Write::Append(entries) => entries.into_iter().map(|entry| Write::Append(vec![entry])).collect(),
                other => vec![other],
            };
            for part in parts {
                apply(&mut state, &part);
                states.push((done, state.clone()));
            }
        }
        states.last_mut().unwrap().0 = done + 1;
    }
    states
}

/// Guards against a write that was reported as durable but is lost or incomplete after a crash before or after any file
/// operation, including a second crash during recovery.
#[test]
fn crash_at_every_operation() {
    let states = states();
    let mut crashes = 0;
    for seed in 0..SEEDS {
        for operations in 0.. {
            let disk = FakeDisk::default();
            disk.state().operations_left = Some(operations);
            let mut durable = 0;
            if let Ok(mut opened) = Store::open_disk(Box::new(disk.clone()), StoreOptions { wall_clock_ns: 100 }) {
                durable =
                    batches().into_iter().take_while(|batch| opened.store.write(&mut batch.clone()).is_ok()).count();
            }
            disk.crash(seed);
            disk.state().operations_left = Some(seed as usize % 6);
            let _ = Store::open_disk(Box::new(disk.clone()), StoreOptions { wall_clock_ns: 100 });
            disk.crash(seed + 1);
            let recovered = open(&disk).recovered;
            let is_allowed = states.iter().any(|(done, state)| *done >= durable && *state == recovered);
            assert!(is_allowed, "seed {seed}, {operations} operations, {durable} batches durable: {recovered:?}");
            crashes += 1;
            if durable == batches().len() {
                break;
            }
        }
    }
    println!("{crashes} crashes, seeds 0 to {}", SEEDS - 1);
    assert!(crashes > 40 * 30, "only {crashes} crashes");
}

/// Guards against retrying a failed sync, which may succeed although the data was discarded.
#[test]
fn failed_sync_is_permanent() {
    for syncs in 0..12 {
        let disk = FakeDisk::default();
        let mut opened = open(&disk);
        disk.state().syncs_left = Some(syncs);
        let failed = batches().into_iter().position(|batch| opened.store.write(&mut batch.clone()).is_err());
        assert!(failed.is_some(), "{syncs} syncs");
        assert_eq!(disk.state().syncs_left, None, "the sync did not fail");
        let error = opened.store.append(&[entry(9, 9)]).unwrap_err();
        assert_eq!(*error.current_context(), ErrorKind::Io);
        assert!(opened.store.write(&mut Vec::new()).is_err());
    }
}

/// Guards against a full disk that leaves a partial record, loses existing data, or makes the store unusable after
/// space was freed.
#[test]
fn write_fails_cleanly_on_a_full_disk() {
    let (_, last) = states().pop().unwrap();
    let mut failures = 0;
    for (capacity, refuses_removals) in (30..700).flat_map(|capacity| [(capacity, false), (capacity, true)]) {
        let disk = FakeDisk::default();
        let mut opened = open(&disk);
        disk.state().refuses_removals = refuses_removals;
        disk.state().capacity = Some(capacity);
        for batch in batches() {
            let mut left = batch.clone();
            while let Err(error) = opened.store.write(&mut left) {
                failures += 1;
                assert_eq!(*error.current_context(), ErrorKind::Limit, "{error:?}");
                assert!(disk.state().capacity.is_some(), "failed despite free space: {error:?}");
                disk.state().capacity = None;
            }
            assert!(left.is_empty());
        }
        drop(opened);
        disk.crash(capacity as u64);
        disk.state().refuses_removals = false;
        assert_eq!(open(&disk).recovered, last, "capacity {capacity}");
    }
    println!("{failures} failures");
    assert!(failures > 600, "only {failures} failures");
}

/// Guards against a torn or corrupt directory that is read or keeps a folder from being opened, and against a failed
/// save that affects the log.
#[test]
fn saved_directory_is_intact_or_empty() {
    let disk = FakeDisk::default();
    let mut opened = open(&disk);
    opened.store.save_directory(b"old servers").unwrap();
    opened.store.append(&[entry(1, 1)]).unwrap();
    let intact = disk.bytes("directory");
    for at in 0..intact.len() {
        let mut flipped = intact.clone();
        flipped[at] ^= 0x10;
        for damaged in [flipped, intact[..at].to_vec()] {
            disk.overwrite("directory", damaged);
            let opened = open(&disk);
            assert!(opened.directory.is_empty() && opened.recovered.entries == [entry(1, 1)], "byte {at}");
        }
    }
    disk.overwrite("directory", intact);
    // A crash at any operation of a save leaves the old or the new directory, and the whole log.
    for operations in 0..4 {
        for seed in 0..SEEDS {
            let mut opened = open(&disk);
            let before = opened.directory.clone();
            disk.state().operations_left = Some(operations);
            let new = format!("{seed} servers").into_bytes();
            let _ = opened.store.save_directory(&new);
            disk.crash(seed);
            let after = open(&disk);
            assert!(after.directory == before || after.directory == new, "{operations} operations, seed {seed}");
            assert_eq!(after.recovered.entries, [entry(1, 1)]);
        }
    }
    let mut opened = open(&disk);
    let before = opened.directory.clone();
    let used = ["identity", "log", "directory"].iter().map(|file| disk.bytes(file).len()).sum::<usize>();
    disk.state().capacity = Some(used + 100);
    let error = opened.store.save_directory(&[1; 200]).unwrap_err();
    assert_eq!(*error.current_context(), ErrorKind::Limit);
    opened.store.append(&[entry(2, 1)]).unwrap();
    disk.state().capacity = None;
    disk.state().syncs_left = Some(0);
    assert!(opened.store.save_directory(&[1; 200]).is_err(), "a failed sync");
    assert!(opened.store.save_directory(&vec![1; 2 << 20]).is_err(), "too long");
    opened.store.append(&[entry(3, 1)]).unwrap();
    let after = open(&disk);
    assert_eq!((after.directory, after.recovered.entries.len()), (before, 3));
}

/// Guards against corruption before the tail that is skipped or removed like a torn write.
#[test]
fn corruption_is_reported_with_its_offset() {
    let disk = FakeDisk::default();
    let mut opened = open(&disk);
    for batch in batches().iter().take(5) {
        opened.store.write(&mut batch.clone()).unwrap();
    }
    let before = opened.store.log_len() as usize;
    opened.store.append(&[entry(7, 3)]).unwrap();
    let intact = disk.bytes("log");
    for at in 0..before {
        let mut data = intact.clone();
        data[at] ^= 0x10;
        disk.overwrite("log", data);
        let report = Store::open_disk(Box::new(disk.clone()), StoreOptions { wall_clock_ns: 100 }).unwrap_err();
        assert_eq!(*report.current_context(), ErrorKind::Corrupt, "byte {at}");
        let text = format!("{report:?}");
        assert!(text.contains("log: the record at offset "), "byte {at}: {text}");
    }
    for file in ["snapshot", "identity"] {
        disk.overwrite("log", intact.clone());
        let (other, mut data) = (disk.bytes(file), disk.bytes(file));
        let middle = data.len() / 2;
        data[middle] ^= 1;
        disk.overwrite(file, data);
        let report = Store::open_disk(Box::new(disk.clone()), StoreOptions { wall_clock_ns: 100 }).unwrap_err();
        assert!(format!("{report:?}").contains(&format!("{file}: the record at offset 0 is damaged")));
        disk.overwrite(file, other);
    }
}

/// Guards against a torn tail that prevents a start or is followed by new records.
#[test]
fn torn_tail_is_removed() {
    let disk = FakeDisk::default();
    let mut opened = open(&disk);
    opened.store.append(&[entry(1, 1)]).unwrap();
    let kept = opened.store.log_len();
    opened.store.append(&[entry(2, 1)]).unwrap();
    let intact = disk.bytes("log");
    for len in kept as usize..intact.len() {
        disk.overwrite("log", intact[..len].to_vec());
        let mut opened = open(&disk);
        assert_eq!((opened.truncated_bytes, opened.store.log_len()), (len as u64 - kept, kept));
        opened.store.append(&[entry(2, 2)]).unwrap();
        assert_eq!(open(&disk).recovered.entries, [entry(1, 1), entry(2, 2)]);
    }
}

/// Guards against a folder with a missing file that is treated as empty, against a folder incarnation that changes, and
/// against a process incarnation that does not increase.
#[test]
fn identity_is_kept() {
    let folder = tempfile::tempdir().unwrap();
    let open = |wall_clock_ns| Store::open(folder.path(), StoreOptions { wall_clock_ns });
    let first = open(50).unwrap();
    assert_eq!((first.is_new, first.recovered.incarnation, first.process_incarnation), (true, 50, 50));
    assert!(open(51).is_err(), "the folder is locked");
    drop(first);
    let second = open(40).unwrap();
    assert_eq!((second.is_new, second.recovered.incarnation, second.process_incarnation), (false, 50, 51));
    drop(second);
    std::fs::remove_file(folder.path().join("log")).unwrap();
    assert_eq!(*open(60).unwrap_err().current_context(), ErrorKind::Corrupt);
}

/// Guards against API keys in files that other users of the machine can read, also in those that a former version has
/// written.
#[test]
fn files_are_readable_by_their_owner_only() {
    use std::{fs, os::unix::fs::PermissionsExt};
    let folder = tempfile::tempdir().unwrap();
    let write_all = || {
        let mut opened = Store::open(folder.path(), StoreOptions { wall_clock_ns: 100 }).unwrap();
        for mut writes in batches() {
            opened.store.write(&mut writes).unwrap();
        }
        opened.store.save_directory(b"servers").unwrap();
    };
    let modes = || {
        let files = fs::read_dir(folder.path()).unwrap().map(Result::unwrap);
        let mode = |file: fs::DirEntry| (file.file_name(), file.metadata().unwrap().permissions().mode() & 0o7777);
        files.map(mode).collect::<Vec<_>>()
    };
    write_all();
    let created = modes();
    assert_eq!(created.len(), 5, "lock, identity, log, snapshot and directory: {created:?}");
    assert!(created.iter().all(|(_, mode)| *mode == 0o600), "{created:?}");
    for name in ["lock", "identity", "log", "snapshot", "directory", "log.new", "snapshot.new"] {
        let path = folder.path().join(name);
        let file = fs::OpenOptions::new().create(true).append(true).open(path).unwrap();
        file.set_permissions(fs::Permissions::from_mode(0o644)).unwrap();
    }
    Store::open(folder.path(), StoreOptions { wall_clock_ns: 100 }).unwrap();
    let opened = modes();
    assert!(opened.len() >= 5 && opened.iter().all(|(_, mode)| *mode == 0o600), "{opened:?}");
}
