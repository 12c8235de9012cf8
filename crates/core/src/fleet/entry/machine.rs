//! State machine of an entry's link to the replicas.

use {
    super::{
        CreditRoute, EntryAction, EntryEvent, EntryOptions, KnownReplicas, MissingChange, ReceivedConfig,
        ReplicaSearch, SentPolls, ServerSet, Statements,
    },
    crate::{
        config::LEVEL,
        fleet::{DirectoryRevision, FleetLogEvent, FleetMessage, Poll, PollResponse, Servers, bounds::Bounds},
        ids::{ChangeNumber, Incarnation, InstanceId},
        quarantine::SuspectTable,
    },
    rand::{RngExt, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Time without a current replica after which new servers are accepted from one that is not current. A running
/// majority would have been found by then, so no departure that the replica lacks has been acknowledged.
const ACCEPT_STALE_AFTER: Duration = Duration::from_secs(3);
/// Time after the start during which a current replica is searched for at short intervals.
const FAST_SEARCH_AFTER_START: Duration = Duration::from_secs(3);
/// Time after a loss of contact during which a current replica is searched for at short intervals.
const FAST_SEARCH_AFTER_LOSS: Duration = Duration::from_secs(1);
/// Interval between probes of a replica that is preferred over the one in use.
const PREFERRED_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Revision of a replica's directory that has been received.
#[derive(Clone, Debug)]
struct SyncedRevision {
    replica: InstanceId,
    revision: DirectoryRevision,
}

/// Finds a current replica, polls it, and installs its configuration and servers in the entry.
///
/// ```
/// use {
///     hemlockford_core::fleet::{EntryAction, EntryEvent, EntryLink, EntryOptions, FleetMessage},
///     rand::{SeedableRng, rngs::SmallRng},
///     std::time::Instant,
/// };
/// let now = Instant::now();
/// let options = EntryOptions { id: "e".into(), seeds: vec!["r".into()], ..Default::default() };
/// let mut link = EntryLink::new(now, options, SmallRng::seed_from_u64(1));
/// let mut actions = Vec::new();
/// link.handle(now, EntryEvent::Tick, &mut actions);
/// let is_poll = |action: &EntryAction| matches!(action, EntryAction::Send { message: FleetMessage::Poll(_), .. });
/// assert!(actions.iter().any(is_poll));
/// ```
pub struct EntryLink {
    pub(super) options: EntryOptions,
    known: KnownReplicas,
    polls: SentPolls,
    servers: ServerSet,
    /// Replica in use.
    replica: Option<InstanceId>,
    /// First poll sent to the replica in use. Full directories are only accepted in answer to this or a later poll.
    min_poll: u64,
    /// Statements of what this entry reads to the replica in use.
    statements: Statements,
    /// Send time of the last poll that the replica in use answered as current.
    last_current_at: Option<Instant>,
    search: Option<ReplicaSearch>,
    started: Instant,
    pub(super) next_poll: Instant,
    next_preferred_probe: Instant,
    synced: Option<SyncedRevision>,
    pub(super) config: ReceivedConfig,
    /// Newest change reported by the replica in use.
    required_change: Option<ChangeNumber>,
    pub(super) missing_change: Option<MissingChange>,
    entries: u32,
    position: Option<u32>,
    /// Requests under which servers ended, as far as this entry knows.
    pub(super) suspects: SuspectTable,
    pub(super) credit_route: CreditRoute,
    is_ready: bool,
}

impl EntryLink {
    /// Creates a link that only knows the seeds.
    pub fn new(now: Instant, options: EntryOptions, mut rng: SmallRng) -> Self {
        let known = KnownReplicas::new(now, options.id.clone(), options.data_centre.clone(), options.seeds.clone());
        // The incarnation makes the numbers of two runs differ even if they use the same random seed.
        let first = (rng.random::<u64>() >> 1) ^ (options.incarnation << 24);
        Self {
            known,
            polls: SentPolls::new(first),
            servers: ServerSet::default(),
            replica: None,
            min_poll: first,
            statements: Statements::default(),
            last_current_at: None,
            search: Some(ReplicaSearch::new(now, now + FAST_SEARCH_AFTER_START)),
            started: now,
            next_poll: now,
            next_preferred_probe: now + PREFERRED_PROBE_INTERVAL,
            synced: None,
            config: ReceivedConfig::default(),
            required_change: None,
            missing_change: None,
            entries: 0,
            position: None,
            suspects: SuspectTable::default(),
            credit_route: CreditRoute::default(),
            is_ready: false,
            options,
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: EntryEvent, out: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Tick => {}
            EntryEvent::Receive { from, incarnation, message } => {
                let (message, event) = Bounds::apply(&from, message);
                out.extend(event.map(EntryAction::Log));
                if let Some(message) = message
                    && self.known.record_message(now, &from, incarnation)
                {
                    self.receive(now, from, incarnation, message, out);
                }
            }
            EntryEvent::Parsed { number, config } => {
                self.handle_parsed(number, config, out);
                self.check_ready(out);
            }
            EntryEvent::ServerLeaving(server) => self.servers.report_leaving(server),
            EntryEvent::Stopping => self.options.relay = None,
            EntryEvent::Suspect(record) => self.report_suspect(now, record, out),
            EntryEvent::Credit(request) => self.request_credit(now, request, out),
            EntryEvent::Seeds(seeds) => self.known.set_seeds(now, seeds),
        }
        self.tick(now, out);
        for (service, views) in self.servers.take_changed(now, self.options.slow_start) {
            out.push(EntryAction::ServersChanged(service, views));
        }
    }

    /// Returns the time of the next required `Tick`.
    pub fn next_wake(&self) -> Option<Instant> {
        let lost_at = self.last_current_at.map(|at| at + self.options.switch_after);
        let search = match &self.search {
            Some(search) => Some(search.next_wake()),
            None => lost_at,
        };
        let poll = self.replica.as_ref().map(|_| self.next_poll);
        // No servers are removed without a current replica.
        let removal = self.servers.next_removal().filter(|_| self.search.is_none());
        [search, poll, removal].into_iter().flatten().min()
    }

    /// Returns the replica in use.
    pub fn replica(&self) -> Option<&InstanceId> {
        self.replica.as_ref()
    }

    /// Returns whether the replica in use has recently answered as current.
    pub fn is_current(&self, now: Instant) -> bool {
        self.last_current_at.is_some_and(|at| now.saturating_duration_since(at) < self.options.switch_after)
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<EntryAction>) {
        if self.search.is_none() && !self.is_current(now) {
            out.push(EntryAction::Log(FleetLogEvent::NoCurrentReplica));
            self.search = Some(ReplicaSearch::new(
                now,
                (self.started + FAST_SEARCH_AFTER_START).max(now + FAST_SEARCH_AFTER_LOSS),
            ));
            // The replica in use is polled again together with the others, in case only polls were lost.
            self.next_poll = now;
        }
        if self.search.is_none() {
            self.servers.remove_absent(now);
        }
        if let Some((name, polled_at)) = self.search.as_ref().and_then(|search| search.selected(now)) {
            self.use_replica(now, name, polled_at, out);
        }
        if let Some(search) = &mut self.search {
            let mut names = search.round(now, &self.known.preferred());
            names.retain(|name| Some(name) != self.replica.as_ref());
            for name in names {
                self.poll(now, name, true, out);
            }
        } else if now >= self.next_preferred_probe {
            self.next_preferred_probe = now + PREFERRED_PROBE_INTERVAL;
            self.probe_preferred(now, out);
        }
        if now >= self.next_poll
            && let Some(replica) = self.replica.clone()
        {
            let interval = self.search.as_ref().map(|search| search.interval(now));
            self.next_poll =
                now + interval.map_or(self.options.poll_interval, |interval| interval.min(self.options.poll_interval));
            self.poll(now, replica, false, out);
        }
    }

    /// Probes the most preferred replica if it is not in use.
    fn probe_preferred(&mut self, now: Instant, out: &mut Vec<EntryAction>) {
        let preferred = self.known.preferred().into_iter().next();
        if let Some(name) = preferred.filter(|name| Some(name) != self.replica.as_ref()) {
            self.poll(now, name, true, out);
        }
    }

    fn poll(&mut self, now: Instant, to: InstanceId, is_probe: bool, out: &mut Vec<EntryAction>) {
        let sequence = self.polls.record(now, to.clone());
        let known = self.synced.as_ref().filter(|synced| synced.replica == to).map(|synced| synced.revision);
        let leaving = if is_probe { Vec::new() } else { self.servers.leaving() };
        let poll = Poll {
            sequence,
            change: self.config.number(),
            known,
            is_probe,
            leaving,
            suspects: self.suspects.digest(),
            relay: self.options.relay,
        };
        if !is_probe && self.statements.is_due() {
            let message = FleetMessage::Capabilities { level: LEVEL };
            out.push(EntryAction::Send { to: to.clone(), message });
        }
        out.push(EntryAction::Send { to, message: FleetMessage::Poll(poll) });
    }

    fn use_replica(&mut self, now: Instant, name: InstanceId, polled_at: Instant, out: &mut Vec<EntryAction>) {
        self.search = None;
        self.last_current_at = Some(polled_at);
        if self.replica.as_ref() == Some(&name) {
            return;
        }
        self.replica = Some(name.clone());
        self.min_poll = self.polls.next_sequence();
        self.statements = Statements::default();
        self.required_change = None;
        // The first poll is sent immediately to request the directory.
        self.next_poll = now;
        out.push(EntryAction::Log(FleetLogEvent::ReplicaSelected(name)));
    }

    fn receive(
        &mut self,
        now: Instant,
        from: InstanceId,
        incarnation: Incarnation,
        message: FleetMessage,
        out: &mut Vec<EntryAction>,
    ) {
        if self.replica.as_ref() == Some(&from) {
            self.statements.record_incarnation(incarnation);
        }
        match message {
            FleetMessage::PollResponse(response) => self.handle_poll_response(now, from, response, out),
            // A committed change is the same on every replica, so the sender does not matter.
            FleetMessage::Install(update) => self.install(now, &update, out),
            FleetMessage::Servers(servers) => self.handle_servers(now, &from, incarnation, servers),
            FleetMessage::Suspects(suspects) => self.handle_suspects(now, from, suspects, out),
            FleetMessage::CreditResponse(response) => self.handle_credit(from, response, out),
            FleetMessage::Poll(_)
            | FleetMessage::Consensus(_)
            | FleetMessage::StatusRequest(_)
            | FleetMessage::StatusResponse(_)
            | FleetMessage::Records(_)
            | FleetMessage::RecordRequest(_)
            | FleetMessage::Request { .. }
            | FleetMessage::Reply { .. }
            | FleetMessage::Outdated(_)
            | FleetMessage::CreditRequest(_)
            | FleetMessage::Capabilities { .. } => {}
        }
        self.check_ready(out);
    }

    fn handle_poll_response(
        &mut self,
        now: Instant,
        from: InstanceId,
        mut response: PollResponse,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(polled_at) = self.polls.sent_at(response.echo, &from) else { return };
        let own =
            crate::fleet::ReplicaName { id: from.clone(), data_centre: std::mem::take(&mut response.data_centre) };
        for name in std::mem::take(&mut response.replicas).into_iter().chain([own]) {
            self.known.learn(now, name);
        }
        self.pass_on_relays(std::mem::take(&mut response.relays), out);
        let is_fresh = now.saturating_duration_since(polled_at) < self.options.switch_after;
        if !response.is_current || !is_fresh {
            return;
        }
        if self.replica.as_ref() == Some(&from) {
            self.last_current_at = self.last_current_at.max(Some(polled_at));
            self.search = None;
            self.required_change = self.required_change.max(Some(response.change));
            self.check_overdue(now, response.change, out);
            // A replica that has just started has not been polled by all entries yet.
            if response.is_complete && response.entries.max(1) != self.entries {
                self.entries = response.entries.max(1);
                out.push(EntryAction::LiveEntries(self.entries));
            }
            if response.is_complete && self.position != Some(response.position) {
                self.position = Some(response.position);
                out.push(EntryAction::Position(response.position));
            }
            return;
        }
        let is_preferred = self.replica.as_ref().is_none_or(|used| self.known.rank(&from) < self.known.rank(used));
        match &mut self.search {
            Some(_) if self.replica.is_none() && self.known.is_local(&from) => {
                self.use_replica(now, from, polled_at, out);
            }
            Some(search) => search.add_candidate(now, self.known.rank(&from), from, polled_at),
            None if is_preferred && response.is_complete => self.use_replica(now, from, polled_at, out),
            None => {}
        }
    }

    /// Logs once that a change which the replica has named does not arrive.
    fn check_overdue(&mut self, now: Instant, number: ChangeNumber, out: &mut Vec<EntryAction>) {
        if number <= self.config.number() {
            self.missing_change = None;
            return;
        }
        let missing = self.missing_change.get_or_insert_with(|| MissingChange::new(now, number));
        if let Some(overdue) = missing.take_overdue(now) {
            out.push(EntryAction::Log(FleetLogEvent::ChangeOverdue(overdue)));
        }
    }

    fn handle_servers(&mut self, now: Instant, from: &InstanceId, incarnation: Incarnation, servers: Servers) {
        // Every reported departure is committed, so the sender does not matter.
        for (server, incarnation) in servers.departed {
            self.servers.mark_departed(now, server, incarnation);
        }
        let accepts_stale =
            now.saturating_duration_since(self.last_current_at.unwrap_or(self.started)) >= ACCEPT_STALE_AFTER;
        if self.replica.as_ref() != Some(from) || !servers.is_current && !accepts_stale {
            return;
        }
        let is_complete = servers.is_current && servers.is_complete;
        let synced =
            self.synced.as_ref().filter(|synced| synced.replica == *from && synced.revision.incarnation == incarnation);
        let synced = synced.map(|synced| synced.revision);
        let is_exact = match servers.from {
            Some(from) => {
                let Some(synced) = synced.filter(|synced| synced.revision == from && servers.to > from) else { return };
                synced.is_exact && (is_complete || servers.removed.is_empty())
            }
            None => {
                let answers = servers.echo.filter(|echo| *echo >= self.min_poll);
                let Some(_) = answers.and_then(|echo| self.polls.sent_at(echo, from)) else { return };
                // A directory that was overtaken by a newer update is outdated.
                let is_overtaken = |synced: DirectoryRevision| {
                    synced.revision > servers.to || synced.revision == servers.to && synced.is_exact
                };
                if synced.is_some_and(is_overtaken) {
                    return;
                }
                if is_complete {
                    self.servers.mark_absent(now, &servers.usable);
                }
                is_complete
            }
        };
        if is_complete {
            for server in &servers.removed {
                self.servers.apply_removal(now, server);
            }
        }
        for server in servers.usable {
            self.servers.add(now, server, is_complete);
        }
        let revision = DirectoryRevision { incarnation, revision: servers.to, is_exact };
        self.synced = Some(SyncedRevision { replica: from.clone(), revision });
    }

    fn check_ready(&mut self, out: &mut Vec<EntryAction>) {
        let is_synced = self
            .synced
            .as_ref()
            .is_some_and(|synced| synced.revision.is_exact && Some(&synced.replica) == self.replica.as_ref());
        let is_newest = self.required_change.is_some_and(|required_change| self.config.is_settled(required_change));
        if !self.is_ready && is_synced && is_newest {
            self.is_ready = true;
            out.push(EntryAction::Ready(true));
        }
    }
}
