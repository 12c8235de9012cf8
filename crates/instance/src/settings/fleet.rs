//! Settings of an instance of a fleet.

use std::{net::SocketAddr, time::Duration};

/// Role of an instance of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetRole {
    /// Serves callers.
    Entry,
    /// Keeps the log and the directory of servers.
    Replica,
}

/// Settings of an instance of a fleet, section `[fleet]`.
///
/// An empty value counts as not given, because the platform's template leaves out what it does not know.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// What the instance does.
    pub role: FleetRole,
    /// Interface towards the platform; without one the product's own.
    pub interface: Option<Box<str>>,
    /// Admin addresses of some replicas, which may be down or gone.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, with empty folders.
    pub first_start: bool,
    /// Lost data folders that the group must bear at once.
    pub tolerated_losses: usize,
    /// Extra attempts at the servers of a service, as a part of its requests.
    pub retry_ratio: f64,
    /// Extra attempts beyond that part, over all entries.
    pub retry_slack: f64,
    /// Sliding window in which extra attempts are counted.
    pub retry_window: Duration,
    /// Time from SIGTERM until the platform kills the process.
    pub grace_period: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            role: FleetRole::Entry,
            interface: None,
            seeds: Vec::new(),
            first_start: false,
            tolerated_losses: 1,
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window: Duration::from_secs(10),
            grace_period: Duration::from_secs(6),
        }
    }
}
