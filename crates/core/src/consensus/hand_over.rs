//! Planned stop: the leader hands over before it goes.

use {
    super::{Consensus, ConsensusAction, MessageBody, Role},
    std::time::{Duration, Instant},
};

/// Time after which a write that is not durable shows that the disk is full or too slow to lead with.
const DISK_STUCK: Duration = Duration::from_secs(1);

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

    /// In a dynamic group, begins to hand over when the disk is stuck, and leads on when it goes on.
    pub(super) fn check_disk(&mut self, now: Instant) {
        if !self.options.is_dynamic || self.stopping || self.voter_count() == 1 {
            return;
        }
        let is_stuck = self.writes.oldest().is_some_and(|issued| now >= issued + DISK_STUCK);
        let until = now + self.options.election_max;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.hand_over_until = is_stuck.then(|| leader.hand_over_until.unwrap_or(until));
    }

    /// Asks the most caught-up replica to take over once every proposal is answered; gives up leading
    /// when nobody did so in time.
    pub(super) fn try_hand_over(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(until) = leader.hand_over_until else { return };
        let is_alone = self.voter_count() == 1 && leader.proposals.is_empty();
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
