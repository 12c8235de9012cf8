//! Settings of an instance of a fleet.

use {
    hemlockford_core::{ids::DataCentreId, quota::QuotaTolerance},
    std::{net::SocketAddr, time::Duration},
};

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
    /// Data centres for which an order to evacuate is accepted; empty for any.
    pub data_centres: Vec<DataCentreId>,
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
    /// Length of the sliding window in which calls of a customer with a limit are counted.
    pub quota_window: Duration,
    /// Part of a customer's limit by which its calls may exceed it, over all entries.
    pub quota_overage: f64,
    /// Number of calls by which they may exceed it in addition.
    pub quota_slack: f64,
    /// Factor on the rate that a cold server tolerates, up to which calls may reach it in a second.
    pub warm_up_overage: f64,
    /// Calls that may reach a cold server in a second beyond that, over all entries.
    pub warm_up_slack: f64,
    /// Second copies of slow calls per request, over all entries; 0 for none.
    pub hedge_share: f64,
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
            data_centres: Vec::new(),
            first_start: false,
            tolerated_losses: 1,
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window: Duration::from_secs(10),
            quota_window: QuotaTolerance::default().window,
            quota_overage: QuotaTolerance::default().overage,
            quota_slack: QuotaTolerance::default().slack,
            warm_up_overage: 1.5,
            warm_up_slack: 8.0,
            hedge_share: 0.0,
            grace_period: Duration::from_secs(6),
            memory_mb: None,
            descriptors: None,
            link_mbps: None,
        }
    }
}

impl FleetSettings {
    /// Returns the tolerance of the customers' limits.
    pub(crate) fn quota(&self) -> QuotaTolerance {
        QuotaTolerance { window: self.quota_window, overage: self.quota_overage, slack: self.quota_slack }
    }
}
