//! Membership changes in a dynamic group.
//!
//! The leader makes one change at a time, and only after an entry of its term is committed. Then the majorities
//! before and after a change overlap, even if different leaders make consecutive changes.
//!
//! A voter that lost its data folder is replaced in two changes. A vote of its old incarnation may still be in
//! transit, so the new incarnation must not be part of the majority that commits the removal. Otherwise a candidate
//! could win with that vote and have no replica in common with that majority.

use {
    super::{Consensus, ConsensusAction, Entry, Member, Payload, Progress, Role},
    crate::ids::{InstanceId, LogIndex},
    std::time::{Duration, Instant},
};

/// Time without contact after which a voter is replaced.
const VOTER_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an excess voter is removed although all voters respond. It is long enough to detect a silent
/// voter, which is removed first.
const EXCESS_VOTER_DELAY: Duration = VOTER_SILENCE_TIMEOUT;
/// Maximum time since the last contact with a replica whose acknowledgement may be needed at once: a learner that
/// becomes a voter, and the voters that remain when an excess one is removed.
const RECENT_CONTACT_WINDOW: Duration = Duration::from_millis(500);
/// Time without contact after which a learner is removed.
const LEARNER_EXPIRY: Duration = Duration::from_secs(10);
/// Number of entries by which a replica may lag and still count as caught up, so that a steady load of proposals does
/// not delay its admission.
const MAX_CAUGHT_UP_LAG: u64 = 64;

impl Consensus {
    /// Admits the new incarnation of a replica once it has caught up; in a dynamic group, proposes any membership
    /// change that is due.
    pub(super) fn admit_if_caught_up(&mut self, from: &InstanceId, actions: &mut Vec<ConsensusAction>) {
        if self.options.is_dynamic {
            return self.propose_membership_change(self.writes.now, actions);
        }
        let Role::Leader(leader) = &self.role else { return };
        let Some(progress) = leader.progress.get(from) else { return };
        let admitted = self.log.members.incarnation(from).unwrap_or_default();
        if progress.incarnation > admitted && self.is_caught_up(progress) && leader.transfer_deadline.is_none() {
            let member = Member { replica: from.clone(), incarnation: progress.incarnation };
            self.append_as_leader(Payload::Admit(member), actions);
        }
    }

    fn is_caught_up(&self, progress: &Progress) -> bool {
        progress.match_index > 0 && progress.match_index + MAX_CAUGHT_UP_LAG >= self.log.last_index()
    }

    /// Proposes the next membership change if one is due.
    pub(super) fn propose_membership_change(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        let has_excess_voters = self.log.members.len() > self.options.target_voters;
        if let Role::Leader(leader) = &mut self.role {
            leader.excess_voters_since =
                if has_excess_voters { leader.excess_voters_since.or(Some(now)) } else { None };
        }
        let is_ready = self.log.term(self.commit) == Some(self.hard_state.term) && self.log.change_index <= self.commit;
        if self.options.is_dynamic
            && is_ready
            && let Some(payload) = self.next_membership_change(now)
        {
            self.append_as_leader(payload, actions);
            // With fewer voters, the remaining majority may have acknowledged more entries.
            self.advance_commit(actions);
        }
    }

    fn next_membership_change(&self, now: Instant) -> Option<Payload> {
        let Role::Leader(leader) = &self.role else { return None };
        if leader.transfer_deadline.is_some() {
            return None;
        }
        let is_ready =
            |progress: &Progress| self.is_caught_up(progress) && now < progress.last_heard_at + RECENT_CONTACT_WINDOW;
        let members = &self.log.members;
        let silence = |member: &Member| match leader.progress.get(&member.replica) {
            Some(progress) if progress.incarnation == member.incarnation => now - progress.last_heard_at,
            Some(progress) => now - progress.known_since,
            None => Duration::MAX,
        };
        for member in members.iter() {
            if let Some(progress) = leader.progress.get(&member.replica)
                && progress.incarnation > member.incarnation
                && is_ready(progress)
            {
                return Some(Payload::Remove(member.clone()));
            }
        }
        let silent = members
            .iter()
            .filter(|member| member.replica != self.options.replica && silence(member) >= VOTER_SILENCE_TIMEOUT)
            .max_by_key(|member| silence(member));
        if members.len() > self.options.target_voters {
            return silent.or_else(|| self.excess_voter(now)).cloned().map(Payload::Remove);
        }
        if members.len() == self.options.target_voters && silent.is_none() {
            return None;
        }
        let learners = leader.progress.iter().filter(|(name, _)| members.incarnation(name).is_none());
        let removed = match self.log.get(self.log.change_index).map(|entry| &entry.payload) {
            Some(Payload::Remove(member)) => Some(member),
            _ => None,
        };
        // A replica that only lost its data folder is preferred.
        let returns = |name: &InstanceId, progress: &Progress| {
            removed.is_some_and(|member| member.replica == *name && progress.incarnation > member.incarnation)
        };
        let (replica, progress) = learners
            .filter(|(_, progress)| progress.incarnation > 0 && is_ready(progress))
            .max_by_key(|(name, progress)| (returns(name, progress), progress.match_index, *name))?;
        Some(Payload::Admit(Member { replica: replica.clone(), incarnation: progress.incarnation }))
    }

    /// The voter that lags most, if there has been an excess voter for some time and all other voters are caught up.
    fn excess_voter(&self, now: Instant) -> Option<&Member> {
        let Role::Leader(leader) = &self.role else { return None };
        let is_due = now >= leader.excess_voters_since? + EXCESS_VOTER_DELAY;
        let responsive =
            self.active_voters().filter(|(_, progress)| now < progress.last_heard_at + RECENT_CONTACT_WINDOW);
        let mut responsive: Vec<_> =
            responsive.map(|(name, progress)| (progress.match_index, name, progress)).collect();
        responsive.sort_unstable_by_key(|(matched, name, _)| (*matched, *name));
        let (_, spare, _) = responsive.first()?;
        let are_all_responsive = responsive.len() + 1 == self.log.members.len();
        let are_caught_up = responsive.iter().skip(1).all(|(.., progress)| self.is_caught_up(progress));
        let mut members = self.log.members.iter();
        members.find(|member| member.replica == **spare).filter(|_| is_due && are_all_responsive && are_caught_up)
    }

    /// Last entry that may be sent to a replica. The removal of a voter is sent to it only once it is committed: a
    /// replica that is removed in its own log does not stand for election, but as the one with the longest log it
    /// would refuse its vote to the other voters, which may need it until then.
    pub(super) fn last_sendable(&self, to: &InstanceId) -> LogIndex {
        let index = self.log.change_index;
        match self.log.get(index) {
            Some(Entry { payload: Payload::Remove(member), .. }) if index > self.commit && member.replica == *to => {
                index - 1
            }
            _ => self.log.last_index(),
        }
    }

    /// Informs a removed replica after a membership change is committed, and proposes the next change at once,
    /// because the group may not tolerate a failure until then.
    pub(super) fn membership_change_committed(&mut self, actions: &mut Vec<ConsensusAction>) {
        for to in self.replication_targets() {
            self.send_entries(&to, false, actions);
        }
        self.propose_membership_change(self.writes.now, actions);
    }

    /// Removes learners without recent contact.
    pub(super) fn remove_silent_learners(&mut self, now: Instant) {
        if let (true, Role::Leader(leader)) = (self.options.is_dynamic, &mut self.role) {
            let members = &self.log.members;
            leader.progress.retain(|name, progress| {
                members.incarnation(name).is_some() || now < progress.last_heard_at + LEARNER_EXPIRY
            });
        }
    }
}
