//! Position of this entry in its fleet.

use crate::slots::NameHash;

/// Position of this entry among the live entries of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FleetPosition {
    /// Number of live entries, at least 1.
    pub(super) entries: usize,
    /// Index of this entry among them.
    pub(super) index: usize,
    /// Whether a replica has stated the index.
    pub(super) is_known: bool,
}

impl FleetPosition {
    /// Returns the index of this entry in an order that differs between servers.
    pub(super) fn rotated_by(self, server: NameHash) -> usize {
        (self.index + (server % self.entries as NameHash) as usize) % self.entries
    }
}
