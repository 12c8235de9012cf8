//! The measuring budget: the one owner through which every probe and every load report passes.
//!
//! The system's budget is divided by the size of the roster, which is an upper bound of the number of
//! entries whatever an entry sees of the others. An entry that wants more needs a loan of another entry,
//! which does without the lent part until every use under the loan has lapsed.

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

/// Window in which the budget holds, wherever it begins.
pub const WINDOW: Duration = Duration::from_secs(1);
/// Longest time for which a probe may run; the prober cancels it then.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Length of a loan, counted by the borrower from its request and by the lender from its consent.
pub const LOAN_DURATION: Duration = Duration::from_secs(4);
/// Difference of two clocks' rates over one loan, far above the usual 100 ppm.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);
/// Time after a start in which nothing is spent: what this entry spent before a restart is unknown and must
/// have left every window.
pub const STARTUP_DELAY: Duration = PROBE_TIMEOUT.saturating_add(WINDOW).saturating_add(CLOCK_MARGIN);
/// The same where entries lend: what this entry lent before a restart must have lapsed as well.
pub const STARTUP_DELAY_WITH_LOANS: Duration = LOAN_DURATION.saturating_add(WINDOW).saturating_add(CLOCK_MARGIN);
