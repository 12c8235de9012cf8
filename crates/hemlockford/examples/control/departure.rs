//! Measures the time between the departure of a server and its last new call.

use {
    crate::{results::Results, support::group::InstanceGroup},
    hemlockford_tools::{
        LoadOptions,
        load::{Arrivals, CustomerLoad},
    },
    std::{thread, time::Duration},
};

/// Time between two departures.
const DEPARTURE_INTERVAL: Duration = Duration::from_secs(1);
/// Duration of the load after the last departure; longer than the specified limit of 3 s for new calls.
const FINAL_LOAD_TIME: Duration = Duration::from_secs(4);
/// Calls per second for 10 departures: half of the capacity of the servers that remain after them.
const RATE_PER_10_DEPARTURES: f64 = 1_000.0;

/// Makes servers leave one after the other under load.
pub fn measure(group: &InstanceGroup, departures: usize, results: &mut Results) {
    let count = departures * 2;
    let servers = group.start_servers(&["--servers", &count.to_string(), "--service-time", "10ms"]);
    group.wait_for_servers(count);
    let options = LoadOptions {
        targets: group.caller_addresses(),
        customers: vec![CustomerLoad { name: None, rate: RATE_PER_10_DEPARTURES * departures as f64 / 10.0 }],
        arrivals: Arrivals::Poisson,
        duration: DEPARTURE_INTERVAL * departures as u32 + FINAL_LOAD_TIME,
        control: servers.control_address.parse().ok(),
        ..LoadOptions::default()
    };
    let load = thread::spawn(move || hemlockford_tools::load(options).expect("the load generator runs"));
    for server in 0..departures {
        thread::sleep(DEPARTURE_INTERVAL);
        servers.set_mode(&format!("catalogue-{server}"), "mode=leaving");
    }
    let summary = load.join().expect("the load generator does not panic");
    println!("load while servers left:\n{summary}");
    let (mut times, mut late_calls) = (Vec::new(), 0);
    for server in 0..departures {
        let counts = servers.server_counts(&format!("catalogue-{server}"));
        let time = |key: &str| counts[key].as_u64().unwrap_or_else(|| panic!("no count {key} in {counts}"));
        late_calls += time("started_after_leaving");
        times.push(Duration::from_millis(time("last_started_ms").saturating_sub(time("leaving_since_ms"))));
    }
    results.add_times("leave", "leaving to last new call", "all", times);
    results.add("leave", "calls started after leaving", "all", late_calls as f64, "calls");
    let lateness_ms = summary.lateness.value_at_quantile(0.99) as f64 / 1_000.0;
    results.add("leave", "calls started late by p99", "all", lateness_ms, "ms");
}
