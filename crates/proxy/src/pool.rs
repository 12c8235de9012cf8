//! Pool of the connections of one worker to the servers.

use {
    crate::{
        connection::Connection,
        counters::ProxyCounters,
        dialect::Dialect,
        named_limits::{NamedLimits, ResponseTo},
        options::ProxyOptions,
    },
    actix_http::{ResponseHead, ServiceConfig},
    actix_rt::time::{sleep, timeout},
    hemlockford_core::{collections::FastMap, dispatch::ServerNotice},
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, sync::Notify},
};

/// Maximum time for finding out whether a server runs, many round trips.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Part of the limit on calls that is added for probes.
const PROBE_SHARE: usize = 4;

/// Connections to one server.
struct Server {
    /// Connections that are in use or being opened.
    in_use: usize,
    /// Idle connections, most recently used last.
    idle: Vec<IdleConnection>,
    last_use: Instant,
    /// Cleared when a connection could not be opened; set when the server is used again.
    is_reachable: bool,
    freed: Rc<Notify>,
}

/// An idle connection.
struct IdleConnection {
    since: Instant,
    /// Time for which the server keeps the connection, if it is declared.
    keep_alive: Option<Duration>,
    io: TcpStream,
}

/// Result of opening a connection in order to find out whether a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// It accepted the connection.
    Accepted,
    /// Nothing listens on its address.
    Refused,
    /// The connection could not be opened in time, or for another reason.
    Unknown,
}

/// Result of looking for an idle connection.
enum TakeResult {
    Connection(TcpStream),
    /// The reuse delay of the next one ends after this time, and there is no room to open another.
    Wait(Duration),
    Unavailable,
}

/// Connections of one worker to all servers.
#[derive(Clone)]
pub(crate) struct Pool {
    options: Rc<ProxyOptions>,
    config: ServiceConfig,
    counters: ProxyCounters,
    servers: Rc<RefCell<FastMap<SocketAddr, Server>>>,
    named_limits: Rc<RefCell<NamedLimits>>,
    /// Connections in use, to all servers.
    in_use: Rc<Cell<usize>>,
    freed: Rc<Notify>,
}

/// Permit for one connection to a server. Dropping it frees the place.
pub(crate) struct ConnectionPermit {
    pool: Pool,
    address: SocketAddr,
}

impl Pool {
    pub(crate) fn new(options: Rc<ProxyOptions>, config: ServiceConfig, counters: ProxyCounters) -> Self {
        Self {
            options,
            config,
            counters,
            servers: Rc::default(),
            named_limits: Rc::default(),
            in_use: Rc::default(),
            freed: Rc::default(),
        }
    }

    /// Waits until there is room for another connection, as far as the descriptors of the process are concerned. A call
    /// that has ended may still hold its connection.
    pub(crate) async fn room(&self) {
        self.room_below(self.options.clients.limits().calls).await;
    }

    /// Returns whether there is room for another connection.
    pub(crate) fn has_room(&self) -> bool {
        self.in_use.get() < self.options.clients.limits().calls
    }

    /// Returns whether a connection may be kept for a response that may not be needed. Half of the connections remain for
    /// attempts.
    pub(crate) fn may_keep(&self) -> bool {
        self.in_use.get() <= self.options.clients.limits().calls / 2
    }

    /// Waits until there is room for a probe. Probes have connections of their own beyond those of calls, so that
    /// servers do not count as silent while clients hold the calls.
    pub(crate) async fn room_for_probe(&self) {
        let calls = self.options.clients.limits().calls;
        self.room_below(calls.saturating_add(calls / PROBE_SHARE)).await;
    }

    async fn room_below(&self, limit: usize) {
        while self.in_use.get() >= limit {
            self.freed.notified().await;
        }
    }

