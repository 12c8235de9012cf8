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
    /// Running at a server, or at two.
    Running {
        /// The attempt, or the first of two.
        first: RunningAttempt,
        /// A second copy that runs at the same time.
        copy: Option<RunningAttempt>,
        /// What is due for a second copy.
        hedge: Option<HedgeTimer>,
    },
}

/// An attempt that is running.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningAttempt {
    /// The server.
    pub(super) server: NameHash,
    /// When the record of the server was created; it distinguishes the server from a later one of the
    /// same name.
    pub(super) since: Instant,
    /// Expected factor by which work takes longer than at nominal speed.
    pub(super) work_factor: f64,
    /// When it was sent.
    pub(super) sent_at: Instant,
    /// Whether it is a second copy.
    pub(super) is_copy: bool,
}

/// What is due for a second copy of a running call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HedgeTimer {
    /// Probes that show which server is good for a copy.
    Probe(Instant),
    /// The decision on the copy.
    Decide(Instant),
}

impl HedgeTimer {
    pub(super) fn at(self) -> Instant {
        match self {
            Self::Probe(at) | Self::Decide(at) => at,
        }
    }
}
