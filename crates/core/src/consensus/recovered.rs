//! State recovered from the data folder at startup.

use {
    super::{Entry, HardState, Snapshot},
    crate::ids::Incarnation,
    std::sync::Arc,
};

/// State recovered from the data folder at startup.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Incarnation of the data folder. It is durable before consensus starts, survives restarts, and is higher than
    /// that of a lost folder which this one replaces.
    pub incarnation: Incarnation,
    /// The last saved hard state.
    pub hard_state: HardState,
    /// The last saved snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}
