//! Replicas, their disks and their links on a virtual clock.

use {
    super::{Checks, FakeNet, FakeStateMachine, Node},
    hemlockford_core::{
        consensus::{Consensus, ConsensusAction, ConsensusEvent, ConsensusOptions, Message, Write},
        ids::{InstanceId, LogIndex},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time between two ticks of a process.
const TICK: Duration = Duration::from_millis(50);
/// Time until a process that ended is started again.
const RESTART: Duration = Duration::from_millis(200);

/// Size and settings of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterOptions {
    /// Replicas.
    pub replicas: usize,
    /// Entries between two snapshots.
    pub snapshot_entries: usize,
    /// Bytes added to each snapshot, so that it takes several pieces.
    pub padding: usize,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self { replicas: 3, snapshot_entries: 256, padding: 0, seed: 1 }
    }
}

/// What happens next.
#[derive(Clone, Debug)]
pub enum Step {
    /// A process ticks.
    Tick(usize, u64),
    /// A process starts.
    Start(usize, u64),
    /// A message arrives.
    Deliver(usize, usize, Message),
    /// A fsync ends.
    Synced(usize, u64, u64),
}

impl Step {
    /// The replica that the step happens at.
    pub fn node(&self) -> usize {
        match self {
            Self::Tick(node, _) | Self::Start(node, _) | Self::Deliver(_, node, _) | Self::Synced(node, ..) => *node,
        }
    }

    /// Whether the step belongs to an exchange, rather than to the passing of time.
    pub fn is_exchange(&self) -> bool {
        matches!(self, Self::Deliver(..) | Self::Synced(..))
    }
}

/// Replicas, their disks and their links on a virtual clock.
#[derive(Debug)]
pub struct Cluster {
    /// The replicas.
    pub nodes: Vec<Node>,
    /// The links between them.
    pub net: FakeNet,
    /// What must hold.
    pub checks: Checks,
    /// Time since the start.
    pub now: Duration,
    /// Number of the last proposal.
    pub last_proposal: u64,
    options: ClusterOptions,
    start: Instant,
    rng: SmallRng,
    queue: BTreeMap<(Duration, u64), Step>,
    last_sequence: u64,
    last_incarnation: u64,
}

impl Cluster {
    /// Makes a cluster of empty replicas and starts them.
    pub fn new(options: ClusterOptions) -> Self {
        let nodes = (0..options.replicas).map(|node| Node::new(format!("r{node}").into(), node as u64 + 1)).collect();
        let mut cluster = Self {
            nodes,
            net: FakeNet::default(),
            checks: Checks::default(),
            now: Duration::ZERO,
            last_proposal: 0,
            options,
            start: Instant::now(),
            rng: SmallRng::seed_from_u64(options.seed),
            queue: BTreeMap::new(),
            last_sequence: 0,
            last_incarnation: options.replicas as u64,
        };
        for node in 0..options.replicas {
            cluster.start(node);
        }
        cluster
    }

    /// The next step, taken off the queue; the clock moves to it.
    pub fn next_step(&mut self) -> Option<Step> {
        loop {
            let ((at, number), step) = self.queue.pop_first()?;
            self.now = self.now.max(at);
            let frozen_until = self.nodes[step.node()].frozen_until;
            if frozen_until <= self.now {
                return Some(step);
            }
            self.queue.insert((frozen_until, number), step);
        }
    }

    /// Puts a step into the queue.
    pub fn schedule(&mut self, wait: Duration, step: Step) {
        self.last_sequence += 1;
        self.queue.insert((self.now + wait, self.last_sequence), step);
    }

    /// Carries out a step.
    pub fn run(&mut self, step: Step) {
        match step {
            Step::Start(node, run) if self.nodes[node].run == run => self.start(node),
            Step::Tick(node, run) if self.nodes[node].run == run && self.nodes[node].consensus.is_some() => {
                self.schedule(TICK, Step::Tick(node, run));
                self.handle(node, ConsensusEvent::Tick);
            }
            Step::Deliver(from, to, message) if self.net.is_open(from, to) => {
                let from = self.nodes[from].replica.clone();
                self.handle(to, ConsensusEvent::Receive { from, message });
            }
            Step::Synced(node, run, up_to) if self.nodes[node].run == run => {
                self.nodes[node].is_syncing = false;
                self.nodes[node].disk.sync(up_to);
                self.checks.record_durable(&self.nodes[node]);
                self.handle(node, ConsensusEvent::Persisted { up_to });
            }
            _ => {}
        }
    }

