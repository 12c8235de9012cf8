//! Released attempts.

use {
    super::Holder,
    crate::ids::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Retention of an individual released attempt. A holder may send for 10 s after its proposal, so any older attempt
/// is over.
const RELEASE_RETENTION_MS: u64 = 60_000;

/// Maximum number of released attempts that are kept individually: 1 MB at 64 bytes each.
const MAX_RELEASED_ATTEMPTS: usize = 16_384;

/// Attempts that were released and must not claim a key any more. An evicted attempt leaves a floor for its instance:
/// attempts at or below the floor cannot claim a key, however late their commands arrive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Releases {
    released: BTreeMap<Holder, u64>,
    expiry: BTreeSet<(u64, Holder)>,
    floors: BTreeMap<InstanceId, (Incarnation, u64)>,
}

impl Releases {
    pub(super) fn add(&mut self, clock: u64, holder: Holder) {
        if self.contains(&holder) {
            return;
        }
        self.expiry.insert((clock + RELEASE_RETENTION_MS, holder.clone()));
        self.released.insert(holder, clock + RELEASE_RETENTION_MS);
        if self.released.len() > MAX_RELEASED_ATTEMPTS {
            self.evict_oldest();
        }
    }

    pub(super) fn contains(&self, holder: &Holder) -> bool {
        let floor = self.floors.get(&holder.instance);
        floor.is_some_and(|floor| (holder.incarnation, holder.sequence) <= *floor) || self.released.contains_key(holder)
    }

    pub(super) fn prune(&mut self, clock: u64) {
        while self.expiry.first().is_some_and(|(expires, _)| *expires <= clock) {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((_, holder)) = self.expiry.pop_first() else { return };
        self.released.remove(&holder);
        let floor = self.floors.entry(holder.instance).or_default();
        *floor = (*floor).max((holder.incarnation, holder.sequence));
    }
}
