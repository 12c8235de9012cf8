//! States that a search begins with, and the start of a process.

use {
    super::{
        After, BrokenRule, Choice, Event, History, ModelOptions, ModelReplica, Seeds, Start, World,
        world::{ELECTION, Envelope, FOUNDERS, HEARTBEAT, NAMES},
    },
    crate::fakes::{FakeNet, Lie, Violation},
    hemlockford_core::{
        consensus::{Consensus, ConsensusEvent, ConsensusOptions, MessageBody},
        ids::InstanceId,
        ledger::Ledger,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Instant},
};

/// Bound on the timers that fire until a group has settled.
const SETTLING: usize = 60;

impl World {
    /// The state that a search begins with.
    pub fn new(options: ModelOptions) -> Self {
        let mut net = FakeNet::default();
        let mut lie = Lie::None;
        match options.broken {
            BrokenRule::Net(forgery) => net.forgery = forgery,
            BrokenRule::Disk(broken) => lie = broken,
            _ => {}
        }
        let replicas = (1..).zip(NAMES).map(|(number, name)| Arc::new(ModelReplica::new(name, number, lie)));
        let mut world = Self {
            replicas: replicas.collect(),
            history: History::default(),
            left: options.bounds,
            options,
            queue: Vec::new(),
            delayed: None,
            net: Arc::default(),
            incarnations: NAMES.len() as u64,
            proposed: 0,
            wrote: false,
            sent: 0,
            start: Instant::now(),
        };
        (0..NAMES.len()).for_each(|at| world.start(at, After::Durable));
        match options.start {
            Start::Empty => {}
            Start::Settled => world.settle(),
            Start::Silent => {
                world.settle();
                world.delayed = Some(1);
            }
            Start::LateVote => world.hold_vote(),
        }
        world.net = Arc::new(net);
        world.update_digests();
        world
    }

    /// Runs without faults until the group has a leader and every replica that hears it has its log.
    fn settle(&mut self) {
        let is_told = self.options.seeds == Seeds::Founders && self.options.broken != BrokenRule::Founding;
        let known = if is_told { NAMES.len() } else { FOUNDERS };
        for turn in 0..SETTLING {
            self.drain();
            let leader = self.leader();
            let is_settled = leader.and_then(|at| self.consensus(at)).is_some_and(|leader| {
                let follows = |at: usize| {
                    self.net.cuts.contains(&(at, 0))
                        || self.consensus(at).is_some_and(|replica| replica.commit_index() == leader.last_index())
                };
                leader.voters().count() == self.options.voters && (0..known).all(follows)
            });
            if is_settled {
                return;
            }
            // The replacement looks for the leader when its own timer fires.
            let next =
                leader.filter(|_| turn % 2 == 0).unwrap_or(if leader.is_some() { FOUNDERS } else { turn % FOUNDERS });
            self.elapse(next, After::Durable);
        }
        self.history.report(Violation::NoProgress);
    }

    /// Runs until the vote of c for b is on its way and is held back, while a leads and has not heard from c. Then c
    /// loses its folder.
    fn hold_vote(&mut self) {
        let mut net = FakeNet::default();
        net.cuts.insert((2, 0));
        while self.leader().is_none() {
            self.elapse(0, After::Durable);
            while let Some(position) = self.head().filter(|_| self.leader().is_none()) {
                self.apply(Choice { event: Event::Deliver(position), after: After::Durable });
            }
        }
        self.queue.retain(|envelope| (envelope.from, envelope.to) != (2, 0));
        self.net = Arc::new(net.clone());
        self.settle();
        net.cuts.extend([(0, 1), (1, 0)]);
        self.net = Arc::new(net);
        self.elapse(1, After::Durable);
        while let Some(position) = self.head() {
            let Envelope { to, message, .. } = &*self.queue[position];
            if *to == 1 && matches!(message.body, MessageBody::Vote { granted: true, .. }) {
                self.delayed = Some(1);
            } else {
                self.apply(Choice { event: Event::Deliver(position), after: After::Durable });
            }
        }
        self.net = Arc::default();
        self.apply(Choice { event: Event::LoseDisk(2), after: After::Durable });
    }

    pub(super) fn start(&mut self, at: usize, after: After) {
        let seeds: Vec<InstanceId> = match (at < FOUNDERS, self.options.broken, self.options.seeds) {
            (false, BrokenRule::Founding, _) => vec![NAMES[at].into()],
            (false, _, Seeds::Gone) => vec!["x".into(), "y".into(), "z".into()],
            _ => NAMES[..FOUNDERS].iter().map(|name| (*name).into()).collect(),
        };
        let options = ConsensusOptions {
            replica: NAMES[at].into(),
            replicas: seeds,
            is_dynamic: true,
            may_form_group: at < FOUNDERS || self.options.broken == BrokenRule::Founding,
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
        replica.checked = 0;
        let mut actions = Vec::new();
        let (now, recovered) = (start + replica.clock, replica.node.disk.recover());
        let rng = SmallRng::seed_from_u64(at as u64);
        replica.node.consensus = Some(Consensus::new(now, options, recovered, rng, &mut actions));
        self.carry_out(at, actions);
        self.handle(at, ConsensusEvent::Tick, after);
    }
}
