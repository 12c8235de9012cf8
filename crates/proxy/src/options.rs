//! Options of the HTTP path.

use std::time::Duration;

/// Options of the HTTP path.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Time within which a caller must send its request head.
    pub head_timeout: Duration,
    /// Time for which an idle connection of a caller is kept.
    pub keep_alive: Duration,
    /// Time for which an idle connection to a server is kept.
    pub idle_timeout: Duration,
    /// Age up to which an idle connection may carry a non-idempotent request. A server may close an
    /// idle connection just as a request is written, and then it is not known whether it ran.
    pub fresh_age: Duration,
    /// Idle connections that one worker keeps to one server.
    pub idle_per_server: usize,
}

impl Default for ProxyOptions {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(5),
            keep_alive: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(30),
            fresh_age: Duration::from_millis(100),
            idle_per_server: 8,
        }
    }
}
