//! What a caller is told about its request.

mod not_run;
mod unknown;

pub use {not_run::NotRunReason, unknown::UnknownReason};

/// Name of the response header that carries the outcome.
pub const OUTCOME_HEADER: &str = "hemlockford-outcome";

/// What is known about a request when it gets its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server answered; the answer is passed on whole.
    Answered,
    /// The request certainly did not run at any server.
    NotRun(NotRunReason),
    /// The request may have run; it is not known.
    Unknown(UnknownReason),
}

impl Outcome {
    /// Returns the HTTP status of an answer that no server gave.
    ///
    /// ```
    /// use hemlockford_core::outcome::{NotRunReason, Outcome};
    /// assert_eq!(Outcome::NotRun(NotRunReason::QueueFull).status(), 503);
    /// ```
    pub fn status(self) -> u16 {
        match self {
            Self::Answered => 200,
            Self::NotRun(reason) => reason.status(),
            Self::Unknown(reason) => reason.status(),
        }
    }

    /// Returns the value of the outcome header.
    ///
    /// ```
    /// use hemlockford_core::outcome::{Outcome, UnknownReason};
    /// assert_eq!(Outcome::Unknown(UnknownReason::Timeout).header_value().as_ref(), "unknown; timeout");
    /// ```
    pub fn header_value(self) -> Box<str> {
        match self {
            Self::Answered => "answered".into(),
            Self::NotRun(reason) => format!("not-run; {reason}").into(),
            Self::Unknown(reason) => format!("unknown; {reason}").into(),
        }
    }
}
