//! Log replication on the leader.

use {
    super::{
        Consensus, ConsensusAction, Entry, MAX_COMMAND_BYTES, MAX_PAYLOAD_BYTES, MessageBody, Payload, Progress,
        ProposalResult, Role, WriteEffect,
    },
    crate::ids::{Incarnation, InstanceId, LogIndex},
    std::{sync::Arc, time::Instant},
};

impl Consensus {
    pub(super) fn propose(&mut self, id: u64, command: Arc<[u8]>, actions: &mut Vec<ConsensusAction>) {
        let refused = match &mut self.role {
            Role::Leader(leader) if leader.transfer_deadline.is_some() => {
                Some(ProposalResult::NotLeader { leader: None })
            }
            Role::Leader(leader) => {
                if command.len() > MAX_COMMAND_BYTES {
                    Some(ProposalResult::TooLarge)
                } else if leader.pending_proposals.len() >= self.options.max_pending_proposals
                    || leader.pending_proposal_bytes > 0
                        && leader.pending_proposal_bytes + command.len() > self.options.max_pending_proposal_bytes
                {
                    Some(ProposalResult::Busy)
                } else {
                    leader.pending_proposal_bytes += command.len();
                    leader.pending_proposals.push_back((self.log.last_index() + 1, id));
                    None
                }
            }
            _ => Some(ProposalResult::NotLeader { leader: self.leader.clone() }),
        };
        match refused {
            Some(result) => actions.push(ConsensusAction::Answer { id, result }),
            None => self.append_as_leader(Payload::Command(command), actions),
        }
    }

    /// Appends an entry to the leader's log and replicates it.
    pub(super) fn append_as_leader(&mut self, payload: Payload, actions: &mut Vec<ConsensusAction>) {
        let entry = Entry { index: self.log.last_index() + 1, term: self.hard_state.term, payload };
        self.log.append(entry.clone());
        let sequence = self.writes.issue(WriteEffect::Log(entry.index));
        actions.push(ConsensusAction::Append { sequence, entries: vec![entry] });
        for to in self.replication_targets() {
            self.send_entries(&to, false, actions);
        }
    }

    pub(super) fn heartbeat(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        let Role::Leader(leader) = &mut self.role else { return };
        if now >= leader.next_heartbeat {
            leader.round += 1;
            leader.pending_rounds.push_back((leader.round, now));
            leader.next_heartbeat = now + self.options.heartbeat_interval;
            leader.timeout_now_sent = false;
            for to in self.replication_targets() {
                self.send_entries(&to, true, actions);
            }
            self.confirm_rounds();
            self.remove_silent_learners(now);
            self.propose_membership_change(now, actions);
            self.send_replica_list(actions);
        }
        self.check_disk_stall(now);
        self.try_leadership_transfer(now, actions);
    }

    /// Sends the entries that the flow-control window permits; with `probe`, sends a message even if there are no
    /// entries.
    pub(super) fn send_entries(&mut self, to: &InstanceId, probe: bool, actions: &mut Vec<ConsensusAction>) {
        let (term, incarnation, admitted) = (self.hard_state.term, self.incarnation, self.is_admitted());
        let last_sendable = self.last_sendable(to);
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(to) else { return };
        let (round, commit) = (leader.round, self.commit);
        let mut send = |prev_index: LogIndex, prev_term, entries| {
            let body = MessageBody::Append { round, prev_index, prev_term, entries, commit };
            let message = super::Message { term, incarnation, admitted, body };
            actions.push(ConsensusAction::Send { to: to.clone(), message });
        };
        let known = self.log.term(progress.next_index - 1);
        let (Some(prev_term), None) = (known, &progress.snapshot_transfer) else {
            // The entries are available only in a snapshot. It is sent once the replica answers, so that no large
            // transfer is started to an unreachable replica.
            if probe {
                send(self.log.last_index(), self.log.last_term(), Vec::new());
            }
            return;
        };
        if progress.probing {
            if probe {
                send(progress.next_index - 1, prev_term, Vec::new());
            }
            return;
        }
        let mut is_sent = false;
        let mut prev_term = prev_term;
        while progress.next_index <= last_sendable {
            let mut entries = self.log.slice(progress.next_index, MAX_PAYLOAD_BYTES);
            entries.retain(|entry| entry.index <= last_sendable);
            let Some(last) = entries.last() else { break };
            let (last_index, last_term) = (last.index, last.term);
            let size = entries.iter().map(Entry::size).sum();
            if !progress.has_room(self.options.max_in_flight_messages, self.options.max_in_flight_bytes, size) {
                break;
            }
            send(progress.next_index - 1, prev_term, entries);
            progress.in_flight.push_back((last_index, size));
            progress.next_index = last_index + 1;
            prev_term = last_term;
            is_sent = true;
        }
        if probe && !is_sent {
            send(progress.next_index - 1, prev_term, Vec::new());
        }
    }

