//! Exchange of suspected requests with entries and other replicas.

use {
    super::{Replica, ReplicaAction},
    crate::{
        fleet::{FleetMessage, Suspects},
        ids::InstanceId,
    },
    std::time::Instant,
};

impl Replica {
    /// Sends an instance all suspected requests that this replica knows if it knows others.
    pub(super) fn compare_suspects(&mut self, now: Instant, to: InstanceId, digest: u64, out: &mut Vec<ReplicaAction>) {
        self.suspects.remove_expired(now);
        let own = self.suspects.digest();
        if digest != own {
            let suspects = Suspects { digest: Some(own), records: self.suspects.records(now) };
            out.push(ReplicaAction::Send { to, message: FleetMessage::Suspects(suspects) });
        }
    }

    /// Merges what another instance knows, and passes the news on to the entries and the other replicas. No majority
    /// is needed, as all instances arrive at the same records in any order.
    pub(super) fn handle_suspects(
        &mut self,
        now: Instant,
        from: &InstanceId,
        suspects: Suspects,
        out: &mut Vec<ReplicaAction>,
    ) {
        let mut news = suspects.records;
        news.retain(|record| self.suspects.merge(now, record));
        if !news.is_empty() {
            let message = FleetMessage::Suspects(Suspects { digest: None, records: news });
            let entries = self.subscribers.names().cloned();
            let others = entries.chain(self.peers.names().cloned()).filter(|name| name != from);
            out.extend(others.map(|to| ReplicaAction::Send { to, message: message.clone() }));
        }
    }
}
