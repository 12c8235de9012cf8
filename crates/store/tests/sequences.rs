//! Seeded sequences of writes, process kills, losses of power and full disks, with several starts one after the other.

mod fake;

use {
    fake::FakeDisk,
    hemlockford_core::consensus::{Entry, HardState, Member, Members, Payload, Recovered, Snapshot, Write},
    hemlockford_store::{Opened, Store, StoreOptions},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::sync::Arc,
};

const SEQUENCES: u64 = 4_000;
const STEPS: usize = 12;

fn open(disk: &FakeDisk) -> hemlockford_core::errors::Result<Opened> {
    Store::open_disk(Box::new(disk.clone()), StoreOptions { wall_clock_ns: 100 })
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![index as u8; 30].into()) }
}

fn snapshot(index: u64, term: u64) -> Write {
    Write::Snapshot(Arc::new(Snapshot { index, term, members: Members::default(), data: vec![term as u8; 40].into() }))
}

fn apply(state: &mut Recovered, write: &Write) {
    match write {
        Write::HardState(hard_state) => state.hard_state = hard_state.clone(),
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

/// A store on a disk, with the state that it must recover.
struct Sequence {
    rng: SmallRng,
    disk: FakeDisk,
    state: Recovered,
    term: u64,
}

impl Sequence {
    fn new(seed: u64) -> Self {
        let state = Recovered { incarnation: 100, ..Recovered::default() };
        Self { rng: SmallRng::seed_from_u64(seed), disk: FakeDisk::default(), state, term: 1 }
    }

    fn covered(&self) -> u64 {
        self.state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Returns the next writes of a replica: entries, votes, replaced entries, a snapshot of its own or of the leader.
    fn next_writes(&mut self) -> Vec<Write> {
        let (first, last) = (self.covered(), self.state.entries.last().map_or(self.covered(), |entry| entry.index));
        let mut writes = Vec::new();
        match self.rng.random_range(0..10) {
            0..=3 => {
                let count = self.rng.random_range(1..4);
                writes.push(Write::Append((1..=count).map(|at| entry(last + at, self.term)).collect()));
            }
            4 | 5 => {
                self.term += 1;
                let voted_for = Some(Member { replica: "a".into(), incarnation: 1 });
                writes.push(Write::HardState(HardState { term: self.term, voted_for, ..HardState::default() }));
            }
            6 if last > first => {
                let from = self.rng.random_range(first + 1..=last);
                writes.push(Write::Truncate(from));
                writes.push(Write::Append(vec![entry(from, self.term)]));
            }
            7 | 8 if last > first => {
                let at = self.rng.random_range(0..self.state.entries.len());
                let Entry { index, term, .. } = self.state.entries[at];
                writes.push(snapshot(index, term));
            }
            // The leader's snapshot may end before or behind the last entry, which is of another term then.
            _ => {
                self.term += 1;
                let index = first + self.rng.random_range(1..12);
                writes.push(snapshot(index, self.term));
                if self.rng.random() {
                    writes.push(Write::Append(vec![entry(index + 1, self.term)]));
                }
            }
        }
        writes
    }

    /// Returns the states that a start may find if some of the writes became durable.
    fn states_after(&self, writes: &[Write]) -> Vec<Recovered> {
        let mut states = vec![self.state.clone()];
        for write in writes {
            let mut state = states[states.len() - 1].clone();
            let parts = match write {
                Write::Append(entries) => entries.iter().map(|entry| Write::Append(vec![entry.clone()])).collect(),
                other => vec![other.clone()],
            };
            for part in parts {
                apply(&mut state, &part);
                states.push(state.clone());
            }
        }
        states
    }

    /// Writes until the process ends at one of the operations, if it does; starts it again once or twice.
    fn step(&mut self, case: &str) {
        let mut opened = open(&self.disk).unwrap_or_else(|report| panic!("{case}: {report:?}"));
        assert_eq!(opened.recovered, self.state, "{case}");
        for round in 0..self.rng.random_range(1..5) {
            let writes = self.next_writes();
            let states = self.states_after(&writes);
            let fails = self.rng.random_bool(0.5);
            match self.rng.random_range(0..4) {
                0 if fails => self.disk.state().capacity = Some(self.rng.random_range(100..900)),
                _ if fails => self.disk.state().operations_left = Some(self.rng.random_range(0..10)),
                _ => {}
            }
            let is_written = opened.store.write(&mut writes.clone()).is_ok();
            (self.disk.state().operations_left, self.disk.state().capacity) = (None, None);
            if is_written {
                self.state = states[states.len() - 1].clone();
                continue;
            }
            drop(opened);
            // The process was killed, or the machine has lost power as well.
            if self.rng.random() {
                self.disk.crash(self.rng.random());
            }
            if self.rng.random() {
                // It ends again while it starts.
                self.disk.state().operations_left = Some(self.rng.random_range(0..8));
                let _ = open(&self.disk);
                self.disk.state().operations_left = None;
                if self.rng.random() {
                    self.disk.crash(self.rng.random());
                }
            }
            let opened = open(&self.disk).unwrap_or_else(|report| panic!("{case}, round {round}: {report:?}"));
            assert!(states.contains(&opened.recovered), "{case}, round {round}: {:?}", opened.recovered);
            self.state = opened.recovered;
            self.term = self.state.entries.iter().map(|entry| entry.term).fold(self.term, u64::max);
            return;
        }
    }
}

/// Guards against a start that fails, or that loses what was acknowledged, after the process was killed or power was lost
/// between any two steps of a write, and against one that only works until the next write.
#[test]
fn every_start_finds_what_was_acknowledged() {
    for seed in 0..SEQUENCES {
        let mut sequence = Sequence::new(seed);
        for step in 0..STEPS {
            sequence.step(&format!("seed {seed}, step {step}"));
        }
    }
}

/// Returns the record that a store writes for an entry behind a snapshot.
fn record_behind(index: u64, term: u64) -> Vec<u8> {
    let disk = FakeDisk::default();
    let mut opened = open(&disk).unwrap();
    opened.store.write(&mut vec![snapshot(index, term)]).unwrap();
    let before = disk.bytes("log").len();
    opened.store.append(&[entry(index + 1, term)]).unwrap();
    disk.bytes("log")[before..].to_vec()
}

/// Guards against a folder of version 1210964 that cannot be opened: a leader's snapshot was stored, the process killed
/// before the log named it, and entries were appended after the next start. A snapshot that ends with the last entry of
/// the log, but in another term, cannot be told from one that was just stored; the entries behind it are not found.
#[test]
fn a_snapshot_that_the_log_does_not_name_is_found() {
    for (last, index) in [(0, 9), (3, 9), (20, 9)] {
        for appended in 0..3 {
            let disk = FakeDisk::default();
            let mut opened = open(&disk).unwrap();
            opened.store.append(&(1..=last).map(|at| entry(at, 1)).collect::<Vec<_>>()).unwrap();
            let log = disk.bytes("log");
            opened.store.write(&mut vec![snapshot(index, 2)]).unwrap();
            drop(opened);
            let records = (0..appended).flat_map(|at| record_behind(index + at, 2));
            disk.overwrite("log", log.into_iter().chain(records).collect());
            let behind: Vec<_> = (1..=appended).map(|at| entry(index + at, 2)).collect();
            for start in 0..3 {
                let mut opened = open(&disk).unwrap_or_else(|report| panic!("{last} {index} {appended}: {report:?}"));
                let added: Vec<_> = (1..=start).map(|at| entry(index + appended + at, 2)).collect();
                let expected: Vec<_> = behind.iter().chain(&added).cloned().collect();
                assert_eq!(opened.recovered.entries, expected, "{last} {index} {appended}, start {start}");
                opened.store.append(&[entry(index + appended + start + 1, 2)]).unwrap();
            }
            let mut opened = open(&disk).unwrap();
            opened.store.write(&mut vec![snapshot(index + appended + 2, 2)]).unwrap();
            assert_eq!(open(&disk).unwrap().recovered.entries, [entry(index + appended + 3, 2)]);
        }
    }
}
