//! Terms, pre-vote, votes and the leader's lease.

use {
    super::{
        Consensus, ConsensusAction, Effect, Held, Leader, Member, MessageBody, Payload, Progress, ProposalResult, Role,
    },
    crate::{
        collections::{FastMap, FastSet},
        ids::{Incarnation, InstanceId, LogIndex, Term},
    },
    std::{collections::VecDeque, mem, time::Instant},
};

impl Consensus {
    /// Time until which no other replica can have become leader without this leader's help, if it
    /// leads: others refuse their vote for the shortest election timeout after they heard from it. In a dynamic
    /// group this does not hold when a majority restarts within that time, so nothing may be served by it there.
    pub fn lease(&self) -> Option<Instant> {
        match &self.role {
            Role::Leader(leader) if leader.confirmed_round > 0 && leader.hand_over_until.is_none() => {
                Some(leader.confirmed_at + self.options.election_min)
            }
            _ => None,
        }
    }

    /// Steps down if no majority has answered for an election timeout. It runs before every event, so
    /// a leader that was frozen or cut off confirms nothing.
    pub(super) fn check_lease(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        if let Role::Leader(leader) = &self.role
            && self.voter_count() > 1
            && now >= leader.confirmed_at + self.options.election_min
        {
            self.become_follower(now, None, actions);
        }
    }

    /// Whether a leader is known that may still act, so that nobody else gets a vote.
    pub(super) fn has_leader(&self, now: Instant) -> bool {
        self.is_leader() || self.heard_leader.is_some_and(|heard| now < heard + self.options.election_min)
    }

    pub(super) fn enter_term(&mut self, now: Instant, term: Term, actions: &mut Vec<ConsensusAction>) {
        self.vote.term = term;
        self.vote.voted_for = None;
        self.save_vote(Effect::Vote, actions);
        // The leader of an earlier term must not keep others from being elected in this one.
        self.heard_leader = None;
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
            self.reset_election(now);
            self.contacts.replicas = old.told;
            for (_, id) in old.proposals {
                actions.push(ConsensusAction::Answer { id, result: ProposalResult::Unknown });
            }
            for (_, id) in old.reads {
                actions.push(ConsensusAction::Answer { id, result: ProposalResult::NotLeader { leader: None } });
            }
            if self.stopping {
                actions.push(ConsensusAction::Stopped);
            }
        }
        self.leader = leader.clone();
        actions.push(ConsensusAction::BecomeFollower { term: self.vote.term, leader });
    }

    /// Follows the sender of a leader's message of this term; false if that cannot be.
    pub(super) fn follow(&mut self, now: Instant, from: &InstanceId, actions: &mut Vec<ConsensusAction>) -> bool {
        if self.is_leader() || self.leader.as_ref().is_some_and(|leader| leader != from) {
            actions.push(ConsensusAction::Broken("two leaders in one term"));
            return false;
        }
        if self.leader.is_none() || !matches!(self.role, Role::Follower) {
            self.become_follower(now, Some(from.clone()), actions);
        }
        self.heard_leader = Some(now);
        self.starting_until = None;
        self.reset_election(now);
        true
    }

    pub(super) fn start_pre_vote(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        self.reset_pre_vote(now);
        self.leader = None;
        self.role = Role::PreCandidate(FastSet::default());
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.others() {
            let mut message = self.message(MessageBody::PreVoteRequest { last_index, last_term });
            message.term += 1;
            actions.push(ConsensusAction::Send { to, message });
        }
        self.pre_vote_granted(now, self.options.replica.clone(), self.vote.term + 1, actions);
    }

    pub(super) fn pre_vote_requested(
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
        let granted = term > self.vote.term && !self.has_leader(now) && self.is_up_to_date((last_term, last_index));
        let mut message = self.message(MessageBody::PreVote { granted });
        if granted {
            message.term = term;
        }
        actions.push(ConsensusAction::Send { to: from, message });
    }

    pub(super) fn pre_vote_granted(
        &mut self,
        now: Instant,
        from: InstanceId,
        term: Term,
        actions: &mut Vec<ConsensusAction>,
    ) {
        let majority = self.majority();
        if let Role::PreCandidate(granted) = &mut self.role
            && term == self.vote.term + 1
        {
            granted.insert(from);
            if granted.len() >= majority {
                self.campaign(now, false, actions);
            }
        }
    }

    pub(super) fn campaign(&mut self, now: Instant, hand_over: bool, actions: &mut Vec<ConsensusAction>) {
        self.vote.term += 1;
        self.vote.voted_for = Some(Member { replica: self.options.replica.clone(), incarnation: self.incarnation });
        self.save_vote(Effect::Vote, actions);
        self.reset_election(now);
        self.leader = None;
        self.heard_leader = None;
        self.role = Role::Candidate(FastSet::default());
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.others() {
            self.promise(to, MessageBody::VoteRequest { last_index, last_term, hand_over }, actions);
        }
        if let Some(held) = self.writes.hold(Held::SelfVote(self.vote.term)) {
            self.release(now, held, actions);
        }
    }

    pub(super) fn vote_requested(
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
        let is_free = self.vote.voted_for.as_ref().is_none_or(|held| *held == candidate);
        let is_stale = self.log.members.incarnation(&from).is_some_and(|admitted| admitted > incarnation);
        let granted = is_free && !is_stale && self.leader.is_none() && self.is_up_to_date(last);
        if granted {
            self.reset_election(now);
            if self.vote.voted_for.is_none() {
                self.vote.voted_for = Some(candidate);
                self.save_vote(Effect::Vote, actions);
            }
        }
        self.promise(from, MessageBody::Vote { candidate: incarnation, granted }, actions);
    }

    pub(super) fn vote_granted(&mut self, now: Instant, from: InstanceId, actions: &mut Vec<ConsensusAction>) {
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
        for other in self.others() {
            let incarnation = self.log.members.incarnation(&other).unwrap_or_default();
            progress.insert(other, Progress::new(now, incarnation, next));
        }
        // The learners go on learning without having to look for the new leader.
        for learner in self.contacts.replicas.iter().filter(|replica| **replica != self.options.replica) {
            progress.entry(learner.clone()).or_insert_with(|| Progress::new(now, 0, next));
        }
        self.role = Role::Leader(Box::new(Leader {
            progress,
            round: 0,
            rounds: VecDeque::new(),
            confirmed_round: 0,
            confirmed_at: now,
            next_heartbeat: now,
            proposals: VecDeque::new(),
            proposal_bytes: 0,
            reads: VecDeque::new(),
            heartbeats: 0,
            told: Vec::new(),
            spare_since: None,
            hand_over_until: None,
            hand_over_sent: false,
        }));
        self.leader = Some(self.options.replica.clone());
        actions.push(ConsensusAction::BecomeLeader { term: self.vote.term });
        self.lead_entry(Payload::Noop, actions);
        self.heartbeat(now, actions);
        self.advance_commit(actions);
    }

    /// Whether a candidate's log holds at least all that this log holds.
    fn is_up_to_date(&self, last: (Term, LogIndex)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }
}
