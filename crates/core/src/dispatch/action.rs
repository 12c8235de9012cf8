//! What the dispatcher asks its task to do.

use {
    crate::{
        ids::{CallId, InstanceId, ServerId},
        outcome::Outcome,
        slots::SlotMessage,
    },
    std::{net::SocketAddr, time::Duration},
};

/// One thing for the dispatcher's task to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchAction {
    /// Send a call to a server.
    Send {
        /// The call.
        call: CallId,
        /// The chosen server.
        server: ServerId,
        /// Where the server listens.
        address: SocketAddr,
        /// Whether only a connection that is new or was used a moment ago may carry the call.
        fresh_connection: bool,
        /// Whether the request carries the retry token on to the server.
        pass_allowance: bool,
        /// Whether the request asks for a load report in the answer; a report that was not asked for is
        /// ignored.
        want_report: bool,
    },
    /// Give a call its final answer.
    Reject {
        /// The call.
        call: CallId,
        /// What the caller is told.
        outcome: Outcome,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Send a message to another entry.
    SendMessage {
        /// The other entry.
        to: InstanceId,
        /// What it is told.
        message: SlotMessage,
    },
    /// Probe a server. The probe must have ended [`PROBE_TIMEOUT`](crate::measure::PROBE_TIMEOUT) after
    /// the decision, however late it is begun.
    Probe {
        /// Number of the probe.
        probe: u64,
        /// The server.
        server: ServerId,
        /// Where the server listens.
        address: SocketAddr,
        /// Path on which the server answers probes.
        path: Box<str>,
        /// Time after its begin at which the probe is cut off, so that it costs no more than was reserved.
        limit: Duration,
    },
}
