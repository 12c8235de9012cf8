//! Applying committed entries and taking snapshots.

use {
    super::{Consensus, ConsensusAction, Payload, ProposalResult, Role, Snapshot, WriteEffect},
    crate::ids::LogIndex,
    std::sync::Arc,
};

impl Consensus {
    pub(super) fn apply(&mut self, actions: &mut Vec<ConsensusAction>) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else {
                return actions.push(ConsensusAction::InvariantViolated("a committed entry is missing from the log"));
            };
            let index = entry.index;
            self.applied_bytes += entry.size();
            let size = if let Payload::Command(command) = &entry.payload { command.len() } else { 0 };
            match entry.payload.clone() {
                Payload::Noop | Payload::Remove(_) => {}
                Payload::Admit(member) => {
                    if member.replica == self.options.replica && member.incarnation == self.incarnation {
                        self.save_admission(actions);
                    }
                }
                Payload::Command(command) => actions.push(ConsensusAction::Apply { index, command }),
            }
            self.applied = index;
            if let Role::Leader(leader) = &mut self.role {
                while let Some((index, id)) = leader.pending_proposals.pop_front_if(|(held, _)| *held <= index) {
                    leader.pending_proposal_bytes = leader.pending_proposal_bytes.saturating_sub(size);
                    actions.push(ConsensusAction::Answer { id, result: ProposalResult::Committed { index } });
                }
            }
        }
        let entries = usize::try_from(self.applied - self.log.snapshot_index()).unwrap_or(usize::MAX);
        let is_due = entries >= self.options.snapshot_interval_entries
            || self.applied_bytes >= self.options.snapshot_interval_bytes;
        if is_due && !self.taking_snapshot {
            self.taking_snapshot = true;
            actions.push(ConsensusAction::TakeSnapshot { index: self.applied });
        }
    }

    pub(super) fn save_admission(&mut self, actions: &mut Vec<ConsensusAction>) {
        if !self.hard_state.admitted {
            self.hard_state.admitted = true;
            // A replica that was admitted by a leader must not confirm later that its group was formed by the
            // proposal that it agreed to earlier.
            self.hard_state.group_proposal = None;
            self.save_hard_state(WriteEffect::Admitted, actions);
        }
    }

    pub(super) fn snapshot_taken(&mut self, index: LogIndex, data: Arc<[u8]>, actions: &mut Vec<ConsensusAction>) {
        self.taking_snapshot = false;
        let (Some(term), true) = (self.log.term(index), index > self.log.snapshot_index()) else { return };
        let members = self.log.members_at(index);
        let snapshot = Arc::new(Snapshot { index, term, members, data });
        self.log.compact(
            snapshot.clone(),
            self.options.snapshot_interval_entries,
            self.options.snapshot_interval_bytes,
        );
        self.applied_bytes = 0;
        let sequence = self.writes.issue(WriteEffect::None);
        actions.push(ConsensusAction::SaveSnapshot { sequence, snapshot });
    }
}
