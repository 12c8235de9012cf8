//! Error budget burn rates of services and customers.
//!
//! Each entry counts its own calls. Reports carry counts rather than rates, so that the reports of several entries
//! can be merged before rates are computed.

mod alert;
mod counter;
mod report;
mod series;
mod summary;
mod table;
mod window;

pub use {
    alert::{Alert, Severity},
    counter::BurnCounter,
    report::{BurnReport, ReportedObjective, ServiceCounts},
    summary::{BurnSummary, CustomerSummary, ServiceSummary, WindowSummary},
    window::{Window, WindowCount, WindowCounts},
};

/// Maximum number of customers per service that are counted by name, not including configured customers.
pub const MAX_CUSTOMERS: usize = 1_000;
/// Maximum number of customers over all services that are counted by name. Each takes less than 1 kB, so the total
/// stays far below the memory limit of 32 MB for the control tasks of an instance.
pub const MAX_CUSTOMERS_TOTAL: usize = 10_000;
/// Name under which all other customers are counted. It contains characters that are not allowed in customer names.
pub const OTHER_CUSTOMERS: &str = "(other)";
