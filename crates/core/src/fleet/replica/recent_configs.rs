//! Configuration texts from which entries are updated to the newest one.

use {
    crate::{collections::FastMap, fleet::ConfigUpdate, ids::ChangeNumber},
    derive_more::Debug,
    std::{collections::VecDeque, sync::Arc},
};

/// Maximum number of earlier texts to keep. Entries poll four times a second, so that an entry is seldom further
/// behind.
const MAX_TEXTS: usize = 8;
/// Maximum size of the earlier texts together, in bytes.
const MAX_BYTES: usize = 8 * 1_024 * 1_024;

/// Recent configuration texts, and the updates from them to the newest one.
#[derive(Debug, Default)]
pub(super) struct RecentConfigs {
    /// The newest text and those before it, oldest first.
    #[debug("{} texts", texts.len())]
    texts: VecDeque<(ChangeNumber, Arc<str>)>,
    updates: FastMap<ChangeNumber, ConfigUpdate>,
}

impl RecentConfigs {
    /// Records the newest text.
    pub(super) fn record(&mut self, number: ChangeNumber, text: &str) {
        if self.texts.back().is_some_and(|(newest, _)| *newest >= number) {
            return;
        }
        self.updates.clear();
        self.texts.push_back((number, text.into()));
        let is_excessive = |texts: &VecDeque<(ChangeNumber, Arc<str>)>| {
            let earlier = texts.len().saturating_sub(1);
            let bytes: usize = texts.iter().take(earlier).map(|(_, text)| text.len()).sum();
            earlier > MAX_TEXTS || bytes > MAX_BYTES
        };
        while is_excessive(&self.texts) {
            self.texts.pop_front();
        }
    }

    /// Returns the update from a change to the newest one; it contains the whole text if the change is not kept.
    pub(super) fn update_from(&mut self, base: ChangeNumber) -> Option<&ConfigUpdate> {
        let (number, newest) = self.texts.back()?;
        let known = self.texts.iter().find(|(number, _)| *number == base);
        let (base, text) = known.map_or((0, ""), |(number, text)| (*number, text));
        Some(self.updates.entry(base).or_insert_with(|| ConfigUpdate::between((base, text), (*number, newest))))
    }
}
