//! Burn rates, remaining budgets and alerts, computed from call counts.

use {
    super::{Alert, BurnReport, ServiceCounts, Window, WindowCounts, alert, report::ReportedObjective},
    crate::{
        ids::{CustomerId, ServiceId},
        units::Share,
    },
    serde::{Deserialize, Serialize},
    std::cmp::Reverse,
};

/// Burn in one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowSummary {
    /// The window.
    pub window: Window,
    /// Number of calls that met the objective.
    pub good: u64,
    /// Number of all calls.
    pub total: u64,
    /// Error rate as a multiple of the rate that exactly uses up the error budget.
    pub burn_rate: f64,
}

/// Burn of one customer at one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerSummary {
    /// The customer.
    pub customer: CustomerId,
    /// All windows, shortest first.
    pub windows: Vec<WindowSummary>,
    /// Remaining part of the error budget of the last three days; negative if it is exceeded.
    pub budget_left: f64,
    /// Firing alerts.
    pub alerts: Vec<Alert>,
}

/// Burn of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSummary {
    /// The service.
    pub service: ServiceId,
    /// Objective of the service.
    pub objective: ReportedObjective,
    /// All windows, shortest first.
    pub windows: Vec<WindowSummary>,
    /// Remaining part of the error budget of the last three days; negative if it is exceeded.
    pub budget_left: f64,
    /// Firing alerts.
    pub alerts: Vec<Alert>,
    /// Customers with a burn rate above 1, those with the most bad calls in the last hour first.
    pub customers: Vec<CustomerSummary>,
}

/// Burn of all services, as shown to operators. `Display` formats it as a table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnSummary {
    /// Services in the order of their names.
    pub services: Vec<ServiceSummary>,
}

impl BurnSummary {
    pub(super) fn new(report: &BurnReport) -> Self {
        Self { services: report.services.iter().map(|(name, counts)| service(name, counts)).collect() }
    }
}

fn service(name: &ServiceId, counts: &ServiceCounts) -> ServiceSummary {
    let objective = counts.objective.share;
    let burning = counts.customers.iter().filter(|(_, counts)| alert::is_burning(counts, objective));
    let mut customers: Vec<_> = burning.map(|(name, counts)| customer(name, counts, objective)).collect();
    customers.sort_by_key(|c| Reverse(counts.customers[&c.customer].get(Window::OneHour).bad()));
    ServiceSummary {
        service: name.clone(),
        objective: counts.objective,
        windows: windows(&counts.all, objective),
        budget_left: budget_left(&counts.all, objective),
        alerts: alerts(&counts.all, objective),
        customers,
    }
}

fn customer(name: &CustomerId, counts: &WindowCounts, objective: Share) -> CustomerSummary {
    CustomerSummary {
        customer: name.clone(),
        windows: windows(counts, objective),
        budget_left: budget_left(counts, objective),
        alerts: alerts(counts, objective),
    }
}

fn windows(counts: &WindowCounts, objective: Share) -> Vec<WindowSummary> {
    let summary = |window| {
        let count = counts.get(window);
        WindowSummary { window, good: count.good, total: count.total, burn_rate: count.burn_rate(objective) }
    };
    Window::ALL.map(summary).into()
}

fn budget_left(counts: &WindowCounts, objective: Share) -> f64 {
    1.0 - counts.get(Window::ThreeDays).burn_rate(objective)
}

fn alerts(counts: &WindowCounts, objective: Share) -> Vec<Alert> {
    Alert::ALL.into_iter().filter(|alert| alert.fires(counts, objective)).collect()
}
