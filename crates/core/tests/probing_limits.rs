//! Servers that name a limit on the rate of calls that they take from all entries together.

#[path = "support/fleet/mod.rs"]
#[allow(dead_code, unused_imports, unreachable_pub)]
mod fleet;

use {
    fleet::{Fleet, FleetOptions, NamedLimit, Workload},
    std::time::Duration,
};

const WARM_UP: Duration = Duration::from_secs(5);
const RUN: Duration = Duration::from_secs(30);
/// Server that names a limit.
const LIMITED: usize = 0;

/// Plays a fleet of which one server names a limit.
fn play(seed: u64, entries: usize, limit: NamedLimit) -> Fleet {
    let mut workloads = Workload::brno(1.0);
    workloads.truncate(1);
    workloads[0].rate = 120.0;
    let mut fleet = Fleet::new(FleetOptions { seed, entries, workloads, ..FleetOptions::default() });
    fleet.run_for(WARM_UP);
    fleet.servers[LIMITED].limit = Some(limit);
    fleet.run_for(RUN);
    fleet
}

/// Returns the number of calls that a server got within a time.
fn calls_within(fleet: &mut Fleet, server: usize, time: Duration) -> u64 {
    let before = fleet.servers[server].received_calls;
    fleet.run_for(time);
    fleet.servers[server].received_calls - before
}

/// Guards against entries that send a server more calls than the limit that it has named to them allows.
#[test]
fn a_server_gets_no_more_calls_than_the_limit_that_it_names() {
    for entries in [7, 42, 119] {
        for (calls_per_second, is_named_to_probes) in
            [(1.0, true), (1.0, false), (1.7, true), (0.5, false), (8.0, true)]
        {
            for seed in 1..=2 {
                let fleet = play(seed, entries, NamedLimit::new(calls_per_second, is_named_to_probes));
                let limit = fleet.servers[LIMITED].limit.as_ref().expect("the limit");
                let (worst, allowed) = limit.worst_window();
                println!(
                    "{entries} entries, limit {calls_per_second}, seed {seed}: {} calls, {worst} of {allowed}",
                    limit.calls()
                );
                assert!(worst as f64 <= allowed, "{worst} calls in 4 s, {allowed} allowed");
            }
        }
    }
}

/// Guards against a limited server that is not used at all, and against a limit that outlives the need of its server.
#[test]
fn a_limited_server_is_used_within_its_limit_and_fully_afterwards() {
    for entries in [7, 42] {
        let mut fleet = play(1, entries, NamedLimit::new(1.0, true));
        let limited = calls_within(&mut fleet, LIMITED, RUN);
        assert!((6..=36).contains(&limited), "{entries} entries: {limited} calls in 30 s");
        fleet.servers[LIMITED].limit.as_mut().expect("the limit").is_over = true;
        fleet.run_for(Duration::from_secs(15));
        let after = calls_within(&mut fleet, LIMITED, RUN);
        // 120 calls a second are divided among 22 servers.
        assert!(after > 80, "{entries} entries: {after} calls in 30 s after the limit has ended");
    }
}

/// Guards against calls beyond the limit while entries come and go, so that others than before may send calls.
#[test]
fn a_limit_holds_while_positions_change() {
    for entries in [7, 42] {
        let mut fleet = play(1, entries, NamedLimit::new(1.0, true));
        for places in 1..30 {
            fleet.shift_positions(places);
            fleet.run_for(Duration::from_millis(400 * (1 + places as u64 % 5)));
        }
        let (worst, allowed) = fleet.servers[LIMITED].limit.as_ref().expect("the limit").worst_window();
        assert!(worst as f64 <= allowed, "{entries} entries: {worst} calls in 4 s, {allowed} allowed");
    }
}

/// Guards against many probes of a server in need by the entries that may not send it calls.
#[test]
fn a_limited_server_gets_few_probes() {
    for entries in [7, 119] {
        let fleet = play(1, entries, NamedLimit::new(1.0, true));
        let probes = fleet.servers[LIMITED].limit.as_ref().expect("the limit").probes;
        assert!(probes < 8 * RUN.as_secs() as usize, "{entries} entries: {probes} probes in 30 s");
    }
}
