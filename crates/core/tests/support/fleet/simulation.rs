//! The loop that drives a fleet.

use {
    super::{CallEnd, Chooser, FakeServer, Fault, FleetOptions, Tally, event::Event},
    hemlockford_core::{
        collections::FastMap,
        dispatch::{AttemptResult, DispatchAction, DispatchEvent, ServerState, ServerView},
        ids::{CallId, InstanceId},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

/// Time for which a server keeps an idle connection.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Time after which a server that left is back.
const DOWN: Duration = Duration::from_secs(2);
const DAY: Duration = Duration::from_secs(100_000);

/// A call of a client.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) workload: usize,
    pub(super) entry: usize,
    /// When the caller first called, which counts for its objective.
    pub(super) first: Instant,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) sent: Instant,
    pub(super) work: f64,
    pub(super) priority: u32,
    /// Server at which the call runs.
    pub(super) server: Option<usize>,
}

/// A fleet in virtual time.
pub struct Fleet {
    pub now: Instant,
    pub options: FleetOptions,
    pub servers: Vec<FakeServer>,
    pub tallies: Vec<Tally>,
    /// Factor on the traffic.
    pub load: f64,
    /// What became of each call.
    pub ends: Vec<CallEnd>,
    choosers: Vec<Chooser>,
    /// When the connections of an entry to a server were last used.
    idle: FastMap<(usize, usize), Vec<Instant>>,
    pub(super) records: FastMap<CallId, Record>,
    names: FastMap<Box<str>, usize>,
    /// Server that is down, and until when.
    down: Option<(usize, Instant)>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    bodies: FastMap<u64, Event>,
    woken: Vec<Option<Instant>>,
    pub(super) sequence: u64,
    pub(super) rng: SmallRng,
}

impl Fleet {
    pub fn new(options: FleetOptions) -> Self {
        let now = Instant::now() + Duration::from_secs(100);
        let names: Vec<_> = options.workloads.iter().map(|workload| workload.service).collect();
        let choosers = (0..options.entries).map(|entry| {
            let data_centre = format!("dc-{}", entry % options.data_centres);
            Chooser::new(options.policy, &data_centre, &names, options.seed * 1_000 + entry as u64, now)
        });
        let mut fleet = Self {
            now,
            servers: Vec::new(),
            tallies: vec![Tally::default(); options.workloads.len()],
            load: 1.0,
            ends: Vec::new(),
            choosers: choosers.collect(),
            idle: FastMap::default(),
            records: FastMap::default(),
            names: FastMap::default(),
            down: None,
            events: BinaryHeap::new(),
            bodies: FastMap::default(),
            woken: vec![None; options.entries],
            sequence: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            options,
        };
        fleet.begin();
        fleet
    }

    fn begin(&mut self) {
        for workload in 0..self.options.workloads.len() {
            for _ in 0..self.options.workloads[workload].servers {
                let ready_since = self.now.checked_sub(Duration::from_secs(60)).unwrap_or(self.now);
                self.add_server(workload, ready_since);
            }
            self.announce(workload);
            let wait = self.gap(1.0 / self.options.workloads[workload].rate);
            self.after(wait, Event::Call { workload });
        }
        let peers: Vec<InstanceId> = (0..self.options.entries).map(|entry| format!("entry-{entry}").into()).collect();
        for entry in 0..self.options.entries {
            self.tell(entry, DispatchEvent::Peers(peers.clone()));
        }
        if let Some(restart) = self.options.restart {
            self.after(restart.as_secs_f64(), Event::Restart);
        }
    }

    /// Adds a server; `announce` makes it known.
    pub fn add_server(&mut self, workload: usize, ready_since: Instant) -> usize {
        let number = self.servers.len();
        let id: Box<str> = format!("server-{number}").into();
        self.names.insert(id.clone(), number);
        let view = ServerView {
            id,
            address: ([127, 0, 0, 1], 10_000 + number as u16).into(),
            data_centre: format!("dc-{}", number % self.options.data_centres).into(),
            slots: self.options.workloads[workload].slots,
            connections: 260,
            state: ServerState::Ready,
            lease_end: self.now + DAY,
            ready_since,
        };
        self.servers.push(FakeServer::new(workload, view, self.now, &self.options));
        self.redraw(number);
        number
    }

