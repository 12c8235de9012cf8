//! Records that a peer has not acknowledged.

use {
    super::{MAX_RECORDS, NameHash},
    crate::collections::FastSet,
    std::collections::{BTreeMap, BTreeSet},
};

/// Records, identified by service and server, that a peer has not acknowledged. Every message contains the whole
/// window, so an acknowledged message covers all records that were in the window when it was sent, even if earlier
/// messages were lost or reordered.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    window: BTreeMap<(NameHash, NameHash), u64>,
    backlog: BTreeSet<(NameHash, NameHash)>,
}

impl Outbox {
    /// Marks a record as changed. `next` is the sequence number of the next message.
    pub(super) fn mark(&mut self, service: NameHash, server: NameHash, next: u64) {
        let record = (service, server);
        if self.window.contains_key(&record) || self.window.len() < MAX_RECORDS {
            self.window.insert(record, next);
        } else {
            self.backlog.insert(record);
        }
    }

    /// Marks a record as changed that must be in the next message, even if the window is full.
    pub(super) fn mark_urgent(&mut self, service: NameHash, server: NameHash, next: u64) {
        self.backlog.remove(&(service, server));
        self.window.insert((service, server), next);
    }

    /// Returns whether the window can take the additional records of one received message.
    pub(super) fn has_room(&self) -> bool {
        self.window.len() <= MAX_RECORDS
    }

    /// Processes an acknowledgement and returns the records that it covers.
    pub(super) fn confirm(&mut self, ack: u64, next: u64) -> Vec<(NameHash, NameHash)> {
        let confirmed: Vec<_> =
            self.window.extract_if(.., |_, first| *first <= ack).map(|(record, _)| record).collect();
        self.refill(next);
        confirmed
    }

    /// Returns whether a record is unacknowledged.
    pub(super) fn contains(&self, service: NameHash, server: NameHash) -> bool {
        let record = (service, server);
        self.window.contains_key(&record) || self.backlog.contains(&record)
    }

    /// Removes the records of a service. `next` is the sequence number of the next message.
    pub(super) fn forget(&mut self, service: NameHash, next: u64) {
        self.window.retain(|record, _| record.0 != service);
        self.backlog.retain(|record| record.0 != service);
        self.refill(next);
    }

    /// Removes the records of all services except the given ones. `next` is the sequence number of the next message.
    pub(super) fn retain(&mut self, services: &FastSet<NameHash>, next: u64) {
        self.window.retain(|record, _| services.contains(&record.0));
        self.backlog.retain(|record| services.contains(&record.0));
        self.refill(next);
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.window.is_empty()
    }

    /// Returns whether all records of a service are in the window.
    pub(super) fn is_complete(&self, service: NameHash) -> bool {
        self.backlog.range((service, 0)..=(service, NameHash::MAX)).next().is_none()
    }

    /// Returns the records of the next message, ordered by service, each with the sequence number of the first message
    /// that carried its current value.
    pub(super) fn records(&self) -> impl Iterator<Item = (NameHash, NameHash, u64)> + '_ {
        self.window.iter().map(|((service, server), first)| (*service, *server, *first))
    }

    /// Moves records from the backlog into the window. Without this, an empty window would never request an
    /// acknowledgement, and the backlog would never be sent.
    fn refill(&mut self, next: u64) {
        while self.window.len() < MAX_RECORDS
            && let Some(record) = self.backlog.pop_first()
        {
            self.window.insert(record, next);
        }
    }
}
