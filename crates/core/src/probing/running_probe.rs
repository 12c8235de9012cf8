//! A probe that is under way.

use {
    crate::{ids::CallId, slots::NameHash},
    std::time::Instant,
};

/// A probe that is under way.
#[derive(Clone, Debug)]
pub(super) struct RunningProbe {
    pub(super) service: NameHash,
    pub(super) server: NameHash,
    /// When the record of the server became known, which tells it from a later server of the same name.
    pub(super) known_since: Instant,
    pub(super) begun: Instant,
    /// Own calls that had been sent to the server when the probe was begun.
    pub(super) sent: u32,
    /// Calls that wait for the answer.
    pub(super) calls: Vec<CallId>,
}
