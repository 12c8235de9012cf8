//! Error type of the workspace, classified by how the caller can handle the error.

use derive_more::Display;
use error_stack::Report;

/// Kind of an error, by how the caller can handle it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ErrorKind {
    /// The input is invalid; a retry with the same input fails again.
    #[display("invalid input")]
    InvalidInput,
    /// A required component is not reachable at the moment; a retry may succeed.
    #[display("unavailable")]
    Unavailable,
    /// The request conflicts with one that was accepted earlier.
    #[display("conflict")]
    Conflict,
    /// Stored or received data is damaged.
    #[display("corrupt data")]
    Corrupt,
    /// A configured or documented limit was exceeded.
    #[display("limit exceeded")]
    Limit,
    /// An operation of the operating system failed.
    #[display("input/output error")]
    Io,
}

impl core::error::Error for ErrorKind {}

/// Result with an [`ErrorKind`] report as its error.
pub type Result<T> = core::result::Result<T, Report<ErrorKind>>;

/// Creates a report of invalid input.
///
/// ```
/// use hemlockford_core::errors::{ErrorKind, invalid_input};
/// let report = invalid_input("port is not a number");
/// assert_eq!(*report.current_context(), ErrorKind::InvalidInput);
/// ```
pub fn invalid_input(message: impl Into<Box<str>>) -> Report<ErrorKind> {
    report(ErrorKind::InvalidInput, message)
}

/// Creates a report of a component that is not reachable.
pub fn unavailable(message: impl Into<Box<str>>) -> Report<ErrorKind> {
    report(ErrorKind::Unavailable, message)
}

/// Creates a report of damaged data.
pub fn corrupt(message: impl Into<Box<str>>) -> Report<ErrorKind> {
    report(ErrorKind::Corrupt, message)
}

/// Creates a report of an exceeded limit.
pub fn limit(message: impl Into<Box<str>>) -> Report<ErrorKind> {
    report(ErrorKind::Limit, message)
}

/// Creates a report of a failed operation of the operating system.
pub fn io(message: impl Into<Box<str>>) -> Report<ErrorKind> {
    report(ErrorKind::Io, message)
}

#[track_caller]
fn report(kind: ErrorKind, message: impl Into<Box<str>>) -> Report<ErrorKind> {
    Report::new(kind).attach(Message(message.into()))
}

#[derive(Debug, Display)]
struct Message(Box<str>);
