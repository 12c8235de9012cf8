//! The alerts that compare burn over a long and a short window.

use {
    super::{Window, WindowCounts},
    crate::units::Share,
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Bad calls in the long window below which no alert fires, because a rate of so few says little.
const MIN_BAD: u64 = 5;

/// How soon someone must act on an alert.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// At once.
    #[display("page")]
    Page,
    /// Within the working day.
    #[display("ticket")]
    Ticket,
}

/// An alert. It fires while both windows burn faster than the threshold; the short window ends it soon
/// after the fault has ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alert {
    /// 14.4 times over 1 h and 5 min.
    #[display("fast-burn")]
    FastBurn,
    /// 6 times over 6 h and 30 min.
    #[display("medium-burn")]
    MediumBurn,
    /// Once over 3 d and 6 h.
    #[display("slow-burn")]
    SlowBurn,
}

impl Alert {
    /// Every alert, the most urgent first.
    pub const ALL: [Self; 3] = [Self::FastBurn, Self::MediumBurn, Self::SlowBurn];

    /// Returns the burn rate above which the alert fires.
    pub fn threshold(self) -> f64 {
        match self {
            Self::FastBurn => 14.4,
            Self::MediumBurn => 6.0,
            Self::SlowBurn => 1.0,
        }
    }

    /// Returns the long and the short window.
    pub fn windows(self) -> [Window; 2] {
        match self {
            Self::FastBurn => [Window::OneHour, Window::FiveMinutes],
            Self::MediumBurn => [Window::SixHours, Window::ThirtyMinutes],
            Self::SlowBurn => [Window::ThreeDays, Window::SixHours],
        }
    }

    /// Returns how soon someone must act.
    pub fn severity(self) -> Severity {
        match self {
            Self::FastBurn | Self::MediumBurn => Severity::Page,
            Self::SlowBurn => Severity::Ticket,
        }
    }

    pub(super) fn fires(self, counts: &WindowCounts, objective: Share) -> bool {
        let [long, _] = self.windows();
        counts.get(long).bad() >= MIN_BAD
            && self.windows().iter().all(|window| counts.get(*window).burn_rate(objective) > self.threshold())
    }
}

/// Returns whether any window burns faster than the budget lasts.
pub(super) fn burns(counts: &WindowCounts, objective: Share) -> bool {
    Window::ALL.iter().map(|window| counts.get(*window)).any(|c| c.bad() >= MIN_BAD && c.burn_rate(objective) > 1.0)
}
