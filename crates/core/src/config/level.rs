//! Level of the format that a configuration text needs.

/// Level of a text that every version reads.
pub const FORMER_LEVEL: u32 = 1;

/// Level of a text with customers that have keys, a priority or a rate, with the warm-up of servers, with downloads, or
/// with anonymous routes. The version that is stated with this level reads the command to evacuate a data centre too.
pub const LEVEL: u32 = 2;

/// Returns the level that an instance must state to read a text that was checked before. Only looks at the lines, as a
/// full parse of a long text takes many times as long as any step of a replica.
///
/// ```
/// use hemlockford_core::config::required_level;
/// assert_eq!(required_level("[change]\nnumber = 1\n[customer a]\nweight = 2\n"), 1);
/// assert_eq!(required_level("[change]\nnumber = 1\n[ customer  a ]\n rate : 2\n"), 2);
/// assert_eq!(required_level("[route a]\nkind = download\n"), 2);
/// ```
pub fn required_level(text: &str) -> u32 {
    let mut section = "";
    for line in text.trim_start_matches('\u{feff}').lines().map(str::trim) {
        if let Some(header) = line.strip_prefix('[') {
            section = header.trim_end_matches(']').split_whitespace().next().unwrap_or_default();
        } else if !line.starts_with([';', '#'])
            && let Some((key, value)) = line.split_once(['=', ':'])
            && is_new(section, key.trim_end(), value.trim_start())
        {
            return LEVEL;
        }
    }
    FORMER_LEVEL
}

/// Returns whether the former version does not read a key or its value.
fn is_new(section: &str, key: &str, value: &str) -> bool {
    match (section, key) {
        ("customer", "keys" | "priority" | "rate" | "burst") => true,
        ("service", "warm-up" | "warm-up-rate") => true,
        ("route", "anonymous") => true,
        ("route", "kind") => value == "download",
        _ => false,
    }
}
