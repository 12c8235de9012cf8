//! Events that the dispatcher processes.

use {
    super::{Call, FinishedAttempt, LoadReport, RelayAddress, ServerNotice, ServerView},
    crate::{
        config::Configuration,
        ids::{CallId, InstanceId, ServerId, ServiceId},
        quarantine::{RequestFingerprint, SuspectRecord},
        quota::CreditResponse,
        slots::SlotMessage,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
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
    /// The index of this entry among the live entries of a fleet, in an order on which all of them agree.
    Position(usize),
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
        /// How long the server stays cold, if it stated that.
        warm_up: Option<Duration>,
        /// Whether the server answered in time.
        ok: bool,
    },
    /// A server asked in an answer for no further calls.
    Notice {
        /// The server.
        server: ServerId,
        /// Address from which it answered.
        address: SocketAddr,
        /// What it asked for.
        notice: ServerNotice,
    },
    /// A new connection to a server was opened for a call, or could not be opened.
    Connection {
        /// The server.
        server: ServerId,
        /// Whether it is open.
        is_open: bool,
    },
    /// The end of a check that was requested by [`CheckPath`](super::DispatchAction::CheckPath).
    PathChecked {
        /// The server.
        server: ServerId,
        /// Whether a connection could be opened.
        is_open: bool,
    },
    /// Some entries that take calls from this one if it loses the path to the servers.
    Relays(Vec<RelayAddress>),
    /// A server ended while it ran a call. It precedes the end of the attempt.
    Crash {
        /// The call.
        call: CallId,
        /// The server.
        server: ServerId,
        /// The request.
        request: RequestFingerprint,
    },
    /// A server answered a request that was not suspected yet when it arrived.
    Answered(RequestFingerprint),
    /// Other entries learned something about requests under which servers ended.
    Suspects(Vec<SuspectRecord>),
    /// A replica answered a request for credit.
    Credit {
        /// The replica.
        from: InstanceId,
        /// The answer.
        response: CreditResponse,
    },
    /// The worker that runs a call can run a second copy of it.
    AcceptsCopy(CallId),
    /// Time has passed.
    Tick,
}
