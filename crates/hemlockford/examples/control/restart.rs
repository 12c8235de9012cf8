//! Restart time and memory after many changes.

use {
    crate::{
        results::Results,
        support::{group::Group, machine},
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time between two looks at an instance that starts; the error of the time measured.
const POLL: Duration = Duration::from_millis(2);
/// Time between two restarts, in which the others notice that the instance is back.
const PAUSE: Duration = Duration::from_secs(3);
/// A restart that takes longer ends the program; there is no stated target.
const LIMIT: Duration = Duration::from_secs(30);

/// Kills and restarts a control replica, which may lead, and an instance without a data folder.
pub fn measure(group: &mut Group, restarts: usize, results: &mut Results) {
    memory(group, "resident memory after changes", results);
    let last = group.instances.len() - 1;
    for (index, role) in [(0, "replica"), (last, "no replica")] {
        let mut times = Vec::new();
        for _ in 0..restarts {
            let instance = &mut group.instances[index];
            instance.process.kill();
            let start = Instant::now();
            instance.restart();
            while !(instance.number() == group.number && instance.is_ready()) {
                assert!(start.elapsed() < LIMIT, "the restarted instance is not ready");
                thread::sleep(POLL);
            }
            times.push(start.elapsed());
            thread::sleep(PAUSE);
        }
        let name = group.instances[index].name.clone();
        results.add_times("restart", &format!("start to ready and in step ({role})"), &name, times);
    }
    memory(group, "resident memory after restarts", results);
}

fn memory(group: &Group, figure: &str, results: &mut Results) {
    for instance in &group.instances {
        let resident = machine::resident_bytes(instance.process.id()) as f64 / 1e6;
        results.add("restart", figure, &instance.name, resident, "MB");
    }
}
