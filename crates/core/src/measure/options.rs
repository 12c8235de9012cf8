//! Settings of the measuring budget.

use std::time::Duration;

/// Settings of the measuring budget of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasureOptions {
    /// A report of a server makes a probe of it needless for this long.
    pub report_lifetime: Duration,
    /// Time between two asked reports of one server.
    pub report_interval: Duration,
    /// Part of a service's slots in use from which its servers are not probed.
    pub max_utilization: f64,
    /// Whether entries lend to each other. It must be the same on all entries, and off it must have been off
    /// before the last restart, because a lender stays quiet for longer after a start.
    pub loans: bool,
}

impl Default for MeasureOptions {
    fn default() -> Self {
        // At 85% of the slots, the load at which tail latency is judged, a probe is likely to delay a call.
        // A report keeps 61% of its weight for 250 ms, and the budget has no room for one in every answer.
        let report_interval = Duration::from_millis(250);
        Self { report_lifetime: Duration::from_millis(500), report_interval, max_utilization: 0.85, loans: false }
    }
}
