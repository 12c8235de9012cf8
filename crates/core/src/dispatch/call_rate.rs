//! Rate of calls that a server takes.

/// Maximum rate in calls per second; a higher one is no limit in practice.
const MAX_PER_SECOND: f64 = 1e6;

/// Rate of calls that a server takes from all entries together, in thousandths of a call per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRate(u32);

impl CallRate {
    /// Returns the rate for a number of calls per second, or `None` if it is negative or not a number. A rate of 0 means
    /// that the server takes no calls.
    ///
    /// ```
    /// use hemlockford_core::dispatch::CallRate;
    /// assert_eq!(CallRate::from_per_second(1.7).map(CallRate::per_second), Some(1.7));
    /// assert_eq!(CallRate::from_per_second(-1.0), None);
    /// assert_eq!(CallRate::from_per_second(f64::NAN), None);
    /// ```
    pub fn from_per_second(calls: f64) -> Option<Self> {
        (calls >= 0.0).then(|| Self((calls.min(MAX_PER_SECOND) * 1e3) as u32))
    }

    /// Returns the number of calls per second.
    ///
    /// ```
    /// use hemlockford_core::dispatch::CallRate;
    /// assert_eq!(CallRate::from_per_second(0.5).unwrap().per_second(), 0.5);
    /// ```
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}
