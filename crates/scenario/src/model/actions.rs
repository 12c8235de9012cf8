//! Executes the actions of replicas: their effect on disks, messages and checks.

use {
    super::{
        Defect, World, WriteOutcome,
        steps::READS,
        world::{Envelope, NAMES},
    },
    crate::fakes::{LostWrites, Violation, is_body_durable},
    hemlockford_core::{
        collections::FastHasher,
        consensus::{
            ConsensusAction, ConsensusEvent, Entry, Member, Message, MessageBody, Payload, ProposalResult, Write,
        },
        ids::{InstanceId, LogIndex},
        ledger::{Command, Ledger, LedgerOutcome, SubmitOutcome},
    },
    std::{
        hash::{Hash, Hasher},
        sync::Arc,
    },
};

impl World {
    pub(super) fn handle(&mut self, at: usize, event: ConsensusEvent, writes: WriteOutcome) {
        let was_pending = self.is_pending(at);
        let now = self.start + self.replicas[at].clock;
        let (mut actions, queued) = (Vec::new(), self.queue.len());
        let Some(consensus) = &mut self.replica_mut(at).node.consensus else { return };
        consensus.handle(now, event, &mut actions);
        self.execute_actions(at, actions);
        (self.has_written, self.messages_sent) = (self.is_pending(at), self.queue.len().saturating_sub(queued));
        match writes {
            WriteOutcome::Durable if !was_pending => self.sync(at),
            WriteOutcome::Durable | WriteOutcome::Pending => {}
            WriteOutcome::CrashBeforeSync => self.crash(at, 0),
            WriteOutcome::CrashAfterSync => self.crash(at, usize::MAX),
            WriteOutcome::CrashAfterMessages(count) => {
                self.queue.truncate(queued + count);
                self.crash(at, usize::MAX);
            }
        }
    }

    /// Makes all pending writes durable, including those caused by their completion.
    pub(super) fn sync(&mut self, at: usize) {
        while let Some(up_to) = self.replicas[at].node.disk.last_unsynced() {
            let now = self.start + self.replicas[at].clock;
            let replica = self.replica_mut(at);
            replica.node.disk.sync(up_to);
            let Some(consensus) = &mut replica.node.consensus else { return };
            let mut actions = Vec::new();
            consensus.handle(now, ConsensusEvent::Persisted { up_to }, &mut actions);
            self.execute_actions(at, actions);
        }
    }

    pub(super) fn execute_actions(&mut self, at: usize, actions: Vec<ConsensusAction>) {
        for action in &actions {
            if let Some((sequence, mut write)) = Write::from_action(action) {
                if let Write::Append(entries) = &mut write {
                    self.rewrite(entries);
                }
                self.replica_mut(at).node.disk.write(sequence, write);
            }
        }
        self.history.check_committed(Arc::make_mut(&mut self.replicas[at]));
        let is_stopped = actions.contains(&ConsensusAction::Stopped);
        for action in actions {
            self.execute_action(at, action);
        }
        if is_stopped {
            self.crash(at, 0);
        }
    }

    fn execute_action(&mut self, at: usize, action: ConsensusAction) {
        match action {
            ConsensusAction::Send { to, message } => self.send(at, &to, message),
            ConsensusAction::Apply { index, command } => {
                let has_defect = self.options.defect == Defect::Number;
                let replica = self.replica_mut(at);
                if has_defect {
                    replica.ledger = Ledger::default();
                }
                let outcome = replica.ledger.apply_bytes(index, &command);
                if let (Ok(Command::Submit { number, .. }), LedgerOutcome::Submit(SubmitOutcome::Accepted { digest })) =
                    (Command::decode(&command), outcome)
                {
                    self.history.record_accepted(number, digest);
                }
            }
            ConsensusAction::RestoreSnapshot { snapshot } => {
                let ledger = Ledger::restore(&snapshot.data).unwrap_or_default();
                if let Some(digest) = ledger.change_digest(ledger.change_number()) {
                    self.history.record_accepted(ledger.change_number(), digest);
                }
                self.replica_mut(at).ledger = ledger;
            }
            ConsensusAction::TakeSnapshot { index } => {
                let data = self.replicas[at].ledger.snapshot().unwrap_or_default().into();
                self.handle(at, ConsensusEvent::SnapshotTaken { index, data }, WriteOutcome::Pending);
            }
            ConsensusAction::Answer { id, result: ProposalResult::Committed { index } } if id > READS => {
                let applied = self.replicas[at].ledger.last_applied();
                self.history.check_read(id, index.min(applied.max(self.replicas[at].last_checked)));
            }
            ConsensusAction::Answer { result: ProposalResult::Committed { index }, .. } => self.check_ack(at, index),
            ConsensusAction::BecomeLeader { term } => self.history.record_leader(at, &self.replicas[at], term),
            ConsensusAction::InvariantViolated(what) => self.history.report(Violation::InvariantViolated(what)),
            _ => {}
        }
    }

