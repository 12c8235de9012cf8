//! Fractions of a whole.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

const MILLIONTHS_PER_PERCENT: f64 = 10_000.0;

/// A fraction of a whole in millionths, so that equal inputs yield equal values. `Display` formats it as a percentage
/// that [`Share::parse`] accepts.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{}%", f64::from(self.0) / MILLIONTHS_PER_PERCENT)]
pub struct Share(u32);

impl Share {
    /// The whole.
    pub const ONE: Self = Self(1_000_000);

    /// Creates a share from millionths; larger values are clamped to the whole.
    pub const fn from_millionths(millionths: u32) -> Self {
        if millionths > Self::ONE.0 { Self::ONE } else { Self(millionths) }
    }

    /// Parses a percentage such as `99.9%`.
    ///
    /// ```
    /// use hemlockford_core::units::Share;
    /// assert_eq!(Share::parse("0.5%").unwrap().fraction(), 0.005);
    /// assert_eq!(Share::parse("101%"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let percent: f64 = text.strip_suffix('%')?.trim_end().parse().ok()?;
        let is_part = (0.0..=100.0).contains(&percent);
        is_part.then(|| Self((percent * MILLIONTHS_PER_PERCENT).round() as u32))
    }

    /// Returns the share as a number between 0 and 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::ONE.0)
    }
}
