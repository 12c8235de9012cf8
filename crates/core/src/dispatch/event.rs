//! What the dispatcher is told.

use {
    super::{Call, FinishedAttempt, LoadReport, ServerView},
    crate::{
        config::Configuration,
        ids::{CallId, InstanceId, ServiceId},
        slots::SlotMessage,
    },
    std::{sync::Arc, time::Duration},
};

/// One thing that the dispatcher is told.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// A call has arrived.
    Arrive(Call),
    /// An attempt at a server has ended.
    AttemptFinished(FinishedAttempt),
    /// The caller left before a server was chosen.
    Cancel(CallId),
    /// The servers of a service.
    Servers(ServiceId, Vec<ServerView>),
    /// The live entries.
    Peers(Vec<InstanceId>),
    /// A message from another entry.
    PeerMessage {
        /// The other entry.
        from: InstanceId,
        /// What it says.
        message: SlotMessage,
    },
    /// The text to apply.
    Configure(Arc<Configuration>),
    /// A probe has ended.
    ProbeFinished {
        /// Number of the probe.
        probe: u64,
        /// Time from its begin to its end.
        latency: Duration,
        /// Load that the server reported.
        report: Option<LoadReport>,
        /// Whether the server answered in time.
        ok: bool,
    },
    /// Time has passed.
    Tick,
}
