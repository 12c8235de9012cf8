//! Outcomes of calls as seen by the caller.

use std::fmt;

/// Outcome of a call as seen by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A server answered with this status. The answer was complete and belonged to the call.
    Answered(u16),
    /// The call was not executed, for this reason.
    NotRun(Box<str>),
    /// It is unknown whether the call was executed, for this reason.
    Unknown(Box<str>),
    /// The answer was faulty.
    Fault(FaultKind),
}

/// Kinds of faulty answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// The content differs from what the call asked for.
    Wrong,
    /// The answer ended regularly, but its content is incomplete.
    Partial,
    /// A second answer, or an answer from a repeated execution of a non-idempotent call.
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
