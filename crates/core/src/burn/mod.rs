//! Service-level burn: how fast each service and customer uses up its error budget.
//!
//! Every entry counts its own calls. Reports carry counts, so that those of several entries can be added up
//! before rates are worked out.

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

/// Customers of one service that are counted by name, apart from those that the text names.
pub const MAX_CUSTOMERS: usize = 1_000;
/// Customers of all services together that are counted by name. One takes under 1 kB, so that all of them
/// stay far below the 32 MB that control may use on an instance.
pub const MAX_CUSTOMERS_TOTAL: usize = 10_000;
/// Name under which all further customers are counted together. It holds a character that names cannot.
pub const OTHER_CUSTOMERS: &str = "(other)";
