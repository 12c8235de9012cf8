//! Options of a balancer.

use {
    crate::{ids::DataCentreId, quota::QuotaTolerance},
    std::time::Duration,
};

/// Options of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct BalancerOptions {
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Extra attempts of a service per request, over all entries together.
    pub retry_ratio: f64,
    /// Extra attempts of a service per window that need no requests, over all entries together.
    pub retry_slack: f64,
    /// Length of the window.
    pub retry_window: Duration,
    /// Probes per second of one server, over all entries together.
    pub probe_rate: u32,
    /// Live entries assumed before the first [`Peers`](crate::dispatch::DispatchEvent::Peers).
    pub assumed_entries: usize,
    /// Calls of one service that may wait at this entry.
    pub queue_limit: usize,
    /// Tolerance of the customers' limits.
    pub quota: QuotaTolerance,
    /// Factor on the rate that a cold server tolerates, up to which calls may reach it in a second.
    pub warm_up_overage: f64,
    /// Calls that may reach a cold server in a second beyond that.
    pub warm_up_slack: f64,
    /// Second copies of slow calls per request, over all entries together; 0 for none.
    pub hedge_share: f64,
}

impl Default for BalancerOptions {
    fn default() -> Self {
        Self {
            data_centre: "".into(),
            // The limits of the site Brno.
            retry_ratio: 0.2,
            retry_slack: 64.0,
            retry_window: Duration::from_secs(10),
            probe_rate: 60,
            // One more than the larger of today's users has, so that the slack is not exceeded.
            assumed_entries: 8,
            // Calls that would wait too long for their objective are rejected before the queue is full. This
            // bound is for late calls; an entry gets fewer than 200 of them in half a second.
            queue_limit: 200,
            quota: QuotaTolerance::default(),
            warm_up_overage: 1.5,
            warm_up_slack: 8.0,
            hedge_share: 0.0,
        }
    }
}
