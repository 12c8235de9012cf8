//! Replica state machine.

use {
    super::{
        Capabilities, LeaderContact, LeaderCredit, Operations, Peers, PendingDeparture, PendingRequests, RecentConfigs,
        RecentDepartures, Relays, ReplicaAction, ReplicaEvent, ReplicaOptions, Subscribers,
    },
    crate::{
        collections::{FastMap, FastSet},
        consensus::{Consensus, ConsensusEvent, ConsensusOptions, Recovered},
        fleet::{Directory, FleetLogEvent, FleetMessage, MAX_INCARNATION, ReplicaAnswer, Request, bounds::Bounds},
        ids::{Incarnation, InstanceId, LogIndex, ServerId},
        ledger::{Ledger, LedgerOutcome},
        quarantine::SuspectTable,
    },
    rand::{RngExt, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Interval between ticks of a replica that leads or may become a candidate.
const VOTER_TICK: Duration = Duration::from_millis(50);
/// Interval between ticks of a learner. It is less than half of `FREEZE_THRESHOLD`.
const LEARNER_TICK: Duration = Duration::from_millis(125);
/// Id of requests of the replica itself, whose answers nobody waits for.
pub(super) const INTERNAL_REQUEST: u64 = u64::MAX;
/// Interval between batches of renewals sent to the other replicas.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);

/// A replica of a fleet. It replicates the ledger, keeps a directory of servers, and serves the entries that poll it.
///
/// ```
/// use {
///     hemlockford_core::{
///         config::CheckedConfig,
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
/// let config = CheckedConfig::parse("[change]\nnumber = 1\n[service catalogue]\n".into()).unwrap();
/// replica.handle(now, ReplicaEvent::Submit { id: 9, config }, &mut actions);
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
    pub(super) ledger_outcomes: FastMap<LogIndex, LedgerOutcome>,
    pub(super) directory: Directory,
    pub(super) peers: Peers,
    pub(super) contact: LeaderContact,
    pub(super) subscribers: Subscribers,
    pub(super) requests: PendingRequests,
    pub(super) operations: Operations,
    pub(super) pending_departures: Vec<PendingDeparture>,
    pub(super) recent_departures: RecentDepartures,
    /// Number of the next status request to another replica.
    pub(super) next_status_request: u64,
    pub(super) next_leader_request_at: Instant,
    pub(super) next_sync_request_at: Instant,
    /// Number of requests for a full directory so far; each goes to a different replica.
    pub(super) full_requests: usize,
    /// Servers that announced themselves here since the last batch.
    pub(super) renewed: FastSet<ServerId>,
    /// Servers whose records were changed by an announcement here since the last batch.
    pub(super) changed: FastSet<ServerId>,
    /// Directory revision last sent to entries.
    pub(super) published_revision: u64,
    pub(super) published_at: Instant,
    /// Whether a directory change is to be sent to entries without delay.
    pub(super) publish_immediately: bool,
    pub(super) published_change: u64,
    pub(super) recent_configs: RecentConfigs,
    /// Servers that entries reported as leaving, with the time of the request to record that.
    pub(super) reported_leaving: FastMap<ServerId, Instant>,
    /// Entries that take calls from other entries.
    pub(super) relays: Relays,
    /// Number of the next batch, by which the entries in it are chosen.
    pub(super) next_batch_number: u64,
    /// Requests under which servers ended, as far as this replica knows.
    pub(super) suspects: SuspectTable,
    /// What the other instances read.
    pub(super) capabilities: Capabilities,
    pub(super) credit: LeaderCredit,
    next_tick: Instant,
    next_batch: Instant,
    /// Directory revision that was saved last.
    pub(super) saved_revision: u64,
    /// Earliest time of the next save.
    pub(super) next_save_at: Instant,
    is_stopping: bool,
    is_renumbered: bool,
}

impl Replica {
    /// Creates a replica from the recovered contents of its data folder.
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
        // The incarnation makes the numbers of two runs differ even if they use the same random seed.
        let first_number = (rng.random::<u64>() >> 1) ^ (options.incarnation << 24);
        let credit = LeaderCredit::new(rng.random(), options.quota);
        let mut startup_actions = Vec::new();
        let consensus = Consensus::new(now, settings, recovered, rng, &mut startup_actions);
        let mut replica = Self {
            started: now,
            consensus,
            ledger: Ledger::default(),
            ledger_outcomes: FastMap::default(),
            directory: Directory::default(),
            peers: Peers::new(options.id.clone()),
            contact: LeaderContact::new(now, first_number),
            subscribers: Subscribers::default(),
            requests: PendingRequests::new(first_number),
            operations: Operations::default(),
            pending_departures: Vec::new(),
            recent_departures: RecentDepartures::default(),
            next_status_request: first_number,
            next_leader_request_at: now,
            next_sync_request_at: now,
            full_requests: 0,
            renewed: FastSet::default(),
            changed: FastSet::default(),
            published_revision: 0,
            published_at: now,
            publish_immediately: false,
            published_change: 0,
            recent_configs: RecentConfigs::default(),
            reported_leaving: FastMap::default(),
            relays: Relays::default(),
            next_batch_number: 0,
            suspects: SuspectTable::default(),
            capabilities: Capabilities::default(),
            credit,
            next_tick: now,
            next_batch: now,
            saved_revision: 0,
            next_save_at: now,
            is_stopping: false,
            is_renumbered: false,
            options,
        };
        replica.pin_peers(now);
        for action in startup_actions {
            replica.carry_out(now, action, &mut Vec::new(), out);
        }
        replica.restore_directory(now, &saved, out);
        replica
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: ReplicaEvent, out: &mut Vec<ReplicaAction>) {
        if self.contact.record_activity(now) {
            self.lose_contact(now, true, out);
        }
        if self.next_wake().is_some_and(|at| now >= at) {
            self.next_tick = now + self.tick_interval();
            self.drive(now, ConsensusEvent::Tick, out);
        }
        self.update_contact(now, out);
        match event {
            ReplicaEvent::Tick => {}
            ReplicaEvent::Receive { from, incarnation, message } => {
                if from != self.options.id {
                    let (message, event) = Bounds::apply(&from, message);
                    out.extend(event.map(ReplicaAction::Log));
                    if let Some(message) = message {
                        self.receive(now, from, incarnation, message, out);
                    }
                }
            }
            ReplicaEvent::Announce { id, record, wall_ms } => self.announce(now, id, record, wall_ms, out),
            ReplicaEvent::Depart { id, server, incarnation, wall_ms } => {
                // A departure binds all earlier incarnations too.
                let stated = incarnation.filter(|incarnation| *incarnation <= MAX_INCARNATION);
                // A call that waited while this process was frozen would end a server that has started since then.
                if stated.is_none() && self.contact.may_have_waited(now) {
                    return self.answer(id, ReplicaAnswer::Unavailable, out);
                }
                let incarnation = stated.or_else(|| self.directory.departing_incarnation(&server));
                self.depart(now, id, server, incarnation, wall_ms, out);
            }
            ReplicaEvent::Submit { id, config } => self.submit(now, id, config, out),
            ReplicaEvent::Evacuate { id, data_centre, is_active, arrival, wall_ms } => {
                self.evacuate(now, id, (data_centre, is_active), arrival, wall_ms, out);
            }
            ReplicaEvent::DataCentres(data_centres) => self.options.data_centres = data_centres,
            ReplicaEvent::Read { id } => self.enqueue_request(now, id, Request::Read, out),
            ReplicaEvent::Seeds(seeds) => {
                self.options.seeds = seeds;
                self.pin_peers(now);
            }
            ReplicaEvent::Persisted { up_to } => self.drive(now, ConsensusEvent::Persisted { up_to }, out),
            ReplicaEvent::Stop => {
                self.is_stopping = true;
                self.drive(now, ConsensusEvent::Stop, out);
            }
        }
        self.update_contact(now, out);
        self.send_requests(now, out);
        self.send_status_requests(now, out);
        self.answer_confirmed_departures(now, out);
        if now >= self.next_batch {
            self.next_batch = now + BATCH_INTERVAL;
            self.send_periodic_batch(now, out);
        }
        self.publish_to_entries(now, out);
        self.save_directory(now, out);
        self.update_credit(now);
    }

    /// Returns the time of the next required `Tick`.
    pub fn next_wake(&self) -> Option<Instant> {
        let election = self.consensus.next_election();
        Some(election.map_or(self.next_tick, |at| at.min(self.next_tick)))
    }

    /// Returns whether this replica is in contact with the leader and has applied all committed entries.
    pub fn is_current(&self) -> bool {
        self.contact.is_current() && !self.is_stopping
    }

    /// Returns whether the directory of this replica is complete.
    pub fn is_directory_complete(&self) -> bool {
        self.is_current() && self.contact.is_directory_complete()
    }

    /// Returns whether this replica leads the replicated log.
    pub fn is_leader(&self) -> bool {
        self.consensus.is_leader()
    }

    /// Returns the voters of the replicated log known to this replica.
    pub fn voters(&self) -> impl Iterator<Item = &InstanceId> {
        self.consensus.voters()
    }

    /// Returns the replicated state applied so far.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the number of live entries in the fleet, at least 1.
    pub fn entries(&self, now: Instant) -> u32 {
        self.subscribers.live_count(now).saturating_add(self.peers.entries(now)).max(1)
    }

    /// Returns the index of an entry among the live entries of the fleet.
    pub(super) fn position(&self, now: Instant, entry: &InstanceId) -> u32 {
        self.subscribers.position(now, entry).saturating_add(self.peers.entries_before(now, &self.options.id))
    }

    fn tick_interval(&self) -> Duration {
        let is_learner = !self.consensus.is_admitted() && self.consensus.leader().is_some();
        if is_learner { LEARNER_TICK } else { VOTER_TICK }
    }

    fn pin_peers(&mut self, now: Instant) {
        let names = self.consensus.replicas();
        self.peers.pin(now, self.options.seeds.iter().cloned().chain(names));
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
            return self.handle_poll(now, from, incarnation, poll, out);
        }
        // Capabilities and suspects come from entries too, which are not recorded as peers.
        if let FleetMessage::Capabilities { level } = message {
            self.capabilities.record(now, from, incarnation, level);
            return self.announce_level(now, false, out);
        }
        if let FleetMessage::Suspects(suspects) = message {
            return self.handle_suspects(now, &from, suspects, out);
        }
        if let FleetMessage::CreditRequest(request) = message {
            return self.handle_credit_request(now, from, incarnation, &request, out);
        }
        // The sender of a message that is meant for entries is not recorded as a peer.
        if matches!(
            message,
            FleetMessage::PollResponse(_)
                | FleetMessage::Install(_)
                | FleetMessage::Servers(_)
                | FleetMessage::CreditResponse(_)
        ) {
            return;
        }
        if let FleetMessage::Outdated(latest) = message {
            return self.check_renumber(latest, out);
        }
        if !self.peers.record_message(now, &from, incarnation) {
            let latest = self.peers.incarnation(&from);
            return out.push(ReplicaAction::Send { to: from, message: FleetMessage::Outdated(latest) });
        }
        match message {
            FleetMessage::Consensus(message) => {
                // This replica may have restarted and not know the earlier processes of the sender.
                if let Some(latest) = self.consensus.voter_incarnation(&from)
                    && message.incarnation < latest
                {
                    return out.push(ReplicaAction::Send { to: from, message: FleetMessage::Outdated(latest) });
                }
                self.drive(now, ConsensusEvent::Receive { from, message }, out);
            }
            FleetMessage::StatusRequest(request) => self.handle_status_request(now, from, request, out),
            FleetMessage::StatusResponse(response) => self.handle_status_response(now, from, response, out),
            FleetMessage::Records(records) => self.handle_records(now, from, records, out),
            FleetMessage::RecordRequest(servers) => self.handle_record_request(now, from, servers, out),
            FleetMessage::Request { number, request } => {
                let origin = super::Origin { from, incarnation, number };
                self.serve(now, origin, request, out);
            }
            FleetMessage::Reply { number, reply } => {
                if let Some((id, answer)) = self.requests.record_reply(number, reply) {
                    self.answer(id, answer, out);
                }
            }
            FleetMessage::Poll(_)
            | FleetMessage::PollResponse(_)
            | FleetMessage::Install(_)
            | FleetMessage::Servers(_)
            | FleetMessage::Suspects(_)
            | FleetMessage::CreditRequest(_)
            | FleetMessage::CreditResponse(_)
            | FleetMessage::Outdated(_)
            | FleetMessage::Capabilities { .. } => {}
        }
    }

    /// Takes a later incarnation if an earlier process under this name had a higher one. Incarnations come from the time
    /// of day, so that one may be lower after the loss of the data folder if the clock was set back. The others ignore
    /// this replica then. A voter is never renumbered: it has promised under its incarnation what it must keep.
    fn check_renumber(&mut self, latest: Incarnation, out: &mut Vec<ReplicaAction>) {
        if latest > self.options.incarnation && !self.consensus.is_admitted() && !self.is_renumbered {
            self.is_renumbered = true;
            out.push(ReplicaAction::Log(FleetLogEvent::Renumbered(latest)));
            out.push(ReplicaAction::Renumber(latest));
        }
    }

    fn send_periodic_batch(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        self.pin_peers(now);
        self.peers.remove_inactive(now);
        self.subscribers.remove_inactive(now);
        self.relays.remove_inactive(now);
        self.suspects.remove_expired(now);
        self.remove_inactive_statements(now);
        self.announce_level(now, true, out);
        self.send_batch(now, out);
        if self.is_directory_complete() {
            self.remove_timed_out(now, out);
        }
    }

    fn remove_timed_out(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let mut logs = Vec::new();
        // An unreachable replica may still receive announcements from the servers that last announced themselves to it.
        let is_kept = |_: &ServerId, receiver: &InstanceId| !self.peers.is_synchronized(now, receiver);
        self.directory.remove_timed_out(now, self.options.server_timeout, is_kept, &mut logs);
        out.extend(logs.into_iter().map(ReplicaAction::Log));
    }

    /// Updates whether this replica is current and whether its directory is complete.
    fn update_contact(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let is_leader = self.consensus.is_leader();
        let has_leader_contact = self.consensus.is_current(now);
        let may_be = self.contact.may_be_current(now, is_leader, self.consensus.commit_index()) && has_leader_contact;
        match (self.contact.is_current(), may_be) {
            (true, false) => self.lose_contact(now, false, out),
            (false, true) => {
                self.contact.mark_current(now);
                out.push(ReplicaAction::Log(FleetLogEvent::Current));
            }
            _ => {}
        }
        if self.contact.update_completeness(now) {
            // Entries must not receive a complete directory with servers that left while this replica was frozen.
            out.push(ReplicaAction::Log(FleetLogEvent::DirectoryComplete));
            self.remove_timed_out(now, out);
        }
    }

    fn lose_contact(&mut self, now: Instant, was_frozen: bool, out: &mut Vec<ReplicaAction>) {
        if self.contact.is_current() {
            out.push(ReplicaAction::Log(FleetLogEvent::NotCurrent));
        }
        self.contact.mark_lost(now, was_frozen, self.next_status_request);
        (self.next_leader_request_at, self.next_sync_request_at) = (now, now);
    }

    pub(super) fn answer(&self, id: u64, answer: ReplicaAnswer, out: &mut Vec<ReplicaAction>) {
        if id != INTERNAL_REQUEST {
            out.push(ReplicaAction::Answer { id, answer });
        }
    }
}
