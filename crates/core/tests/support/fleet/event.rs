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
    Retry { entry: usize, call: CallId, record: Record },
    /// The deadline of a call.
    Deadline { call: CallId },
    /// A request is at a server.
    RequestArrived { entry: usize, call: CallId, server: usize, work: f64 },
    /// A call at a server ends, unless something has changed since.
    CallDone { server: usize, version: u64 },
    /// An answer is at its entry.
    AnswerArrived { entry: usize, call: CallId, server: usize, result: AttemptResult, report: Option<LoadReport> },
    /// A probe is at a server.
    ProbeArrived { entry: usize, probe: u64, server: usize, way: f64 },
    /// The answer to a probe is at its entry.
    ProbeAnswered { entry: usize, probe: u64, report: Option<LoadReport> },
    /// The pace of a server is drawn anew.
    SpeedChange { server: usize },
    /// An entry asked to be woken.
    Wake { entry: usize },
    /// A server leaves and comes back.
    Restart,
}
