//! The state machine that chooses a server for each call.

use {
    super::{
        ActiveCall, Call, DispatchAction, DispatchEvent, DispatchOptions, Measurement, ServerNotice, ServerView,
        ServiceState,
    },
    crate::{
        collections::{FastMap, FastSet},
        config::{BalancingPolicy, Configuration},
        health::Eligibility,
        ids::{CallId, InstanceId, ServiceId},
        outcome::NotRunReason,
        slots::{NameHash, SlotCounters, SlotMessage, Slots, name_hash},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval at which expired leases and ejections are checked.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds of messages of an instance to itself that one event may cause. This only guards against an endless
/// loop and is not reached.
const MAX_LOCAL_ROUNDS: usize = 16;

/// Chooses a server for each call of one instance.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) options: DispatchOptions,
    pub(super) rng: SmallRng,
    pub(super) config: Arc<Configuration>,
    pub(super) slots: Slots,
    pub(super) services: FastMap<NameHash, ServiceState>,
    pub(super) calls: FastMap<CallId, ActiveCall>,
    /// Services with waiting calls.
    pub(super) backlogged: BTreeSet<NameHash>,
    /// Times at which waiting calls expire.
    pub(super) expiries: BinaryHeap<Reverse<(Instant, CallId)>>,
    pub(super) waiting: usize,
    /// Services that share the servers' slots by permits.
    pub(super) permit_services: FastSet<NameHash>,
    pub(super) measurement: Measurement,
    messages: Vec<(InstanceId, SlotMessage)>,
    reviewed_at: Option<Instant>,
}

impl Dispatcher {
    /// Creates a dispatcher without a configuration, servers or peers.
    ///
    /// ```
    /// use {
    ///     hemlockford_core::dispatch::{DispatchOptions, Dispatcher},
    ///     rand::{SeedableRng, rngs::SmallRng},
    /// };
    /// let options = DispatchOptions { id: "entry-1".into(), roster: 6, ..DispatchOptions::default() };
    /// let dispatcher = Dispatcher::new(options, SmallRng::seed_from_u64(1));
    /// assert_eq!(dispatcher.waiting(), 0);
    /// ```
    pub fn new(options: DispatchOptions, mut rng: SmallRng) -> Self {
        let slots_rng = SmallRng::from_rng(&mut rng);
        Self {
            slots: Slots::new(options.id.clone(), options.incarnation, options.roster, slots_rng),
            options,
            rng,
            config: Arc::default(),
            services: FastMap::default(),
            calls: FastMap::default(),
            backlogged: BTreeSet::new(),
            expiries: BinaryHeap::new(),
            waiting: 0,
            permit_services: FastSet::default(),
            measurement: Measurement::default(),
            messages: Vec::new(),
            reviewed_at: None,
        }
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Instant, event: DispatchEvent, actions: &mut Vec<DispatchAction>) {
        self.slots.begin_event(now);
        self.measurement.start(now, self.options.incarnation);
        match event {
            DispatchEvent::Arrive(call) => self.arrive(now, call, actions),
            DispatchEvent::AttemptFinished(finish) => self.finish(now, &finish, actions),
            DispatchEvent::Cancel(call) => self.cancel(now, call, actions),
            DispatchEvent::Servers(service, servers) => self.set_servers(now, &service, servers, actions),
            DispatchEvent::Peers(peers) => self.slots.set_peers(now, peers),
            // The entries of a roster know each other by name. They neither exchange suspected requests nor relay calls.
            DispatchEvent::Position(_)
            | DispatchEvent::Connection { .. }
            | DispatchEvent::PathChecked { .. }
            | DispatchEvent::Relays(_)
            | DispatchEvent::Crash { .. }
            | DispatchEvent::Answered(_)
            | DispatchEvent::Suspects(_)
            | DispatchEvent::Credit { .. }
            | DispatchEvent::AcceptsCopy(_) => {}
            DispatchEvent::PeerMessage { from, message } => {
                self.slots.receive(now, &from, &message);
                self.apply_shares(now);
                self.dispatch_all_waiting(now, actions);
            }
            DispatchEvent::Configure(config) => self.configure(now, config, actions),
            DispatchEvent::ProbeFinished { probe, latency, report, warm_up: _, ok } => {
                self.finish_probe(now, probe, latency, report, ok);
            }
            DispatchEvent::Notice { server, address, notice } => {
                self.record_notice(now, name_hash(&server), address, notice, actions);
            }
            DispatchEvent::Tick => {
                self.slots.tick(now);
                self.reject_expired(now, actions);
                self.review_servers(now, actions);
                self.dispatch_all_waiting(now, actions);
            }
        }
        self.exchange_messages(now, actions);
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of calls that are waiting or in flight.
    pub fn active(&self) -> usize {
        self.calls.len()
    }

    /// Returns the counters of slot sharing.
    pub fn slot_counters(&self) -> SlotCounters {
        self.slots.counters()
    }

    /// Returns the number of permits for a server that this entry may use now, in use or not.
    pub fn permits(&self, now: Instant, service: &str, server: &str) -> u32 {
        self.slots.permits(now, name_hash(service), name_hash(server))
    }

    /// Returns the instance that this entry takes for the coordinator of a service.
    pub fn coordinator(&self, service: &str) -> Option<&InstanceId> {
        self.slots.coordinator(name_hash(service))
    }

    fn arrive(&mut self, now: Instant, call: Call, actions: &mut Vec<DispatchAction>) {
        let service = name_hash(&call.service);
        let Some(settings) = self.config.services.get(&call.service) else {
            return self.reject_new(now, &call, NotRunReason::UnknownService, actions);
        };
        let (policy, has_dependencies) = (settings.policy, !settings.dependencies.is_empty());
        let state = self.services.entry(service).or_insert_with(|| ServiceState::new(self.options.data_centre.clone()));
        if call.depth == 0 {
            state.retry_budget.record_call(now);
        }
        state.record_arrival(now, call.upload);
        let has_retry_token =
            call.retry_allowance || call.depth == 0 && has_dependencies && state.retry_budget.try_issue(now);
        let is_served = !state.servers.ready().is_empty() && state.servers.pause_end(now).is_none();
        let active = ActiveCall {
            call,
            service,
            server: None,
            tried: Vec::new(),
            unknown_reason: None,
            has_retry_token,
            token_forwarded: false,
            report_requested: false,
        };
        if !is_served {
            return self.reject_new(now, &active.call, NotRunReason::NoServer, actions);
        }
        match policy {
            BalancingPolicy::Permits => self.admit(now, active, actions),
            BalancingPolicy::Random | BalancingPolicy::RoundRobin | BalancingPolicy::LeastInFlight => {
                match self.choose(now, &active, policy) {
                    Some(server) => self.send(now, active, server, actions),
                    None => self.reject_new(now, &active.call, NotRunReason::NoServer, actions),
                }
            }
        }
    }

    /// Chooses a server for a call; `None` if no server can take it now.
    pub(super) fn choose(&mut self, now: Instant, active: &ActiveCall, policy: BalancingPolicy) -> Option<NameHash> {
        let state = self.services.get_mut(&active.service)?;
        let tried = &active.tried;
        match policy {
            BalancingPolicy::Permits => {
                let free = self.slots.free_servers(now, active.service);
                state.servers.pick_permitted(now, free, tried, &mut state.health, &mut self.rng)
            }
            BalancingPolicy::Random => state.servers.pick_random(now, tried, &mut self.rng),
            BalancingPolicy::RoundRobin => state.servers.pick_round_robin(now, tried),
            BalancingPolicy::LeastInFlight => state.servers.pick_least_loaded(now, tried),
        }
    }

    /// Sends a call to a server.
    pub(super) fn send(
        &mut self,
        now: Instant,
        mut active: ActiveCall,
        server: NameHash,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.services.get_mut(&active.service) else { return };
        let Some(view) = state.servers.view(server) else { return };
        let is_retry = !active.tried.is_empty();
        let has_dependencies =
            self.config.services.get(&active.call.service).is_some_and(|service| !service.dependencies.is_empty());
        let forwards_token = active.has_retry_token && crate::retry::forwards_token(has_dependencies, is_retry);
        active.token_forwarded |= forwards_token;
        active.report_requested =
            self.permit_services.contains(&active.service) && self.measurement.request_report(now, &view.id);
        actions.push(DispatchAction::Send {
            call: active.call.id,
            server: view.id.clone(),
            address: view.address,
            fresh_connection: !active.call.idempotent,
            pass_allowance: forwards_token,
            want_report: active.report_requested,
        });
        let is_trial = state.health.eligibility(now, &view.id) == Eligibility::Trial;
        if is_trial {
            state.health.begin_trial(now, &view.id);
        }
        state.servers.update_load(server, true, &mut self.rng);
        state.start_call(&active.call.customer, active.call.upload);
        self.slots.start_call(now, active.service, server);
        let service = active.service;
        active.server = Some(server);
        self.calls.insert(active.call.id, active);
        let is_closed =
            is_trial && self.services.get_mut(&service).is_some_and(|state| state.update_ejected(now, server));
        if is_closed {
            // The server gets no other call during the trial, so this entry has no use for permits for it.
            self.update_open_servers(now, service);
        }
    }

    fn set_servers(
        &mut self,
        now: Instant,
        name: &ServiceId,
        views: Vec<ServerView>,
        actions: &mut Vec<DispatchAction>,
    ) {
        let service = name_hash(name);
        let state = self.services.entry(service).or_insert_with(|| ServiceState::new(self.options.data_centre.clone()));
        let before: Vec<_> = state.servers.views().map(|view| view.id.clone()).collect();
        for view in &views {
            state.health.add_server(now, &view.id, view.ready_since);
            state.health.update_server(now, &view.id, &view.data_centre, view.slots);
        }
        state.servers.replace(views, &mut self.rng);
        for gone in before.iter().filter(|id| state.servers.view(name_hash(id)).is_none()) {
            state.health.remove_server(gone);
            self.measurement.remove_server(gone);
        }
        let is_served = !state.servers.ready().is_empty();
        self.update_open_servers(now, service);
        self.update_measure_limits(now);
        if is_served {
            self.dispatch_waiting(now, service, actions);
        } else {
            self.reject_waiting(now, service, NotRunReason::NoServer, actions);
        }
    }

    /// Excludes a server that asked for no further calls. If no other server is left, waiting calls are rejected.
    fn record_notice(
        &mut self,
        now: Instant,
        server: NameHash,
        address: SocketAddr,
        notice: ServerNotice,
        actions: &mut Vec<DispatchAction>,
    ) {
        let services: Vec<_> = self.services.keys().copied().collect();
        for service in services {
            let Some(state) = self.services.get_mut(&service) else { continue };
            if !state.servers.record_notice(now, server, address, notice) {
                continue;
            }
            let is_served = !state.servers.ready().is_empty() && state.servers.pause_end(now).is_none();
            self.update_open_servers(now, service);
            if !is_served {
                self.reject_waiting(now, service, NotRunReason::NoServer, actions);
            }
        }
    }

    /// Passes the servers that are open for new calls to the slot sharing.
    pub(super) fn update_open_servers(&mut self, now: Instant, service: NameHash) {
        if self.permit_services.contains(&service)
            && let Some(state) = self.services.get(&service)
        {
            self.slots.set_servers(now, service, state.servers.open(now));
        }
    }

    fn configure(&mut self, now: Instant, config: Arc<Configuration>, actions: &mut Vec<DispatchAction>) {
        self.config = config.clone();
        self.permit_services.clear();
        let mut known: BTreeMap<NameHash, BalancingPolicy> = BTreeMap::new();
        for (name, service) in &config.services {
            let key_of = name_hash(name);
            known.insert(key_of, service.policy);
            let state =
                self.services.entry(key_of).or_insert_with(|| ServiceState::new(self.options.data_centre.clone()));
            state.retry_budget.set_share(service.retry_budget);
            state.health_path.clone_from(&service.health_path);
            let named = config.customers.keys().chain(service.customer_weights.keys());
            let weights = named.map(|customer| (name_hash(customer), config.customer_weight(name, customer))).collect();
            if service.policy == BalancingPolicy::Permits {
                self.permit_services.insert(key_of);
                self.slots.set_service(now, key_of, weights);
            }
        }
        self.slots.retain_services(&self.permit_services);
        self.measurement.retain(&self.permit_services);
        self.update_measure_limits(now);
        for service in self.backlogged.clone() {
            match known.get(&service) {
                Some(BalancingPolicy::Permits) => {}
                Some(policy) => self.flush_waiting(now, service, *policy, actions),
                None => self.reject_waiting(now, service, NotRunReason::UnknownService, actions),
            }
        }
        for service in known.into_keys() {
            self.update_open_servers(now, service);
        }
    }

    /// Sends every waiting call of a service whose policy no longer queues calls.
    fn flush_waiting(
        &mut self,
        now: Instant,
        service: NameHash,
        policy: BalancingPolicy,
        actions: &mut Vec<DispatchAction>,
    ) {
        for call in self.remove_waiting(service) {
            match self.choose(now, &call, policy) {
                Some(server) => self.send(now, call, server, actions),
                None => self.reject(now, &call, NotRunReason::NoServer, actions),
            }
        }
    }

    /// Checks for expired leases, due trials of ejected servers and servers with stale estimates.
    fn review_servers(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        if self.reviewed_at.is_some_and(|at| now < at + REVIEW_INTERVAL) {
            return;
        }
        self.reviewed_at = Some(now);
        let mut services: Vec<_> = self.services.keys().copied().collect();
        services.sort_unstable();
        for service in services {
            let Some(state) = self.services.get_mut(&service) else { continue };
            state.health.set_demand(now, self.slots.slots_in_use(service));
            for server in state.servers.ejected.clone() {
                state.update_ejected(now, server);
            }
            self.update_open_servers(now, service);
        }
        self.update_measure_limits(now);
        self.probe_stale_servers(now, actions);
    }

    /// Sends the slot messages that are due; messages to this instance itself are processed immediately.
    fn exchange_messages(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        for _ in 0..MAX_LOCAL_ROUNDS {
            let services = &self.services;
            let demand = |service| services.get(&service).map(ServiceState::demand).unwrap_or_default();
            self.slots.flush(now, &demand, &mut self.messages);
            let mut is_local = false;
            for (to, message) in std::mem::take(&mut self.messages) {
                if to == self.options.id {
                    self.slots.receive(now, &to, &message);
                    is_local = true;
                } else {
                    actions.push(DispatchAction::SendMessage { to, message });
                }
            }
            if !is_local {
                return;
            }
            self.apply_shares(now);
            self.dispatch_all_waiting(now, actions);
        }
    }
}
