//! Safety properties of the replicated log, checked after every step.

use {
    super::{DiskImage, Node},
    hemlockford_core::{
        collections::{FastMap, FastSet},
        consensus::{Member, Message, MessageBody, ProposalResult},
        ids::{InstanceId, LogIndex, Term},
    },
    std::fmt::{self, Display, Formatter},
};

/// A violated safety or liveness property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas became leader in the same term.
    TwoLeaders(Term),
    /// A replica became leader without votes from a majority of admitted replicas.
    LeaderWithoutMajority(Term),
    /// A replica applied a different command than another one at the same index, or skipped a command.
    LogsDiffer(InstanceId, LogIndex),
    /// A command was reported as committed before it was durable on a majority of admitted replicas.
    ConfirmedWithoutMajority(LogIndex),
    /// A command that was reported as committed is missing or was applied more than once.
    ConfirmedLost(u64),
    /// A command that was rejected was applied.
    RejectedCommandApplied(u64),
    /// A replica that has not applied its own admission voted or claimed to be admitted.
    ParticipatedWithoutAdmission(InstanceId),
    /// A replica sent a message that depends on state which was not durable.
    AnsweredBeforeDurable(InstanceId),
    /// A leader advanced its commit index to an entry of an earlier term.
    CommittedEarlierTerm(LogIndex),
    /// Two changes with different contents were accepted under the same number.
    ConflictingChanges(u64),
    /// A read missed a command that had been reported as committed before the read started.
    StaleRead(u64),
    /// The state machine reported a violated invariant.
    InvariantViolated(&'static str),
    /// No progress within the time limit after all faults ended.
    NoProgress,
    /// No progress within the time limit although a majority of replicas had no faults.
    NoProgressOfMajority,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Checks safety properties from observed actions, independently of the state machines under test.
#[derive(Debug, Default)]
pub struct Checks {
    /// Violated properties.
    pub violations: Vec<Violation>,
    /// Every command applied by any replica, in log order.
    pub applied: Vec<(LogIndex, u64)>,
    /// Results of proposals by proposal ID.
    pub answers: FastMap<u64, ProposalResult>,
    /// Members that have applied their own admission.
    pub admitted: FastSet<(InstanceId, u64)>,
    /// Latest admitted incarnation of each replica.
    pub latest: FastMap<InstanceId, Member>,
    leaders: FastMap<Term, InstanceId>,
    votes: FastSet<(Term, InstanceId, InstanceId)>,
    holders: FastMap<(LogIndex, Term), FastSet<InstanceId>>,
}

impl Checks {
    fn report(&mut self, violation: Violation) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }

    /// Records an invariant violation reported by a state machine.
    pub fn report_invariant(&mut self, what: &'static str) {
        self.report(Violation::InvariantViolated(what));
    }

    /// Records the replica as admitted once it has applied its own admission.
    pub fn record_admission(&mut self, node: &Node) {
        let Some(consensus) = &node.consensus else { return };
        let member = node.member();
        let key = (member.replica.clone(), member.incarnation);
        if !self.admitted.contains(&key) && node.disk.cached.admits(&member, consensus.commit_index()) {
            self.admitted.insert(key);
            self.latest.insert(member.replica.clone(), member);
            self.record_durable(node);
        }
    }

    /// Checks that the last entry a leader commits is of its own term; `before` is the previous commit index.
    pub fn check_commit(&mut self, node: &Node, before: LogIndex) {
        let Some(consensus) = node.consensus.as_ref().filter(|consensus| consensus.is_leader()) else { return };
        let index = consensus.commit_index();
        let entry = node.disk.cached.entries.iter().find(|entry| entry.index == index);
        if index > before && entry.is_some_and(|entry| entry.term != consensus.term()) {
            self.report(Violation::CommittedEarlierTerm(index));
        }
    }

    /// Returns whether the replica has applied the admission of its current incarnation.
    pub fn is_admitted(&self, node: &Node) -> bool {
        self.admitted.contains(&(node.replica.clone(), node.disk.incarnation))
    }

    /// Records which entries are durable on an admitted replica.
    pub fn record_durable(&mut self, node: &Node) {
        if self.is_admitted(node) {
            for entry in node.disk.durable.entries.iter().rev() {
                let holders = self.holders.entry((entry.index, entry.term)).or_default();
                if !holders.insert(node.replica.clone()) {
                    break;
                }
            }
        }
    }

    /// Checks a message that a replica sends: it must be admitted to vote, and its message must reflect durable state.
    pub fn check_message(&mut self, node: &Node, to: &InstanceId, message: &Message) {
        let is_vote = matches!(message.body, MessageBody::Vote { granted: true, .. });
        let claims_membership =
            is_vote || message.admitted || matches!(message.body, MessageBody::PreVote { granted: true });
        if claims_membership && !self.is_admitted(node) {
            return self.report(Violation::ParticipatedWithoutAdmission(node.replica.clone()));
        }
        if !is_durable(node, to, message) {
            self.report(Violation::AnsweredBeforeDurable(node.replica.clone()));
        }
        if is_vote {
            self.votes.insert((message.term, to.clone(), node.replica.clone()));
        }
    }

    /// Records a new leader; checks that it is the only one in its term and has a majority of votes.
    pub fn record_leader(&mut self, replica: &InstanceId, term: Term, replicas: usize) {
        if self.leaders.insert(term, replica.clone()).is_some_and(|leader| leader != *replica) {
            self.report(Violation::TwoLeaders(term));
        }
        let votes =
            self.votes.iter().filter(|(vote_term, candidate, _)| *vote_term == term && candidate == replica).count();
        if votes + 1 < replicas / 2 + 1 {
            self.report(Violation::LeaderWithoutMajority(term));
        }
    }

    /// Checks the last of `commands`, which a replica has just applied, against the other replicas.
    pub fn check_applied(&mut self, replica: &InstanceId, commands: &[(LogIndex, u64)]) {
        let Some(last) = commands.last() else { return };
        let is_next =
            commands.len() == self.applied.len() + 1 && self.applied.last().is_none_or(|(index, _)| *index < last.0);
        if is_next {
            self.applied.push(*last);
        } else if self.applied.get(commands.len() - 1) != Some(last) {
            self.report(Violation::LogsDiffer(replica.clone(), last.0));
        }
    }

    /// Checks the commands of a snapshot that a replica has restored.
    pub fn check_restored(&mut self, replica: &InstanceId, commands: &[(LogIndex, u64)]) {
        if !self.applied.starts_with(commands) {
            let index = commands.last().map_or(0, |(index, _)| *index);
            self.report(Violation::LogsDiffer(replica.clone(), index));
        }
    }

    /// Records the result of a proposal; `image` is the disk of the replica that answered it.
    pub fn record_answer(&mut self, id: u64, result: ProposalResult, image: &DiskImage, replicas: usize) {
        if let ProposalResult::Committed { index } = result {
            let term = image.entries.iter().find(|entry| entry.index == index).map(|entry| entry.term);
            let holders = term.and_then(|term| self.holders.get(&(index, term))).map_or(0, FastSet::len);
            if term.is_some() && holders < replicas / 2 + 1 {
                self.report(Violation::ConfirmedWithoutMajority(index));
            }
            if !self.applied.contains(&(index, id)) {
                self.report(Violation::ConfirmedLost(id));
            }
        }
        self.answers.insert(id, result);
    }

    /// Checks all recorded results once every replica has applied the same commands.
    pub fn check_answers(&mut self) {
        let answers: Vec<_> = self.answers.iter().map(|(id, result)| (*id, result.clone())).collect();
        for (id, result) in answers {
            let count = self.applied.iter().filter(|(_, command)| *command == id).count();
            match result {
                ProposalResult::Committed { .. } if count != 1 => {
                    self.report(Violation::ConfirmedLost(id));
                }
                ProposalResult::Committed { .. } | ProposalResult::Unknown => {}
                _ if count != 0 => self.report(Violation::RejectedCommandApplied(id)),
                _ => {}
            }
        }
    }

    /// Records a liveness violation.
    pub fn report_no_progress(&mut self, violation: Violation) {
        self.report(violation);
    }
}

