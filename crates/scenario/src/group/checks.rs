//! What must hold in a group after every step.

use {
    super::GroupReplica,
    crate::fakes::{Violation, is_body_durable},
    hemlockford_core::{
        collections::FastMap,
        consensus::{Message, MessageBody, ProposalResult},
        ids::{InstanceId, LogIndex, Term},
    },
    std::collections::BTreeMap,
};

/// What must hold in a group after every step, kept apart from the state machines that are checked.
#[derive(Debug, Default)]
pub struct GroupChecks {
    /// Rules that did not hold.
    pub violations: Vec<Violation>,
    /// Command applied at each index, anywhere.
    pub applied: BTreeMap<LogIndex, u64>,
    /// Answers to proposals.
    pub answers: FastMap<u64, ProposalResult>,
    /// Answers to reads.
    pub reads: FastMap<u64, ProposalResult>,
    /// Last entry that was confirmed to anyone.
    pub confirmed: LogIndex,
    leaders: FastMap<Term, InstanceId>,
    /// For each read, the last entry that was confirmed when it arrived.
    min_read_indexes: FastMap<u64, LogIndex>,
}

impl GroupChecks {
    /// Notes a rule that did not hold.
    pub fn report(&mut self, violation: Violation) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }

    /// A replica sends a message.
    pub fn check_message(&mut self, replica: &GroupReplica, to: &InstanceId, message: &Message) {
        if !is_body_durable(&replica.node, to, message) {
            self.report(Violation::AnsweredBeforeDurable(replica.node.replica.clone()));
        }
        let is_empty = replica.node.disk.durable.entries.is_empty() && replica.node.disk.durable.snapshot.is_none();
        if is_empty && matches!(message.body, MessageBody::Vote { granted: true, .. }) {
            self.report(Violation::ParticipatedWithoutAdmission(replica.node.replica.clone()));
        }
    }

    /// A replica leads from here on.
    pub fn record_leader(&mut self, replica: &InstanceId, term: Term) {
        if self.leaders.insert(term, replica.clone()).is_some_and(|leader| leader != *replica) {
            self.report(Violation::TwoLeaders(term));
        }
    }

    /// A replica has applied a command. Two groups would apply different commands at one index.
    pub fn check_applied(&mut self, replica: &InstanceId, index: LogIndex, command: u64) {
        if *self.applied.entry(index).or_insert(command) != command {
            self.report(Violation::LogsDiffer(replica.clone(), index));
        }
    }

    /// A proposal was answered.
    pub fn record_answer(&mut self, id: u64, result: ProposalResult) {
        if let ProposalResult::Committed { index } = result {
            self.confirmed = self.confirmed.max(index);
            if self.applied.get(&index) != Some(&id) {
                self.report(Violation::ConfirmedLost(id));
            }
        }
        self.answers.insert(id, result);
    }

    /// A read arrives at a replica.
    pub fn record_read(&mut self, id: u64) {
        self.min_read_indexes.insert(id, self.confirmed);
    }

    /// A read was answered by a replica that has applied its log up to `applied`.
    pub fn check_read(&mut self, id: u64, result: ProposalResult, applied: LogIndex) {
        if let ProposalResult::Committed { index } = result
            && (index.min(applied) < self.min_read_indexes.get(&id).copied().unwrap_or_default())
        {
            self.report(Violation::StaleRead(id));
        }
        self.reads.insert(id, result);
    }

    /// Checks the answers once the group has settled.
    pub fn check_answers(&mut self) {
        let mut counts: FastMap<u64, usize> = FastMap::default();
        for command in self.applied.values() {
            *counts.entry(*command).or_default() += 1;
        }
        let answers: Vec<_> = self.answers.iter().map(|(id, result)| (*id, result.clone())).collect();
        for (id, result) in answers {
            match (result, counts.get(&id).copied().unwrap_or_default()) {
                (ProposalResult::Committed { .. }, 1) | (ProposalResult::Unknown, 0 | 1) => {}
                (ProposalResult::Committed { .. } | ProposalResult::Unknown, _) => {
                    self.report(Violation::ConfirmedLost(id));
                }
                (_, 0) => {}
                _ => self.report(Violation::RejectedCommandApplied(id)),
            }
        }
    }
}
