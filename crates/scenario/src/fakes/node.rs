//! A simulated replica with its disk and state machine.

use {
    super::{FakeDisk, FakeStateMachine},
    hemlockford_core::{
        consensus::{Consensus, Member},
        ids::InstanceId,
    },
    std::time::Duration,
};

/// Default duration of an fsync.
const SYNC: Duration = Duration::from_millis(2);

/// A simulated replica with its disk and state machine.
#[derive(Clone, Debug)]
pub struct Node {
    /// Replica ID.
    pub replica: InstanceId,
    /// Consensus state machine; `None` while the process is down.
    pub consensus: Option<Consensus>,
    /// Data folder.
    pub disk: FakeDisk,
    /// Replicated state.
    pub state_machine: FakeStateMachine,
    /// Number of the process run; events of earlier runs are ignored.
    pub run: u64,
    /// Simulated time until which the process is frozen.
    pub frozen_until: Duration,
    /// Whether an fsync is in progress.
    pub is_syncing: bool,
    /// Duration of an fsync.
    pub sync_time: Duration,
}

impl Node {
    /// Creates a stopped replica with an empty folder.
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

    /// Sets the fsync duration; `None` restores the default.
    pub fn set_sync_time(&mut self, time: Option<Duration>) {
        self.sync_time = time.unwrap_or(SYNC);
    }

    /// Returns the replica ID with the incarnation of its folder.
    pub fn member(&self) -> Member {
        Member { replica: self.replica.clone(), incarnation: self.disk.incarnation }
    }

    /// Returns whether the process is running as leader.
    pub fn is_leader(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::is_leader)
    }

    /// Returns whether the process is running as an admitted member.
    pub fn is_admitted(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::is_admitted)
    }
}
