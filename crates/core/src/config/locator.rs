//! Finds the line of a key, which the INI library does not report.

use {
    crate::collections::FastMap,
    std::{cell::Cell, collections::hash_map::Entry},
};

/// Index from sections and their keys to line numbers.
#[derive(Debug, Default)]
pub(super) struct Locator {
    /// Lines by key within a section; that of the header has the empty key.
    sections: FastMap<Box<str>, FastMap<Box<str>, usize>>,
    duplicates: Vec<(Box<str>, Box<str>, usize)>,
    /// Lines that were read and look-ups since.
    steps: Cell<usize>,
}

impl Locator {
    /// Reads a text in the form that `Lines` gives.
    pub(super) fn new(source: &str) -> Self {
        let mut locator = Self::default();
        let mut section = "";
        let mut keys = locator.sections.entry(section.into()).or_default();
        for (index, line) in source.lines().enumerate() {
            locator.steps.set(index + 1);
            let key = match line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                Some(header) => {
                    section = header;
                    keys = locator.sections.entry(section.into()).or_default();
                    ""
                }
                None => match line.split_once('=') {
                    Some((key, _)) => key,
                    None => continue,
                },
            };
            match keys.entry(key.into()) {
                Entry::Occupied(_) => locator.duplicates.push((section.into(), key.into(), index + 1)),
                Entry::Vacant(entry) => {
                    entry.insert(index + 1);
                }
            }
        }
        locator
    }

    pub(super) fn line(&self, section: &str, key: &str) -> usize {
        self.steps.set(self.steps.get() + 1);
        self.sections.get(section).and_then(|keys| keys.get(key)).copied().unwrap_or_default()
    }

    /// Lines that were read and look-ups since.
    pub(super) fn steps(&self) -> usize {
        self.steps.get()
    }

    /// Sections and keys that are given a second time, with their lines.
    pub(super) fn duplicates(&self) -> &[(Box<str>, Box<str>, usize)] {
        &self.duplicates
    }
}
