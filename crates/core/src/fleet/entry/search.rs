//! Search for a current replica.

use {
    crate::{collections::FastSet, ids::InstanceId},
    std::time::{Duration, Instant},
};

/// Replicas that are asked at once.
const AT_ONCE: usize = 3;
/// Time between rounds of questions.
const ROUND: Duration = Duration::from_millis(250);
/// Time between rounds at the begin of a search, when the replicas may be restarting together with this entry.
const FAST_ROUND: Duration = Duration::from_millis(50);
/// Time for which a replica that was found waits for the answer of the one in use, or of a preferred one.
const PREFER_OTHERS: Duration = Duration::from_millis(50);

/// Search for a current replica: a few are asked at once, round after round.
#[derive(Debug)]
pub(super) struct Search {
    next_round: Instant,
    fast_until: Instant,
    /// Replicas that were asked in this pass over all that are known.
    asked: FastSet<InstanceId>,
    found: Option<Found>,
}

/// The preferred one of the current replicas that were found.
#[derive(Debug)]
struct Found {
    rank: (bool, u64),
    name: InstanceId,
    asked_at: Instant,
    /// Until when it waits.
    until: Instant,
}

impl Search {
    pub(super) fn new(now: Instant, fast_until: Instant) -> Self {
        Self { next_round: now, fast_until, asked: FastSet::default(), found: None }
    }

    /// Time between two questions to a replica in one pass.
    pub(super) fn pause(&self, now: Instant) -> Duration {
        if now < self.fast_until { FAST_ROUND } else { ROUND }
    }

    /// Replicas to ask now, from all in the order of preference.
    pub(super) fn round(&mut self, now: Instant, preferred: &[InstanceId]) -> Vec<InstanceId> {
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + self.pause(now);
        if preferred.iter().all(|name| self.asked.contains(name)) {
            self.asked.clear();
        }
        let mut names: Vec<_> = preferred.iter().filter(|name| !self.asked.contains(*name)).cloned().collect();
        names.truncate(AT_ONCE);
        self.asked.extend(names.iter().cloned());
        names
    }

    /// Takes a current replica.
    pub(super) fn found(&mut self, now: Instant, rank: (bool, u64), name: InstanceId, asked_at: Instant) {
        if self.found.as_ref().is_none_or(|found| rank < found.rank) {
            let until = self.found.as_ref().map_or(now + PREFER_OTHERS, |found| found.until);
            self.found = Some(Found { rank, name, asked_at, until });
        }
    }

    /// The replica that has waited long enough, and when it was asked.
    pub(super) fn settled_for(&self, now: Instant) -> Option<(InstanceId, Instant)> {
        self.found.as_ref().filter(|found| now >= found.until).map(|found| (found.name.clone(), found.asked_at))
    }

    pub(super) fn next_wake(&self) -> Instant {
        self.found.as_ref().map_or(self.next_round, |found| self.next_round.min(found.until))
    }
}
