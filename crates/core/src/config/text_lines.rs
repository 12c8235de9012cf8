//! Lines of a text that was checked before.
//!
//! A full parse of a long text takes many times as long as any step of a replica, which therefore only looks through the
//! lines for what it needs.

/// A line of a text that was checked before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TextLine<'a> {
    /// The beginning of a section.
    Section { kind: &'a str, name: &'a str },
    /// A key of the section that began last.
    Key { key: &'a str, value: &'a str },
}

/// Returns the lines of a text in the form in which the parser reads them, without comments.
pub(crate) fn text_lines(text: &str) -> impl Iterator<Item = TextLine<'_>> {
    text.trim_start_matches('\u{feff}').lines().map(str::trim).filter_map(|line| {
        if let Some(header) = line.strip_prefix('[') {
            let mut words = header.trim_end_matches(']').split_whitespace();
            let (kind, name) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
            return Some(TextLine::Section { kind, name });
        }
        let (key, value) = line.split_once(['=', ':']).filter(|_| !line.starts_with([';', '#']))?;
        Some(TextLine::Key { key: key.trim_end(), value: value.trim_start() })
    })
}
