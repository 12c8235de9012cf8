//! Level of the format that a configuration text needs.

use super::{TextLine, text_lines};

/// Level of a text that every version reads.
pub const FORMER_LEVEL: u32 = 1;

/// Level of a text with customers that have keys, a priority or a rate, with the warm-up of servers, with downloads, or
/// with anonymous routes. The version that is stated with this level reads the command to evacuate a data centre too.
pub const LEVEL: u32 = 2;

/// Returns the level that an instance must state to read a text that was checked before.
///
/// ```
/// use hemlockford_core::config::required_level;
/// assert_eq!(required_level("[change]\nnumber = 1\n[customer a]\nweight = 2\n"), 1);
/// assert_eq!(required_level("[change]\nnumber = 1\n[ customer  a ]\n rate : 2\n"), 2);
/// assert_eq!(required_level("[route a]\nkind = download\n"), 2);
/// ```
pub fn required_level(text: &str) -> u32 {
    let mut section = "";
    for line in text_lines(text) {
        match line {
            TextLine::Section { kind, .. } => section = kind,
            TextLine::Key { key, value } if is_new(section, key, value) => return LEVEL,
            TextLine::Key { .. } => {}
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
