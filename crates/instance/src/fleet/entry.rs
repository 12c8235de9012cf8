//! Start and stop of an entry of a fleet.

use {
    super::{
        PlatformInterface,
        admin::{AdminTask, Readiness},
        balancer_task::BalancerTask,
        drop_log::DropLog,
        entry_task::EntryTask,
        event_times::EventTimes,
        network::Network,
        replica::seed_ids,
        translator::Translator,
    },
    crate::{
        clock::wall_clock_ns,
        counters::{Counters, PROGRAM_VERSION},
        panic_guard::PanicGuard,
        pending_decisions::PendingDecisions,
        settings::{FleetSettings, Settings},
        sockets::{bind, bind_tcp_and_udp},
    },
    actix_rt::{
        task::JoinHandle,
        time::{sleep, timeout},
    },
    hemlockford_core::{
        config::{Configuration, Service},
        errors::Result,
        fleet::{EntryLink, EntryOptions},
        ids::InstanceId,
        probing::{Balancer, BalancerOptions, HedgeCounts},
    },
    hemlockford_net::{BootClock, MESSAGE_VERSION},
    hemlockford_proxy::{
        ClientBudget, ClientLimits, ConnectionLimit, DispatcherHandle, ProxyCounters, ProxyOptions, Worker,
        WorkerBalancer,
    },
    prometheus::Registry,
    rand::{SeedableRng, rngs::SmallRng},
    slog::{Logger, info},
    std::{
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{mpsc, watch},
};

/// Time for which new requests are still served after the entry reports that it is not ready. The platform checks
/// readiness once a second and stops sending connections after two failed checks.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(2_700);
/// Part of the grace period that is reserved for ending the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Part of the grace period before that in which the last calls are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Minimum share of requests that are not retries by callers. An entry cannot recognize these retries, and they do not
/// increase the number of extra attempts that the platform permits.
const MIN_FIRST_ATTEMPT_SHARE: f64 = 0.7;

/// A running entry.
pub struct FleetEntry {
    port: u16,
    grace_period: Duration,
    seeds: mpsc::UnboundedSender<Vec<InstanceId>>,
    is_draining: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    close: watch::Sender<bool>,
    calls_end: watch::Sender<Option<Instant>>,
    worker: JoinHandle<Result<()>>,
    failure: mpsc::UnboundedReceiver<Box<str>>,
    log: Logger,
}

impl FleetEntry {
    /// Binds the sockets and starts the tasks on the current thread.
    pub fn start(
        settings: &Settings,
        fleet: &FleetSettings,
        interface: Arc<dyn PlatformInterface>,
        log: &Logger,
    ) -> Result<Self> {
        let callers = bind(settings.callers)?;
        let relays = settings.relay.map(bind).transpose()?;
        let admin_listener = bind(settings.admin)?;
        let sockets = bind_tcp_and_udp(settings.listen)?;
        let listen = settings.listen;
        let (id, incarnation): (InstanceId, _) = (listen.to_string().into(), wall_clock_ns());
        let registry = Registry::new();
        let counters = Counters::register(&registry)?;
        let proxy_counters = ProxyCounters::register(&registry)?;
        let limits = ClientLimits::of_entry(fleet.memory_mb, fleet.descriptors);
        let clients = ClientBudget::register(limits, &registry)?;
        let dialect = Rc::new(interface.dialect());
        let connection_limit = Arc::new(ConnectionLimit::new(Service::default().max_connections as usize, 1, 1));

        let (dispatcher, dispatcher_rx) = DispatcherHandle::new();
        let (events_tx, events_rx) = mpsc::unbounded_channel();
        let (received_tx, received_rx) = mpsc::unbounded_channel();
        let (seeds_tx, seeds_rx) = mpsc::unbounded_channel();
        let (reports_tx, reports_rx) = mpsc::unbounded_channel();
        let (suspect_heads_tx, suspect_heads) = watch::channel(Arc::default());
        let (config_tx, config_rx) = watch::channel(Arc::<Configuration>::default());
        let (ready_tx, ready_rx) = watch::channel(false);
        let (drain_tx, drain_rx) = watch::channel(false);
        let (stop_tx, stop_rx) = watch::channel(false);
        let (close_tx, close_rx) = watch::channel(false);
        let (calls_end_tx, calls_end_rx) = watch::channel(None);
        let (parsed_tx, parsed_rx) = mpsc::unbounded_channel();
        let (failure_tx, failure_rx) = mpsc::unbounded_channel();

        let options = EntryOptions {
            id: id.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            seeds: seed_ids(&fleet.seeds, listen.port()),
            relay: settings.relay,
            ..EntryOptions::default()
        };
        let task = EntryTask {
            link: EntryLink::new(BootClock::now(), options, SmallRng::seed_from_u64(incarnation)),
            network: Network::start(sockets, (id, incarnation), counters.clone(), received_tx, log.clone())?,
            received: received_rx,
            seeds: seeds_rx,
            stop: stop_rx.clone(),
            is_stopping: false,
            parsed_tx,
            parsed_rx,
            reports: reports_rx,
            balancer: events_tx,
            config: config_tx,
            is_link_ready: ready_tx,
            connection_limit: connection_limit.clone(),
            counters: counters.clone(),
            log: log.clone(),
            times: EventTimes::new(&counters, log),
            drop_log: DropLog::default(),
        };
        let guard = PanicGuard { task: "the entry task", failure: failure_tx.clone() };
        actix_rt::spawn(async move {
            let _guard = guard;
            task.run().await;
        });
        let (probes_tx, probes_rx) = mpsc::unbounded_channel();
        let (probe_events_tx, probe_events) = mpsc::unbounded_channel();
        let task = BalancerTask {
            balancer: Balancer::new(balancer_options(settings, fleet), SmallRng::seed_from_u64(incarnation ^ 1)),
            messages: dispatcher_rx,
            events: events_rx,
            probes: probes_tx,
            probe_events_tx,
            probe_events,
            pending: PendingDecisions::default(),
            lost_paths: 0,
            next_warm_up_report: Instant::now(),
            hedge_counts: HedgeCounts::default(),
            reports: reports_tx,
            suspect_heads: suspect_heads_tx,
            counters,
        };
        let guard = PanicGuard { task: "the balancer task", failure: failure_tx };
        actix_rt::spawn(async move {
            let _guard = guard;
            task.run().await;
        });
        let admin = AdminTask {
            translator: Translator::new(interface),
            replica: None,
            readiness: Readiness { is_link_ready: ready_rx, is_draining: drain_rx },
            registry,
            status: None,
            clients: clients.clone(),
        };
        actix_rt::spawn(admin.run(admin_listener));
        let worker = Worker {
            number: 0,
            balancer: WorkerBalancer::for_workers(1).remove(0),
            options: ProxyOptions {
                serve_while_stopping: Some(close_rx),
                calls_end: Some(calls_end_rx),
                suspect_heads: Some(suspect_heads),
                connection_limit,
                runs_copies: fleet.hedge_share > 0.0,
                clients,
                ..ProxyOptions::fleet((*dialect).clone(), incarnation)
            },
            dispatcher,
            config: config_rx,
            stop: stop_rx,
            claims: None,
            probes: Some(probes_rx),
            counters: proxy_counters,
            records: None,
        };
        let worker = actix_rt::spawn(worker.run_with_relays(callers, relays));
        info!(log, "entry started"; "callers" => %settings.callers, "listen" => %listen, "version" => PROGRAM_VERSION,
            "messages" => MESSAGE_VERSION);
        Ok(Self {
            port: listen.port(),
            grace_period: fleet.grace_period,
            seeds: seeds_tx,
            is_draining: drain_tx,
            stop: stop_tx,
            close: close_tx,
            calls_end: calls_end_tx,
            worker,
            failure: failure_rx,
            log: log.clone(),
        })
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, addresses: &[SocketAddr]) {
        let _ = self.seeds.send(seed_ids(addresses, self.port));
    }

    /// Waits until a task panics, and returns the cause.
    pub async fn wait_for_failure(&mut self) -> Box<str> {
        match self.failure.recv().await {
            Some(failure) => failure,
            None => std::future::pending().await,
        }
    }

    /// Stops as planned within the grace period: reports itself as not ready, rejects new calls after the notice time
    /// and finishes the calls in progress.
    pub async fn shut_down(self) {
        let end = Instant::now() + self.grace_period.saturating_sub(EXIT_MARGIN);
        info!(self.log, "shutting down; no longer ready");
        self.calls_end.send_replace(Some(end - ANSWER_MARGIN));
        self.is_draining.send_replace(true);
        self.stop.send_replace(true);
        // With a short grace period, half of it is left for the calls that were accepted last.
        sleep(SHUTDOWN_NOTICE.min(self.grace_period / 2)).await;
        info!(self.log, "shutting down; accepting no new calls");
        self.close.send_replace(true);
        let _ = timeout(end.saturating_duration_since(Instant::now()), self.worker).await;
    }
}

fn balancer_options(settings: &Settings, fleet: &FleetSettings) -> BalancerOptions {
    BalancerOptions {
        data_centre: settings.data_centre.clone(),
        retry_ratio: fleet.retry_ratio * MIN_FIRST_ATTEMPT_SHARE,
        retry_slack: fleet.retry_slack,
        retry_window: fleet.retry_window,
        quota: fleet.quota(),
        warm_up_overage: fleet.warm_up_overage,
        warm_up_slack: fleet.warm_up_slack,
        hedge_share: fleet.hedge_share,
        ..BalancerOptions::default()
    }
}
