//! Requests that this replica processes as the leader.

use crate::{
    collections::{FastMap, FastSet},
    ids::{ChangeNumber, DataCentreId, Incarnation, InstanceId},
    ledger::ContentDigest,
};

/// Identifies a request by its sender and the number that the sender assigned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Origin {
    pub(super) from: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
}

/// Operation that a request waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Operation {
    /// Propose a change.
    Submit,
    /// Look up a change whose number is not above the current one.
    LookUp(ChangeNumber, ContentDigest),
    /// Propose a departure.
    Depart,
    /// Read the newest change.
    Read,
    /// Propose an order for a data centre.
    Evacuate(DataCentreId),
    /// Look up whether a data centre is in the ordered state.
    LookUpEvacuation(DataCentreId, bool),
}

/// Requests that this replica processes as the leader.
#[derive(Debug, Default)]
pub(super) struct Operations {
    next: u64,
    operations: FastMap<u64, (Origin, Operation)>,
    origins: FastSet<Origin>,
}

impl Operations {
    /// Returns whether a request is already being processed, so that a repetition can be ignored.
    pub(super) fn contains(&self, origin: &Origin) -> bool {
        self.origins.contains(origin)
    }

    /// Adds a request; returns the id under which consensus reports the result.
    pub(super) fn add(&mut self, origin: Origin, operation: Operation) -> u64 {
        self.next += 1;
        self.origins.insert(origin.clone());
        self.operations.insert(self.next, (origin, operation));
        self.next
    }

    /// Returns whether an order for a data centre is proposed and its outcome not yet known.
    pub(super) fn is_ordered(&self, data_centre: &str) -> bool {
        let mut operations = self.operations.values();
        operations.any(|(_, operation)| matches!(operation, Operation::Evacuate(other) if **other == *data_centre))
    }

    pub(super) fn take(&mut self, id: u64) -> Option<(Origin, Operation)> {
        let (origin, operation) = self.operations.remove(&id)?;
        self.origins.remove(&origin);
        Some((origin, operation))
    }

    /// Drops all requests when leadership is lost; the senders repeat them to the next leader.
    pub(super) fn clear(&mut self) {
        self.operations.clear();
        self.origins.clear();
    }
}
