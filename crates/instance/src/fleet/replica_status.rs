//! State of a replica that its admin listener names.

use hemlockford_core::{
    fleet::Replica,
    ids::{ChangeNumber, DataCentreId},
};

/// State of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ReplicaStatus {
    pub(super) is_leading: bool,
    pub(super) is_current: bool,
    /// Number of the newest change that it has applied.
    pub(super) change: ChangeNumber,
    /// Data centres that it knows to be evacuated.
    pub(super) evacuated: Vec<DataCentreId>,
}

impl ReplicaStatus {
    pub(super) fn of(replica: &Replica) -> Self {
        Self {
            is_leading: replica.is_leader(),
            is_current: replica.is_current(),
            change: replica.ledger().change_number(),
            evacuated: replica.ledger().evacuated().cloned().collect(),
        }
    }
}
