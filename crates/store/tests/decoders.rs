//! Files of the data folder that are damaged or made up. Guards against panics, memory that an announced length
//! reserves, and a folder that a refused start has changed.

#[allow(dead_code, reason = "the other test program uses the rest")]
mod fake;

use {
    fake::FakeDisk,
    hemlockford_core::consensus::{Entry, HardState, Member, Payload, Snapshot, Write},
    hemlockford_fuzz::{Fuzz, Mutator, SEED, check_growth},
    hemlockford_store::{Opened, Store, StoreOptions},
    std::{cell::RefCell, sync::Arc},
};

const FILES: [&str; 4] = ["identity", "log", "snapshot", "directory"];
/// Length and checksum in front of the version of a record.
const HEAD: usize = 8;
/// Bytes that a start holds at most for each byte of a file: the file, its records and the files written anew.
const FILE_BYTES: u64 = 512;

fn open(disk: &FakeDisk) -> Option<Opened> {
    Store::open_disk(Box::new(disk.clone()), StoreOptions { wall_clock_ns: 100 }).ok()
}

/// A folder with a vote, entries, a snapshot and a directory.
fn folder() -> FakeDisk {
    let disk = FakeDisk::default();
    let mut opened = open(&disk).expect("an empty folder");
    let entry = |index| Entry { index, term: 1, payload: Payload::Command(vec![index as u8; 30].into()) };
    let vote =
        HardState { term: 1, voted_for: Some(Member { replica: "a".into(), incarnation: 1 }), ..HardState::default() };
    let snapshot = Snapshot { index: 2, term: 1, members: Default::default(), data: vec![9; 40].into() };
    let entries = |from: u64, to: u64| Write::Append((from..=to).map(entry).collect());
    let mut writes = vec![
        Write::HardState(vote),
        entries(1, 4),
        Write::Snapshot(Arc::new(snapshot)),
        Write::Truncate(4),
        entries(4, 6),
    ];
    opened.store.write(&mut writes).expect("written");
    opened.store.save_directory(&[7; 50]).expect("saved");
    disk
}

/// Corrects the length and the checksum of one record, so that what it says is looked at.
fn seal(file: &mut [u8], record: usize) {
    let mut at = 0;
    for _ in 0..record {
        let Some(length) = file.get(at..at + 4) else { return };
        at += HEAD + u32::from_le_bytes(length.try_into().expect("4 bytes")) as usize;
    }
    let Some(length) = file.get(at..).and_then(|rest| rest.first_chunk()).map(|length| u32::from_le_bytes(*length))
    else {
        return;
    };
    let end = (at + HEAD).saturating_add(length as usize).min(file.len());
    let Some(content) = file.get(at + HEAD..end) else { return };
    let (length, checksum) = (content.len() as u32, crc32fast::hash(content));
    file[at..at + 4].copy_from_slice(&length.to_le_bytes());
    file[at + 4..at + HEAD].copy_from_slice(&checksum.to_le_bytes());
}

/// A start on a damaged folder is refused and leaves it as it was, or gives a state that the next start finds again
/// and that can be written to.
#[test]
fn damaged_files_are_refused_or_read_the_same_twice() {
    for file in FILES {
        let valid = [folder().bytes(file)];
        let disk = RefCell::default();
        let read = |input: &[u8]| {
            let damaged = folder();
            damaged.overwrite(file, input.to_vec());
            let opened = open(&damaged);
            let result = opened.map(|opened| (opened.recovered.clone(), opened.directory.clone()));
            *disk.borrow_mut() = damaged;
            result
        };
        let check = |_: &[u8], (recovered, directory)| {
            let again = open(&disk.borrow()).expect("what was opened once");
            assert_eq!((again.truncated_bytes, &again.recovered, &again.directory), (0, &recovered, &directory));
            let mut store = again.store;
            store.append(&[]).expect("appended");
        };
        let mut fuzz = Fuzz::new(file, FILE_BYTES);
        fuzz.run(&valid, 1_000, read, check);
        let mut mutator = Mutator::new(SEED ^ 1);
        for number in 0..1_000 {
            let mut input = mutator.mutate(&valid[0], &valid[0]);
            seal(&mut input, number % 8);
            if !fuzz.try_input(&input, read, check) {
                let before = folder();
                before.overwrite(file, input);
                let is_kept = |file: &&str| disk.borrow().bytes(file) == before.bytes(file);
                assert_eq!(FILES.iter().find(|file| !is_kept(file)), None, "changed by a refused start");
            }
        }
        println!("{file}: and 1000 inputs with the checksum corrected");
    }
}

/// Guards against a search behind damage that reads the rest of the file once for each place.
#[test]
fn damaged_logs_are_read_in_time_proportional_to_their_length() {
    let log = |bytes: usize| {
        let disk = folder();
        let mut log = disk.bytes("log");
        // The first record alone, damaged: an intact one behind it would end the search.
        log.truncate(HEAD + u32::from_le_bytes(*log.first_chunk().expect("a record")) as usize);
        log[HEAD] ^= 1;
        // Places that look like records of half the length.
        let length = (bytes as u32 / 2).to_le_bytes();
        let place = [&length[..], &[9, 9, 9, 9, 1, 200, 1, 0, 0]].concat();
        log.extend(place.repeat(bytes / place.len()));
        log
    };
    check_growth("log behind damage", 8_000, log, |input| {
        let disk = folder();
        disk.overwrite("log", input.to_vec());
        let _ = open(&disk);
    });
}
