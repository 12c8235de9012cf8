//! The control parts of several instances in virtual time, with every message encoded and decoded.

use {
    super::{
        configs,
        event_queue::EventQueue,
        wire::{self, INCARNATION, Sent},
    },
    hemlockford_core::{
        collections::FastMap,
        consensus::Recovered,
        control::{
            Answer, Control, ControlAction, ControlEvent, ControlOptions, PeerMessage, SubmitAnswer, TICK_INTERVAL,
        },
        dispatch::{DispatchEvent, DispatchOptions, Dispatcher, ServerState},
        errors::{Result, unavailable},
        ids::InstanceId,
        registry::{ANNOUNCE_INTERVAL, Announcement},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Time that a message takes; two make the round trip of 1 ms between data centres of one region.
const DELAY: Duration = Duration::from_micros(500);
/// Time that an fsync takes.
const SYNC: Duration = Duration::from_millis(2);
/// Time until the first announcement, in which the instances get to know each other. A relay before that is
/// dropped, and its repair would be measured with what follows.
const QUIET: Duration = Duration::from_millis(2_500);
/// Control replicas, the first of the instances.
const REPLICAS: usize = 3;
/// Servers of one service while there are enough services.
const SERVERS_OF_SERVICE: usize = 12;
/// Services at the design target.
const MAX_SERVICES: usize = 58;

/// What a group is made of.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupOptions {
    pub(super) instances: usize,
    pub(super) servers: usize,
    /// Whether each instance has a dispatcher that is told the servers.
    pub(super) with_dispatcher: bool,
}

/// What an instance has sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub(super) heartbeat_bytes: f64,
    pub(super) relay_bytes: f64,
    pub(super) relay_messages: f64,
    pub(super) other_bytes: f64,
}

enum Step {
    Tick(usize),
    Announce(usize),
    Deliver { to: usize, from: usize, sent: Sent },
    Persisted(usize, u64),
}

/// The control parts of several instances.
pub(super) struct ControlGroup {
    events: EventQueue<Step>,
    nodes: Vec<Control>,
    dispatchers: Vec<Dispatcher>,
    names: Vec<InstanceId>,
    indexes: FastMap<InstanceId, usize>,
    /// What each instance has sent.
    pub(super) sent: Vec<Traffic>,
    servers: Vec<Announcement>,
    accepted: u64,
    options: GroupOptions,
}

impl ControlGroup {
    /// Starts a group that knows no text.
    pub(super) fn new(options: GroupOptions) -> Self {
        let names: Vec<InstanceId> = (0..options.instances).map(|index| format!("entry-{index:02}").into()).collect();
        let mut events = EventQueue::new();
        let start = events.instant();
        let replicas: Vec<_> = names.iter().take(REPLICAS).cloned().collect();
        let mut nodes = Vec::new();
        let mut dispatchers = Vec::new();
        for (index, id) in names.iter().enumerate() {
            let control = ControlOptions {
                id: id.clone(),
                incarnation: INCARNATION,
                peers: names.iter().filter(|name| *name != id).cloned().collect(),
                replicas: replicas.clone(),
                ..ControlOptions::default()
            };
            let recovered = Recovered { incarnation: INCARNATION + index as u64, ..Recovered::default() };
            nodes.push(Control::new(control, Some(recovered), start, SmallRng::seed_from_u64(index as u64)));
            if options.with_dispatcher {
                let settings = DispatchOptions {
                    id: id.clone(),
                    incarnation: INCARNATION,
                    roster: options.instances,
                    ..DispatchOptions::default()
                };
                dispatchers.push(Dispatcher::new(settings, SmallRng::seed_from_u64(index as u64)));
            }
            // Processes do not tick at the same time.
            let offset = TICK_INTERVAL * index as u32 / options.instances as u32;
            events.push(offset, Step::Tick(index));
        }
        let services = services_of(options.servers);
        let servers = (0..options.servers).map(|index| announcement(index, services)).collect();
        for index in 0..options.servers {
            let offset = ANNOUNCE_INTERVAL * index as u32 / options.servers as u32;
            events.push(QUIET + offset, Step::Announce(index));
        }
        let indexes = names.iter().enumerate().map(|(index, name)| (name.clone(), index)).collect();
        let sent = vec![Traffic::default(); options.instances];
        Self { events, nodes, dispatchers, names, indexes, sent, servers, accepted: 0, options }
    }

    /// Submits a text at an instance and runs until it is accepted; returns when it was in force on every
    /// instance, counted from the submission.
    pub(super) fn submit(&mut self, at: usize, number: u64, text: Box<str>) -> Result<Duration> {
        let start = self.events.now;
        let accepted = self.accepted + 1;
        self.handle(at, ControlEvent::Submit { request: number, text })?;
        let mut in_force = None;
        while self.accepted < accepted || in_force.is_none() {
            if self.events.now > start + Duration::from_secs(12) {
                return Err(unavailable("a change was not accepted in virtual time"));
            }
            self.run(Duration::from_micros(100))?;
            if in_force.is_none() && self.nodes.iter().all(|node| node.installed() >= number) {
                in_force = Some(self.events.now - start);
            }
        }
        Ok(in_force.unwrap_or_default())
    }

