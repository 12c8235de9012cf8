//! Linearizable reads.
//!
//! A read is answered once a majority has acknowledged a heartbeat round that was started after the read arrived, and
//! an entry of this term is committed. Then no other replica can have committed anything that the answer lacks,
//! regardless of clocks.

use {
    super::{Consensus, ConsensusAction, ProposalResult, Role},
    std::time::Instant,
};

impl Consensus {
    pub(super) fn read(&mut self, id: u64, actions: &mut Vec<ConsensusAction>) {
        let result = match &mut self.role {
            Role::Leader(leader) if leader.transfer_deadline.is_some() => ProposalResult::NotLeader { leader: None },
            Role::Leader(leader) if leader.pending_reads.len() >= self.options.max_pending_proposals => {
                ProposalResult::Busy
            }
            Role::Leader(leader) => return leader.pending_reads.push_back((leader.round + 1, id)),
            _ => ProposalResult::NotLeader { leader: self.leader.clone() },
        };
        actions.push(ConsensusAction::Answer { id, result });
    }

    /// Answers the reads whose round is confirmed. Starts a round for the remaining ones unless one is in progress.
    /// Runs after every event.
    pub(super) fn answer_reads(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        loop {
            let is_term_committed = self.log.term(self.commit) == Some(self.hard_state.term);
            let Role::Leader(leader) = &mut self.role else { return };
            while is_term_committed
                && let Some((_, id)) = leader.pending_reads.pop_front_if(|(round, _)| *round <= leader.confirmed_round)
            {
                let result = ProposalResult::Committed { index: self.commit };
                actions.push(ConsensusAction::Answer { id, result });
            }
            let is_waiting = leader.pending_reads.back().is_some_and(|(round, _)| *round > leader.round);
            if !is_waiting || !leader.pending_rounds.is_empty() {
                return;
            }
            leader.round += 1;
            leader.pending_rounds.push_back((leader.round, now));
            for to in self.other_voters() {
                self.send_entries(&to, true, actions);
            }
            self.confirm_rounds();
        }
    }
}
