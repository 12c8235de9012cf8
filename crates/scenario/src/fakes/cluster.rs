//! Simulated cluster of replicas with fake disks and network links on a virtual clock.

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

/// Tick interval of a process.
const TICK: Duration = Duration::from_millis(50);
/// Delay after which a terminated process is restarted.
const RESTART: Duration = Duration::from_millis(200);

/// Size and settings of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterOptions {
    /// Number of replicas.
    pub replicas: usize,
    /// Log entries between snapshots.
    pub snapshot_entries: usize,
    /// Bytes added to each snapshot so that it is transferred in several pieces.
    pub padding: usize,
    /// Random seed.
    pub seed: u64,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self { replicas: 3, snapshot_entries: 256, padding: 0, seed: 1 }
    }
}

/// A scheduled simulation event.
#[derive(Clone, Debug)]
pub enum Step {
    /// A process ticks: node and process run.
    Tick(usize, u64),
    /// A process starts: node and process run.
    Start(usize, u64),
    /// A message arrives: sender, receiver and message.
    Deliver(usize, usize, Message),
    /// An fsync completes: node, process run and last write sequence.
    Synced(usize, u64, u64),
}

impl Step {
    /// Returns the node that the step applies to.
    pub fn node(&self) -> usize {
        match self {
            Self::Tick(node, _) | Self::Start(node, _) | Self::Deliver(_, node, _) | Self::Synced(node, ..) => *node,
        }
    }

    /// Returns whether the step is a message or an fsync rather than a timer.
    pub fn is_exchange(&self) -> bool {
        matches!(self, Self::Deliver(..) | Self::Synced(..))
    }
}

/// Simulated cluster of replicas with fake disks and network links on a virtual clock.
#[derive(Debug)]
pub struct Cluster {
    /// The replicas.
    pub nodes: Vec<Node>,
    /// Network links between the replicas.
    pub net: FakeNet,
    /// Safety checks.
    pub checks: Checks,
    /// Simulated time since the start.
    pub now: Duration,
    /// ID of the last proposal.
    pub last_proposal: u64,
    options: ClusterOptions,
    start: Instant,
    rng: SmallRng,
    queue: BTreeMap<(Duration, u64), Step>,
    last_sequence: u64,
    last_incarnation: u64,
}

impl Cluster {
    /// Creates a cluster of replicas with empty disks and starts them.
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

    /// Removes the next step from the queue and advances the clock to it. Steps of frozen processes are postponed.
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

    /// Schedules a step after a delay.
    pub fn schedule(&mut self, wait: Duration, step: Step) {
        self.last_sequence += 1;
        self.queue.insert((self.now + wait, self.last_sequence), step);
    }

    /// Executes a step; steps of earlier process runs are ignored.
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

