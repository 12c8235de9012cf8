//! Attempts that were given up.

use {
    super::Holder,
    crate::ids::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Time for which a released attempt is remembered by itself. A holder may send for 10 s after it
/// proposed, so every attempt older than this is over.
const REMEMBERED_MS: u64 = 60_000;

/// Most released attempts remembered one by one; 64 bytes each make 1 MB.
const MAX_RELEASED: usize = 16_384;

/// Attempts that were given up and never claim. An attempt that is forgotten leaves a floor for its
/// instance: no attempt at or below the floor claims any more, however late its command arrives.
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
        self.expiry.insert((clock + REMEMBERED_MS, holder.clone()));
        self.released.insert(holder, clock + REMEMBERED_MS);
        if self.released.len() > MAX_RELEASED {
            self.forget_first();
        }
    }

    pub(super) fn contains(&self, holder: &Holder) -> bool {
        let floor = self.floors.get(&holder.instance);
        floor.is_some_and(|floor| (holder.incarnation, holder.sequence) <= *floor) || self.released.contains_key(holder)
    }

    pub(super) fn prune(&mut self, clock: u64) {
        while self.expiry.first().is_some_and(|(expires, _)| *expires <= clock) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((_, holder)) = self.expiry.pop_first() else { return };
        self.released.remove(&holder);
        let floor = self.floors.entry(holder.instance).or_default();
        *floor = (*floor).max((holder.incarnation, holder.sequence));
    }
}
