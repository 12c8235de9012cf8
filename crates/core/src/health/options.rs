//! Options of the health monitor.

use {crate::ids::DataCentreId, std::time::Duration};

/// Options of the health monitor of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthOptions {
    /// Data centre of this entry.
    pub data_centre: DataCentreId,
    /// Additional latency of a server in another data centre.
    pub remote_penalty: Duration,
    /// Latency assumed before the first answer of the service.
    pub initial_latency: Duration,
    /// Time in which the weight of an observation decays to 1/e.
    pub decay_time: Duration,
    /// Time in which a new server's load increases to its normal share.
    pub slow_start: Duration,
    /// Minimum cost of a failed call in the score.
    pub failure_cost: Duration,
    /// Duration of the first ejection; each further one is twice as long.
    pub initial_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Successful trial calls after which an ejected server is reinstated.
    pub required_trials: u32,
}

impl Default for HealthOptions {
    fn default() -> Self {
        Self {
            data_centre: "".into(),
            // The latency between data centres is 1 to 1.5 ms at today's users.
            remote_penalty: Duration::from_millis(1),
            initial_latency: Duration::from_millis(20),
            // A server changes within milliseconds, so an estimate without recent answers is soon of little
            // use.
            decay_time: Duration::from_secs(5),
            slow_start: Duration::from_secs(4),
            // A failed call costs its caller one second, after which `Retry-After` lets it try again.
            failure_cost: Duration::from_secs(1),
            // Each entry spends one call on a trial. Starting at 2 s and doubling, 6 entries spend less than
            // 1% of 500 calls/s on a server that does not recover.
            initial_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(30),
            required_trials: 3,
        }
    }
}
