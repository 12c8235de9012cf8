//! What a fleet is made of.

use {super::Workload, hemlockford_core::config::BalancingPolicy, std::time::Duration};

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub seed: u64,
    pub entries: usize,
    pub data_centres: usize,
    /// `None` is the balancer of a fleet.
    pub policy: Option<BalancingPolicy>,
    pub workloads: Vec<Workload>,
    /// Share of the time for which a server is slow, and how much longer work takes then.
    pub slow_share: f64,
    pub slow_factor: f64,
    /// Mean time between two draws of a server's pace.
    pub speed_change_interval: Duration,
    /// Whether the pace at its start holds for a whole call, rather than changing while it runs.
    pub fixed_speed_per_call: bool,
    /// Seconds to answer a probe, from and to.
    pub probe_time_range: (f64, f64),
    /// Mean time between two restarts of some server, if any.
    pub restart_interval: Option<Duration>,
    /// Whether a refused caller comes back once.
    pub callers_retry: bool,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 7,
            data_centres: 3,
            policy: None,
            workloads: Workload::brno(1.0),
            slow_share: 0.25,
            slow_factor: 4.0,
            speed_change_interval: Duration::from_millis(300),
            fixed_speed_per_call: false,
            probe_time_range: (0.001, 0.006),
            restart_interval: None,
            callers_retry: false,
        }
    }
}
