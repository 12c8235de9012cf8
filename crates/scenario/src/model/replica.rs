//! Replica in a state of the search.

use {
    crate::fakes::{LostWrites, Node},
    hemlockford_core::{
        collections::FastHasher,
        consensus::{Consensus, Entry},
        ids::LogIndex,
        ledger::Ledger,
    },
    std::{
        hash::{Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Replica with its own clock. Clocks of replicas diverge because a dynamic group must not rely on synchronized clocks.
#[derive(Clone, Debug)]
pub struct ModelReplica {
    /// Consensus state machine and disk.
    pub node: Node,
    /// Replicated state.
    pub ledger: Ledger,
    /// Local time since the start.
    pub clock: Duration,
    /// Index of the last committed entry that was checked.
    pub last_checked: LogIndex,
    /// Hash of the replica state; `None` after a change.
    pub digest: Option<u64>,
}

impl ModelReplica {
    /// Creates a stopped replica with an empty data folder.
    pub fn new(name: &str, incarnation: u64, lost_writes: LostWrites) -> Self {
        let mut node = Node::new(name.into(), incarnation);
        node.disk.lost_writes = lost_writes;
        Self { node, ledger: Ledger::default(), clock: Duration::ZERO, last_checked: 0, digest: None }
    }

    /// Returns the consensus state machine if the process is running.
    pub fn consensus(&self) -> Option<&Consensus> {
        self.node.consensus.as_ref()
    }

    /// Crashes the process, keeping the first `survivors` unsynced writes.
    pub fn crash(&mut self, survivors: usize) {
        self.node.consensus = None;
        self.node.disk.crash(survivors);
    }

    /// Returns an entry of the log, including unsynced ones.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let entries = &self.node.disk.cached.entries;
        let first = entries.first()?.index;
        entries.get(usize::try_from(index.checked_sub(first)?).ok()?)
    }

    /// Returns whether a snapshot covers an entry.
    pub fn covers(&self, index: LogIndex) -> bool {
        self.node.disk.cached.snapshot.as_ref().is_some_and(|snapshot| snapshot.index >= index)
    }

    /// Returns whether an entry is durable, in the log or in a snapshot.
    pub fn holds(&self, index: LogIndex, term: u64) -> bool {
        let image = &self.node.disk.durable;
        image.snapshot.as_ref().is_some_and(|snapshot| snapshot.index >= index)
            || image.entries.iter().any(|entry| (entry.index, entry.term) == (index, term))
    }

    /// Recomputes the hash.
    pub fn update_digest(&mut self, start: Instant) {
        let mut hasher = FastHasher::default();
        self.node.disk.hash(&mut hasher);
        self.last_checked.hash(&mut hasher);
        if let Some(consensus) = &self.node.consensus {
            consensus.fingerprint(start + self.clock, &mut hasher);
        }
        self.digest = Some(hasher.finish());
    }
}
