//! Log replication on a follower.

use {
    super::{Consensus, ConsensusAction, Entry, MessageBody, WriteEffect},
    crate::ids::{InstanceId, LogIndex, Term},
};

impl Consensus {
    pub(super) fn append_received(
        &mut self,
        from: InstanceId,
        round: u64,
        (prev_index, prev_term): (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
        actions: &mut Vec<ConsensusAction>,
    ) {
        if entries.iter().zip(prev_index + 1..).any(|(entry, index)| entry.index != index) {
            return;
        }
        if prev_index > self.log.last_index() {
            let index = self.log.last_index();
            return self.send_when_durable(from, MessageBody::Appended { round, index, conflict: true }, actions);
        }
        // Committed entries are the same on all replicas, even if this replica has them only in a snapshot.
        if prev_index > self.commit && self.log.term(prev_index) != Some(prev_term) {
            let index = (self.log.term_start(prev_index) - 1).max(self.commit);
            return self.send_when_durable(from, MessageBody::Appended { round, index, conflict: true }, actions);
        }
        let end = prev_index + entries.len() as u64;
        if !self.append_missing(entries, actions) {
            return;
        }
        let leader_match = if self.leader_match.0 == self.hard_state.term { self.leader_match.1.max(end) } else { end };
        self.leader_match = (self.hard_state.term, leader_match);
        let commit = commit.min(end);
        if commit > self.commit {
            self.commit = commit;
            self.apply(actions);
        }
        self.acknowledge_round_early(&from, round, end, actions);
        self.send_when_durable(from, MessageBody::Appended { round, index: end, conflict: false }, actions);
    }

    /// Handles a commit index from the leader, up to the last entry that is known to match the leader's log.
    pub(super) fn commit_index_received(&mut self, index: LogIndex, actions: &mut Vec<ConsensusAction>) {
        let (term, leader_match) = self.leader_match;
        let commit = index.min(leader_match);
        if term == self.hard_state.term && commit > self.commit {
            self.commit = commit;
            self.apply(actions);
        }
    }

    /// Acknowledges a heartbeat round at once, with the entries that are durable so far, while other writes are
    /// pending. Otherwise slow disks on a majority would make the leader step down. The term must be durable: after a
    /// crash this replica could otherwise accept an earlier leader, which would replace entries that were
    /// acknowledged.
    fn acknowledge_round_early(
        &mut self,
        from: &InstanceId,
        round: u64,
        end: LogIndex,
        actions: &mut Vec<ConsensusAction>,
    ) {
        let is_due = self.acknowledged_round != (self.hard_state.term, round);
        if is_due && !self.writes.is_idle() && self.writes.is_term_durable() {
            self.acknowledged_round = (self.hard_state.term, round);
            let index = self.writes.durable_index.min(end);
            self.send(from.clone(), MessageBody::Appended { round, index, conflict: false }, actions);
        }
    }

    /// Appends the entries that are missing from the log and replaces conflicting ones.
    fn append_missing(&mut self, entries: Vec<Entry>, actions: &mut Vec<ConsensusAction>) -> bool {
        let mut appended = Vec::new();
        for entry in entries {
            let held_term = self.log.term(entry.index);
            if held_term == Some(entry.term) || held_term.is_none() && entry.index <= self.commit {
                continue;
            }
            if entry.index <= self.commit {
                actions.push(ConsensusAction::InvariantViolated("the leader attempted to replace a committed entry"));
                return false;
            }
            if held_term.is_some() {
                self.log.truncate(entry.index);
                self.writes.truncate_after(entry.index - 1);
                let sequence = self.writes.issue(WriteEffect::None);
                actions.push(ConsensusAction::Truncate { sequence, from: entry.index });
            }
            self.log.append(entry.clone());
            appended.push(entry);
        }
        if let Some(last) = appended.last() {
            let sequence = self.writes.issue(WriteEffect::Log(last.index));
            actions.push(ConsensusAction::Append { sequence, entries: appended });
        }
        true
    }
}
