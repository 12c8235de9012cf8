//! The event loop of a simulated fleet.

use {
    super::{CallResult, CallStats, Cut, EntryBalancer, Fault, FleetOptions, SimulatedServer, event::Event},
    hemlockford_core::{
        collections::FastMap,
        dispatch::{AttemptResult, DispatchAction, DispatchEvent, ServerState, ServerView},
        ids::{CallId, InstanceId, ServerId},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

/// Time for which a server keeps an idle connection open.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Time after which a draining server is ready again.
const RESTART_TIME: Duration = Duration::from_secs(2);
const LEASE: Duration = Duration::from_secs(100_000);

/// A call of a caller.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) workload: usize,
    pub(super) entry: usize,
    /// When the caller made its first attempt, from which the objective counts.
    pub(super) first_attempt_at: Instant,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) sent: Instant,
    pub(super) work: f64,
    pub(super) priority: u32,
    /// Server that is running the call.
    pub(super) server: Option<usize>,
}

/// A simulated fleet in virtual time.
pub struct Fleet {
    pub now: Instant,
    pub options: FleetOptions,
    pub servers: Vec<SimulatedServer>,
    pub stats_by_service: Vec<CallStats>,
    /// Factor on the traffic.
    pub load: f64,
    /// Results of all calls.
    pub results: Vec<CallResult>,
    /// How each entry has lost the path to all servers, if it has.
    pub cuts: Vec<Option<Cut>>,
    /// Number of calls that entries have passed on to others.
    pub relays_sent: u64,
    /// Relayed calls, with the entry that passed them on and their numbers there.
    pub(super) relayed: FastMap<CallId, (usize, CallId)>,
    /// Calls for which no connection can be opened, with their servers.
    pub(super) failed_connections: FastMap<CallId, ServerId>,
    balancers: Vec<EntryBalancer>,
    /// When the idle connections between an entry and a server were last used.
    idle_connections: FastMap<(usize, usize), Vec<Instant>>,
    pub(super) records: FastMap<CallId, Record>,
    server_numbers: FastMap<Box<str>, usize>,
    /// Server that is restarting, and until when.
    restarting: Option<(usize, Instant)>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    pending_events: FastMap<u64, Event>,
    next_wakes: Vec<Option<Instant>>,
    pub(super) last_id: u64,
    pub(super) rng: SmallRng,
}

impl Fleet {
    pub fn new(options: FleetOptions) -> Self {
        let now = Instant::now() + Duration::from_secs(100);
        let names: Vec<_> = options.workloads.iter().map(|workload| workload.service).collect();
        let seed = |entry| options.seed * 1_000 + entry as u64;
        let balancers = (0..options.entries).map(|entry| {
            let data_centre = format!("dc-{}", entry % options.data_centres);
            EntryBalancer::new(options.policy, &data_centre, (&names, &options.service_keys), seed(entry), now)
        });
        let mut fleet = Self {
            now,
            servers: Vec::new(),
            stats_by_service: vec![CallStats::default(); options.workloads.len()],
            load: 1.0,
            results: Vec::new(),
            cuts: vec![None; options.entries],
            relays_sent: 0,
            relayed: FastMap::default(),
            failed_connections: FastMap::default(),
            balancers: balancers.collect(),
            idle_connections: FastMap::default(),
            records: FastMap::default(),
            server_numbers: FastMap::default(),
            restarting: None,
            events: BinaryHeap::new(),
            pending_events: FastMap::default(),
            next_wakes: vec![None; options.entries],
            last_id: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            options,
        };
        fleet.start();
        fleet
    }

    fn start(&mut self) {
        for workload in 0..self.options.workloads.len() {
            for _ in 0..self.options.workloads[workload].servers {
                let ready_since = self.now.checked_sub(Duration::from_secs(60)).unwrap_or(self.now);
                self.add_server(workload, ready_since);
            }
            self.announce(workload);
            let wait = self.random_interval(1.0 / self.options.workloads[workload].rate);
            self.schedule(wait, Event::Call { workload });
        }
        let peers: Vec<InstanceId> = (0..self.options.entries).map(|entry| format!("entry-{entry}").into()).collect();
        for entry in 0..self.options.entries {
            self.handle_event(entry, DispatchEvent::Peers(peers.clone()));
            self.handle_event(entry, DispatchEvent::Position(entry));
            self.name_relays(entry);
        }
        if let Some(restart) = self.options.restart_interval {
            self.schedule(restart.as_secs_f64(), Event::Restart);
        }
    }

    /// Adds a server; `announce` informs the entries.
    pub fn add_server(&mut self, workload: usize, ready_since: Instant) -> usize {
        let number = self.servers.len();
        let id: Box<str> = format!("server-{number}").into();
        self.server_numbers.insert(id.clone(), number);
        let view = ServerView {
            id,
            incarnation: 1,
            address: ([127, 0, 0, 1], 10_000 + number as u16).into(),
            data_centre: format!("dc-{}", number % self.options.data_centres).into(),
            slots: self.options.workloads[workload].slots,
            connections: 260,
            state: ServerState::Ready,
            lease_end: self.now + LEASE,
            ready_since,
            warm_at: ready_since,
        };
        self.servers.push(SimulatedServer::new(workload, view, self.now, &self.options));
        self.change_speed(number);
        number
    }

