//! The time windows over which burn is measured.

use {
    crate::units::Share,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A time window over which burn is measured.
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
    /// Three days, the time for which the error budget is kept.
    #[display("3d")]
    #[serde(rename = "3d")]
    ThreeDays,
}

impl Window {
    /// Every window, the shortest first.
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

/// Calls within one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCount {
    /// Calls that met the objective.
    pub good: u64,
    /// All calls.
    pub total: u64,
}

impl WindowCount {
    /// Returns the calls that missed the objective.
    pub fn bad(self) -> u64 {
        self.total.saturating_sub(self.good)
    }

    /// Returns the error rate in multiples of the rate that uses up the budget exactly.
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
        // An objective of 100% leaves no budget; it is treated as one bad call in a million.
        let permitted = (1.0 - objective.fraction()).max(1e-6);
        self.bad() as f64 / self.total as f64 / permitted
    }

    pub(super) fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }
}

/// Calls in each window, in the order of [`Window::ALL`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts([WindowCount; Window::ALL.len()]);

impl WindowCounts {
    pub(super) fn new(count: impl FnMut(Window) -> WindowCount) -> Self {
        Self(Window::ALL.map(count))
    }

    /// Returns the calls of one window.
    pub fn get(&self, window: Window) -> WindowCount {
        self.0[window as usize]
    }

    pub(super) fn add(&mut self, other: &Self) {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            own.add(other);
        }
    }
}
