//! Entries that take calls from this one.

use {
    super::{EntryAction, EntryLink},
    crate::dispatch::RelayAddress,
};

impl EntryLink {
    /// Passes on the entries that a replica has named, without this one.
    pub(super) fn pass_on_relays(&self, mut relays: Vec<RelayAddress>, out: &mut Vec<EntryAction>) {
        relays.retain(|relay| relay.entry != self.options.id);
        if !relays.is_empty() {
            out.push(EntryAction::Relays(relays));
        }
    }
}
