//! Simulation of the control components of several instances in virtual time. Every message is encoded and decoded.

use {
    super::{
        configs,
        event_queue::EventQueue,
        wire::{self, EncodedMessage, INCARNATION},
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

/// One-way network delay, which gives the round trip time of 1 ms between data centres of one region.
const NETWORK_DELAY: Duration = Duration::from_micros(500);
/// Duration of an fsync.
const FSYNC_TIME: Duration = Duration::from_millis(2);
/// Time before the first announcement, in which the instances discover each other. An earlier relay message would be
/// dropped, and its repair would distort the measurement.
const DISCOVERY_TIME: Duration = Duration::from_millis(2_500);
/// Number of control replicas, which are the first instances.
const REPLICA_COUNT: usize = 3;
/// Number of servers per service, until the maximum number of services is reached.
const SERVERS_PER_SERVICE: usize = 12;
/// Number of services at the design target.
const MAX_SERVICES: usize = 58;

/// Size and composition of a group.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupOptions {
    pub(super) instances: usize,
    pub(super) servers: usize,
    /// Whether each instance has a dispatcher that receives the server updates.
    pub(super) with_dispatcher: bool,
}

/// Amount of data sent by an instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub(super) heartbeat_bytes: f64,
    pub(super) relay_bytes: f64,
    pub(super) relay_messages: f64,
    pub(super) other_bytes: f64,
}

enum Event {
    Tick(usize),
    Announce(usize),
    Deliver { to: usize, from: usize, encoded: EncodedMessage },
    Persisted(usize, u64),
}

/// The control components of several instances.
pub(super) struct ControlGroup {
    events: EventQueue<Event>,
    nodes: Vec<Control>,
    dispatchers: Vec<Dispatcher>,
    names: Vec<InstanceId>,
    indexes: FastMap<InstanceId, usize>,
    /// Data sent by each instance.
    pub(super) sent: Vec<Traffic>,
    servers: Vec<Announcement>,
    accepted_changes: u64,
    options: GroupOptions,
}

