//! Terms, pre-vote, votes and the leader lease.

use {
    super::{
        Consensus, ConsensusAction, Deferred, Leader, Member, MessageBody, Payload, Progress, ProposalResult, Role,
        WriteEffect,
    },
    crate::{
        collections::{FastMap, FastSet},
        ids::{Incarnation, InstanceId, LogIndex, Term},
    },
    std::{collections::VecDeque, mem, time::Instant},
};

impl Consensus {
    /// End of the leader lease, if this replica leads: until then no other replica can have become leader without its
    /// help, because voters refuse their vote for the shortest election timeout after a message of the leader. This
    /// does not hold in a dynamic group if a majority restarts within that time, so reads must not rely on the lease
    /// there.
    pub fn lease_expiry(&self) -> Option<Instant> {
        match &self.role {
            Role::Leader(leader) if leader.confirmed_round > 0 && leader.transfer_deadline.is_none() => {
                Some(leader.confirmed_at + self.options.min_election_timeout)
            }
            _ => None,
        }
    }

    /// Steps down if no majority has answered for an election timeout. This check runs before every event, so that a
    /// leader that was suspended or partitioned confirms nothing.
    pub(super) fn check_lease(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        if let Role::Leader(leader) = &self.role
            && self.voter_count() > 1
            && now >= leader.confirmed_at + self.options.min_election_timeout
        {
            self.become_follower(now, None, actions);
        }
    }

    /// Whether there is a leader that may still be active, in which case no other replica gets a vote.
    pub(super) fn has_leader(&self, now: Instant) -> bool {
        self.is_leader()
            || self.leader_last_heard_at.is_some_and(|heard| now < heard + self.options.min_election_timeout)
    }

    pub(super) fn enter_term(&mut self, now: Instant, term: Term, actions: &mut Vec<ConsensusAction>) {
        self.hard_state.term = term;
        self.hard_state.voted_for = None;
        self.save_hard_state(WriteEffect::HardState, actions);
        // The leader of an earlier term must not prevent an election in this one.
        self.leader_last_heard_at = None;
        self.become_follower(now, None, actions);
    }

    pub(super) fn become_follower(
        &mut self,
        now: Instant,
        leader: Option<InstanceId>,
        actions: &mut Vec<ConsensusAction>,
    ) {
        let old = mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(old) = old {
            self.reset_election_timeout(now);
            self.discovery.replicas = old.sent_replica_list;
            for (_, id) in old.pending_proposals {
                actions.push(ConsensusAction::Answer { id, result: ProposalResult::Unknown });
            }
            for (_, id) in old.pending_reads {
                actions.push(ConsensusAction::Answer { id, result: ProposalResult::NotLeader { leader: None } });
            }
            if self.stopping {
                actions.push(ConsensusAction::Stopped);
            }
        }
        self.leader = leader.clone();
        actions.push(ConsensusAction::BecomeFollower { term: self.hard_state.term, leader });
    }

    /// Accepts the sender of a leader message as the leader of this term; returns false if that is impossible.
    pub(super) fn follow(&mut self, now: Instant, from: &InstanceId, actions: &mut Vec<ConsensusAction>) -> bool {
        if self.is_leader() || self.leader.as_ref().is_some_and(|leader| leader != from) {
            actions.push(ConsensusAction::InvariantViolated("two leaders in one term"));
            return false;
        }
        if self.leader.is_none() || !matches!(self.role, Role::Follower) {
            self.become_follower(now, Some(from.clone()), actions);
        }
        self.leader_last_heard_at = Some(now);
        self.startup_until = None;
        self.reset_election_timeout(now);
        true
    }

    pub(super) fn start_pre_vote(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        self.reset_pre_vote_timeout(now);
        self.leader = None;
        self.role = Role::PreCandidate(FastSet::default());
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_voters() {
            let mut message = self.message(MessageBody::PreVoteRequest { last_index, last_term });
            message.term += 1;
            actions.push(ConsensusAction::Send { to, message });
        }
        self.record_pre_vote(now, self.options.replica.clone(), self.hard_state.term + 1, actions);
    }

