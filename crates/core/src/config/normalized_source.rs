//! Normalizes each line, so that the INI library and the line index read it in the same way.

use super::ConfigError;

const EXPECTED_LINE: &str = "expected [section], key = value or a comment that begins with # or ;";
const UNEXPECTED_BACKSLASH: &str = "a backslash has no meaning in this text";

/// A source with the same number of lines, each of which is a header, `key=value` or empty, and the errors of lines in
/// any other form.
///
/// The library joins a line without `=` to the next one and reads an indented comment as a key, so its errors would
/// refer to the wrong line.
pub(super) struct NormalizedSource {
    pub(super) source: Box<str>,
    pub(super) errors: Vec<ConfigError>,
}

impl NormalizedSource {
    pub(super) fn new(source: &str) -> Self {
        let mut normalized = String::with_capacity(source.len());
        let mut errors = Vec::new();
        let mut section = String::new();
        for (index, line) in source.trim_start_matches('\u{feff}').lines().enumerate() {
            let line = line.trim();
            let start = normalized.len();
            match normalize(line, &mut normalized) {
                Ok(()) => {
                    if let Some(header) = normalized[start..].strip_prefix('[') {
                        section = header[..header.len() - 1].into();
                    }
                }
                Err(message) => errors.push(ConfigError {
                    line: index + 1,
                    section: section.as_str().into(),
                    key: "".into(),
                    message: message.into(),
                }),
            }
            normalized.push('\n');
        }
        Self { source: normalized.into(), errors }
    }
}

/// Appends the normalized form of a trimmed line; returns an error message if the line is invalid.
fn normalize(line: &str, output: &mut String) -> Result<(), &'static str> {
    if line.is_empty() || line.starts_with([';', '#']) {
        return Ok(());
    }
    // The library interprets a backslash as an escape or as a line continuation, even if escapes are disabled.
    if line.contains('\\') {
        return Err(UNEXPECTED_BACKSLASH);
    }
    // The library also treats a carriage return as the end of a line.
    if line.contains('\r') {
        return Err(EXPECTED_LINE);
    }
    if let Some(rest) = line.strip_prefix('[') {
        let header = rest.strip_suffix(']').filter(|header| !header.contains(['[', ']'])).ok_or(EXPECTED_LINE)?;
        let mut words = header.split_whitespace();
        let first = words.next().ok_or(EXPECTED_LINE)?;
        output.push('[');
        output.push_str(first);
        for word in words {
            output.push(' ');
            output.push_str(word);
        }
        output.push(']');
        return Ok(());
    }
    let (key, value) = line.split_once(['=', ':']).ok_or(EXPECTED_LINE)?;
    let key = key.trim_end();
    if key.is_empty() {
        return Err(EXPECTED_LINE);
    }
    output.push_str(key);
    output.push('=');
    output.push_str(value.trim_start());
    Ok(())
}
