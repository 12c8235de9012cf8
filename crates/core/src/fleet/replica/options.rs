//! Options of a replica in a fleet.

use {
    crate::{
        consensus::ConsensusOptions,
        ids::{DataCentreId, Incarnation, InstanceId},
        quota::QuotaTolerance,
    },
    std::time::Duration,
};

/// Options of a [`Replica`](super::Replica).
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaOptions {
    /// Id of this replica.
    pub id: InstanceId,
    /// Incarnation of this process, which increases with every start.
    pub incarnation: Incarnation,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Replicas named in the settings. At the first start they form the initial group.
    pub seeds: Vec<InstanceId>,
    /// Data centres for which orders are accepted; empty for any.
    pub data_centres: Vec<DataCentreId>,
    /// Whether the fleet is started for the first time.
    pub first_start: bool,
    /// Target number of voters.
    pub voters: usize,
    /// Timing and limits of the replicated log. [`Replica::new`](super::Replica::new) sets the ids, the initial group
    /// and the number of voters.
    pub consensus: ConsensusOptions,
    /// Time after which an unanswered request is answered as unavailable.
    pub request_timeout: Duration,
    /// Time without an announcement after which a server is removed.
    pub server_timeout: Duration,
    /// Directory saved by an earlier run; empty for none.
    pub directory: Vec<u8>,
    /// Tolerance of the customers' limits.
    pub quota: QuotaTolerance,
}

impl Default for ReplicaOptions {
    fn default() -> Self {
        Self {
            id: InstanceId::default(),
            incarnation: 1,
            data_centre: DataCentreId::default(),
            seeds: Vec::new(),
            data_centres: Vec::new(),
            first_start: false,
            voters: 3,
            // A follower misses three heartbeats before it starts an election.
            consensus: ConsensusOptions {
                heartbeat_interval: Duration::from_millis(100),
                min_election_timeout: Duration::from_millis(350),
                max_election_timeout: Duration::from_millis(700),
                ..ConsensusOptions::default()
            },
            request_timeout: Duration::from_millis(3_500),
            server_timeout: Duration::from_secs(6),
            directory: Vec::new(),
            quota: QuotaTolerance::default(),
        }
    }
}
