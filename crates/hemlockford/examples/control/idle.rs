//! Measures what the control plane costs while there are no calls.

use {
    crate::{
        results::Results,
        support::{group::InstanceGroup, machine, metrics::Metrics},
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Number of servers that announce themselves.
const SERVERS: usize = 36;
/// Time after which the start of the processes no longer affects the measurement.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// Measures the traffic between the instances and the processor time and memory of each instance.
pub fn measure(group: &InstanceGroup, duration: Duration, results: &mut Results) {
    let servers = group.start_servers(&["--servers", &SERVERS.to_string(), "--prefix", "idle"]);
    group.wait_for_servers(SERVERS);
    thread::sleep(STARTUP_TIME);
    let start = Instant::now();
    let before = read_usage(group);
    thread::sleep(duration);
    // The processor times are read first, because reading the metrics uses processor time itself.
    let processor_times: Vec<_> =
        group.instances.iter().map(|instance| machine::processor_time(instance.process.id())).collect();
    let seconds = start.elapsed().as_secs_f64();
    let after = read_usage(group);
    for (index, instance) in group.instances.iter().enumerate() {
        let used = processor_times[index].saturating_sub(before[index].1);
        results.add("idle", "processor share", &instance.name, used.as_secs_f64() / seconds * 100.0, "% of a core");
        for direction in ["sent", "received"] {
            let label = format!("direction=\"{direction}\"");
            let bytes = |metrics: &Metrics| metrics.sum("hemlockford_peer_bytes_total", &[&label]);
            let rate = (bytes(&after[index].0) - bytes(&before[index].0)) / seconds;
            results.add("idle", &format!("bytes {direction}"), &instance.name, rate, "bytes/s");
        }
        let resident = machine::resident_bytes(instance.process.id()) as f64 / 1e6;
        results.add("idle", "resident memory", &instance.name, resident, "MB");
    }
    drop(servers);
    // Until the leases of the killed servers expire, calls would still be sent to them.
    group.wait_until("no server is known", |group| {
        group.instances.iter().all(|instance| instance.status()["servers"].as_array().is_some_and(Vec::is_empty))
    });
}

fn read_usage(group: &InstanceGroup) -> Vec<(Metrics, Duration)> {
    let metrics: Vec<_> = group.instances.iter().map(|instance| Metrics::read(&instance.admin_address)).collect();
    let processor_times = group.instances.iter().map(|instance| machine::processor_time(instance.process.id()));
    metrics.into_iter().zip(processor_times).collect()
}
