//! The dispatchers of several entries in virtual time, with every slot message encoded and decoded.

use {
    super::{
        configs,
        event_queue::EventQueue,
        wire::{self, INCARNATION, Sent},
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

const DELAY: Duration = Duration::from_micros(500);
const TICK: Duration = Duration::from_millis(1);
const DEADLINE: Duration = Duration::from_millis(800);
/// Mean time of a call at a server.
pub(super) const WORK: Duration = Duration::from_millis(10);
pub(super) const SLOTS: usize = 2;
const FAR: Duration = Duration::from_secs(86_400);
const UP: Duration = Duration::from_secs(60);
const CUSTOMERS: usize = 24;
const SEED: u64 = 11;

/// What a group is made of.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupOptions {
    pub(super) entries: usize,
    pub(super) services: usize,
    /// Servers of all services together.
    pub(super) servers: usize,
    /// Calls a second of all entries together.
    pub(super) rate: f64,
}

enum Step {
    Tick(usize),
    Arrive,
    Deliver { to: usize, from: usize, sent: Sent },
    Finish { entry: usize, call: u64, server: ServerId, latency: Duration },
}

/// The dispatchers of several entries.
pub(super) struct DispatcherGroup {
    events: EventQueue<Step>,
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
    /// Starts a group that knows its servers and has no traffic.
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
        // The text is valid by construction; a fault would leave every call refused.
        let text = Arc::new(Configuration::parse(&configs::config(1, options.services)).unwrap_or_default());
        for index in 0..options.entries {
            let settings = DispatchOptions {
                id: group.names[index].clone(),
                incarnation: INCARNATION + index as u64,
                roster: options.entries,
                ..DispatchOptions::default()
            };
            group.nodes.push(Dispatcher::new(settings, SmallRng::seed_from_u64(SEED + index as u64)));
            group.handle(index, DispatchEvent::Configure(text.clone()))?;
            for service in 0..options.services {
                let views = group.views(service);
                group.handle(index, DispatchEvent::Servers(configs::service(service).into(), views))?;
            }
            group.events.push(TICK * index as u32 / options.entries as u32, Step::Tick(index));
        }
        for index in 0..options.entries {
            group.handle(index, DispatchEvent::Peers(group.names.clone()))?;
        }
        if options.rate > 0.0 {
            group.events.push(Duration::ZERO, Step::Arrive);
        }
        Ok(group)
    }

    /// Runs for a time.
    pub(super) fn run(&mut self, time: Duration) -> Result<()> {
        let until = self.events.now + time;
        while let Some(step) = self.events.next(until) {
            match step {
                Step::Tick(entry) => {
                    self.events.push(TICK, Step::Tick(entry));
                    self.handle(entry, DispatchEvent::Tick)?;
                }
                Step::Arrive => {
                    let gap = exponential(&mut self.rng, 1.0 / self.options.rate);
                    self.events.push(Duration::from_secs_f64(gap), Step::Arrive);
                    let entry = self.rng.random_range(0..self.options.entries);
                    self.call(entry)?;
                }
                Step::Deliver { to, from, sent } => {
                    let message = wire::take::<SlotMessage>(&sent)?;
                    let from = self.names[from].clone();
                    self.handle(to, DispatchEvent::PeerMessage { from, message })?;
                }
                Step::Finish { entry, call, server, latency } => {
                    self.answered += 1;
                    let finish = FinishedAttempt {
                        call,
                        server,
                        result: AttemptResult::Complete,
                        latency,
                        report: None,
                        wants_decision: false,
                    };
                    self.handle(entry, DispatchEvent::AttemptFinished(finish))?;
                }
            }
        }
        Ok(())
    }

    fn call(&mut self, entry: usize) -> Result<()> {
        self.calls += 1;
        let service = self.rng.random_range(0..self.options.services);
        let call = Call {
            id: self.calls,
            service: configs::service(service).into(),
            customer: format!("customer-{}", self.rng.random_range(0..CUSTOMERS)).into(),
            idempotent: true,
            replayable: true,
            deadline: self.events.instant() + DEADLINE,
            depth: 0,
            retry_allowance: false,
            upload: false,
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
                    let work = Duration::from_secs_f64(exponential(&mut self.rng, WORK.as_secs_f64()));
                    self.events.push(work, Step::Finish { entry, call, server, latency: work });
                }
                DispatchAction::SendMessage { to, message } => {
                    let sent = wire::slots(&self.names[entry], &message)?;
                    self.messages += 1;
                    self.bytes += sent.on_wire as u64;
                    if let Some(to) = self.indexes.get(&to).copied() {
                        self.events.push(DELAY, Step::Deliver { to, from: entry, sent });
                    }
                }
                DispatchAction::Reject { .. } | DispatchAction::Probe { .. } => {}
            }
        }
        Ok(())
    }

    /// Returns the servers of a service.
    fn views(&self, service: usize) -> Vec<ServerView> {
        let now = self.events.instant();
        let numbers = (0..self.options.servers).filter(|index| index % self.options.services == service);
        let view = |index: usize| ServerView {
            id: format!("server-{index:04}").into(),
            address: ([10, 20, (index / 250) as u8, (index % 250) as u8 + 1], 8_080).into(),
            data_centre: "brno-1".into(),
            slots: SLOTS as u32,
            connections: 250,
            state: ServerState::Ready,
            lease_end: now + FAR,
            ready_since: now.checked_sub(UP).unwrap_or(now),
        };
        numbers.map(view).collect()
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() * mean
}
