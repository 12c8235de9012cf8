//! Records that a peer has not yet acknowledged.

use {
    super::{MAX_RECORDS, NameHash},
    crate::collections::FastSet,
    std::collections::{BTreeMap, BTreeSet},
};

/// Records, by service and server, that a peer has not yet acknowledged. Every message repeats the whole
/// window, so an acknowledged message covers every record that was in the window when it was sent, however
/// many messages before it were lost or overtaken.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    window: BTreeMap<(NameHash, NameHash), u64>,
    backlog: BTreeSet<(NameHash, NameHash)>,
}

impl Outbox {
    /// Notes that a record has changed; `next` is the number of the next message.
    pub(super) fn mark(&mut self, service: NameHash, server: NameHash, next: u64) {
        let record = (service, server);
        if self.window.contains_key(&record) || self.window.len() < MAX_RECORDS {
            self.window.insert(record, next);
        } else {
            self.backlog.insert(record);
        }
    }

    /// Notes that a record has changed that has to be in the very next message, beyond the usual number.
    pub(super) fn mark_urgent(&mut self, service: NameHash, server: NameHash, next: u64) {
        self.backlog.remove(&(service, server));
        self.window.insert((service, server), next);
    }

    /// Returns whether the next message can take as many further records as one message brings.
    pub(super) fn has_room(&self) -> bool {
        self.window.len() <= MAX_RECORDS
    }

    /// Takes an acknowledgement and returns the records that it covers.
    pub(super) fn confirm(&mut self, ack: u64, next: u64) -> Vec<(NameHash, NameHash)> {
        let confirmed: Vec<_> =
            self.window.extract_if(.., |_, first| *first <= ack).map(|(record, _)| record).collect();
        self.refill(next);
        confirmed
    }

    /// Returns whether a record is not yet acknowledged.
    pub(super) fn contains(&self, service: NameHash, server: NameHash) -> bool {
        let record = (service, server);
        self.window.contains_key(&record) || self.backlog.contains(&record)
    }

    /// Forgets the records of a service; `next` is the number of the next message.
    pub(super) fn forget(&mut self, service: NameHash, next: u64) {
        self.window.retain(|record, _| record.0 != service);
        self.backlog.retain(|record| record.0 != service);
        self.refill(next);
    }

    /// Forgets every service but those given; `next` is the number of the next message.
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

    /// Returns whether every record of a service is in the window.
    pub(super) fn is_complete(&self, service: NameHash) -> bool {
        self.backlog.range((service, 0)..=(service, NameHash::MAX)).next().is_none()
    }

    /// Returns the records that the next message carries, ordered by service, each with the number of the
    /// first message that carried its present value.
    pub(super) fn records(&self) -> impl Iterator<Item = (NameHash, NameHash, u64)> + '_ {
        self.window.iter().map(|((service, server), first)| (*service, *server, *first))
    }

    /// Moves records into the window. An empty window beside a backlog would never ask for an
    /// acknowledgement, without which nothing moves.
    fn refill(&mut self, next: u64) {
        while self.window.len() < MAX_RECORDS
            && let Some(record) = self.backlog.pop_first()
        {
            self.window.insert(record, next);
        }
    }
}
