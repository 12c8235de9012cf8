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
        let agreed = if self.agreed.0 == self.vote.term { self.agreed.1.max(end) } else { end };
        self.agreed = (self.vote.term, agreed);
        let commit = commit.min(end);
        if commit > self.commit {
            self.commit = commit;
            self.apply(actions);
        }
        self.answer_round(&from, round, end, actions);
        self.promise(from, MessageBody::Appended { round, index: end, conflict: false }, actions);
    }

    /// Takes the news of a commit, as far as the log is known to be the same as the leader's.
    pub(super) fn commit_told(&mut self, index: LogIndex, actions: &mut Vec<ConsensusAction>) {
        let (term, agreed) = self.agreed;
        let commit = index.min(agreed);
        if term == self.vote.term && commit > self.commit {
            self.commit = commit;
            self.apply(actions);
        }
    }

    /// Answers a heartbeat round at once, with what is durable already, when entries are on their way to
    /// the disk. Otherwise slow disks of a majority would depose the leader. The term must be durable, or
    /// a crash could take this replica back to an earlier leader that replaces the entries answered for.
    fn answer_round(&mut self, from: &InstanceId, round: u64, end: LogIndex, actions: &mut Vec<ConsensusAction>) {
        let is_due = self.answered_round != (self.vote.term, round);
        if is_due && !self.writes.is_idle() && self.writes.is_term_durable() {
            self.answered_round = (self.vote.term, round);
            let index = self.writes.durable_index.min(end);
            self.send(from.clone(), MessageBody::Appended { round, index, conflict: false }, actions);
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
