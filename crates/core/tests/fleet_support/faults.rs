//! Starts, stops, freezes and isolates machines.

use {
    super::{Entry, ReplicaNode, World, disk::Disk, world::Step},
    hemlockford_core::{
        collections::{FastMap, FastSet},
        fleet::{EntryEvent, EntryLink, EntryOptions, Replica, ReplicaEvent, ReplicaOptions},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
};

impl World {
    /// Adds a machine with a replica under a new name, and starts it.
    pub fn add_replica(&mut self) -> usize {
        let index = self.replicas.len();
        self.folders += 1;
        self.replicas.push(ReplicaNode {
            name: format!("r{index}").into(),
            data_centre: format!("d{}", index % 3).into(),
            replica: None,
            incarnation: 0,
            disk: Disk::new(self.folders),
            is_stuck: false,
            is_frozen: false,
            is_isolated: false,
            waiting: Vec::new(),
            wake_at: None,
        });
        self.start_replica(index);
        index
    }

    pub fn start_replica(&mut self, index: usize) {
        let (seeds, voters) = (self.seeds.clone(), self.voters);
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let at = self.at();
        let first_start = self.first_start;
        let node = &mut self.replicas[index];
        node.incarnation += 1;
        let options = ReplicaOptions {
            id: node.name.clone(),
            incarnation: node.incarnation,
            data_centre: node.data_centre.clone(),
            seeds,
            first_start,
            directory: node.disk.directory.clone(),
            voters,
            ..ReplicaOptions::default()
        };
        let mut actions = Vec::new();
        node.replica = Some(Replica::new(at, options, node.disk.recovered(), rng, &mut actions));
        (node.is_frozen, node.wake_at) = (false, None);
        node.waiting.clear();
        self.carry_out(index, actions);
    }

    pub fn kill_replica(&mut self, index: usize) {
        let node = &mut self.replicas[index];
        node.replica = None;
        node.is_frozen = false;
        node.waiting.clear();
        node.disk.crash();
    }

    /// Kills the process and clears its data folder.
    pub fn lose_disk(&mut self, index: usize) {
        self.kill_replica(index);
        self.folders += 1;
        self.replicas[index].disk = Disk::new(self.folders);
        self.replicas[index].is_stuck = false;
    }

    /// Blocks all further writes, or makes the blocked ones durable.
    pub fn set_stuck(&mut self, index: usize, is_stuck: bool) {
        let node = &mut self.replicas[index];
        node.is_stuck = is_stuck;
        if let (false, Some(up_to)) = (is_stuck, node.disk.pending()) {
            let step = Step::Persisted { replica: index, incarnation: node.incarnation, up_to };
            self.schedule(self.now, step);
        }
    }

    pub fn freeze_replica(&mut self, index: usize) {
        self.replicas[index].is_frozen = true;
    }

    /// Resumes a frozen replica. Queued network and disk events are handled before timers.
    pub fn thaw_replica(&mut self, index: usize) {
        self.replicas[index].is_frozen = false;
        for event in std::mem::take(&mut self.replicas[index].waiting) {
            self.replica_event(index, event);
        }
        self.replica_event(index, ReplicaEvent::Tick);
    }

    pub fn add_entry(&mut self) -> usize {
        let index = self.entries.len();
        self.entries.push(Entry {
            name: format!("e{index}").into(),
            data_centre: format!("d{}", index % 3).into(),
            link: None,
            incarnation: 0,
            is_frozen: false,
            waiting: Vec::new(),
            wake_at: None,
            change: 0,
            servers: FastMap::default(),
            seen: FastSet::default(),
            updates: 0,
            is_ready: false,
            ready_at: None,
            entries: 0,
            position: None,
            customers: FastMap::default(),
            suspects: Vec::new(),
            credit: Vec::new(),
            relays: Vec::new(),
            switches: Vec::new(),
            disturbed_at: self.now,
            sent: 0,
            polls: 0,
            statements: 0,
            sent_bytes: 0,
            received_bytes: 0,
        });
        self.start_entry(index);
        index
    }

    pub fn start_entry(&mut self, index: usize) {
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let (at, now, seeds) = (self.at(), self.now, self.seeds.clone());
        let node = &mut self.entries[index];
        node.incarnation += 1;
        let options = EntryOptions {
            id: node.name.clone(),
            incarnation: node.incarnation,
            data_centre: node.data_centre.clone(),
            seeds,
            relay: Some(([10, 0, 0, 1], 9_000 + index as u16).into()),
            ..EntryOptions::default()
        };
        node.link = Some(EntryLink::new(at, options, rng));
        (node.is_frozen, node.wake_at, node.change, node.is_ready) = (false, None, 0, false);
        node.customers.clear();
        (node.disturbed_at, node.ready_at) = (now, None);
        node.waiting.clear();
        node.servers.clear();
        node.seen.clear();
        node.switches.clear();
        self.entry_event(index, EntryEvent::Tick);
    }

    pub fn freeze_entry(&mut self, index: usize) {
        self.entries[index].is_frozen = true;
    }

    pub fn thaw_entry(&mut self, index: usize) {
        (self.entries[index].is_frozen, self.entries[index].disturbed_at) = (false, self.now);
        for event in std::mem::take(&mut self.entries[index].waiting) {
            self.entry_event(index, event);
        }
        self.entry_event(index, EntryEvent::Tick);
    }

    /// Isolates a replica from the other replicas.
    pub fn isolate_replica(&mut self, index: usize) {
        self.replicas[index].is_isolated = true;
        let name = self.replicas[index].name.clone();
        for other in self.replicas.iter().filter(|other| other.name != name) {
            self.links.cut(&name, &other.name);
        }
    }

    /// Restores all links, and starts or thaws all replicas.
    pub fn recover_all(&mut self) {
        self.heal();
        for index in 0..self.replicas.len() {
            if self.replicas[index].replica.is_none() {
                self.start_replica(index);
            } else if self.replicas[index].is_frozen {
                self.thaw_replica(index);
            }
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.links.heal();
        for replica in &mut self.replicas {
            replica.is_isolated = false;
        }
    }
}
