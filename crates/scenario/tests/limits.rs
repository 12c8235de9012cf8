//! Limits of the replicated log: message sizes, in-flight windows and idle traffic, with messages encoded as on the
//! wire.

use {
    hemlockford_core::consensus::{
        Consensus, ConsensusAction, ConsensusEvent, ConsensusOptions, MAX_COMMAND_BYTES, MAX_MESSAGE_BYTES, Message,
        MessageBody, ProposalResult, Recovered,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TICK: Duration = Duration::from_millis(50);
/// Budget for control traffic of one node at the design target, in bytes per second.
const BYTES_PER_SECOND: usize = 21_000;

/// Three replicas with instant message delivery and writes.
struct Group {
    now: Instant,
    replicas: Vec<Consensus>,
    /// Whether messages from and to the first replica are held.
    is_held: bool,
    held: Vec<Message>,
    sent: Vec<usize>,
    largest: usize,
    answers: Vec<(u64, ProposalResult)>,
    snapshot: Arc<[u8]>,
}

impl Group {
    fn new(options: ConsensusOptions, snapshot_bytes: usize) -> Self {
        let now = Instant::now();
        let names = ["a", "b", "c"].map(Box::<str>::from).to_vec();
        let replica = |at: usize| {
            let options = ConsensusOptions { replica: names[at].clone(), replicas: names.clone(), ..options.clone() };
            let recovered = Recovered { incarnation: 1, ..Recovered::default() };
            Consensus::new(now, options, recovered, SmallRng::seed_from_u64(at as u64), &mut Vec::new())
        };
        let replicas = (0..3).map(replica).collect();
        let snapshot = vec![0; snapshot_bytes].into();
        let (held, sent, answers) = (Vec::new(), vec![0; 3], Vec::new());
        let mut group = Self { now, replicas, is_held: false, held, sent, largest: 0, answers, snapshot };
        while !group.replicas[0].is_leader() {
            group.tick(&[0, 1, 2]);
        }
        group
    }

    fn tick(&mut self, replicas: &[usize]) {
        self.now += TICK;
        for replica in replicas {
            self.run(*replica, ConsensusEvent::Tick);
        }
    }

    fn run(&mut self, at: usize, event: ConsensusEvent) {
        let mut queue = VecDeque::from([(at, event)]);
        while let Some((at, event)) = queue.pop_front() {
            let mut actions = Vec::new();
            self.replicas[at].handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    ConsensusAction::Send { to, message } => {
                        let size = postcard::to_stdvec(&message).unwrap().len();
                        self.sent[at] += size;
                        self.largest = self.largest.max(size);
                        let to = ["a", "b", "c"].iter().position(|name| **name == *to).unwrap();
                        let from = ["a", "b", "c"][at].into();
                        if self.is_held && (at == 0 || to == 0) {
                            self.held.push(message);
                        } else {
                            queue.push_back((to, ConsensusEvent::Receive { from, message }));
                        }
                    }
                    ConsensusAction::Answer { id, result } => self.answers.push((id, result)),
                    ConsensusAction::TakeSnapshot { index } => {
                        let data = self.snapshot.clone();
                        queue.push_front((at, ConsensusEvent::SnapshotTaken { index, data }));
                    }
                    ConsensusAction::InvariantViolated(what) => panic!("{what}"),
                    ConsensusAction::SaveHardState { sequence, .. }
                    | ConsensusAction::Append { sequence, .. }
                    | ConsensusAction::Truncate { sequence, .. }
                    | ConsensusAction::SaveSnapshot { sequence, .. } => {
                        queue.push_back((at, ConsensusEvent::Persisted { up_to: sequence }));
                    }
                    _ => {}
                }
            }
        }
    }

    fn propose(&mut self, id: u64, bytes: usize) {
        self.run(0, ConsensusEvent::Propose { id, command: vec![1; bytes].into() });
    }

    fn result(&self, id: u64) -> Option<&ProposalResult> {
        self.answers.iter().find(|(held, _)| *held == id).map(|(_, result)| result)
    }
}

