//! Counters of what measuring did and cost.

use {
    super::MeasureCost,
    serde::{Deserialize, Serialize},
};

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeasureCounters {
    /// Probes that were allowed.
    pub probes: u64,
    /// Reports that were allowed.
    pub reports: u64,
    /// Probes that gave way to load or to reports.
    pub gave_way: u64,
    /// Probes and reports that the budget refused.
    pub over_budget: u64,
    /// Probes that cost more than was reserved for them; the excess was spent outside of the budget.
    pub overruns: u64,
    /// Spent on reports.
    pub report_spent: MeasureCost,
    /// Everything spent.
    pub spent: MeasureCost,
}
