//! Hash of the state of a replica, for searches that visit equal states once.

use {
    super::{Consensus, Leader, Progress, Role},
    crate::ids::InstanceId,
    std::{
        hash::{Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Times further back than this count as equal: the longest time that a rule looks back.
const PAST: Duration = Duration::from_secs(10);

impl Consensus {
    /// Hashes what the replica does from here on. Times count relative to `now`, as do the sequences of writes. The
    /// options, which stay the same, the random numbers, which only choose times, and the order of the known
    /// replicas, which is that of hellos, are left out.
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
        let Self { incarnation, vote, admitted, log, commit, applied, applied_bytes, .. } = self;
        (incarnation, vote, admitted, log, commit, applied, applied_bytes).hash(hasher);
        let Self { taking_snapshot, leader, answered_round, agreed, incoming, stopping, .. } = self;
        (taking_snapshot, leader, answered_round, agreed, incoming, stopping).hash(hasher);
        self.heard_leader.map(|at| since(now, at)).hash(hasher);
        self.starting_until.map(|at| since(now, at)).hash(hasher);
        since(now, self.election_at).hash(hasher);
        self.hash_writes(now, hasher);
        sorted(self.formation.heard.iter()).hash(hasher);
        since(now, self.formation.next_hello).hash(hasher);
        self.contacts.replicas.hash(hasher);
        sorted(self.contacts.names.iter().map(|name| (name, ()))).hash(hasher);
        sorted(self.contacts.asked.iter().map(|name| (name, ()))).hash(hasher);
        self.contacts.next.hash(hasher);
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
        for (sequence, held) in &writes.held {
            (writes.issued - sequence, held).hash(hasher);
        }
    }
}

impl Leader {
    fn fingerprint(&self, now: Instant, hasher: &mut impl Hasher) {
        let Self { round, confirmed_round, proposals, proposal_bytes, reads, told, hand_over_sent, .. } = self;
        (3, round, confirmed_round, proposals, proposal_bytes, reads, told, hand_over_sent).hash(hasher);
        for (round, at) in &self.rounds {
            (round, since(now, *at)).hash(hasher);
        }
        since(now, self.confirmed_at).hash(hasher);
        since(now, self.next_heartbeat).hash(hasher);
        self.hand_over_until.map(|at| since(now, at)).hash(hasher);
        self.spare_since.map(|at| since(now, at)).hash(hasher);
        self.heartbeats.hash(hasher);
        for (name, progress) in sorted(self.progress.iter()) {
            name.hash(hasher);
            progress.fingerprint(now, hasher);
        }
    }
}

impl Progress {
    fn fingerprint(&self, now: Instant, hasher: &mut impl Hasher) {
        let Self { incarnation, admitted, matched, next, probing, in_flight, round, transfer, since: known, heard_at } =
            self;
        (incarnation, admitted, matched, next, probing, in_flight, round, transfer).hash(hasher);
        (since(now, *known), since(now, *heard_at)).hash(hasher);
    }
}

/// A time relative to `now`: what has passed and what is to come.
fn since(now: Instant, at: Instant) -> (Duration, Duration) {
    (now.saturating_duration_since(at).min(PAST), at.saturating_duration_since(now))
}

fn sorted<'a, T>(items: impl Iterator<Item = (&'a InstanceId, T)>) -> Vec<(&'a InstanceId, T)> {
    let mut items: Vec<_> = items.collect();
    items.sort_unstable_by_key(|(name, _)| *name);
    items
}
