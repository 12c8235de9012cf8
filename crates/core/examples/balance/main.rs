//! Compares the balancing policies in virtual time: 6 entries, 20 servers, exponentially distributed service
//! times with a mean of 10 ms, and 1 ms between entries. Prints CSV.

#[path = "../../tests/support/mod.rs"]
mod support;

use {
    hemlockford_core::outcome::Outcome,
    std::time::Duration,
    support::{Cluster, Traffic},
};

const SERVERS: usize = 20;
const ENTRIES: usize = 6;
const WORK: Duration = Duration::from_millis(10);
/// Time before the first call, in which the coordinator starts.
const START: Duration = Duration::from_secs(1);
const WARM_UP: Duration = Duration::from_secs(4);
const SEED: u64 = 7;

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let seconds: u64 = arguments.get(1).and_then(|text| text.parse().ok()).unwrap_or(20);
    let only = arguments.get(2).cloned().unwrap_or_default();
    println!(
        "condition,slots,load,policy,p50_ms,p99_ms,p999_ms,goodput,quiet_p50_ms,quiet_p99_ms,quiet_goodput,\
         messages_per_s_entry,bytes_per_s_entry,at_server_max"
    );
    for condition in ["quiet", "straggler", "noisy-all", "noisy-one"] {
        for slots in [2, 4] {
            for load in [0.6, 0.85, 1.0, 1.5] {
                for policy in ["ideal", "permits", "least-in-flight", "round-robin", "random"] {
                    let name = format!("{condition}-{slots}-{load}-{policy}");
                    let is_overload_case = condition.starts_with("noisy") && load != 1.5;
                    if name.contains(&only) && !is_overload_case {
                        measure(condition, slots, load, policy, Duration::from_secs(seconds));
                    }
                }
            }
        }
    }
}

fn measure(condition: &str, slots: usize, load: f64, policy: &str, time: Duration) {
    let is_ideal = policy == "ideal";
    let entries = if is_ideal { 1 } else { ENTRIES };
    let setting = if is_ideal { "permits" } else { policy };
    let config = format!("[change]\nnumber = 1\n[service catalogue]\ndeadline = 800ms\npolicy = {setting}\n");
    let mut cluster = Cluster::new(SEED, entries, SERVERS, slots, &config);
    let capacity = (SERVERS * slots) as f64 / WORK.as_secs_f64();
    if condition == "straggler" {
        cluster.servers[0].slowness = 10.0;
    }
    cluster.run_for(START);
    let all: Vec<_> = (0..entries).collect();
    let stream = |customer: &str, rate: f64, entries: &[usize]| Traffic {
        customer: customer.into(),
        rate,
        entries: entries.to_vec(),
        work: WORK,
        upload: false,
        exponential: true,
    };
    // Six customers share the load. With a noisy neighbour, five of them use half of their share each, and
    // the sixth one ten times its share.
    match condition {
        "noisy-all" | "noisy-one" => {
            let share = capacity / 6.0;
            let noisy = if condition == "noisy-one" { &all[..1] } else { &all[..] };
            cluster.add_traffic(stream("noisy", share * 10.0, noisy));
            for number in 0..5 {
                cluster.add_traffic(stream(&format!("quiet-{number}"), share * 0.5, &all));
            }
        }
        _ => (0..6).for_each(|number| {
            cluster.add_traffic(stream(&format!("quiet-{number}"), capacity * load / 6.0, &all));
        }),
    }
    cluster.run_for(WARM_UP);
    let begin = cluster.now;
    cluster.calls.retain(|_, record| record.ended_at.is_none());
    cluster.servers.iter_mut().for_each(|server| server.max_calls = 0);
    let (messages, bytes) = (cluster.message_count, cluster.message_bytes);
    cluster.run_for(time);
    let (messages, bytes) = (cluster.message_count - messages, cluster.message_bytes - bytes);
    let calls: Vec<_> = cluster.calls.values().filter(|record| record.arrived_at >= begin).collect();
    let latencies = |quiet: bool| {
        let answered = calls.iter().filter(|record| record.outcome == Some(Outcome::Answered));
        let chosen = answered.filter(|record| !quiet || &*record.customer != "noisy");
        let mut times: Vec<_> = chosen
            .map(|record| (record.ended_at.unwrap_or_default() - record.arrived_at).as_secs_f64() * 1e3)
            .collect();
        times.sort_by(f64::total_cmp);
        times
    };
    let latency_at = |times: &[f64], percentile: f64| {
        times.get((times.len() as f64 * percentile) as usize).copied().unwrap_or(f64::NAN)
    };
    let answered = cluster.answered_count() as f64 / time.as_secs_f64() / capacity;
    let (all_latencies, quiet_latencies) = (latencies(false), latencies(true));
    let quiet_calls = calls.iter().filter(|record| &*record.customer != "noisy" && record.ended_at.is_some()).count();
    let per_entry = time.as_secs_f64() * entries as f64;
    let max_calls = cluster.servers.iter().map(|server| server.max_calls).max().unwrap_or_default();
    println!(
        "{condition},{slots},{load},{policy},{:.1},{:.1},{:.1},{:.3},{:.1},{:.1},{:.3},{:.0},{:.0},{max_calls}",
        latency_at(&all_latencies, 0.5),
        latency_at(&all_latencies, 0.99),
        latency_at(&all_latencies, 0.999),
        answered,
        latency_at(&quiet_latencies, 0.5),
        latency_at(&quiet_latencies, 0.99),
        quiet_latencies.len() as f64 / quiet_calls.max(1) as f64,
        messages as f64 / per_entry,
        bytes as f64 / per_entry,
    );
}
