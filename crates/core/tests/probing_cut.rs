//! Entries that have lost the path to the servers, while callers and other entries still reach them.

#[path = "support/fleet/mod.rs"]
#[allow(dead_code, unused_imports, unreachable_pub)]
mod fleet;

use {
    fleet::{Cut, Fleet, FleetOptions, ResultKind, Workload},
    std::time::Duration,
};

const WARM_UP: Duration = Duration::from_secs(5);
/// Time from the beginning of a cut until the bounds hold.
const CONTACT: Duration = Duration::from_secs(3);
const CUT: Duration = Duration::from_secs(20);

/// Returns the served and all calls that callers made in a part of the entries.
fn served(fleet: &Fleet, is_counted: impl Fn(usize) -> bool) -> (usize, usize) {
    let results = fleet.results.iter().filter(|result| !matches!(result.kind, ResultKind::HoldCost(_)));
    let counted: Vec<_> = results.filter(|result| is_counted(result.entry)).collect();
    let is_served = |kind: ResultKind| matches!(kind, ResultKind::InTime | ResultKind::Late);
    (counted.iter().filter(|result| is_served(result.kind)).count(), counted.len())
}

/// Cuts some entries off from all servers and checks the calls that arrive at them.
fn check(entries: usize, cut: Cut, is_cut: impl Fn(usize) -> bool) {
    let mut workloads = Workload::brno(entries as f64 / 7.0);
    workloads.iter_mut().for_each(|workload| workload.servers = workload.servers * entries / 7);
    let mut fleet = Fleet::new(FleetOptions { entries, workloads, ..FleetOptions::default() });
    fleet.run_for(WARM_UP);
    (0..entries).filter(|entry| is_cut(*entry)).for_each(|entry| fleet.cuts[entry] = Some(cut));
    fleet.run_for(CONTACT);
    fleet.results.clear();
    fleet.run_for(CUT);
    let ((at_cut, all_at_cut), (at_others, all_at_others)) =
        (served(&fleet, &is_cut), served(&fleet, |entry| !is_cut(entry)));
    let shares = (at_cut as f64 / all_at_cut as f64, at_others as f64 / all_at_others as f64);
    let failed = all_at_cut - at_cut;
    println!("{entries} entries, {cut:?}: {at_cut} of {all_at_cut}, {at_others} of {all_at_others} at the others");
    assert!(shares.0 >= shares.1 * 2.0 / 3.0, "{entries} entries, {cut:?}: {shares:?}");
    assert!(failed <= 10 + all_at_cut / 50, "{entries} entries, {cut:?}: {failed} of {all_at_cut} failed");
}

/// Guards against calls that fail because the entry at which they arrive reaches no server, although others do.
#[test]
fn calls_at_entries_that_lost_the_servers_are_served() {
    for cut in [Cut::Hang, Cut::Reset, Cut::RefuseNew] {
        check(7, cut, |entry| entry == 2);
        check(7, cut, |entry| entry < 4);
        check(7, cut, |entry| entry % 3 == 0);
        check(42, cut, |entry| entry % 3 == 0);
    }
}

/// Guards against calls that are passed on although their entry reaches servers, and against calls that go back and
/// forth between entries when all servers of a service are gone.
#[test]
fn entries_do_not_pass_calls_on_because_servers_have_crashed() {
    let run = |crashed: std::ops::Range<usize>| {
        let mut fleet = Fleet::new(FleetOptions::default());
        fleet.run_for(WARM_UP);
        crashed.for_each(|server| fleet.crash(server));
        let before = fleet.stats_by_service[0].calls;
        fleet.run_for(CUT);
        (fleet.relays_sent, fleet.stats_by_service[0].calls - before)
    };
    assert_eq!(run(0..0).0, 0);
    let (relayed, calls) = run(0..14);
    assert!(relayed * 50 <= calls, "14 of 22 servers crashed: {relayed} of {calls} calls were passed on");
    // An entry that could not serve a call is avoided for two seconds.
    let (relayed, calls) = run(0..22);
    assert!(relayed <= calls, "all servers crashed: {relayed} relays of {calls} calls");
}
