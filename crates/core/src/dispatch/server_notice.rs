//! Notices by which a server asks in an answer for no or fewer further calls.

use {super::CallRate, std::time::Duration};

/// Longest time for which a server can ask for no calls. It is the longest timeout of a route: a server that wants no
/// calls for longer is leaving, and a faulty value must not exclude a server until its next start.
pub const MAX_SERVER_PAUSE: Duration = Duration::from_secs(600);

/// A notice by which a server asks in an answer for no or fewer further calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerNotice {
    /// The server is leaving and takes no further calls.
    Leaving,
    /// The server takes no calls for this time.
    Pause(Duration),
    /// The server takes calls at this rate from all entries together, as long as its answers say so; `None` if they no
    /// longer do.
    Limit(Option<CallRate>),
}
