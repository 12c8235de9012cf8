//! Simulation of dispatchers, servers and a lossy network in virtual time.

use {
    super::{BudgetUse, Probe, Server, Traffic},
    hemlockford_core::{
        collections::FastMap,
        config::Configuration,
        dispatch::{
            AttemptResult, Call, CallOptions, DispatchAction, DispatchEvent, DispatchOptions, Dispatcher,
            FinishedAttempt, LOAD_HEADER, WANT_LOAD_HEADER,
        },
        outcome::Outcome,
        slots::SlotMessage,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub const SERVICE: &str = "catalogue";
const TICK: Duration = Duration::from_millis(1);
pub const FAR_FUTURE: Duration = Duration::from_secs(86_400);
/// Size of the IP and UDP headers of a datagram.
const DATAGRAM_BYTES: u64 = 28;

#[derive(Debug)]
pub enum Step {
    Tick(usize),
    Arrive(usize),
    Deliver(usize, usize, SlotMessage),
    Depart(usize, u64),
    Timeout(u64),
    CutOff(u64),
}

/// Progress and result of a call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub customer: Box<str>,
    pub entry: usize,
    pub arrived_at: Duration,
    pub work: Duration,
    pub server: Option<usize>,
    pub sent_at: Duration,
    /// Whether a load report was requested with the current attempt.
    pub report_requested: bool,
    pub ended_at: Option<Duration>,
    pub outcome: Option<Outcome>,
    pub decisions: usize,
}

pub struct Cluster {
    pub base: Instant,
    pub now: Duration,
    pub entries: Vec<Option<Dispatcher>>,
    pub frozen: Vec<bool>,
    pub servers: Vec<Server>,
    pub calls: FastMap<u64, CallRecord>,
    pub network_delay: Duration,
    pub loss_rate: f64,
    pub duplicate_rate: f64,
    pub max_jitter: Duration,
    pub deadline: Duration,
    pub idempotent: bool,
    pub message_count: u64,
    pub message_bytes: u64,
    pub largest_message: usize,
    pub traffic: Vec<Traffic>,
    /// Time for which a probe occupies a slot.
    pub probe_time: Duration,
    pub probes: FastMap<u64, Probe>,
    pub probe_starts: Vec<Duration>,
    pub report_requests: Vec<Duration>,
    pub budget_uses: Vec<BudgetUse>,
    /// Number of starts of each entry.
    pub start_counts: Vec<u64>,
    /// One random number generator per stream, so that a stream does not depend on the others.
    stream_rngs: Vec<SmallRng>,
    seed: u64,
    pub configuration: Arc<Configuration>,
    pub rng: SmallRng,
    pub network_rng: SmallRng,
    steps: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    pending: FastMap<usize, Step>,
    number: u64,
    next_call: u64,
    incarnation: u64,
}

impl Cluster {
    pub fn new(seed: u64, entries: usize, servers: usize, slots: usize, text: &str) -> Self {
        let mut cluster = Self {
            base: Instant::now(),
            now: Duration::ZERO,
            entries: (0..entries).map(|_| None).collect(),
            frozen: vec![false; entries],
            servers: (0..servers).map(|number| Server::new(&format!("server-{number:02}"), slots)).collect(),
            calls: FastMap::default(),
            network_delay: Duration::from_millis(1),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            max_jitter: Duration::ZERO,
            deadline: Duration::from_millis(800),
            idempotent: true,
            message_count: 0,
            message_bytes: 0,
            largest_message: 0,
            traffic: Vec::new(),
            probe_time: Duration::from_millis(6),
            probes: FastMap::default(),
            probe_starts: Vec::new(),
            report_requests: Vec::new(),
            budget_uses: Vec::new(),
            start_counts: vec![0; entries],
            stream_rngs: Vec::new(),
            seed,
            configuration: Arc::new(Configuration::parse(text).expect("valid configuration")),
            rng: SmallRng::seed_from_u64(seed),
            network_rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            steps: BinaryHeap::new(),
            pending: FastMap::default(),
            number: 0,
            next_call: 0,
            incarnation: 0,
        };
        (0..entries).for_each(|entry| cluster.start(entry));
        let peers: Vec<_> = (0..entries).collect();
        peers.iter().for_each(|entry| cluster.set_peers(*entry, &peers));
        cluster
    }

    pub fn name(entry: usize) -> Box<str> {
        format!("entry-{entry}").into()
    }

    /// Number of answered calls.
    pub fn answered_count(&self) -> usize {
        self.calls.values().filter(|record| record.outcome == Some(Outcome::Answered)).count()
    }

    pub fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Starts an entry as a new process.
    pub fn start(&mut self, entry: usize) {
        self.incarnation += 1;
        self.start_counts[entry] += 1;
        let options = DispatchOptions {
            id: Self::name(entry),
            incarnation: self.incarnation,
            roster: self.entries.len(),
            ..DispatchOptions::default()
        };
        let rng = SmallRng::seed_from_u64(self.rng.random());
        self.entries[entry] = Some(Dispatcher::new(options, rng));
        self.handle(entry, DispatchEvent::Configure(self.configuration.clone()));
        self.send_server_list(entry);
        let offset = Duration::from_micros(self.rng.random_range(0..1_000));
        self.push(self.now + offset, Step::Tick(entry));
    }

    /// Adds a stream of calls from now on.
    pub fn add_traffic(&mut self, traffic: Traffic) {
        self.traffic.push(traffic);
        let number = self.traffic.len() - 1;
        self.stream_rngs.push(SmallRng::seed_from_u64(self.seed + 1_000 * (number as u64 + 1)));
        let first = self.now + self.traffic[number].random_interval(&mut self.stream_rngs[number]);
        self.push(first, Step::Arrive(number));
    }

    pub fn run_for(&mut self, duration: Duration) {
        self.run_with(duration, |_| {});
    }

    /// Runs for a duration and calls `check` after each step.
    pub fn run_with(&mut self, duration: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + duration;
        while let Some(Reverse((at, _, id))) = self.steps.peek().copied()
            && at <= end
        {
            self.steps.pop();
            self.now = self.now.max(at);
            if let Some(step) = self.pending.remove(&id) {
                self.step(step);
                check(self);
            }
        }
        self.now = end;
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Tick(entry) => {
                if self.entries[entry].is_none() {
                    return;
                }
                if !self.frozen[entry] {
                    self.handle(entry, DispatchEvent::Tick);
                }
                self.push(self.now + TICK, Step::Tick(entry));
            }
            Step::Deliver(to, from, message) => {
                if self.frozen[to] {
                    // The message stays in the socket buffer.
                    return self.push(self.now + TICK, Step::Deliver(to, from, message));
                }
                self.handle(to, DispatchEvent::PeerMessage { from: Self::name(from), message });
            }
            Step::Arrive(number) => self.arrive(number),
            Step::Depart(server, call) => {
                if self.servers[server].running.contains(&call) && !self.end_probe(call, true) {
                    self.servers[server].remove(call);
                    self.start_queued_calls(server);
                    self.finish(call, AttemptResult::Complete);
                }
            }
            Step::CutOff(probe) => drop(self.end_probe(probe, false)),
            Step::Timeout(call) => {
                let server =
                    self.calls.get(&call).filter(|record| record.ended_at.is_none()).and_then(|record| record.server);
                if let Some(server) = server {
                    self.servers[server].remove(call);
                    self.start_queued_calls(server);
                    self.finish(call, AttemptResult::Timeout);
                }
            }
        }
    }

    fn arrive(&mut self, number: usize) {
        let (traffic, rng) = (&self.traffic[number], &mut self.stream_rngs[number]);
        let gap = traffic.random_interval(rng);
        let (customer, upload) = (traffic.customer.clone(), traffic.upload);
        let entry = traffic.entries[rng.random_range(0..traffic.entries.len())];
        let work = traffic.draw_work(rng);
        self.push(self.now + gap, Step::Arrive(number));
        if self.entries[entry].is_none() || self.frozen[entry] {
            return;
        }
        self.start_call(entry, customer, work, upload);
    }

    /// Starts a call through an entry.
    pub fn start_call(&mut self, entry: usize, customer: Box<str>, work: Duration, upload: bool) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        let record = CallRecord {
            customer: customer.clone(),
            entry,
            arrived_at: self.now,
            work,
            server: None,
            sent_at: self.now,
            report_requested: false,
            ended_at: None,
            outcome: None,
            decisions: 0,
        };
        self.calls.insert(id, record);
        self.push(self.now + self.deadline, Step::Timeout(id));
        let call = Call {
            id,
            service: SERVICE.into(),
            customer,
            idempotent: self.idempotent,
            replayable: self.idempotent && !upload,
            deadline: self.instant() + self.deadline,
            depth: 0,
            retry_allowance: false,
            upload,
            fingerprint: None,
            relayed: false,
            options: CallOptions::default(),
        };
        self.handle(entry, DispatchEvent::Arrive(call));
        id
    }

    fn finish(&mut self, call: u64, result: AttemptResult) {
        let Some(record) = self.calls.get_mut(&call) else { return };
        let Some(server) = record.server.take() else { return };
        if result == AttemptResult::Complete {
            record.ended_at = Some(self.now);
            record.outcome = Some(Outcome::Answered);
            record.decisions += 1;
        }
        let (report_requested, sent_at, entry) =
            (std::mem::take(&mut record.report_requested), record.sent_at, record.entry);
        let report = (report_requested && result == AttemptResult::Complete).then(|| self.load(server));
        if let Some(report) = report {
            self.count_header(&format!("{LOAD_HEADER}: {}/{}\r\n", report.in_flight, report.slots));
        }
        let finish = FinishedAttempt {
            call,
            server: self.servers[server].id.clone(),
            result,
            latency: self.now - sent_at,
            report,
            wants_decision: result != AttemptResult::Complete,
        };
        self.handle(entry, DispatchEvent::AttemptFinished(finish));
    }

    pub fn handle(&mut self, entry: usize, event: DispatchEvent) {
        let now = self.instant();
        let Some(dispatcher) = &mut self.entries[entry] else { return };
        let mut actions = Vec::new();
        dispatcher.handle(now, event, &mut actions);
        for action in actions {
            self.execute(entry, action);
        }
    }

    fn execute(&mut self, entry: usize, action: DispatchAction) {
        match action {
            DispatchAction::Send { call, server, want_report, .. } => {
                let server = self.servers.iter().position(|known| known.id == server).expect("known server");
                let record = self.calls.get_mut(&call).expect("known call");
                assert!(
                    record.ended_at.is_none() && record.server.is_none(),
                    "call {call} has more than one attempt at a time"
                );
                record.server = Some(server);
                record.sent_at = self.now;
                record.report_requested = want_report;
                let work = record.work;
                if want_report {
                    self.report_requests.push(self.now);
                    self.count_header(&format!("{WANT_LOAD_HEADER}: 1\r\n"));
                }
                self.servers[server].push(call, work);
                self.start_queued_calls(server);
            }
            DispatchAction::Reject { call, outcome, .. } => {
                let record = self.calls.get_mut(&call).expect("known call");
                record.ended_at = Some(self.now);
                record.outcome = Some(outcome);
                record.decisions += 1;
            }
            DispatchAction::SendMessage { to, message } => self.send_message(entry, &to, message),
            DispatchAction::Probe { .. } => self.probe(entry, &action),
            DispatchAction::ReportSuspect(_)
            | DispatchAction::SetSuspectHeads(_)
            | DispatchAction::Credit(_)
            | DispatchAction::Relay { .. }
            | DispatchAction::Hedge { .. }
            | DispatchAction::CheckPath { .. } => {}
        }
    }

    fn send_message(&mut self, from: usize, to: &str, message: SlotMessage) {
        let size = postcard::to_stdvec(&message).expect("encodable message").len();
        self.message_count += 1;
        self.message_bytes += size as u64 + DATAGRAM_BYTES;
        self.largest_message = self.largest_message.max(size);
        let Some(to) = (0..self.entries.len()).find(|entry| *Self::name(*entry) == *to) else { return };
        let copies = if self.network_rng.random_bool(self.duplicate_rate) { 2 } else { 1 };
        for _ in 0..copies {
            if self.network_rng.random_bool(self.loss_rate) {
                continue;
            }
            let jitter = self.max_jitter.mul_f64(self.network_rng.random_range(0.0..1.0));
            self.push(self.now + self.network_delay + jitter, Step::Deliver(to, from, message.clone()));
        }
    }

    pub fn cut_off_at(&mut self, at: Duration, probe: u64) {
        self.push(at, Step::CutOff(probe));
    }

    pub fn start_queued_calls(&mut self, server: usize) {
        while let Some((call, work)) = self.servers[server].start() {
            self.record_start(call);
            self.push(self.now + work, Step::Depart(server, call));
        }
    }

    fn push(&mut self, at: Duration, step: Step) {
        self.number += 1;
        let id = self.number as usize;
        self.pending.insert(id, step);
        self.steps.push(Reverse((at, self.number, id)));
    }
}
