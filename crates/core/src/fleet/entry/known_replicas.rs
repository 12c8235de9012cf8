//! Replicas known to an entry.

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

/// Maximum number of known replicas in addition to the seeds.
const MAX_KNOWN_REPLICAS: usize = 32;

#[derive(Clone, Debug)]
struct KnownReplica {
    data_centre: DataCentreId,
    incarnation: Incarnation,
    /// Last time that it sent a message or was named by another replica.
    last_seen: Instant,
}

/// Replicas known to an entry: the seeds and those named by other replicas.
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

    /// Records a message; returns whether it is from the latest incarnation of a known replica.
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

    /// Returns the replicas in order of preference. Those in the entry's data centre come first; otherwise a hash
    /// decides, so that the entries are spread evenly over the replicas.
    pub(super) fn preferred(&self) -> Vec<InstanceId> {
        let mut names: Vec<_> = self.replicas.keys().map(|name| (self.rank(name), name.clone())).collect();
        names.sort_unstable();
        names.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns the rank of a replica; the lowest rank is preferred.
    pub(super) fn rank(&self, name: &InstanceId) -> (bool, u64) {
        let mut hasher = FxHasher::default();
        (&self.entry, name).hash(&mut hasher);
        (!self.is_local(name), hasher.finish())
    }
}
