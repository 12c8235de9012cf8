//! Exit codes of every command.

use std::process::ExitCode;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command did what was asked.
    Ok = 0,
    /// The command failed, was used wrongly, or a measurement found a broken promise.
    Failure = 1,
    /// The input was understood and refused.
    Refused = 2,
    /// The input contradicts what was accepted earlier.
    Conflict = 3,
    /// It is not known whether the input was accepted; sending it again is safe.
    Unknown = 4,
}

impl Exit {
    /// Returns success or failure.
    pub(crate) fn from_success(is_success: bool) -> Self {
        if is_success { Self::Ok } else { Self::Failure }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
