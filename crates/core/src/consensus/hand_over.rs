//! Planned stop: the leader hands over before it goes.

use {
    super::{Consensus, ConsensusAction, MessageBody, Role},
    std::time::Instant,
};

impl Consensus {
    pub(super) fn stop(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        if let Role::Leader(leader) = &mut self.role {
            leader.hand_over_until = Some(now + self.options.election_max);
            return self.try_hand_over(now, actions);
        }
        if !matches!(self.role, Role::Follower) {
            self.become_follower(now, None, actions);
        }
        actions.push(ConsensusAction::Stopped);
    }

    /// Asks the most caught-up replica to take over once every proposal is answered; gives up leading
    /// when nobody did so in time.
    pub(super) fn try_hand_over(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(until) = leader.hand_over_until else { return };
        let is_alone = self.options.replicas.len() == 1 && leader.proposals.is_empty();
        if now >= until || is_alone {
            return self.become_follower(now, None, actions);
        }
        if leader.hand_over_sent || !leader.proposals.is_empty() {
            return;
        }
        let best = self.counted().find(|(_, progress)| progress.matched == self.log.last_index());
        if let Some((to, _)) = best {
            let to = to.clone();
            self.send(to, MessageBody::TimeoutNow, actions);
            if let Role::Leader(leader) = &mut self.role {
                leader.hand_over_sent = true;
            }
        }
    }
}
