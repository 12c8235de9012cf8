//! Incarnations kept in the folder.

use {
    hemlockford_core::ids::Incarnation,
    serde::{Deserialize, Serialize},
};

/// Incarnations kept in the folder.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Identity {
    /// Incarnation of the folder, chosen once.
    pub folder: Incarnation,
    /// Incarnation of the process, raised at each start.
    pub process: Incarnation,
}

impl Identity {
    /// The identity for the next start, given the wall-clock time in nanoseconds.
    pub fn next(held: Option<Self>, clock: u64) -> Self {
        match held {
            Some(Self { folder, process }) => Self { folder, process: clock.max(process + 1) },
            None => Self { folder: clock, process: clock },
        }
    }
}
