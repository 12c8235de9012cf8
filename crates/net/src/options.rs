//! Options of the transports.

use std::time::Duration;

/// Options of the transports.
#[derive(Clone, Debug)]
pub struct NetOptions {
    /// Time allowed for opening a connection to another instance.
    pub connect_timeout: Duration,
    /// Time allowed for writing one frame; a peer that reads no more is disconnected.
    pub write_timeout: Duration,
    /// Shortest wait between two attempts to connect.
    pub backoff_min: Duration,
    /// Longest wait between two attempts to connect.
    pub backoff_max: Duration,
    /// Messages that wait for one peer; the oldest wait is bounded, further messages are dropped.
    pub queue: usize,
    /// Connections accepted from other instances at a time.
    pub max_connections: usize,
}

impl Default for NetOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            write_timeout: Duration::from_secs(2),
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(1),
            queue: 64,
            max_connections: 64,
        }
    }
}