    /// Takes an idle connection that is recent enough and that the server has not closed, or opens a new one.
    pub(crate) async fn acquire(&self, address: SocketAddr, fresh: bool) -> io::Result<Connection> {
        let permit = self.permit(address).await;
        let (io, is_new) = loop {
            match self.take(address, fresh) {
                TakeResult::Connection(io) => {
                    self.counters.reused.inc();
                    break (io, false);
                }
                TakeResult::Wait(left) => sleep(left).await,
                TakeResult::Unavailable => break (self.open(address).await?, true),
            }
        };
        Ok(Connection::new(io, is_new, self.config.clone(), permit))
    }

    /// Opens a connection to find out whether a server runs. It is kept for the next request.
    pub(crate) async fn check(&self, address: SocketAddr) -> Reachability {
        let Ok(permit) = timeout(CHECK_TIMEOUT, self.permit(address)).await else { return Reachability::Unknown };
        match timeout(CHECK_TIMEOUT, self.open(address)).await {
            Ok(Ok(io)) => {
                permit.return_idle(io, None, Duration::ZERO);
                Reachability::Accepted
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Reachability::Refused,
            Ok(Err(_)) | Err(_) => Reachability::Unknown,
        }
    }

    /// Returns the notice to report about the rate of calls that a server names, or no longer names, in a response to a
    /// request that was sent at this time.
    pub(crate) fn limit_notice(
        &self,
        dialect: &Dialect,
        head: &ResponseHead,
        server: SocketAddr,
        request: (ResponseTo, Instant),
    ) -> Option<ServerNotice> {
        let limit = dialect.server_limit(head)?;
        self.named_limits.borrow_mut().record(Instant::now(), server, request, limit)
    }

    /// Drops idle connections that are too old or closed, and opens spare ones.
    pub(crate) fn maintain(&self) {
        let mut spare_permits = Vec::new();
        self.servers.borrow_mut().retain(|address, server| {
            server.idle.retain(|idle| idle.since.elapsed() < self.max_age(idle, false) && is_open(&idle.io));
            let is_used = server.last_use.elapsed() < self.options.server_idle_timeout;
            let has_room = server.in_use + server.idle.len() < self.options.connection_limit.per_worker();
            if is_used && server.is_reachable && has_room && server.idle.len() < self.options.spare_per_server {
                server.in_use += 1;
                self.in_use.set(self.in_use.get() + 1);
                spare_permits.push(ConnectionPermit { pool: self.clone(), address: *address });
            }
            is_used || server.in_use > 0
        });
        for permit in spare_permits {
            actix_rt::spawn(async move {
                let opened = permit.pool.open(permit.address).await;
                match opened {
                    Ok(io) => permit.return_idle(io, None, Duration::ZERO),
                    Err(_) => permit.set_unreachable(),
                }
            });
        }
    }

    async fn permit(&self, address: SocketAddr) -> ConnectionPermit {
        loop {
            let freed = {
                let mut servers = self.servers.borrow_mut();
                let server = servers.entry(address).or_insert_with(Server::new);
                server.last_use = Instant::now();
                server.is_reachable = true;
                if server.in_use < self.options.connection_limit.per_worker() {
                    server.in_use += 1;
                    self.in_use.set(self.in_use.get() + 1);
                    return ConnectionPermit { pool: self.clone(), address };
                }
                server.freed.clone()
            };
            freed.notified().await;
        }
    }

    fn take(&self, address: SocketAddr, fresh: bool) -> TakeResult {
        let ProxyOptions { reuse_delay, connection_limit, .. } = &*self.options;
        let mut servers = self.servers.borrow_mut();
        let Some(server) = servers.get_mut(&address) else { return TakeResult::Unavailable };
        let mut next = server.idle.partition_point(|idle| idle.since.elapsed() >= *reuse_delay);
        while next > 0 && server.idle[next - 1].since.elapsed() <= self.max_age(&server.idle[next - 1], fresh) {
            next -= 1;
            let IdleConnection { io, .. } = server.idle.remove(next);
            if is_open(&io) {
                return TakeResult::Connection(io);
            }
        }
        // Older connections stay for requests that may be repeated, if the limit permits.
        let excess = (server.in_use + server.idle.len()).saturating_sub(connection_limit.per_worker());
        let wait = server.idle.get(next).map(|idle| reuse_delay.saturating_sub(idle.since.elapsed()));
        match wait {
            Some(left) if excess > next => TakeResult::Wait(left),
            _ => {
                server.idle.drain(..excess.min(next));
                TakeResult::Unavailable
            }
        }
    }

    /// Returns the maximum idle time of a connection that is used. `fresh` is set for requests that must not be
    /// repeated.
    fn max_age(&self, idle: &IdleConnection, fresh: bool) -> Duration {
        let ProxyOptions { max_fresh_age, max_keep_alive_age, server_idle_timeout, dialect, .. } = &*self.options;
        match idle.keep_alive.filter(|_| dialect.keep_alive_reuse) {
            Some(keep_alive) if fresh => (keep_alive / 2).min(*max_keep_alive_age),
            // The limit for a request that may be repeated is closer to the time of the server's close, as a failure
            // only costs a retry.
            Some(keep_alive) => (keep_alive * 3 / 4).min(*server_idle_timeout),
            None if fresh => *max_fresh_age,
            None => *server_idle_timeout,
        }
    }

    /// Closes the idle connections that have been unused for longest, if there are too many connections in all.
    fn make_room(&self) {
        let mut servers = self.servers.borrow_mut();
        let open: usize = servers.values().map(|server| server.in_use + server.idle.len()).sum();
        for _ in self.options.clients.limits().calls..open {
            // The longest unused connection of a server comes first.
            let oldest = servers.values_mut().filter(|server| !server.idle.is_empty());
            let Some(server) = oldest.min_by_key(|server| server.idle[0].since) else { return };
            server.idle.remove(0);
        }
    }

    async fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        self.make_room();
        let io = timeout(self.options.connect_timeout, TcpStream::connect(address)).await??;
        io.set_nodelay(true)?;
        self.counters.opened.inc();
        Ok(io)
    }
}

