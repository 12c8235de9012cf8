//! Brings each line into the one form that the INI library and the locator read alike.

use super::ConfigError;

const NO_LINE: &str = "expected [section], key = value or a comment that begins with # or ;";
const BACKSLASH: &str = "a backslash has no meaning in this text";

/// A text of the same number of lines, each a header, `key=value` or empty, and the lines that were neither.
///
/// The library joins a line without `=` to the next one and reads an indented comment as a key, so that its
/// faults would name a wrong line.
pub(super) struct Lines {
    pub(super) text: Box<str>,
    pub(super) faults: Vec<ConfigError>,
}

impl Lines {
    pub(super) fn new(source: &str) -> Self {
        let mut text = String::with_capacity(source.len());
        let mut faults = Vec::new();
        let mut section = String::new();
        for (index, line) in source.trim_start_matches('\u{feff}').lines().enumerate() {
            let line = line.trim();
            let start = text.len();
            match normalize(line, &mut text) {
                Ok(()) => {
                    if let Some(header) = text[start..].strip_prefix('[') {
                        section = header[..header.len() - 1].into();
                    }
                }
                Err(message) => faults.push(ConfigError {
                    line: index + 1,
                    section: section.as_str().into(),
                    key: "".into(),
                    message: message.into(),
                }),
            }
            text.push('\n');
        }
        Self { text: text.into(), faults }
    }
}

/// Appends the one form of a trimmed line, or says what is wrong with the line.
fn normalize(line: &str, text: &mut String) -> Result<(), &'static str> {
    if line.is_empty() || line.starts_with([';', '#']) {
        return Ok(());
    }
    // The library reads a backslash as an escape or as a sign that the next line goes on, even where
    // escapes are off.
    if line.contains('\\') {
        return Err(BACKSLASH);
    }
    // The library also ends a line at a carriage return.
    if line.contains('\r') {
        return Err(NO_LINE);
    }
    if let Some(rest) = line.strip_prefix('[') {
        let header = rest.strip_suffix(']').filter(|header| !header.contains(['[', ']'])).ok_or(NO_LINE)?;
        let mut words = header.split_whitespace();
        let first = words.next().ok_or(NO_LINE)?;
        text.push('[');
        text.push_str(first);
        for word in words {
            text.push(' ');
            text.push_str(word);
        }
        text.push(']');
        return Ok(());
    }
    let (key, value) = line.split_once(['=', ':']).ok_or(NO_LINE)?;
    let key = key.trim_end();
    if key.is_empty() {
        return Err(NO_LINE);
    }
    text.push_str(key);
    text.push('=');
    text.push_str(value.trim_start());
    Ok(())
}