    pub(super) fn pre_vote_request_received(
        &mut self,
        now: Instant,
        from: InstanceId,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
        actions: &mut Vec<ConsensusAction>,
    ) {
        if !self.may_vote() {
            return;
        }
        let granted =
            term > self.hard_state.term && !self.has_leader(now) && self.is_up_to_date((last_term, last_index));
        let mut message = self.message(MessageBody::PreVote { granted });
        if granted {
            message.term = term;
        }
        actions.push(ConsensusAction::Send { to: from, message });
    }

    pub(super) fn record_pre_vote(
        &mut self,
        now: Instant,
        from: InstanceId,
        term: Term,
        actions: &mut Vec<ConsensusAction>,
    ) {
        let majority = self.majority();
        if let Role::PreCandidate(granted) = &mut self.role
            && term == self.hard_state.term + 1
        {
            granted.insert(from);
            if granted.len() >= majority {
                self.campaign(now, false, actions);
            }
        }
    }

    pub(super) fn campaign(&mut self, now: Instant, leadership_transfer: bool, actions: &mut Vec<ConsensusAction>) {
        self.hard_state.term += 1;
        self.hard_state.voted_for =
            Some(Member { replica: self.options.replica.clone(), incarnation: self.incarnation });
        self.save_hard_state(WriteEffect::HardState, actions);
        self.reset_election_timeout(now);
        self.leader = None;
        self.leader_last_heard_at = None;
        self.role = Role::Candidate(FastSet::default());
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_voters() {
            self.send_when_durable(
                to,
                MessageBody::VoteRequest { last_index, last_term, leadership_transfer },
                actions,
            );
        }
        if let Some(deferred) = self.writes.defer(Deferred::SelfVote(self.hard_state.term)) {
            self.release(now, deferred, actions);
        }
    }

    pub(super) fn vote_request_received(
        &mut self,
        now: Instant,
        from: InstanceId,
        incarnation: Incarnation,
        last: (Term, LogIndex),
        actions: &mut Vec<ConsensusAction>,
    ) {
        if !self.may_vote() {
            return;
        }
        let candidate = Member { replica: from.clone(), incarnation };
        let is_free = self.hard_state.voted_for.as_ref().is_none_or(|held| *held == candidate);
        let is_stale = self.log.members.incarnation(&from).is_some_and(|admitted| admitted > incarnation);
        let granted = is_free && !is_stale && self.leader.is_none() && self.is_up_to_date(last);
        if granted {
            self.reset_election_timeout(now);
            if self.hard_state.voted_for.is_none() {
                self.hard_state.voted_for = Some(candidate);
                self.save_hard_state(WriteEffect::HardState, actions);
            }
        }
        self.send_when_durable(from, MessageBody::Vote { candidate: incarnation, granted }, actions);
    }

    pub(super) fn record_vote(&mut self, now: Instant, from: InstanceId, actions: &mut Vec<ConsensusAction>) {
        let majority = self.majority();
        if let Role::Candidate(granted) = &mut self.role {
            granted.insert(from);
            if granted.len() >= majority {
                self.become_leader(now, actions);
            }
        }
    }

    fn become_leader(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        let next = self.log.last_index() + 1;
        let mut progress = FastMap::default();
        for other in self.other_voters() {
            let incarnation = self.log.members.incarnation(&other).unwrap_or_default();
            progress.insert(other, Progress::new(now, incarnation, next));
        }
        // The new leader replicates to the learners at once, so that they need not discover it.
        for learner in self.discovery.replicas.iter().filter(|replica| **replica != self.options.replica) {
            progress.entry(learner.clone()).or_insert_with(|| Progress::new(now, 0, next));
        }
        self.role = Role::Leader(Box::new(Leader {
            progress,
            round: 0,
            pending_rounds: VecDeque::new(),
            confirmed_round: 0,
            confirmed_at: now,
            next_heartbeat: now,
            pending_proposals: VecDeque::new(),
            pending_proposal_bytes: 0,
            pending_reads: VecDeque::new(),
            heartbeat_count: 0,
            sent_replica_list: Vec::new(),
            excess_voters_since: None,
            transfer_deadline: None,
            timeout_now_sent: false,
        }));
        self.leader = Some(self.options.replica.clone());
        actions.push(ConsensusAction::BecomeLeader { term: self.hard_state.term });
        self.append_as_leader(Payload::Noop, actions);
        self.heartbeat(now, actions);
        self.advance_commit(actions);
    }

    /// Whether the log of a candidate is at least as up-to-date as this log.
    fn is_up_to_date(&self, last: (Term, LogIndex)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }
}
