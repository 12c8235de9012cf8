//! State of a group in the search.

use {
    super::{Bounds, History, ModelOptions, ModelReplica},
    crate::fakes::FakeNet,
    hemlockford_core::{
        collections::FastHasher,
        consensus::{Consensus, Message},
    },
    std::{
        hash::{Hash, Hasher},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Replica IDs; the last one is the replacement.
pub(super) const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// Number of replicas that form the group.
pub(super) const FOUNDERS: usize = 3;
/// Heartbeat interval, long enough that an unreachable voter is replaced at the second heartbeat.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(500);
/// Election timeout. It is not random because the search chooses whose timer fires.
pub(super) const ELECTION: Duration = Duration::from_millis(1_200);

/// Message in flight.
#[derive(Debug)]
pub(super) struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: Message,
    pub digest: u64,
}

/// State of a group in the search.
#[derive(Clone, Debug)]
pub struct World {
    /// The founders and the replacement.
    pub replicas: Vec<Arc<ModelReplica>>,
    /// Events so far.
    pub history: History,
    /// Remaining number of steps of each kind.
    pub remaining: Bounds,
    /// Settings.
    pub options: ModelOptions,
    /// Messages in flight, oldest first.
    pub(super) queue: Vec<Arc<Envelope>>,
    /// Replica to which messages are delayed.
    pub(super) delayed: Option<usize>,
    pub(super) net: Arc<FakeNet>,
    pub(super) last_incarnation: u64,
    pub(super) last_proposal: u64,
    /// Whether the last event caused a write.
    pub(super) has_written: bool,
    /// Number of messages that the last event sent before its writes became durable.
    pub(super) messages_sent: usize,
    pub(super) start: Instant,
}

impl World {
    /// Returns the consensus state machine of a replica if the process is running.
    pub fn consensus(&self, at: usize) -> Option<&Consensus> {
        self.replicas[at].consensus()
    }

    pub(super) fn replica_mut(&mut self, at: usize) -> &mut ModelReplica {
        let replica = Arc::make_mut(&mut self.replicas[at]);
        replica.digest = None;
        replica
    }

    /// Recomputes the hashes of the replicas that have changed.
    pub(super) fn update_digests(&mut self) {
        for replica in self.replicas.iter_mut().filter(|replica| replica.digest.is_none()) {
            Arc::make_mut(replica).update_digest(self.start);
        }
    }

    pub(super) fn leads(&self, at: usize) -> bool {
        self.replicas[at].node.is_leader()
    }

    /// Returns the founder that leads in the highest term.
    pub(super) fn leader(&self) -> Option<usize> {
        let term = |at: &usize| self.consensus(*at).map(Consensus::term);
        (0..FOUNDERS).filter(|at| self.leads(*at)).max_by_key(term)
    }

    /// Returns the queue position of the next message in order.
    pub(super) fn head(&self) -> Option<usize> {
        self.queue.iter().position(|envelope| Some(envelope.to) != self.delayed)
    }

    pub(super) fn is_pending(&self, at: usize) -> bool {
        self.replicas[at].node.disk.last_unsynced().is_some()
    }

    /// Returns whether no message or write is outstanding, so that nothing happens until a timer fires.
    pub fn is_quiet(&self) -> bool {
        self.head().is_none() && !(0..NAMES.len()).any(|at| self.is_pending(at))
    }

    /// Returns whether messages to a replica are delayed.
    pub fn is_delayed(&self) -> bool {
        self.delayed.is_some()
    }

    /// Returns a hash of everything that determines the possible next steps.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = FastHasher::default();
        self.replicas.iter().for_each(|replica| replica.digest.hash(&mut hasher));
        self.queue.iter().for_each(|envelope| envelope.digest.hash(&mut hasher));
        (self.queue.len(), self.delayed, self.remaining, self.last_proposal, &self.history).hash(&mut hasher);
        hasher.finish()
    }
}
