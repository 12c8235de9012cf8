//! Servers that name a limit on the rate of calls that they take from all entries together.

#[path = "support/fleet/mod.rs"]
#[allow(dead_code, unused_imports, unreachable_pub)]
mod fleet;

use {
    fleet::{Fleet, FleetOptions, NamedLimit, Workload},
    std::time::Duration,
};

const WARM_UP: Duration = Duration::from_secs(5);
const RUN: Duration = Duration::from_secs(40);
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

/// Guards against entries that send a server more calls than the limit that it has named to them allows.
#[test]
fn a_server_gets_no_more_calls_than_the_limit_that_it_names() {
    for entries in [7, 42, 119] {
        for (calls_per_second, is_named_to_probes) in
            [(1.0, true), (1.0, false), (1.7, true), (0.5, false), (8.0, true)]
        {
            for seed in 1..=3 {
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
