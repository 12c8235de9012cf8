//! Settings of the estimate.

use {crate::ids::DataCentreId, std::time::Duration};

/// Settings of the estimate of the servers of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthOptions {
    /// Data centre of this entry.
    pub data_centre: DataCentreId,
    /// Measured extra latency of a server in another data centre.
    pub remote_penalty: Duration,
    /// Latency that is assumed before the first answer of the service.
    pub initial_latency: Duration,
    /// Time in which the weight of an observation falls to 1/e.
    pub decay_time: Duration,
    /// Time over which a new server's load rises to its full part.
    pub slow_start: Duration,
    /// Least cost of a failed call in the score.
    pub failure_cost: Duration,
    /// Length of a first ejection; each one after it is twice as long.
    pub initial_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Good trial calls after which an ejected server is let back.
    pub required_trials: u32,
}

impl Default for HealthOptions {
    fn default() -> Self {
        Self {
            data_centre: "".into(),
            // The latency between data centres is 1 to 1.5 ms at today's users.
            remote_penalty: Duration::from_millis(1),
            initial_latency: Duration::from_millis(20),
            // A server changes within milliseconds, so an estimate without fresh answers is soon worth little.
            decay_time: Duration::from_secs(5),
            slow_start: Duration::from_secs(4),
            // A failed call costs its caller the second after which `Retry-After` lets it come back.
            failure_cost: Duration::from_secs(1),
            // Each entry spends one call on a trial. At 2 s and doubling, 6 entries spend under 1 in 100 of
            // 500 calls/s on a server that stays bad.
            initial_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(30),
            required_trials: 3,
        }
    }
}
