//! The state machine that chooses a server for each call at an entry of a fleet.

use {
    super::{
        ActiveCall, BalancerOptions, CreditQueue, EntryCount, FleetPosition, HedgeCounts, Relays, RunningProbe,
        ServiceState, Stage, WarmUpRule,
        service::{MAX_RETRY_AFTER, MIN_RETRY_AFTER},
    },
    crate::{
        collections::FastMap,
        config::Configuration,
        dispatch::{Call, DispatchAction, DispatchEvent, ServerNotice, ServerView},
        ids::{CallId, ServiceId},
        outcome::NotRunReason,
        quarantine::SuspectTable,
        slots::{NameHash, name_hash},
    },
    rand::{RngExt, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        net::SocketAddr,
        sync::Arc,
        time::Instant,
    },
};

/// Some calls take only this share of the mean work. A call with less time left is not sent.
const MIN_WORK_SHARE: f64 = 0.5;

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The end of a call's probe round or of its time in the queue.
    Call(CallId),
    /// The next probes for the waiting calls of a service.
    Service(NameHash),
}

/// Chooses a server for each call at one entry of a fleet.
#[derive(Debug)]
pub struct Balancer {
    pub(super) options: BalancerOptions,
    pub(super) rng: SmallRng,
    pub(super) config: Option<Arc<Configuration>>,
    /// Paths on which the servers of each service answer probes.
    pub(super) health_paths: FastMap<NameHash, Box<str>>,
    /// Number of live entries, including this one.
    pub(super) entries: EntryCount,
    /// Index of this entry among the live ones, once a replica has stated it.
    pub(super) index: Option<usize>,
    pub(super) services: FastMap<NameHash, ServiceState>,
    pub(super) calls: FastMap<CallId, ActiveCall>,
    pub(super) probes: BTreeMap<u64, RunningProbe>,
    pub(super) last_probe: u64,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    pub(super) waiting: usize,
    /// Entries to which this one passes calls on if it has lost the path to the servers.
    pub(super) relays: Relays,
    /// Requests under which servers ended, as far as this entry knows.
    pub(super) suspects: SuspectTable,
    /// Credit of customers with a limit.
    pub(super) credit: CreditQueue,
    /// Second copies that were sent and refused so far.
    pub(super) hedge_counts: HedgeCounts,
}

impl Balancer {
    /// Creates a balancer without a configuration or servers.
    ///
    /// ```
    /// use {
    ///     hemlockford_core::probing::{Balancer, BalancerOptions},
    ///     rand::{SeedableRng, rngs::SmallRng},
    /// };
    /// let options = BalancerOptions { data_centre: "brno-1".into(), ..BalancerOptions::default() };
    /// let balancer = Balancer::new(options, SmallRng::seed_from_u64(1));
    /// assert_eq!(balancer.next_wake(), None);
    /// ```
    pub fn new(options: BalancerOptions, mut rng: SmallRng) -> Self {
        Self {
            credit: CreditQueue::new(options.quota, &mut rng),
            entries: EntryCount::assumed(options.assumed_entries),
            index: None,
            options,
            rng,
            config: None,
            health_paths: FastMap::default(),
            services: FastMap::default(),
            calls: FastMap::default(),
            probes: BTreeMap::new(),
            last_probe: 0,
            timers: BinaryHeap::new(),
            waiting: 0,
            relays: Relays::default(),
            suspects: SuspectTable::default(),
            hedge_counts: HedgeCounts::default(),
        }
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Instant, event: DispatchEvent, actions: &mut Vec<DispatchAction>) {
        match event {
            DispatchEvent::Arrive(call) => self.arrive(now, call, actions),
            DispatchEvent::AttemptFinished(finish) => self.finish(now, &finish, actions),
            DispatchEvent::Cancel(call) => self.cancel(now, call, actions),
            DispatchEvent::Servers(service, views) => self.set_servers(now, &service, views, actions),
            DispatchEvent::Peers(peers) => {
                self.entries.update(now, peers.len());
                self.divide_limits(now);
            }
            DispatchEvent::Position(index) => {
                self.index = Some(index);
                self.credit.set_index(index);
                self.divide_limits(now);
            }
            // Entries of a fleet do not send each other messages.
            DispatchEvent::PeerMessage { .. } => {}
            DispatchEvent::Configure(config) => {
                let paths =
                    config.services.iter().map(|(name, service)| (name_hash(name), service.health_path.clone()));
                self.health_paths = paths.collect();
                self.set_limits(now, &config, actions);
                self.config = Some(config);
                self.set_warm_up_rules(now);
            }
            DispatchEvent::ProbeFinished { probe, latency: _, report, warm_up, ok } => {
                self.finish_probe(now, probe, (report.filter(|_| ok), warm_up), actions);
            }
            DispatchEvent::Notice { server, address, notice } => {
                self.record_notice(now, name_hash(&server), address, notice, actions);
            }
            DispatchEvent::Connection { server, is_open } => self.record_connection(now, &server, is_open, actions),
            DispatchEvent::PathChecked { server, is_open } => {
                self.finish_path_check(now, &server, is_open, actions);
            }
            DispatchEvent::Relays(addresses) => self.relays.update(now, addresses),
            DispatchEvent::Crash { call, server, request } => self.record_crash(now, call, &server, request, actions),
            DispatchEvent::Answered(request) => self.clear_suspect(now, request, actions),
            DispatchEvent::Suspects(records) => self.merge_suspects(now, &records, actions),
            DispatchEvent::Credit { from, response } => self.receive_credit(now, &from, &response, actions),
            DispatchEvent::AcceptsCopy(call) => self.schedule_copy(now, call),
            DispatchEvent::Tick => {}
        }
        self.remove_expired_suspects(now, actions);
        self.run_timers(now, actions);
        self.credit.request(now, actions);
    }