    /// Runs for the given time, proposing a command to every leader each 30 ms.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let until = (self.now + Duration::from_millis(30)).min(end);
            self.run_until(until);
            self.propose();
        }
    }

    /// Runs for the given time without proposals.
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

    /// Proposes a command to every leader that is not frozen.
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

    /// Starts a process unless it is running.
    pub fn start(&mut self, node: usize) {
        let seed = self.rng.random();
        let replicas: Vec<InstanceId> = self.nodes.iter().map(|node| node.replica.clone()).collect();
        let replica = &mut self.nodes[node];
        if replica.consensus.is_some() {
            return;
        }
        let options = ConsensusOptions {
            replica: replica.replica.clone(),
            replicas,
            snapshot_interval_entries: self.options.snapshot_entries,
            ..Default::default()
        };
        replica.run += 1;
        replica.is_syncing = false;
        replica.state_machine = FakeStateMachine::default();
        let (run, mut actions) = (replica.run, Vec::new());
        let now = self.start + self.now;
        let rng = SmallRng::seed_from_u64(seed);
        replica.consensus = Some(Consensus::new(now, options, replica.disk.recover(), rng, &mut actions));
        self.schedule(TICK, Step::Tick(node, run));
        self.execute_actions(node, actions, LogIndex::MAX);
    }

    /// Crashes a process, keeping the first `survivors` unsynced writes, and schedules its restart.
    pub fn crash(&mut self, node: usize, survivors: usize) {
        let replica = &mut self.nodes[node];
        replica.consensus = None;
        replica.disk.crash(survivors);
        replica.run += 1;
        let run = replica.run;
        self.checks.record_durable(&self.nodes[node]);
        self.schedule(RESTART, Step::Start(node, run));
    }

    /// Crashes a process and erases its data folder.
    pub fn lose_disk(&mut self, node: usize) {
        self.crash(node, 0);
        self.last_incarnation += 1;
        let lost_writes = self.nodes[node].disk.lost_writes;
        self.nodes[node].disk = super::FakeDisk::new(self.last_incarnation);
        self.nodes[node].disk.lost_writes = lost_writes;
    }

    /// Freezes a process for the given time.
    pub fn freeze(&mut self, node: usize, time: Duration) {
        self.nodes[node].frozen_until = self.now + time;
    }

    /// Requests a planned stop of a process; it restarts after it has stopped.
    pub fn stop(&mut self, node: usize) {
        self.handle(node, ConsensusEvent::Stop);
    }

    /// Ends all faults: restores links, unfreezes and starts every process, and resets fsync times.
    pub fn heal(&mut self) {
        self.net.cuts.clear();
        for node in 0..self.nodes.len() {
            self.nodes[node].frozen_until = Duration::ZERO;
            self.nodes[node].set_sync_time(None);
            self.start(node);
        }
    }

    /// Returns the leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let term = |node: &usize| self.nodes[*node].consensus.as_ref().map(Consensus::term);
        (0..self.nodes.len()).filter(|node| self.nodes[*node].is_leader()).max_by_key(term)
    }

    /// Returns whether there is a leader and every replica is admitted and has applied every command.
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
        let replica = &mut self.nodes[node];
        if let (Some(up_to), false) = (replica.disk.last_unsynced(), replica.is_syncing) {
            replica.is_syncing = true;
            let (run, time) = (replica.run, replica.sync_time);
            self.schedule(time, Step::Synced(node, run, up_to));
        }
        if is_stopped {
            self.crash(node, usize::MAX);
        }
    }

    fn execute_action(&mut self, node: usize, action: ConsensusAction) {
        let replicas = self.nodes.len();
        let replica = &mut self.nodes[node];
        match action {
            ConsensusAction::Send { to, message } => {
                self.checks.check_message(replica, &to, &message);
                let Some(to) = self.nodes.iter().position(|node| node.replica == to) else { return };
                let admitted: Vec<_> =
                    self.nodes.iter().map(|node| self.checks.latest.get(&node.replica).cloned()).collect();
                for (from, message) in self.net.deliveries(node, to, message, &admitted) {
                    self.schedule(FakeNet::LATENCY, Step::Deliver(from, to, message));
                }
            }
            ConsensusAction::Apply { index, command } => {
                let id = u64::from_le_bytes(command[..8].try_into().unwrap_or_default());
                replica.state_machine.commands.push((index, id));
                self.checks.check_applied(&replica.replica, &replica.state_machine.commands);
            }
            ConsensusAction::RestoreSnapshot { snapshot } => {
                replica.state_machine = FakeStateMachine::decode(&snapshot.data);
                self.checks.check_restored(&replica.replica, &replica.state_machine.commands);
            }
            ConsensusAction::TakeSnapshot { index } => {
                let data = replica.state_machine.encode(self.options.padding);
                self.handle(node, ConsensusEvent::SnapshotTaken { index, data });
            }
            ConsensusAction::Answer { id, result } => {
                self.checks.record_answer(id, result, &replica.disk.cached, replicas);
            }
            ConsensusAction::BecomeLeader { term } => self.checks.record_leader(&replica.replica, term, replicas),
            ConsensusAction::InvariantViolated(what) => self.checks.report_invariant(what),
            _ => {}
        }
    }
}
