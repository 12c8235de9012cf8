//! Cold servers at one entry.

#[path = "support/test_entry.rs"]
#[allow(dead_code, unreachable_pub)]
mod test_entry;

use {
    hemlockford_core::{
        config::Configuration,
        dispatch::{AttemptResult, DispatchAction, DispatchEvent},
        outcome::{NotRunReason, Outcome},
        probing::ColdServer,
    },
    std::{sync::Arc, time::Duration},
    test_entry::{MS, TestEntry, load, rejected},
};

/// Returns an entry whose servers tolerate 2 calls per second for 5 s after their start.
fn entry(servers: &[(&str, &str)]) -> TestEntry {
    let mut entry = TestEntry::new(servers);
    let config = "[change]\nnumber = 1\n[service catalogue]\nwarm-up = 5s\nwarm-up-rate = 2\n";
    let config = Configuration::parse(config).expect("a valid configuration");
    entry.handle(DispatchEvent::Configure(Arc::new(config)));
    entry
}

/// Makes the entry the only one.
fn set_alone(entry: &mut TestEntry) {
    entry.handle(DispatchEvent::Peers(vec!["e".into()]));
    entry.handle(DispatchEvent::Position(0));
}

/// Announces that the server with this index started anew, and is cold for 5 s.
fn restart(entry: &mut TestEntry, server: usize) {
    let (now, view) = (entry.now, &mut entry.views[server]);
    view.incarnation += 1;
    (view.ready_since, view.warm_at) = (now, now + 5_000 * MS);
    entry.announce();
}

/// Sends calls for a time, which end at once; returns the number of calls that `s1` and the other servers got.
fn play(entry: &mut TestEntry, time: Duration) -> [usize; 2] {
    let end = entry.now + time;
    let mut calls = [0, 0];
    while entry.now < end {
        let call = entry.call();
        let mut actions = entry.arrive(call);
        actions.extend(entry.advance(20 * MS));
        for action in actions {
            let DispatchAction::Send { call, server, .. } = action else { continue };
            calls[usize::from(&*server != "s1")] += 1;
            entry.finish(call, &server, AttemptResult::Complete);
        }
    }
    calls
}

/// Guards against an entry that restarts and takes the position of another one, and against calls that wait for or fail
/// at cold servers while another server has room.
#[test]
fn an_entry_without_a_position_sends_cold_servers_no_calls() {
    let mut entry = entry(&[("s1", "a"), ("s2", "a")]);
    entry.advance(6_000 * MS);
    restart(&mut entry, 0);
    let [cold, warm] = play(&mut entry, 2_000 * MS);
    assert_eq!(cold, 0);
    assert!(warm > 60, "{warm} calls at the other server");
}

/// Guards against a cold server that is not used at all, and against calls beyond its rate.
#[test]
fn a_cold_server_gets_its_rate_and_is_used_fully_when_it_is_warm() {
    let mut entry = entry(&[("s1", "a"), ("s2", "a")]);
    set_alone(&mut entry);
    entry.advance(6_000 * MS);
    entry.reports.insert("s2".into(), load(1, 400));
    restart(&mut entry, 0);
    let [cold, _] = play(&mut entry, 4_000 * MS);
    assert!((3..=10).contains(&cold), "{cold} calls at the cold server in 4 s");
    entry.advance(1_200 * MS);
    let [warm, _] = play(&mut entry, 1_000 * MS);
    assert!(warm > 20, "{warm} calls at the warm server in 1 s");
}

/// Guards against a call that waits for a cold server, or is rejected without the time after which one takes calls.
#[test]
fn a_call_is_rejected_with_the_time_of_the_next_one_if_all_servers_are_cold() {
    let mut entry = entry(&[("s1", "a")]);
    set_alone(&mut entry);
    entry.advance(6_000 * MS);
    restart(&mut entry, 0);
    play(&mut entry, 1_000 * MS);
    let call = entry.call();
    let id = call.id;
    let actions = entry.arrive(call);
    let (outcome, retry_after) = rejected(&actions, id).expect("a rejection");
    assert_eq!(outcome, Outcome::NotRun(NotRunReason::NoServer));
    assert!(retry_after <= 500 * MS, "{retry_after:?}");
}

/// Guards against full use of a server that refused a connection and may have started anew, and against a warm one that
/// stays limited.
#[test]
fn a_server_that_refused_a_connection_counts_as_cold_until_it_says_otherwise() {
    let mut entry = entry(&[("s1", "a"), ("s2", "a")]);
    set_alone(&mut entry);
    // The other server is full, so that all calls press on the one that refused a connection.
    entry.reports.insert("s2".into(), load(2, 400));
    entry.advance(6_000 * MS);
    let (call, server) = entry.send_lookup();
    assert_eq!(&*server, "s1");
    entry.finish(call, "s1", AttemptResult::RefusedBeforeWrite);
    entry.advance(600 * MS);
    let [cold, _] = play(&mut entry, 2_000 * MS);
    assert!(cold <= 6, "{cold} calls in 2 s");
    let call = entry.call();
    for action in entry.handle(DispatchEvent::Arrive(call)) {
        let DispatchAction::Probe { probe, server, .. } = action else { continue };
        let (latency, warm_up) = (2 * MS, Some(Duration::ZERO));
        let report = Some(entry.reports[&server]);
        entry.handle(DispatchEvent::ProbeFinished { probe, latency, report, warm_up, ok: true });
    }
    let [warm, _] = play(&mut entry, 1_000 * MS);
    assert!(warm > 20, "{warm} calls in 1 s at the server that said that it is warm");
}

/// Guards against a cold server of which operators are not told.
#[test]
fn cold_servers_are_reported() {
    let mut entry = entry(&[("s1", "a"), ("s2", "a")]);
    set_alone(&mut entry);
    entry.advance(6_000 * MS);
    restart(&mut entry, 0);
    let report = entry.balancer.report_warm_up(entry.now);
    assert_eq!((report.servers, report.rate), (1, 2.0));
    assert!(matches!(&report.changes[..], [ColdServer::Cold { server, .. }] if &**server == "s1"), "{report:?}");
    entry.advance(5_100 * MS);
    let report = entry.balancer.report_warm_up(entry.now);
    assert!(matches!(&report.changes[..], [ColdServer::Warm { .. }]), "{report:?}");
    assert_eq!(report.servers, 0);
}
