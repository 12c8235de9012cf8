//! Settings of a search.

use {
    super::Bounds,
    crate::fakes::{LostWrites, Tampering},
};

/// A rule that is broken on purpose, to show that the search notices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Defect {
    /// None.
    #[default]
    None,
    /// Disks report writes as durable that a crash then drops.
    Disk(LostWrites),
    /// The network breaks a rule.
    Net(Tampering),
    /// A new folder has the incarnation of the one that was lost.
    Incarnation,
    /// A change is accepted whatever content holds its number.
    Number,
    /// A leader answers a read without a heartbeat round that a majority has confirmed.
    Read,
    /// The entry that removes a voter reaches that voter before it is committed.
    Removal,
    /// One change replaces an incarnation that was lost by the new one.
    OneChange,
    /// The replacement may found a group, and its seeds name only itself.
    Formation,
}

/// Whom the replacement is told of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Seeds {
    /// The founders.
    #[default]
    Founders,
    /// Replicas that are gone.
    Gone,
}

/// State that a search begins with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Start {
    /// A group with a leader, and a replacement that has its log.
    #[default]
    Settled,
    /// Empty folders.
    Empty,
    /// The same as `Settled` with messages to one voter held back.
    Silent,
    /// A group with a leader that has not heard from one voter yet. That voter has just lost its folder, and a vote of
    /// the lost folder for the other voter, in a later term, is held back.
    LateVote,
}

/// Settings of a search.
#[derive(Clone, Copy, Debug)]
pub struct ModelOptions {
    /// State that the search begins with.
    pub start: Start,
    /// Voters that the group aims at.
    pub voters: usize,
    /// Entries after the last snapshot that cause a new one.
    pub snapshot_entries: usize,
    /// Whom the replacement is told of.
    pub seeds: Seeds,
    /// Rule broken on purpose.
    pub defect: Defect,
    /// Whether a leader must be elected wherever one process is down and nothing else is wrong.
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
