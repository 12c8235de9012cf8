//! Data folders of the version before, 1210964. `data/folder-1210964` was written by that version.

use {
    hemlockford_core::consensus::{Entry, HardState, Member, Members, Payload, Snapshot},
    hemlockford_store::{Store, StoreOptions},
    std::{
        path::{Path, PathBuf},
        sync::Arc,
    },
};

const FILES: [&str; 4] = ["identity", "log", "snapshot", "directory"];

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/folder-1210964")
}

fn entry(index: u64) -> Entry {
    Entry { index, term: 2, payload: Payload::Command(vec![index as u8; 20].into()) }
}

fn hard_state() -> HardState {
    let voted_for = Some(Member { replica: "a".into(), incarnation: 1 });
    HardState { term: 3, voted_for, ..HardState::default() }
}

fn snapshot() -> Arc<Snapshot> {
    Arc::new(Snapshot { index: 4, term: 2, members: Members::default(), data: vec![9; 50].into() })
}

fn write(folder: &Path) {
    let mut opened = Store::open(folder, StoreOptions { wall_clock_ns: 100 }).unwrap();
    opened.store.append(&(1..=6).map(entry).collect::<Vec<_>>()).unwrap();
    opened.store.save_hard_state(&hard_state()).unwrap();
    opened.store.save_snapshot(snapshot()).unwrap();
    opened.store.append(&[entry(7)]).unwrap();
    opened.store.save_directory(b"servers").unwrap();
}

/// Guards against a folder of the former version that is not read, or not completely.
#[test]
fn a_folder_of_the_former_version_opens() {
    let copy = tempfile::tempdir().unwrap();
    for file in FILES {
        std::fs::copy(folder().join(file), copy.path().join(file)).unwrap();
    }
    let opened = Store::open(copy.path(), StoreOptions { wall_clock_ns: 200 }).unwrap();
    assert_eq!(opened.recovered.entries, (5..=7).map(entry).collect::<Vec<_>>());
    assert_eq!((opened.recovered.hard_state, opened.recovered.snapshot), (hard_state(), Some(snapshot())));
    assert_eq!((opened.recovered.incarnation, opened.process_incarnation), (100, 200));
    assert_eq!(opened.directory, b"servers");
}

/// Guards against files that the former version cannot read after a return to it: they are written byte for byte as it
/// writes them.
#[test]
fn files_are_written_as_the_former_version_writes_them() {
    let written = tempfile::tempdir().unwrap();
    write(written.path());
    for file in FILES {
        let read = |folder: &Path| std::fs::read(folder.join(file)).unwrap();
        assert_eq!(read(written.path()), read(&folder()), "{file}");
    }
    if let Some(folder) = std::env::var_os("FORMER_VERSION_DATA") {
        for file in FILES {
            std::fs::copy(written.path().join(file), Path::new(&folder).join(file)).unwrap();
        }
    }
}
