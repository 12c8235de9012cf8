//! Saves and restores the directory, so that entries get servers after a restart before these announce themselves
//! again.

use {
    super::{Replica, ReplicaAction},
    crate::fleet::FleetLogEvent,
    std::time::{Duration, Instant},
};

/// Minimum time between two saves, so that many servers that join one after another cause few writes.
const MIN_SAVE_INTERVAL: Duration = Duration::from_secs(1);

impl Replica {
    /// Restores the records saved by an earlier run as if they had just been received. Servers that have left since
    /// then are removed by their departure in the log, by the directory of a replica that kept running, or by a
    /// timeout.
    pub(super) fn restore_directory(&mut self, now: Instant, saved: &[u8], out: &mut Vec<ReplicaAction>) {
        let ledger = &self.ledger;
        let count = self.directory.restore(now, saved, &self.options.id, |server| ledger.departed_incarnation(server));
        if count > 0 {
            out.push(ReplicaAction::Log(FleetLogEvent::DirectoryRestored(count)));
        }
        self.saved_revision = self.directory.revision();
    }

    /// Saves the directory if it has changed in a way that affects entries.
    pub(super) fn save_directory(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let revision = self.directory.revision();
        if revision == self.saved_revision || now < self.next_save_at {
            return;
        }
        (self.saved_revision, self.next_save_at) = (revision, now + MIN_SAVE_INTERVAL);
        out.extend(self.directory.save(now).map(ReplicaAction::SaveDirectory));
    }
}