    /// Checks that a change acknowledged by a leader is durable on a majority of the voters. Data folders that have
    /// been lost since count if they contained it.
    fn check_ack(&mut self, at: usize, index: LogIndex) {
        let replica = &self.replicas[at];
        if let (Some(consensus), Some(term)) = (replica.consensus(), replica.entry(index).map(|entry| entry.term)) {
            let voters: Vec<_> = consensus.voters().collect();
            let holds = |at: &usize| {
                voters.contains(&&self.replicas[*at].node.replica)
                    && (self.replicas[*at].holds(index, term) || self.history.was_lost(*at, index, term))
            };
            if (0..NAMES.len()).filter(holds).count() < voters.len() / 2 + 1 {
                self.history.report(Violation::ConfirmedWithoutMajority(index));
            }
        }
        self.history.confirmed = self.history.confirmed.max(index);
    }

    fn send(&mut self, from: usize, to: &InstanceId, mut message: Message) {
        let node = &self.replicas[from].node;
        if node.disk.lost_writes == LostWrites::None && !is_body_durable(node, to, &message) {
            self.history.report(Violation::AnsweredBeforeDurable(node.replica.clone()));
        }
        let Some(to) = NAMES.iter().position(|name| *name == &**to) else { return };
        match &mut message.body {
            MessageBody::Vote { granted: true, .. } => self.history.record_vote(message.term, to, from),
            MessageBody::Append { entries, .. } => self.rewrite(entries),
            _ => {}
        }
        if self.options.defect == Defect::Removal
            && let MessageBody::Append { entries, .. } = &message.body
            && let Some(removed) = entries.iter().find_map(removed_replica)
        {
            self.enqueue(from, removed, message.clone());
        }
        let admitted: Vec<_> = if let Defect::Net(_) = self.options.defect {
            NAMES.iter().map(|name| self.admitted(name)).collect()
        } else {
            vec![None; NAMES.len()]
        };
        let net = self.net.clone();
        for (from, message) in net.deliveries(from, to, message, &admitted) {
            self.enqueue(from, to, message);
        }
    }

    /// Queues a message. Messages to a process that is down are lost.
    fn enqueue(&mut self, from: usize, to: usize, message: Message) {
        if self.consensus(to).is_some() && from != to && self.net.is_open(from, to) {
            let mut hasher = FastHasher::default();
            (from, to, &message).hash(&mut hasher);
            self.queue.push(Arc::new(Envelope { from, to, message, digest: hasher.finish() }));
        }
    }

    /// Injects the defect `OneChange`: a lost data folder should be replaced in two membership changes, but here the
    /// entry that removes the lost incarnation is rewritten on disks and in messages to admit the new incarnation
    /// instead.
    fn rewrite(&self, entries: &mut [Entry]) {
        if self.options.defect != Defect::OneChange {
            return;
        }
        for entry in entries {
            if let Payload::Remove(member) = &mut entry.payload
                && let Some(current) = self.replicas.iter().find(|replica| replica.node.replica == member.replica)
                && current.node.disk.incarnation > member.incarnation
            {
                entry.payload = Payload::Admit(current.node.member());
            }
        }
    }

    /// Returns the admitted incarnation of a replica according to the longest committed log.
    fn admitted(&self, name: &str) -> Option<Member> {
        let longest = self.replicas.iter().filter_map(|replica| replica.consensus()).max_by_key(|it| it.commit_index());
        longest?.members().iter().find(|member| &*member.replica == name).cloned()
    }
}

fn removed_replica(entry: &Entry) -> Option<usize> {
    match &entry.payload {
        Payload::Remove(member) => NAMES.iter().position(|name| *name == &*member.replica),
        _ => None,
    }
}
