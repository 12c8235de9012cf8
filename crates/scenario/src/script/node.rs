//! One instance: its process, its data folder and what it told its environment.

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
    /// It does not run.
    Down,
    /// It runs.
    Up,
    /// It is frozen: it does nothing, and what arrives waits.
    Frozen,
}

/// One instance.
pub struct Node {
    /// Its name.
    pub id: InstanceId,
    /// Its control part, while the process exists.
    pub control: Option<Control>,
    /// State of the process.
    pub state: NodeState,
    /// Its data folder, if it is a replica.
    pub disk: Option<FakeDisk>,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Answers by request, of the present process.
    pub answers: BTreeMap<u64, Answer>,
    /// Highest change under which it served calls, over all incarnations.
    pub served: ChangeNumber,
    /// Highest change that the present process installed.
    pub installed: ChangeNumber,
    /// What arrived while it was frozen.
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

    /// Returns whether the process runs.
    pub fn is_up(&self) -> bool {
        self.state == NodeState::Up
    }

    /// Ends the process; some leading writes that were not synced may survive.
    pub(super) fn kill(&mut self, survivors: usize) {
        self.control = None;
        self.state = NodeState::Down;
        self.backlog.clear();
        if let Some(disk) = &mut self.disk {
            disk.crash(survivors);
        }
    }
}
