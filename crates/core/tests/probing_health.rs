//! Failing servers as seen by an entry of a fleet.

#[path = "support/test_entry.rs"]
#[allow(dead_code, unreachable_pub)]
mod test_entry;

use {
    hemlockford_core::{
        dispatch::{AttemptResult, DispatchEvent},
        ids::ServerId,
    },
    std::time::Duration,
    test_entry::{MS, TestEntry, load, sent},
};

const FOUR: [(&str, &str); 4] = [("s1", "a"), ("s2", "a"), ("s3", "a"), ("s4", "a")];

/// Sends calls for some time and ends those at the bad servers with the given result; returns the number of
/// attempts at each server.
fn run(entry: &mut TestEntry, time: Duration, bad: &[&str], result: AttemptResult) -> Vec<(ServerId, usize)> {
    let mut counts: Vec<_> = entry.views.iter().map(|view| (view.id.clone(), 0)).collect();
    let end = entry.now + time;
    while entry.now < end {
        let (call, mut server) = entry.send_lookup();
        loop {
            counts.iter_mut().filter(|(id, _)| *id == server).for_each(|(_, count)| *count += 1);
            let ended = if bad.contains(&&*server) { result } else { AttemptResult::Complete };
            let actions = entry.finish(call, &server, ended);
            match sent(&actions, call) {
                Some(next) => server = next,
                None => break,
            }
        }
        entry.advance(75 * MS);
    }
    counts
}

fn share(counts: &[(ServerId, usize)], server: &str) -> f64 {
    let all: usize = counts.iter().map(|(_, count)| count).sum();
    let own: usize = counts.iter().filter(|(id, _)| **id == *server).map(|(_, count)| count).sum();
    own as f64 / all as f64
}

/// Guards against a server that fails fast, therefore always seems idle, and would attract every call.
#[test]
fn a_server_that_fails_fast_loses_its_traffic() {
    for result in [AttemptResult::ServerError, AttemptResult::RefusedBeforeWrite, AttemptResult::BadAnswer] {
        let mut entry = TestEntry::new(&FOUR);
        // The others are loaded, so that the failing server looks better in every report.
        for server in ["s2", "s3", "s4"] {
            entry.reports.insert(server.into(), load(1, 100));
        }
        let counts = run(&mut entry, Duration::from_secs(30), &["s1"], result);
        assert!(share(&counts, "s1") < 0.03, "{result}: {counts:?}");
        let counts = run(&mut entry, Duration::from_secs(30), &[], result);
        assert!(share(&counts, "s1") > 0.1, "{result}: it works again: {counts:?}");
    }
}

/// Guards against trusting the report of a server that rejects everything while it reports that it is idle.
#[test]
fn a_server_that_sheds_all_loses_its_traffic() {
    let mut entry = TestEntry::new(&FOUR);
    for server in ["s2", "s3", "s4"] {
        entry.reports.insert(server.into(), load(1, 100));
    }
    let counts = run(&mut entry, Duration::from_secs(30), &["s1"], AttemptResult::Shed);
    assert!(share(&counts, "s1") < 0.03, "{counts:?}");
}

/// Guards against ejecting a server for being full, which its report shows anyway.
#[test]
fn a_shed_of_a_full_server_is_no_failure() {
    let mut entry = TestEntry::new(&FOUR[..2]);
    let (call, server) = entry.send_lookup();
    entry.reports.insert(server.clone(), load(6, 100));
    entry.finish(call, &server, AttemptResult::Shed);
    entry.reports.insert(server.clone(), load(0, 100));
    for view in entry.views.clone().iter().filter(|view| view.id != server) {
        entry.reports.insert(view.id.clone(), load(2, 100));
    }
    entry.advance(250 * MS);
    assert_eq!(entry.complete(), server);
}

/// Guards against ejections that leave too few servers: at least half of the slots stay in use.
#[test]
fn half_of_the_slots_stay_in_use() {
    let mut entry = TestEntry::new(&FOUR);
    let all = ["s1", "s2", "s3", "s4"];
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..10 {
        run(&mut entry, 500 * MS, &all, AttemptResult::ServerError);
        let counts = run(&mut entry, 400 * MS, &all, AttemptResult::ServerError);
        used.insert(counts.iter().filter(|(_, count)| *count > 0).count());
    }
    assert!(used.iter().all(|count| *count >= 2), "{used:?}");
}

