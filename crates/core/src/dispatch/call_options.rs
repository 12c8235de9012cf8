//! What the route of a call promises and permits.

use std::time::Duration;

/// What the route of a call promises and permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// Most servers to which the call may be sent.
    pub attempts: u32,
    /// Rank of the call; 0 is the highest.
    pub priority: u32,
    /// Latency within which the answer earns its full worth.
    pub objective: Duration,
}

impl Default for CallOptions {
    fn default() -> Self {
        Self { attempts: u32::MAX, priority: 0, objective: Duration::from_millis(250) }
    }
}
