//! Leadership transfer on a planned stop or a stalled disk.

use {
    super::{Consensus, ConsensusAction, MessageBody, Role},
    std::time::{Duration, Instant},
};

/// Time after which a pending write means that the disk is full or too slow for a leader.
const DISK_STALL_TIMEOUT: Duration = Duration::from_secs(1);

impl Consensus {
    pub(super) fn stop(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        if let Role::Leader(leader) = &mut self.role {
            leader.transfer_deadline = Some(now + self.options.max_election_timeout);
            return self.try_leadership_transfer(now, actions);
        }
        if !matches!(self.role, Role::Follower) {
            self.become_follower(now, None, actions);
        }
        actions.push(ConsensusAction::Stopped);
    }

    /// In a dynamic group, starts a leadership transfer when the disk stalls and cancels it when the disk recovers.
    pub(super) fn check_disk_stall(&mut self, now: Instant) {
        if !self.options.is_dynamic || self.stopping || self.voter_count() == 1 {
            return;
        }
        let is_stalled = self.writes.oldest().is_some_and(|issued| now >= issued + DISK_STALL_TIMEOUT);
        let until = now + self.options.max_election_timeout;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.transfer_deadline = is_stalled.then(|| leader.transfer_deadline.unwrap_or(until));
    }

    /// Asks an up-to-date replica to take over once all proposals are answered, and steps down when the transfer
    /// times out.
    pub(super) fn try_leadership_transfer(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(until) = leader.transfer_deadline else { return };
        let is_alone = self.voter_count() == 1 && leader.pending_proposals.is_empty();
        if now >= until || is_alone {
            return self.become_follower(now, None, actions);
        }
        if leader.timeout_now_sent || !leader.pending_proposals.is_empty() {
            return;
        }
        let best = self.active_voters().find(|(_, progress)| progress.match_index == self.log.last_index());
        if let Some((to, _)) = best {
            let to = to.clone();
            self.send(to, MessageBody::TimeoutNow, actions);
            if let Role::Leader(leader) = &mut self.role {
                leader.timeout_now_sent = true;
            }
        }
    }
}
