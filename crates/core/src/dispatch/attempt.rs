//! Result of one attempt at a server.

use derive_more::Display;

/// Result of one attempt at a server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// A complete answer was passed on to the caller.
    #[display("complete")]
    Complete,
    /// The server answered with a status of 500 or above.
    #[display("server-error")]
    ServerError,
    /// The server rejected the request because of its load, before running it.
    #[display("shed")]
    Shed,
    /// The connection could not be opened, so nothing was written.
    #[display("refused-before-write")]
    RefusedBeforeWrite,
    /// The server answered that the request was meant for another server; it did not run it.
    #[display("misdirected")]
    Misdirected,
    /// The connection broke after the first byte may have been written.
    #[display("broken-after-write")]
    BrokenAfterWrite,
    /// The server sent an answer that is malformed or whose end cannot be determined.
    #[display("bad-answer")]
    BadAnswer,
    /// The deadline passed before the answer was complete.
    #[display("timeout")]
    Timeout,
    /// The caller disconnected before the answer was complete.
    #[display("caller-left")]
    CallerLeft,
    /// Another copy of the call was answered first.
    #[display("superseded")]
    Superseded,
}
