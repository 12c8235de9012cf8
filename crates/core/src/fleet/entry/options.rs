//! Options of an entry's link.

use {
    crate::{
        health::HealthOptions,
        ids::{DataCentreId, Incarnation, InstanceId},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Options of an [`EntryLink`](super::EntryLink).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryOptions {
    /// Id of this entry.
    pub id: InstanceId,
    /// Incarnation of this process, which increases with every start.
    pub incarnation: Incarnation,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Replicas named in the settings.
    pub seeds: Vec<InstanceId>,
    /// Address at which this entry takes calls from other entries, if it does.
    pub relay: Option<SocketAddr>,
    /// Interval between polls.
    pub poll_interval: Duration,
    /// Time without an answer from a current replica after which another replica is searched for.
    pub switch_after: Duration,
    /// Slow start period of the health monitor. `ready_since` is set so that it ends together with the warm-up.
    pub slow_start: Duration,
}

impl Default for EntryOptions {
    fn default() -> Self {
        Self {
            id: InstanceId::default(),
            incarnation: 1,
            data_centre: DataCentreId::default(),
            seeds: Vec::new(),
            relay: None,
            poll_interval: Duration::from_millis(250),
            switch_after: Duration::from_millis(600),
            slow_start: HealthOptions::default().slow_start,
        }
    }
}
