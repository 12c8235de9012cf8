//! Task that runs the link of an entry to the replicas.

use {
    super::{balancer_report::BalancerReport, drop_log::DropLog, event_times::EventTimes, network::Network},
    crate::{clock::to_steady, counters::Counters},
    actix_rt::{task::spawn_blocking, time::sleep_until},
    hemlockford_core::{
        config::Configuration,
        dispatch::DispatchEvent,
        fleet::{EntryAction, EntryEvent, EntryLink, FleetMessage},
        ids::{ChangeNumber, InstanceId},
        probing::ColdServer,
    },
    hemlockford_net::{BootClock, Envelope},
    hemlockford_proxy::ConnectionLimit,
    slog::{Logger, info},
    std::{sync::Arc, time::Duration},
    tokio::{
        select,
        sync::{mpsc, watch},
    },
};

/// Time until the next tick if the state machine has no timer.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Passes events to the state machine and executes its actions.
pub(super) struct EntryTask {
    pub(super) link: EntryLink,
    pub(super) network: Network,
    pub(super) received: mpsc::UnboundedReceiver<(Envelope<FleetMessage>, usize)>,
    pub(super) seeds: mpsc::UnboundedReceiver<Vec<InstanceId>>,
    pub(super) stop: watch::Receiver<bool>,
    pub(super) is_stopping: bool,
    /// Passes texts that were parsed on another thread to this task.
    pub(super) parsed_tx: mpsc::UnboundedSender<EntryEvent>,
    pub(super) parsed_rx: mpsc::UnboundedReceiver<EntryEvent>,
    pub(super) reports: mpsc::UnboundedReceiver<BalancerReport>,
    pub(super) balancer: mpsc::UnboundedSender<DispatchEvent>,
    pub(super) config: watch::Sender<Arc<Configuration>>,
    pub(super) is_link_ready: watch::Sender<bool>,
    /// The servers' connections, which all entries share.
    pub(super) connection_limit: Arc<ConnectionLimit>,
    pub(super) counters: Counters,
    pub(super) log: Logger,
    pub(super) times: EventTimes,
    pub(super) drop_log: DropLog,
}

impl EntryTask {
    pub(super) async fn run(mut self) {
        let mut actions = Vec::new();
        self.link.handle(BootClock::now(), EntryEvent::Tick, &mut actions);
        self.execute(&mut actions);
        loop {
            let wake = self.link.next_wake().unwrap_or_else(|| BootClock::now() + MAX_TICK_INTERVAL);
            let event = select! {
                biased;
                Some((envelope, bytes)) = self.received.recv() => {
                    self.counters.count_message("any", "received", "fleet", bytes);
                    let Envelope { from, incarnation, message } = envelope;
                    EntryEvent::Receive { from, incarnation, message }
                }
                _ = self.stop.changed(), if !self.is_stopping => {
                    self.is_stopping = true;
                    EntryEvent::Stopping
                }
                seeds = self.seeds.recv() => match seeds {
                    Some(seeds) => EntryEvent::Seeds(seeds),
                    None => return,
                },
                Some(parsed) = self.parsed_rx.recv() => parsed,
                Some(report) = self.reports.recv() => match report {
                    BalancerReport::Leaving(server) => EntryEvent::ServerLeaving(server),
                    BalancerReport::Suspect(record) => EntryEvent::Suspect(record),
                    BalancerReport::Credit(request) => EntryEvent::Credit(request),
                    BalancerReport::CreditContact(true) => {
                        info!(self.log, "a leader lends credit for customers' calls again");
                        continue;
                    }
                    BalancerReport::CreditContact(false) => {
                        info!(self.log, "cut off from credit for customers' calls; using this entry's own part");
                        continue;
                    }
                    BalancerReport::LostPaths(0) => {
                        info!(self.log, "the servers of all services can be reached");
                        continue;
                    }
                    BalancerReport::LostPaths(services) => {
                        info!(self.log, "lost the path to the servers; passing calls on to other entries";
                            "services" => services);
                        continue;
                    }
                    BalancerReport::ColdServer(ColdServer::Cold { server, left, rate }) => {
                        info!(self.log, "server {} is cold", server; "left" => ?left, "calls_per_second" => rate);
                        continue;
                    }
                    BalancerReport::ColdServer(ColdServer::Warm { server, calls }) => {
                        info!(self.log, "server {} is warm", server; "calls_while_cold" => calls);
                        continue;
                    }
                    BalancerReport::Crash { server, request } => {
                        info!(self.log, "server {} ended while it ran a request", server; "request" => %request);
                        continue;
                    }
                },
                () = sleep_until(BootClock::to_steady(wake).into()) => EntryEvent::Tick,
            };
            let (name, started) = (event.name(), BootClock::now());
            self.link.handle(started, event, &mut actions);
            self.times.record(name, started, BootClock::now());
            self.execute(&mut actions);
        }
    }