    /// Runs until a time has passed, with a proposal to every replica that leads each 30 ms.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let until = (self.now + Duration::from_millis(30)).min(end);
            self.run_until(until);
            self.propose();
        }
    }

    /// Runs until a time has passed, without proposals.
    pub fn run_without_proposals(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn run_until(&mut self, until: Duration) {
        while self.queue.first_key_value().is_some_and(|((at, _), _)| *at <= until) {
            if let Some(step) = self.next_step() {
                self.run(step);
            }
        }
        self.now = self.now.max(until);
    }

    /// Proposes a command to every replica that leads.
    pub fn propose(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].is_leader() && self.nodes[node].frozen_until <= self.now {
                self.last_proposal += 1;
                let id = self.last_proposal;
                let command: Arc<[u8]> = Arc::from(id.to_le_bytes());
                self.handle(node, ConsensusEvent::Propose { id, command });
            }
        }
    }

    /// Starts a process.
    pub fn start(&mut self, node: usize) {
        let seed = self.rng.random();
        let replicas: Vec<InstanceId> = self.nodes.iter().map(|node| node.replica.clone()).collect();
        let at = &mut self.nodes[node];
        if at.consensus.is_some() {
            return;
        }
        let options = ConsensusOptions {
            replica: at.replica.clone(),
            replicas,
            snapshot_interval_entries: self.options.snapshot_entries,
            ..Default::default()
        };
        at.run += 1;
        at.is_syncing = false;
        at.state_machine = FakeStateMachine::default();
        let (run, mut actions) = (at.run, Vec::new());
        let now = self.start + self.now;
        let rng = SmallRng::seed_from_u64(seed);
        at.consensus = Some(Consensus::new(now, options, at.disk.recover(), rng, &mut actions));
        self.schedule(TICK, Step::Tick(node, run));
        self.execute_actions(node, actions, LogIndex::MAX);
    }

    /// Ends a process; the first unsynced writes may survive. It is started again a little later.
    pub fn crash(&mut self, node: usize, survivors: usize) {
        let at = &mut self.nodes[node];
        at.consensus = None;
        at.disk.crash(survivors);
        at.run += 1;
        let run = at.run;
        self.checks.record_durable(&self.nodes[node]);
        self.schedule(RESTART, Step::Start(node, run));
    }

    /// Ends a process and empties its folder.
    pub fn lose_disk(&mut self, node: usize) {
        self.crash(node, 0);
        self.last_incarnation += 1;
        let lost_writes = self.nodes[node].disk.lost_writes;
        self.nodes[node].disk = super::FakeDisk::new(self.last_incarnation);
        self.nodes[node].disk.lost_writes = lost_writes;
    }

    /// Freezes a process.
    pub fn freeze(&mut self, node: usize, time: Duration) {
        self.nodes[node].frozen_until = self.now + time;
    }

    /// Asks a process to stop as planned; it is started again a little later.
    pub fn stop(&mut self, node: usize) {
        self.handle(node, ConsensusEvent::Stop);
    }

    /// Ends all faults: opens the links, wakes and starts every process, and makes the disks quick.
    pub fn heal(&mut self) {
        self.net.cuts.clear();
        for node in 0..self.nodes.len() {
            self.nodes[node].frozen_until = Duration::ZERO;
            self.nodes[node].set_sync_time(None);
            self.start(node);
        }
    }

    /// The replica that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let term = |node: &usize| self.nodes[*node].consensus.as_ref().map(Consensus::term);
        (0..self.nodes.len()).filter(|node| self.nodes[*node].is_leader()).max_by_key(term)
    }

    /// Whether every replica is admitted and has applied every command, with one leader.
    pub fn has_converged(&self) -> bool {
        let has_converged = |node: &Node| node.is_admitted() && node.state_machine.commands == self.checks.applied;
        self.leader().is_some() && self.nodes.iter().all(has_converged)
    }

    fn handle(&mut self, node: usize, event: ConsensusEvent) {
        let now = self.start + self.now;
        let (mut actions, mut before) = (Vec::new(), 0);
        if let Some(consensus) = &mut self.nodes[node].consensus {
            before = consensus.commit_index();
            consensus.handle(now, event, &mut actions);
        }
        self.execute_actions(node, actions, before);
    }

    fn execute_actions(&mut self, node: usize, actions: Vec<ConsensusAction>, committed_before: LogIndex) {
        let is_stopped = actions.contains(&ConsensusAction::Stopped);
        for action in &actions {
            if let Some((sequence, write)) = Write::from_action(action) {
                self.nodes[node].disk.write(sequence, write);
            }
        }
        self.checks.check_commit(&self.nodes[node], committed_before);
        self.checks.record_admission(&self.nodes[node]);
        for action in actions {
            self.execute_action(node, action);
        }
        let at = &mut self.nodes[node];
        if let (Some(up_to), false) = (at.disk.last_unsynced(), at.is_syncing) {
            at.is_syncing = true;
            let (run, time) = (at.run, at.sync_time);
            self.schedule(time, Step::Synced(node, run, up_to));
        }
        if is_stopped {
            self.crash(node, usize::MAX);
        }
    }

    fn execute_action(&mut self, node: usize, action: ConsensusAction) {
        let replicas = self.nodes.len();
        let at = &mut self.nodes[node];
        match action {
            ConsensusAction::Send { to, message } => {
                self.checks.check_message(at, &to, &message);
                let Some(to) = self.nodes.iter().position(|node| node.replica == to) else { return };
                let admitted: Vec<_> =
                    self.nodes.iter().map(|node| self.checks.latest.get(&node.replica).cloned()).collect();
                for (from, message) in self.net.deliveries(node, to, message, &admitted) {
                    self.schedule(FakeNet::LATENCY, Step::Deliver(from, to, message));
                }
            }
            ConsensusAction::Apply { index, command } => {
                let id = u64::from_le_bytes(command[..8].try_into().unwrap_or_default());
                at.state_machine.commands.push((index, id));
                self.checks.check_applied(&at.replica, &at.state_machine.commands);
            }
            ConsensusAction::RestoreSnapshot { snapshot } => {
                at.state_machine = FakeStateMachine::decode(&snapshot.data);
                self.checks.check_restored(&at.replica, &at.state_machine.commands);
            }
            ConsensusAction::TakeSnapshot { index } => {
                let data = at.state_machine.encode(self.options.padding);
                self.handle(node, ConsensusEvent::SnapshotTaken { index, data });
            }
            ConsensusAction::Answer { id, result } => {
                self.checks.record_answer(id, result, &at.disk.cached, replicas);
            }
            ConsensusAction::BecomeLeader { term } => self.checks.record_leader(&at.replica, term, replicas),
            ConsensusAction::InvariantViolated(what) => self.checks.report_invariant(what),
            _ => {}
        }
    }
}
