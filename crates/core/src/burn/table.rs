//! Formats a summary as a table of fixed width.

use {
    super::{Alert, BurnSummary, Window, WindowSummary},
    core::fmt::{Display, Formatter, Result},
};

/// Width of the name column in characters; longer names are truncated.
const NAME_WIDTH: usize = 28;
/// Largest rate or percentage that is printed; larger values are clamped so that the columns stay aligned.
const MAX_VALUE: f64 = 99_999.0;

impl Display for BurnSummary {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{:NAME_WIDTH$} {:>16}", "service / customer", "objective")?;
        for window in Window::ALL {
            write!(f, " {:>8}", window.to_string())?;
        }
        writeln!(f, " {:>9} {:>11}  alerts", "budget", "bad in 1h")?;
        for service in &self.services {
            let objective =
                format!("{}% in {}ms", percent(service.objective.share.fraction()), service.objective.latency_ms);
            row(f, &service.service, &objective, &service.windows, service.budget_left, &service.alerts)?;
            for customer in &service.customers {
                let name = format!("  {}", customer.customer);
                row(f, &name, "", &customer.windows, customer.budget_left, &customer.alerts)?;
            }
        }
        Ok(())
    }
}

fn row(
    f: &mut Formatter<'_>,
    name: &str,
    objective: &str,
    windows: &[WindowSummary],
    budget_left: f64,
    alerts: &[Alert],
) -> Result {
    let name: String = name.chars().take(NAME_WIDTH).collect();
    write!(f, "{name:NAME_WIDTH$} {objective:>16}")?;
    for window in windows {
        write!(f, " {:>8.1}", window.burn_rate.min(MAX_VALUE))?;
    }
    let last_hour = windows.iter().find(|window| window.window == Window::OneHour);
    let bad = last_hour.map_or(0, |window| window.total.saturating_sub(window.good));
    let alerts: Vec<_> = alerts.iter().map(|alert| format!("{alert} ({})", alert.severity())).collect();
    let alerts = if alerts.is_empty() { "-".into() } else { alerts.join(", ") };
    writeln!(f, " {:>8.1}% {bad:>11}  {alerts}", (budget_left * 100.0).max(-MAX_VALUE))
}

/// Converts a fraction to a percentage with four decimals, the precision of a share.
fn percent(fraction: f64) -> f64 {
    (fraction * 1e6).round() / 1e4
}