    /// Returns the number of calls in queues.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of calls that are waiting or in flight.
    pub fn active(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of requests that are not sent to servers because several ended under them.
    pub fn quarantined(&self, now: Instant) -> usize {
        self.suspects.quarantined(now)
    }

    /// Returns the time at which a [`DispatchEvent::Tick`] is needed if no other event comes first.
    pub fn next_wake(&self) -> Option<Instant> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        [timer, self.credit.next_wake()].into_iter().flatten().min()
    }

    pub(super) fn set_timer(&mut self, at: Instant, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    fn run_timers(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            let is_valid = self.is_timer_valid(at, timer);
            if is_valid && at > now {
                return;
            }
            self.timers.pop();
            match timer {
                _ if !is_valid => {}
                Timer::Call(call) => self.on_call_timer(now, call, actions),
                Timer::Service(service) => self.probe_for_waiting(now, service, actions),
            }
        }
    }

    /// Returns whether the state for which a timer was set still exists.
    fn is_timer_valid(&self, at: Instant, timer: Timer) -> bool {
        match timer {
            Timer::Call(call) => self.calls.get(&call).is_some_and(|active| match &active.stage {
                Stage::AwaitingCredit { until } | Stage::Probing { until, .. } | Stage::Waiting { until } => {
                    *until == at
                }
                Stage::Running { hedge, .. } => hedge.is_some_and(|hedge| hedge.at() == at),
                Stage::Relayed { .. } => false,
            }),
            Timer::Service(service) => self.services.get(&service).is_some_and(|state| state.next_review == Some(at)),
        }
    }

    fn on_call_timer(&mut self, now: Instant, call: CallId, actions: &mut Vec<DispatchAction>) {
        match self.calls.get(&call).map(|active| &active.stage) {
            Some(Stage::AwaitingCredit { .. }) => self.on_credit_timeout(now, call, actions),
            Some(Stage::Probing { .. }) => self.finish_round(now, call, true, actions),
            Some(Stage::Waiting { .. }) => self.on_wait_expired(now, call, actions),
            Some(Stage::Running { .. }) => self.on_hedge_timer(now, call, actions),
            Some(Stage::Relayed { .. }) | None => {}
        }
    }

    fn arrive(&mut self, now: Instant, call: Call, actions: &mut Vec<DispatchAction>) {
        let service = name_hash(&call.service);
        let active = ActiveCall {
            call,
            service,
            arrived_at: now,
            missed_objective: false,
            stage: Stage::Waiting { until: now },
            tried: Vec::new(),
            relays: Vec::new(),
            unknown_reason: None,
            rejection_reason: NotRunReason::NoServer,
            credit: None,
            spent_credit: None,
        };
        let is_known = self.config.as_ref().is_none_or(|config| config.services.contains_key(&active.call.service));
        if !is_known {
            return self.reject(now, &active, NotRunReason::UnknownService, actions);
        }
        let entries = self.entries.get(now, self.options.retry_window);
        let Some(state) = self.services.get_mut(&service) else {
            return self.reject(now, &active, NotRunReason::NoServer, actions);
        };
        state.baseline.record_arrival(now, entries, state.servers.len());
        // The entry that passed it on has counted it.
        if !active.call.relayed {
            state.retry_budget.record_request(now);
            if let Some(hedging) = &mut state.hedging {
                hedging.record_request(now);
            }
        }
        state.baseline.work.record_arrival(now, active.call.options.objective);
        if self.quarantine_wait(now, &active).is_some() {
            return self.reject(now, &active, NotRunReason::Quarantined, actions);
        }
        let Some(state) = self.services.get(&service) else { return };
        if !state.servers.iter().any(|server| server.is_available(now)) {
            return self.reject(now, &active, NotRunReason::NoServer, actions);
        }
        if !self.has_time(now, &active) {
            return self.reject(now, &active, NotRunReason::Deadline, actions);
        }
        self.check_path(now, service, actions);
        if active.call.relayed && self.is_path_lost(service) {
            return self.reject(now, &active, NotRunReason::NoServer, actions);
        }
        if let Some(active) = self.try_relay(now, active, actions) {
            self.admit(now, active, actions);
        }
    }

