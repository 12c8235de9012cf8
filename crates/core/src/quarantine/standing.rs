//! How a request is treated in view of the servers that ended while they ran it.

use std::time::Instant;

/// How a request is treated in view of the servers that ended while they ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is sent to servers like any other.
    Clear,
    /// It is sent to a server, but not to a second one.
    Suspected,
    /// It is not sent to any server until this time.
    Quarantined(Instant),
    /// Its quarantine has ended, and one run shows whether it still crashes servers.
    TrialDue {
        /// End of the quarantine.
        since: Instant,
    },
}
