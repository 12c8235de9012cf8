//! Options of the control part.

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
    /// Incarnation of this process; it rises with every start.
    pub incarnation: Incarnation,
    /// The other instances of the roster.
    pub peers: Vec<InstanceId>,
    /// The replicas, in the same order everywhere; this instance is one of them if it is named.
    pub replicas: Vec<InstanceId>,
    /// Timing and limits of the replicated log; `replica` and `replicas` are filled in.
    pub consensus: ConsensusOptions,
    /// Time after which a submission is given up.
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
