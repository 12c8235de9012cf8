//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall-clock time in nanoseconds, from which incarnations and seeds come.
pub(crate) fn wall_clock_ns() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64)
}