    /// Tells every entry the servers of a service.
    pub fn announce(&mut self, workload: usize) {
        let views = self.servers.iter().filter(|server| server.workload == workload && server.is_ready());
        let views: Vec<_> = views.map(|server| server.view.clone()).collect();
        for entry in 0..self.options.entries {
            let service = self.options.workloads[workload].service.into();
            self.tell(entry, DispatchEvent::Servers(service, views.clone()));
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _))) = self.events.peek()
            && *at <= end
        {
            let Some(Reverse((at, number))) = self.events.pop() else { return };
            self.now = at;
            if let Some(event) = self.bodies.remove(&number) {
                self.take(event);
            }
        }
        self.now = end;
    }

    /// Sum over all services.
    pub fn total(&self) -> Tally {
        Tally::sum(&self.tallies)
    }

    pub(super) fn after(&mut self, seconds: f64, event: Event) {
        self.sequence += 1;
        self.bodies.insert(self.sequence, event);
        self.events.push(Reverse((self.now + Duration::from_secs_f64(seconds), self.sequence)));
    }

    fn gap(&mut self, mean: f64) -> f64 {
        -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() * mean
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Call { workload } => self.call(workload),
            Event::Return { entry, call, record } => self.come_back(entry, call, record),
            Event::Cut { call } => self.cut(call),
            Event::Reach { entry, call, server, work } => self.reach(entry, call, server, work),
            Event::Done { server, version } => {
                if self.servers[server].version == version {
                    self.settle(server);
                }
            }
            Event::Answer { entry, call, server, result, report } => self.answer(entry, call, server, result, report),
            Event::ProbeReach { entry, probe, server, way } => {
                let server = &self.servers[server];
                let report = (server.is_ready() && !server.is_down).then(|| server.report());
                self.after(way, Event::Probed { entry, probe, report });
            }
            Event::Probed { entry, probe, report } => {
                let event = DispatchEvent::ProbeFinished {
                    probe,
                    latency: Duration::from_millis(3),
                    report,
                    ok: report.is_some(),
                };
                self.tell(entry, event);
            }
            Event::Redraw { server } => {
                self.settle(server);
                self.redraw(server);
                self.settle(server);
            }
            Event::Wake { entry } => {
                if self.woken[entry].is_some_and(|at| at <= self.now) {
                    self.woken[entry] = None;
                    self.tallies[0].wakes += 1;
                    self.tell(entry, DispatchEvent::Tick);
                }
            }
            Event::Restart => self.restart(),
        }
    }

    fn redraw(&mut self, server: usize) {
        let is_slow = self.rng.random_bool(self.options.slow_part);
        self.servers[server].pace = if is_slow { self.options.slow_pace } else { 1.0 };
        self.servers[server].pace *= self.servers[server].slowness;
        let wait = self.gap(self.options.redraw.as_secs_f64());
        self.after(wait, Event::Redraw { server });
    }

    fn restart(&mut self) {
        let Some(time) = self.options.restart else { return };
        match self.down.take() {
            Some((server, _)) => {
                self.servers[server].view.state = ServerState::Ready;
                self.servers[server].view.ready_since = self.now;
                self.announce(self.servers[server].workload);
                self.after(time.as_secs_f64(), Event::Restart);
            }
            None => {
                let server = self.rng.random_range(0..self.servers.len());
                self.servers[server].view.state = ServerState::Draining;
                self.announce(self.servers[server].workload);
                self.down = Some((server, self.now + DOWN));
                self.after(DOWN.as_secs_f64(), Event::Restart);
            }
        }
    }

    fn call(&mut self, workload: usize) {
        let (rate, work) = (self.options.workloads[workload].rate, self.options.workloads[workload].work);
        let wait = self.gap(1.0 / (rate * self.load));
        self.after(wait, Event::Call { workload });
        let entry = self.rng.random_range(0..self.options.entries);
        // The sum of three draws has a coefficient of variation of 0.2.
        let spread: f64 = (0..3).map(|_| self.rng.random_range(0.4..1.6)).sum::<f64>() / 3.0;
        self.call_at(entry, workload, work * spread, 0);
    }

    pub(super) fn tell(&mut self, entry: usize, event: DispatchEvent) {
        let mut actions = Vec::new();
        self.choosers[entry].handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(entry, action);
        }
        let wake = self.choosers[entry].next_wake(self.now);
        if let Some(at) = wake
            && self.woken[entry].is_none_or(|woken| at < woken)
        {
            self.woken[entry] = Some(at);
            self.after(at.saturating_duration_since(self.now).as_secs_f64(), Event::Wake { entry });
        }
    }

    fn carry_out(&mut self, entry: usize, action: DispatchAction) {
        match action {
            DispatchAction::Send { call, server, fresh_connection, .. } => {
                let server = self.names[&server];
                let Some(record) = self.records.get_mut(&call) else { return };
                (record.sent, record.server) = (self.now, Some(server));
                let (work, workload) = (record.work, record.workload);
                let is_remote = self.is_remote(entry, server);
                let tally = &mut self.tallies[workload];
                tally.attempts += 1;
                match (is_remote, self.options.workloads[workload].upload) {
                    (true, true) => tally.remote_uploads += 1,
                    (true, false) => tally.remote += 1,
                    (false, _) => {}
                }
                let kept = if fresh_connection { Duration::from_millis(100) } else { KEEP_ALIVE };
                let idle = self.idle.entry((entry, server)).or_default();
                idle.retain(|at| self.now < *at + KEEP_ALIVE);
                let is_new = idle.pop_if(|at| self.now < *at + kept).is_none();
                tally.connections += u64::from(is_new);
                let way = if is_remote { 0.0009 } else { 0.0003 };
                let way = way * if is_new { 3.0 } else { 1.0 };
                self.after(way, Event::Reach { entry, call, server, work });
            }
            DispatchAction::Reject { call, outcome, retry_after } => self.reject(call, outcome, retry_after),
            DispatchAction::Probe { probe, server, .. } => {
                let server = self.names[&server];
                self.tallies[self.servers[server].workload].probes += 1;
                let (least, most) = self.options.probe_time;
                let way = self.rng.random_range(least..most) / 2.0;
                self.after(way, Event::ProbeReach { entry, probe, server, way });
            }
            DispatchAction::SendMessage { .. } => {}
        }
    }

    fn is_remote(&self, entry: usize, server: usize) -> bool {
        entry % self.options.data_centres != server % self.options.data_centres
    }

    pub(super) fn keep_connection(&mut self, entry: usize, server: usize) {
        self.idle.entry((entry, server)).or_default().push(self.now);
    }

    fn reach(&mut self, entry: usize, call: CallId, server: usize, work: f64) {
        let now = self.now;
        if !self.records.contains_key(&call) {
            return;
        }
        self.settle(server);
        let target = &mut self.servers[server];
        target.reached += 1;
        target.first_reached.get_or_insert(now);
        let result = match target.fault {
            _ if target.is_down => Some(AttemptResult::RefusedBeforeWrite),
            Fault::FailsFast => Some(AttemptResult::ServerError),
            Fault::ShedsAll => Some(AttemptResult::Shed),
            Fault::Misdirects => Some(AttemptResult::Misdirected),
            Fault::None => (!target.push(now, entry, call, work)).then_some(AttemptResult::Shed),
        };
        let report = (!target.is_down).then(|| target.report());
        if let Some(result) = result {
            self.after(0.001, Event::Answer { entry, call, server, result, report });
        }
        self.settle(server);
    }

    /// Ends the calls that are done at a server and awaits the next.
    pub(super) fn settle(&mut self, server: usize) {
        let done = self.servers[server].advance(self.now);
        let report = Some(self.servers[server].report());
        for job in done {
            let (entry, call, result) = (job.entry, job.call, AttemptResult::Complete);
            let way = if self.is_remote(entry, server) { 0.0009 } else { 0.0003 };
            self.after(way, Event::Answer { entry, call, server, result, report });
        }
        let version = self.servers[server].version;
        if let Some(seconds) = self.servers[server].next_end() {
            self.after(seconds + 1e-9, Event::Done { server, version });
        }
    }
}
