//! Starts and stops the tasks of one instance.

use {
    crate::{
        addresses::Addresses,
        admin::AdminTask,
        control::{ControlMessage, ControlParts, ControlTask},
        counters::Counters,
        dispatcher::DispatcherTask,
        peers::{DatagramSender, Receiver, StreamSender},
        prober::Prober,
        report::ReportTask,
        settings::Settings,
        storage::{StorageTask, StorageWrite},
    },
    actix_rt::Arbiter,
    error_stack::ResultExt,
    hemlockford_core::{
        collections::FastMap,
        consensus::Recovered,
        control::{Control, ControlOptions},
        dispatch::{DispatchEvent, DispatchOptions, Dispatcher},
        errors::{ErrorKind, Result},
        ids::Incarnation,
        measure::MeasureCounters,
        text::Text,
    },
    hemlockford_net::{DatagramSocket, NetOptions, StreamLinks, StreamListener, Timer},
    hemlockford_proxy::{ClaimMessage, ConnectionBound, Gate, Handover, ProxyCounters, ProxyOptions, Worker},
    hemlockford_store::{Store, StoreOptions},
    prometheus::Registry,
    rand::{SeedableRng, rngs::SmallRng},
    slog::{Logger, info, warn},
    std::{
        net::{SocketAddr, TcpListener, UdpSocket},
        sync::{Arc, mpsc as blocking},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::{mpsc, oneshot, watch},
};

/// Connections that a server accepts when nothing smaller is known; the users' servers accept 250.
const SERVER_CONNECTIONS: usize = 250;
/// Time for handing over leadership on a planned stop; an election takes at most about as long.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(3);
/// Attempts at finding a port that is free for both UDP and TCP.
const BIND_ATTEMPTS: usize = 16;

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    addresses: Addresses,
    notice: Duration,
    arbiters: Vec<Arbiter>,
    control: mpsc::UnboundedSender<ControlMessage>,
    is_draining: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    workers: mpsc::UnboundedReceiver<()>,
    failure: mpsc::UnboundedReceiver<Box<str>>,
    log: Logger,
}

/// What is bound before any task starts, so that a fault in the settings is an error of the start.
struct Sockets {
    callers: TcpListener,
    admin: TcpListener,
    listen: TcpListener,
    datagrams: UdpSocket,
}

/// What the data folder gave.
struct Durable {
    incarnation: Incarnation,
    store: Option<Store>,
    recovered: Option<Recovered>,
}

