//! Hash of the state of a replica, which lets a model checker visit equal states once.

use {
    super::{Consensus, Leader, Progress, Role},
    crate::ids::InstanceId,
    std::{
        hash::{Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Elapsed times are capped at this value, the longest time that any rule compares with.
const MAX_ELAPSED: Duration = Duration::from_secs(10);

impl Consensus {
    /// Hashes the state that determines the further behaviour of the replica. Times are hashed relative to `now` and
    /// sequence numbers relative to the last issued one. Not hashed are the options, which are constant, the random
    /// number generator, which only affects timeouts, and the order of the known replicas, which only affects the
    /// order of hellos.
    ///
    /// ```
    /// use {
    ///     hemlockford_core::consensus::{Consensus, ConsensusOptions, Recovered},
    ///     rand::{SeedableRng, rngs::SmallRng},
    ///     std::{hash::{DefaultHasher, Hasher}, time::{Duration, Instant}},
    /// };
    /// let fingerprint = |now| {
    ///     let rng = SmallRng::seed_from_u64(1);
    ///     let replica = Consensus::new(now, ConsensusOptions::default(), Recovered::default(), rng, &mut Vec::new());
    ///     let mut hasher = DefaultHasher::new();
    ///     replica.fingerprint(now, &mut hasher);
    ///     hasher.finish()
    /// };
    /// let now = Instant::now();
    /// assert_eq!(fingerprint(now), fingerprint(now + Duration::from_secs(1)));
    /// ```
    pub fn fingerprint(&self, now: Instant, hasher: &mut impl Hasher) {
        let Self { incarnation, hard_state, admitted, log, commit, applied, applied_bytes, .. } = self;
        (incarnation, hard_state, admitted, log, commit, applied, applied_bytes).hash(hasher);
        let Self { taking_snapshot, leader, acknowledged_round, leader_match, incoming_snapshot, stopping, .. } = self;
        (taking_snapshot, leader, acknowledged_round, leader_match, incoming_snapshot, stopping).hash(hasher);
        self.leader_last_heard_at.map(|at| since(now, at)).hash(hasher);
        self.startup_until.map(|at| since(now, at)).hash(hasher);
        since(now, self.election_at).hash(hasher);
        self.hash_writes(now, hasher);
        sorted(self.formation.hellos.iter()).hash(hasher);
        since(now, self.formation.next_hello).hash(hasher);
        self.discovery.replicas.hash(hasher);
        sorted(self.discovery.known.iter().map(|name| (name, ()))).hash(hasher);
        sorted(self.discovery.asked.iter().map(|name| (name, ()))).hash(hasher);
        self.discovery.next_target.hash(hasher);
        match &self.role {
            Role::Follower => 0.hash(hasher),
            Role::PreCandidate(granted) => (1, sorted(granted.iter().map(|name| (name, ())))).hash(hasher),
            Role::Candidate(granted) => (2, sorted(granted.iter().map(|name| (name, ())))).hash(hasher),
            Role::Leader(leader) => leader.fingerprint(now, hasher),
        }
    }

    fn hash_writes(&self, now: Instant, hasher: &mut impl Hasher) {
        let writes = &self.writes;
        writes.durable_index.hash(hasher);
        for (sequence, effect, at) in &writes.pending {
            (writes.issued - sequence, effect, since(now, *at)).hash(hasher);
        }
        for (sequence, deferred) in &writes.deferred {
            (writes.issued - sequence, deferred).hash(hasher);
        }
    }
}

impl Leader {
    fn fingerprint(&self, now: Instant, hasher: &mut impl Hasher) {
        let Self {
            round,
            confirmed_round,
            pending_proposals,
            pending_proposal_bytes,
            pending_reads,
            sent_replica_list,
            timeout_now_sent,
            ..
        } = self;
        (
            3,
            round,
            confirmed_round,
            pending_proposals,
            pending_proposal_bytes,
            pending_reads,
            sent_replica_list,
            timeout_now_sent,
        )
            .hash(hasher);
        for (round, at) in &self.pending_rounds {
            (round, since(now, *at)).hash(hasher);
        }
        since(now, self.confirmed_at).hash(hasher);
        since(now, self.next_heartbeat).hash(hasher);
        self.transfer_deadline.map(|at| since(now, at)).hash(hasher);
        self.excess_voters_since.map(|at| since(now, at)).hash(hasher);
        self.heartbeat_count.hash(hasher);
        for (name, progress) in sorted(self.progress.iter()) {
            name.hash(hasher);
            progress.fingerprint(now, hasher);
        }
    }
}

impl Progress {
    fn fingerprint(&self, now: Instant, hasher: &mut impl Hasher) {
        let Self {
            incarnation,
            admitted,
            match_index,
            next_index,
            probing,
            in_flight,
            acknowledged_round,
            snapshot_transfer,
            known_since,
            last_heard_at,
        } = self;
        (incarnation, admitted, match_index, next_index, probing, in_flight, acknowledged_round, snapshot_transfer)
            .hash(hasher);
        (since(now, *known_since), since(now, *last_heard_at)).hash(hasher);
    }
}

/// A time relative to `now`: the elapsed and the remaining time.
fn since(now: Instant, at: Instant) -> (Duration, Duration) {
    (now.saturating_duration_since(at).min(MAX_ELAPSED), at.saturating_duration_since(now))
}

fn sorted<'a, T>(items: impl Iterator<Item = (&'a InstanceId, T)>) -> Vec<(&'a InstanceId, T)> {
    let mut items: Vec<_> = items.collect();
    items.sort_unstable_by_key(|(name, _)| *name);
    items
}
