//! Cost of control while there are no calls.

use {
    crate::{
        results::Results,
        support::{group::Group, machine, metrics::Metrics},
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Servers that announce themselves.
const SERVERS: usize = 36;
/// Time after which the start of the processes costs nothing any more.
const SETTLE: Duration = Duration::from_secs(2);

/// Measures the bytes between instances and the processor time of each.
pub fn measure(group: &Group, time: Duration, results: &mut Results) {
    let servers = group.servers(&["--servers", &SERVERS.to_string(), "--prefix", "idle"]);
    group.wait_servers(SERVERS);
    thread::sleep(SETTLE);
    let start = Instant::now();
    let before = read(group);
    thread::sleep(time);
    // Reading the counters costs processor time itself, so that the processor times are read first.
    let processor: Vec<_> = group.instances.iter().map(|one| machine::processor_time(one.process.id())).collect();
    let seconds = start.elapsed().as_secs_f64();
    let after = read(group);
    for (index, instance) in group.instances.iter().enumerate() {
        let used = processor[index].saturating_sub(before[index].1);
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
    // The leases of servers that were killed lapse; until then calls would be sent to them.
    group.wait("no server is known", |group| {
        group.instances.iter().all(|one| one.status()["servers"].as_array().is_some_and(Vec::is_empty))
    });
}

fn read(group: &Group) -> Vec<(Metrics, Duration)> {
    let metrics: Vec<_> = group.instances.iter().map(|instance| Metrics::read(&instance.admin)).collect();
    let processor = group.instances.iter().map(|instance| machine::processor_time(instance.process.id()));
    metrics.into_iter().zip(processor).collect()
}
