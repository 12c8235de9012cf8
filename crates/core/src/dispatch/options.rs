//! Settings of a dispatcher.

use crate::ids::{DataCentreId, Incarnation, InstanceId};

/// Settings of a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOptions {
    /// Name of this instance.
    pub id: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Number of entries that the settings name.
    pub roster: usize,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Calls that may wait at this entry over all services. Services that no other depends on are shed at
    /// half of it.
    pub waiting_limit: usize,
}

impl Default for DispatchOptions {
    fn default() -> Self {
        // A waiting call takes about 1 KB with its connection, so the limit is some 10 of the 32 MB of a node.
        Self { id: "".into(), incarnation: 0, roster: 1, data_centre: "".into(), waiting_limit: 10_000 }
    }
}
