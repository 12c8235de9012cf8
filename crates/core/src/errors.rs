//! The one error type of the workspace, divided by what the caller can do about it.

use derive_more::Display;
use error_stack::Report;

/// What the caller of a failed operation can do about it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ErrorKind {
    /// The input is wrong; the same input fails again.
    #[display("invalid input")]
    InvalidInput,
    /// A part that is needed cannot be reached now; a later try may succeed.
    #[display("unavailable")]
    Unavailable,
    /// The request contradicts one that was accepted earlier.
    #[display("conflict")]
    Conflict,
    /// Stored or received data is damaged.
    #[display("corrupt data")]
    Corrupt,
    /// A stated limit was exceeded.
    #[display("limit exceeded")]
    Limit,
    /// The operating system refused an operation.
    #[display("input/output error")]
    Io,
}

impl core::error::Error for ErrorKind {}

/// Result of an operation that reports an [`ErrorKind`] with its context.
pub type Result<T> = core::result::Result<T, Report<ErrorKind>>;

/// Reports invalid input.
///
/// ```
/// use hemlockford_core::errors::{ErrorKind, invalid_input};
/// let report = invalid_input("port is not a number");
/// assert_eq!(*report.current_context(), ErrorKind::InvalidInput);
/// ```
pub fn invalid_input(message: impl Into<Box<str>>) -> Report<ErrorKind> {
    report(ErrorKind::InvalidInput, message)
}

/// Reports a part that cannot be reached now.
pub fn unavailable(message: impl Into<Box<str>>) -> Report<ErrorKind> {
    report(ErrorKind::Unavailable, message)
}

/// Reports damaged data.
pub fn corrupt(message: impl Into<Box<str>>) -> Report<ErrorKind> {
    report(ErrorKind::Corrupt, message)
}

/// Reports a stated limit that was exceeded.
pub fn limit(message: impl Into<Box<str>>) -> Report<ErrorKind> {
    report(ErrorKind::Limit, message)
}

/// Reports an operation that the operating system refused.
pub fn io(message: impl Into<Box<str>>) -> Report<ErrorKind> {
    report(ErrorKind::Io, message)
}

#[track_caller]
fn report(kind: ErrorKind, message: impl Into<Box<str>>) -> Report<ErrorKind> {
    Report::new(kind).attach(Attachment(message.into()))
}

#[derive(Debug, Display)]
struct Attachment(Box<str>);
