//! Transfer of snapshots, in pieces, to replicas that lag too far behind.

use {
    super::{
        Consensus, ConsensusAction, MAX_PAYLOAD_BYTES, Members, Message, MessageBody, Role, Snapshot, SnapshotTransfer,
        WriteEffect,
    },
    crate::ids::{Incarnation, InstanceId, LogIndex, Term},
    derive_more::Debug,
    std::sync::Arc,
};

/// A partially received snapshot.
#[derive(Clone, Debug, Hash)]
pub(super) struct IncomingSnapshot {
    pub index: LogIndex,
    pub term: Term,
    pub members: Members,
    pub total: u64,
    #[debug("{} bytes", data.len())]
    pub data: Vec<u8>,
}

impl IncomingSnapshot {
    fn is_same(&self, other: &Self) -> bool {
        (self.index, self.term, self.total) == (other.index, other.term, other.total)
    }
}

impl Consensus {
    /// Starts a snapshot transfer to a replica whose next entry is available only in a snapshot, or resends the last
    /// piece if none was acknowledged since the last heartbeat. Returns whether a transfer is in progress.
    pub(super) fn try_send_snapshot(&mut self, to: &InstanceId, actions: &mut Vec<ConsensusAction>) -> bool {
        let Role::Leader(leader) = &mut self.role else { return false };
        let Some(progress) = leader.progress.get_mut(to) else { return false };
        if let Some(transfer) = &mut progress.snapshot_transfer {
            if transfer.has_progressed {
                transfer.has_progressed = false;
                return true;
            }
        } else {
            let is_held = self.log.term(progress.next_index - 1).is_some();
            let Some(snapshot) = self.log.snapshot.clone().filter(|_| !is_held) else { return false };
            progress.snapshot_transfer = Some(SnapshotTransfer { snapshot, offset: 0, has_progressed: true });
        }
        self.send_snapshot_piece(to, actions);
        true
    }

    fn send_snapshot_piece(&self, to: &InstanceId, actions: &mut Vec<ConsensusAction>) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(SnapshotTransfer { snapshot, offset, .. }) =
            leader.progress.get(to).and_then(|progress| progress.snapshot_transfer.as_ref())
        else {
            return;
        };
        let start = usize::try_from(*offset).unwrap_or(usize::MAX).min(snapshot.data.len());
        let end = (start + MAX_PAYLOAD_BYTES).min(snapshot.data.len());
        let body = MessageBody::SnapshotPiece {
            round: leader.round,
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members.clone(),
            total: snapshot.data.len() as u64,
            offset: start as u64,
            piece: snapshot.data[start..end].into(),
        };
        let message: Message = self.message(body);
        actions.push(ConsensusAction::Send { to: to.clone(), message });
    }

    pub(super) fn snapshot_piece_received(
        &mut self,
        from: InstanceId,
        round: u64,
        head: IncomingSnapshot,
        offset: u64,
        piece: &[u8],
        actions: &mut Vec<ConsensusAction>,
    ) {
        let index = head.index;
        if index <= self.commit {
            return self.send_when_durable(from, MessageBody::Appended { round, index, conflict: false }, actions);
        }
        let mut incoming = match self.incoming_snapshot.take() {
            Some(incoming) if incoming.is_same(&head) => incoming,
            _ => head,
        };
        let received = incoming.data.len() as u64;
        if offset == received && received + piece.len() as u64 <= incoming.total {
            incoming.data.extend_from_slice(piece);
        }
        let offset = incoming.data.len() as u64;
        if offset < incoming.total {
            self.incoming_snapshot = Some(incoming);
            return self.send(from, MessageBody::SnapshotReceived { round, index, offset }, actions);
        }
        self.install(incoming, actions);
        self.send_when_durable(from, MessageBody::Appended { round, index, conflict: false }, actions);
    }

    fn install(&mut self, incoming: IncomingSnapshot, actions: &mut Vec<ConsensusAction>) {
        let IncomingSnapshot { index, term, members, data, .. } = incoming;
        if self.log.term(index) == Some(term) {
            // The log contains the same entries, so they only need to be applied.
            self.commit = index;
            return self.apply(actions);
        }
        let snapshot = Arc::new(Snapshot { index, term, members, data: data.into() });
        self.log.reset(snapshot.clone());
        self.commit = index;
        self.applied = index;
        self.applied_bytes = 0;
        self.writes.truncate_after(0);
        let sequence = self.writes.issue(WriteEffect::Log(index));
        actions.push(ConsensusAction::RestoreSnapshot { snapshot: snapshot.clone() });
        actions.push(ConsensusAction::SaveSnapshot { sequence, snapshot });
        if self.log.members.incarnation(&self.options.replica) == Some(self.incarnation) {
            self.save_admission(actions);
        }
    }

    /// Handles the acknowledgement of a piece and sends the next one.
    pub(super) fn snapshot_piece_acknowledged(
        &mut self,
        from: &InstanceId,
        sender: (Incarnation, bool),
        round: u64,
        index: LogIndex,
        offset: u64,
        actions: &mut Vec<ConsensusAction>,
    ) {
        let Some(progress) = self.observe(from, sender, round) else { return };
        if let Some(transfer) = &mut progress.snapshot_transfer
            && transfer.snapshot.index == index
            && transfer.offset != offset
        {
            transfer.offset = offset;
            transfer.has_progressed = true;
            self.send_snapshot_piece(from, actions);
        }
        self.confirm_rounds();
    }
}
