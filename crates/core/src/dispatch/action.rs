//! Actions that the dispatcher requests from the task that drives it.

use {
    crate::{
        collections::FastSet,
        ids::{CallId, InstanceId, ServerId},
        outcome::Outcome,
        quarantine::{RequestDigest, SuspectRecord},
        quota::HolderAction,
        slots::SlotMessage,
    },
    std::{net::SocketAddr, time::Duration},
};

/// One action to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchAction {
    /// Send a call to a server.
    Send {
        /// The call.
        call: CallId,
        /// The chosen server.
        server: ServerId,
        /// Address of the server.
        address: SocketAddr,
        /// Whether the call may only use a connection that is new or was used a moment ago.
        fresh_connection: bool,
        /// Whether the request passes the retry token on to the server.
        pass_allowance: bool,
        /// Whether the request asks for a load report in the answer; unrequested reports are ignored.
        want_report: bool,
    },
    /// Send a second copy of a call that is running to another server.
    Hedge {
        /// The call.
        call: CallId,
        /// The server of the copy.
        server: ServerId,
        /// Address of the server.
        address: SocketAddr,
    },
    /// Send the final answer to a caller.
    Reject {
        /// The call.
        call: CallId,
        /// Outcome to report to the caller.
        outcome: Outcome,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// Tell the other entries about a request under which servers ended.
    ReportSuspect(SuspectRecord),
    /// Determine the fingerprints of requests with these heads, and only of those.
    SetSuspectHeads(FastSet<RequestDigest>),
    /// Ask for credit of customers with a limit, or log the state of the contact with the leader that lends it.
    Credit(HolderAction),
    /// Pass a call on to another entry, because this one has lost the path to the servers.
    Relay {
        /// The call.
        call: CallId,
        /// The other entry.
        entry: InstanceId,
        /// Its address for relayed calls.
        address: SocketAddr,
        /// Maximum number of servers to which it may send the call.
        attempts: u32,
        /// Whether the call may only use a connection that is new or was used a moment ago.
        fresh_connection: bool,
    },
    /// Open a new connection to a server and close it, to find out whether there is a path to it.
    CheckPath {
        /// The server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
        /// Time after which the check has failed.
        limit: Duration,
    },
    /// Send a message to another entry.
    SendMessage {
        /// Entry that receives the message.
        to: InstanceId,
        /// The message.
        message: SlotMessage,
    },
    /// Probe a server. The probe must have ended [`PROBE_TIMEOUT`](crate::measure::PROBE_TIMEOUT) after the
    /// decision, even if it starts late.
    Probe {
        /// Identifier of the probe.
        probe: u64,
        /// The server.
        server: ServerId,
        /// Address of the server.
        address: SocketAddr,
        /// Path on which the server answers probes.
        path: Box<str>,
        /// Time from its start after which the probe is cancelled, so that it costs no more than was
        /// reserved.
        limit: Duration,
    },
}
