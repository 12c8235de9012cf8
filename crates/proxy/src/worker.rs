//! A worker: a listener, the connections accepted on it, and the pool of server connections.

use {
    crate::{
        claims::ClaimMessage,
        counters::{CallRecord, ProxyCounters},
        dispatcher::DispatcherHandle,
        memory_budget::ClientKind,
        options::ProxyOptions,
        pool::Pool,
        probe::Probe,
        routing::Routing,
        session::Session,
        shared::Shared,
        worker_balancer::{ConnectionCount, WorkerBalancer},
    },
    actix_http::{KeepAlive, ServiceConfig},
    actix_rt::time::{interval, sleep},
    error_stack::ResultExt,
    hemlockford_core::{
        config::Configuration,
        errors::{ErrorKind, Result},
        outcome::NotRunReason,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        select,
        sync::{mpsc, watch},
        task::JoinSet,
        time::MissedTickBehavior,
    },
};

/// Offset between the first call ids of two consecutive workers.
const CALLS_PER_WORKER: u64 = 1 << 48;
/// Number in place of a worker's from which the ids of relayed calls are counted, above all numbers of workers.
const RELAY_CALLS: u64 = 1 << 10;
/// Number of connections above the limit that get a refusal; further ones wait in the queue of the listener.
const MAX_REFUSED_CALLERS: usize = 64;
/// Delay after a failure to accept, which is usually caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts callers on one listener.
#[derive(Debug)]
pub struct Worker {
    /// Number of the worker within its instance; keeps call ids distinct.
    pub number: u64,
    /// Balances accepted connections with the other workers of the instance.
    pub balancer: WorkerBalancer,
    /// Options of the HTTP path.
    pub options: ProxyOptions,
    /// Handle to the dispatcher.
    pub dispatcher: DispatcherHandle,
    /// Current configuration.
    pub config: watch::Receiver<Arc<Configuration>>,
    /// Becomes true when the instance stops.
    pub stop: watch::Receiver<bool>,
    /// Channel to the task that records claims. Without it, requests with an idempotency key are refused.
    pub claims: Option<mpsc::UnboundedSender<ClaimMessage>>,
    /// Probes to send on the connections of this worker.
    pub probes: Option<mpsc::UnboundedReceiver<Probe>>,
    /// Counters, shared by all workers.
    pub counters: ProxyCounters,
    /// Channel for the records of finished calls.
    pub records: Option<mpsc::UnboundedSender<CallRecord>>,
}

impl Worker {
    /// Accepts callers until the stop signal. With [`ProxyOptions::serve_while_stopping`] it then continues to serve
    /// and closes each connection after its response (draining). Without it, or when draining ends, it refuses new
    /// requests, finishes the calls in progress, and returns (closing).
    pub async fn run(self, listener: std::net::TcpListener) -> Result<()> {
        self.run_with_relays(listener, None).await
    }

