//! Checks of the head of a response that the codec does not make.

/// Largest status code of HTTP (RFC 9110, section 15).
pub(crate) const MAX_STATUS: u16 = 599;

/// Returns whether the names of the fields that have arrived are tokens (RFC 9110, section 5.1). The codec accepts blanks
/// between a name and the colon, and skips them; the server may have meant another field.
pub(crate) fn has_valid_names(head: &[u8]) -> bool {
    // Only lines with an end have arrived completely.
    let mut lines = head.split_inclusive(|byte| *byte == b'\n').filter(|line| line.ends_with(b"\n"));
    // Empty lines may precede the status line.
    let status_line = lines.by_ref().find(|line| !is_empty(line));
    status_line.is_none() || lines.take_while(|line| !is_empty(line)).all(has_valid_name)
}

fn is_empty(line: &[u8]) -> bool {
    matches!(line, b"\r\n" | b"\n")
}

fn has_valid_name(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    name.len() < line.len() && !name.is_empty() && name.iter().all(|byte| is_token_byte(*byte))
}

/// Returns whether a byte may occur in a token (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
