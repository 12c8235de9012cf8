//! Measurement of processor time, memory and run time.

use {
    hemlockford_core::errors::{Result, unavailable},
    std::{fs, time::Instant},
};

/// Common size of a memory page; the kernel reports resident memory in pages.
const PAGE_BYTES: f64 = 4_096.0;

/// Minimum processor time of a measurement, in seconds. The kernel updates its counter every few milliseconds, so a
/// shorter measurement would be off by more than a few percent.
pub(super) const MIN_PROCESSOR_TIME: f64 = 0.15;

/// Returns the processor time of this thread, in seconds. It excludes the time in which other processes run, so a busy
/// machine has little effect on the result.
pub(super) fn processor_time() -> Result<f64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split_whitespace().next().and_then(|word| word.parse::<f64>().ok());
    nanoseconds
        .map(|time| time / 1e9)
        .ok_or_else(|| unavailable("cannot read the processor time of the thread from /proc/thread-self/schedstat"))
}

/// Returns the resident memory of this process, in bytes.
pub(super) fn resident_memory() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse::<f64>().ok());
    pages
        .map(|pages| pages * PAGE_BYTES)
        .ok_or_else(|| unavailable("cannot read the resident memory from /proc/self/statm"))
}

/// Runs a function repeatedly and returns the minimum and the median time, in seconds. The minimum is the time without
/// interference from other load.
pub(super) fn time_runs(count: usize, mut run: impl FnMut()) -> (f64, f64) {
    let mut times: Vec<f64> = (0..count.max(1))
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed().as_secs_f64()
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (times[0], times[times.len() / 2])
}
