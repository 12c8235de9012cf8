//! Events that the dispatcher processes.

use {
    super::{Call, FinishedAttempt, LoadReport, ServerView},
    crate::{
        config::Configuration,
        ids::{CallId, InstanceId, ServiceId},
        slots::SlotMessage,
    },
    std::{sync::Arc, time::Duration},
};

/// One event for the dispatcher.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// A call has arrived.
    Arrive(Call),
    /// An attempt at a server has ended.
    AttemptFinished(FinishedAttempt),
    /// The caller disconnected before a server was chosen.
    Cancel(CallId),
    /// The servers of a service have changed; contains all of them.
    Servers(ServiceId, Vec<ServerView>),
    /// The live entries have changed; contains all of them.
    Peers(Vec<InstanceId>),
    /// A message from another entry.
    PeerMessage {
        /// Entry that sent the message.
        from: InstanceId,
        /// The message.
        message: SlotMessage,
    },
    /// The configuration to apply.
    Configure(Arc<Configuration>),
    /// A probe has ended.
    ProbeFinished {
        /// Identifier of the probe.
        probe: u64,
        /// Time from its start to its end.
        latency: Duration,
        /// Load that the server reported.
        report: Option<LoadReport>,
        /// Whether the server answered in time.
        ok: bool,
    },
    /// Time has passed.
    Tick,
}
