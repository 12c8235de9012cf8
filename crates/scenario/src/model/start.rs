//! Initial states of a search, and the start of a process.

use {
    super::{
        Choice, Defect, Event, History, ModelOptions, ModelReplica, Seeds, Start, World, WriteOutcome,
        world::{ELECTION, Envelope, FOUNDERS, HEARTBEAT, NAMES},
    },
    crate::fakes::{FakeNet, LostWrites, Violation},
    hemlockford_core::{
        consensus::{Consensus, ConsensusEvent, ConsensusOptions, MessageBody},
        ids::InstanceId,
        ledger::Ledger,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Instant},
};

/// Maximum number of timers that fire until a group has converged.
const MAX_CONVERGENCE_TIMERS: usize = 60;

impl World {
    /// Creates the initial state of a search.
    pub fn new(options: ModelOptions) -> Self {
        let mut net = FakeNet::default();
        let mut lost_writes = LostWrites::None;
        match options.defect {
            Defect::Net(tampering) => net.tampering = tampering,
            Defect::Disk(lost) => lost_writes = lost,
            _ => {}
        }
        let replicas = (1..).zip(NAMES).map(|(number, name)| Arc::new(ModelReplica::new(name, number, lost_writes)));
        let mut world = Self {
            replicas: replicas.collect(),
            history: History::default(),
            remaining: options.bounds,
            options,
            queue: Vec::new(),
            delayed: None,
            net: Arc::default(),
            last_incarnation: NAMES.len() as u64,
            last_proposal: 0,
            has_written: false,
            messages_sent: 0,
            start: Instant::now(),
        };
        (0..NAMES.len()).for_each(|at| world.start(at, WriteOutcome::Durable));
        match options.start {
            Start::Empty => {}
            Start::Settled => world.converge(),
            Start::Silent => {
                world.converge();
                world.delayed = Some(1);
            }
            Start::LateVote => world.delay_vote(),
        }
        world.net = Arc::new(net);
        world.update_digests();
        world
    }

    /// Runs without faults until the group has a leader and every replica that can reach it has its log.
    fn converge(&mut self) {
        let knows_founders = self.options.seeds == Seeds::Founders && self.options.defect != Defect::Formation;
        let replicas_to_converge = if knows_founders { NAMES.len() } else { FOUNDERS };
        for turn in 0..MAX_CONVERGENCE_TIMERS {
            self.deliver_all();
            let leader = self.leader();
            let has_converged = leader.and_then(|at| self.consensus(at)).is_some_and(|leader| {
                let follows = |at: usize| {
                    self.net.cuts.contains(&(at, 0))
                        || self.consensus(at).is_some_and(|replica| replica.commit_index() == leader.last_index())
                };
                leader.voters().count() == self.options.voters && (0..replicas_to_converge).all(follows)
            });
            if has_converged {
                return;
            }
            // The replacement searches for the leader when its own timer fires.
            let next =
                leader.filter(|_| turn % 2 == 0).unwrap_or(if leader.is_some() { FOUNDERS } else { turn % FOUNDERS });
            self.fire_timer(next, WriteOutcome::Durable);
        }
        self.history.report(Violation::NoProgress);
    }

    /// Runs until the vote of c for b is in flight and delayed, while a leads and has not heard from c. Then c loses
    /// its data folder.
    fn delay_vote(&mut self) {
        let mut net = FakeNet::default();
        net.cuts.insert((2, 0));
        while self.leader().is_none() {
            self.fire_timer(0, WriteOutcome::Durable);
            while let Some(position) = self.head().filter(|_| self.leader().is_none()) {
                self.apply(Choice { event: Event::Deliver(position), writes: WriteOutcome::Durable });
            }
        }
        self.queue.retain(|envelope| (envelope.from, envelope.to) != (2, 0));
        self.net = Arc::new(net.clone());
        self.converge();
        net.cuts.extend([(0, 1), (1, 0)]);
        self.net = Arc::new(net);
        self.fire_timer(1, WriteOutcome::Durable);
        while let Some(position) = self.head() {
            let Envelope { to, message, .. } = &*self.queue[position];
            if *to == 1 && matches!(message.body, MessageBody::Vote { granted: true, .. }) {
                self.delayed = Some(1);
            } else {
                self.apply(Choice { event: Event::Deliver(position), writes: WriteOutcome::Durable });
            }
        }
        self.net = Arc::default();
        self.apply(Choice { event: Event::LoseDisk(2), writes: WriteOutcome::Durable });
    }

    pub(super) fn start(&mut self, at: usize, writes: WriteOutcome) {
        let seeds: Vec<InstanceId> = match (at < FOUNDERS, self.options.defect, self.options.seeds) {
            (false, Defect::Formation, _) => vec![NAMES[at].into()],
            (false, _, Seeds::Gone) => vec!["x".into(), "y".into(), "z".into()],
            _ => NAMES[..FOUNDERS].iter().map(|name| (*name).into()).collect(),
        };
        let options = ConsensusOptions {
            replica: NAMES[at].into(),
            replicas: seeds,
            is_dynamic: true,
            may_form_group: at < FOUNDERS || self.options.defect == Defect::Formation,
            target_voters: self.options.voters,
            min_election_timeout: ELECTION,
            max_election_timeout: ELECTION,
            heartbeat_interval: HEARTBEAT,
            snapshot_interval_entries: self.options.snapshot_entries,
            ..Default::default()
        };
        let start = self.start;
        let replica = self.replica_mut(at);
        replica.ledger = Ledger::default();
        replica.last_checked = 0;
        let mut actions = Vec::new();
        let (now, recovered) = (start + replica.clock, replica.node.disk.recover());
        let rng = SmallRng::seed_from_u64(at as u64);
        replica.node.consensus = Some(Consensus::new(now, options, recovered, rng, &mut actions));
        self.execute_actions(at, actions);
        self.handle(at, ConsensusEvent::Tick, writes);
    }
}
