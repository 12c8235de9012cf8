//! Statistics of the calls of a service.

/// Shares of a call's value that are charged or lost.
const LATE_LOSS: f64 = 0.9;
const PROBE_COST: f64 = 0.001;
const CONNECTION_COST: f64 = 1.0 / 60.0;
const REMOTE_COST: f64 = 0.02;
const REMOTE_UPLOAD_COST: f64 = 1.0 / 6.0;

/// Statistics of the calls of a service.
#[derive(Clone, Debug, Default)]
pub struct CallStats {
    pub calls: u64,
    pub in_time: u64,
    pub late: u64,
    pub rejected: u64,
    pub unknown: u64,
    pub attempts: u64,
    pub sheds: u64,
    pub probes: u64,
    pub connections: u64,
    pub remote: u64,
    pub remote_uploads: u64,
    pub wakes: u64,
    /// Seconds until each complete answer.
    pub latencies: Vec<f32>,
}

impl CallStats {
    /// Returns the totals over several services.
    pub fn sum(stats_by_service: &[Self]) -> Self {
        let mut total = Self::default();
        for stats in stats_by_service {
            total.calls += stats.calls;
            total.in_time += stats.in_time;
            total.late += stats.late;
            total.rejected += stats.rejected;
            total.unknown += stats.unknown;
            total.attempts += stats.attempts;
            total.sheds += stats.sheds;
            total.probes += stats.probes;
            total.connections += stats.connections;
            total.remote += stats.remote;
            total.remote_uploads += stats.remote_uploads;
            total.wakes += stats.wakes;
            total.latencies.extend(&stats.latencies);
        }
        total
    }

    /// Returns the share of all calls that were answered within the objective.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.calls.max(1) as f64
    }

    /// Returns the mean value of a call, less the costs.
    pub fn mean_value(&self) -> f64 {
        let earned = self.in_time as f64 + (1.0 - LATE_LOSS) * self.late as f64;
        let charged = PROBE_COST * self.probes as f64
            + CONNECTION_COST * self.connections as f64
            + REMOTE_COST * self.remote as f64
            + REMOTE_UPLOAD_COST * self.remote_uploads as f64;
        (earned - charged) / self.calls.max(1) as f64
    }

    /// Returns the latency in milliseconds that this share of the answers does not exceed.
    pub fn percentile(&self, share: f64) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable_by(f32::total_cmp);
        let at = ((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(at).map_or(f64::NAN, |seconds| f64::from(*seconds) * 1e3)
    }
}
