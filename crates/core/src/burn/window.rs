//! Time windows of burn rates.

use {
    crate::units::Share,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A time window over which the burn rate is computed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Window {
    /// Five minutes.
    #[display("5m")]
    #[serde(rename = "5m")]
    FiveMinutes,
    /// Thirty minutes.
    #[display("30m")]
    #[serde(rename = "30m")]
    ThirtyMinutes,
    /// One hour.
    #[display("1h")]
    #[serde(rename = "1h")]
    OneHour,
    /// Six hours.
    #[display("6h")]
    #[serde(rename = "6h")]
    SixHours,
    /// Three days, the period of the error budget.
    #[display("3d")]
    #[serde(rename = "3d")]
    ThreeDays,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Self; 5] = [Self::FiveMinutes, Self::ThirtyMinutes, Self::OneHour, Self::SixHours, Self::ThreeDays];

    /// Returns the length of the window.
    pub const fn length(self) -> Duration {
        let minutes = match self {
            Self::FiveMinutes => 5,
            Self::ThirtyMinutes => 30,
            Self::OneHour => 60,
            Self::SixHours => 6 * 60,
            Self::ThreeDays => 3 * 24 * 60,
        };
        Duration::from_secs(minutes * 60)
    }
}

/// Call counts of one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCount {
    /// Number of calls that met the objective.
    pub good: u64,
    /// Number of all calls.
    pub total: u64,
}

impl WindowCount {
    /// Returns the number of calls that missed the objective.
    pub fn bad(self) -> u64 {
        self.total.saturating_sub(self.good)
    }

    /// Returns the error rate as a multiple of the rate that exactly uses up the error budget.
    ///
    /// ```
    /// use hemlockford_core::{burn::WindowCount, units::Share};
    /// let count = WindowCount { good: 980, total: 1_000 };
    /// let rate = count.burn_rate(Share::parse("99%").unwrap());
    /// assert!((rate - 2.0).abs() < 1e-9);
    /// ```
    pub fn burn_rate(self, objective: Share) -> f64 {
        if self.bad() == 0 {
            return 0.0;
        }
        // An objective of 100% leaves no error budget; one bad call in a million is assumed instead.
        let permitted = (1.0 - objective.fraction()).max(1e-6);
        self.bad() as f64 / self.total as f64 / permitted
    }

    pub(super) fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }
}

/// Call counts of all windows, in the order of [`Window::ALL`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts([WindowCount; Window::ALL.len()]);

impl WindowCounts {
    pub(super) fn new(count: impl FnMut(Window) -> WindowCount) -> Self {
        Self(Window::ALL.map(count))
    }

    /// Returns the counts of one window.
    pub fn get(&self, window: Window) -> WindowCount {
        self.0[window as usize]
    }

    pub(super) fn add(&mut self, other: &Self) {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            own.add(other);
        }
    }
}
