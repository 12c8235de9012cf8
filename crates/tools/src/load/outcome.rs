//! What a caller learned about one call.

use std::fmt;

/// What a caller learned about one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A server answered with this status; the answer was whole and belonged to the call.
    Answered(u16),
    /// The call did not run, for this reason.
    NotRun(Box<str>),
    /// It is not known whether the call ran, for this reason.
    Unknown(Box<str>),
    /// The answer broke a promise.
    Fault(FaultKind),
}

/// How an answer broke a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// It held a byte that does not belong to the call.
    Wrong,
    /// It ended correctly before its last byte.
    Partial,
    /// It was not the first answer, or it came from a repeated execution that is not idempotent.
    Repeated,
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Wrong => "wrong",
            Self::Partial => "partial",
            Self::Repeated => "repeated",
        })
    }
}
