//! Simulated machines.

use {
    super::disk::Disk,
    hemlockford_core::{
        collections::{FastMap, FastSet},
        config::Customer,
        dispatch::{RelayAddress, ServerView},
        fleet::{EntryEvent, EntryLink, Replica, ReplicaEvent},
        ids::{CustomerId, InstanceId, ServiceId},
        quarantine::SuspectRecord,
        quota::CreditResponse,
    },
    std::time::Duration,
};

/// A machine with a replica.
pub struct ReplicaNode {
    pub name: Box<str>,
    pub data_centre: Box<str>,
    pub replica: Option<Replica>,
    pub incarnation: u64,
    pub disk: Disk,
    /// Whether writes are blocked.
    pub is_stuck: bool,
    pub is_frozen: bool,
    /// Whether a test has isolated it from the majority, so that entries need no connection to it.
    pub is_isolated: bool,
    /// Events queued while the process is frozen.
    pub waiting: Vec<ReplicaEvent>,
    /// Time of the scheduled wake-up.
    pub wake_at: Option<Duration>,
}

/// A machine with an entry.
pub struct Entry {
    pub name: Box<str>,
    pub data_centre: Box<str>,
    pub link: Option<EntryLink>,
    pub incarnation: u64,
    pub is_frozen: bool,
    pub waiting: Vec<EntryEvent>,
    pub wake_at: Option<Duration>,
    pub change: u64,
    /// Customers of that change.
    pub customers: FastMap<CustomerId, Customer>,
    pub servers: FastMap<ServiceId, Vec<ServerView>>,
    /// All servers used since the start.
    pub seen: FastSet<Box<str>>,
    /// Number of updates of the servers.
    pub updates: u64,
    pub is_ready: bool,
    pub ready_at: Option<Duration>,
    pub entries: u32,
    pub position: Option<u32>,
    /// Entries that take calls from this one, as they were named.
    pub relays: Vec<RelayAddress>,
    /// News of suspected requests that the entry received.
    pub suspects: Vec<SuspectRecord>,
    /// Answers to its requests for credit.
    pub credit: Vec<(InstanceId, CreditResponse)>,
    /// Times at which the entry switched to another replica.
    pub switches: Vec<Duration>,
    /// Last time at which the machine was started or thawed.
    pub disturbed_at: Duration,
    /// Messages sent, without statements of what the entry reads.
    pub sent: u64,
    /// Polls sent.
    pub polls: u64,
    /// Statements sent.
    pub statements: u64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
}

impl Entry {
    pub fn holds(&self, server: &str) -> bool {
        self.view(server).is_some()
    }

    pub fn view(&self, server: &str) -> Option<&ServerView> {
        self.servers.values().flatten().find(|view| &*view.id == server)
    }

    pub fn count(&self) -> usize {
        self.servers.values().map(Vec::len).sum()
    }
}