    /// Does the same, and also takes calls that other entries pass on from another listener.
    pub async fn run_with_relays(
        self,
        listener: std::net::TcpListener,
        relays: Option<std::net::TcpListener>,
    ) -> Result<()> {
        let listener = TcpListener::from_std(listener).change_context(ErrorKind::Io)?;
        let relays = relays.map(TcpListener::from_std).transpose().change_context(ErrorKind::Io)?;
        let options = Rc::new(self.options);
        let keep_alive = KeepAlive::Timeout(options.caller_idle_timeout);
        let http_config = ServiceConfig::new(keep_alive, options.head_timeout, Duration::ZERO, false, None);
        let mut balancer = self.balancer;
        let mut probes = self.probes;
        let mut rng = SmallRng::seed_from_u64(options.seed ^ self.number);
        let routing = Rc::new(Routing::new(self.config.borrow().clone(), &mut rng));
        let shared = Rc::new(Shared {
            pool: Pool::new(options.clone(), http_config.clone(), self.counters.clone()),
            options,
            http_config,
            dispatcher: self.dispatcher,
            routing: RefCell::new(routing),
            rng: RefCell::new(rng),
            config: self.config,
            stop: self.stop,
            claims: self.claims,
            counters: self.counters,
            records: self.records,
            next_call_id: Cell::new(self.number * CALLS_PER_WORKER),
        });
        let relay_shared = Rc::new(shared.for_relays(RELAY_CALLS * CALLS_PER_WORKER));
        let mut sessions = JoinSet::new();
        let mut pool_check = interval(shared.options.pool_check_interval);
        pool_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut closing = pin!(shared.closing());
        let mut is_stopping = false;
        // Connections accepted after the stop signal are answered for as long as earlier calls run.
        let mut late_sessions = JoinSet::new();
        loop {
            let limit = shared.options.max_callers + MAX_REFUSED_CALLERS;
            select! {
                accepted = listener.accept(), if sessions.len() + late_sessions.len() < limit => {
                    let Ok((io, peer)) = accepted else {
                        sleep(ACCEPT_PAUSE).await;
                        continue;
                    };
                    // While stopping, another worker may have finished before it takes a connection over.
                    let own = if is_stopping { Some(io) } else { hand_over(&balancer, io, peer) };
                    if let Some(io) = own {
                        let count = balancer.count_own();
                        let sessions = if is_stopping { &mut late_sessions } else { &mut sessions };
                        serve(&shared, sessions, io, peer, count).await;
                    }
                }
                Some((io, peer)) = accept_relay(&relays), if sessions.len() + late_sessions.len() < limit => {
                    let sessions = if is_stopping { &mut late_sessions } else { &mut sessions };
                    serve(&relay_shared, sessions, io, peer, balancer.count_own()).await;
                }
                Some((io, peer, count)) = balancer.received.recv() => {
                    if let Ok(io) = TcpStream::from_std(io) {
                        let sessions = if is_stopping { &mut late_sessions } else { &mut sessions };
                        serve(&shared, sessions, io, peer, count).await;
                    }
                }
                Some(probe) = next_probe(&mut probes) => {
                    let shared = shared.clone();
                    actix_rt::spawn(async move { probe.run(shared.pool.clone(), &shared.options.dialect).await });
                }
                Some(_) = sessions.join_next() => {}
                Some(_) = late_sessions.join_next() => {}
                () = &mut closing, if !is_stopping => is_stopping = true,
                _ = pool_check.tick() => shared.pool.maintain(),
            }
            if is_stopping && sessions.is_empty() {
                break;
            }
        }
        // Closing the listener would reset the connections in its queue. The reactor may not have noticed them yet.
        for (listener, shared) in [(Some(listener), &shared), (relays, &relay_shared)] {
            let Some(Ok(listener)) = listener.map(TcpListener::into_std) else { continue };
            while let Ok((io, peer)) = listener.accept() {
                if let Ok(io) = io.set_nonblocking(true).and_then(|()| TcpStream::from_std(io)) {
                    serve(shared, &mut late_sessions, io, peer, balancer.count_own()).await;
                }
            }
        }
        // A worker that has not seen the stop signal may have handed these over in the meantime.
        balancer.received.close();
        while let Ok((io, peer, count)) = balancer.received.try_recv() {
            if let Ok(io) = TcpStream::from_std(io) {
                serve(&shared, &mut late_sessions, io, peer, count).await;
            }
        }
        while late_sessions.join_next().await.is_some() {}
        Ok(())
    }
}

/// Accepts a connection of another entry; never returns if there is no listener.
async fn accept_relay(listener: &Option<TcpListener>) -> Option<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await.ok(),
        None => std::future::pending().await,
    }
}

/// Waits for the next probe; never returns if there is no channel.
async fn next_probe(probes: &mut Option<mpsc::UnboundedReceiver<Probe>>) -> Option<Probe> {
    match probes {
        Some(probes) => probes.recv().await,
        None => std::future::pending().await,
    }
}

/// Hands a connection over to the worker with the fewest connections, or returns it if this worker keeps it.
fn hand_over(balancer: &WorkerBalancer, io: TcpStream, peer: SocketAddr) -> Option<TcpStream> {
    let Some((worker, count)) = balancer.less_loaded() else { return Some(io) };
    // A connection that cannot be removed from this worker's reactor is broken.
    let io = io.into_std().ok()?;
    match worker.send((io, peer, count)) {
        Ok(()) => None,
        // The other worker has ended.
        Err(mpsc::error::SendError((io, _, _))) => TcpStream::from_std(io).ok(),
    }
}

/// Serves a connection in a task of its own.
async fn serve(
    shared: &Rc<Shared>,
    sessions: &mut JoinSet<()>,
    io: TcpStream,
    peer: SocketAddr,
    count: ConnectionCount,
) {
    let _ = io.set_nodelay(true);
    let refusal = (sessions.len() >= shared.options.max_callers).then_some(NotRunReason::Overload);
    let kind = if shared.options.is_relay { ClientKind::Relay } else { ClientKind::Caller };
    let client = Rc::new(shared.options.clients.admit(kind, peer.ip()).await);
    let session = Session::new(shared.clone(), io, peer, refusal, client.clone());
    sessions.spawn_local(async move {
        let _count = count;
        select! {
            biased;
            () = client.closed() => {}
            () = session.run() => {}
        }
    });
}
