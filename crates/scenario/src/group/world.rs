//! Simulated dynamic group with fake disks and network links on a virtual clock.

use {
    super::{GroupChecks, GroupOptions, GroupReplica},
    crate::fakes::{FakeDisk, FakeNet, FakeStateMachine, Node, Step, Violation},
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
/// Interval between proposals.
const PROPOSALS: Duration = Duration::from_millis(30);
/// Offset of read IDs, which keeps them distinct from proposal IDs.
const READS: u64 = 1 << 32;

/// Simulated dynamic group with fake disks and network links on a virtual clock.
#[derive(Debug)]
pub struct Group {
    /// Every replica ever added.
    pub replicas: Vec<GroupReplica>,
    /// Network links between the replicas.
    pub net: FakeNet,
    /// Safety checks.
    pub checks: GroupChecks,
    /// Simulated time since the start.
    pub now: Duration,
    /// Settings; tests may change them during a run.
    pub options: GroupOptions,
    /// While set, sent messages are collected here instead of delivered.
    pub held_messages: Option<Vec<Step>>,
    last_proposal: u64,
    start: Instant,
    rng: SmallRng,
    queue: BTreeMap<(Duration, u64), Step>,
    last_sequence: u64,
    last_incarnation: u64,
}

impl Group {
    /// Creates a group without replicas.
    pub fn new(options: GroupOptions) -> Self {
        Self {
            replicas: Vec::new(),
            net: FakeNet::default(),
            checks: GroupChecks::default(),
            now: Duration::ZERO,
            options,
            held_messages: None,
            last_proposal: 0,
            start: Instant::now(),
            rng: SmallRng::seed_from_u64(options.seed),
            queue: BTreeMap::new(),
            last_sequence: 0,
            last_incarnation: 0,
        }
    }

    /// Returns the ID of the replica with the given number.
    pub fn name(number: usize) -> InstanceId {
        format!("10.0.0.{number}:7000").into()
    }

    /// Adds a replica with an empty folder, starts it and returns its number.
    pub fn add(&mut self, seeds: &[usize], may_form_group: bool) -> usize {
        let number = self.replicas.len();
        self.last_incarnation += 1;
        let node = Node::new(Self::name(number), self.last_incarnation);
        let seeds = seeds.iter().map(|seed| Self::name(*seed)).collect();
        self.replicas.push(GroupReplica { node, seeds, may_form_group, applied: 0 });
        self.start(number);
        number
    }

    /// Starts a process unless it is running.
    pub fn start(&mut self, at: usize) {
        let seed = self.rng.random();
        let replica = &mut self.replicas[at];
        if replica.node.consensus.is_some() {
            return;
        }
        let options = ConsensusOptions {
            replica: replica.node.replica.clone(),
            replicas: replica.seeds.clone(),
            is_dynamic: true,
            may_form_group: replica.may_form_group,
            target_voters: self.options.voters,
            snapshot_interval_entries: self.options.snapshot_entries,
            ..Default::default()
        };
        let node = &mut replica.node;
        node.run += 1;
        node.is_syncing = false;
        node.state_machine = FakeStateMachine::default();
        replica.applied = 0;
        let (run, now, mut actions) = (node.run, self.start + self.now, Vec::new());
        let rng = SmallRng::seed_from_u64(seed);
        node.consensus = Some(Consensus::new(now, options, node.disk.recover(), rng, &mut actions));
        self.schedule(TICK, Step::Tick(at, run));
        self.execute_actions(at, actions);
    }

    /// Kills a process without restarting it; unsynced writes are lost.
    pub fn kill(&mut self, at: usize) {
        let node = &mut self.replicas[at].node;
        node.consensus = None;
        node.disk.crash(0);
        node.run += 1;
    }

    /// Kills a process, erases its data folder and restarts it.
    pub fn lose_disk(&mut self, at: usize) {
        self.kill(at);
        self.last_incarnation += 1;
        self.replicas[at].node.disk = FakeDisk::new(self.last_incarnation);
        self.start(at);
    }

    /// Freezes a process; messages sent to it are delivered when it resumes.
    pub fn freeze(&mut self, at: usize, time: Duration) {
        self.replicas[at].node.frozen_until = self.now + time;
    }

    /// Requests a planned stop. The process ends after it has transferred leadership.
    pub fn stop(&mut self, at: usize) {
        self.handle(at, ConsensusEvent::Stop);
    }

    /// Cuts all links of a replica in both directions.
    pub fn isolate(&mut self, at: usize) {
        for other in (0..self.replicas.len()).filter(|other| *other != at) {
            self.net.cuts.extend([(at, other), (other, at)]);
        }
    }

    /// Restores links and fsync times, unfreezes and starts every process, and stops message loss.
    pub fn heal(&mut self) {
        self.net.cuts.clear();
        self.options.loss = 0;
        for at in 0..self.replicas.len() {
            self.replicas[at].node.frozen_until = Duration::ZERO;
            self.replicas[at].node.set_sync_time(None);
            self.start(at);
        }
    }

    /// Proposes a command to a replica and returns the proposal ID.
    pub fn propose(&mut self, at: usize) -> u64 {
        self.last_proposal += 1;
        let id = self.last_proposal;
        let mut command = id.to_le_bytes().to_vec();
        command.resize(8 + self.options.padding, 0);
        self.handle(at, ConsensusEvent::Propose { id, command: Arc::from(command) });
        id
    }

    /// Starts a read at a replica and returns the read ID.
    pub fn read(&mut self, at: usize) -> u64 {
        self.last_proposal += 1;
        let id = READS + self.last_proposal;
        self.checks.record_read(id);
        self.handle(at, ConsensusEvent::Read { id });
        id
    }

    /// Runs for the given time; if the group is busy, sends reads and proposals to every leader.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.run_until((self.now + PROPOSALS).min(end));
            let leads = |at: &usize| {
                let node = &self.replicas[*at].node;
                node.is_leader() && node.frozen_until <= self.now
            };
            let leaders: Vec<_> = (0..self.replicas.len()).filter(leads).collect();
            if self.options.is_busy {
                for at in leaders {
                    self.read(at);
                    self.propose(at);
                }
            }
        }
    }

    /// Runs until the condition holds or the time limit is reached; returns whether it holds.
    pub fn run_until_condition(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end && !is_done(self) {
            self.run_for(PROPOSALS);
        }
        is_done(self)
    }

    fn run_until(&mut self, until: Duration) {
        while let Some(((at, number), step)) = self.queue.pop_first() {
            if at > until {
                self.queue.insert((at, number), step);
                break;
            }
            self.now = self.now.max(at);
            let frozen_until = self.replicas[step.node()].node.frozen_until;
            if frozen_until > self.now {
                self.queue.insert((frozen_until, number), step);
            } else {
                self.run(step);
            }
        }
        self.now = self.now.max(until);
    }

    fn schedule(&mut self, wait: Duration, step: Step) {
        self.last_sequence += 1;
        self.queue.insert((self.now + wait, self.last_sequence), step);
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Tick(at, run) if self.replicas[at].node.run == run && self.replicas[at].node.consensus.is_some() => {
                self.schedule(TICK, Step::Tick(at, run));
                self.handle(at, ConsensusEvent::Tick);
            }
            Step::Deliver(from, to, message) if self.net.is_open(from, to) => {
                let from = Self::name(from);
                self.handle(to, ConsensusEvent::Receive { from, message });
            }
            Step::Synced(at, run, up_to) if self.replicas[at].node.run == run => {
                self.replicas[at].node.is_syncing = false;
                self.replicas[at].node.disk.sync(up_to);
                self.handle(at, ConsensusEvent::Persisted { up_to });
            }
            _ => {}
        }
    }

    /// Delivers a message immediately.
    pub fn deliver(&mut self, from: usize, to: usize, message: Message) {
        self.handle(to, ConsensusEvent::Receive { from: Self::name(from), message });
    }

    /// Returns the running leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let term = |at: &usize| self.replicas[*at].consensus().map(Consensus::term);
        (0..self.replicas.len()).filter(|at| self.replicas[*at].node.is_leader()).max_by_key(term)
    }

    /// Returns the numbers of the voters according to the leader's log.
    pub fn voters(&self) -> Vec<usize> {
        let leader = self.leader().and_then(|at| self.replicas[at].consensus());
        let names: Vec<_> = leader.into_iter().flat_map(Consensus::voters).collect();
        (0..self.replicas.len()).filter(|at| names.contains(&&self.replicas[*at].node.replica)).collect()
    }

    /// Returns whether there is a leader, the target number of voters is reached, and every running replica has applied
    /// all commands.
    pub fn has_converged(&self) -> bool {
        let last = self.checks.applied.last_key_value().map_or(0, |(index, _)| *index);
        let running = self.replicas.iter().filter(|replica| replica.node.consensus.is_some());
        // A replica that lost its folder is still a voter in the leader's log, but not yet in its own.
        let are_voters_up = self.voters().iter().all(|at| self.replicas[*at].is_voter());
        self.leader().is_some()
            && are_voters_up
            && self.voters().len() == self.options.voters
            && running.clone().all(|replica| replica.applied == last)
    }

    fn handle(&mut self, at: usize, event: ConsensusEvent) {
        let (now, mut actions) = (self.start + self.now, Vec::new());
        if let Some(consensus) = &mut self.replicas[at].node.consensus {
            consensus.handle(now, event, &mut actions);
        }
        self.execute_actions(at, actions);
    }

    fn execute_actions(&mut self, at: usize, actions: Vec<ConsensusAction>) {
        let is_stopped = actions.contains(&ConsensusAction::Stopped);
        for action in &actions {
            if let Some((sequence, write)) = Write::from_action(action) {
                self.replicas[at].node.disk.write(sequence, write);
            }
        }
        for action in actions {
            self.execute_action(at, action);
        }
        let node = &mut self.replicas[at].node;
        if let (Some(up_to), false) = (node.disk.last_unsynced(), node.is_syncing) {
            node.is_syncing = true;
            let (run, time) = (node.run, node.sync_time);
            self.schedule(time, Step::Synced(at, run, up_to));
        }
        if is_stopped {
            if self.replicas[at].node.is_leader() {
                self.checks.report(Violation::InvariantViolated("stopped while leading"));
            }
            self.kill(at);
        }
    }

    fn execute_action(&mut self, at: usize, action: ConsensusAction) {
        let replica = &mut self.replicas[at];
        let name = replica.node.replica.clone();
        match action {
            ConsensusAction::Send { to, message } => {
                self.checks.check_message(replica, &to, &message);
                self.send(at, &to, message);
            }
            ConsensusAction::Apply { index, command } => {
                let id = u64::from_le_bytes(command[..8].try_into().unwrap_or_default());
                replica.node.state_machine.commands.push((index, id));
                replica.applied = index;
                self.checks.check_applied(&name, index, id);
            }
            ConsensusAction::RestoreSnapshot { snapshot } => {
                replica.node.state_machine = FakeStateMachine::decode(&snapshot.data);
                let commands = replica.node.state_machine.commands.clone();
                replica.applied = commands.last().map_or(0, |(index, _)| *index);
                if commands.iter().any(|(index, id)| self.checks.applied.get(index) != Some(id)) {
                    self.checks.report(Violation::LogsDiffer(name, snapshot.index));
                }
            }
            ConsensusAction::TakeSnapshot { index } => {
                let data = replica.node.state_machine.encode(0);
                self.handle(at, ConsensusEvent::SnapshotTaken { index, data });
            }
            ConsensusAction::Answer { id, result } if id > READS => {
                self.checks.check_read(id, result, replica.applied);
            }
            ConsensusAction::Answer { id, result } => self.checks.record_answer(id, result),
            ConsensusAction::BecomeLeader { term } => self.checks.record_leader(&name, term),
            ConsensusAction::InvariantViolated(what) => self.checks.report(Violation::InvariantViolated(what)),
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: Message) {
        let Some(to) = self.replicas.iter().position(|replica| replica.node.replica == *to) else { return };
        if self.rng.random_range(0..100) < self.options.loss {
            return;
        }
        let step = Step::Deliver(from, to, message);
        if let Some(held) = &mut self.held_messages {
            return held.push(step);
        }
        let jitter = u64::try_from(self.options.jitter.as_micros()).unwrap_or_default();
        let jitter = Duration::from_micros(self.rng.random_range(0..=jitter));
        self.schedule(FakeNet::LATENCY + jitter, step);
    }

    /// Returns the index of the last entry that a replica has applied.
    pub fn applied(&self, at: usize) -> LogIndex {
        self.replicas[at].applied
    }
}
