//! What one instance tells another about a suspected request.

use {
    super::{Crash, RequestFingerprint},
    serde::{Deserialize, Serialize},
};

/// What one instance tells another about a suspected request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub request: RequestFingerprint,
    /// Servers that ended while they ran it, in the order of their runs.
    pub crashes: Vec<Crash>,
    /// Time since the last of them became known, in milliseconds.
    pub age_ms: u32,
    /// Time from the first of them to the last, in milliseconds.
    pub span_ms: u32,
}