/// Returns whether the state that a message asserts is durable.
fn is_durable(node: &Node, to: &InstanceId, message: &Message) -> bool {
    is_body_durable(node, to, message) && (!message.admitted || node.disk.durable.hard_state.admitted)
}

/// Returns whether the state that a message body asserts is durable.
pub(crate) fn is_body_durable(node: &Node, to: &InstanceId, message: &Message) -> bool {
    let image = &node.disk.durable;
    let voted_for = |replica: &InstanceId| {
        let saved = image.hard_state.voted_for.as_ref();
        image.hard_state.term > message.term
            || image.hard_state.term == message.term && saved.is_some_and(|member| member.replica == *replica)
    };
    match &message.body {
        MessageBody::Vote { granted: true, .. } => voted_for(to),
        MessageBody::VoteRequest { .. } => voted_for(&node.replica),
        MessageBody::Appended { index, conflict: false, .. } => {
            let snapshot = image.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            let last = image.entries.last().map_or(snapshot, |entry| entry.index.max(snapshot));
            *index <= last || image.hard_state.term > message.term
        }
        // A higher ballot accepted since then also preserves the promise.
        MessageBody::Hello { group_proposal: Some(proposal), .. } => image
            .hard_state
            .group_proposal
            .as_ref()
            .is_some_and(|saved| saved == proposal || saved.ballot > proposal.ballot),
        _ => true,
    }
}
