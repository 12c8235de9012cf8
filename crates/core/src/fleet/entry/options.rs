//! Settings of the link of an entry.

use {
    crate::{
        health::HealthOptions,
        ids::{DataCentreId, Incarnation, InstanceId},
    },
    std::time::Duration,
};

/// Settings of the link of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryOptions {
    /// This entry.
    pub id: InstanceId,
    /// Incarnation of this process; it rises with every start.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Replicas that are known from the settings.
    pub seeds: Vec<InstanceId>,
    /// Time between polls.
    pub poll_interval: Duration,
    /// Time after the last current answer at which another replica is asked.
    pub switch_after: Duration,
    /// Slow start of the health estimate, by which `ready_since` expresses the remaining warm-up.
    pub slow_start: Duration,
}

impl Default for EntryOptions {
    fn default() -> Self {
        Self {
            id: InstanceId::default(),
            incarnation: 1,
            data_centre: DataCentreId::default(),
            seeds: Vec::new(),
            poll_interval: Duration::from_millis(250),
            switch_after: Duration::from_millis(600),
            slow_start: HealthOptions::default().slow_start,
        }
    }
}
