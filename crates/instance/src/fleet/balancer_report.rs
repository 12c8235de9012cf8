//! What the balancer's task tells the entry's task.

use hemlockford_core::{ids::ServerId, probing::ColdServer, quarantine::SuspectRecord, quota::CreditRequest};

/// What the balancer's task tells the entry's task.
#[derive(Debug)]
pub(super) enum BalancerReport {
    /// A server said that it is leaving.
    Leaving(ServerId),
    /// A server ended while it ran a request.
    Crash {
        server: ServerId,
        /// Method, target and caller of the request.
        request: Box<str>,
    },
    /// Number of services to whose servers this entry has lost the path.
    LostPaths(usize),
    /// Request for credit of customers with a limit.
    Credit(CreditRequest),
    /// Whether a leader lends credit to this entry.
    CreditContact(bool),
    /// A server that tolerates few calls became cold or warm.
    ColdServer(ColdServer),
    /// News of a request under which servers ended.
    Suspect(SuspectRecord),
}