impl Server {
    fn new() -> Self {
        Self { in_use: 0, idle: Vec::new(), last_use: Instant::now(), is_reachable: true, freed: Rc::default() }
    }
}

impl ConnectionPermit {
    /// Returns the delay before a connection is reused after a response.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn reuse_delay(&self) -> Duration {
        self.pool.options.reuse_delay
    }

    /// Returns a connection to the pool. `elapsed_delay` is the part of the reuse delay that has passed already.
    pub(crate) fn return_idle(self, io: TcpStream, keep_alive: Option<Duration>, elapsed_delay: Duration) {
        let bound = self.pool.options.connection_limit.per_worker();
        if let Some(server) = self.pool.servers.borrow_mut().get_mut(&self.address)
            && server.in_use + server.idle.len() <= bound
        {
            let now = Instant::now();
            let since = now.checked_sub(elapsed_delay).unwrap_or(now);
            let place = server.idle.partition_point(|idle| idle.since <= since);
            server.idle.insert(place, IdleConnection { since, keep_alive, io });
        }
    }

    fn set_unreachable(self) {
        if let Some(server) = self.pool.servers.borrow_mut().get_mut(&self.address) {
            server.is_reachable = false;
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        if let Some(server) = self.pool.servers.borrow_mut().get_mut(&self.address) {
            server.in_use = server.in_use.saturating_sub(1);
            server.freed.notify_one();
        }
        self.pool.in_use.set(self.pool.in_use.get().saturating_sub(1));
        // Calls and probes wait for different limits.
        self.pool.freed.notify_waiters();
    }
}

/// Returns whether the server has neither closed the connection nor sent unsolicited data.
fn is_open(io: &TcpStream) -> bool {
    matches!(io.try_read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}
