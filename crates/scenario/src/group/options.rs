//! Settings of a group.

use std::time::Duration;

/// Settings of a group.
#[derive(Clone, Copy, Debug)]
pub struct GroupOptions {
    /// Voters that the group aims at.
    pub voters: usize,
    /// Entries between two snapshots.
    pub snapshot_entries: usize,
    /// Bytes added to each command.
    pub padding: usize,
    /// Longest delay of a message beyond the usual one.
    pub jitter: Duration,
    /// Messages lost, in percent.
    pub loss: u32,
    /// Whether proposals and reads are made while time passes.
    pub is_busy: bool,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for GroupOptions {
    fn default() -> Self {
        Self { voters: 3, snapshot_entries: 256, padding: 0, jitter: Duration::ZERO, loss: 0, is_busy: true, seed: 1 }
    }
}
