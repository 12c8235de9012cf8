//! Acknowledgement of an answer of the leader.

use serde::{Deserialize, Serialize};

/// States which answer of a leader an entry received last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// Session of the leader's pool.
    pub session: u32,
    /// Number of the request that was answered.
    pub number: u64,
}
