//! A caller's request, as far as decisions need it.

use {
    super::CallOptions,
    crate::ids::{CallId, CustomerId, ServiceId},
    std::time::Instant,
};

/// A caller's request, as far as decisions need it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Number of the call.
    pub id: CallId,
    /// Service that is called.
    pub service: ServiceId,
    /// Customer on whose behalf the call is made.
    pub customer: CustomerId,
    /// Whether the request may run more than once without a further effect.
    pub idempotent: bool,
    /// Whether the whole request is still at hand to be sent again.
    pub replayable: bool,
    /// Time by which the whole answer is due.
    pub deadline: Instant,
    /// Number of calls above this one in its chain.
    pub depth: u8,
    /// Whether the call brought a retry token from the first entry of its chain.
    pub retry_allowance: bool,
    /// Whether the request carries a large body.
    pub upload: bool,
    /// What the route of the call promises and permits.
    pub options: CallOptions,
}
