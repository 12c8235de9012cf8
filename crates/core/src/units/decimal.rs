//! Non-negative decimal numbers.

use derive_more::Display;

const MILLIONTHS: f64 = 1e6;

/// A non-negative number in millionths, so that equal inputs yield equal values. `Display` formats it in the form that
/// [`Decimal::parse`] accepts.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", self.value())]
pub struct Decimal(u64);

impl Decimal {
    /// Largest accepted number. Higher rates are no limit in practice, and its millionths are represented exactly.
    pub const MAX: Self = Self(1_000_000_000_000_000);

    /// Creates the number that is closest to the given one; `None` if that is negative, larger than [`Decimal::MAX`] or not
    /// a number.
    ///
    /// ```
    /// use hemlockford_core::units::Decimal;
    /// assert_eq!(Decimal::new(3.8).map(Decimal::value), Some(3.8));
    /// assert_eq!(Decimal::new(-1.0), None);
    /// assert_eq!(Decimal::new(1e300), None);
    /// ```
    pub fn new(value: f64) -> Option<Self> {
        (0.0..=Self::MAX.value()).contains(&value).then(|| Self((value * MILLIONTHS).round() as u64))
    }

    /// Parses a number such as `3.8`.
    ///
    /// ```
    /// use hemlockford_core::units::Decimal;
    /// assert_eq!(Decimal::parse("284"), Decimal::new(284.0));
    /// assert_eq!(Decimal::parse("inf"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        Self::new(text.parse().ok()?)
    }

    /// Returns the number.
    pub fn value(self) -> f64 {
        self.0 as f64 / MILLIONTHS
    }
}
