//! Wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in nanoseconds, which is used for incarnations and random seeds.
pub(crate) fn wall_clock_ns() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64)
}
