//! Reasons why it is unknown whether a request ran.

use derive_more::Display;

/// Reason why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UnknownReason {
    /// No complete answer arrived by the deadline.
    #[display("timeout")]
    Timeout,
    /// The connection to the server broke after the request may have been written.
    #[display("connection-lost")]
    ConnectionLost,
    /// The server sent a malformed answer.
    #[display("bad-answer")]
    BadAnswer,
    /// Another request with the same idempotency key is in progress, and its outcome is not yet known.
    #[display("in-doubt")]
    InDoubt,
}

impl UnknownReason {
    /// Returns the HTTP status for the reason.
    pub(super) fn status(self) -> u16 {
        match self {
            Self::Timeout => 504,
            Self::ConnectionLost | Self::BadAnswer => 502,
            Self::InDoubt => 409,
        }
    }
}
