//! One replica of a searched group.

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

/// One replica with its own clock. Clocks of replicas run apart, as nothing in a dynamic group may rely on them.
#[derive(Clone, Debug)]
pub struct ModelReplica {
    /// The replica with its disk.
    pub node: Node,
    /// Its replicated state.
    pub ledger: Ledger,
    /// Its time since the start.
    pub clock: Duration,
    /// Last committed entry that was checked.
    pub last_checked: LogIndex,
    /// Hash of all this; none after a change.
    pub digest: Option<u64>,
}

impl ModelReplica {
    /// A replica with an empty folder, not started.
    pub fn new(name: &str, incarnation: u64, lost_writes: LostWrites) -> Self {
        let mut node = Node::new(name.into(), incarnation);
        node.disk.lost_writes = lost_writes;
        Self { node, ledger: Ledger::default(), clock: Duration::ZERO, last_checked: 0, digest: None }
    }

    /// The running state machine.
    pub fn consensus(&self) -> Option<&Consensus> {
        self.node.consensus.as_ref()
    }

    /// Ends the process; some leading unsynced writes survive.
    pub fn crash(&mut self, survivors: usize) {
        self.node.consensus = None;
        self.node.disk.crash(survivors);
    }

    /// An entry of the log in memory.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let entries = &self.node.disk.cached.entries;
        let first = entries.first()?.index;
        entries.get(usize::try_from(index.checked_sub(first)?).ok()?)
    }

    /// Whether a snapshot stands for an entry.
    pub fn covers(&self, index: LogIndex) -> bool {
        self.node.disk.cached.snapshot.as_ref().is_some_and(|snapshot| snapshot.index >= index)
    }

    /// Whether a crash leaves an entry.
    pub fn holds(&self, index: LogIndex, term: u64) -> bool {
        let image = &self.node.disk.durable;
        image.snapshot.as_ref().is_some_and(|snapshot| snapshot.index >= index)
            || image.entries.iter().any(|entry| (entry.index, entry.term) == (index, term))
    }

    /// Computes the hash anew.
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
