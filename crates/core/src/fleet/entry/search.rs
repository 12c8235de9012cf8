//! Search for a current replica.

use {
    crate::{collections::FastSet, ids::InstanceId},
    std::time::{Duration, Instant},
};

/// Replicas that are asked at once.
const REPLICAS_PER_ROUND: usize = 3;
/// Time between rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time between rounds at the begin of a search, when the replicas may be restarting together with this entry.
const FAST_ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a replica that was found waits for the answer of the one in use, or of a preferred one.
const SELECTION_DELAY: Duration = Duration::from_millis(50);

/// Search for a current replica: a few are asked at once, round after round.
#[derive(Debug)]
pub(super) struct ReplicaSearch {
    next_round: Instant,
    fast_until: Instant,
    /// Replicas that were asked in this pass over all that are known.
    asked: FastSet<InstanceId>,
    candidate: Option<Candidate>,
}

/// The preferred one of the current replicas that were found.
#[derive(Debug)]
struct Candidate {
    rank: (bool, u64),
    name: InstanceId,
    polled_at: Instant,
    /// Until when it waits.
    select_at: Instant,
}

impl ReplicaSearch {
    pub(super) fn new(now: Instant, fast_until: Instant) -> Self {
        Self { next_round: now, fast_until, asked: FastSet::default(), candidate: None }
    }

    /// Time between two questions to a replica in one pass.
    pub(super) fn interval(&self, now: Instant) -> Duration {
        if now < self.fast_until { FAST_ROUND_INTERVAL } else { ROUND_INTERVAL }
    }

    /// Replicas to ask now, from all in the order of preference.
    pub(super) fn round(&mut self, now: Instant, preferred: &[InstanceId]) -> Vec<InstanceId> {
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + self.interval(now);
        if preferred.iter().all(|name| self.asked.contains(name)) {
            self.asked.clear();
        }
        let mut names: Vec<_> = preferred.iter().filter(|name| !self.asked.contains(*name)).cloned().collect();
        names.truncate(REPLICAS_PER_ROUND);
        self.asked.extend(names.iter().cloned());
        names
    }

    /// Takes a current replica.
    pub(super) fn add_candidate(&mut self, now: Instant, rank: (bool, u64), name: InstanceId, polled_at: Instant) {
        if self.candidate.as_ref().is_none_or(|candidate| rank < candidate.rank) {
            let select_at = self.candidate.as_ref().map_or(now + SELECTION_DELAY, |candidate| candidate.select_at);
            self.candidate = Some(Candidate { rank, name, polled_at, select_at });
        }
    }

    /// The replica that has waited long enough, and when it was asked.
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
