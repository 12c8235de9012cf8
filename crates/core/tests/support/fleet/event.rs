//! Events of the simulation.

use {
    super::simulation::Record,
    hemlockford_core::{
        dispatch::{AttemptResult, LoadReport},
        ids::CallId,
    },
    std::time::Duration,
};

/// Events of the simulation.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller makes a call.
    Call { workload: usize },
    /// A rejected caller tries again.
    Retry { entry: usize, call: CallId, record: Record },
    /// The deadline of a call has passed.
    Deadline { call: CallId },
    /// A request has arrived at a server.
    RequestArrived { entry: usize, call: CallId, server: usize, work: f64 },
    /// A call at a server has ended, unless the server has changed since.
    CallDone { server: usize, version: u64 },
    /// An answer has arrived at its entry.
    AnswerArrived { entry: usize, call: CallId, server: usize, result: AttemptResult, report: Option<LoadReport> },
    /// A probe has arrived at a server.
    ProbeArrived { entry: usize, probe: u64, server: usize, delay: f64 },
    /// The answer to a probe has arrived at its entry.
    ProbeAnswered { entry: usize, probe: u64, server: usize, report: Option<LoadReport>, warm_up: Option<Duration> },
    /// A check of the path to a server has ended.
    PathChecked { entry: usize, server: usize, is_open: bool },
    /// A call that another entry has passed on arrives.
    Relayed { from: usize, to: usize, call: CallId, attempts: u32 },
    /// The result of a call that was passed on arrives at the entry that passed it on.
    RelayEnded { from: usize, to: usize, call: CallId, result: AttemptResult },
    /// The speed of a server changes.
    SpeedChange { server: usize },
    /// A timer of an entry has expired.
    Wake { entry: usize },
    /// A server drains or is ready again.
    Restart,
}
