//! Multi-window burn-rate alerts.

use {
    super::{Window, WindowCounts},
    crate::units::Share,
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Minimum number of bad calls in the long window for an alert to fire. A rate computed from fewer calls is not
/// significant.
const MIN_BAD_CALLS: u64 = 5;

/// Urgency of an alert.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Requires immediate action.
    #[display("page")]
    Page,
    /// Requires action within the working day.
    #[display("ticket")]
    Ticket,
}

/// A burn-rate alert. It fires while the burn rate of both its windows is above the threshold. The short window
/// resolves the alert soon after the fault has ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alert {
    /// Burn rate above 14.4 over 1 h and 5 min.
    #[display("fast-burn")]
    FastBurn,
    /// Burn rate above 6 over 6 h and 30 min.
    #[display("medium-burn")]
    MediumBurn,
    /// Burn rate above 1 over 3 d and 6 h.
    #[display("slow-burn")]
    SlowBurn,
}

impl Alert {
    /// All alerts, most urgent first.
    pub const ALL: [Self; 3] = [Self::FastBurn, Self::MediumBurn, Self::SlowBurn];

    /// Returns the burn rate above which the alert fires.
    pub fn threshold(self) -> f64 {
        match self {
            Self::FastBurn => 14.4,
            Self::MediumBurn => 6.0,
            Self::SlowBurn => 1.0,
        }
    }

    /// Returns the long and the short window of the alert.
    pub fn windows(self) -> [Window; 2] {
        match self {
            Self::FastBurn => [Window::OneHour, Window::FiveMinutes],
            Self::MediumBurn => [Window::SixHours, Window::ThirtyMinutes],
            Self::SlowBurn => [Window::ThreeDays, Window::SixHours],
        }
    }

    /// Returns the urgency of the alert.
    pub fn severity(self) -> Severity {
        match self {
            Self::FastBurn | Self::MediumBurn => Severity::Page,
            Self::SlowBurn => Severity::Ticket,
        }
    }

    pub(super) fn fires(self, counts: &WindowCounts, objective: Share) -> bool {
        let [long, _] = self.windows();
        counts.get(long).bad() >= MIN_BAD_CALLS
            && self.windows().iter().all(|window| counts.get(*window).burn_rate(objective) > self.threshold())
    }
}

/// Returns whether the error budget is used up too fast in any window.
pub(super) fn is_burning(counts: &WindowCounts, objective: Share) -> bool {
    Window::ALL
        .iter()
        .map(|window| counts.get(*window))
        .any(|c| c.bad() >= MIN_BAD_CALLS && c.burn_rate(objective) > 1.0)
}
