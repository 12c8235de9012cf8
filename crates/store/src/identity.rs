//! Contents of the `identity` file.

use {
    hemlockford_core::ids::Incarnation,
    serde::{Deserialize, Serialize},
};

/// Incarnations that are saved in the data folder.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Identity {
    /// Incarnation of the folder, chosen when the folder is created.
    pub folder_incarnation: Incarnation,
    /// Incarnation of the process, increased at each start.
    pub process_incarnation: Incarnation,
}

impl Identity {
    /// Derives the identity of this start from the saved one, if any.
    pub fn next(saved: Option<Self>, wall_clock_ns: u64) -> Self {
        match saved {
            Some(Self { folder_incarnation, process_incarnation }) => {
                Self { folder_incarnation, process_incarnation: wall_clock_ns.max(process_incarnation + 1) }
            }
            None => Self { folder_incarnation: wall_clock_ns, process_incarnation: wall_clock_ns },
        }
    }
}