impl Instance {
    /// Binds the listeners, opens the data folder and starts the tasks.
    pub fn start(settings: &Settings, log: &Logger) -> Result<Self> {
        let sockets = Sockets::bind(settings)?;
        let addresses = sockets.addresses(settings)?;
        let Durable { incarnation, store, recovered } = Durable::open(settings, log)?;
        let registry = Registry::new();
        let counters = Counters::register(&registry)?;
        let proxy_counters = ProxyCounters::register(&registry)?;
        let rng = SmallRng::seed_from_u64(clock());

        let (gate, gate_rx) = Gate::new();
        let (dispatch_tx, dispatch_rx) = mpsc::unbounded_channel::<DispatchEvent>();
        let (control_tx, control_rx) = mpsc::unbounded_channel();
        let (claims_tx, claims_rx) = mpsc::unbounded_channel::<ClaimMessage>();
        let (records_tx, records_rx) = mpsc::unbounded_channel();
        let (reports_tx, reports_rx) = mpsc::unbounded_channel();
        let (text_tx, text_rx) = watch::channel(Arc::<Text>::default());
        let (serve_tx, serve_rx) = watch::channel(None);
        let (drain_tx, drain_rx) = watch::channel(false);
        let (step_tx, step_rx) = watch::channel(false);
        let (stop_tx, stop_rx) = watch::channel(false);
        let (failure_tx, failure_rx) = mpsc::unbounded_channel();
        let (done_tx, done_rx) = mpsc::unbounded_channel();

        let storage = store.map(|store| {
            let (tx, rx) = blocking::channel::<StorageWrite>();
            let task = StorageTask {
                store,
                rx,
                control: control_tx.clone(),
                failure: failure_tx.clone(),
                seconds: counters.storage_seconds.clone(),
                full: counters.storage_full.clone(),
                log: log.clone(),
            };
            std::thread::spawn(move || task.run());
            tx
        });

        let dispatch_options = DispatchOptions {
            id: settings.id.clone(),
            incarnation,
            roster: settings.peers.len() + 1,
            data_centre: settings.data_centre.clone(),
            ..DispatchOptions::default()
        };
        let dispatcher = Dispatcher::new(dispatch_options, SmallRng::seed_from_u64(clock() ^ 1));
        let control_options = control_options(settings, incarnation);
        let peer_names: Vec<_> = settings.peers.iter().map(|peer| peer.id.clone()).collect();
        let receiver = Receiver {
            known: peer_names.iter().cloned().collect(),
            control: control_tx.clone(),
            dispatcher: dispatch_tx.clone(),
            counters: counters.clone(),
        };
        let admin = AdminTask {
            control: control_tx.clone(),
            reports: reports_tx,
            serve_until: serve_rx.clone(),
            is_draining: drain_rx,
            is_in_step: step_rx,
            registry,
        };
        let Sockets { callers, admin: admin_listener, listen, datagrams } = sockets;
        let peers = settings.peers.clone();
        let (id, data_centre) = (settings.id.clone(), settings.data_centre.clone());
        let task_log = log.clone();
        let (sender_tx, sender_rx) = oneshot::channel();

        let mut arbiters = vec![Arbiter::new(), Arbiter::new()];
        let control_counters = counters.clone();
        let text = text_rx.clone();
        arbiters[0].spawn_fn(move || {
            let failure = failure_tx.clone();
            let start = move || -> Result<()> {
                let (timer, timer_task) = Timer::new();
                actix_rt::spawn(timer_task.run());
                let options = NetOptions::default();
                let socket = DatagramSocket::new(datagrams)?;
                let datagrams =
                    DatagramSender::new(socket.clone(), &peers, id.clone(), incarnation, control_counters.clone());
                let _ = sender_tx.send(datagrams.clone());
                let addresses = peers.iter().map(|peer| (peer.id.clone(), peer.address));
                let streams = StreamSender {
                    links: StreamLinks::start(addresses, &options),
                    datagrams: datagrams.clone(),
                    counters: control_counters.clone(),
                };
                let (frames_tx, frames_rx) = mpsc::unbounded_channel();
                actix_rt::spawn(StreamListener::new(listen, options)?.run(frames_tx));
                actix_rt::spawn(receiver.clone().receive_streams(frames_rx));
                actix_rt::spawn(receiver.receive_datagrams(socket));
                let parts = ControlParts {
                    control: Control::new(control_options, recovered, Instant::now(), rng),
                    id,
                    data_centre,
                    peers: peer_names,
                    rx: control_rx,
                    claims: claims_rx,
                    dispatcher: dispatch_tx,
                    text: text_tx,
                    serve_until: serve_tx,
                    is_in_step: step_tx,
                    storage,
                    datagrams,
                    streams,
                    failure: failure_tx,
                    timer,
                    counters: control_counters,
                    log: task_log,
                };
                actix_rt::spawn(ControlTask::new(parts).run());
                actix_rt::spawn(ReportTask { records: records_rx, requests: reports_rx, text }.run());
                actix_rt::spawn(admin.run(admin_listener));
                Ok(())
            };
            if let Err(report) = start() {
                let _ = failure.send(format!("{report:?}").into());
            }
        });
        arbiters[1].spawn_fn(move || {
            actix_rt::spawn(async move {
                let Ok(datagrams) = sender_rx.await else { return };
                let (timer, timer_task) = Timer::new();
                actix_rt::spawn(timer_task.run());
                let (prober, probed) = Prober::new();
                let task = DispatcherTask {
                    dispatcher,
                    gate: gate_rx,
                    control: dispatch_rx,
                    waiting: FastMap::default(),
                    serve_until: serve_rx,
                    datagrams,
                    timer,
                    counters,
                    prober,
                    probed,
                    handled_at: Instant::now(),
                    measured: MeasureCounters::default(),
                };
                task.run().await;
            });
        });

        let bound = ConnectionBound::new(SERVER_CONNECTIONS, settings.peers.len() + 1, settings.workers);
        let options = ProxyOptions { bound: Arc::new(bound), ..ProxyOptions::default() };
        for (number, handover) in Handover::among(settings.workers).into_iter().enumerate() {
            let listener = callers.try_clone().change_context(ErrorKind::Io)?;
            let done = done_tx.clone();
            let worker = Worker {
                number: number as u64,
                handover,
                options: options.clone(),
                gate: gate.clone(),
                text: text_rx.clone(),
                stop: stop_rx.clone(),
                claims: Some(claims_tx.clone()),
                counters: proxy_counters.clone(),
                records: Some(records_tx.clone()),
            };
            let arbiter = Arbiter::new();
            arbiter.spawn_fn(move || {
                actix_rt::spawn(async move {
                    // The sender is dropped with the task, so that its end is noticed however it ends.
                    let _done = done;
                    worker.run(listener).await
                });
            });
            arbiters.push(arbiter);
        }
        Ok(Self {
            addresses,
            notice: settings.notice,
            arbiters,
            control: control_tx,
            is_draining: drain_tx,
            stop: stop_tx,
            workers: done_rx,
            failure: failure_rx,
            log: log.clone(),
        })
    }

