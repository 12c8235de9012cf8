//! Calls of different kinds at the same servers: look-ups that are due in 400 ms beside downloads that are due in 4 s.

#[path = "support/test_entry.rs"]
#[allow(dead_code, unreachable_pub)]
mod test_entry;

use {
    hemlockford_core::{
        dispatch::{AttemptResult, Call, CallOptions, DispatchEvent},
        ids::CallId,
    },
    std::time::Duration,
    test_entry::{MS, TestEntry, load, rejected, sent},
};

const ONE: [(&str, &str); 1] = [("s1", "a")];
const TWO: [(&str, &str); 2] = [("s1", "a"), ("s2", "a")];
/// Downloads after which the first guess of their work, 1.6 s, has come close to the 160 ms that they take.
const LEARNT_AFTER: usize = 8;

fn download(entry: &mut TestEntry) -> Call {
    let call = entry.call();
    let options = CallOptions { objective: 4_000 * MS, ..call.options };
    Call { deadline: entry.now + 12_000 * MS, options, ..call }
}

/// Returns an entry that has served look-ups and downloads.
fn entry_with_both_kinds(servers: &[(&str, &str)]) -> TestEntry {
    let mut entry = TestEntry::new(servers);
    for _ in 0..LEARNT_AFTER {
        for call in [entry.call(), download(&mut entry)] {
            let (id, server) = entry.send_call(call);
            entry.finish(id, &server, AttemptResult::Complete);
            entry.advance(20 * MS);
        }
    }
    entry
}

fn arrive_and_wait(entry: &mut TestEntry, call: Call) -> CallId {
    let id = call.id;
    let actions = entry.arrive(call);
    assert!(sent(&actions, id).is_none() && rejected(&actions, id).is_none(), "{actions:?}");
    id
}

/// Load: a burst of downloads while look-ups arrive. Guards against downloads that take every slot, so that each look-up
/// waits for the end of one.
#[test]
fn downloads_leave_a_slot_for_look_ups() {
    let mut entry = entry_with_both_kinds(&ONE);
    let call = download(&mut entry);
    entry.send_call(call);
    let call = download(&mut entry);
    let waiting = arrive_and_wait(&mut entry, call);
    let (look_up, server) = entry.send_lookup();
    let actions = entry.finish(look_up, &server, AttemptResult::Complete);
    assert!(sent(&actions, waiting).is_none());
}

/// Guards against slots that stay unused while no look-ups arrive, and against a download that waits until it is late.
#[test]
fn downloads_use_every_slot_without_look_ups_or_ample_time() {
    let mut entry = entry_with_both_kinds(&ONE);
    let call = download(&mut entry);
    entry.send_call(call);
    let call = download(&mut entry);
    let waiting = arrive_and_wait(&mut entry, call);
    assert!(sent(&entry.advance(4_000 * MS), waiting).is_some(), "its time was no longer ample");

    let mut entry = entry_with_both_kinds(&ONE);
    entry.advance(Duration::from_secs(6));
    for _ in 0..2 {
        let call = download(&mut entry);
        entry.send_call(call);
    }
}

/// Load: look-ups beside downloads, at servers whose pace changes. Guards against a common estimate of the work, by which a
/// look-up seems to be late already and takes a slow server instead of waiting for a faster one.
#[test]
fn the_work_of_downloads_does_not_make_look_ups_late() {
    let mut entry = TestEntry::new(&TWO);
    // The only entry may probe the servers often enough to know their pace.
    entry.handle(DispatchEvent::Peers(vec!["entry".into()]));
    let call = download(&mut entry);
    let (id, server) = entry.send_call(call);
    entry.finish(id, &server, AttemptResult::Complete);
    entry.reports.values_mut().for_each(|report| *report = load(0, 400));
    entry.advance(100 * MS);
    let call = entry.call();
    let look_up = arrive_and_wait(&mut entry, call);
    assert!(sent(&entry.advance(60 * MS), look_up).is_none());
    entry.reports.insert("s2".into(), load(0, 100));
    assert_eq!(sent(&entry.advance(40 * MS), look_up).as_deref(), Some("s2"));
}
