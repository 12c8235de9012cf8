//! Reasons for which it is not known whether a request ran.

use derive_more::Display;

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UnknownReason {
    /// No whole answer arrived within the deadline.
    #[display("timeout")]
    Timeout,
    /// The connection to the server broke after the request may have been written.
    #[display("connection-lost")]
    ConnectionLost,
    /// The server sent something that is not an HTTP answer.
    #[display("bad-answer")]
    BadAnswer,
    /// Another copy of the request holds the idempotency key and its outcome is not known yet.
    #[display("in-doubt")]
    InDoubt,
}

impl UnknownReason {
    /// Returns the HTTP status that goes with the reason.
    pub(super) fn status(self) -> u16 {
        match self {
            Self::Timeout => 504,
            Self::ConnectionLost | Self::BadAnswer => 502,
            Self::InDoubt => 409,
        }
    }
}
