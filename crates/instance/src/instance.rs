//! Start and stop of the tasks of an instance.

use {
    crate::{
        addresses::Addresses,
        admin::AdminTask,
        clock::wall_clock_ns,
        control::{ControlMessage, ControlThread, control_options},
        counters::Counters,
        dispatcher::DispatcherTask,
        durable_state::DurableState,
        panic_guard::PanicGuard,
        pending_decisions::PendingDecisions,
        prober::Prober,
        report::ReportTask,
        settings::Settings,
        sockets::Sockets,
        storage::StorageTask,
    },
    actix_rt::Arbiter,
    error_stack::ResultExt,
    hemlockford_core::{
        config::Configuration,
        dispatch::{DispatchOptions, Dispatcher},
        errors::{ErrorKind, Result},
        ids::Incarnation,
        measure::MeasureCounters,
    },
    hemlockford_net::Timer,
    hemlockford_proxy::{
        ClientBudget, ClientLimits, ConnectionLimit, DispatcherHandle, ProxyCounters, ProxyOptions, Worker,
        WorkerBalancer,
    },
    prometheus::Registry,
    rand::{SeedableRng, rngs::SmallRng},
    slog::{Logger, info, warn},
    std::{
        net::TcpListener,
        sync::{Arc, mpsc as blocking},
        time::{Duration, Instant},
    },
    tokio::sync::{mpsc, oneshot, watch},
};

/// Assumed maximum number of connections of a server if no smaller limit is known; the users' servers accept 250.
const DEFAULT_SERVER_CONNECTIONS: usize = 250;
/// Maximum time for a leadership transfer on a planned stop; an election takes at most about as long.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    addresses: Addresses,
    shutdown_notice: Duration,
    arbiters: Vec<Arbiter>,
    control: mpsc::UnboundedSender<ControlMessage>,
    is_draining: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    workers: mpsc::UnboundedReceiver<()>,
    failure: mpsc::UnboundedReceiver<Box<str>>,
    log: Logger,
}

impl Instance {
    /// Binds the sockets, opens the data folder and starts the tasks.
    pub fn start(settings: &Settings, log: &Logger) -> Result<Self> {
        let sockets = Sockets::bind(settings)?;
        let addresses = sockets.addresses(settings)?;
        let Sockets { callers, admin: admin_listener, listen, datagrams } = sockets;
        let DurableState { incarnation, store, recovered, .. } = DurableState::open(settings, log)?;
        let registry = Registry::new();
        let counters = Counters::register(&registry)?;
        let proxy_counters = ProxyCounters::register(&registry)?;
        let clients = ClientBudget::register(ClientLimits::default(), &registry)?;

        let (dispatcher_handle, dispatcher_rx) = DispatcherHandle::new();
        let (dispatch_tx, dispatch_rx) = mpsc::unbounded_channel();
        let (control_tx, control_rx) = mpsc::unbounded_channel();
        let (claims_tx, claims_rx) = mpsc::unbounded_channel();
        let (records_tx, records_rx) = mpsc::unbounded_channel();
        let (reports_tx, reports_rx) = mpsc::unbounded_channel();
        let (config_tx, config_rx) = watch::channel(Arc::<Configuration>::default());
        let (serve_tx, serve_rx) = watch::channel(None);
        let (drain_tx, drain_rx) = watch::channel(false);
        let (servers_known_tx, servers_known_rx) = watch::channel(false);
        let (stop_tx, stop_rx) = watch::channel(false);
        let (failure_tx, failure_rx) = mpsc::unbounded_channel();
        let (datagram_sender_tx, datagram_sender_rx) = oneshot::channel();

        let storage = store.map(|store| {
            let (tx, rx) = blocking::channel();
            let persisted_tx = control_tx.clone();
            let task = StorageTask {
                store,
                rx,
                on_persisted: Box::new(move |up_to| {
                    // Without a receiver the process is stopping.
                    let _ = persisted_tx.send(ControlMessage::Persisted(up_to));
                }),
                failure: failure_tx.clone(),
                write_seconds: counters.storage_seconds.clone(),
                full_disk_errors: counters.full_disk_errors.clone(),
                log: log.clone(),
            };
            std::thread::spawn(move || task.run());
            tx
        });
        let admin = AdminTask {
            control: control_tx.clone(),
            reports: reports_tx,
            serve_until: serve_rx.clone(),
            is_draining: drain_rx,
            are_servers_known: servers_known_rx,
            registry,
            clients: clients.clone(),
        };
        let control = ControlThread {
            options: control_options(settings, incarnation),
            data_centre: settings.data_centre.clone(),
            peers: settings.peers.clone(),
            recovered,
            rng: SmallRng::seed_from_u64(wall_clock_ns()),
            listen,
            datagrams,
            admin: (admin, admin_listener),
            report: ReportTask { records: records_rx, requests: reports_rx, config: config_rx.clone() },
            control: control_tx.clone(),
            messages: control_rx,
            claims: claims_rx,
            dispatcher: dispatch_tx,
            config: config_tx,
            serve_until: serve_tx,
            are_servers_known: servers_known_tx,
            storage,
            datagram_sender: datagram_sender_tx,
            failure: failure_tx.clone(),
            counters: counters.clone(),
            log: log.clone(),
        };
        let dispatcher = create_dispatcher(settings, incarnation);
        let guard = PanicGuard { task: "the dispatcher task", failure: failure_tx };

        let mut arbiters = vec![Arbiter::new(), Arbiter::new()];
        arbiters[0].spawn_fn(move || control.start());
        arbiters[1].spawn_fn(move || {
            actix_rt::spawn(async move {
                let _guard = guard;
                let Ok(datagrams) = datagram_sender_rx.await else { return };
                let (timer, timer_task) = Timer::new();
                actix_rt::spawn(timer_task.run());
                let (prober, probe_events) = Prober::new();
                let task = DispatcherTask {
                    dispatcher,
                    messages: dispatcher_rx,
                    events: dispatch_rx,
                    pending: PendingDecisions::default(),
                    serve_until: serve_rx,
                    datagrams,
                    timer,
                    counters,
                    prober,
                    probe_events,
                    handled_at: Instant::now(),
                    last_measure_counters: MeasureCounters::default(),
                };
                task.run().await;
            });
        });
        let worker = |number, balancer| Worker {
            number,
            balancer,
            options: ProxyOptions { clients: clients.clone(), ..proxy_options(settings) },
            dispatcher: dispatcher_handle.clone(),
            config: config_rx.clone(),
            stop: stop_rx.clone(),
            probes: None,
            claims: Some(claims_tx.clone()),
            counters: proxy_counters.clone(),
            records: Some(records_tx.clone()),
        };
        let (worker_arbiters, workers) = start_workers(settings.workers, &callers, worker)?;
        arbiters.extend(worker_arbiters);
        Ok(Self {
            addresses,
            shutdown_notice: settings.shutdown_notice,
            arbiters,
            control: control_tx,
            is_draining: drain_tx,
            stop: stop_tx,
            workers,
            failure: failure_rx,
            log: log.clone(),
        })
    }

