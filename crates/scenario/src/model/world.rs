//! State of a searched group, and its steps.

use {
    super::{After, Bounds, BrokenRule, Choice, Event, History, ModelOptions, ModelReplica, Seeds, Start},
    crate::fakes::{FakeNet, Lie, Violation, is_body_durable},
    hemlockford_core::{
        consensus::{
            Consensus, ConsensusAction, ConsensusEvent, ConsensusOptions, Entry, Member, Message, MessageBody, Payload,
            ProposalResult, Write,
        },
        ids::{InstanceId, LogIndex},
        ledger::{Command, Ledger, LedgerOutcome, SubmitOutcome},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Names of the replicas; the last one is the replacement.
const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// Replicas that form the group.
const FOUNDERS: usize = 3;
/// Time between heartbeats, so long that a silent voter is replaced at the second one.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Election timeout. It is not random, as the search chooses whose timer fires.
const ELECTION: Duration = Duration::from_millis(1_200);
/// Numbers of reads begin here, so that they differ from those of changes.
const READS: u64 = 1 << 32;
/// Bound on the timers that fire until a group has settled.
const SETTLING: usize = 60;

/// A message on its way.
#[derive(Debug)]
struct Envelope {
    from: usize,
    to: usize,
    message: Message,
    digest: u64,
}

/// State of a searched group.
#[derive(Clone, Debug)]
pub struct World {
    /// The founders and the replacement.
    pub replicas: Vec<Arc<ModelReplica>>,
    /// What happened so far.
    pub history: History,
    /// How often each kind of step may yet happen.
    pub left: Bounds,
    /// Settings.
    pub options: ModelOptions,
    /// Messages on their way, the oldest first.
    queue: Vec<Arc<Envelope>>,
    /// Replica whose messages are held back.
    delayed: Option<usize>,
    net: Arc<FakeNet>,
    incarnations: u64,
    proposed: u64,
    /// Whether the last event caused a write.
    wrote: bool,
    start: Instant,
}

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
            start: Instant::now(),
        };
        (0..NAMES.len()).for_each(|at| world.start(at, After::Durable));
        if options.start == Start::Settled {
            world.settle();
        }
        world.net = Arc::new(net);
        world
    }

    /// Runs without faults until the group has a leader and every replica has its log.
    fn settle(&mut self) {
        let known = if self.options.seeds == Seeds::Founders { NAMES.len() } else { FOUNDERS };
        for turn in 0..SETTLING {
            self.drain();
            let leader = self.leader();
            let is_settled = leader.and_then(|at| self.consensus(at)).is_some_and(|leader| {
                leader.voters().count() == self.voters()
                    && (0..known).all(|at| {
                        self.consensus(at).is_some_and(|replica| replica.commit_index() == leader.last_index())
                    })
            });
            if is_settled {
                return;
            }
            // The replacement looks for the leader when its own timer fires.
            let next =
                leader.filter(|_| turn % 2 == 0).unwrap_or(if leader.is_some() { FOUNDERS } else { turn % FOUNDERS });
            self.elapse(next, After::Durable);
        }
    }

    fn voters(&self) -> usize {
        if self.options.voters == 0 { FOUNDERS } else { self.options.voters }
    }

    /// Delivers every message that is not held back, in order.
    pub(super) fn drain(&mut self) {
        while let Some(position) = self.head() {
            self.apply(Choice { event: Event::Deliver(position), after: After::Durable });
        }
    }

    /// The running state machine of a replica.
    pub fn consensus(&self, at: usize) -> Option<&Consensus> {
        self.replicas[at].consensus()
    }

    pub(super) fn leads(&self, at: usize) -> bool {
        self.replicas[at].node.is_leader()
    }

    /// The founder that leads in the highest term.
    pub(super) fn leader(&self) -> Option<usize> {
        let term = |at: &usize| self.consensus(*at).map(Consensus::term);
        (0..FOUNDERS).filter(|at| self.leads(*at)).max_by_key(term)
    }

    /// Position of the message that arrives next unless another one overtakes it.
    fn head(&self) -> Option<usize> {
        self.queue.iter().position(|envelope| Some(envelope.to) != self.delayed)
    }

    fn is_pending(&self, at: usize) -> bool {
        self.replicas[at].node.disk.pending().is_some()
    }

    /// Whether nothing happens by itself until a timer fires.
    pub fn is_quiet(&self) -> bool {
        self.head().is_none() && !(0..NAMES.len()).any(|at| self.is_pending(at))
    }

    /// Whether messages to a replica are held back.
    pub fn is_delayed(&self) -> bool {
        self.delayed.is_some()
    }

    /// Hash of all that decides what may follow.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.replicas.iter().for_each(|replica| replica.digest.hash(&mut hasher));
        self.queue.iter().for_each(|envelope| envelope.digest.hash(&mut hasher));
        (self.queue.len(), self.delayed, self.left, self.proposed, &self.history).hash(&mut hasher);
        hasher.finish()
    }

    /// Every next step within the bounds, with the state that it leads to.
    pub fn successors(&self) -> Vec<(Choice, Self)> {
        let mut successors = Vec::new();
        for event in self.events() {
            let durable = Choice { event, after: After::Durable };
            let next = self.step(durable);
            let mut others = Vec::new();
            if next.wrote {
                if self.left.crashes > 0 {
                    others.extend([After::CrashLost, After::CrashKept]);
                }
                if self.left.slow > 0 {
                    others.push(After::Pending);
                }
            }
            successors.push((durable, next));
            for after in others {
                let choice = Choice { event, after };
                successors.push((choice, self.step(choice)));
            }
        }
        successors
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let (head, left) = (self.head(), &self.left);
        if let Some(head) = head {
            events.push(Event::Deliver(head));
            if left.drops > 0 {
                events.push(Event::Drop(head));
            }
            let later = (head + 1..self.queue.len()).filter(|at| Some(self.queue[*at].to) != self.delayed);
            events.extend(later.filter(|_| left.overtakes > 0).map(Event::Deliver));
        }
        let all = 0..NAMES.len();
        events.extend(all.clone().filter(|at| self.is_pending(*at)).map(Event::Sync));
        if left.delays > 0 && self.delayed.is_none() {
            let is_awaited = |at: &usize| self.queue.iter().any(|envelope| envelope.to == *at);
            events.extend(all.clone().filter(is_awaited).map(Event::Delay));
        }
        if !self.is_quiet() && left.interrupts == 0 {
            return events;
        }
        if self.delayed.is_some() {
            events.push(Event::Resume);
        }
        for at in all {
            if self.consensus(at).is_none() {
                events.push(Event::Start(at));
                continue;
            }
            let leads = self.leads(at);
            let choices = [
                (left.timers > 0, Event::Elapse(at)),
                (leads && left.changes > 0, Event::Submit(at)),
                (leads && left.reads > 0, Event::Read(at)),
                (leads && left.stops > 0, Event::Stop(at)),
                (left.crashes > 0, Event::Crash(at)),
                (left.losses > 0, Event::LoseDisk(at)),
            ];
            events.extend(choices.into_iter().filter(|(is_allowed, _)| *is_allowed).map(|(_, event)| event));
        }
        events
    }

    /// The state that a step leads to.
    pub fn step(&self, choice: Choice) -> Self {
        let mut next = self.clone();
        next.pay(choice);
        next.apply(choice);
        next
    }

    fn pay(&mut self, Choice { event, after }: Choice) {
        let (head, is_quiet) = (self.head(), self.is_quiet());
        let left = &mut self.left;
        match event {
            Event::Deliver(position) => left.overtakes -= u32::from(head != Some(position)),
            Event::Drop(_) => left.drops -= 1,
            Event::Elapse(_) => left.timers -= 1,
            Event::Submit(_) => left.changes -= 1,
            Event::Read(_) => left.reads -= 1,
            Event::Stop(_) => left.stops -= 1,
            Event::Crash(_) => left.crashes -= 1,
            Event::LoseDisk(_) => left.losses -= 1,
            Event::Delay(_) => left.delays -= 1,
            Event::Start(_) | Event::Resume | Event::Sync(_) => {}
        }
        let is_of_network = matches!(event, Event::Deliver(_) | Event::Drop(_) | Event::Delay(_) | Event::Sync(_));
        left.interrupts -= u32::from(!is_quiet && !is_of_network);
        match after {
            After::Durable => {}
            After::Pending => left.slow -= 1,
            After::CrashLost | After::CrashKept => left.crashes -= 1,
        }
    }

    pub(super) fn apply(&mut self, Choice { event, after }: Choice) {
        self.wrote = false;
        match event {
            Event::Deliver(position) => {
                let envelope = self.queue.remove(position);
                let (from, message) = (NAMES[envelope.from].into(), envelope.message.clone());
                self.handle(envelope.to, ConsensusEvent::Receive { from, message }, after);
            }
            Event::Drop(position) => drop(self.queue.remove(position)),
            Event::Elapse(at) => self.elapse(at, after),
            Event::Submit(at) => {
                self.proposed += 1;
                // Every change has the same number and another content.
                let text = format!("content {}", self.proposed).into();
                let command = Command::Submit { number: 1, text }.encode().unwrap_or_default().into();
                self.handle(at, ConsensusEvent::Propose { id: self.proposed, command }, after);
            }
            Event::Read(at) => self.read(at, after),
            Event::Stop(at) => self.handle(at, ConsensusEvent::Stop, after),
            Event::Crash(at) => self.crash(at, 0),
            Event::Start(at) => self.start(at, after),
            Event::LoseDisk(at) => {
                self.incarnations += 1;
                let lie = self.replicas[at].node.disk.lie;
                let clock = self.replicas[at].clock;
                self.replicas[at] =
                    Arc::new(ModelReplica { clock, ..ModelReplica::new(NAMES[at], self.incarnations, lie) });
                self.start(at, after);
            }
            Event::Delay(at) => self.delayed = Some(at),
            Event::Resume => self.delayed = None,
            Event::Sync(at) => self.sync(at),
        }
    }

    fn start(&mut self, at: usize, after: After) {
        let seeds: Vec<InstanceId> = match (at < FOUNDERS, self.options.broken, self.options.seeds) {
            (false, BrokenRule::Founding, _) => vec![NAMES[at].into()],
            (false, _, Seeds::Gone) => vec!["x".into(), "y".into(), "z".into()],
            _ => NAMES[..FOUNDERS].iter().map(|name| (*name).into()).collect(),
        };
        let options = ConsensusOptions {
            replica: NAMES[at].into(),
            replicas: seeds,
            is_dynamic: true,
            may_found: at < FOUNDERS || self.options.broken == BrokenRule::Founding,
            voters: self.voters(),
            election_min: ELECTION,
            election_max: ELECTION,
            heartbeat: HEARTBEAT,
            ..Default::default()
        };
        let start = self.start;
        let replica = Arc::make_mut(&mut self.replicas[at]);
        replica.ledger = Ledger::default();
        replica.checked = 0;
        let mut actions = Vec::new();
        let (now, recovered) = (start + replica.clock, replica.node.disk.recover());
        let rng = SmallRng::seed_from_u64(at as u64);
        replica.node.consensus = Some(Consensus::new(now, options, recovered, rng, &mut actions));
        self.carry_out(at, actions);
        self.handle(at, ConsensusEvent::Tick, after);
    }

    /// Ends a process. Messages that are on their way to it are lost.
    fn crash(&mut self, at: usize, survivors: usize) {
        let replica = Arc::make_mut(&mut self.replicas[at]);
        replica.crash(survivors);
        replica.update_digest(self.start);
        self.queue.retain(|envelope| envelope.to != at);
    }

    /// Lets time pass until a timer of a replica fires: a heartbeat for a leader, an election otherwise. The clocks
    /// of the others that do not lead go on as well, while those of leaders may stand still.
    pub(super) fn elapse(&mut self, at: usize, after: After) {
        let (start, leads) = (self.start, self.leads(at));
        let now = start + self.replicas[at].clock;
        let election = self.consensus(at).and_then(Consensus::next_election);
        let wait = match election {
            Some(election) => election.saturating_duration_since(now),
            None if leads => HEARTBEAT,
            None => HEARTBEAT * 2,
        };
        for other in 0..NAMES.len() {
            if other == at || !leads && self.consensus(other).is_some() && !self.leads(other) {
                let replica = Arc::make_mut(&mut self.replicas[other]);
                replica.clock += wait;
                replica.update_digest(start);
            }
        }
        self.handle(at, ConsensusEvent::Tick, after);
    }

    fn read(&mut self, at: usize, after: After) {
        let id = READS + self.left.reads;
        self.history.asked(id);
        let confirmed = self.consensus(at).filter(|consensus| consensus.has_committed_in_term());
        match (self.options.broken, confirmed.map(Consensus::commit_index)) {
            (BrokenRule::Read, Some(index)) => self.history.read(id, index),
            _ => self.handle(at, ConsensusEvent::Read { id }, after),
        }
    }

    fn handle(&mut self, at: usize, event: ConsensusEvent, after: After) {
        let was_pending = self.is_pending(at);
        let now = self.start + self.replicas[at].clock;
        let replica = Arc::make_mut(&mut self.replicas[at]);
        let Some(consensus) = &mut replica.node.consensus else { return };
        let mut actions = Vec::new();
        consensus.handle(now, event, &mut actions);
        self.carry_out(at, actions);
        self.wrote = self.is_pending(at);
        match after {
            After::Durable if !was_pending => self.sync(at),
            After::Durable | After::Pending => {}
            After::CrashLost => self.crash(at, 0),
            After::CrashKept => self.crash(at, usize::MAX),
        }
        Arc::make_mut(&mut self.replicas[at]).update_digest(self.start);
    }

    /// Makes all writes durable, also those that follow from it.
    fn sync(&mut self, at: usize) {
        while let Some(up_to) = self.replicas[at].node.disk.pending() {
            let now = self.start + self.replicas[at].clock;
            let replica = Arc::make_mut(&mut self.replicas[at]);
            replica.node.disk.sync(up_to);
            let Some(consensus) = &mut replica.node.consensus else { return };
            let mut actions = Vec::new();
            consensus.handle(now, ConsensusEvent::Persisted { up_to }, &mut actions);
            self.carry_out(at, actions);
        }
        Arc::make_mut(&mut self.replicas[at]).update_digest(self.start);
    }

    fn carry_out(&mut self, at: usize, actions: Vec<ConsensusAction>) {
        let replica = Arc::make_mut(&mut self.replicas[at]);
        for action in &actions {
            if let Some((sequence, write)) = Write::of(action) {
                replica.node.disk.write(sequence, write);
            }
        }
        self.history.committed(replica);
        let is_stopped = actions.contains(&ConsensusAction::Stopped);
        for action in actions {
            self.carry_out_one(at, action);
        }
        if is_stopped {
            self.crash(at, 0);
        }
    }

    fn carry_out_one(&mut self, at: usize, action: ConsensusAction) {
        match action {
            ConsensusAction::Send { to, message } => self.send(at, &to, message),
            ConsensusAction::Apply { index, command } => {
                let replica = Arc::make_mut(&mut self.replicas[at]);
                let outcome = replica.ledger.apply_bytes(index, &command);
                if let (Ok(Command::Submit { number, .. }), LedgerOutcome::Submit(SubmitOutcome::Accepted { digest })) =
                    (Command::decode(&command), outcome)
                {
                    self.history.accepted(number, digest);
                }
            }
            ConsensusAction::RestoreSnapshot { snapshot } => {
                Arc::make_mut(&mut self.replicas[at]).ledger = Ledger::restore(&snapshot.data).unwrap_or_default();
            }
            ConsensusAction::TakeSnapshot { index } => {
                let data = self.replicas[at].ledger.snapshot().unwrap_or_default().into();
                self.handle(at, ConsensusEvent::SnapshotTaken { index, data }, After::Pending);
            }
            ConsensusAction::Answer { id, result: ProposalResult::Committed { index } } if id > READS => {
                let applied = self.replicas[at].ledger.applied();
                self.history.read(id, index.min(applied.max(self.replicas[at].checked)));
            }
            ConsensusAction::Answer { result: ProposalResult::Committed { index }, .. } => self.confirmed(at, index),
            ConsensusAction::BecomeLeader { term } => self.history.led(at, &self.replicas[at], term),
            ConsensusAction::Broken(what) => self.history.report(Violation::Broken(what)),
            _ => {}
        }
    }

    /// A change was acknowledged by a leader. It must be durable on a majority of the voters; a folder that was lost
    /// may have held it.
    fn confirmed(&mut self, at: usize, index: LogIndex) {
        let replica = &self.replicas[at];
        if let (Some(consensus), Some(term)) = (replica.consensus(), replica.entry(index).map(|entry| entry.term)) {
            let names: Vec<_> = consensus.voters().collect();
            let is_holder = |held: &&Arc<ModelReplica>| names.contains(&&held.node.replica) && held.holds(index, term);
            let lost = (self.options.bounds.losses - self.left.losses) as usize;
            if self.replicas.iter().filter(is_holder).count() + lost < names.len() / 2 + 1 {
                self.history.report(Violation::ConfirmedWithoutMajority(index));
            }
        }
        self.history.confirmed = self.history.confirmed.max(index);
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: Message) {
        let node = &self.replicas[from].node;
        if node.disk.lie == Lie::None && !is_body_durable(node, to, &message) {
            self.history.report(Violation::PromisedBeforeDurable(node.replica.clone()));
        }
        let Some(to) = NAMES.iter().position(|name| *name == &**to) else { return };
        if self.options.broken == BrokenRule::Removal
            && let MessageBody::Append { entries, .. } = &message.body
            && let Some(removed) = entries.iter().find_map(removed)
        {
            self.enqueue(from, removed, message.clone());
        }
        let admitted: Vec<_> = if let BrokenRule::Net(_) = self.options.broken {
            NAMES.iter().map(|name| self.admitted(name)).collect()
        } else {
            vec![None; NAMES.len()]
        };
        let net = self.net.clone();
        for (from, message) in net.carry(from, to, message, &admitted) {
            self.enqueue(from, to, message);
        }
    }

    /// Messages to a process that is down are lost.
    fn enqueue(&mut self, from: usize, to: usize, message: Message) {
        if self.consensus(to).is_some() && from != to {
            let mut hasher = DefaultHasher::new();
            (from, to, &message).hash(&mut hasher);
            self.queue.push(Arc::new(Envelope { from, to, message, digest: hasher.finish() }));
        }
    }

    /// The incarnation that is admitted as of the longest committed log.
    fn admitted(&self, name: &str) -> Option<Member> {
        let longest = self.replicas.iter().filter_map(|replica| replica.consensus()).max_by_key(|it| it.commit_index());
        longest?.members().iter().find(|member| &*member.replica == name).cloned()
    }

    /// A step in words.
    pub fn describe(&self, Choice { event, after }: Choice) -> String {
        let text = match event {
            Event::Deliver(position) | Event::Drop(position) => {
                let Envelope { from, to, message, .. } = &*self.queue[position];
                let Message { term, incarnation, body, .. } = message;
                let verb = if matches!(event, Event::Drop(_)) { "drop" } else { "deliver" };
                format!("{verb} {} -> {}: term {term}, incarnation {incarnation}, {body:?}", NAMES[*from], NAMES[*to])
            }
            Event::Elapse(at) if self.leads(at) => format!("heartbeat of {}", NAMES[at]),
            Event::Elapse(at) => format!("timeout of {}", NAMES[at]),
            Event::Submit(at) => format!("submit a change to {}", NAMES[at]),
            Event::Read(at) => format!("read from {}", NAMES[at]),
            Event::Stop(at) => format!("planned stop of {}", NAMES[at]),
            Event::Crash(at) => format!("crash of {}", NAMES[at]),
            Event::Start(at) => format!("start of {}", NAMES[at]),
            Event::LoseDisk(at) => format!("{} loses its folder and starts", NAMES[at]),
            Event::Delay(at) => format!("messages to {} are held back", NAMES[at]),
            Event::Resume => "messages are held back no more".into(),
            Event::Sync(at) => format!("writes of {} become durable", NAMES[at]),
        };
        match after {
            After::Durable => text,
            After::Pending => format!("{text}; its writes stay pending"),
            After::CrashLost => format!("{text}; crash before the writes are durable"),
            After::CrashKept => format!("{text}; crash after the writes are durable"),
        }
    }
}

fn removed(entry: &Entry) -> Option<usize> {
    match &entry.payload {
        Payload::Remove(member) => NAMES.iter().position(|name| *name == &*member.replica),
        _ => None,
    }
}
