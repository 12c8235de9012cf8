//! Requests that this replica answers as the leader.

use crate::{
    collections::{FastMap, FastSet},
    ids::{ChangeNumber, Incarnation, InstanceId},
    ledger::ContentDigest,
};

/// The sender of a request with the number that it gave.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Origin {
    pub(super) from: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
}

/// What is answered once consensus has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Job {
    /// A change is proposed.
    Submit,
    /// A change is looked up that is not above the current one.
    LookUp(ChangeNumber, ContentDigest),
    /// A departure is proposed.
    Depart,
    /// The newest change is read.
    Read,
}

/// Requests that this replica answers as the leader.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    next: u64,
    jobs: FastMap<u64, (Origin, Job)>,
    origins: FastSet<Origin>,
}

impl Jobs {
    /// Whether a request waits for its answer, so that a repetition adds nothing.
    pub(super) fn contains(&self, origin: &Origin) -> bool {
        self.origins.contains(origin)
    }

    /// Adds a request; returns the number that consensus gives back.
    pub(super) fn add(&mut self, origin: Origin, job: Job) -> u64 {
        self.next += 1;
        self.origins.insert(origin.clone());
        self.jobs.insert(self.next, (origin, job));
        self.next
    }

    pub(super) fn take(&mut self, id: u64) -> Option<(Origin, Job)> {
        let (origin, job) = self.jobs.remove(&id)?;
        self.origins.remove(&origin);
        Some((origin, job))
    }

    /// Forgets all when leadership is lost; the senders repeat their requests to the next leader.
    pub(super) fn clear(&mut self) {
        self.jobs.clear();
        self.origins.clear();
    }
}