    /// Returns whether a call may still be answered by its deadline.
    pub(super) fn has_time(&self, now: Instant, active: &ActiveCall) -> bool {
        let Some(state) = self.services.get(&active.service) else { return false };
        let work = state.baseline.work.of(active.call.options.objective);
        let left = active.call.deadline.saturating_duration_since(now).as_secs_f64();
        left >= MIN_WORK_SHARE * work
    }

    fn set_servers(
        &mut self,
        now: Instant,
        name: &ServiceId,
        views: Vec<ServerView>,
        actions: &mut Vec<DispatchAction>,
    ) {
        let service = name_hash(name);
        let position = self.position(now);
        let rule = self.warm_up_rule(name);
        let state = self.services.entry(service).or_insert_with(|| ServiceState::new(&self.options));
        state.servers.set_warm_up_rule(now, rule, position);
        state.servers.replace(now, views, (&self.options.data_centre, position), &mut self.rng);
        if state.path.is_lost() {
            // If all servers have ended, the path is back with the first one that joins.
            state.path.hasten_check();
            self.check_path(now, service, actions);
        }
        self.dispatch_waiting(now, service, actions);
    }

    /// Returns the position of this entry, with the highest number of live entries reported lately.
    pub(super) fn position(&mut self, now: Instant) -> FleetPosition {
        FleetPosition {
            entries: self.entries.get(now, self.options.retry_window),
            index: self.index.unwrap_or(0),
            is_known: self.index.is_some(),
        }
    }

    /// Determines this entry's parts of the limits that servers have named.
    fn divide_limits(&mut self, now: Instant) {
        let position = self.position(now);
        self.services.values_mut().for_each(|state| state.servers.divide_limits(now, position));
    }

    fn warm_up_rule(&self, service: &str) -> Option<WarmUpRule> {
        let service = self.config.as_ref()?.services.get(service)?;
        WarmUpRule::new(service.warm_up, &self.options)
    }

    /// Applies the configured limits of cold servers.
    fn set_warm_up_rules(&mut self, now: Instant) {
        let Some(config) = self.config.clone() else { return };
        let position = self.position(now);
        for name in config.services.keys() {
            let rule = self.warm_up_rule(name);
            if let Some(state) = self.services.get_mut(&name_hash(name)) {
                state.servers.set_warm_up_rule(now, rule, position);
            }
        }
    }

    /// Excludes a server that asked for no further calls, or for fewer than this entry would send. Waiting calls for
    /// which no other server is left are rejected.
    fn record_notice(
        &mut self,
        now: Instant,
        server: NameHash,
        address: SocketAddr,
        notice: ServerNotice,
        actions: &mut Vec<DispatchAction>,
    ) {
        let position = self.position(now);
        let services: Vec<_> = self.services.keys().copied().collect();
        for service in services {
            let Some(state) = self.services.get_mut(&service) else { continue };
            if state.servers.record_notice(now, (server, address), notice, position, &mut self.rng) {
                self.dispatch_waiting(now, service, actions);
            }
        }
    }

    /// Rejects a call without a further attempt.
    pub(super) fn reject(
        &mut self,
        now: Instant,
        active: &ActiveCall,
        reason: NotRunReason,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.credit.give_back(now, active.credit);
        // The random factor keeps callers that were rejected together from coming back together.
        let jitter = self.rng.random_range(1.0..1.5);
        let objective = active.call.options.objective;
        let entries = self.entries.get(now, self.options.retry_window);
        let quarantine_wait = self.quarantine_wait(now, active).filter(|_| reason == NotRunReason::Quarantined);
        let state = self.services.get(&active.service);
        let pause_end = state.and_then(|state| state.servers.pause_end(now));
        let retry_after = match (pause_end, reason) {
            (_, NotRunReason::Quarantined) => quarantine_wait,
            (Some(end), _) => Some(end.saturating_duration_since(now).max(MIN_RETRY_AFTER)),
            (None, NotRunReason::UnknownService | NotRunReason::NoServer) => None,
            (None, _) => state.map(|state| state.retry_after(now, objective, entries, jitter)),
        };
        actions.push(DispatchAction::Reject {
            call: active.call.id,
            outcome: active.outcome(reason),
            retry_after: retry_after.unwrap_or(MAX_RETRY_AFTER),
        });
    }
}
