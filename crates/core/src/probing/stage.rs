//! Where a call is on its way to a server.

use {crate::slots::NameHash, std::time::Instant};

/// Where a call is on its way to a server.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// Waits for the answers to probes.
    Probing {
        /// Servers among which the choice is made.
        candidates: Vec<NameHash>,
        /// Probes that are still pending_probes.
        pending_probes: usize,
        /// Rounds of probes that were begun.
        rounds: u32,
        /// When the choice is made at the latest.
        until: Instant,
    },
    /// Waits in the queue until a server has room.
    Waiting {
        /// When the call leaves the queue at the latest.
        until: Instant,
    },
    /// Runs at a server.
    Running {
        /// The server.
        server: NameHash,
        /// When its record became known, which tells it from a later server of the same name.
        since: Instant,
        /// Factor on the usual work that was expected there.
        work_factor: f64,
    },
}