impl ControlGroup {
    /// Starts a group without a configuration.
    pub(super) fn new(options: GroupOptions) -> Self {
        let names: Vec<InstanceId> = (0..options.instances).map(|index| format!("entry-{index:02}").into()).collect();
        let mut events = EventQueue::new();
        let start = events.instant();
        let replicas: Vec<_> = names.iter().take(REPLICA_COUNT).cloned().collect();
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
            // Staggers the ticks, because processes do not tick at the same time.
            let offset = TICK_INTERVAL * index as u32 / options.instances as u32;
            events.push(offset, Event::Tick(index));
        }
        let services = service_count(options.servers);
        let servers = (0..options.servers).map(|index| announcement(index, services)).collect();
        for index in 0..options.servers {
            let offset = ANNOUNCE_INTERVAL * index as u32 / options.servers as u32;
            events.push(DISCOVERY_TIME + offset, Event::Announce(index));
        }
        let indexes = names.iter().enumerate().map(|(index, name)| (name.clone(), index)).collect();
        let sent = vec![Traffic::default(); options.instances];
        Self { events, nodes, dispatchers, names, indexes, sent, servers, accepted_changes: 0, options }
    }

    /// Submits a configuration at an instance and runs until it is accepted and installed on every instance. Returns
    /// the time from the submission until then.
    pub(super) fn submit(&mut self, at: usize, number: u64, text: Box<str>) -> Result<Duration> {
        let start = self.events.now;
        let expected = self.accepted_changes + 1;
        self.handle(at, ControlEvent::Submit { request: number, text })?;
        let mut install_time = None;
        while self.accepted_changes < expected || install_time.is_none() {
            if self.events.now > start + Duration::from_secs(12) {
                return Err(unavailable("a change was not accepted and installed within 12 s of virtual time"));
            }
            self.run(Duration::from_micros(100))?;
            if install_time.is_none() && self.nodes.iter().all(|node| node.installed() >= number) {
                install_time = Some(self.events.now - start);
            }
        }
        Ok(install_time.unwrap_or_default())
    }

    /// Returns the total data sent by all instances.
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

    /// Returns the index of the leader of the replicated log.
    pub(super) fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(Control::is_leading)
    }

    /// Returns the number of servers that the first instance knows.
    pub(super) fn known_servers(&self) -> usize {
        self.nodes[0].registry().len()
    }

    /// Runs the simulation for a duration of virtual time.
    pub(super) fn run(&mut self, duration: Duration) -> Result<()> {
        let until = self.events.now + duration;
        while let Some(event) = self.events.next(until) {
            match event {
                Event::Tick(node) => {
                    self.events.push(TICK_INTERVAL, Event::Tick(node));
                    self.handle(node, ControlEvent::Tick)?;
                }
                Event::Announce(server) => {
                    self.events.push(ANNOUNCE_INTERVAL, Event::Announce(server));
                    let now = self.events.now.as_millis() as u64;
                    let announcement = &mut self.servers[server];
                    announcement.sequence += 1;
                    announcement.uptime_ms = INITIAL_UPTIME_MS + now;
                    let event = ControlEvent::Announce(announcement.clone());
                    self.handle(server % self.options.instances, event)?;
                }
                Event::Deliver { to, from, encoded } => {
                    let message = wire::decode_message::<PeerMessage>(&encoded)?;
                    let from = self.names[from].clone();
                    self.handle(to, ControlEvent::Receive { from, message })?;
                }
                Event::Persisted(node, up_to) => self.handle(node, ControlEvent::Persisted { up_to })?,
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
                ControlAction::Write { sequence, .. } => self.events.push(FSYNC_TIME, Event::Persisted(node, sequence)),
                ControlAction::Answer(Answer::Submit { answer: SubmitAnswer::Accepted { .. }, .. }) => {
                    self.accepted_changes += 1;
                }
                ControlAction::ServersChanged(service, views) => {
                    self.notify_dispatcher(node, DispatchEvent::Servers(service, views))
                }
                ControlAction::Install(text) => self.notify_dispatcher(node, DispatchEvent::Configure(text)),
                ControlAction::LivePeers(live) => self.notify_dispatcher(node, DispatchEvent::Peers(live)),
                _ => {}
            }
        }
        Ok(())
    }

    /// Passes an event to the dispatcher and discards its actions, because slot messages are measured separately.
    fn notify_dispatcher(&mut self, node: usize, event: DispatchEvent) {
        let now = self.events.instant();
        if let Some(dispatcher) = self.dispatchers.get_mut(node) {
            dispatcher.handle(now, event, &mut Vec::new());
        }
    }

    fn send(&mut self, from: usize, to: &str, message: &PeerMessage) -> Result<()> {
        let encoded = wire::encode_control(&self.names[from], message)?;
        let bytes = encoded.wire_bytes as f64;
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
            self.events.push(NETWORK_DELAY, Event::Deliver { to, from, encoded });
        }
        Ok(())
    }
}

/// Initial uptime of the servers. Small numbers would make records shorter than in practice.
const INITIAL_UPTIME_MS: u64 = 24 * 3_600_000;

/// Returns the number of services among which the servers are divided.
pub(super) fn service_count(servers: usize) -> usize {
    servers.div_ceil(SERVERS_PER_SERVICE).clamp(3, MAX_SERVICES)
}

/// Returns the initial announcement of a server.
pub(super) fn announcement(index: usize, services: usize) -> Announcement {
    Announcement {
        server: format!("server-{index:04}").into(),
        service: configs::service_name(index % services).into(),
        address: ([10, 20, (index / 250) as u8, (index % 250) as u8 + 1], 8_080).into(),
        data_centre: "brno-1".into(),
        slots: 2,
        connections: 250,
        state: ServerState::Ready,
        sequence: 100_000,
        incarnation: INCARNATION,
        uptime_ms: INITIAL_UPTIME_MS,
        in_flight: 1,
    }
}
