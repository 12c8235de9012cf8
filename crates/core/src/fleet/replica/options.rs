//! Settings of a replica in a fleet.

use {
    crate::{
        consensus::ConsensusOptions,
        ids::{DataCentreId, Incarnation, InstanceId},
    },
    std::time::Duration,
};

/// Settings of a replica in a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaOptions {
    /// This replica.
    pub id: InstanceId,
    /// Incarnation of this process; it rises with every start.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Replicas that are known from the settings; the founders of a first formation.
    pub seeds: Vec<InstanceId>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Voters that the group aims at.
    pub voters: usize,
    /// Timing and limits of the replicated log; names, founders and voters are filled in.
    pub consensus: ConsensusOptions,
    /// Time after which a request gets no clear answer any more.
    pub request_timeout: Duration,
    /// Silence after which a server is removed.
    pub server_timeout: Duration,
    /// The directory that an earlier run saved; empty for none.
    pub directory: Vec<u8>,
}

impl Default for ReplicaOptions {
    fn default() -> Self {
        Self {
            id: InstanceId::default(),
            incarnation: 1,
            data_centre: DataCentreId::default(),
            seeds: Vec::new(),
            first_start: false,
            voters: 3,
            // A follower misses three heartbeats before it stands for election.
            consensus: ConsensusOptions {
                heartbeat_interval: Duration::from_millis(100),
                min_election_timeout: Duration::from_millis(350),
                max_election_timeout: Duration::from_millis(700),
                ..ConsensusOptions::default()
            },
            request_timeout: Duration::from_millis(3_500),
            server_timeout: Duration::from_secs(6),
            directory: Vec::new(),
        }
    }
}
