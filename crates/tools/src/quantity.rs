//! Parser of durations with units, as used by the options of the tools.

use std::time::Duration;

/// Maximum duration of an option, which keeps sums of durations far from overflow.
const MAX_SECONDS: f64 = 86_400.0;

/// Parses a duration such as `250us`, `1.5ms` or `3s`.
///
/// ```
/// use {hemlockford_tools::parse_time, std::time::Duration};
/// assert_eq!(parse_time("1.5ms"), Ok(Duration::from_micros(1_500)));
/// assert!(parse_time("5").is_err());
/// ```
pub fn parse_time(text: &str) -> Result<Duration, String> {
    let error = || format!("'{text}' is not a time such as 250us, 1.5ms or 3s");
    let unit = text.find(|c: char| !c.is_ascii_digit() && c != '.').ok_or_else(error)?;
    let (number, unit) = text.split_at(unit);
    let number: f64 = number.parse().map_err(|_| error())?;
    let seconds = match unit {
        "us" => number / 1e6,
        "ms" => number / 1e3,
        "s" => number,
        _ => return Err(error()),
    };
    if seconds > MAX_SECONDS {
        return Err(format!("'{text}' is longer than a day"));
    }
    Ok(Duration::from_secs_f64(seconds))
}
