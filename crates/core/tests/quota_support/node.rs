//! Entries and replicas of the simulation.

use {
    hemlockford_core::{
        ids::{CallId, InstanceId},
        quota::{CreditHolder, CreditPool},
        slots::NameHash,
    },
    std::{
        collections::{HashMap, VecDeque},
        time::Instant,
    },
};

/// An entry.
pub struct Entry {
    pub name: InstanceId,
    pub incarnation: u64,
    /// `None` while no process runs.
    pub holder: Option<CreditHolder>,
    /// Whether messages from and to it are lost.
    pub is_cut: bool,
    pub frozen_until: Option<Instant>,
    /// Replicas that it can reach, by side of a partition.
    pub side: Option<usize>,
    /// Replica that it takes for the leader.
    pub leader: Option<usize>,
    /// When the first request that was not answered by a leader was sent.
    pub unanswered_since: Option<Instant>,
    pub waiting: HashMap<NameHash, VecDeque<CallId>>,
}

/// A replica.
pub struct Replica {
    pub name: InstanceId,
    /// `None` if it does not lead.
    pub pool: Option<CreditPool>,
    pub is_alive: bool,
    pub frozen_until: Option<Instant>,
    pub side: usize,
    /// Replica that it takes for the leader.
    pub leader: Option<usize>,
}

pub fn is_frozen(until: Option<Instant>, now: Instant) -> bool {
    until.is_some_and(|until| now < until)
}
