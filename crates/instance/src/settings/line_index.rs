//! Index of the line numbers of keys, which the INI library does not report.

use hemlockford_core::collections::FastMap;

/// Last line number of each key, by section and key. The section header has an empty key. The index is built once, so
/// that the time to report many errors is linear in the size of the file.
#[derive(Debug)]
pub(super) struct LineIndex<'a>(FastMap<&'a str, FastMap<&'a str, usize>>);

impl<'a> LineIndex<'a> {
    pub(super) fn new(source: &'a str) -> Self {
        let mut sections = FastMap::<&str, FastMap<&str, usize>>::default();
        let mut current = "";
        for (index, line) in source.lines().enumerate() {
            let line = line.trim();
            let key = if let Some(header) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                current = header.trim();
                ""
            } else if let Some((name, _)) = line.split_once(['=', ':'])
                && !line.starts_with([';', '#'])
            {
                name.trim()
            } else {
                continue;
            };
            sections.entry(current).or_default().insert(key, index + 1);
        }
        Self(sections)
    }

    /// Returns the line number of a key, or of its section if the key is missing, or 0 if both are missing.
    pub(super) fn line(&self, section: &str, key: &str) -> usize {
        let keys = self.0.get(section);
        keys.and_then(|keys| keys.get(key).or_else(|| keys.get(""))).copied().unwrap_or_default()
    }
}