/// Guards against ejections that continue after the servers in use have left.
#[test]
fn ejected_servers_are_reinstated_when_the_others_leave() {
    let mut entry = TestEntry::new(&FOUR);
    run(&mut entry, Duration::from_secs(5), &["s1", "s2"], AttemptResult::ServerError);
    entry.views.retain(|view| ["s1", "s2"].contains(&&*view.id));
    entry.announce();
    let counts = run(&mut entry, Duration::from_secs(1), &[], AttemptResult::ServerError);
    assert!(counts.iter().any(|(_, count)| *count > 5), "{counts:?}");
}

/// Guards against trials that stay as frequent after each failure, and against a server that gets no trial.
#[test]
fn ejections_double() {
    let mut entry = TestEntry::new(&FOUR);
    // The others are loaded, so that the failing server is chosen first.
    for server in ["s2", "s3", "s4"] {
        entry.reports.insert(server.into(), load(1, 100));
    }
    let mut last = None;
    let mut gaps = Vec::new();
    let end = entry.now + Duration::from_secs(40);
    while entry.now < end {
        let (call, server) = entry.send_lookup();
        if &*server == "s1" {
            let now = entry.now;
            gaps.extend(last.replace(now).map(|before| now - before));
            entry.finish(call, &server, AttemptResult::RefusedBeforeWrite);
            let left = entry.handle(DispatchEvent::Cancel(call));
            assert!(left.is_empty());
        } else {
            entry.finish(call, &server, AttemptResult::Complete);
        }
        entry.advance(50 * MS);
    }
    assert!((4..=7).contains(&gaps.len()), "{gaps:?}");
    for pair in gaps.windows(2).take(4) {
        assert!(pair[1] > pair[0].mul_f64(1.5), "{gaps:?}");
    }
}

/// Guards against a long ejection because of a single failure.
#[test]
fn a_single_failure_ejects_only_briefly() {
    let mut entry = TestEntry::new(&FOUR);
    let (call, server) = entry.send_lookup();
    entry.finish(call, &server, AttemptResult::ServerError);
    for (other, _) in FOUR.iter().filter(|(other, _)| **other != *server) {
        entry.reports.insert((*other).into(), load(1, 100));
    }
    let counts = run(&mut entry, Duration::from_secs(5), &[], AttemptResult::Complete);
    assert!(share(&counts, &server) > 0.7, "{counts:?}");
}

/// Guards against counting the timeout of a call that arrived with too little time against its server.
#[test]
fn a_short_deadline_is_no_fault_of_the_server() {
    let mut entry = TestEntry::new(&FOUR[..2]);
    for _ in 0..5 {
        let (call, server) = entry.send_lookup();
        let finish = hemlockford_core::dispatch::FinishedAttempt {
            call,
            server: server.clone(),
            result: AttemptResult::Timeout,
            latency: 10 * MS,
            report: None,
            wants_decision: false,
        };
        entry.handle(DispatchEvent::AttemptFinished(finish));
        let other = entry.views.iter().find(|view| view.id != server).map(|view| view.id.clone()).unwrap();
        entry.reports.insert(other, load(2, 400));
        entry.reports.insert(server.clone(), load(0, 100));
        entry.advance(300 * MS);
        assert_eq!(entry.complete(), server);
        entry.advance(300 * MS);
    }
}

/// Guards against a server that is taken for down, or keeps its place for ever, because it did not answer one call that
/// it could not queue.
#[test]
fn a_server_that_left_one_call_without_an_answer_stays_in_use() {
    let mut entry = TestEntry::new(&FOUR);
    for (other, _) in &FOUR[1..] {
        entry.reports.insert((*other).into(), load(1, 150));
    }
    let (call, server) = entry.send_lookup();
    assert_eq!(&*server, "s1");
    let actions = entry.finish(call, &server, AttemptResult::Timeout);
    assert!(sent(&actions, call).is_none_or(|next| *next != *server), "the same server is not tried again");
    entry.advance(1_500 * MS);
    let counts = run(&mut entry, Duration::from_secs(5), &[], AttemptResult::Complete);
    assert!(share(&counts, "s1") > 0.5, "its place is free and it is the best server: {counts:?}");
}
