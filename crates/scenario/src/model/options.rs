//! Settings of a state space search.

use {
    super::Bounds,
    crate::fakes::{LostWrites, Tampering},
};

/// Defect injected to show that the search detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    #[default]
    None,
    /// Disks report writes as durable but lose them in a crash.
    Disk(LostWrites),
    /// The network tampers with messages.
    Net(Tampering),
    /// A new data folder reuses the incarnation of the lost one.
    Incarnation,
    /// A change is accepted even if its number is already taken by another content.
    Number,
    /// A leader answers a read without a heartbeat round confirmed by a majority.
    Read,
    /// The entry that removes a voter is sent to that voter before it is committed.
    Removal,
    /// A lost incarnation is replaced by the new one in a single membership change.
    OneChange,
    /// The replacement may form a group, and its only seed is itself.
    Formation,
}

/// Seed replicas of the replacement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Seeds {
    /// The founders.
    #[default]
    Founders,
    /// Replicas that no longer exist.
    Gone,
}

/// Initial state of a search.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Start {
    /// A group with a leader, and a replacement that has caught up with its log.
    #[default]
    Settled,
    /// Replicas with empty data folders.
    Empty,
    /// Like `Settled`, but messages to one voter are delayed.
    Silent,
    /// A group with a leader that has not heard from one voter yet. That voter has just lost its data folder, and a
    /// vote that it granted before to the other voter, in a later term, is still delayed.
    LateVote,
}

/// Settings of a state space search.
#[derive(Clone, Copy, Debug)]
pub struct ModelOptions {
    /// Initial state.
    pub start: Start,
    /// Target number of voters.
    pub voters: usize,
    /// Log entries between snapshots.
    pub snapshot_entries: usize,
    /// Seed replicas of the replacement.
    pub seeds: Seeds,
    /// Injected defect.
    pub defect: Defect,
    /// Whether to check that a leader is elected in every state in which one process is down and there is no other
    /// fault.
    pub check_progress: bool,
    /// Bounds of the search.
    pub bounds: Bounds,
}

impl Default for ModelOptions {
    fn default() -> Self {
        Self {
            start: Start::default(),
            voters: 3,
            snapshot_entries: 256,
            seeds: Seeds::default(),
            defect: Defect::default(),
            check_progress: false,
            bounds: Bounds::default(),
        }
    }
}
