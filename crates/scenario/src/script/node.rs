//! Simulated instance with its process, data folder and answers.

use {
    super::world::Event,
    crate::fakes::FakeDisk,
    hemlockford_core::{
        control::{Answer, Control},
        ids::{ChangeNumber, Incarnation, InstanceId},
    },
    std::collections::BTreeMap,
};

/// State of the process of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It is not running.
    Down,
    /// It is running.
    Up,
    /// It is frozen: it makes no progress, and incoming events are queued.
    Frozen,
}

/// Simulated instance.
pub struct Node {
    /// Instance ID.
    pub id: InstanceId,
    /// Control state machine while the process exists.
    pub control: Option<Control>,
    /// State of the process.
    pub state: NodeState,
    /// Data folder if the instance is a replica.
    pub disk: Option<FakeDisk>,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Answers of the current process by request ID.
    pub answers: BTreeMap<u64, Answer>,
    /// Highest change with which it was allowed to serve calls, over all incarnations.
    pub served: ChangeNumber,
    /// Highest change that the current process installed.
    pub installed: ChangeNumber,
    /// Events that arrived while the process was frozen.
    pub(super) backlog: Vec<Event>,
    /// Whether the process reported that a planned stop is complete.
    pub is_stopped: bool,
}

impl Node {
    pub(super) fn new(id: InstanceId, is_replica: bool) -> Self {
        Self {
            id,
            control: None,
            state: NodeState::Down,
            disk: is_replica.then(|| FakeDisk::new(1)),
            incarnation: 0,
            answers: BTreeMap::new(),
            served: 0,
            installed: 0,
            backlog: Vec::new(),
            is_stopped: false,
        }
    }

    /// Returns whether the process is running.
    pub fn is_up(&self) -> bool {
        self.state == NodeState::Up
    }

    /// Kills the process, keeping the first `survivors` unsynced writes.
    pub(super) fn kill(&mut self, survivors: usize) {
        self.control = None;
        self.state = NodeState::Down;
        self.backlog.clear();
        if let Some(disk) = &mut self.disk {
            disk.crash(survivors);
        }
    }
}
