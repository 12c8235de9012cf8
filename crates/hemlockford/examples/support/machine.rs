//! Resource usage of processes and of the machine, as the operating system reports it.

use std::{
    fs,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Returns the one-minute load average.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|load| load.parse().ok()).unwrap_or(f64::NAN)
}

/// Returns the processor time that the threads of a process have used.
///
/// This sums the scheduler's counts, which are in nanoseconds. The user and system times in `/proc/ID/stat` are sampled
/// at clock ticks. The timers of the process fire at the same ticks, so these times are up to 3 times too high.
pub fn processor_time(pid: u32) -> Duration {
    let threads = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let run_times = threads.filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(run_times.sum())
}

/// Returns the resident set size of a process in bytes.
pub fn resident_bytes(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}

/// Returns the wall-clock time in seconds since the Unix epoch, which distinguishes runs.
pub fn unix_time() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}