    /// Returns the addresses that the instance is bound to.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Waits until an invariant is broken or the data folder fails, and returns what happened. The process
    /// must then stop at once, without any further promise.
    pub async fn failed(&mut self) -> Box<str> {
        match self.failure.recv().await {
            Some(failure) => failure,
            None => std::future::pending().await,
        }
    }

    /// Stops as planned: not ready first, after the notice time no new calls, then every call in progress
    /// is finished and leadership handed over.
    pub async fn shut_down(mut self) {
        info!(self.log, "shutting down: not ready"; "notice_ms" => self.notice.as_millis() as u64);
        self.is_draining.send_replace(true);
        let _ = self.control.send(ControlMessage::Drain);
        actix_rt::time::sleep(self.notice).await;
        info!(self.log, "shutting down: no new calls");
        self.stop.send_replace(true);
        while self.workers.recv().await.is_some() {}
        let (reply, rx) = oneshot::channel();
        let _ = self.control.send(ControlMessage::Stop(reply));
        if actix_rt::time::timeout(HAND_OVER_LIMIT, rx).await.is_err() {
            warn!(self.log, "leadership was not handed over in time");
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

impl Sockets {
    fn bind(settings: &Settings) -> Result<Self> {
        let (listen, datagrams) = bind_both(settings.listen)?;
        Ok(Self { callers: bind(settings.callers)?, admin: bind(settings.admin)?, listen, datagrams })
    }

    fn addresses(&self, settings: &Settings) -> Result<Addresses> {
        let address = |listener: &TcpListener| listener.local_addr().change_context(ErrorKind::Io);
        Ok(Addresses {
            id: settings.id.clone(),
            callers: address(&self.callers)?,
            admin: address(&self.admin)?,
            listen: address(&self.listen)?,
        })
    }
}

impl Durable {
    fn open(settings: &Settings, log: &Logger) -> Result<Self> {
        let Some(folder) = &settings.data else {
            return Ok(Self { incarnation: clock(), store: None, recovered: None });
        };
        std::fs::create_dir_all(folder)
            .change_context(ErrorKind::Io)
            .attach_with(|| format!("cannot create {}", folder.display()))?;
        let opened = Store::open(folder, StoreOptions { clock: clock() })?;
        info!(log, "data folder opened"; "new" => opened.is_new, "entries" => opened.recovered.entries.len());
        if opened.cut > 0 {
            warn!(log, "a torn tail of the log was cut off"; "bytes" => opened.cut);
        }
        Ok(Self { incarnation: opened.process, store: Some(opened.store), recovered: Some(opened.recovered) })
    }
}

fn control_options(settings: &Settings, incarnation: Incarnation) -> ControlOptions {
    let peers = settings.peers.iter();
    let mut replicas: Vec<_> = peers.clone().filter(|peer| peer.replica).map(|peer| peer.id.clone()).collect();
    if settings.data.is_some() {
        replicas.push(settings.id.clone());
    }
    // Every instance must name the replicas in the same order.
    replicas.sort_unstable();
    ControlOptions {
        id: settings.id.clone(),
        incarnation,
        peers: peers.map(|peer| peer.id.clone()).collect(),
        replicas,
        ..ControlOptions::default()
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot listen on {address}"))?;
    listener.set_nonblocking(true).change_context(ErrorKind::Io)?;
    Ok(listener)
}

/// Binds the same port for TCP and UDP. With port 0 the port that TCP got may be taken for UDP.
fn bind_both(address: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let mut attempts = if address.port() == 0 { BIND_ATTEMPTS } else { 1 };
    loop {
        let listener = bind(address)?;
        let bound = listener.local_addr().change_context(ErrorKind::Io)?;
        attempts -= 1;
        match UdpSocket::bind(bound) {
            Ok(socket) => return Ok((listener, socket)),
            Err(e) if attempts == 0 => {
                return Err(e).change_context(ErrorKind::Io).attach_with(|| format!("cannot use UDP on {bound}"));
            }
            Err(_) => {}
        }
    }
}

/// Wall-clock time in nanoseconds, from which incarnations and seeds come.
fn clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64)
}
