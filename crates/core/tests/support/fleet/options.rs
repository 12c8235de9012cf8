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
    pub slow_part: f64,
    pub slow_pace: f64,
    /// Mean time between two draws of a server's pace.
    pub redraw: Duration,
    /// Whether the pace at its start holds for a whole call, rather than changing while it runs.
    pub pace_at_start: bool,
    /// Seconds to answer a probe, from and to.
    pub probe_time: (f64, f64),
    /// Mean time between two restarts of some server, if any.
    pub restart: Option<Duration>,
    /// Whether a refused caller comes back once.
    pub callers_return: bool,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 7,
            data_centres: 3,
            policy: None,
            workloads: Workload::brno(1.0),
            slow_part: 0.25,
            slow_pace: 4.0,
            redraw: Duration::from_millis(300),
            pace_at_start: false,
            probe_time: (0.001, 0.006),
            restart: None,
            callers_return: false,
        }
    }
}
