//! Requests that this replica answers as the leader.

use crate::{
    collections::{FastMap, FastSet},
    ids::{ChangeNumber, Incarnation, InstanceId},
    ledger::ContentDigest,
};

/// The sender of a request with the number that it gave.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Origin {
    pub(super) from: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
}

/// What is answered once consensus has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Operation {
    /// A change is proposed.
    Submit,
    /// A change is looked up that is not above the current one.
    LookUp(ChangeNumber, ContentDigest),
    /// A departure is proposed.
    Depart,
    /// The newest change is read.
    Read,
}

/// Requests that this replica answers as the leader.
#[derive(Debug, Default)]
pub(super) struct Operations {
    next: u64,
    operations: FastMap<u64, (Origin, Operation)>,
    origins: FastSet<Origin>,
}

impl Operations {
    /// Whether a request waits for its answer, so that a repetition adds nothing.
    pub(super) fn contains(&self, origin: &Origin) -> bool {
        self.origins.contains(origin)
    }

    /// Adds a request; returns the number that consensus gives back.
    pub(super) fn add(&mut self, origin: Origin, operation: Operation) -> u64 {
        self.next += 1;
        self.origins.insert(origin.clone());
        self.operations.insert(self.next, (origin, operation));
        self.next
    }

    pub(super) fn take(&mut self, id: u64) -> Option<(Origin, Operation)> {
        let (origin, operation) = self.operations.remove(&id)?;
        self.origins.remove(&origin);
        Some((origin, operation))
    }

    /// Forgets all when leadership is lost; the senders repeat their requests to the next leader.
    pub(super) fn clear(&mut self) {
        self.operations.clear();
        self.origins.clear();
    }
}
