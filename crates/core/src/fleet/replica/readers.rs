//! What is read from consensus that it does not yet offer itself.

use {
    crate::{
        consensus::{Consensus, ConsensusEvent, Message, MessageBody},
        ids::InstanceId,
        ledger::Command,
    },
    std::time::{Duration, Instant},
};

/// Silence of the leader after which a follower is not current: five heartbeats. It exceeds the shortest election
/// timeout, so a follower that is cut off may count as current for 150 ms beside a new leader. The entries learn of a
/// departure within 2 s all the same: they turn away from the replica 600 ms after its last current answer.
const CURRENT_FOR: Duration = Duration::from_millis(500);

/// What is read from consensus.
#[derive(Clone, Debug, Default)]
pub(super) struct Readers {
    heard_leader: Option<Instant>,
}

impl Readers {
    /// Takes note of a message that consensus has received.
    pub(super) fn received(&mut self, now: Instant, from: &InstanceId, is_from_leader: bool, consensus: &Consensus) {
        if is_from_leader && consensus.leader() == Some(from) {
            self.heard_leader = Some(now);
        }
    }

    /// Whether this replica leads and knows what is committed, or heard the leader a short time ago.
    pub(super) fn is_current(&self, now: Instant, consensus: &Consensus) -> bool {
        let is_heard = |heard: Instant| now.saturating_duration_since(heard) < CURRENT_FOR;
        if consensus.is_leader() {
            return consensus.has_committed_in_term();
        }
        consensus.leader().is_some() && self.heard_leader.is_some_and(is_heard)
    }
}

/// Whether a message shows that its sender leads.
pub(super) fn is_from_leader(message: &Message) -> bool {
    matches!(message.body, MessageBody::Append { .. } | MessageBody::SnapshotPiece { .. })
}

/// The event that asks for the state as of the last commit. A command that changes nothing stands in for the
/// read index.
pub(super) fn read(id: u64) -> Option<ConsensusEvent> {
    let command = Command::Noop { at: 0 }.encode().ok()?;
    Some(ConsensusEvent::Propose { id, command: command.into() })
}

/// The replicas that the log names.
pub(super) fn replicas(consensus: &Consensus) -> Vec<InstanceId> {
    consensus.members().iter().map(|member| member.replica.clone()).collect()
}
