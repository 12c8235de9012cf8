//! Calls to cold servers from all entries together.

#[path = "support/fleet/mod.rs"]
#[allow(dead_code, unused_imports, unreachable_pub)]
mod fleet;

use {
    fleet::{Fleet, FleetOptions, ResultKind, Workload},
    std::time::{Duration, Instant},
};

/// Calls per second that a cold server tolerates.
const RATE: f64 = 2.0;
/// Calls that may reach a cold server in any second.
const ALLOWED: f64 = 1.5 * RATE + 8.0;
/// How long a server is cold.
const COLD: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(6);
const ENTRIES: [usize; 3] = [6, 52, 194];
const DATA_CENTRES: usize = 3;
const SERVERS: usize = 24;

/// Returns a fleet with one service whose servers run many short calls, and are close to their limit while a third of
/// them is missing.
fn busy_fleet(seed: u64, entries: usize) -> Fleet {
    let mut workload = Workload::brno(1.0).remove(0);
    (workload.servers, workload.slots) = (SERVERS, 4);
    (workload.rate, workload.work) = (13.0 * SERVERS as f64, 0.06);
    let service_keys = format!("warm-up = {}s\nwarm-up-rate = {RATE}\n", COLD.as_secs());
    let options = FleetOptions {
        seed,
        entries,
        data_centres: DATA_CENTRES,
        workloads: vec![workload],
        service_keys,
        callers_retry: true,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::new(options);
    fleet.run_for(CALM);
    fleet
}

/// Checks that no cold server got more calls than allowed; returns the calls in the worst second.
fn check_bound(fleet: &Fleet, case: &str) -> usize {
    let cold = || fleet.servers.iter().filter_map(|server| server.cold.as_ref());
    let worst = cold().map(|cold| cold.worst_second()).max().unwrap_or(0);
    let calls: usize = cold().map(|cold| cold.calls()).sum();
    println!("{case}: {} cold servers, {calls} calls, {worst} of {ALLOWED} in the worst second", cold().count());
    assert!(worst as f64 <= ALLOWED, "{case}: {worst} calls in a second, {ALLOWED} allowed");
    worst
}

/// Returns the share of the calls made since a time that were answered.
fn answered_share(fleet: &Fleet, since: Instant) -> f64 {
    let results = fleet.results.iter().filter(|result| result.first_attempt_at >= since);
    let (mut answered, mut all) = (0, 0);
    for result in results {
        match result.kind {
            ResultKind::InTime | ResultKind::Late => (answered, all) = (answered + 1, all + 1),
            ResultKind::Rejected | ResultKind::Failed => all += 1,
            ResultKind::HoldCost(_) => {}
        }
    }
    f64::from(answered) / f64::from(all)
}

/// Stops all servers of a data centre, and starts them cold after some seconds.
fn replace_data_centre(fleet: &mut Fleet, is_stated: bool, is_told: impl Fn(usize) -> bool) {
    let servers: Vec<_> = (0..fleet.servers.len()).filter(|server| server % DATA_CENTRES == 1).collect();
    servers.iter().for_each(|server| fleet.crash(*server));
    fleet.run_for(Duration::from_secs(3));
    servers.iter().for_each(|server| fleet.start_cold(*server, COLD, is_stated));
    fleet.announce_to(0, is_told);
}

/// Guards against servers that crash again because all entries send them calls when a data centre comes back, against
/// callers that wait for cold servers, and against servers that are left without calls.
#[test]
fn a_data_centre_that_comes_back_cold_gets_few_calls_soon() {
    for entries in ENTRIES {
        for (seed, is_stated) in [(1, true), (2, false)] {
            let case = format!("{entries} entries, seed {seed}, stated {is_stated}");
            let mut fleet = busy_fleet(seed, entries);
            replace_data_centre(&mut fleet, is_stated, |_| true);
            let back_at = fleet.now;
            fleet.run_for(COLD + Duration::from_secs(2));
            check_bound(&fleet, &case);
            let share = answered_share(&fleet, back_at);
            let cold = fleet.servers.iter().filter_map(|server| server.cold.as_ref());
            let waits = cold.map(|cold| cold.first_call_after().unwrap_or(COLD));
            let late = waits.filter(|wait| *wait > Duration::from_secs(4)).count();
            println!("{case}: {share:.3} answered, {late} servers without a call for 4 s");
            assert!(share > 0.97, "{case}: {share} of the calls answered");
            assert!(late <= 1, "{case}: {late} servers without a call for 4 s");
        }
    }
}

/// Guards against entries that know from their records that a server is warm, although it has become cold.
#[test]
fn a_server_that_becomes_cold_unannounced_gets_few_calls() {
    for entries in ENTRIES {
        let mut fleet = busy_fleet(3, entries);
        for server in 0..SERVERS {
            fleet.turn_cold(server, COLD, true);
            fleet.run_for(Duration::from_millis(137));
        }
        fleet.run_for(COLD);
        check_bound(&fleet, &format!("{entries} entries"));
    }
}

/// Guards against entries with outdated records of servers that have started anew.
#[test]
fn entries_with_outdated_records_send_few_calls() {
    for entries in ENTRIES {
        let mut fleet = busy_fleet(4, entries);
        replace_data_centre(&mut fleet, true, |entry| entry % 2 == 0);
        fleet.run_for(COLD);
        check_bound(&fleet, &format!("{entries} entries"));
    }
}

/// Guards against calls beyond the bound while entries come and go, so that others than before may send calls.
#[test]
fn the_bound_holds_while_positions_change() {
    for entries in ENTRIES {
        let mut fleet = busy_fleet(5, entries);
        replace_data_centre(&mut fleet, false, |_| true);
        for places in 1..12 {
            fleet.shift_positions(places);
            fleet.run_for(Duration::from_millis(150 * (1 + places as u64 % 5)));
        }
        check_bound(&fleet, &format!("{entries} entries"));
    }
}
