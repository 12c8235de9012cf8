//! Starts the tasks of one instance.

use {
    crate::{admin::AdminTask, control::ControlTask, dispatcher::DispatcherTask, settings::Settings},
    actix_rt::Arbiter,
    error_stack::ResultExt,
    hemlockford_core::{
        collections::FastMap,
        dispatch::{DispatchOptions, Dispatcher},
        errors::{ErrorKind, Result},
        text::Text,
    },
    hemlockford_proxy::{Gate, ProxyCounters, ProxyOptions, Worker},
    rand::{SeedableRng, rngs::SmallRng},
    serde::Serialize,
    std::{
        net::{SocketAddr, TcpListener},
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::sync::{mpsc, watch},
};

/// Addresses that an instance is bound to.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// Name of the instance.
    pub id: Box<str>,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for servers, operators and the platform.
    pub admin: SocketAddr,
}

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    addresses: Addresses,
    arbiters: Vec<Arbiter>,
    /// Keeps the workers running.
    _stop: watch::Sender<bool>,
}

impl Instance {
    /// Binds the listeners and starts the tasks.
    pub fn start(settings: &Settings) -> Result<Self> {
        let callers = bind(settings.callers)?;
        let admin = bind(settings.admin)?;
        let addresses = Addresses {
            id: settings.id.clone(),
            callers: callers.local_addr().change_context(ErrorKind::Io)?,
            admin: admin.local_addr().change_context(ErrorKind::Io)?,
        };
        let (gate, gate_rx) = Gate::new();
        let (dispatch_tx, dispatch_rx) = mpsc::unbounded_channel();
        let (control_tx, control_rx) = mpsc::unbounded_channel();
        let (text_tx, text_rx) = watch::channel(Arc::<Text>::default());
        let dispatch_options =
            DispatchOptions { id: settings.id.clone(), incarnation: seed(), ..DispatchOptions::default() };
        let dispatcher = DispatcherTask {
            dispatcher: Dispatcher::new(dispatch_options, SmallRng::seed_from_u64(seed())),
            gate: gate_rx,
            control: dispatch_rx,
            waiting: FastMap::default(),
        };
        let control =
            ControlTask { rx: control_rx, dispatcher: dispatch_tx, text: text_tx, servers: FastMap::default() };
        let mut arbiters = vec![Arbiter::new(), Arbiter::new()];
        arbiters[0].spawn(dispatcher.run());
        arbiters[1].spawn(control.run());
        arbiters[1].spawn_fn(move || {
            actix_rt::spawn(AdminTask { control: control_tx }.run(admin));
        });
        let (stop_tx, stop_rx) = watch::channel(false);
        let counters = ProxyCounters::register(&prometheus::Registry::new())?;
        for number in 0..settings.workers {
            let (stop, counters) = (stop_rx.clone(), counters.clone());
            let listener = callers.try_clone().change_context(ErrorKind::Io)?;
            let (gate, text) = (gate.clone(), text_rx.clone());
            let arbiter = Arbiter::new();
            arbiter.spawn_fn(move || {
                let worker = Worker {
                    number: number as u64,
                    options: ProxyOptions::default(),
                    gate,
                    text,
                    stop,
                    claims: None,
                    counters,
                    records: None,
                };
                actix_rt::spawn(worker.run(listener));
            });
            arbiters.push(arbiter);
        }
        Ok(Self { addresses, arbiters, _stop: stop_tx })
    }

    /// Returns the addresses that the instance is bound to.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Stops the tasks.
    pub fn stop(self) {
        for arbiter in self.arbiters {
            arbiter.stop();
        }
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot listen on {address}"))?;
    listener.set_nonblocking(true).change_context(ErrorKind::Io)?;
    Ok(listener)
}

fn seed() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64)
}
