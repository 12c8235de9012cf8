//! Options that the route of a call sets for it.

use std::time::Duration;

/// Options that the route of a call sets for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// Maximum number of servers to which the call may be sent.
    pub attempts: u32,
    /// Priority of the call; 0 is the highest.
    pub priority: u32,
    /// Latency objective: an answer within this time has its full value.
    pub objective: Duration,
}

impl Default for CallOptions {
    fn default() -> Self {
        Self { attempts: u32::MAX, priority: 0, objective: Duration::from_millis(250) }
    }
}
