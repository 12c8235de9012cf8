//! Options of the HTTP path.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Bytes of a body that are held in one direction while the other side is not ready for them.
pub(crate) const BUFFER_LIMIT: usize = 64 * 1_024;
/// Greatest request body that is kept so that the call can be sent again, in bytes.
pub(crate) const KEPT_BODY_LIMIT: usize = 64 * 1_024;
/// Greatest head of a request or an answer, in bytes.
pub(crate) const HEAD_LIMIT: usize = 64 * 1_024;

/// Bound on the connections of one worker to one server.
///
/// A server accepts a number of connections from all entries together, which is divided evenly.
#[derive(Debug)]
pub struct ConnectionBound {
    connections: usize,
    workers: usize,
    roster: AtomicUsize,
}

impl ConnectionBound {
    /// Makes a bound for servers that accept `connections`, shared by `roster` entries with `workers` each.
    ///
    /// ```
    /// use hemlockford_proxy::ConnectionBound;
    /// let bound = ConnectionBound::new(250, 7, 4);
    /// assert_eq!(bound.per_worker(), 8);
    /// bound.set_roster(6);
    /// assert_eq!(bound.per_worker(), 10);
    /// ```
    pub fn new(connections: usize, roster: usize, workers: usize) -> Self {
        Self { connections, workers: workers.max(1), roster: AtomicUsize::new(roster.max(1)) }
    }

    /// Sets the number of entries that share the servers.
    pub fn set_roster(&self, roster: usize) {
        self.roster.store(roster.max(1), Ordering::Relaxed);
    }

    /// Returns the connections that one worker may have to one server, at least one.
    pub fn per_worker(&self) -> usize {
        (self.connections / (self.roster.load(Ordering::Relaxed) * self.workers)).max(1)
    }
}

/// Options of the HTTP path.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Time within which a caller must send its request head.
    pub head_timeout: Duration,
    /// Time that may pass between two parts of a caller's body.
    pub body_idle: Duration,
    /// Time for which an idle connection of a caller is kept.
    pub keep_alive: Duration,
    /// Time for which an idle connection of a caller may still bring a request after a stop.
    pub stop_grace: Duration,
    /// Connections of callers that one worker serves at a time.
    pub callers: usize,
    /// Time within which a connection to a server must open.
    pub connect_timeout: Duration,
    /// Time for which an idle connection to a server is kept.
    pub idle_timeout: Duration,
    /// Time for which a connection rests after an answer. A faulty server may send bytes beyond an answer, which
    /// cannot be told from the answer to the next request if they arrive after that was written.
    pub rest: Duration,
    /// Age up to which an idle connection may carry a non-idempotent request. A server may close an
    /// idle connection just as a request is written, and then it is not known whether it ran.
    pub fresh_age: Duration,
    /// Idle connections that are opened in advance to a server in use, as opening one costs about 1 ms.
    pub warm_per_server: usize,
    /// Bound on the connections to one server.
    pub bound: Arc<ConnectionBound>,
}

impl Default for ProxyOptions {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(5),
            body_idle: Duration::from_secs(10),
            keep_alive: Duration::from_secs(60),
            stop_grace: Duration::from_millis(250),
            callers: 4_096,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            rest: Duration::from_millis(1),
            fresh_age: Duration::from_millis(100),
            warm_per_server: 1,
            bound: Arc::new(ConnectionBound::new(250, 1, 1)),
        }
    }
}
