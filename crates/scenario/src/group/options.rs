//! Settings of a simulated group.

use std::time::Duration;

/// Settings of a simulated group.
#[derive(Clone, Copy, Debug)]
pub struct GroupOptions {
    /// Target number of voters.
    pub voters: usize,
    /// Log entries between snapshots.
    pub snapshot_entries: usize,
    /// Bytes added to each command.
    pub padding: usize,
    /// Maximum random delay of a message in addition to the base latency.
    pub jitter: Duration,
    /// Percentage of messages lost.
    pub loss: u32,
    /// Whether `run_for` issues proposals and reads.
    pub is_busy: bool,
    /// Random seed.
    pub seed: u64,
}

impl Default for GroupOptions {
    fn default() -> Self {
        Self { voters: 3, snapshot_entries: 256, padding: 0, jitter: Duration::ZERO, loss: 0, is_busy: true, seed: 1 }
    }
}
