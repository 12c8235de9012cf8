//! Options of a dispatcher.

use crate::ids::{DataCentreId, Incarnation, InstanceId};

/// Options of a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOptions {
    /// Identifier of this instance.
    pub id: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Number of entries in the settings, the roster.
    pub roster: usize,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Calls of all services that may wait at this entry. Calls to services on which no other service depends
    /// are rejected from half of this limit on.
    pub waiting_limit: usize,
}

impl Default for DispatchOptions {
    fn default() -> Self {
        // A waiting call takes about 1 KB with its connection, so this limit takes about 10 of the 32 MB of a
        // node.
        Self { id: "".into(), incarnation: 0, roster: 1, data_centre: "".into(), waiting_limit: 10_000 }
    }
}
