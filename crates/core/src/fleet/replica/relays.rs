//! Entries that take calls from other entries.

use {
    crate::{dispatch::RelayAddress, ids::InstanceId},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Number of entries that are named to an entry, which remembers those of several messages.
const NAMED_TO_ENTRIES: usize = 4;
/// Number of entries that are named to other replicas.
const NAMED_TO_REPLICAS: usize = 8;
/// Maximum number of entries that are remembered.
const MAX_ENTRIES: usize = 2_048;
/// Time without a poll after which an entry that polls this replica is forgotten.
const OWN_LIFETIME: Duration = Duration::from_secs(2);
/// Time after which an entry is forgotten that no other replica has named. Each names one of a hundred entries more
/// often.
const LIFETIME: Duration = Duration::from_secs(10);

/// Entries that take calls from other entries, by name.
#[derive(Debug, Default)]
pub(super) struct Relays(BTreeMap<InstanceId, Relay>);

#[derive(Debug)]
struct Relay {
    address: SocketAddr,
    heard_at: Instant,
    /// Whether the entry polls this replica.
    is_own: bool,
}

impl Relays {
    /// Records what an entry says of itself, or another replica of it.
    pub(super) fn record(&mut self, now: Instant, entry: &InstanceId, address: Option<SocketAddr>, is_own: bool) {
        match address {
            Some(address) if self.0.len() < MAX_ENTRIES || self.0.contains_key(entry) => {
                self.0.insert(entry.clone(), Relay { address, heard_at: now, is_own });
            }
            Some(_) => {}
            None => drop(self.0.remove(entry)),
        }
    }

    pub(super) fn remove_inactive(&mut self, now: Instant) {
        let lifetime = |relay: &Relay| if relay.is_own { OWN_LIFETIME } else { LIFETIME };
        self.0.retain(|_, relay| now.saturating_duration_since(relay.heard_at) < lifetime(relay));
    }

    /// Returns a sample of the entries; consecutive numbers yield all of them in turn.
    pub(super) fn sample(&self, number: u64) -> Vec<RelayAddress> {
        Self::part_of(self.0.iter().collect(), NAMED_TO_ENTRIES, number)
    }

    /// Returns a sample of the entries that poll this replica.
    pub(super) fn own_sample(&self, number: u64) -> Vec<RelayAddress> {
        Self::part_of(self.0.iter().filter(|(_, relay)| relay.is_own).collect(), NAMED_TO_REPLICAS, number)
    }

    fn part_of(relays: Vec<(&InstanceId, &Relay)>, size: usize, number: u64) -> Vec<RelayAddress> {
        if relays.is_empty() {
            return Vec::new();
        }
        let start = (number as usize).wrapping_mul(size) % relays.len();
        let ring = relays.iter().cycle().skip(start).take(size.min(relays.len()));
        ring.map(|(entry, relay)| RelayAddress { entry: (*entry).clone(), address: relay.address }).collect()
    }
}
