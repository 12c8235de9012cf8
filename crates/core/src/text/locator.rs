//! Finds the line of a key, which the INI library does not report.

use {crate::collections::FastMap, std::collections::hash_map::Entry};

/// Index from (section, key) to line numbers.
#[derive(Debug, Default)]
pub(super) struct Locator {
    lines: FastMap<(Box<str>, Box<str>), usize>,
    duplicates: Vec<(Box<str>, Box<str>, usize)>,
}

impl Locator {
    /// Reads a text in the form that `Lines` gives.
    pub(super) fn new(source: &str) -> Self {
        let mut locator = Self::default();
        let mut section: Box<str> = "".into();
        for (index, line) in source.lines().enumerate() {
            if let Some(header) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                section = header.into();
                locator.insert(section.clone(), "".into(), index + 1);
            } else if let Some((key, _)) = line.split_once('=') {
                locator.insert(section.clone(), key.into(), index + 1);
            }
        }
        locator
    }

    pub(super) fn line(&self, section: &str, key: &str) -> usize {
        let place = (section.into(), key.into());
        self.lines.get(&place).copied().unwrap_or_default()
    }

    /// Sections and keys that are given a second time, with their lines.
    pub(super) fn duplicates(&self) -> &[(Box<str>, Box<str>, usize)] {
        &self.duplicates
    }

    fn insert(&mut self, section: Box<str>, key: Box<str>, line: usize) {
        match self.lines.entry((section, key)) {
            Entry::Occupied(entry) => {
                let (section, key) = entry.key().clone();
                self.duplicates.push((section, key, line));
            }
            Entry::Vacant(entry) => {
                entry.insert(line);
            }
        }
    }
}
