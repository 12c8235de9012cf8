//! Parsing and formatting of quantities with units, as used in the configuration and the settings.

mod decimal;
mod share;

pub use {decimal::Decimal, share::Share};

use std::time::Duration;

/// Maximum duration in microseconds that is accepted: one year. Times further in the future cannot be represented on
/// every platform.
const MAX_MICROSECONDS: u64 = 365 * 24 * 3_600_000_000;

/// Units of durations in microseconds, longest first.
const UNITS: [(&str, u64); 5] = [("h", 3_600_000_000), ("m", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1)];

/// Parses a duration of at most a year, such as `1500us`, `250ms`, `5s`, `15m` or `1h`.
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
    let (_, unit) = UNITS.into_iter().find(|(name, _)| *name == unit.trim_start())?;
    let microseconds = number.checked_mul(unit).filter(|length| *length <= MAX_MICROSECONDS)?;
    Some(Duration::from_micros(microseconds))
}

/// Formats a duration in the longest unit of which it is a multiple. Fractions of a microsecond are rounded up.
///
/// ```
/// use {hemlockford_core::units::format_duration, std::time::Duration};
/// assert_eq!(format_duration(Duration::from_secs(90)), "90s");
/// assert_eq!(format_duration(Duration::from_secs_f64(0.0123)), "12300us");
/// ```
pub fn format_duration(duration: Duration) -> String {
    let microseconds = duration.as_nanos().div_ceil(1_000);
    let divides = |unit: u64| microseconds.is_multiple_of(u128::from(unit));
    match UNITS.into_iter().find(|(_, unit)| microseconds > 0 && divides(*unit)) {
        Some((name, unit)) => format!("{}{name}", microseconds / u128::from(unit)),
        None => "0ms".into(),
    }
}
