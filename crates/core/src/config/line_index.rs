//! Index of the line numbers of keys, which the INI library does not report.

use {
    crate::collections::FastMap,
    std::{cell::Cell, collections::hash_map::Entry},
};

/// Line numbers by section and key.
#[derive(Debug, Default)]
pub(super) struct LineIndex {
    /// Line numbers by section and key. The section header has an empty key.
    sections: FastMap<Box<str>, FastMap<Box<str>, usize>>,
    duplicates: Vec<(Box<str>, Box<str>, usize)>,
    /// Number of lines read and of lookups so far.
    steps: Cell<usize>,
}

impl LineIndex {
    /// Indexes a source that was normalized by `NormalizedSource`.
    pub(super) fn new(source: &str) -> Self {
        let mut line_index = Self::default();
        let mut section = "";
        let mut keys = line_index.sections.entry(section.into()).or_default();
        for (index, line) in source.lines().enumerate() {
            line_index.steps.set(index + 1);
            let key = match line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                Some(header) => {
                    section = header;
                    keys = line_index.sections.entry(section.into()).or_default();
                    ""
                }
                None => match line.split_once('=') {
                    Some((key, _)) => key,
                    None => continue,
                },
            };
            match keys.entry(key.into()) {
                Entry::Occupied(_) => line_index.duplicates.push((section.into(), key.into(), index + 1)),
                Entry::Vacant(entry) => {
                    entry.insert(index + 1);
                }
            }
        }
        line_index
    }

    /// Returns the line number of a key, or 0 if there is none.
    pub(super) fn line(&self, section: &str, key: &str) -> usize {
        self.steps.set(self.steps.get() + 1);
        self.sections.get(section).and_then(|keys| keys.get(key)).copied().unwrap_or_default()
    }

    /// Number of lines read and of lookups so far.
    pub(super) fn steps(&self) -> usize {
        self.steps.get()
    }

    /// Returns the sections and keys that are repeated, with their line numbers.
    pub(super) fn duplicates(&self) -> &[(Box<str>, Box<str>, usize)] {
        &self.duplicates
    }
}
