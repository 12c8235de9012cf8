//! Accessors of the state of a replica and its group.

use {
    super::{Consensus, Members, Role},
    crate::ids::{Incarnation, InstanceId, LogIndex, Term},
    std::time::{Duration, Instant},
};

/// Maximum time since a leader's last contact with a majority, or a follower's last contact with the leader, for a
/// replica to count as current.
const CURRENT_WINDOW: Duration = Duration::from_millis(500);

impl Consensus {
    /// Whether this replica is the leader. The result may be outdated if the process was suspended; the lease is
    /// checked before every event.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this replica is a voter.
    pub fn is_admitted(&self) -> bool {
        if self.options.is_dynamic {
            // An uncommitted admission counts as well, because there may be no majority without the new voter.
            self.log.members.incarnation(&self.options.replica) == Some(self.incarnation)
        } else {
            self.admitted
        }
    }

    /// Whether the commit index of this replica is recent at the given time. A leader must have committed an entry of
    /// its term, and a majority must have acknowledged a round that was started within the last 500 ms. A follower
    /// must have had contact with the leader within that time.
    pub fn is_current(&self, now: Instant) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                self.has_committed_in_term() && leader.confirmed_round > 0 && now < leader.confirmed_at + CURRENT_WINDOW
            }
            Role::Follower => {
                self.leader.is_some() && self.leader_last_heard_at.is_some_and(|heard| now < heard + CURRENT_WINDOW)
            }
            Role::PreCandidate(_) | Role::Candidate(_) => false,
        }
    }

    /// Whether an entry of this term is committed. Until then, a new leader does not know the commit index.
    pub fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// When this replica stands for election if it hears from no leader; `None` if it must not. A replica whose disk
    /// is slower than an election would only disturb the elections of others.
    pub fn next_election(&self) -> Option<Instant> {
        let may_stand = !self.is_leader() && self.is_admitted() && !self.stopping && self.writes.is_term_durable();
        may_stand.then_some(self.election_at)
    }

    /// The incarnation of a voter's data folder.
    pub fn voter_incarnation(&self, replica: &str) -> Option<Incarnation> {
        self.log.members.incarnation(replica)
    }

    /// The leader of this term, if known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Highest term seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Index of the last entry that is known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Index of the last entry of the log, committed or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Members as of the last entry.
    pub fn members(&self) -> &Members {
        &self.log.members
    }

    /// The voters as of the last entry.
    pub fn voters(&self) -> impl Iterator<Item = &InstanceId> {
        self.log.members.iter().map(|member| &member.replica)
    }

    /// All known replicas of the group: first the voters, then the learners, each sorted by name. A follower learns
    /// of the learners from the leader.
    pub fn replicas(&self) -> Vec<InstanceId> {
        let mut replicas: Vec<_> = self.voters().cloned().collect();
        let mut learners: Vec<_> = match &self.role {
            Role::Leader(leader) => leader.progress.keys().collect(),
            _ => self.discovery.replicas.iter().collect(),
        };
        learners.retain(|replica| self.log.members.incarnation(replica).is_none());
        replicas.sort_unstable();
        learners.sort_unstable();
        replicas.extend(learners.into_iter().cloned());
        replicas
    }

    /// The other voters.
    pub(super) fn other_voters(&self) -> Vec<InstanceId> {
        if !self.options.is_dynamic {
            return self.founders();
        }
        self.voters().filter(|replica| **replica != self.options.replica).cloned().collect()
    }

    /// The other founders.
    pub(super) fn founders(&self) -> Vec<InstanceId> {
        self.options.replicas.iter().filter(|replica| **replica != self.options.replica).cloned().collect()
    }

    /// The replicas that the leader replicates to: the other voters, then the learners.
    pub(super) fn replication_targets(&self) -> Vec<InstanceId> {
        let mut replication_targets = self.other_voters();
        if let (true, Role::Leader(leader)) = (self.options.is_dynamic, &self.role) {
            let mut learners: Vec<_> =
                leader.progress.keys().filter(|replica| self.log.members.incarnation(replica).is_none()).collect();
            learners.sort_unstable();
            replication_targets.extend(learners.into_iter().cloned());
        }
        replication_targets
    }

    pub(super) fn voter_count(&self) -> usize {
        if self.options.is_dynamic { self.log.members.len() } else { self.options.replicas.len() }
    }

    pub(super) fn majority(&self) -> usize {
        self.voter_count() / 2 + 1
    }

    /// Whether votes and acknowledgements of a replica count.
    pub(super) fn is_active_voter(&self, from: &str, incarnation: Incarnation, admitted: bool) -> bool {
        (admitted || self.options.is_dynamic) && self.log.members.incarnation(from) == Some(incarnation)
    }

    /// Whether this replica answers vote requests. In a dynamic group, every replica with a log does, as the
    /// candidate may know of its admission before the replica itself does. A replica without a log cannot compare
    /// logs.
    pub(super) fn may_vote(&self) -> bool {
        if self.options.is_dynamic { self.log.last_index() > 0 } else { self.admitted }
    }
}
