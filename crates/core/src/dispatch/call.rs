//! The properties of a request on which balancing decisions depend.

use {
    super::CallOptions,
    crate::{
        ids::{CallId, CustomerId, ServiceId},
        quarantine::RequestFingerprint,
    },
    std::time::Instant,
};

/// The properties of a caller's request on which balancing decisions depend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifier of the call.
    pub id: CallId,
    /// Service that is called.
    pub service: ServiceId,
    /// Customer on whose behalf the call is made.
    pub customer: CustomerId,
    /// Whether running the request more than once has the same effect as running it once.
    pub idempotent: bool,
    /// Whether the complete request is still buffered, so that it can be sent again.
    pub replayable: bool,
    /// Time by which the complete answer is due.
    pub deadline: Instant,
    /// Number of calls above this one in its call chain.
    pub depth: u8,
    /// Whether the call carried a retry token from the first entry of its chain.
    pub retry_allowance: bool,
    /// Whether the request carries a large body.
    pub upload: bool,
    /// Fingerprint of the request, if one like it is suspected of crashing servers.
    pub fingerprint: Option<RequestFingerprint>,
    /// Whether another entry, which has lost the path to the servers, has passed the call on.
    pub relayed: bool,
    /// Options of the call's route.
    pub options: CallOptions,
}
