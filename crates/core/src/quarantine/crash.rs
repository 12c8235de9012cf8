//! The end of a server while it ran a request.

use {
    crate::slots::name_hash,
    serde::{Deserialize, Serialize},
};

/// Identifies one run of a server: its id and incarnation.
pub type RunId = u64;

/// Returns the identifier of a run of a server.
///
/// ```
/// use hemlockford_core::quarantine::run_id;
/// assert_ne!(run_id("catalogue-1", 7), run_id("catalogue-1", 8));
/// ```
pub fn run_id(server: &str, incarnation: u64) -> RunId {
    name_hash(server) ^ incarnation.rotate_left(u64::BITS / 3)
}

/// The end of a server while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The run of the server that ended.
    pub run: RunId,
    /// Whether the request was answered by a server afterwards, so that it was not the cause.
    pub is_refuted: bool,
}
