//! Data centres whose servers get no calls.

use {
    crate::ids::{DataCentreId, LogIndex},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Maximum number of data centres of which an order is kept: several times as many as any platform has.
pub const MAX_EVACUATIONS: usize = 64;

/// The last order for each data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Evacuations(BTreeMap<DataCentreId, Evacuation>);

/// The last order for a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Whether the order is to evacuate the data centre; if not, an earlier one was withdrawn.
    pub is_active: bool,
    /// Index of the order in the log.
    pub index: LogIndex,
    /// Wall-clock time of the order in Unix milliseconds.
    pub at: u64,
}

impl Evacuations {
    /// Returns whether no order was ever recorded. An order is only evicted by another one.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether an order for this data centre can be recorded.
    pub(super) fn has_room_for(&self, data_centre: &str) -> bool {
        self.0.len() < MAX_EVACUATIONS
            || self.0.contains_key(data_centre)
            || self.0.values().any(|evacuation| !evacuation.is_active)
    }

    /// Records an order; returns whether the state is the ordered one afterwards. A repetition changes nothing, and the
    /// end of an evacuation that never began is recorded, as an order for the data centre was accepted then.
    pub(super) fn record(&mut self, index: LogIndex, data_centre: DataCentreId, is_active: bool, at: u64) -> bool {
        if self.get(&data_centre).is_some_and(|evacuation| evacuation.is_active == is_active) {
            return true;
        }
        if !self.has_room_for(&data_centre) {
            return false;
        }
        if self.0.len() >= MAX_EVACUATIONS && !self.0.contains_key(&data_centre) {
            self.evict_oldest_ended();
        }
        self.0.insert(data_centre, Evacuation { is_active, index, at });
        true
    }

    pub(super) fn get(&self, data_centre: &str) -> Option<Evacuation> {
        self.0.get(data_centre).copied()
    }

    pub(super) fn active(&self) -> impl Iterator<Item = &DataCentreId> {
        self.0.iter().filter(|(_, evacuation)| evacuation.is_active).map(|(data_centre, _)| data_centre)
    }

    fn evict_oldest_ended(&mut self) {
        let ended = self.0.iter().filter(|(_, evacuation)| !evacuation.is_active);
        let oldest = ended.min_by_key(|(_, evacuation)| evacuation.index).map(|(data_centre, _)| data_centre.clone());
        if let Some(oldest) = oldest {
            self.0.remove(&oldest);
        }
    }
}
