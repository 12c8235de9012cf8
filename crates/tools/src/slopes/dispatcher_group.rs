//! Simulation of the dispatchers of several entries in virtual time. Every slot message is encoded and decoded.

use {
    super::{
        configs,
        event_queue::EventQueue,
        wire::{self, EncodedMessage, INCARNATION},
    },
    hemlockford_core::{
        collections::FastMap,
        config::Configuration,
        dispatch::{
            AttemptResult, Call, CallOptions, DispatchAction, DispatchEvent, DispatchOptions, Dispatcher,
            FinishedAttempt, ServerState, ServerView,
        },
        errors::Result,
        ids::{InstanceId, ServerId},
        slots::SlotMessage,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
};

const NETWORK_DELAY: Duration = Duration::from_micros(500);
const TICK_INTERVAL: Duration = Duration::from_millis(1);
const DEADLINE: Duration = Duration::from_millis(800);
/// Mean service time of a call.
pub(super) const MEAN_SERVICE_TIME: Duration = Duration::from_millis(10);
pub(super) const SLOTS_PER_SERVER: usize = 2;
/// Lease duration of the servers, longer than any measurement.
const LEASE_DURATION: Duration = Duration::from_secs(86_400);
/// Time for which the servers have been ready.
const READY_TIME: Duration = Duration::from_secs(60);
const CUSTOMER_COUNT: usize = 24;
const SEED: u64 = 11;

/// Size and load of a group.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupOptions {
    pub(super) entries: usize,
    pub(super) services: usize,
    /// Total number of servers of all services.
    pub(super) servers: usize,
    /// Total rate of all entries, in calls per second.
    pub(super) rate: f64,
}

enum Event {
    Tick(usize),
    Arrive,
    Deliver { to: usize, from: usize, encoded: EncodedMessage },
    Finish { entry: usize, call: u64, server: ServerId, latency: Duration },
}

/// The dispatchers of several entries.
pub(super) struct DispatcherGroup {
    events: EventQueue<Event>,
    nodes: Vec<Dispatcher>,
    names: Vec<InstanceId>,
    indexes: FastMap<InstanceId, usize>,
    rng: SmallRng,
    options: GroupOptions,
    pub(super) calls: u64,
    pub(super) answered: u64,
    pub(super) messages: u64,
    pub(super) bytes: u64,
}

impl DispatcherGroup {
    /// Creates a group that knows its servers. Its calls begin with the first run.
    pub(super) fn new(options: GroupOptions) -> Result<Self> {
        let names: Vec<InstanceId> = (0..options.entries).map(|index| format!("entry-{index:02}").into()).collect();
        let mut group = Self {
            events: EventQueue::new(),
            nodes: Vec::new(),
            indexes: names.iter().enumerate().map(|(index, name)| (name.clone(), index)).collect(),
            names,
            rng: SmallRng::seed_from_u64(SEED),
            options,
            calls: 0,
            answered: 0,
            messages: 0,
            bytes: 0,
        };
        // The configuration is valid by construction. With the default one, every call would be refused.
        let config = Arc::new(Configuration::parse(&configs::config(1, options.services)).unwrap_or_default());
        for index in 0..options.entries {
            let settings = DispatchOptions {
                id: group.names[index].clone(),
                incarnation: INCARNATION + index as u64,
                roster: options.entries,
                ..DispatchOptions::default()
            };
            group.nodes.push(Dispatcher::new(settings, SmallRng::seed_from_u64(SEED + index as u64)));
            group.handle(index, DispatchEvent::Configure(config.clone()))?;
            for service in 0..options.services {
                let views = group.server_views(service);
                group.handle(index, DispatchEvent::Servers(configs::service_name(service).into(), views))?;
            }
            group.events.push(TICK_INTERVAL * index as u32 / options.entries as u32, Event::Tick(index));
        }
        for index in 0..options.entries {
            group.handle(index, DispatchEvent::Peers(group.names.clone()))?;
        }
        if options.rate > 0.0 {
            group.events.push(Duration::ZERO, Event::Arrive);
        }
        Ok(group)
    }