    fn execute(&mut self, actions: &mut Vec<EntryAction>) {
        for action in actions.drain(..) {
            match action {
                EntryAction::Send { to, message } => self.network.send(&to, message),
                EntryAction::Parse { number, text } => self.parse(number, text),
                EntryAction::Configure(config) => {
                    info!(self.log, "configuration installed"; "number" => config.number);
                    self.counters.change_number.set(config.number as i64);
                    // A pool does not know the service of a server, so that the lowest limit counts.
                    if let Some(connections) = config.services.values().map(|service| service.max_connections).min() {
                        self.connection_limit.set_connections(connections as usize);
                    }
                    // The balancer must know the services before the worker sends it calls for them.
                    self.send_to_balancer(DispatchEvent::Configure(config.clone()));
                    self.config.send_replace(config);
                }
                EntryAction::ServersChanged(service, servers) => {
                    self.counters.servers.with_label_values(&[&service]).set(servers.len() as i64);
                    self.send_to_balancer(DispatchEvent::Servers(service, to_steady(servers)));
                }
                EntryAction::LiveEntries(count) => {
                    self.counters.live_instances.set(i64::from(count));
                    self.connection_limit.set_entries(count as usize);
                    self.send_to_balancer(DispatchEvent::Peers(vec![InstanceId::default(); count as usize]));
                }
                EntryAction::Position(index) => self.send_to_balancer(DispatchEvent::Position(index as usize)),
                EntryAction::Ready(is_ready) => {
                    info!(self.log, "readiness changed"; "ready" => is_ready);
                    self.counters.ready.set(i64::from(is_ready));
                    self.is_link_ready.send_replace(is_ready);
                }
                EntryAction::Relays(relays) => self.send_to_balancer(DispatchEvent::Relays(relays)),
                EntryAction::Credit { from, response } => {
                    self.send_to_balancer(DispatchEvent::Credit { from, response });
                }
                EntryAction::Suspects(records) => self.send_to_balancer(DispatchEvent::Suspects(records)),
                EntryAction::Log(entry) if self.drop_log.record(&entry, &self.counters) => {
                    info!(self.log, "{}", entry);
                }
                EntryAction::Log(_) => {}
            }
        }
    }

    /// Parses a long text on another thread, so that requests and messages are handled meanwhile.
    fn parse(&self, number: ChangeNumber, text: Arc<str>) {
        let parsed = self.parsed_tx.clone();
        actix_rt::spawn(async move {
            let config = spawn_blocking(move || Configuration::parse(&text).ok().map(Arc::new)).await;
            // Without a receiver the process is stopping.
            let _ = parsed.send(EntryEvent::Parsed { number, config: config.unwrap_or_default() });
        });
    }

    fn send_to_balancer(&self, event: DispatchEvent) {
        // Without a receiver the process is stopping.
        let _ = self.balancer.send(event);
    }
}
