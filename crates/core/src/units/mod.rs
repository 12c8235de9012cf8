//! Quantities with their units, as the operators' text and the settings write them.

mod share;

pub use share::Share;

use std::time::Duration;

/// Parses a duration such as `250ms`, `5s`, `15m` or `1h`.
///
/// ```
/// use {hemlockford_core::units::parse_duration, std::time::Duration};
/// assert_eq!(parse_duration("250ms"), Some(Duration::from_millis(250)));
/// assert_eq!(parse_duration("250"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let milliseconds = match unit.trim_start() {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    Some(Duration::from_millis(number.checked_mul(milliseconds)?))
}
