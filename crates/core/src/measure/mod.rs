//! The measuring budget, to which every probe and every load report is charged.
//!
//! The budget of the system is divided by the number of entries in the settings. This is an upper bound of
//! the number of live entries, regardless of which others an entry knows. An entry that needs more requires a
//! loan from another entry, which does not use the lent part until every use under the loan has left the
//! window.

mod budget;
mod cost;
mod counters;
mod limits;
mod loan;
mod options;
mod sliding_sum;

pub use {
    budget::MeasureBudget,
    cost::MeasureCost,
    counters::MeasureCounters,
    limits::MeasureLimits,
    loan::{Loan, LoanRequest},
    options::MeasureOptions,
};

use std::time::Duration;

/// Length of the window, starting at any time, in which the budget must not be exceeded.
pub const WINDOW: Duration = Duration::from_secs(1);
/// Maximum duration of a probe, after which the prober cancels it.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Duration of a loan. The borrower counts it from its request, the lender from granting it.
pub const LOAN_DURATION: Duration = Duration::from_secs(4);
/// Difference that two clocks may accumulate over one loan, far above the usual 100 ppm.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);
/// Time after a start in which nothing is spent. What this entry spent before a restart is unknown and must
/// have left every window.
pub const STARTUP_DELAY: Duration = PROBE_TIMEOUT.saturating_add(WINDOW).saturating_add(CLOCK_MARGIN);
/// Startup delay if entries lend to each other: loans given before a restart must have expired as well.
pub const STARTUP_DELAY_WITH_LOANS: Duration = LOAN_DURATION.saturating_add(WINDOW).saturating_add(CLOCK_MARGIN);
