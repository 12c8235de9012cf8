//! What replicas ask for, and its effect on disks, messages and rules.

use {
    super::{
        After, BrokenRule, World,
        steps::READS,
        world::{Envelope, NAMES},
    },
    crate::fakes::{Lie, Violation, is_body_durable},
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
    pub(super) fn handle(&mut self, at: usize, event: ConsensusEvent, after: After) {
        let was_pending = self.is_pending(at);
        let now = self.start + self.replicas[at].clock;
        let (mut actions, queued) = (Vec::new(), self.queue.len());
        let Some(consensus) = &mut self.replica_mut(at).node.consensus else { return };
        consensus.handle(now, event, &mut actions);
        self.carry_out(at, actions);
        (self.wrote, self.sent) = (self.is_pending(at), self.queue.len().saturating_sub(queued));
        match after {
            After::Durable if !was_pending => self.sync(at),
            After::Durable | After::Pending => {}
            After::CrashLost => self.crash(at, 0),
            After::CrashKept => self.crash(at, usize::MAX),
            After::CrashSending(count) => {
                self.queue.truncate(queued + count);
                self.crash(at, usize::MAX);
            }
        }
    }

    /// Makes all writes durable, also those that follow from it.
    pub(super) fn sync(&mut self, at: usize) {
        while let Some(up_to) = self.replicas[at].node.disk.pending() {
            let now = self.start + self.replicas[at].clock;
            let replica = self.replica_mut(at);
            replica.node.disk.sync(up_to);
            let Some(consensus) = &mut replica.node.consensus else { return };
            let mut actions = Vec::new();
            consensus.handle(now, ConsensusEvent::Persisted { up_to }, &mut actions);
            self.carry_out(at, actions);
        }
    }

    pub(super) fn carry_out(&mut self, at: usize, actions: Vec<ConsensusAction>) {
        for action in &actions {
            if let Some((sequence, mut write)) = Write::from_action(action) {
                if let Write::Append(entries) = &mut write {
                    self.rewrite(entries);
                }
                self.replica_mut(at).node.disk.write(sequence, write);
            }
        }
        self.history.committed(Arc::make_mut(&mut self.replicas[at]));
        let is_stopped = actions.contains(&ConsensusAction::Stopped);
        for action in actions {
            self.carry_out_one(at, action);
        }
        if is_stopped {
            self.crash(at, 0);
        }
    }

    fn carry_out_one(&mut self, at: usize, action: ConsensusAction) {
        match action {
            ConsensusAction::Send { to, message } => self.send(at, &to, message),
            ConsensusAction::Apply { index, command } => {
                let is_forgetful = self.options.broken == BrokenRule::Number;
                let replica = self.replica_mut(at);
                if is_forgetful {
                    replica.ledger = Ledger::default();
                }
                let outcome = replica.ledger.apply_bytes(index, &command);
                if let (Ok(Command::Submit { number, .. }), LedgerOutcome::Submit(SubmitOutcome::Accepted { digest })) =
                    (Command::decode(&command), outcome)
                {
                    self.history.accepted(number, digest);
                }
            }
            ConsensusAction::RestoreSnapshot { snapshot } => {
                let ledger = Ledger::restore(&snapshot.data).unwrap_or_default();
                if let Some(digest) = ledger.change_digest(ledger.change_number()) {
                    self.history.accepted(ledger.change_number(), digest);
                }
                self.replica_mut(at).ledger = ledger;
            }
            ConsensusAction::TakeSnapshot { index } => {
                let data = self.replicas[at].ledger.snapshot().unwrap_or_default().into();
                self.handle(at, ConsensusEvent::SnapshotTaken { index, data }, After::Pending);
            }
            ConsensusAction::Answer { id, result: ProposalResult::Committed { index } } if id > READS => {
                let applied = self.replicas[at].ledger.last_applied();
                self.history.read(id, index.min(applied.max(self.replicas[at].checked)));
            }
            ConsensusAction::Answer { result: ProposalResult::Committed { index }, .. } => self.confirmed(at, index),
            ConsensusAction::BecomeLeader { term } => self.history.led(at, &self.replicas[at], term),
            ConsensusAction::InvariantViolated(what) => self.history.report(Violation::Broken(what)),
            _ => {}
        }
    }

    /// A change was acknowledged by a leader. It must be durable on a majority of the voters; a folder that was lost
    /// may have held it.
    fn confirmed(&mut self, at: usize, index: LogIndex) {
        let replica = &self.replicas[at];
        if let (Some(consensus), Some(term)) = (replica.consensus(), replica.entry(index).map(|entry| entry.term)) {
            let voters: Vec<_> = consensus.voters().collect();
            let holds = |at: &usize| {
                voters.contains(&&self.replicas[*at].node.replica)
                    && (self.replicas[*at].holds(index, term) || self.history.held(*at, index, term))
            };
            if (0..NAMES.len()).filter(holds).count() < voters.len() / 2 + 1 {
                self.history.report(Violation::ConfirmedWithoutMajority(index));
            }
        }
        self.history.confirmed = self.history.confirmed.max(index);
    }

    fn send(&mut self, from: usize, to: &InstanceId, mut message: Message) {
        let node = &self.replicas[from].node;
        if node.disk.lie == Lie::None && !is_body_durable(node, to, &message) {
            self.history.report(Violation::PromisedBeforeDurable(node.replica.clone()));
        }
        let Some(to) = NAMES.iter().position(|name| *name == &**to) else { return };
        match &mut message.body {
            MessageBody::Vote { granted: true, .. } => self.history.voted(message.term, to, from),
            MessageBody::Append { entries, .. } => self.rewrite(entries),
            _ => {}
        }
        if self.options.broken == BrokenRule::Removal
            && let MessageBody::Append { entries, .. } = &message.body
            && let Some(removed) = entries.iter().find_map(removed)
        {
            self.enqueue(from, removed, message.clone());
        }
        let admitted: Vec<_> = if let BrokenRule::Net(_) = self.options.broken {
            NAMES.iter().map(|name| self.admitted(name)).collect()
        } else {
            vec![None; NAMES.len()]
        };
        let net = self.net.clone();
        for (from, message) in net.carry(from, to, message, &admitted) {
            self.enqueue(from, to, message);
        }
    }

    /// Messages to a process that is down are lost.
    fn enqueue(&mut self, from: usize, to: usize, message: Message) {
        if self.consensus(to).is_some() && from != to && self.net.is_open(from, to) {
            let mut hasher = FastHasher::default();
            (from, to, &message).hash(&mut hasher);
            self.queue.push(Arc::new(Envelope { from, to, message, digest: hasher.finish() }));
        }
    }

    /// Breaks the rule that a lost folder is replaced in two changes: the entry that removes the lost incarnation
    /// reaches disks and other replicas as one that puts the new incarnation in its place.
    fn rewrite(&self, entries: &mut [Entry]) {
        if self.options.broken != BrokenRule::OneChange {
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

    /// The incarnation that is admitted as of the longest committed log.
    fn admitted(&self, name: &str) -> Option<Member> {
        let longest = self.replicas.iter().filter_map(|replica| replica.consensus()).max_by_key(|it| it.commit_index());
        longest?.members().iter().find(|member| &*member.replica == name).cloned()
    }
}

fn removed(entry: &Entry) -> Option<usize> {
    match &entry.payload {
        Payload::Remove(member) => NAMES.iter().position(|name| *name == &*member.replica),
        _ => None,
    }
}
