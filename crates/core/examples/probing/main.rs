//! Simulates the traffic of Brno in virtual time and prints the share of calls answered within the objective
//! for each balancing method, as CSV.
//!
//! Arguments: seconds of traffic (default: one day), part of the name of the lines to run, `grown` or
//! `today`, and `start` if a call keeps the server speed at its start until its end.
//!
//! With `overload` it simulates days with bursts and lost servers instead, and prints the mean value of the
//! calls in each situation; a further number is the first seed.

#[path = "../../tests/support/fleet/mod.rs"]
#[allow(dead_code, unused_imports, unreachable_pub)]
mod fleet;

mod overload;

use {
    fleet::{Fleet, FleetOptions, Workload},
    hemlockford_core::config::BalancingPolicy,
    std::time::{Duration, Instant},
};

const DAY_SECONDS: u64 = 86_400;
const LOADS: [f64; 2] = [1.0, 1.6];
const WARM_UP: Duration = Duration::from_secs(5);
/// Interval between restarts of some server. Each of 39 servers restarts about once per hour.
const RESTART_INTERVAL: Duration = Duration::from_secs(90);

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let seconds: u64 = arguments.first().and_then(|text| text.parse().ok()).unwrap_or(DAY_SECONDS);
    let only = arguments.get(1).cloned().unwrap_or_default();
    let is_grown = arguments.iter().any(|text| text == "grown");
    let fixed_speed_per_call = arguments.iter().any(|text| text == "start");
    if only == "overload" {
        let seed = arguments.get(2).and_then(|text| text.parse().ok()).unwrap_or(1);
        return overload::compare(seed, seconds);
    }
    println!(
        "policy,load,service,calls,in_time,late,rejected,unknown,p50_ms,p99_ms,worth,probes_per_call,\
         connections_per_call,remote,sheds,extra,wakes_per_call"
    );
    for load in LOADS {
        for policy in [None, Some(BalancingPolicy::LeastInFlight), Some(BalancingPolicy::Random)] {
            let name = policy.map_or("probing".into(), |policy| policy.to_string());
            if !format!("{name}-{load}").contains(only.trim_matches('.')) {
                continue;
            }
            let workloads = if is_grown { Workload::brno_grown(load) } else { Workload::brno(load) };
            let entries = if is_grown { 44 } else { 7 };
            let restart_interval = Some(RESTART_INTERVAL);
            let options = FleetOptions {
                policy,
                workloads,
                entries,
                fixed_speed_per_call,
                restart_interval,
                ..FleetOptions::default()
            };
            measure(&name, load, options, Duration::from_secs(seconds));
        }
    }
}

fn measure(name: &str, load: f64, options: FleetOptions, time: Duration) {
    let mut fleet = Fleet::new(options);
    let begin = Instant::now();
    fleet.run_for(WARM_UP);
    fleet.stats_by_service.iter_mut().for_each(|stats| *stats = fleet::CallStats::default());
    fleet.run_for(time);
    let names = fleet.options.workloads.iter().map(|workload| workload.service).chain(["all"]);
    let all_stats = fleet.stats_by_service.iter().cloned().chain([fleet.total()]);
    for (service, stats) in names.zip(all_stats) {
        let per_call = |count: u64| count as f64 / stats.calls as f64;
        println!(
            "{name},{load},{service},{},{:.4},{:.4},{:.4},{:.4},{:.0},{:.0},{:.4},{:.2},{:.2},{:.3},{:.4},{:.4},{:.2}",
            stats.calls,
            stats.in_time_share(),
            per_call(stats.late),
            per_call(stats.rejected),
            per_call(stats.unknown),
            stats.percentile(0.5),
            stats.percentile(0.99),
            stats.mean_value(),
            per_call(stats.probes),
            per_call(stats.connections),
            per_call(stats.remote + stats.remote_uploads),
            per_call(stats.sheds),
            per_call(stats.attempts.saturating_sub(stats.calls)),
            per_call(stats.wakes),
        );
    }
    eprintln!("{:.1} s", begin.elapsed().as_secs_f64());
}