    /// Sends the servers of a service to every entry.
    pub fn announce(&mut self, workload: usize) {
        self.announce_to(workload, |_| true);
    }

    /// Sends the servers of a service to some entries; the others keep outdated records.
    pub fn announce_to(&mut self, workload: usize, is_told: impl Fn(usize) -> bool) {
        let views = self.servers.iter().filter(|server| server.workload == workload && server.is_ready());
        let views: Vec<_> = views.map(|server| server.view.clone()).collect();
        for entry in (0..self.options.entries).filter(|entry| is_told(*entry)) {
            let service = self.options.workloads[workload].service.into();
            self.handle_event(entry, DispatchEvent::Servers(service, views.clone()));
        }
    }

    /// Moves the positions of the entries by a number of places.
    pub fn shift_positions(&mut self, places: usize) {
        for entry in 0..self.options.entries {
            self.handle_event(entry, DispatchEvent::Position((entry + places) % self.options.entries));
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _))) = self.events.peek()
            && *at <= end
        {
            let Some(Reverse((at, number))) = self.events.pop() else { return };
            self.now = at;
            if let Some(event) = self.pending_events.remove(&number) {
                self.process(event);
            }
        }
        self.now = end;
    }

    /// Returns the totals over all services.
    pub fn total(&self) -> CallStats {
        CallStats::sum(&self.stats_by_service)
    }

    pub(super) fn schedule(&mut self, seconds: f64, event: Event) {
        self.last_id += 1;
        self.pending_events.insert(self.last_id, event);
        self.events.push(Reverse((self.now + Duration::from_secs_f64(seconds), self.last_id)));
    }

    fn random_interval(&mut self, mean: f64) -> f64 {
        -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() * mean
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Call { workload } => self.generate_call(workload),
            Event::Retry { entry, call, record } => self.retry_call(entry, call, record),
            Event::Deadline { call } => self.time_out(call),
            Event::RequestArrived { entry, call, server, work } => self.receive_request(entry, call, server, work),
            Event::CallDone { server, version } => {
                if self.servers[server].version == version {
                    self.update_server(server);
                }
            }
            Event::AnswerArrived { entry, call, server, result, report } => {
                self.deliver_answer(entry, call, server, result, report)
            }
            Event::ProbeArrived { entry, probe, server: number, delay } => {
                let server = &mut self.servers[number];
                if let Some(limit) = &mut server.limit {
                    limit.probes += 1;
                }
                let report = (server.is_ready() && !server.has_crashed).then(|| server.report());
                let warm_up = server.cold.as_ref().and_then(|cold| cold.stated(self.now));
                self.schedule(delay, Event::ProbeAnswered { entry, probe, server: number, report, warm_up });
            }
            Event::ProbeAnswered { entry, probe, server, report, warm_up } => {
                if report.is_some() && self.servers[server].limit.as_ref().is_some_and(|it| it.is_named_to_probes) {
                    self.name_limit(entry, server);
                }
                let event = DispatchEvent::ProbeFinished {
                    probe,
                    latency: Duration::from_millis(3),
                    report,
                    warm_up,
                    ok: report.is_some(),
                };
                self.handle_event(entry, event);
            }
            Event::PathChecked { entry, server, is_open } => {
                let server = self.servers[server].view.id.clone();
                self.handle_event(entry, DispatchEvent::PathChecked { server, is_open });
            }
            Event::Relayed { from, to, call, attempts } => self.receive_relay(from, to, call, attempts),
            Event::RelayEnded { from, to, call, result } => self.end_relay(from, to, call, result),
            Event::SpeedChange { server } => {
                self.update_server(server);
                self.change_speed(server);
                self.update_server(server);
            }
            Event::Wake { entry } => {
                if self.next_wakes[entry].is_some_and(|at| at <= self.now) {
                    self.next_wakes[entry] = None;
                    self.stats_by_service[0].wakes += 1;
                    self.handle_event(entry, DispatchEvent::Tick);
                }
            }
            Event::Restart => self.restart(),
        }
    }

    fn change_speed(&mut self, server: usize) {
        let is_slow = self.rng.random_bool(self.options.slow_share);
        self.servers[server].slowdown = if is_slow { self.options.slow_factor } else { 1.0 };
        self.servers[server].slowdown *= self.servers[server].slowness;
        let wait = self.random_interval(self.options.speed_change_interval.as_secs_f64());
        self.schedule(wait, Event::SpeedChange { server });
    }

    fn restart(&mut self) {
        let Some(time) = self.options.restart_interval else { return };
        match self.restarting.take() {
            Some((server, _)) => {
                self.servers[server].view.state = ServerState::Ready;
                self.servers[server].view.ready_since = self.now;
                self.announce(self.servers[server].workload);
                self.schedule(time.as_secs_f64(), Event::Restart);
            }
            None => {
                let server = self.rng.random_range(0..self.servers.len());
                self.servers[server].view.state = ServerState::Draining;
                self.announce(self.servers[server].workload);
                self.restarting = Some((server, self.now + RESTART_TIME));
                self.schedule(RESTART_TIME.as_secs_f64(), Event::Restart);
            }
        }
    }

    fn generate_call(&mut self, workload: usize) {
        let (rate, work) = (self.options.workloads[workload].rate, self.options.workloads[workload].work);
        let wait = self.random_interval(1.0 / (rate * self.load));
        self.schedule(wait, Event::Call { workload });
        let entry = self.rng.random_range(0..self.options.entries);
        // The mean of three uniform draws has a coefficient of variation of 0.2.
        let spread: f64 = (0..3).map(|_| self.rng.random_range(0.4..1.6)).sum::<f64>() / 3.0;
        self.call_at(entry, workload, work * spread, 0);
    }

    pub(super) fn handle_event(&mut self, entry: usize, event: DispatchEvent) {
        let mut actions = Vec::new();
        self.balancers[entry].handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(entry, action);
        }
        let wake = self.balancers[entry].next_wake(self.now);
        if let Some(at) = wake
            && self.next_wakes[entry].is_none_or(|woken| at < woken)
        {
            self.next_wakes[entry] = Some(at);
            self.schedule(at.saturating_duration_since(self.now).as_secs_f64(), Event::Wake { entry });
        }
    }

    fn execute(&mut self, entry: usize, action: DispatchAction) {
        match action {
            DispatchAction::Send { call, server, fresh_connection, .. } => {
                let server = self.server_numbers[&server];
                let Some(record) = self.records.get_mut(&call) else { return };
                (record.sent, record.server) = (self.now, Some(server));
                let (work, workload) = (record.work, record.workload);
                let is_remote = self.is_remote(entry, server);
                let stats = &mut self.stats_by_service[workload];
                stats.attempts += 1;
                match (is_remote, self.options.workloads[workload].upload) {
                    (true, true) => stats.remote_uploads += 1,
                    (true, false) => stats.remote += 1,
                    (false, _) => {}
                }
                let kept = if fresh_connection { Duration::from_millis(100) } else { KEEP_ALIVE };
                let idle_connections = self.idle_connections.entry((entry, server)).or_default();
                idle_connections.retain(|at| self.now < *at + KEEP_ALIVE);
                let is_new = idle_connections.pop_if(|at| self.now < *at + kept).is_none();
                stats.connections += u64::from(is_new);
                if self.fail_without_path(entry, call, server, is_new) {
                    return;
                }
                let delay = if is_remote { 0.0009 } else { 0.0003 };
                let delay = delay * if is_new { 3.0 } else { 1.0 };
                self.schedule(delay, Event::RequestArrived { entry, call, server, work });
                if is_new && !self.servers[server].has_crashed {
                    let server = self.servers[server].view.id.clone();
                    self.handle_event(entry, DispatchEvent::Connection { server, is_open: true });
                }
            }
            DispatchAction::Reject { call, outcome, retry_after } => self.reject(call, outcome, retry_after),
            DispatchAction::Probe { probe, server, .. } => {
                let server = self.server_numbers[&server];
                self.stats_by_service[self.servers[server].workload].probes += 1;
                if self.fail_probe_without_path(entry, probe, server) {
                    return;
                }
                let (min, max) = self.options.probe_time_range;
                let delay = self.rng.random_range(min..max) / 2.0;
                self.schedule(delay, Event::ProbeArrived { entry, probe, server, delay });
            }
            DispatchAction::CheckPath { server, limit, .. } => {
                let server = self.server_numbers[&server];
                let is_open = self.cuts[entry].is_none() && !self.servers[server].has_crashed;
                let delay = if self.cuts[entry] == Some(Cut::Hang) { limit.as_secs_f64() } else { 0.002 };
                self.schedule(delay, Event::PathChecked { entry, server, is_open });
            }
            DispatchAction::Relay { call, address, attempts, .. } => {
                self.send_relay(entry, call, address.port(), attempts);
            }
            DispatchAction::SendMessage { .. }
            | DispatchAction::Credit(_)
            | DispatchAction::Hedge { .. }
            | DispatchAction::ReportSuspect(_)
            | DispatchAction::SetSuspectHeads(_) => {}
        }
    }

    pub(super) fn is_remote(&self, entry: usize, server: usize) -> bool {
        entry % self.options.data_centres != server % self.options.data_centres
    }

    pub(super) fn has_idle_connection(&self, entry: usize, server: usize) -> bool {
        let idle = self.idle_connections.get(&(entry, server));
        idle.is_some_and(|idle| idle.iter().any(|at| self.now < *at + KEEP_ALIVE))
    }

    pub(super) fn keep_connection(&mut self, entry: usize, server: usize) {
        self.idle_connections.entry((entry, server)).or_default().push(self.now);
    }
}
