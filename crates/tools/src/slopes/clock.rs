//! Processor time, memory and repetition.

use {
    hemlockford_core::errors::{Result, unavailable},
    std::{fs, time::Instant},
};

/// Bytes of a page of memory on the usual systems; the kernel reports resident memory in pages.
const PAGE_BYTES: f64 = 4_096.0;

/// Processor time that a measurement takes at least. The kernel brings its count up to date each few
/// milliseconds, so that a shorter one would be wrong by more than a few percent.
pub(super) const ENOUGH: f64 = 0.15;

/// Returns the processor time of this thread, in seconds. Time in which other processes run is not counted,
/// so that a busy machine changes the result little.
pub(super) fn processor_time() -> Result<f64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split_whitespace().next().and_then(|word| word.parse::<f64>().ok());
    nanoseconds.map(|time| time / 1e9).ok_or_else(|| unavailable("the processor time of a thread cannot be read"))
}

/// Returns the resident memory of this process, in bytes.
pub(super) fn resident() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse::<f64>().ok());
    pages.map(|pages| pages * PAGE_BYTES).ok_or_else(|| unavailable("the resident memory cannot be read"))
}

/// Returns the least and the median time of many short runs, in seconds. The least is what the code takes
/// when nothing else disturbs it.
pub(super) fn repeat(times: usize, mut run: impl FnMut()) -> (f64, f64) {
    let mut taken: Vec<f64> = (0..times.max(1))
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed().as_secs_f64()
        })
        .collect();
    taken.sort_by(f64::total_cmp);
    (taken[0], taken[taken.len() / 2])
}
