//! A follower's side of replication.

use {
    super::{Consensus, ConsensusAction, Effect, Entry, MessageBody},
    crate::ids::{InstanceId, LogIndex, Term},
};

impl Consensus {
    pub(super) fn append_requested(
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
            return self.promise(from, MessageBody::Appended { round, index, conflict: true }, actions);
        }
        // Committed entries are the same everywhere, also those that are in a snapshot only.
        if prev_index > self.commit && self.log.term(prev_index) != Some(prev_term) {
            let index = (self.log.term_start(prev_index) - 1).max(self.commit);
            return self.promise(from, MessageBody::Appended { round, index, conflict: true }, actions);
        }
        let end = prev_index + entries.len() as u64;
        if !self.take_entries(entries, actions) {
            return;
        }
        let commit = commit.min(end);
        if commit > self.commit {
            self.commit = commit;
            self.apply(actions);
        }
        self.report_durable(&from, round, end, actions);
        self.promise(from, MessageBody::Appended { round, index: end, conflict: false }, actions);
    }

    /// Answers at once with what is durable while writes are pending. The leader steps down without answers
    /// of a majority, so that a slow fsync must not look like a lost replica.
    fn report_durable(&self, to: &InstanceId, round: u64, end: LogIndex, actions: &mut Vec<ConsensusAction>) {
        // The answer counts entries for the leader of this term, which must be remembered after a crash.
        if !self.writes.is_idle() && self.writes.is_vote_durable() {
            let index = self.writes.durable_index.min(end);
            let message = self.message(MessageBody::Appended { round, index, conflict: false });
            actions.push(ConsensusAction::Send { to: to.clone(), message });
        }
    }

    /// Appends the entries that the log does not contain yet, in place of those that differ.
    fn take_entries(&mut self, entries: Vec<Entry>, actions: &mut Vec<ConsensusAction>) -> bool {
        let mut fresh = Vec::new();
        for entry in entries {
            let held = self.log.term(entry.index);
            if held == Some(entry.term) || held.is_none() && entry.index <= self.commit {
                continue;
            }
            if entry.index <= self.commit {
                actions.push(ConsensusAction::Broken("a leader replaces a committed entry"));
                return false;
            }
            if held.is_some() {
                self.log.truncate(entry.index);
                self.writes.cut(entry.index - 1);
                let sequence = self.writes.issue(Effect::None);
                actions.push(ConsensusAction::Truncate { sequence, from: entry.index });
            }
            self.log.append(entry.clone());
            fresh.push(entry);
        }
        if let Some(last) = fresh.last() {
            let sequence = self.writes.issue(Effect::Log(last.index));
            actions.push(ConsensusAction::Append { sequence, entries: fresh });
        }
        true
    }
}
