//! What the data folder held at start.

use {
    super::{Entry, HardState, Snapshot},
    crate::ids::Incarnation,
    std::sync::Arc,
};

/// What the data folder held at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Incarnation of the folder: durable before consensus starts, the same over restarts, and higher
    /// than before when the folder was lost.
    pub incarnation: Incarnation,
    /// The last vote saved.
    pub hard_state: HardState,
    /// The last snapshot saved.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}
