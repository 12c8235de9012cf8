//! Quantities with their units, as the operators' text and the settings write them.

mod share;

pub use share::Share;

use std::time::Duration;

/// Longest duration in milliseconds that is read: a year. A time that lies further ahead could not be
/// represented on every platform.
const MAX_MILLISECONDS: u64 = 365 * 24 * 3_600_000;

/// Parses a duration of at most a year, such as `250ms`, `5s`, `15m` or `1h`.
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
    let milliseconds = number.checked_mul(milliseconds).filter(|length| *length <= MAX_MILLISECONDS)?;
    Some(Duration::from_millis(milliseconds))
}
