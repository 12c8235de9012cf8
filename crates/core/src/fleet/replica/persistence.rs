//! The directory on disk, from which entries get servers before these announce themselves again.

use {
    super::{Replica, ReplicaAction},
    crate::fleet::FleetLogEvent,
    std::time::{Duration, Instant},
};

/// Least time between two saves, so that many servers that join one by one cost few writes.
const MIN_SAVE_INTERVAL: Duration = Duration::from_secs(1);

impl Replica {
    /// Takes the records that an earlier run saved as heard now. What left meanwhile is removed by its departure in
    /// the log, by the directory of a replica that kept running, or by its silence.
    pub(super) fn restore_directory(&mut self, now: Instant, saved: &[u8], out: &mut Vec<ReplicaAction>) {
        let ledger = &self.ledger;
        let count = self.directory.restore(now, saved, &self.options.id, |server| ledger.departed_incarnation(server));
        if count > 0 {
            out.push(ReplicaAction::Log(FleetLogEvent::DirectoryRestored(count)));
        }
        self.saved_revision = self.directory.revision();
    }

    /// Saves the directory if what entries use of it has changed.
    pub(super) fn save_directory(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let revision = self.directory.revision();
        if revision == self.saved_revision || now < self.next_save_at {
            return;
        }
        (self.saved_revision, self.next_save_at) = (revision, now + MIN_SAVE_INTERVAL);
        out.extend(self.directory.save(now).map(ReplicaAction::SaveDirectory));
    }
}
