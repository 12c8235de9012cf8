//! Start and stop of a control replica of a fleet.

use {
    super::{
        PlatformInterface,
        admin::{AdminTask, Readiness},
        drop_log::DropLog,
        event_times::EventTimes,
        network::Network,
        replica_status::ReplicaStatus,
        replica_task::{ReplicaMessage, ReplicaTask},
        translator::Translator,
    },
    crate::{
        clock::wall_clock_ns,
        counters::{Counters, PROGRAM_VERSION},
        durable_state::DurableState,
        panic_guard::PanicGuard,
        settings::{FleetSettings, Settings},
        sockets::{bind, bind_tcp_and_udp},
        storage::StorageTask,
    },
    actix_rt::time::timeout,
    hemlockford_core::{
        collections::FastMap,
        errors::{Result, invalid_input},
        fleet::{Replica, ReplicaOptions},
        ids::{DataCentreId, InstanceId},
    },
    hemlockford_net::{BootClock, MESSAGE_VERSION},
    hemlockford_proxy::{ClientBudget, ClientLimits},
    prometheus::Registry,
    rand::{SeedableRng, rngs::SmallRng},
    slog::{Logger, info, warn},
    std::{
        net::SocketAddr,
        sync::{Arc, mpsc as blocking},
        time::Duration,
    },
    tokio::sync::{mpsc, watch},
};

/// Maximum time for a leadership transfer on a planned stop; an election takes at most about as long.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// A running control replica.
pub struct FleetReplica {
    port: u16,
    messages: mpsc::UnboundedSender<ReplicaMessage>,
    stopped: mpsc::UnboundedReceiver<()>,
    failure: mpsc::UnboundedReceiver<Box<str>>,
    log: Logger,
}

impl FleetReplica {
    /// Binds the sockets, opens the data folder and starts the tasks on the current thread.
    pub fn start(
        settings: &Settings,
        fleet: &FleetSettings,
        interface: Arc<dyn PlatformInterface>,
        log: &Logger,
    ) -> Result<Self> {
        let admin_listener = bind(settings.admin)?;
        let sockets = bind_tcp_and_udp(settings.listen)?;
        let listen = settings.listen;
        let DurableState { incarnation, store, recovered, directory } = DurableState::open(settings, log)?;
        let (Some(store), Some(recovered)) = (store, recovered) else {
            return Err(invalid_input("a replica needs a data folder"));
        };
        let registry = Registry::new();
        let counters = Counters::register(&registry)?;
        let limits = ClientLimits::of_replica(fleet.memory_mb, fleet.descriptors);
        let clients = ClientBudget::register(limits, &registry)?;
        let (messages_tx, messages_rx) = mpsc::unbounded_channel();
        let (received_tx, received_rx) = mpsc::unbounded_channel();
        let (persisted_tx, persisted_rx) = mpsc::unbounded_channel();
        let (stopped_tx, stopped_rx) = mpsc::unbounded_channel();
        let (failure_tx, failure_rx) = mpsc::unbounded_channel();
        let (status_tx, status_rx) = watch::channel(ReplicaStatus::default());
        let (storage_tx, storage_rx) = blocking::channel();
        let storage = StorageTask {
            store,
            rx: storage_rx,
            on_persisted: Box::new(move |up_to| {
                // Without a receiver the process is stopping.
                let _ = persisted_tx.send(up_to);
            }),
            failure: failure_tx.clone(),
            write_seconds: counters.storage_seconds.clone(),
            full_disk_errors: counters.full_disk_errors.clone(),
            log: log.clone(),
        };
        std::thread::spawn(move || storage.run());
        let id: InstanceId = listen.to_string().into();
        let options = ReplicaOptions {
            id: id.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            seeds: seed_ids(&fleet.seeds, listen.port()),
            data_centres: fleet.data_centres.clone(),
            first_start: fleet.first_start,
            voters: 2 * fleet.tolerated_losses + 1,
            directory,
            quota: fleet.quota(),
            ..ReplicaOptions::default()
        };
        let mut actions = Vec::new();
        let rng = SmallRng::seed_from_u64(wall_clock_ns());
        let replica = Replica::new(BootClock::now(), options, recovered, rng, &mut actions);
        let task = ReplicaTask {
            replica,
            network: Network::start(sockets, (id, incarnation), counters.clone(), received_tx, log.clone())?,
            received: received_rx,
            messages: messages_rx,
            persisted: persisted_rx,
            storage: storage_tx,
            stopped: stopped_tx,
            failure: failure_tx.clone(),
            times: EventTimes::new(&counters, log),
            counters,
            log: log.clone(),
            drop_log: DropLog::default(),
            pending: FastMap::default(),
            last_request: 0,
            status: status_tx,
        };
        let guard = PanicGuard { task: "the replica task", failure: failure_tx };
        actix_rt::spawn(async move {
            let _guard = guard;
            task.run(actions).await;
        });
        // A replica does not accept callers and is never ready.
        let (_, never) = watch::channel(false);
        let readiness = Readiness { is_link_ready: never.clone(), is_draining: never };
        let admin = AdminTask {
            translator: Translator::new(interface),
            replica: Some(messages_tx.clone()),
            readiness,
            registry,
            status: Some(status_rx),
            clients,
        };
        actix_rt::spawn(admin.run(admin_listener));
        info!(log, "replica started"; "admin" => %settings.admin, "listen" => %listen, "version" => PROGRAM_VERSION,
            "messages" => MESSAGE_VERSION);
        Ok(Self {
            port: listen.port(),
            messages: messages_tx,
            stopped: stopped_rx,
            failure: failure_rx,
            log: log.clone(),
        })
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, addresses: &[SocketAddr]) {
        let _ = self.messages.send(ReplicaMessage::Seeds(seed_ids(addresses, self.port)));
    }

    /// Replaces the data centres for which orders are accepted, after a change of the settings.
    pub fn set_data_centres(&self, data_centres: Vec<DataCentreId>) {
        let _ = self.messages.send(ReplicaMessage::DataCentres(data_centres));
    }

    /// Waits until a task panics, an invariant is violated or the data folder fails, and returns the cause.
    pub async fn wait_for_failure(&mut self) -> Box<str> {
        match self.failure.recv().await {
            Some(failure) => failure,
            None => std::future::pending().await,
        }
    }

    /// Stops as planned by transferring leadership.
    pub async fn shut_down(mut self) {
        let _ = self.messages.send(ReplicaMessage::Stop);
        if timeout(LEADERSHIP_TRANSFER_TIMEOUT, self.stopped.recv()).await.is_err() {
            warn!(self.log, "leadership transfer timed out");
        }
    }
}

/// Returns the names of the seeds. All instances of a fleet use the same port for messages between instances.
pub(super) fn seed_ids(addresses: &[SocketAddr], port: u16) -> Vec<InstanceId> {
    addresses.iter().map(|address| SocketAddr::new(address.ip(), port).to_string().into()).collect()
}
