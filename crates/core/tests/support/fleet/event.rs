//! What happens in the fleet.

use {
    super::simulation::Record,
    hemlockford_core::{
        dispatch::{AttemptResult, LoadReport},
        ids::CallId,
    },
};

/// What happens in the fleet.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A client calls.
    Call { workload: usize },
    /// A refused caller comes back.
    Return { entry: usize, call: CallId, record: Record },
    /// The deadline of a call.
    Cut { call: CallId },
    /// A request is at a server.
    Reach { entry: usize, call: CallId, server: usize, work: f64 },
    /// A call at a server ends, unless something has changed since.
    Done { server: usize, version: u64 },
    /// An answer is at its entry.
    Answer { entry: usize, call: CallId, server: usize, result: AttemptResult, report: Option<LoadReport> },
    /// A probe is at a server.
    ProbeReach { entry: usize, probe: u64, server: usize, way: f64 },
    /// The answer to a probe is at its entry.
    Probed { entry: usize, probe: u64, report: Option<LoadReport> },
    /// The pace of a server is drawn anew.
    Redraw { server: usize },
    /// An entry asked to be woken.
    Wake { entry: usize },
    /// A server leaves and comes back.
    Restart,
}
