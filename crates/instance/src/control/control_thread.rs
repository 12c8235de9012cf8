//! Thread of the control plane, which runs the control task, the sockets to other instances, the admin listener and the
//! report task.

use {
    super::{ControlMessage, ControlParts, ControlTask},
    crate::{
        admin::AdminTask,
        counters::Counters,
        panic_guard::PanicGuard,
        peers::{DatagramSender, Receiver, StreamSender},
        report::ReportTask,
        settings::{Peer, Settings},
        storage::StorageWrite,
    },
    hemlockford_core::{
        config::Configuration,
        consensus::Recovered,
        control::{Control, ControlOptions},
        dispatch::DispatchEvent,
        errors::Result,
        ids::{DataCentreId, Incarnation},
    },
    hemlockford_net::{BootClock, DatagramSocket, NetOptions, StreamLinks, StreamListener, Timer},
    hemlockford_proxy::ClaimMessage,
    rand::rngs::SmallRng,
    slog::Logger,
    std::{
        net::{TcpListener, UdpSocket},
        sync::{Arc, mpsc as blocking},
        time::Instant,
    },
    tokio::sync::{mpsc, oneshot, watch},
};

/// Everything that the tasks of the control thread need. The sockets are registered with the reactor of that thread.
pub(crate) struct ControlThread {
    pub(crate) options: ControlOptions,
    pub(crate) data_centre: DataCentreId,
    pub(crate) peers: Vec<Peer>,
    pub(crate) recovered: Option<Recovered>,
    pub(crate) rng: SmallRng,
    pub(crate) listen: TcpListener,
    pub(crate) datagrams: UdpSocket,
    pub(crate) admin: (AdminTask, TcpListener),
    pub(crate) report: ReportTask,
    pub(crate) control: mpsc::UnboundedSender<ControlMessage>,
    pub(crate) messages: mpsc::UnboundedReceiver<ControlMessage>,
    pub(crate) claims: mpsc::UnboundedReceiver<ClaimMessage>,
    pub(crate) dispatcher: mpsc::UnboundedSender<DispatchEvent>,
    pub(crate) config: watch::Sender<Arc<Configuration>>,
    pub(crate) serve_until: watch::Sender<Option<Instant>>,
    pub(crate) are_servers_known: watch::Sender<bool>,
    pub(crate) storage: Option<blocking::Sender<StorageWrite>>,
    /// Passes the datagram sender to the dispatcher task.
    pub(crate) datagram_sender: oneshot::Sender<DatagramSender>,
    pub(crate) failure: mpsc::UnboundedSender<Box<str>>,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
}

impl ControlThread {
    /// Starts the tasks on the current thread. An error is reported as a failure of the instance.
    pub(crate) fn start(self) {
        let failure = self.failure.clone();
        if let Err(report) = self.spawn_tasks() {
            let _ = failure.send(format!("{report:?}").into());
        }
    }

    fn spawn_tasks(self) -> Result<()> {
        let (timer, timer_task) = Timer::new();
        actix_rt::spawn(timer_task.run());
        let (id, incarnation) = (self.options.id.clone(), self.options.incarnation);
        let socket = DatagramSocket::new(self.datagrams)?;
        let datagrams =
            DatagramSender::new(socket.clone(), &self.peers, id.clone(), incarnation, self.counters.clone());
        let _ = self.datagram_sender.send(datagrams.clone());
        let options = NetOptions::default();
        let streams = StreamSender {
            links: StreamLinks::start(self.peers.iter().map(|peer| (peer.id.clone(), peer.address)), &options),
            datagrams: datagrams.clone(),
            counters: self.counters.clone(),
        };
        let peers: Vec<_> = self.peers.iter().map(|peer| peer.id.clone()).collect();
        let receiver = Receiver {
            known_instances: peers.iter().cloned().collect(),
            control: self.control,
            dispatcher: self.dispatcher.clone(),
            counters: self.counters.clone(),
        };
        let (frames_tx, frames_rx) = mpsc::unbounded_channel();
        actix_rt::spawn(StreamListener::new(self.listen, options)?.run(frames_tx));
        actix_rt::spawn(receiver.clone().receive_streams(frames_rx));
        actix_rt::spawn(receiver.receive_datagrams(socket));
        actix_rt::spawn(self.report.run());
        let (admin, listener) = self.admin;
        actix_rt::spawn(admin.run(listener));
        let guard = PanicGuard { task: "the control task", failure: self.failure.clone() };
        let task = ControlTask::new(ControlParts {
            control: Control::new(self.options, self.recovered, BootClock::now(), self.rng),
            id,
            data_centre: self.data_centre,
            peers,
            rx: self.messages,
            claims: self.claims,
            dispatcher: self.dispatcher,
            config: self.config,
            serve_until: self.serve_until,
            are_servers_known: self.are_servers_known,
            storage: self.storage,
            datagrams,
            streams,
            failure: self.failure,
            timer,
            counters: self.counters,
            log: self.log,
        });
        actix_rt::spawn(async move {
            let _guard = guard;
            task.run().await;
        });
        Ok(())
    }
}

/// Returns the options of the control plane for these settings.
pub(crate) fn control_options(settings: &Settings, incarnation: Incarnation) -> ControlOptions {
    let peers = settings.peers.iter();
    let mut replicas: Vec<_> = peers.clone().filter(|peer| peer.is_replica).map(|peer| peer.id.clone()).collect();
    if settings.data_folder.is_some() {
        replicas.push(settings.id.clone());
    }
    // The order of the replicas must be the same in all instances.
    replicas.sort_unstable();
    ControlOptions {
        id: settings.id.clone(),
        incarnation,
        peers: peers.map(|peer| peer.id.clone()).collect(),
        replicas,
        ..ControlOptions::default()
    }
}
