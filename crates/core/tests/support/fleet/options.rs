//! Options of a simulated fleet.

use {super::Workload, hemlockford_core::config::BalancingPolicy, std::time::Duration};

/// Options of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub seed: u64,
    pub entries: usize,
    pub data_centres: usize,
    /// Baseline policy; `None` for the balancer of a fleet.
    pub policy: Option<BalancingPolicy>,
    pub workloads: Vec<Workload>,
    /// Share of the time for which a server is slow, and the factor by which work takes longer then.
    pub slow_share: f64,
    pub slow_factor: f64,
    /// Mean interval between changes of a server's speed.
    pub speed_change_interval: Duration,
    /// Whether a call keeps the server speed at its start, rather than being affected by changes while it
    /// runs.
    pub fixed_speed_per_call: bool,
    /// Minimum and maximum number of seconds to answer a probe.
    pub probe_time_range: (f64, f64),
    /// Interval between restarts of some server, if any.
    pub restart_interval: Option<Duration>,
    /// Whether a rejected caller tries again once.
    pub callers_retry: bool,
    /// Further keys of the services in the configuration.
    pub service_keys: String,
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
            service_keys: String::new(),
        }
    }
}
