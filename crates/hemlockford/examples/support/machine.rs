//! What the system says about processes and about the machine.

use std::{
    fs,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Returns the load average of the last minute.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|load| load.parse().ok()).unwrap_or(f64::NAN)
}

/// Returns the processor time that the threads of a process have used.
///
/// The scheduler's own counts are in nanoseconds. The user and system times of `/proc/ID/stat` are sampled at
/// clock ticks, which timers of the process coincide with, so that they show up to 3 times as much.
pub fn processor_time(id: u32) -> Duration {
    let threads = fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let used = threads.filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(used.sum())
}

/// Returns the resident memory of a process in bytes.
pub fn resident_bytes(id: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}

/// Returns the wall-clock time as seconds since the epoch, to tell runs apart.
pub fn seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
