//! Options of the HTTP path.

use {
    crate::{client_budget::ClientBudget, dialect::Dialect},
    hemlockford_core::{collections::FastSet, quarantine::RequestDigest},
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// Bytes of a body that are buffered in one direction while the other side is not ready for them.
pub(crate) const BUFFER_LIMIT: usize = 64 * 1_024;
/// Maximum size in bytes of a request body that is buffered so that it can be sent again, and of an error response
/// that is saved while another server is tried.
pub(crate) const BUFFERED_BODY_LIMIT: usize = 64 * 1_024;
/// Maximum size of the head of a request or a response, in bytes.
pub(crate) const HEAD_LIMIT: usize = 64 * 1_024;

/// Limit on the connections of one worker to one server.
///
/// A server accepts a limited number of connections in total, which is divided evenly among all workers of all
/// entries.
#[derive(Debug)]
pub struct ConnectionLimit {
    connections: AtomicUsize,
    workers: usize,
    entries: AtomicUsize,
}

impl ConnectionLimit {
    /// Creates a limit for servers that accept `connections`, shared by `entries` entries with `workers` workers
    /// each.
    ///
    /// ```
    /// use hemlockford_proxy::ConnectionLimit;
    /// let limit = ConnectionLimit::new(250, 7, 4);
    /// assert_eq!(limit.per_worker(), 8);
    /// limit.set_entries(6);
    /// assert_eq!(limit.per_worker(), 10);
    /// limit.set_connections(960);
    /// assert_eq!(limit.per_worker(), 40);
    /// ```
    pub fn new(connections: usize, entries: usize, workers: usize) -> Self {
        Self {
            connections: AtomicUsize::new(connections),
            workers: workers.max(1),
            entries: AtomicUsize::new(entries.max(1)),
        }
    }

    /// Sets the number of entries that share the servers.
    pub fn set_entries(&self, entries: usize) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
    }

    /// Sets the number of connections that each server accepts in total.
    pub fn set_connections(&self, connections: usize) {
        self.connections.store(connections, Ordering::Relaxed);
    }

    /// Returns the number of connections that one worker may have to one server, at least one.
    pub fn per_worker(&self) -> usize {
        (self.connections.load(Ordering::Relaxed) / (self.entries.load(Ordering::Relaxed) * self.workers)).max(1)
    }
}

/// Options of the HTTP path.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Header names and rules of the HTTP interface.
    pub dialect: Dialect,
    /// Upper limit of the time within which a caller must send its request head. The configuration sets the actual
    /// time.
    pub head_timeout: Duration,
    /// Maximum time between two parts of a caller's body.
    pub body_idle_timeout: Duration,
    /// Upper limit of the time for which an idle connection of a caller is kept. The configuration sets the actual
    /// time.
    pub caller_idle_timeout: Duration,
    /// Time for which an idle connection of a caller may still carry a request after a stop.
    pub stop_grace: Duration,
    /// Ends the serving of requests after the stop signal when it becomes true or its sender is dropped. Without it,
    /// requests are refused from the stop signal on.
    pub serve_while_stopping: Option<watch::Receiver<bool>>,
    /// Time at which the calls of a stopping instance end, once it is known. Calls that no server runs by then are refused
    /// instead of being cut off with the process.
    pub calls_end: Option<watch::Receiver<Option<Instant>>>,
    /// Whether the callers are other entries, which have lost the path to the servers.
    pub is_relay: bool,
    /// Heads of the requests that are suspected of crashing servers. Without it, such requests are not recognized.
    pub suspect_heads: Option<watch::Receiver<Arc<FastSet<RequestDigest>>>>,
    /// Time after which a caller may retry a request that was refused without asking the dispatcher.
    pub retry_after: Duration,
    /// Maximum size of a request body that is buffered so that it can be sent again, in bytes.
    pub max_replayable_body: usize,
    /// Maximum number of caller connections that one worker serves at a time.
    pub max_callers: usize,
    /// Timeout for opening a connection to a server.
    pub connect_timeout: Duration,
    /// Time for which an idle connection to a server is kept.
    pub server_idle_timeout: Duration,
    /// Delay before a connection is reused after a response. A faulty server may send surplus bytes after a response.
    /// If they arrive after the next request was written, they cannot be distinguished from its response.
    pub reuse_delay: Duration,
    /// Maximum idle time of a connection that carries a non-idempotent request. A server may close an idle connection
    /// just as a request is written, and then it is not known whether the request ran.
    pub max_fresh_age: Duration,
    /// The same for a connection whose server declares how long it keeps idle connections, if the dialect uses the
    /// declaration. Half of the declared time is the limit if it is shorter.
    pub max_keep_alive_age: Duration,
    /// Interval at which idle connections are checked. Each check wakes the worker.
    pub pool_check_interval: Duration,
    /// Number of idle connections that are opened in advance to a server in use, as opening one takes about 1 ms.
    pub spare_per_server: usize,
    /// Seed of the random positions at which weighted splits start. It must differ between entries, as they would
    /// otherwise all start with the same service.
    pub seed: u64,
    /// Whether the dispatcher may ask for second copies of running calls.
    pub runs_copies: bool,
    /// Limit on the connections to one server.
    pub connection_limit: Arc<ConnectionLimit>,
    /// Budget of what clients make the process hold.
    pub clients: ClientBudget,
}

