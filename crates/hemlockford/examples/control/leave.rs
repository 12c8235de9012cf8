//! Time from a server's leaving to its last new call.

use {
    crate::{results::Results, support::group::Group},
    hemlockford_tools::{
        LoadOptions,
        load::{Arrivals, CustomerLoad},
    },
    std::{thread, time::Duration},
};

/// Time between two servers that leave.
const PAUSE: Duration = Duration::from_secs(1);
/// Time of load after the last one left; longer than the stated 3 s.
const AFTER: Duration = Duration::from_secs(4);
/// Half of the capacity of the servers that remain when half of them have left.
const RATE: f64 = 1_000.0;

/// Lets servers leave one after the other under load.
pub fn measure(group: &Group, leaves: usize, results: &mut Results) {
    let count = leaves * 2;
    let servers = group.servers(&["--servers", &count.to_string(), "--service-time", "10ms"]);
    group.wait_servers(count);
    let options = LoadOptions {
        targets: group.callers(),
        customers: vec![CustomerLoad { name: None, rate: RATE * leaves as f64 / 10.0 }],
        arrivals: Arrivals::Poisson,
        duration: PAUSE * leaves as u32 + AFTER,
        control: servers.control.parse().ok(),
        ..LoadOptions::default()
    };
    let load = thread::spawn(move || hemlockford_tools::load(options).expect("the load runs"));
    for server in 0..leaves {
        thread::sleep(PAUSE);
        servers.switch(&format!("catalogue-{server}"), "mode=leaving");
    }
    let summary = load.join().expect("the load ends");
    println!("load while servers left:\n{summary}");
    let (mut times, mut started) = (Vec::new(), 0);
    for server in 0..leaves {
        let counts = servers.server(&format!("catalogue-{server}"));
        let time = |key: &str| counts[key].as_u64().unwrap_or_else(|| panic!("no {key}: {counts}"));
        started += time("started_after_leaving");
        times.push(Duration::from_millis(time("last_started_ms").saturating_sub(time("leaving_since_ms"))));
    }
    results.add_times("leave", "leaving to last new call", "all", times);
    results.add("leave", "calls started after leaving", "all", started as f64, "calls");
    let late = summary.lateness.value_at_quantile(0.99) as f64 / 1_000.0;
    results.add("leave", "calls started late by p99", "all", late, "ms");
}
