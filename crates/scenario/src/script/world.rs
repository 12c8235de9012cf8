//! Simulated system: instances with their network, disks, servers and a virtual clock.

use {
    super::{Checks, MessageKind, Network, Node, NodeState, Server, Trigger},
    crate::fakes::FakeDisk,
    hemlockford_core::{
        control::{Control, ControlEvent, ControlOptions, PeerMessage, TICK_INTERVAL},
        dispatch::ServerState,
        ledger::{ClaimKey, ContentDigest, Holder, SettledOutcome},
        registry::Announcement,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Size of a simulated system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorldOptions {
    /// Number of instances.
    pub instances: usize,
    /// Number of replicas, which are the first instances.
    pub replicas: usize,
    /// Random seed.
    pub seed: u64,
}

/// Scheduled event.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Tick { node: usize, incarnation: u64 },
    Deliver { from: usize, to: usize, message: PeerMessage, is_counted: bool },
    Announce { to: usize, announcement: Announcement },
    Synced { node: usize, incarnation: u64, up_to: u64 },
    AnnounceTimer { server: usize },
    Restart { node: usize },
    Resume { node: usize },
    Heal { from: usize, to: usize },
}

/// Modifies a message, given its receiver, before it arrives. Used to show that the checks detect the resulting errors.
pub type TamperFn = Box<dyn FnMut(usize, &mut PeerMessage)>;

/// Simulated system: instances with their network, disks, servers and a virtual clock.
pub struct World {
    pub(super) options: WorldOptions,
    pub(super) started_at: Instant,
    pub(super) now_ms: u64,
    pub(super) last_sequence: u64,
    pub(super) queue: BTreeMap<(u64, u64), Event>,
    pub(super) rng: SmallRng,
    /// Instances.
    pub nodes: Vec<Node>,
    /// Network between the instances.
    pub network: Network,
    /// Servers.
    pub servers: Vec<Server>,
    /// Invariant checks.
    pub checks: Checks,
    pub(super) triggers: Vec<Trigger>,
    /// Message kinds that are counted for triggers.
    pub(super) counted_kinds: Vec<MessageKind>,
    pub(super) counted_messages: Option<u64>,
    /// Replicas whose data folders were lost.
    pub lost_folders: BTreeSet<usize>,
    next_request: u64,
    pub(super) keys: BTreeMap<(usize, u64), ClaimKey>,
    /// Granted claims that are neither settled nor released, by instance and key.
    pub granted: BTreeMap<(usize, ClaimKey), (Holder, Instant)>,
    pub(super) next_check: u64,
    pub(super) failure: Option<String>,
    /// Modifies messages before they arrive.
    pub tamper: Option<TamperFn>,
    /// Number of messages and bytes received by each instance.
    pub received: Vec<(u64, u64)>,
}

impl World {
    /// Creates a system in which no instance is running.
    pub fn new(options: WorldOptions) -> Self {
        let nodes = (0..options.instances).map(|node| Node::new(name(node), node < options.replicas)).collect();
        Self {
            options,
            started_at: Instant::now(),
            now_ms: 0,
            last_sequence: 0,
            queue: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(options.seed),
            nodes,
            network: Network::default(),
            servers: Vec::new(),
            checks: Checks::default(),
            triggers: Vec::new(),
            counted_kinds: Vec::new(),
            counted_messages: None,
            lost_folders: BTreeSet::new(),
            next_request: 0,
            keys: BTreeMap::new(),
            granted: BTreeMap::new(),
            next_check: 0,
            failure: None,
            tamper: None,
            received: vec![(0, 0); options.instances],
        }
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now_ms)
    }

    /// Returns the simulated time in milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Starts or restarts the process of an instance.
    pub fn start(&mut self, node: usize) {
        if self.nodes[node].state != NodeState::Down {
            return;
        }
        let now = self.now();
        let (instances, replicas) = (self.options.instances, self.options.replicas);
        let seed = self.rng.random();
        let this = &mut self.nodes[node];
        this.incarnation += 1;
        let options = ControlOptions {
            id: this.id.clone(),
            incarnation: this.incarnation,
            peers: (0..instances).filter(|peer| *peer != node).map(name).collect(),
            replicas: (0..replicas).map(name).collect(),
            ..ControlOptions::default()
        };
        let recovered = this.disk.as_ref().map(FakeDisk::recover);
        this.control = Some(Control::new(options, recovered, now, SmallRng::seed_from_u64(seed)));
        this.state = NodeState::Up;
        this.installed = 0;
        this.answers.clear();
        this.is_stopped = false;
        let incarnation = this.incarnation;
        let first = self.rng.random_range(0..TICK_INTERVAL.as_millis() as u64);
        self.push(first, Event::Tick { node, incarnation });
    }

    /// Kills the process of an instance. Up to two of the oldest unsynced writes survive, at random.
    pub fn kill(&mut self, node: usize) {
        let survivors = self.rng.random_range(0..=2);
        self.nodes[node].kill(survivors);
        self.granted.retain(|(at, _), _| *at != node);
        self.keys.retain(|(at, _), _| *at != node);
    }

    /// Kills the process of an instance after syncing all its writes.
    pub fn sync_and_kill(&mut self, node: usize) {
        if let Some(disk) = &mut self.nodes[node].disk {
            disk.sync(u64::MAX);
        }
        self.kill(node);
    }

    /// Kills the process of an instance and erases its data folder.
    pub fn lose_disk(&mut self, node: usize) {
        self.kill(node);
        let incarnation = self.nodes[node].incarnation + 1;
        if let Some(disk) = &mut self.nodes[node].disk {
            *disk = FakeDisk::new(incarnation);
            self.lost_folders.insert(node);
        }
    }

    /// Freezes the process of an instance.
    pub fn freeze(&mut self, node: usize) {
        if self.nodes[node].is_up() {
            self.nodes[node].state = NodeState::Frozen;
        }
    }

    /// Resumes a frozen process. It handles the events that arrived in the meantime before its next tick.
    pub fn resume(&mut self, node: usize) {
        if self.nodes[node].state != NodeState::Frozen {
            return;
        }
        self.nodes[node].state = NodeState::Up;
        for event in std::mem::take(&mut self.nodes[node].backlog) {
            self.process_event(event);
        }
    }

    /// Submits a configuration and returns the request ID.
    pub fn submit(&mut self, node: usize, text: &str) -> u64 {
        self.next_request += 1;
        let request = self.next_request;
        self.handle_event(node, ControlEvent::Submit { request, text: text.into() });
        request
    }

    /// Claims a key and returns the request ID.
    pub fn claim(&mut self, node: usize, key: &ClaimKey, digest: &str, deadline: Duration) -> u64 {
        self.next_request += 1;
        let request = self.next_request;
        self.keys.insert((node, request), key.clone());
        let deadline = self.now() + deadline;
        let request_digest = ContentDigest::of(digest.as_bytes());
        self.handle_event(node, ControlEvent::Claim { request, key: key.clone(), request_digest, deadline });
        request
    }

    /// Sends the request of a claim granted to the instance and settles the claim; returns whether the request was
    /// still allowed to be sent.
    pub fn settle(&mut self, node: usize, key: &ClaimKey, status: u16) -> bool {
        let Some((holder, before)) = self.granted.remove(&(node, key.clone())) else { return false };
        if self.now() >= before {
            return false;
        }
        let outcome = SettledOutcome::new(status, None, Some(b"done"));
        self.handle_event(node, ControlEvent::Settle { key: key.clone(), holder, outcome });
        true
    }

    /// Releases a claim granted to the instance; returns whether there was one.
    pub fn release(&mut self, node: usize, key: &ClaimKey) -> bool {
        let Some((holder, _)) = self.granted.remove(&(node, key.clone())) else { return false };
        self.checks.record_release(key);
        self.handle_event(node, ControlEvent::Release { key: key.clone(), holder });
        true
    }

    /// Starts a server that announces itself to an entry. A server that is already announcing itself changes its entry
    /// and state; one that has stopped restarts as a new incarnation.
    pub fn announce(&mut self, id: &str, service: &str, entry: usize, state: ServerState) {
        let known = self.servers.iter().position(|server| &*server.id == id);
        let fresh = Server {
            id: id.into(),
            service: service.into(),
            entry,
            state,
            incarnation: 1,
            started_at_ms: self.now_ms,
            sequence: 0,
            silent_since: None,
            is_announcing: true,
        };
        match known {
            Some(server) if self.servers[server].is_announcing => {
                (self.servers[server].entry, self.servers[server].state) = (entry, state);
            }
            Some(server) => {
                let incarnation = self.servers[server].incarnation + 1;
                self.servers[server] = Server { incarnation, ..fresh };
                self.push(0, Event::AnnounceTimer { server });
            }
            None => {
                self.servers.push(fresh);
                self.push(0, Event::AnnounceTimer { server: self.servers.len() - 1 });
            }
        }
    }

    /// Makes a server announce once that it leaves and then stop announcing itself.
    pub fn leave(&mut self, id: &str, entry: Option<usize>) -> bool {
        let Some(server) = self.servers.iter().position(|server| &*server.id == id) else { return false };
        self.servers[server].state = ServerState::Leaving;
        self.servers[server].entry = entry.unwrap_or(self.servers[server].entry);
        self.send_announcement(server);
        self.servers[server].is_announcing = false;
        self.servers[server].silent_since = Some(self.now_ms);
        true
    }

    /// Makes a server stop announcing itself without notice.
    pub fn silence(&mut self, id: &str) -> bool {
        let Some(server) = self.servers.iter_mut().find(|server| &*server.id == id) else { return false };
        server.is_announcing = false;
        server.silent_since = Some(self.now_ms);
        true
    }

    /// Sends one announcement that arrives late. A server that has left or stopped announcing itself sends none.
    pub fn announce_late(&mut self, id: &str, entry: usize, delay: u64) -> bool {
        let now_ms = self.now_ms;
        let mut announcing = self.servers.iter_mut().filter(|server| server.is_announcing);
        let Some(server) = announcing.find(|server| &*server.id == id) else { return false };
        let announcement = server.announcement(now_ms);
        self.push(delay, Event::Announce { to: entry, announcement });
        true
    }

    /// Starts to count messages of the given kinds and to trigger faults by message number.
    pub fn arm(&mut self, kinds: &[MessageKind], triggers: Vec<Trigger>) {
        self.counted_kinds = kinds.to_vec();
        self.triggers = triggers;
        self.counted_messages = Some(0);
    }

    /// Stops counting and returns the number of messages counted.
    pub fn disarm(&mut self) -> u64 {
        self.triggers.clear();
        self.counted_messages.take().unwrap_or(0)
    }

    /// Restores every link, and resumes or starts every instance.
    pub fn heal_everything(&mut self) {
        self.disarm();
        self.network.heal_all();
        for node in 0..self.nodes.len() {
            self.resume(node);
            self.start(node);
        }
    }

    /// Returns the first running instance that is leader.
    pub fn leader(&self) -> Option<usize> {
        let leading = |node: &Node| node.is_up() && node.control.as_ref().is_some_and(Control::is_leading);
        (0..self.nodes.len()).find(|node| leading(&self.nodes[*node]))
    }

    /// Advances the time; fails with the first violated invariant.
    pub fn run(&mut self, duration: Duration) -> Result<(), String> {
        let end = self.now_ms + duration.as_millis() as u64;
        self.run_until(end, |_| false).map(drop)
    }

    /// Advances the time until the condition holds or the limit is reached; returns whether it holds.
    pub fn run_for(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) -> Result<bool, String> {
        let end = self.now_ms + limit.as_millis() as u64;
        self.run_until(end, is_done)
    }

    /// Checks that no accepted change was lost.
    pub fn check_final(&self) -> Result<(), String> {
        self.checks.check_final(&self.nodes).map_err(|e| self.with_context(&e))
    }
}

/// Returns the ID of an instance, given its number from 0.
pub(super) fn name(node: usize) -> Box<str> {
    format!("e{}", node + 1).into()
}

/// Returns a configuration with a change number and one service.
pub fn sample_config(number: u64, service: &str) -> String {
    format!("[change]\nnumber = {number}\n[service {service}]\n")
}