    /// Handles a response to `Append`.
    pub(super) fn append_acknowledged(
        &mut self,
        from: InstanceId,
        sender: (Incarnation, bool),
        round: u64,
        index: LogIndex,
        conflict: bool,
        actions: &mut Vec<ConsensusAction>,
    ) {
        let last_index = self.log.last_index();
        let Some(progress) = self.observe(&from, sender, round) else { return };
        if conflict {
            let is_news = progress.back_up_to(index.min(last_index));
            let is_offered = self.try_send_snapshot(&from, actions);
            if is_news && !is_offered {
                self.send_entries(&from, true, actions);
            }
        } else if index > last_index {
            return actions.push(ConsensusAction::InvariantViolated(
                "a replica acknowledged entries that are not in the leader's log",
            ));
        } else {
            progress.acknowledge(index);
        }
        self.confirm_rounds();
        self.admit_if_caught_up(&from, actions);
        self.advance_commit(actions);
        self.send_entries(&from, false, actions);
    }

    /// Records the acknowledgement of a round; returns `None` if the sender is a stale incarnation.
    pub(super) fn observe(
        &mut self,
        from: &InstanceId,
        (incarnation, admitted): (Incarnation, bool),
        round: u64,
    ) -> Option<&mut Progress> {
        let now = self.writes.now;
        let Role::Leader(leader) = &mut self.role else { return None };
        let progress = leader.progress.get_mut(from)?;
        if !progress.observe(now, incarnation, admitted) {
            return None;
        }
        progress.acknowledged_round = progress.acknowledged_round.max(round);
        Some(progress)
    }

    /// The voters whose acknowledgements count, with their progress.
    pub(super) fn active_voters(&self) -> impl Iterator<Item = (&InstanceId, &Progress)> {
        let progress = match &self.role {
            Role::Leader(leader) => Some(&leader.progress),
            _ => None,
        };
        self.log.members.iter().filter_map(move |member| {
            let progress = progress?.get(&member.replica)?;
            let is_counted = self.is_active_voter(&member.replica, progress.incarnation, progress.admitted);
            is_counted.then_some((&member.replica, progress))
        })
    }

    /// The highest value that a majority has reached.
    fn majority_value(&self, own: u64, of: impl Fn(&Progress) -> u64) -> u64 {
        let mut values: Vec<_> = self.active_voters().map(|(_, progress)| of(progress)).chain([own]).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.majority() - 1).copied().unwrap_or_default()
    }

    pub(super) fn confirm_rounds(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let confirmed = self.majority_value(leader.round, |progress| progress.acknowledged_round);
        let Role::Leader(leader) = &mut self.role else { return };
        while let Some((round, at)) = leader.pending_rounds.pop_front_if(|(round, _)| *round <= confirmed) {
            leader.confirmed_round = round;
            leader.confirmed_at = at;
        }
    }

    /// Advances the commit index to the last entry that is durable on a majority. Entries of earlier terms are only
    /// committed through a later entry of this term, because a later leader could otherwise replace them.
    pub(super) fn advance_commit(&mut self, actions: &mut Vec<ConsensusAction>) {
        if !self.is_leader() {
            return;
        }
        let index = self.majority_value(self.writes.durable_index, |progress| progress.match_index);
        if index > self.commit && self.log.term(index) == Some(self.hard_state.term) {
            let is_change = self.options.is_dynamic && (self.commit + 1..=index).contains(&self.log.change_index);
            self.commit = index;
            self.apply(actions);
            self.send_commit_index(actions);
            if is_change {
                self.membership_change_committed(actions);
            }
        }
    }

    /// In a dynamic group, sends the commit index to the replicas that were sent the committed entries.
    fn send_commit_index(&self, actions: &mut Vec<ConsensusAction>) {
        let Role::Leader(leader) = &self.role else { return };
        for to in self.replication_targets().into_iter().filter(|_| self.options.is_dynamic) {
            let progress = leader.progress.get(&to);
            if progress.is_some_and(|progress| !progress.probing && progress.next_index > self.commit) {
                self.send(to, MessageBody::Commit { index: self.commit }, actions);
            }
        }
    }
}
