//! Start and stop of the stand-in servers of one process.

use {
    super::{
        announcer, connection, control::Control, executions::Executions, options::EmulateOptions, pace::Pace,
        server::Server, shared_state::SharedState,
    },
    crate::timer::PreciseTimer,
    actix_http::ServiceConfig,
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, invalid_input},
    rand::{SeedableRng, rngs::SmallRng},
    serde::Serialize,
    slog::{Logger, info},
    std::{
        cell::{Cell, RefCell},
        net::{SocketAddr, TcpListener},
        rc::Rc,
        sync::{Arc, mpsc},
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::{Semaphore, watch},
};

/// Interval at which a shutdown checks whether the servers are idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Running stand-in servers; their threads end when this value is dropped.
pub struct Emulation {
    addresses: EmulationAddresses,
    control: Control,
    log: Logger,
    stop: watch::Sender<bool>,
}

/// Addresses of the stand-in servers of one process.
#[derive(Clone, Debug, Serialize)]
pub struct EmulationAddresses {
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Addresses of the servers.
    pub servers: Vec<ServerAddress>,
    /// Seed of the random service times.
    pub seed: u64,
}

/// Name and address of one server.
#[derive(Clone, Debug, Serialize)]
pub struct ServerAddress {
    /// Name of the server.
    pub server: Box<str>,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
}

impl Emulation {
    /// Binds all listeners and starts the threads.
    pub fn start(options: EmulateOptions, log: Logger) -> Result<Self> {
        if options.servers == 0 || options.threads == 0 || options.slots == 0 {
            return Err(invalid_input("the numbers of servers, slots and threads must be greater than zero"));
        }
        let options = Arc::new(options);
        let executions = Arc::<Executions>::default();
        let epoch = Instant::now();
        let mut listeners = Vec::new();
        let mut servers = Vec::new();
        for number in 0..options.servers {
            let (listener, address) = bind(&options)?;
            let name = format!("{}-{number}", options.name_prefix).into();
            servers.push(Arc::new(SharedState::new(name, address, epoch, options.behaviour)));
            listeners.push(Some(listener));
        }
        let (control_listener, control_address) = bind(&options)?;
        let control = Control { servers: servers.clone().into(), executions: executions.clone() };
        let (stop, stop_rx) = watch::channel(false);
        let timer = PreciseTimer::start();
        for thread_number in 0..options.threads.min(options.servers) {
            let indexes = (thread_number..options.servers).step_by(options.threads);
            let parts: Vec<_> = indexes
                .filter_map(|number| Some((number, listeners[number].take()?, servers[number].clone())))
                .collect();
            let (options, executions, timer) = (options.clone(), executions.clone(), timer.clone());
            spawn_local_thread(stop_rx.clone(), move || {
                for (number, listener, shared) in parts {
                    let seed = options.seed.wrapping_add(number as u64);
                    let server = Rc::new(Server {
                        pace: RefCell::new(Pace::new(epoch)),
                        slots: Semaphore::new(options.slots as usize),
                        options: options.clone(),
                        shared,
                        executions: executions.clone(),
                        timer: timer.clone(),
                        waiting: Cell::new(0),
                        rng: RefCell::new(SmallRng::seed_from_u64(seed)),
                        lagged_load: Cell::new(None),
                    });
                    actix_rt::spawn(announcer::announce(server.clone(), number));
                    actix_rt::spawn(accept(server, listener));
                }
            })?;
        }
        let control_service = control.clone();
        spawn_local_thread(stop_rx, move || {
            actix_rt::spawn(control_service.run(control_listener));
        })?;
        let servers = servers
            .iter()
            .map(|server| ServerAddress { server: server.name.clone(), address: server.address })
            .collect();
        let addresses = EmulationAddresses { control: control_address, servers, seed: options.seed };
        info!(log, "stand-in servers started"; "servers" => options.servers, "control" => %control_address);
        Ok(Self { addresses, control, log, stop })
    }

    /// Returns the addresses of the servers and of the control listener.
    pub fn addresses(&self) -> &EmulationAddresses {
        &self.addresses
    }

    /// Returns the counters in the form served by the control listener.
    pub fn executions(&self) -> serde_json::Value {
        self.control.executions()
    }

    /// Announces that all servers are leaving, keeps serving for `linger`, and then waits up to `limit` for the active
    /// calls to finish.
    pub async fn leave(&self, linger: Duration, limit: Duration) {
        for server in self.control.servers.iter() {
            // A known mode is always accepted.
            let _ = server.apply("mode=leaving");
        }
        info!(self.log, "stand-in servers are leaving"; "linger_ms" => linger.as_millis() as u64);
        actix_rt::time::sleep(linger).await;
        let end = Instant::now() + limit;
        let is_busy = || self.control.servers.iter().any(|server| server.count(|counts| counts.in_flight > 0));
        while is_busy() && Instant::now() < end {
            actix_rt::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
        info!(self.log, "stand-in servers stopped");
    }
}

impl Drop for Emulation {
    fn drop(&mut self) {
        // The threads also end when the sender is dropped.
        let _ = self.stop.send(true);
    }
}

/// Spawns a thread with its own runtime, which runs until the stop signal. Returns once `start` has spawned its tasks.
fn spawn_local_thread(mut stop: watch::Receiver<bool>, start: impl FnOnce() + Send + 'static) -> Result<()> {
    let (started_tx, started_rx) = mpsc::channel();
    let thread = thread::Builder::new().name("emulate".into()).spawn(move || {
        let Ok(runtime) = actix_rt::Runtime::new() else { return };
        runtime.block_on(async move {
            start();
            let _ = started_tx.send(());
            let _ = stop.changed().await;
        });
    });
    thread.change_context(ErrorKind::Io)?;
    started_rx.recv().change_context(ErrorKind::Io).attach("cannot create the runtime of a server thread")
}

fn bind(options: &EmulateOptions) -> Result<(TcpListener, SocketAddr)> {
    let listener = listen((options.bind_address, 0).into())?;
    let address = listener.local_addr().change_context(ErrorKind::Io)?;
    Ok((listener, address))
}

/// Accepts connections while the server is up, and listens again at the same address after an emulated crash.
async fn accept(server: Rc<Server>, listener: TcpListener) -> Result<()> {
    let config = ServiceConfig::default();
    let mut up = server.shared.up.subscribe();
    let mut listener = Some(listener);
    loop {
        // This cannot fail, because the sender lives as long as the server.
        let _ = up.wait_for(|is_up| *is_up).await;
        let bound_listener = listener.take().map_or_else(|| listen(server.shared.address), Ok)?;
        let bound_listener = tokio::net::TcpListener::from_std(bound_listener).change_context(ErrorKind::Io)?;
        loop {
            tokio::select! {
                accepted = bound_listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    actix_rt::spawn(connection::serve(server.clone(), stream, config.clone()));
                }
                _ = up.wait_for(|is_up| !is_up) => break,
            }
        }
    }
}

/// Listens at an address. The standard library sets `SO_REUSEADDR`, so binding again after an emulated crash works
/// while old connections are in TIME_WAIT.
fn listen(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).change_context(ErrorKind::Io)?;
    listener.set_nonblocking(true).change_context(ErrorKind::Io)?;
    Ok(listener)
}
