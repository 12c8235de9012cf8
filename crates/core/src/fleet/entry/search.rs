//! Search for a current replica.

use {
    crate::{collections::FastSet, ids::InstanceId},
    std::time::{Duration, Instant},
};

/// Number of replicas polled per round.
const REPLICAS_PER_ROUND: usize = 3;
/// Interval between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between rounds at the start of a search, when the replicas may be restarting together with this entry.
const FAST_ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Time between the first answer of a current replica and the selection, so that the replica in use or a preferred one
/// can still answer.
const SELECTION_DELAY: Duration = Duration::from_millis(50);

/// Search for a current replica, which polls a few replicas per round.
#[derive(Debug)]
pub(super) struct ReplicaSearch {
    next_round: Instant,
    fast_until: Instant,
    /// Replicas already polled in this pass over all known replicas.
    polled: FastSet<InstanceId>,
    candidate: Option<Candidate>,
}

/// The most preferred of the current replicas found so far.
#[derive(Debug)]
struct Candidate {
    rank: (bool, u64),
    name: InstanceId,
    polled_at: Instant,
    /// Time at which it is selected.
    select_at: Instant,
}

impl ReplicaSearch {
    pub(super) fn new(now: Instant, fast_until: Instant) -> Self {
        Self { next_round: now, fast_until, polled: FastSet::default(), candidate: None }
    }

    /// Returns the present interval between rounds.
    pub(super) fn interval(&self, now: Instant) -> Duration {
        if now < self.fast_until { FAST_ROUND_INTERVAL } else { ROUND_INTERVAL }
    }

    /// Returns the replicas to poll now, given all replicas in order of preference.
    pub(super) fn round(&mut self, now: Instant, preferred: &[InstanceId]) -> Vec<InstanceId> {
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + self.interval(now);
        if preferred.iter().all(|name| self.polled.contains(name)) {
            self.polled.clear();
        }
        let mut names: Vec<_> = preferred.iter().filter(|name| !self.polled.contains(*name)).cloned().collect();
        names.truncate(REPLICAS_PER_ROUND);
        self.polled.extend(names.iter().cloned());
        names
    }

    /// Adds a replica that answered as current.
    pub(super) fn add_candidate(&mut self, now: Instant, rank: (bool, u64), name: InstanceId, polled_at: Instant) {
        if self.candidate.as_ref().is_none_or(|candidate| rank < candidate.rank) {
            let select_at = self.candidate.as_ref().map_or(now + SELECTION_DELAY, |candidate| candidate.select_at);
            self.candidate = Some(Candidate { rank, name, polled_at, select_at });
        }
    }

    /// Returns the selected replica and the send time of the poll that it answered, once the selection delay is over.
    pub(super) fn selected(&self, now: Instant) -> Option<(InstanceId, Instant)> {
        self.candidate
            .as_ref()
            .filter(|candidate| now >= candidate.select_at)
            .map(|candidate| (candidate.name.clone(), candidate.polled_at))
    }

    pub(super) fn next_wake(&self) -> Instant {
        self.candidate.as_ref().map_or(self.next_round, |candidate| self.next_round.min(candidate.select_at))
    }
}