    /// Returns the addresses to which the instance is bound.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Waits until a task panics, an invariant is violated or the data folder fails, and returns the cause. The process
    /// must then stop at once and must not acknowledge anything.
    pub async fn wait_for_failure(&mut self) -> Box<str> {
        match self.failure.recv().await {
            Some(failure) => failure,
            None => std::future::pending().await,
        }
    }

    /// Stops as planned: reports itself as not ready, rejects new calls after the notice time, finishes the calls in
    /// progress and transfers leadership.
    pub async fn shut_down(mut self) {
        info!(self.log, "shutting down; no longer ready"; "notice_ms" => self.shutdown_notice.as_millis() as u64);
        self.is_draining.send_replace(true);
        let _ = self.control.send(ControlMessage::Drain);
        actix_rt::time::sleep(self.shutdown_notice).await;
        info!(self.log, "shutting down; accepting no new calls");
        self.stop.send_replace(true);
        while self.workers.recv().await.is_some() {}
        let (reply, rx) = oneshot::channel();
        let _ = self.control.send(ControlMessage::Stop(reply));
        if actix_rt::time::timeout(LEADERSHIP_TRANSFER_TIMEOUT, rx).await.is_err() {
            warn!(self.log, "leadership transfer timed out");
        }
        self.stop();
    }

    /// Stops the tasks at once.
    pub fn stop(self) {
        for arbiter in self.arbiters {
            arbiter.stop();
            let _ = arbiter.join();
        }
    }
}

/// Creates the dispatcher for these settings.
fn create_dispatcher(settings: &Settings, incarnation: Incarnation) -> Dispatcher {
    let options = DispatchOptions {
        id: settings.id.clone(),
        incarnation,
        roster: settings.peers.len() + 1,
        data_centre: settings.data_centre.clone(),
        ..DispatchOptions::default()
    };
    Dispatcher::new(options, SmallRng::seed_from_u64(wall_clock_ns() ^ 1))
}

fn proxy_options(settings: &Settings) -> ProxyOptions {
    let connection_limit = ConnectionLimit::new(DEFAULT_SERVER_CONNECTIONS, settings.peers.len() + 1, settings.workers);
    ProxyOptions { connection_limit: Arc::new(connection_limit), ..ProxyOptions::default() }
}

/// Starts the workers, each on a thread of its own. The returned channel closes when all workers have ended.
fn start_workers(
    count: usize,
    callers: &TcpListener,
    worker: impl Fn(u64, WorkerBalancer) -> Worker,
) -> Result<(Vec<Arbiter>, mpsc::UnboundedReceiver<()>)> {
    let (done_tx, done_rx) = mpsc::unbounded_channel();
    let mut arbiters = Vec::new();
    for (number, balancer) in WorkerBalancer::for_workers(count).into_iter().enumerate() {
        let listener = callers.try_clone().change_context(ErrorKind::Io)?;
        let worker = worker(number as u64, balancer);
        let done_tx = done_tx.clone();
        let arbiter = Arbiter::new();
        arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                // The sender is dropped with the task, even if the task panics.
                let _done_tx = done_tx;
                worker.run(listener).await
            });
        });
        arbiters.push(arbiter);
    }
    Ok((arbiters, done_rx))
}
