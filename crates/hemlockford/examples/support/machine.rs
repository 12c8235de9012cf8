//! What the system says about processes and about the machine.

use std::{
    fs,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Clock ticks a second of the processor times in `/proc`; the kernel fixes this value for programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the load average of the last minute.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|load| load.parse().ok()).unwrap_or(f64::NAN)
}

/// Returns the processor time that a process has used in user and system mode.
pub fn processor_time(id: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The name of the process is in parentheses and may contain spaces.
    let fields = text.rsplit_once(") ").map_or("", |(_, fields)| fields);
    let ticks: f64 = fields.split(' ').skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
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
