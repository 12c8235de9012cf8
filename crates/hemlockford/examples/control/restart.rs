//! Measures restart time and memory after many changes.

use {
    crate::{
        results::Results,
        support::{group::InstanceGroup, machine},
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Interval between polls of a starting instance, which is also the error of the measured time.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two restarts, in which the other instances notice that the instance is back.
const RESTART_INTERVAL: Duration = Duration::from_secs(3);
/// Time limit of a restart, after which the program fails; no target is specified for it.
const RESTART_LIMIT: Duration = Duration::from_secs(30);

/// Kills and restarts a control replica, which may be the leader, and an instance without a data folder.
pub fn measure(group: &mut InstanceGroup, restarts: usize, results: &mut Results) {
    record_memory(group, "resident memory after changes", results);
    let last = group.instances.len() - 1;
    for (index, role) in [(0, "replica"), (last, "no replica")] {
        let mut times = Vec::new();
        for _ in 0..restarts {
            let instance = &mut group.instances[index];
            instance.process.kill();
            let start = Instant::now();
            instance.restart();
            while !(instance.change_number() == group.change_number && instance.is_ready()) {
                assert!(
                    start.elapsed() < RESTART_LIMIT,
                    "the restarted instance is not ready within {RESTART_LIMIT:?}"
                );
                thread::sleep(POLL_INTERVAL);
            }
            times.push(start.elapsed());
            thread::sleep(RESTART_INTERVAL);
        }
        let name = group.instances[index].name.clone();
        results.add_times("restart", &format!("start to ready and in step ({role})"), &name, times);
    }
    record_memory(group, "resident memory after restarts", results);
}

fn record_memory(group: &InstanceGroup, figure: &str, results: &mut Results) {
    for instance in &group.instances {
        let resident = machine::resident_bytes(instance.process.id()) as f64 / 1e6;
        results.add("restart", figure, &instance.name, resident, "MB");
    }
}
