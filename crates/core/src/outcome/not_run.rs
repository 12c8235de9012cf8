//! Reasons why a request certainly did not run.

use derive_more::Display;

/// Reason why a request certainly did not run at any server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NotRunReason {
    /// The customer's queue of this service is full.
    #[display("queue-full")]
    QueueFull,
    /// The request could not have been answered by its deadline.
    #[display("deadline")]
    Deadline,
    /// The request was rejected because of overload.
    #[display("overload")]
    Overload,
    /// No server of the service is ready.
    #[display("no-server")]
    NoServer,
    /// The configuration contains no such service.
    #[display("unknown-service")]
    UnknownService,
    /// The server refused the connection, or rejected the request without running it.
    #[display("refused")]
    Refused,
    /// The claim of the idempotency key could not be recorded.
    #[display("claim-unavailable")]
    ClaimUnavailable,
    /// The idempotency key was used before with a different request.
    #[display("key-reused")]
    KeyReused,
    /// The instance is shutting down.
    #[display("shutting-down")]
    ShuttingDown,
    /// The instance cannot show that its configuration is current.
    #[display("configuration-not-current")]
    ConfigurationNotCurrent,
    /// Several servers ended while they ran the same request.
    #[display("quarantined")]
    Quarantined,
    /// The request has no API key although it needs one, or one that no customer holds.
    #[display("unknown-key")]
    UnknownKey,
    /// The customer exceeds its rate over all entries.
    #[display("quota")]
    Quota,
    /// The request itself is malformed.
    #[display("bad-request")]
    BadRequest,
}

impl NotRunReason {
    /// Returns the HTTP status for the reason.
    pub(super) fn status(self) -> u16 {
        match self {
            Self::UnknownService => 404,
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::KeyReused => 422,
            Self::Quota => 429,
            Self::QueueFull
            | Self::Deadline
            | Self::Overload
            | Self::NoServer
            | Self::Refused
            | Self::ClaimUnavailable
            | Self::ShuttingDown
            | Self::ConfigurationNotCurrent
            | Self::Quarantined => 503,
        }
    }
}
