//! A server record stored in the directory.

use {
    super::WARM_UP_TOLERANCE,
    crate::{
        fleet::{ReceivedRecord, Renewal, ServerRecord, UsableServer},
        ids::InstanceId,
    },
    std::time::{Duration, Instant},
};

/// Estimated size of a record in bytes, not counting its names.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// A server record stored in the directory.
#[derive(Clone, Debug)]
pub(super) struct StoredRecord {
    pub(super) record: ServerRecord,
    /// Sequence number of the announcement that last changed the record.
    pub(super) content_sequence: u64,
    pub(super) received_at: Instant,
    /// Replica that received the announcement from the server.
    pub(super) received_by: InstanceId,
    pub(super) warm_until: Instant,
    pub(super) is_departed: bool,
    /// Whether its data centre is evacuated.
    pub(super) is_evacuated: bool,
    /// Whether the record comes from the saved directory of an earlier run and has not been confirmed since.
    pub(super) is_restored: bool,
    /// Whether the configuration has named its service since this incarnation announced itself.
    pub(super) was_configured: bool,
}

impl StoredRecord {
    pub(super) fn is_usable(&self) -> bool {
        !self.is_departed && !self.is_evacuated && !self.record.is_draining
    }

    /// Returns whether a record is of the same incarnation and service, which the configuration has named.
    pub(super) fn vouches_for(&self, record: &ServerRecord) -> bool {
        self.was_configured && self.record.incarnation == record.incarnation && self.record.service == record.service
    }

    pub(super) fn is_received_within(&self, now: Instant, time: Duration) -> bool {
        now.saturating_duration_since(self.received_at) < time
    }

    /// Returns whether both records have the same incarnation and content; sequence numbers may differ.
    pub(super) fn has_same_content(&self, other: &Self, now: Instant) -> bool {
        let (a, b) = (&self.record, &other.record);
        a.incarnation == b.incarnation
            && a.version == b.version
            && a.is_draining == b.is_draining
            && a.service == b.service
            && a.address == b.address
            && a.data_centre == b.data_centre
            && a.slots == b.slots
            && is_within_tolerance(self.warm_until, other.warm_until, now)
    }

    /// Returns whether entries use both records in the same way.
    pub(super) fn is_equivalent_for_entries(&self, other: &Self, now: Instant) -> bool {
        let (a, b) = (&self.record, &other.record);
        match (self.is_usable(), other.is_usable()) {
            (false, false) => true,
            (true, true) => {
                a.incarnation == b.incarnation
                    && a.service == b.service
                    && a.address == b.address
                    && a.data_centre == b.data_centre
                    && a.slots == b.slots
                    && is_within_tolerance(self.warm_until, other.warm_until, now)
            }
            _ => false,
        }
    }

    pub(super) fn to_usable(&self, now: Instant) -> UsableServer {
        UsableServer {
            server: self.record.server.clone(),
            service: self.record.service.clone(),
            address: self.record.address,
            data_centre: self.record.data_centre.clone(),
            slots: self.record.slots,
            incarnation: self.record.incarnation,
            warm_up_ms: millis(self.warm_until.saturating_duration_since(now)),
        }
    }

    pub(super) fn to_received(&self, now: Instant) -> ReceivedRecord {
        let warm_up = self.warm_until.saturating_duration_since(self.received_at);
        ReceivedRecord {
            record: ServerRecord { warm_up, ..self.record.clone() },
            content_sequence: self.content_sequence,
            received_by: self.received_by.clone(),
            age_ms: millis(now.saturating_duration_since(self.received_at)),
        }
    }

    pub(super) fn to_renewal(&self, now: Instant) -> Renewal {
        Renewal {
            server: self.record.server.clone(),
            incarnation: self.record.incarnation,
            sequence: self.record.sequence,
            content_sequence: self.content_sequence,
            age_ms: millis(now.saturating_duration_since(self.received_at)),
        }
    }

    pub(super) fn size(&self) -> usize {
        let record = &self.record;
        RECORD_OVERHEAD_BYTES
            + record.server.len()
            + record.service.len()
            + record.data_centre.len()
            + record.version.len()
            + self.received_by.len()
    }
}

fn is_within_tolerance(a: Instant, b: Instant, now: Instant) -> bool {
    let (a, b) = (a.max(now), b.max(now));
    a.max(b) - a.min(b) <= WARM_UP_TOLERANCE
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
