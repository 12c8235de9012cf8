//! The newest configuration that an entry has received, which may not be in force yet.

use {
    crate::{config::LONG_CONFIG_BYTES, fleet::ConfigUpdate, ids::ChangeNumber},
    derive_more::Debug,
    std::sync::Arc,
};

/// Result of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateResult {
    /// The text is the one of the new change.
    Applied,
    /// The change is not newer than the received one.
    Outdated,
    /// The update belongs to the text of another change.
    OtherBase,
    /// The update cannot be read.
    Unreadable,
}

/// The newest configuration that an entry has received.
///
/// Only one text is parsed at a time, and after it the newest one: changes that follow each other faster than they are
/// parsed must not queue up.
#[derive(Debug)]
pub(super) struct ReceivedConfig {
    /// Newest change received, even if it cannot be parsed.
    number: ChangeNumber,
    #[debug("{} bytes", text.len())]
    text: Arc<str>,
    /// Change whose text is being parsed.
    parsing: Option<ChangeNumber>,
    /// Newest change whose text was parsed, or could not be.
    settled: ChangeNumber,
    has_config: bool,
}

impl Default for ReceivedConfig {
    fn default() -> Self {
        Self { number: 0, text: "".into(), parsing: None, settled: 0, has_config: false }
    }
}

impl ReceivedConfig {
    /// Returns the newest change received.
    pub(super) fn number(&self) -> ChangeNumber {
        self.number
    }

    /// Returns whether some configuration is in force, and none of a change up to `required` is still to be parsed.
    pub(super) fn is_settled(&self, required: ChangeNumber) -> bool {
        self.has_config && self.settled >= required
    }

    /// Applies an update to the received text.
    pub(super) fn update(&mut self, update: &ConfigUpdate) -> UpdateResult {
        if update.number <= self.number {
            return UpdateResult::Outdated;
        }
        let base = match update.base {
            0 => "",
            base if base == self.number => &self.text,
            _ => return UpdateResult::OtherBase,
        };
        let Some(text) = update.apply(base) else { return UpdateResult::Unreadable };
        (self.number, self.text) = (update.number, text.into());
        UpdateResult::Applied
    }

    /// Returns the text to parse next, if none is being parsed and there is a newer one.
    pub(super) fn begin_parse(&mut self) -> Option<(ChangeNumber, Arc<str>)> {
        if self.parsing.is_some() || self.number <= self.settled {
            return None;
        }
        self.parsing = Some(self.number);
        Some((self.number, self.text.clone()))
    }

    /// Records that a text was parsed. Returns whether it was the one being parsed.
    pub(super) fn end_parse(&mut self, number: ChangeNumber, is_valid: bool) -> bool {
        if self.parsing != Some(number) {
            return false;
        }
        (self.parsing, self.settled) = (None, number);
        self.has_config |= is_valid;
        true
    }
}

/// Returns whether a text takes too long to parse between two messages.
pub(super) fn is_long(text: &str) -> bool {
    text.len() >= LONG_CONFIG_BYTES
}
