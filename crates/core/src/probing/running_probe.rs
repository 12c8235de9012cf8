//! A running probe.

use {
    crate::{ids::CallId, slots::NameHash},
    std::time::Instant,
};

/// A running probe.
#[derive(Clone, Debug)]
pub(super) struct RunningProbe {
    pub(super) service: NameHash,
    pub(super) server: NameHash,
    /// When this record of the server was created; it distinguishes the server from a later one of the same
    /// name.
    pub(super) known_since: Instant,
    pub(super) started_at: Instant,
    /// Number of own calls sent to the server when the probe was started.
    pub(super) sent_calls: u32,
    /// Calls that wait for the answer.
    pub(super) calls: Vec<CallId>,
}
