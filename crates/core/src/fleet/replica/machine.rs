//! The state machine of a replica.

use {
    super::{
        Confirming, Contact, Jobs, Peers, Recent, ReplicaAction, ReplicaEvent, ReplicaOptions, Requests, Subscribers,
    },
    crate::{
        collections::{FastMap, FastSet},
        consensus::{Consensus, ConsensusEvent, ConsensusOptions, Recovered},
        fleet::{Directory, FleetLogEvent, FleetMessage, ReplicaAnswer, Request},
        ids::{Incarnation, InstanceId, LogIndex, ServerId},
        ledger::{Ledger, LedgerOutcome},
    },
    rand::{RngExt, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Time between wake-ups of a replica that leads or may stand for election.
const VOTER_TICK: Duration = Duration::from_millis(50);
/// Time between wake-ups of a replica that only learns. Less than half the gap at which it counts as frozen.
const LEARNER_TICK: Duration = Duration::from_millis(125);
/// Time between messages that renew what was heard from servers.
const BATCH: Duration = Duration::from_millis(500);

/// A replica of a fleet.
///
/// ```
/// use {
///     hemlockford_core::{
///         consensus::Recovered,
///         fleet::{Replica, ReplicaAction, ReplicaAnswer, ReplicaEvent, ReplicaOptions},
///     },
///     rand::{SeedableRng, rngs::SmallRng},
///     std::time::Instant,
/// };
/// let id: Box<str> = "127.0.0.1:7000".into();
/// let options =
///     ReplicaOptions { id: id.clone(), seeds: vec![id], first_start: true, voters: 1, ..Default::default() };
/// let recovered = Recovered { incarnation: 1, ..Default::default() };
/// let mut now = Instant::now();
/// let mut actions = Vec::new();
/// let mut replica = Replica::new(now, options, recovered, SmallRng::seed_from_u64(1), &mut actions);
/// let text = "[change]\nnumber = 1\n[service catalogue]\n";
/// replica.handle(now, ReplicaEvent::Submit { id: 9, text: text.into() }, &mut actions);
/// for _ in 0..40 {
///     now = replica.next_wake().unwrap();
///     replica.handle(now, ReplicaEvent::Tick, &mut actions);
///     // Every write counts as durable at once in this example.
///     replica.handle(now, ReplicaEvent::Persisted { up_to: u64::MAX }, &mut actions);
/// }
/// let is_accepted = |action: &ReplicaAction| {
///     matches!(action, ReplicaAction::Answer { id: 9, answer: ReplicaAnswer::Accepted { number: 1, .. } })
/// };
/// assert!(actions.iter().any(is_accepted));
/// ```
pub struct Replica {
    pub(super) options: ReplicaOptions,
    pub(super) started: Instant,
    pub(super) consensus: Consensus,
    pub(super) ledger: Ledger,
    pub(super) outcomes: FastMap<LogIndex, LedgerOutcome>,
    pub(super) directory: Directory,
    pub(super) peers: Peers,
    pub(super) contact: Contact,
    pub(super) subscribers: Subscribers,
    pub(super) requests: Requests,
    pub(super) jobs: Jobs,
    pub(super) confirming: Vec<Confirming>,
    pub(super) recent: Recent,
    /// Number of the next question to another replica.
    pub(super) next_ask: u64,
    pub(super) ask_leader_at: Instant,
    pub(super) ask_all_at: Instant,
    /// Questions for a whole directory so far; each goes to another replica.
    pub(super) asked_whole: usize,
    /// Servers that announced themselves here since the last batch.
    pub(super) renewed: FastSet<ServerId>,
    /// Servers whose records changed by an announcement here since the last batch.
    pub(super) changed: FastSet<ServerId>,
    /// Revision that entries were told of.
    pub(super) told_revision: u64,
    pub(super) told_at: Instant,
    /// Whether entries are to be told of a change of the directory at once.
    pub(super) is_urgent: bool,
    pub(super) told_change: u64,
    next_tick: Instant,
    next_batch: Instant,
    /// Revision of the directory that was saved last.
    pub(super) saved_revision: u64,
    /// Earliest time of the next save.
    pub(super) save_after: Instant,
    is_stopping: bool,
}

impl Replica {
    /// Makes a replica from what its data folder held.
    pub fn new(
        now: Instant,
        mut options: ReplicaOptions,
        recovered: Recovered,
        mut rng: SmallRng,
        out: &mut Vec<ReplicaAction>,
    ) -> Self {
        let saved = std::mem::take(&mut options.directory);
        let mut founders = options.seeds.clone();
        founders.sort_unstable();
        founders.dedup();
        let settings = ConsensusOptions {
            replica: options.id.clone(),
            replicas: founders,
            is_dynamic: true,
            may_form_group: options.first_start,
            target_voters: options.voters,
            ..options.consensus.clone()
        };
        // The incarnation keeps the numbers of two runs apart even with one seed.
        let first = (rng.random::<u64>() >> 1) ^ (options.incarnation << 24);
        let mut startup = Vec::new();
        let consensus = Consensus::new(now, settings, recovered, rng, &mut startup);
        let mut replica = Self {
            started: now,
            consensus,
            ledger: Ledger::default(),
            outcomes: FastMap::default(),
            directory: Directory::default(),
            peers: Peers::new(options.id.clone()),
            contact: Contact::new(now, first),
            subscribers: Subscribers::default(),
            requests: Requests::new(first),
            jobs: Jobs::default(),
            confirming: Vec::new(),
            recent: Recent::default(),
            next_ask: first,
            ask_leader_at: now,
            ask_all_at: now,
            asked_whole: 0,
            renewed: FastSet::default(),
            changed: FastSet::default(),
            told_revision: 0,
            told_at: now,
            is_urgent: false,
            told_change: 0,
            next_tick: now,
            next_batch: now,
            saved_revision: 0,
            save_after: now,
            is_stopping: false,
            options,
        };
        replica.keep_peers(now);
        for action in startup {
            replica.carry_out(now, action, &mut Vec::new(), out);
        }
        replica.restore_directory(now, &saved, out);
        replica
    }

    /// Takes one event at a time and adds what is to be done.
    pub fn handle(&mut self, now: Instant, event: ReplicaEvent, out: &mut Vec<ReplicaAction>) {
        if self.contact.run(now) {
            self.lose_contact(now, true, out);
        }
        if self.next_wake().is_some_and(|at| now >= at) {
            self.next_tick = now + self.tick();
            self.drive(now, ConsensusEvent::Tick, out);
        }
        self.refresh(now, out);
        match event {
            ReplicaEvent::Tick => {}
            ReplicaEvent::Receive { from, incarnation, message } => {
                if message.is_bounded() && from != self.options.id {
                    self.receive(now, from, incarnation, message, out);
                }
            }
            ReplicaEvent::Announce { id, record, wall_ms } => self.announce(now, id, record, wall_ms, out),
            ReplicaEvent::Depart { id, server, incarnation, wall_ms } => {
                let incarnation = incarnation.or_else(|| self.directory.incarnation(&server));
                self.depart(now, id, server, incarnation, wall_ms, out);
            }
            ReplicaEvent::Submit { id, text } => self.submit(now, id, text, out),
            ReplicaEvent::Read { id } => self.request(now, id, Request::Read, out),
            ReplicaEvent::Seeds(seeds) => {
                self.options.seeds = seeds;
                self.keep_peers(now);
            }
            ReplicaEvent::Persisted { up_to } => self.drive(now, ConsensusEvent::Persisted { up_to }, out),
            ReplicaEvent::Stop => {
                self.is_stopping = true;
                self.drive(now, ConsensusEvent::Stop, out);
            }
        }
        self.refresh(now, out);
        self.send_requests(now, out);
        self.ask(now, out);
        self.check_confirming(now, out);
        if now >= self.next_batch {
            self.next_batch = now + BATCH;
            self.batch(now, out);
        }
        self.tell_entries(now, out);
        self.save_directory(now, out);
    }

    /// Time at which a `Tick` is needed.
    pub fn next_wake(&self) -> Option<Instant> {
        let election = self.consensus.next_election();
        Some(election.map_or(self.next_tick, |at| at.min(self.next_tick)))
    }

    /// Whether this replica is in contact with the leader and has applied what was committed.
    pub fn is_current(&self) -> bool {
        self.contact.is_current() && !self.is_stopping
    }

    /// Whether the directory of this replica is complete.
    pub fn is_directory_complete(&self) -> bool {
        self.is_current() && self.contact.is_directory_complete()
    }

    /// Whether this replica leads the replicated log.
    pub fn is_leader(&self) -> bool {
        self.consensus.is_leader()
    }

    /// The voters of the replicated log, as far as this replica knows.
    pub fn voters(&self) -> impl Iterator<Item = &InstanceId> {
        self.consensus.voters()
    }

    /// The replicated state as far as it is applied here.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Live entries of the fleet.
    pub fn entries(&self, now: Instant) -> u32 {
        self.subscribers.len(now).saturating_add(self.peers.entries(now)).max(1)
    }

    fn tick(&self) -> Duration {
        let learns = !self.consensus.is_admitted() && self.consensus.leader().is_some();
        if learns { LEARNER_TICK } else { VOTER_TICK }
    }

    fn keep_peers(&mut self, now: Instant) {
        let names = self.consensus.replicas();
        self.peers.keep(now, self.options.seeds.iter().cloned().chain(names));
    }

    fn receive(
        &mut self,
        now: Instant,
        from: InstanceId,
        incarnation: Incarnation,
        message: FleetMessage,
        out: &mut Vec<ReplicaAction>,
    ) {
        if let FleetMessage::Poll(poll) = message {
            return self.polled(now, from, incarnation, poll, out);
        }
        // What only entries take does not name a replica.
        if matches!(message, FleetMessage::PollResponse(_) | FleetMessage::Install { .. } | FleetMessage::Servers(_))
            || !self.peers.hear(now, &from, incarnation)
        {
            return;
        }
        match message {
            FleetMessage::Consensus(message) => {
                self.drive(now, ConsensusEvent::Receive { from, message }, out);
            }
            FleetMessage::StatusRequest(ask) => self.asked(now, from, ask, out),
            FleetMessage::StatusResponse(greeting) => self.greeted(now, from, greeting, out),
            FleetMessage::Records(records) => self.records(now, from, records, out),
            FleetMessage::RecordRequest(servers) => self.wanted(now, from, servers, out),
            FleetMessage::Request { number, request } => {
                let origin = super::Origin { from, incarnation, number };
                self.serve(now, origin, request, out);
            }
            FleetMessage::Reply { number, reply } => {
                if let Some((id, answer)) = self.requests.replied(number, reply) {
                    out.push(ReplicaAction::Answer { id, answer });
                }
            }
            FleetMessage::Poll(_)
            | FleetMessage::PollResponse(_)
            | FleetMessage::Install { .. }
            | FleetMessage::Servers(_) => {}
        }
    }

    fn batch(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        self.keep_peers(now);
        self.peers.forget_silent(now);
        self.subscribers.forget_silent(now);
        self.send_batch(now, out);
        if self.is_directory_complete() {
            self.remove_silent(now, out);
        }
    }

    fn remove_silent(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let mut logs = Vec::new();
        // A replica that is out of reach may still hear the servers that it heard last.
        let is_kept = |_: &ServerId, by: &InstanceId| !self.peers.is_reached(now, by);
        self.directory.remove_silent(now, self.options.server_silence, is_kept, &mut logs);
        out.extend(logs.into_iter().map(ReplicaAction::Log));
    }

    /// Compares with consensus whether this replica is current.
    fn refresh(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let leads = self.consensus.is_leader();
        let is_heard = self.consensus.is_current(now);
        let may_be = self.contact.may_be_current(now, leads, self.consensus.commit_index()) && is_heard;
        match (self.contact.is_current(), may_be) {
            (true, false) => self.lose_contact(now, false, out),
            (false, true) => {
                self.contact.gain(now);
                out.push(ReplicaAction::Log(FleetLogEvent::Current));
            }
            _ => {}
        }
        if self.contact.settle(now) {
            // The first complete directory that entries see does not name servers that left during a freeze.
            out.push(ReplicaAction::Log(FleetLogEvent::DirectoryComplete));
            self.remove_silent(now, out);
        }
    }

    fn lose_contact(&mut self, now: Instant, was_frozen: bool, out: &mut Vec<ReplicaAction>) {
        if self.contact.is_current() {
            out.push(ReplicaAction::Log(FleetLogEvent::NotCurrent));
        }
        self.contact.lose(now, was_frozen, self.next_ask);
        (self.ask_leader_at, self.ask_all_at) = (now, now);
    }

    pub(super) fn answer(&self, id: u64, answer: ReplicaAnswer, out: &mut Vec<ReplicaAction>) {
        out.push(ReplicaAction::Answer { id, answer });
    }
}
