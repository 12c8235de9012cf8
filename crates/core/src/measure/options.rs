//! Options of the measuring budget.

use std::time::Duration;

/// Options of the measuring budget of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasureOptions {
    /// Age up to which a report makes a probe of its server unnecessary.
    pub report_lifetime: Duration,
    /// Minimum interval between two requested reports of one server.
    pub report_interval: Duration,
    /// Share of a service's slots in use from which its servers are not probed.
    pub max_utilization: f64,
    /// Whether entries lend to each other. This must be the same on all entries. It may only be off if it was
    /// off before the last restart, because the startup delay with loans is longer.
    pub loans: bool,
}

impl Default for MeasureOptions {
    fn default() -> Self {
        // At a utilization of 85%, the load at which tail latency is assessed, a probe is likely to delay a
        // call. A report keeps 61% of its weight for 250 ms, and the budget does not suffice for one in every
        // answer.
        let report_interval = Duration::from_millis(250);
        Self { report_lifetime: Duration::from_millis(500), report_interval, max_utilization: 0.85, loans: false }
    }
}