    /// Runs the simulation for a duration of virtual time.
    pub(super) fn run(&mut self, duration: Duration) -> Result<()> {
        let until = self.events.now + duration;
        while let Some(event) = self.events.next(until) {
            match event {
                Event::Tick(entry) => {
                    self.events.push(TICK_INTERVAL, Event::Tick(entry));
                    self.handle(entry, DispatchEvent::Tick)?;
                }
                Event::Arrive => {
                    let interval = exponential(&mut self.rng, 1.0 / self.options.rate);
                    self.events.push(Duration::from_secs_f64(interval), Event::Arrive);
                    let entry = self.rng.random_range(0..self.options.entries);
                    self.start_call(entry)?;
                }
                Event::Deliver { to, from, encoded } => {
                    let message = wire::decode_message::<SlotMessage>(&encoded)?;
                    let from = self.names[from].clone();
                    self.handle(to, DispatchEvent::PeerMessage { from, message })?;
                }
                Event::Finish { entry, call, server, latency } => {
                    self.answered += 1;
                    let finished = FinishedAttempt {
                        call,
                        server,
                        result: AttemptResult::Complete,
                        latency,
                        report: None,
                        wants_decision: false,
                    };
                    self.handle(entry, DispatchEvent::AttemptFinished(finished))?;
                }
            }
        }
        Ok(())
    }

    fn start_call(&mut self, entry: usize) -> Result<()> {
        self.calls += 1;
        let service = self.rng.random_range(0..self.options.services);
        let call = Call {
            id: self.calls,
            service: configs::service_name(service).into(),
            customer: format!("customer-{}", self.rng.random_range(0..CUSTOMER_COUNT)).into(),
            idempotent: true,
            replayable: true,
            deadline: self.events.instant() + DEADLINE,
            depth: 0,
            retry_allowance: false,
            upload: false,
            fingerprint: None,
            relayed: false,
            options: CallOptions::default(),
        };
        self.handle(entry, DispatchEvent::Arrive(call))
    }

    fn handle(&mut self, entry: usize, event: DispatchEvent) -> Result<()> {
        let now = self.events.instant();
        let mut actions = Vec::new();
        self.nodes[entry].handle(now, event, &mut actions);
        for action in actions {
            match action {
                DispatchAction::Send { call, server, .. } => {
                    let service_time =
                        Duration::from_secs_f64(exponential(&mut self.rng, MEAN_SERVICE_TIME.as_secs_f64()));
                    self.events.push(service_time, Event::Finish { entry, call, server, latency: service_time });
                }
                DispatchAction::SendMessage { to, message } => {
                    let encoded = wire::encode_slots(&self.names[entry], &message)?;
                    self.messages += 1;
                    self.bytes += encoded.wire_bytes as u64;
                    if let Some(to) = self.indexes.get(&to).copied() {
                        self.events.push(NETWORK_DELAY, Event::Deliver { to, from: entry, encoded });
                    }
                }
                DispatchAction::Reject { .. }
                | DispatchAction::Probe { .. }
                | DispatchAction::Credit(_)
                | DispatchAction::Relay { .. }
                | DispatchAction::Hedge { .. }
                | DispatchAction::CheckPath { .. }
                | DispatchAction::ReportSuspect(_)
                | DispatchAction::SetSuspectHeads(_) => {}
            }
        }
        Ok(())
    }

    /// Returns the servers of a service as a dispatcher sees them.
    fn server_views(&self, service: usize) -> Vec<ServerView> {
        let now = self.events.instant();
        let indexes = (0..self.options.servers).filter(|index| index % self.options.services == service);
        let view = |index: usize| ServerView {
            id: format!("server-{index:04}").into(),
            incarnation: 1,
            address: ([10, 20, (index / 250) as u8, (index % 250) as u8 + 1], 8_080).into(),
            data_centre: "brno-1".into(),
            slots: SLOTS_PER_SERVER as u32,
            connections: 250,
            state: ServerState::Ready,
            lease_end: now + LEASE_DURATION,
            ready_since: now.checked_sub(READY_TIME).unwrap_or(now),
            warm_at: now,
        };
        indexes.map(view).collect()
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() * mean
}
