//! Replicas that an entry knows of.

use {
    crate::{
        collections::FastMap,
        fleet::ReplicaName,
        ids::{DataCentreId, Incarnation, InstanceId},
    },
    rustc_hash::FxHasher,
    std::{
        hash::{Hash, Hasher},
        time::Instant,
    },
};

/// Most replicas that are remembered beside the seeds.
const MAX_KNOWN_REPLICAS: usize = 32;

#[derive(Clone, Debug)]
struct KnownReplica {
    data_centre: DataCentreId,
    incarnation: Incarnation,
    /// Last time that it was heard of.
    last_seen: Instant,
}

/// Replicas that an entry knows of: the seeds and those that replicas named.
#[derive(Debug)]
pub(super) struct KnownReplicas {
    entry: InstanceId,
    data_centre: DataCentreId,
    seeds: Vec<InstanceId>,
    replicas: FastMap<InstanceId, KnownReplica>,
}

impl KnownReplicas {
    pub(super) fn new(now: Instant, entry: InstanceId, data_centre: DataCentreId, seeds: Vec<InstanceId>) -> Self {
        let mut known = Self { entry, data_centre, seeds: Vec::new(), replicas: FastMap::default() };
        known.set_seeds(now, seeds);
        known
    }

    pub(super) fn set_seeds(&mut self, now: Instant, seeds: Vec<InstanceId>) {
        for seed in &seeds {
            self.learn(now, ReplicaName { id: seed.clone(), data_centre: DataCentreId::default() });
        }
        self.seeds = seeds;
    }

    pub(super) fn learn(&mut self, now: Instant, name: ReplicaName) {
        let replica = KnownReplica { data_centre: DataCentreId::default(), incarnation: 0, last_seen: now };
        let replica = self.replicas.entry(name.id.clone()).or_insert(replica);
        replica.last_seen = now;
        if !name.data_centre.is_empty() {
            replica.data_centre = name.data_centre;
        }
        if self.replicas.len() <= MAX_KNOWN_REPLICAS + self.seeds.len() {
            return;
        }
        let candidates = self.replicas.iter().filter(|(id, _)| **id != name.id && !self.seeds.contains(id));
        if let Some(oldest) = candidates.min_by_key(|(_, replica)| replica.last_seen).map(|(id, _)| id.clone()) {
            self.replicas.remove(&oldest);
        }
    }

    /// Takes note of a message; returns whether it is of the last known incarnation of a known replica.
    pub(super) fn record_message(&mut self, now: Instant, from: &InstanceId, incarnation: Incarnation) -> bool {
        let Some(replica) = self.replicas.get_mut(from) else { return false };
        if incarnation < replica.incarnation {
            return false;
        }
        (replica.incarnation, replica.last_seen) = (incarnation, now);
        true
    }

    pub(super) fn is_local(&self, name: &InstanceId) -> bool {
        self.replicas.get(name).is_some_and(|replica| replica.data_centre == self.data_centre)
    }

    /// The replicas in the order of preference: those of the own data centre first, and else spread by a hash,
    /// so that each replica is preferred by an equal part of the entries.
    pub(super) fn preferred(&self) -> Vec<InstanceId> {
        let mut names: Vec<_> = self.replicas.keys().map(|name| (self.rank(name), name.clone())).collect();
        names.sort_unstable();
        names.into_iter().map(|(_, name)| name).collect()
    }

    /// Preference of a replica; the least one is preferred.
    pub(super) fn rank(&self, name: &InstanceId) -> (bool, u64) {
        let mut hasher = FxHasher::default();
        (&self.entry, name).hash(&mut hasher);
        (!self.is_local(name), hasher.finish())
    }
}
