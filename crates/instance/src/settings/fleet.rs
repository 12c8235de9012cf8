//! Settings of an instance of a fleet.

use std::{net::SocketAddr, time::Duration};

/// Role of an instance of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetRole {
    /// Accepts calls and forwards them to servers.
    Entry,
    /// Stores the replicated log and the directory of servers.
    Replica,
}

/// Settings of an instance of a fleet, section `[fleet]`.
///
/// An empty value counts as missing, because the platform's template leaves unknown values empty.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Role of the instance.
    pub role: FleetRole,
    /// Name of the interface to the platform, or `None` if it is not given.
    pub interface: Option<Box<str>>,
    /// Admin addresses of some replicas, which may be down or may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, with empty data folders.
    pub first_start: bool,
    /// Number of simultaneously lost data folders that the group must tolerate.
    pub tolerated_losses: usize,
    /// Maximum ratio of extra attempts to requests, by service.
    pub retry_ratio: f64,
    /// Number of extra attempts permitted beyond that ratio, over all entries.
    pub retry_slack: f64,
    /// Length of the sliding window in which extra attempts are counted.
    pub retry_window: Duration,
    /// Time from SIGTERM until the platform kills the process.
    pub grace_period: Duration,
    /// Memory of the machine in MB, if it is known.
    pub memory_mb: Option<u64>,
    /// Number of descriptors that the process may open, if it is known.
    pub descriptors: Option<u64>,
    /// Rate of the link in Mbit/s, if it is known.
    pub link_mbps: Option<f64>,
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
            memory_mb: None,
            descriptors: None,
            link_mbps: None,
        }
    }
}
