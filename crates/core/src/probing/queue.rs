//! Calls of one service that wait for a server, in the order of service.

use {
    super::ActiveCall,
    crate::ids::CallId,
    std::{collections::BTreeSet, time::Instant},
};

/// Sort key of a waiting call: its priority, whether it has missed its objective, and its deadline; the
/// call's identifier breaks ties.
type Rank = (u32, bool, Instant, CallId);

/// Calls of one service that wait for a server, in the order of service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    calls: BTreeSet<Rank>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn push(&mut self, active: &ActiveCall) {
        self.calls.insert(rank(active));
    }

    pub(super) fn remove(&mut self, active: &ActiveCall) {
        self.calls.remove(&rank(active));
    }

    /// Returns whether a waiting call is served before this one.
    pub(super) fn has_call_before(&self, active: &ActiveCall) -> bool {
        self.calls.first().is_some_and(|first| *first < rank(active))
    }

    /// Returns the number of calls that are served before this one.
    pub(super) fn calls_before(&self, active: &ActiveCall) -> usize {
        self.calls.range(..rank(active)).count()
    }

    /// Returns the last call in the order of service, if it is served after this one.
    pub(super) fn lowest_after(&self, active: &ActiveCall) -> Option<CallId> {
        self.calls.last().filter(|last| **last > rank(active)).map(|(.., call)| *call)
    }

    pub(super) fn calls(&self) -> Vec<CallId> {
        self.calls.iter().map(|(.., call)| *call).collect()
    }
}

fn rank(active: &ActiveCall) -> Rank {
    (active.call.options.priority, active.missed_objective, active.call.deadline, active.call.id)
}
