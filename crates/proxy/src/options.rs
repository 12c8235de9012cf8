//! Options of the HTTP path.

use {
    crate::dialect::Dialect,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// Bytes of a body that are held in one direction while the other side is not ready for them.
pub(crate) const BUFFER_LIMIT: usize = 64 * 1_024;
/// Greatest request body that is kept so that the call can be sent again, and greatest server's error that is kept
/// while another server is tried, in bytes.
pub(crate) const BUFFERED_BODY_LIMIT: usize = 64 * 1_024;
/// Greatest head of a request or an answer, in bytes.
pub(crate) const HEAD_LIMIT: usize = 64 * 1_024;

/// Bound on the connections of one worker to one server.
///
/// A server accepts a number of connections from all entries together, which is divided evenly.
#[derive(Debug)]
pub struct ConnectionLimit {
    connections: usize,
    workers: usize,
    entries: AtomicUsize,
}

impl ConnectionLimit {
    /// Makes a bound for servers that accept `connections`, shared by `entries` entries with `workers` each.
    ///
    /// ```
    /// use hemlockford_proxy::ConnectionLimit;
    /// let bound = ConnectionLimit::new(250, 7, 4);
    /// assert_eq!(bound.per_worker(), 8);
    /// bound.set_entries(6);
    /// assert_eq!(bound.per_worker(), 10);
    /// ```
    pub fn new(connections: usize, entries: usize, workers: usize) -> Self {
        Self { connections, workers: workers.max(1), entries: AtomicUsize::new(entries.max(1)) }
    }

    /// Sets the number of entries that share the servers.
    pub fn set_entries(&self, entries: usize) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
    }

    /// Returns the connections that one worker may have to one server, at least one.
    pub fn per_worker(&self) -> usize {
        (self.connections / (self.entries.load(Ordering::Relaxed) * self.workers)).max(1)
    }
}

/// Options of the HTTP path.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Header names and rules of the interface.
    pub dialect: Dialect,
    /// Upper bound of the time within which a caller must send its request head, which the text sets.
    pub head_timeout: Duration,
    /// Time that may pass between two parts of a caller's body.
    pub body_idle_timeout: Duration,
    /// Upper bound of the time for which an idle connection of a caller is kept, which the text sets.
    pub caller_idle_timeout: Duration,
    /// Time for which an idle connection of a caller may still bring a request after a stop.
    pub stop_grace: Duration,
    /// Ends the serving of requests after the stop signal when it becomes true, or when its sender is gone. Without
    /// it, requests are refused from the stop signal on.
    pub serve_while_stopping: Option<watch::Receiver<bool>>,
    /// When a caller may come back that was refused without the dispatcher.
    pub retry_after: Duration,
    /// Greatest request body that is kept so that the call can be sent again, in bytes.
    pub max_replayable_body: usize,
    /// Connections of callers that one worker serves at a time.
    pub max_callers: usize,
    /// Time within which a connection to a server must open.
    pub connect_timeout: Duration,
    /// Time for which an idle connection to a server is kept.
    pub server_idle_timeout: Duration,
    /// Time for which a connection rests after an answer. A faulty server may send bytes beyond an answer, which
    /// cannot be told from the answer to the next request if they arrive after that was written.
    pub reuse_delay: Duration,
    /// Age up to which an idle connection may carry a non-idempotent request. A server may close an
    /// idle connection just as a request is written, and then it is not known whether it ran.
    pub max_fresh_age: Duration,
    /// The same for a connection whose server names the time for which it keeps idle connections, in a dialect that
    /// asks for it; half of that time is the limit if it is less.
    pub max_keep_alive_age: Duration,
    /// Interval at which idle connections are checked. Each check wakes the worker.
    pub pool_check_interval: Duration,
    /// Idle connections that are opened in advance to a server in use, as opening one costs about 1 ms.
    pub spare_per_server: usize,
    /// Seed of the places at which the splits of routes begin. It must differ between entries, which would otherwise
    /// all begin with the same service.
    pub seed: u64,
    /// Bound on the connections to one server.
    pub connection_limit: Arc<ConnectionLimit>,
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
            connection_limit: Arc::new(ConnectionLimit::new(250, 1, 1)),
        }
    }
}

impl ProxyOptions {
    /// Returns the options of an entry of a fleet with the dialect of its platform and a seed of its own.
    ///
    /// ```
    /// use hemlockford_proxy::{Dialect, ProxyOptions};
    /// assert_eq!(ProxyOptions::fleet(Dialect::default(), 7).spare_per_server, 0);
    /// ```
    pub fn fleet(dialect: Dialect, seed: u64) -> Self {
        Self {
            dialect,
            seed,
            // A machine without power does not answer.
            connect_timeout: Duration::from_millis(300),
            // A new connection costs a sixtieth of a call's worth, whether it is used or not.
            spare_per_server: 0,
            pool_check_interval: Duration::from_secs(1),
            retry_after: Duration::from_millis(250),
            // Uploads have up to 360 KB. One that a server rejected can be sent to another.
            max_replayable_body: 512 * 1_024,
            ..Self::default()
        }
    }
}
