//! The stage of a call on its way to a server.

use {crate::slots::NameHash, std::time::Instant};

/// The stage of a call on its way to a server.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// Waiting for credit of its customer.
    AwaitingCredit {
        /// Latest time of the admission.
        until: Instant,
    },
    /// Waiting for the answers to probes.
    Probing {
        /// Servers to choose from.
        candidates: Vec<NameHash>,
        /// Number of probes without an answer.
        pending_probes: usize,
        /// Number of probe rounds started.
        rounds: u32,
        /// Latest time of the choice.
        until: Instant,
    },
    /// Waiting in the queue for a server with room.
    Waiting {
        /// Latest time at which the call leaves the queue.
        until: Instant,
    },
    /// Passed on to another entry.
    Relayed {
        /// The other entry.
        entry: NameHash,
    },
    /// Running at a server.
    Running {
        /// The server.
        server: NameHash,
        /// When the record of the server was created; it distinguishes the server from a later one of the
        /// same name.
        since: Instant,
        /// Expected factor by which work takes longer than at nominal speed.
        work_factor: f64,
    },
}
