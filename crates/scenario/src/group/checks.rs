//! Safety properties of a dynamic group, checked after every step.

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

/// Checks safety properties of a dynamic group independently of the state machines under test.
#[derive(Debug, Default)]
pub struct GroupChecks {
    /// Violated properties.
    pub violations: Vec<Violation>,
    /// Command applied at each index by any replica.
    pub applied: BTreeMap<LogIndex, u64>,
    /// Results of proposals by ID.
    pub answers: FastMap<u64, ProposalResult>,
    /// Results of reads by ID.
    pub reads: FastMap<u64, ProposalResult>,
    /// Highest index reported as committed to a client.
    pub confirmed: LogIndex,
    leaders: FastMap<Term, InstanceId>,
    /// For each read, the highest index reported as committed when the read started.
    min_read_indexes: FastMap<u64, LogIndex>,
}

impl GroupChecks {
    /// Records a violation once.
    pub fn report(&mut self, violation: Violation) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }

    /// Checks that a sent message reflects durable state, and that a replica with an empty log grants no vote.
    pub fn check_message(&mut self, replica: &GroupReplica, to: &InstanceId, message: &Message) {
        if !is_body_durable(&replica.node, to, message) {
            self.report(Violation::AnsweredBeforeDurable(replica.node.replica.clone()));
        }
        let is_empty = replica.node.disk.durable.entries.is_empty() && replica.node.disk.durable.snapshot.is_none();
        if is_empty && matches!(message.body, MessageBody::Vote { granted: true, .. }) {
            self.report(Violation::ParticipatedWithoutAdmission(replica.node.replica.clone()));
        }
    }

    /// Records a new leader and checks that it is the only one in its term.
    pub fn record_leader(&mut self, replica: &InstanceId, term: Term) {
        if self.leaders.insert(term, replica.clone()).is_some_and(|leader| leader != *replica) {
            self.report(Violation::TwoLeaders(term));
        }
    }

    /// Checks an applied command against the other replicas. Two separate groups would apply different commands at the
    /// same index.
    pub fn check_applied(&mut self, replica: &InstanceId, index: LogIndex, command: u64) {
        if *self.applied.entry(index).or_insert(command) != command {
            self.report(Violation::LogsDiffer(replica.clone(), index));
        }
    }

    /// Records the result of a proposal.
    pub fn record_answer(&mut self, id: u64, result: ProposalResult) {
        if let ProposalResult::Committed { index } = result {
            self.confirmed = self.confirmed.max(index);
            if self.applied.get(&index) != Some(&id) {
                self.report(Violation::ConfirmedLost(id));
            }
        }
        self.answers.insert(id, result);
    }

    /// Records the start of a read.
    pub fn record_read(&mut self, id: u64) {
        self.min_read_indexes.insert(id, self.confirmed);
    }

    /// Checks the result of a read from a replica that has applied its log up to `applied`.
    pub fn check_read(&mut self, id: u64, result: ProposalResult, applied: LogIndex) {
        if let ProposalResult::Committed { index } = result
            && (index.min(applied) < self.min_read_indexes.get(&id).copied().unwrap_or_default())
        {
            self.report(Violation::StaleRead(id));
        }
        self.reads.insert(id, result);
    }

    /// Checks all recorded results once the group has converged.
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
