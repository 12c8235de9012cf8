//! Measures the restart time and the size on disk for different numbers of changes. The configuration has about 8 KB and
//! 60 services, and a snapshot is taken every 256 entries. Prints CSV.

use {
    hemlockford_core::consensus::{Entry, Members, Payload, Snapshot, Write},
    hemlockford_store::{Store, StoreOptions},
    std::{fmt::Write as _, hint::black_box, sync::Arc, time::Instant},
};

const CHANGES: [u64; 4] = [100, 300, 1_000, 3_000];
const SNAPSHOT_ENTRIES: u64 = 256;
const SERVICES: u32 = 60;
/// Size of an accepted change in a snapshot, in bytes: its number and a 32-byte digest.
const CHANGE_BYTES: usize = 40;

fn configuration(number: u64) -> Vec<u8> {
    let mut text = format!("[change]\nnumber = {number}\n\n[customer kovar]\nweight = 3\n");
    for service in 0..SERVICES {
        let _ = write!(
            text,
            "\n[service catalogue-{service}]\ndeadline = 800ms\nobjective = 99.9% in 250ms\npolicy = permits\n\
             retry-budget = 10%\nqueue = 200\nshare.kovar = 3\n"
        );
    }
    text.into_bytes()
}

fn main() -> hemlockford_core::errors::Result<()> {
    println!("changes,text_bytes,write_ms,log_bytes,snapshot_bytes,entries,restart_ms");
    for changes in CHANGES {
        let Ok(folder) = tempfile::tempdir() else { break };
        let mut store = Store::open(folder.path(), StoreOptions { wall_clock_ns: 1 })?.store;
        let start = Instant::now();
        for index in 1..=changes {
            let entry = Entry { index, term: 1, payload: Payload::Command(configuration(index).into()) };
            let mut writes = vec![Write::Append(vec![entry])];
            if index % SNAPSHOT_ENTRIES == 0 {
                let mut data = configuration(index);
                data.resize(data.len() + CHANGE_BYTES * usize::try_from(index).unwrap_or_default(), 1);
                let snapshot = Snapshot { index, term: 1, members: Members::default(), data: data.into() };
                writes.push(Write::Snapshot(Arc::new(snapshot)));
            }
            store.write(&mut writes)?;
        }
        let write_ms = start.elapsed().as_secs_f64() * 1e3;
        let log = store.log_len();
        drop(store);
        let start = Instant::now();
        let opened = Store::open(folder.path(), StoreOptions { wall_clock_ns: 2 })?;
        let restart_ms = start.elapsed().as_secs_f64() * 1e3;
        let recovered = black_box(opened.recovered);
        let snapshot = std::fs::metadata(folder.path().join("snapshot")).map_or(0, |file| file.len());
        let (bytes, entries) = (configuration(changes).len(), recovered.entries.len());
        println!("{changes},{bytes},{write_ms:.0},{log},{snapshot},{entries},{restart_ms:.2}");
    }
    Ok(())
}