impl Default for ProxyOptions {
    fn default() -> Self {
        Self {
            dialect: Dialect::default(),
            head_timeout: Duration::MAX,
            body_idle_timeout: Duration::from_secs(10),
            caller_idle_timeout: Duration::MAX,
            stop_grace: Duration::from_millis(250),
            serve_while_stopping: None,
            calls_end: None,
            is_relay: false,
            suspect_heads: None,
            retry_after: Duration::from_secs(1),
            max_replayable_body: BUFFERED_BODY_LIMIT,
            max_callers: 4_096,
            connect_timeout: Duration::from_secs(1),
            server_idle_timeout: Duration::from_secs(30),
            reuse_delay: Duration::from_millis(1),
            max_fresh_age: Duration::from_millis(100),
            max_keep_alive_age: Duration::from_secs(2),
            pool_check_interval: Duration::from_millis(100),
            spare_per_server: 1,
            seed: 0,
            runs_copies: false,
            connection_limit: Arc::new(ConnectionLimit::new(250, 1, 1)),
            clients: ClientBudget::default(),
        }
    }
}

impl ProxyOptions {
    /// Returns the options for calls that other entries pass on to this one.
    ///
    /// ```
    /// use hemlockford_proxy::ProxyOptions;
    /// assert!(ProxyOptions::default().for_relays().is_relay);
    /// ```
    pub fn for_relays(&self) -> Self {
        let dialect = Dialect { states_outcome: true, ..self.dialect.clone() };
        Self { dialect, is_relay: true, ..self.clone() }
    }

    /// Returns the options of an entry of a fleet, with the dialect of its platform and its own seed.
    ///
    /// ```
    /// use hemlockford_proxy::{Dialect, ProxyOptions};
    /// assert_eq!(ProxyOptions::fleet(Dialect::default(), 7).spare_per_server, 0);
    /// ```
    pub fn fleet(dialect: Dialect, seed: u64) -> Self {
        Self {
            dialect,
            seed,
            // A machine without power does not respond at all.
            connect_timeout: Duration::from_millis(300),
            // Opening a connection costs one sixtieth of the value of a call, whether it is used or not.
            spare_per_server: 0,
            pool_check_interval: Duration::from_secs(1),
            retry_after: Duration::from_millis(250),
            // Uploads have up to 360 KB. An upload that one server rejects can be sent to another.
            max_replayable_body: 512 * 1_024,
            ..Self::default()
        }
    }
}
