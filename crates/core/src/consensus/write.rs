//! Writes of a replica.

use {
    super::{ConsensusAction, Entry, HardState, Snapshot},
    crate::ids::LogIndex,
    std::sync::Arc,
};

/// One write of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Write {
    /// Replace the vote.
    HardState(HardState),
    /// Append entries, the first of which follows the last stored one.
    Append(Vec<Entry>),
    /// Remove the entries from this one on.
    Truncate(LogIndex),
    /// Replace the snapshot and remove the entries that it covers; the whole log, unless it holds the
    /// last covered entry with the same term.
    Snapshot(Arc<Snapshot>),
}

impl Write {
    /// The write that an action asks for, with its sequence.
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