    /// Returns the sum of what all instances have sent.
    pub(super) fn total(&self) -> Traffic {
        self.sent.iter().fold(Traffic::default(), |sum, sent| Traffic {
            heartbeat_bytes: sum.heartbeat_bytes + sent.heartbeat_bytes,
            relay_bytes: sum.relay_bytes + sent.relay_bytes,
            relay_messages: sum.relay_messages + sent.relay_messages,
            other_bytes: sum.other_bytes + sent.other_bytes,
        })
    }

    /// Returns the virtual time since the start.
    pub(super) fn now(&self) -> Duration {
        self.events.now
    }

    /// Returns which instance leads the replicated log.
    pub(super) fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(Control::is_leading)
    }

    /// Returns the servers that the first instance knows.
    pub(super) fn servers_known(&self) -> usize {
        self.nodes[0].registry().len()
    }

    /// Runs for a time.
    pub(super) fn run(&mut self, time: Duration) -> Result<()> {
        let until = self.events.now + time;
        while let Some(step) = self.events.next(until) {
            match step {
                Step::Tick(node) => {
                    self.events.push(TICK_INTERVAL, Step::Tick(node));
                    self.handle(node, ControlEvent::Tick)?;
                }
                Step::Announce(server) => {
                    self.events.push(ANNOUNCE_INTERVAL, Step::Announce(server));
                    let now = self.events.now.as_millis() as u64;
                    let announcement = &mut self.servers[server];
                    announcement.sequence += 1;
                    announcement.uptime_ms = DAY_MS + now;
                    let event = ControlEvent::Announce(announcement.clone());
                    self.handle(server % self.options.instances, event)?;
                }
                Step::Deliver { to, from, sent } => {
                    let message = wire::take::<PeerMessage>(&sent)?;
                    let from = self.names[from].clone();
                    self.handle(to, ControlEvent::Receive { from, message })?;
                }
                Step::Persisted(node, up_to) => self.handle(node, ControlEvent::Persisted { up_to })?,
            }
        }
        Ok(())
    }

    fn handle(&mut self, node: usize, event: ControlEvent) -> Result<()> {
        let now = self.events.instant();
        let mut actions = Vec::new();
        self.nodes[node].handle(now, event, &mut actions);
        for action in actions {
            match action {
                ControlAction::SendDatagram { to, message } | ControlAction::SendStream { to, message } => {
                    self.send(node, &to, &message)?;
                }
                ControlAction::Write { sequence, .. } => self.events.push(SYNC, Step::Persisted(node, sequence)),
                ControlAction::Answer(Answer::Submit { answer: SubmitAnswer::Accepted { .. }, .. }) => {
                    self.accepted += 1;
                }
                ControlAction::ServersChanged(service, views) => {
                    self.tell(node, DispatchEvent::Servers(service, views))
                }
                ControlAction::Install(text) => self.tell(node, DispatchEvent::Configure(text)),
                ControlAction::LivePeers(live) => self.tell(node, DispatchEvent::Peers(live)),
                _ => {}
            }
        }
        Ok(())
    }

    /// Tells the dispatcher; what it says to others is left out, as slot messages are measured by themselves.
    fn tell(&mut self, node: usize, event: DispatchEvent) {
        let now = self.events.instant();
        if let Some(dispatcher) = self.dispatchers.get_mut(node) {
            dispatcher.handle(now, event, &mut Vec::new());
        }
    }

    fn send(&mut self, from: usize, to: &str, message: &PeerMessage) -> Result<()> {
        let sent = wire::control(&self.names[from], message)?;
        let bytes = sent.on_wire as f64;
        let traffic = &mut self.sent[from];
        match message {
            PeerMessage::Heartbeat(_) => traffic.heartbeat_bytes += bytes,
            PeerMessage::Relay { .. } | PeerMessage::Ask { .. } => {
                traffic.relay_bytes += bytes;
                traffic.relay_messages += 1.0;
            }
            _ => traffic.other_bytes += bytes,
        }
        if let Some(to) = self.indexes.get(to).copied() {
            self.events.push(DELAY, Step::Deliver { to, from, sent });
        }
        Ok(())
    }
}

/// Servers have been up for a day, as small numbers would make records shorter than they are.
const DAY_MS: u64 = 24 * 3_600_000;

/// Returns the services among which a number of servers is divided.
pub(super) fn services_of(servers: usize) -> usize {
    servers.div_ceil(SERVERS_OF_SERVICE).clamp(3, MAX_SERVICES)
}

/// Returns what a server announces first.
pub(super) fn announcement(index: usize, services: usize) -> Announcement {
    Announcement {
        server: format!("server-{index:04}").into(),
        service: configs::service(index % services).into(),
        address: ([10, 20, (index / 250) as u8, (index % 250) as u8 + 1], 8_080).into(),
        data_centre: "brno-1".into(),
        slots: 2,
        connections: 250,
        state: ServerState::Ready,
        sequence: 100_000,
        incarnation: INCARNATION,
        uptime_ms: DAY_MS,
        in_flight: 1,
    }
}
