//! Writes to the storage of a replica.

use {
    super::{ConsensusAction, Entry, HardState, Snapshot},
    crate::ids::LogIndex,
    std::sync::Arc,
};

/// A write to the storage of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Write {
    /// Replace the hard state.
    HardState(HardState),
    /// Append entries, the first of which follows the last stored one.
    Append(Vec<Entry>),
    /// Remove the entries starting at this index.
    Truncate(LogIndex),
    /// Replace the snapshot and remove the entries that it covers, or the whole log if it does not contain the last
    /// covered entry with the same term.
    Snapshot(Arc<Snapshot>),
}

impl Write {
    /// The write and sequence number of a write action; `None` for other actions.
    ///
    /// ```
    /// use hemlockford_core::consensus::{ConsensusAction, Write};
    /// let action = ConsensusAction::Truncate { sequence: 7, from: 3 };
    /// assert_eq!(Write::from_action(&action), Some((7, Write::Truncate(3))));
    /// assert_eq!(Write::from_action(&ConsensusAction::Stopped), None);
    /// ```
    pub fn from_action(action: &ConsensusAction) -> Option<(u64, Self)> {
        Some(match action {
            ConsensusAction::SaveHardState { sequence, hard_state } => (*sequence, Self::HardState(hard_state.clone())),
            ConsensusAction::Append { sequence, entries } => (*sequence, Self::Append(entries.clone())),
            ConsensusAction::Truncate { sequence, from } => (*sequence, Self::Truncate(*from)),
            ConsensusAction::SaveSnapshot { sequence, snapshot } => (*sequence, Self::Snapshot(snapshot.clone())),
            _ => return None,
        })
    }
}
