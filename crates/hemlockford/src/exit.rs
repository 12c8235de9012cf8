//! Exit codes of the commands.

use std::process::ExitCode;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Ok = 0,
    /// The command failed or was used incorrectly, or a measurement found a violated guarantee.
    Failure = 1,
    /// The input was refused.
    Refused = 2,
    /// The input conflicts with a change that was accepted earlier.
    Conflict = 3,
    /// It is unknown whether the input was accepted. Sending it again is safe.
    Unknown = 4,
}

impl Exit {
    /// Returns `Ok` on success and `Failure` otherwise.
    pub(crate) fn from_success(is_success: bool) -> Self {
        if is_success { Self::Ok } else { Self::Failure }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
