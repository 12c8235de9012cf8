//! Entries to which this one passes calls on if it has lost the path to the servers.

use {
    crate::{
        collections::FastMap,
        dispatch::RelayAddress,
        slots::{NameHash, name_hash},
    },
    rand::{RngExt, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Maximum number of entries that are remembered.
const MAX_RELAYS: usize = 16;
/// Time without news after which an entry is forgotten when there are other ones.
const LIFETIME: Duration = Duration::from_secs(30);
/// Time for which an entry that could not serve a call of a service gets no more of them.
const AVOIDED_FOR: Duration = Duration::from_secs(2);

/// An entry that takes calls from this one.
#[derive(Clone, Debug)]
struct Relay {
    name: NameHash,
    address: RelayAddress,
    named_at: Instant,
    /// Calls that it handles for this entry.
    in_flight: usize,
    /// Services of which it gets no calls until a time.
    avoided: FastMap<NameHash, Instant>,
}

/// Entries to which this one passes calls on.
#[derive(Clone, Debug, Default)]
pub(super) struct Relays(Vec<Relay>);

impl Relays {
    /// Adds the entries that a replica has named.
    pub(super) fn update(&mut self, now: Instant, addresses: Vec<RelayAddress>) {
        for address in addresses {
            let name = name_hash(&address.entry);
            if let Some(known) = self.0.iter_mut().find(|relay| relay.name == name) {
                (known.address, known.named_at) = (address, now);
                continue;
            }
            if self.0.len() >= MAX_RELAYS {
                let oldest = (0..self.0.len()).min_by_key(|index| self.0[*index].named_at);
                oldest.into_iter().for_each(|index| drop(self.0.swap_remove(index)));
            }
            self.0.push(Relay { name, address, named_at: now, in_flight: 0, avoided: FastMap::default() });
        }
        self.0.retain(|relay| now.saturating_duration_since(relay.named_at) < LIFETIME);
    }

    /// Chooses an entry for a call: of two at random, the one that handles fewer calls of this entry.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        service: NameHash,
        tried: &[NameHash],
        rng: &mut SmallRng,
    ) -> Option<(NameHash, RelayAddress)> {
        let is_usable = |relay: &Relay| {
            !tried.contains(&relay.name) && relay.avoided.get(&service).is_none_or(|until| now >= *until)
        };
        let usable: Vec<_> = (0..self.0.len()).filter(|index| is_usable(&self.0[*index])).collect();
        if usable.is_empty() {
            return None;
        }
        let mut draw = || usable[rng.random_range(0..usable.len())];
        let (first, second) = (draw(), draw());
        let chosen = if self.0[second].in_flight < self.0[first].in_flight { second } else { first };
        let relay = &mut self.0[chosen];
        relay.in_flight += 1;
        Some((relay.name, relay.address.clone()))
    }

    /// Records the end of a call that an entry handled. One that could not serve it is avoided for some time.
    pub(super) fn finish(&mut self, now: Instant, entry: NameHash, service: NameHash, could_serve: bool) {
        let Some(relay) = self.0.iter_mut().find(|relay| relay.name == entry) else { return };
        relay.in_flight = relay.in_flight.saturating_sub(1);
        if !could_serve {
            relay.avoided.insert(service, now + AVOIDED_FOR);
        }
    }
}