/// Guards against messages that the transport rejects as too large, with entries of all sizes and pieces of a snapshot.
#[test]
fn messages_fit() {
    let options = ConsensusOptions { snapshot_interval_entries: 20, ..ConsensusOptions::default() };
    let mut group = Group::new(options, 1_000_000);
    for (id, bytes) in (1..).zip([MAX_COMMAND_BYTES, 1, 30_000, 29_000, 8_000, 0, MAX_COMMAND_BYTES].repeat(20)) {
        if id % 10 == 1 {
            group.is_held = true;
        }
        group.propose(id, bytes);
        if id % 10 == 9 {
            group.is_held = false;
            for _ in 0..6 {
                group.tick(&[0]);
            }
        }
    }
    println!("largest message {} of {MAX_MESSAGE_BYTES} bytes", group.largest);
    assert!(group.largest <= MAX_MESSAGE_BYTES, "{} bytes", group.largest);
    assert!(group.largest > MAX_MESSAGE_BYTES * 9 / 10, "the largest message was not reached: {}", group.largest);
}

/// Guards against a command that can never be sent, and against an unbounded number of proposals.
#[test]
fn proposals_are_bounded() {
    let options = ConsensusOptions { max_pending_proposals: 20, ..ConsensusOptions::default() };
    let mut group = Group::new(options, 0);
    group.propose(1, MAX_COMMAND_BYTES + 1);
    assert_eq!(group.result(1), Some(&ProposalResult::TooLarge));
    group.run(1, ConsensusEvent::Propose { id: 2, command: Arc::from([]) });
    assert_eq!(group.result(2), Some(&ProposalResult::NotLeader { leader: Some("a".into()) }));
    group.is_held = true;
    (10..31).for_each(|id| group.propose(id, 10));
    assert_eq!((group.result(29), group.result(30)), (None, Some(&ProposalResult::Busy)));
}

/// Guards against an unbounded number of messages to a replica that does not answer, and against one message per entry
/// once it does.
#[test]
fn entries_are_pipelined_and_batched() {
    let mut group = Group::new(ConsensusOptions::default(), 0);
    group.tick(&[0]);
    group.is_held = true;
    (0..500).for_each(|id| group.propose(id, 100));
    let carries =
        |message: &&Message| matches!(&message.body, MessageBody::Append { entries, .. } if !entries.is_empty());
    let in_flight = group.held.iter().filter(carries).count();
    assert_eq!(in_flight, 2 * ConsensusOptions::default().max_in_flight_messages);
    group.is_held = false;
    (0..20).for_each(|_| group.tick(&[0]));
    assert!(matches!(group.result(499), Some(ProposalResult::Committed { .. })), "{:?}", group.result(499));
}

/// Guards against a leader that was frozen or isolated and commits or accepts a proposal afterwards.
#[test]
fn frozen_leader_confirms_nothing() {
    let mut group = Group::new(ConsensusOptions::default(), 0);
    group.tick(&[0]);
    group.is_held = true;
    group.propose(1, 10);
    let acknowledgements = group.held.clone();
    group.now += ConsensusOptions::default().min_election_timeout;
    group.is_held = false;
    group.propose(2, 10);
    assert!(!acknowledgements.is_empty() && !group.replicas[0].is_leader());
    assert_eq!(group.result(1), Some(&ProposalResult::Unknown));
    assert_eq!(group.result(2), Some(&ProposalResult::NotLeader { leader: None }));
}

/// Guards against idle traffic above the budget of a node at the design target.
#[test]
fn idle_traffic_is_within_budget() {
    let mut group = Group::new(ConsensusOptions::default(), 0);
    group.sent = vec![0; 3];
    (0..200).for_each(|_| group.tick(&[0, 1, 2]));
    let rates: Vec<_> = group.sent.iter().map(|bytes| bytes / 10).collect();
    println!("idle bytes sent per second, leader first: {rates:?}");
    assert!(rates.iter().all(|rate| *rate < BYTES_PER_SECOND), "{rates:?}");
}
