//! One replica with its disk and state machine.

use {
    super::{FakeDisk, FakeStateMachine},
    hemlockford_core::{
        consensus::{Consensus, Member},
        ids::InstanceId,
    },
    std::time::Duration,
};

/// Time that a fsync takes.
const SYNC: Duration = Duration::from_millis(2);

/// One replica with its disk and state machine.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its name.
    pub replica: InstanceId,
    /// Its state machine; `None` while the process is down.
    pub consensus: Option<Consensus>,
    /// Its folder.
    pub disk: FakeDisk,
    /// Its replicated state.
    pub state_machine: FakeStateMachine,
    /// Number of the process run, so that events of an earlier one are dropped.
    pub run: u64,
    /// Until when the process is frozen.
    pub frozen_until: Duration,
    /// Whether a fsync is running.
    pub is_syncing: bool,
    /// Time that a fsync takes.
    pub sync_time: Duration,
}

impl Node {
    /// A replica with an empty folder, not started.
    pub fn new(replica: InstanceId, incarnation: u64) -> Self {
        Self {
            replica,
            consensus: None,
            disk: FakeDisk::new(incarnation),
            state_machine: FakeStateMachine::default(),
            run: 0,
            frozen_until: Duration::ZERO,
            is_syncing: false,
            sync_time: SYNC,
        }
    }

    /// Makes each fsync take a time, or the usual time.
    pub fn set_sync_time(&mut self, time: Option<Duration>) {
        self.sync_time = time.unwrap_or(SYNC);
    }

    /// The replica with the incarnation of its folder.
    pub fn member(&self) -> Member {
        Member { replica: self.replica.clone(), incarnation: self.disk.incarnation }
    }

    /// Whether a running process leads.
    pub fn is_leader(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::is_leader)
    }

    /// Whether a running process votes and counts.
    pub fn is_admitted(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::is_admitted)
    }
}
