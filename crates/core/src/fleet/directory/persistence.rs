//! Encoding of the directory as a file in the data folder.

use {
    super::{AnnouncementOutcome, Directory},
    crate::{
        collections::FastSet,
        fleet::{ReceivedRecord, ServerRecord},
        ids::{InstanceId, ServerId},
    },
    std::time::Instant,
};

/// Version of the file format.
const FORMAT_VERSION: u8 = 1;
/// Maximum size of a saved directory. The fixed fields of a record are estimated at 64 bytes but can take up to 90, so
/// this is larger than the maximum directory size.
const MAX_SAVED_BYTES: usize = 1024 * 1024;

impl Directory {
    /// Encodes the records of servers that have not departed.
    pub(in crate::fleet) fn save(&self, now: Instant) -> Option<Vec<u8>> {
        let records = self.records.values().filter(|stored| !stored.is_departed).map(|stored| ReceivedRecord {
            record: ServerRecord { warm_up: stored.warm_until.saturating_duration_since(now), ..stored.record.clone() },
            content_sequence: stored.content_sequence,
            received_by: InstanceId::default(),
            age_ms: 0,
        });
        let bytes = postcard::to_allocvec(&(FORMAT_VERSION, records.collect::<Vec<_>>())).ok()?;
        (bytes.len() <= MAX_SAVED_BYTES).then_some(bytes)
    }

    /// Restores saved records as if this replica had just received them; returns their number. Data that cannot be
    /// decoded is ignored.
    pub(in crate::fleet) fn restore(
        &mut self,
        now: Instant,
        saved: &[u8],
        own: &InstanceId,
        departed: impl Fn(&ServerId) -> Option<u64>,
    ) -> usize {
        if saved.len() > MAX_SAVED_BYTES {
            return 0;
        }
        let Ok((FORMAT_VERSION, records)) = postcard::from_bytes::<(u8, Vec<ReceivedRecord>)>(saved) else { return 0 };
        let mut count = 0;
        for ReceivedRecord { record, content_sequence, .. } in
            records.into_iter().filter(|received| received.record.is_valid())
        {
            let server = record.server.clone();
            let departed = departed(&server);
            let outcome = self.apply_announcement(
                now,
                record,
                Some(content_sequence),
                (own.clone(), now),
                departed,
                &mut Vec::new(),
            );
            if outcome == AnnouncementOutcome::Changed
                && let Some(stored) = self.records.get_mut(&server)
            {
                stored.is_restored = true;
                count += 1;
            }
        }
        count
    }

    /// Removes restored records that a complete directory of another replica lacks, because the replicas that kept
    /// running have removed them.
    pub(in crate::fleet) fn confirm_restored(&mut self, now: Instant, named: &FastSet<ServerId>) {
        let mut missing = Vec::new();
        for (server, stored) in &mut self.records {
            if std::mem::take(&mut stored.is_restored) && !named.contains(server) {
                missing.push(server.clone());
            }
        }
        for server in missing {
            self.remove(now, &server);
        }
    }
}
