//! Fuzzer tests of corrupt and forged files in the data folder. Guards against panics, allocations based on an unverified
//! length, and changes to a folder that fails to open.

#[allow(dead_code, reason = "used by the other test binary")]
mod fake;

use {
    fake::FakeDisk,
    hemlockford_core::consensus::{Entry, HardState, Member, Payload, Snapshot, Write},
    hemlockford_fuzz::{Fuzzer, Mutator, SEED, check_linear_time},
    hemlockford_store::{Opened, Store, StoreOptions},
    std::{cell::RefCell, sync::Arc},
};

const FILES: [&str; 4] = ["identity", "log", "snapshot", "directory"];
/// Length of the record header: length and checksum.
const HEADER_LEN: usize = 8;
/// Maximum memory per byte of a file while opening: the file, its records and the rewritten files.
const MEMORY_PER_FILE_BYTE: u64 = 512;

fn open(disk: &FakeDisk) -> Option<Opened> {
    Store::open_disk(Box::new(disk.clone()), StoreOptions { wall_clock_ns: 100 }).ok()
}

/// Creates a folder with a hard state, entries, a snapshot and a directory.
fn folder() -> FakeDisk {
    let disk = FakeDisk::default();
    let mut opened = open(&disk).expect("empty folder");
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

/// Corrects the length and the checksum of a record, so that its content is decoded.
fn fix_header(file: &mut [u8], record: usize) {
    let mut offset = 0;
    for _ in 0..record {
        let Some(length) = file.get(offset..offset + 4) else { return };
        offset += HEADER_LEN + u32::from_le_bytes(length.try_into().expect("4 bytes")) as usize;
    }
    let Some(length) = file.get(offset..).and_then(|rest| rest.first_chunk()).map(|length| u32::from_le_bytes(*length))
    else {
        return;
    };
    let end = (offset + HEADER_LEN).saturating_add(length as usize).min(file.len());
    let Some(content) = file.get(offset + HEADER_LEN..end) else { return };
    let (length, checksum) = (content.len() as u32, crc32fast::hash(content));
    file[offset..offset + 4].copy_from_slice(&length.to_le_bytes());
    file[offset + 4..offset + HEADER_LEN].copy_from_slice(&checksum.to_le_bytes());
}

/// Opening a corrupt folder either fails without changing it, or recovers a state that the next start recovers as well
/// and that can be written to.
#[test]
fn corrupt_files_are_rejected_or_recovered_consistently() {
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
            let again = open(&disk.borrow()).expect("folder that was opened before");
            assert_eq!((again.truncated_bytes, &again.recovered, &again.directory), (0, &recovered, &directory));
            let mut store = again.store;
            store.append(&[]).expect("appended");
        };
        let mut fuzz = Fuzzer::new(file, MEMORY_PER_FILE_BYTE);
        fuzz.run(&valid, 1_000, read, check);
        let mut mutator = Mutator::new(SEED ^ 1);
        for number in 0..1_000 {
            let mut input = mutator.mutate(&valid[0], &valid[0]);
            fix_header(&mut input, number % 8);
            if !fuzz.try_input(&input, read, check) {
                let before = folder();
                before.overwrite(file, input);
                let is_kept = |file: &&str| disk.borrow().bytes(file) == before.bytes(file);
                assert_eq!(FILES.iter().find(|file| !is_kept(file)), None, "changed by a failed start");
            }
        }
        println!("{file}: 1000 more inputs with corrected checksums");
    }
}

/// Guards against quadratic time in the search for intact records after a corrupt one.
#[test]
fn corrupt_logs_are_read_in_linear_time() {
    let log = |bytes: usize| {
        let disk = folder();
        let mut log = disk.bytes("log");
        // Only the first record, corrupted: a later intact one would end the search.
        log.truncate(HEADER_LEN + u32::from_le_bytes(*log.first_chunk().expect("record")) as usize);
        log[HEADER_LEN] ^= 1;
        // Positions that look like records of half the length of the log.
        let length = (bytes as u32 / 2).to_le_bytes();
        let pattern = [&length[..], &[9, 9, 9, 9, 1, 200, 1, 0, 0]].concat();
        log.extend(pattern.repeat(bytes / pattern.len()));
        log
    };
    check_linear_time("log behind damage", 8_000, log, |input| {
        let disk = folder();
        disk.overwrite("log", input.to_vec());
        let _ = open(&disk);
    });
}
