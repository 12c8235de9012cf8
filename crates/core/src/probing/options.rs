//! Settings of a balancer.

use {crate::ids::DataCentreId, std::time::Duration};

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct BalancerOptions {
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Extra attempts of a service per request that all entries together may send.
    pub retry_ratio: f64,
    /// Extra attempts of a service in a window that all entries together may send without requests.
    pub retry_slack: f64,
    /// Length of the window.
    pub retry_window: Duration,
    /// Probes of one server in a second that all entries together may send.
    pub probe_rate: u32,
    /// Live entries that are assumed before the first [`Peers`](crate::dispatch::DispatchEvent::Peers).
    pub assumed_entries: usize,
    /// Calls of one service that may wait at this entry.
    pub queue_limit: usize,
}

impl Default for BalancerOptions {
    fn default() -> Self {
        Self {
            data_centre: "".into(),
            // The figures of Brno.
            retry_ratio: 0.2,
            retry_slack: 64.0,
            retry_window: Duration::from_secs(10),
            probe_rate: 60,
            // One more than the larger of today's users has, so that the slack is not exceeded.
            assumed_entries: 8,
            // Calls that would wait too long for their objective are rejected before the queue is full. The
            // bound is for late calls, of which 200 in half a second are more than an entry gets.
            queue_limit: 200,
        }
    }
}
