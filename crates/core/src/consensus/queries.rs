//! What a replica tells of itself and of its group.

use {
    super::{Consensus, Members, Role},
    crate::ids::{Incarnation, InstanceId, LogIndex, Term},
    std::time::{Duration, Instant},
};

/// Time since a leader heard from a majority, or a follower from its leader, within which a replica counts as
/// current.
const CURRENT_WINDOW: Duration = Duration::from_millis(500);

impl Consensus {
    /// Whether this replica leads. The task of a frozen process may see an old answer; the state
    /// machine compares the lease at every event.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this replica votes and counts.
    pub fn is_admitted(&self) -> bool {
        if self.options.is_dynamic {
            // An admission that is not committed counts as well: a majority without the new voter may not exist.
            self.log.members.incarnation(&self.options.replica) == Some(self.incarnation)
        } else {
            self.admitted
        }
    }

    /// Whether this replica knows, as of the given time, what the group has committed up to a moment ago: it leads,
    /// an entry of its term is committed and a majority has answered a round that was begun within the last 500 ms,
    /// or it follows and heard the leader within that time.
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

    /// Whether an entry of this term is committed. Before that, a new leader does not know what is committed.
    pub fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// When this replica stands for election unless it hears a leader; none if it may not. A replica whose disk is
    /// slower than an election would only disturb the other_voters' elections.
    pub fn next_election(&self) -> Option<Instant> {
        let may_stand = !self.is_leader() && self.is_admitted() && !self.stopping && self.writes.is_term_durable();
        may_stand.then_some(self.election_at)
    }

    /// The leader of this term, if known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Highest term seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Last entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Last entry of the log, committed or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Incarnations admitted as of the last entry.
    pub fn members(&self) -> &Members {
        &self.log.members
    }

    /// The voters as of the last entry.
    pub fn voters(&self) -> impl Iterator<Item = &InstanceId> {
        self.log.members.iter().map(|member| &member.replica)
    }

    /// Every replica that is known to be part of the group, voters first and then learners, sorted by name. A
    /// follower knows the learners from the leader.
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

    /// The other replicas that form a group.
    pub(super) fn founders(&self) -> Vec<InstanceId> {
        self.options.replicas.iter().filter(|replica| **replica != self.options.replica).cloned().collect()
    }

    /// The replicas that a leader sends its log to: the other voters, then learners.
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

    /// Whether a vote or an acknowledgement of a replica counts.
    pub(super) fn is_active_voter(&self, from: &str, incarnation: Incarnation, admitted: bool) -> bool {
        (admitted || self.options.is_dynamic) && self.log.members.incarnation(from) == Some(incarnation)
    }

    /// Whether this replica answers requests for its vote. In a dynamic group every replica with a log does, as
    /// its admission may have reached the candidate but not itself. A folder that is empty has nothing to compare.
    pub(super) fn may_vote(&self) -> bool {
        if self.options.is_dynamic { self.log.last_index() > 0 } else { self.admitted }
    }
}
