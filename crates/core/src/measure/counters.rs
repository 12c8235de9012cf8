//! Counters of probes and load reports and their cost.

use {
    super::MeasureCost,
    serde::{Deserialize, Serialize},
};

/// Counters of probes and load reports since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeasureCounters {
    /// Probes that were allowed.
    pub probes: u64,
    /// Reports that were allowed.
    pub reports: u64,
    /// Probes that were not allowed because of high utilization, a recent report or another probe.
    pub gave_way: u64,
    /// Probes and reports that exceeded the budget and were not allowed.
    pub over_budget: u64,
    /// Probes that cost more than was reserved for them; the excess is not covered by the budget.
    pub overruns: u64,
    /// Cost of all reports.
    pub report_spent: MeasureCost,
    /// Cost of all probes and reports.
    pub spent: MeasureCost,
}
