//! Options of the control plane.

use {
    crate::{
        consensus::ConsensusOptions,
        ids::{Incarnation, InstanceId},
    },
    std::time::Duration,
};

/// Options of [`Control`](super::Control).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlOptions {
    /// Name of this instance.
    pub id: InstanceId,
    /// Incarnation of this process, which increases with every start.
    pub incarnation: Incarnation,
    /// The other instances.
    pub peers: Vec<InstanceId>,
    /// The replicas, in the same order on all instances. This instance is a replica if it is listed.
    pub replicas: Vec<InstanceId>,
    /// Timing and limits of consensus; `replica` and `replicas` are filled in.
    pub consensus: ConsensusOptions,
    /// Time after which a submission is abandoned.
    pub submit_timeout: Duration,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            id: "entry".into(),
            incarnation: 1,
            peers: Vec::new(),
            replicas: Vec::new(),
            consensus: ConsensusOptions::default(),
            submit_timeout: super::SUBMIT_TIMEOUT,
        }
    }
}
