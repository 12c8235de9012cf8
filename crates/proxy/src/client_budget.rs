//! The budget of a process, shared by its listeners, with its metrics.

use {
    crate::{
        client_guard::ClientGuard,
        client_limits::ClientLimits,
        memory_budget::{ClientId, ClientKind, ClientState, CloseReason, Closing, MemoryBudget},
    },
    error_stack::ResultExt,
    hemlockford_core::{
        collections::FastMap,
        errors::{ErrorKind, Result},
    },
    prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry},
    std::{
        net::IpAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// The budget of a process. Copies share it.
#[derive(Clone, Debug)]
pub struct ClientBudget {
    limits: ClientLimits,
    state: Arc<Mutex<State>>,
    counters: Arc<Counters>,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    /// How the owner of a connection learns that it must close it.
    closers: FastMap<ClientId, Arc<Notify>>,
}

#[derive(Debug)]
struct Counters {
    bytes: IntGauge,
    /// Connections by state, in the order of `STATES`.
    connections: [IntGauge; STATES.len()],
    closed: [IntCounter; REASONS.len()],
    refused: IntCounter,
}

const STATES: [(ClientState, &str); 5] = [
    (ClientState::Idle, "idle"),
    (ClientState::Head, "head"),
    (ClientState::Body, "body"),
    (ClientState::Running, "running"),
    (ClientState::Response, "response"),
];

const REASONS: [(CloseReason, &str); 4] = [
    (CloseReason::Connections, "connections"),
    (CloseReason::Bytes, "bytes"),
    (CloseReason::Calls, "calls"),
    (CloseReason::Time, "time"),
];

impl ClientBudget {
    /// Creates a budget and registers its metrics.
    ///
    /// ```
    /// use hemlockford_proxy::{ClientBudget, ClientLimits};
    /// let registry = prometheus::Registry::new();
    /// ClientBudget::register(ClientLimits::default(), &registry).unwrap();
    /// assert!(ClientBudget::register(ClientLimits::default(), &registry).is_err());
    /// ```
    pub fn register(limits: ClientLimits, registry: &Registry) -> Result<Self> {
        Self::build(limits, Some(registry)).change_context(ErrorKind::Conflict)
    }

    fn build(limits: ClientLimits, registry: Option<&Registry>) -> prometheus::Result<Self> {
        let bytes = IntGauge::new("hemlockford_client_bytes", "Bytes that are held for clients.")?;
        let connections = Opts::new("hemlockford_client_connections", "Connections of clients by state.");
        let connections = IntGaugeVec::new(connections, &["state"])?;
        let closed = Opts::new("hemlockford_clients_closed_total", "Connections closed for a limit, by reason.");
        let closed = IntCounterVec::new(closed, &["reason"])?;
        let refused = IntCounter::new("hemlockford_calls_over_limit_total", "Calls refused for the limit on calls.")?;
        if let Some(registry) = registry {
            registry.register(Box::new(bytes.clone()))?;
            registry.register(Box::new(connections.clone()))?;
            registry.register(Box::new(closed.clone()))?;
            registry.register(Box::new(refused.clone()))?;
        }
        let counters = Counters {
            bytes,
            connections: STATES.map(|(_, label)| connections.with_label_values(&[label])),
            closed: REASONS.map(|(_, label)| closed.with_label_values(&[label])),
            refused,
        };
        let state = State { budget: MemoryBudget::new(limits), closers: FastMap::default() };
        Ok(Self { limits, state: Arc::new(Mutex::new(state)), counters: Arc::new(counters) })
    }

    /// Returns the limits.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Adds a connection, and closes others if there are too many. Lets their tasks run before it returns, so that a
    /// listener does not accept faster than connections are closed.
    pub async fn admit(&self, kind: ClientKind, address: IpAddr) -> ClientGuard {
        let (guard, has_closed) = self.open(kind, address);
        if has_closed {
            tokio::task::yield_now().await;
        }
        guard
    }

    /// Adds a connection. Returns whether others must be closed for it.
    pub(crate) fn open(&self, kind: ClientKind, address: IpAddr) -> (ClientGuard, bool) {
        let closer = Arc::new(Notify::new());
        let mut state = self.lock();
        let (id, closing) = state.budget.open(Instant::now(), kind, address);
        state.closers.insert(id, closer.clone());
        let has_closed = !closing.is_empty();
        self.close(&state, closing);
        drop(state);
        self.gauge(ClientState::Head).inc();
        (ClientGuard::new(self.clone(), id, closer), has_closed)
    }

    /// Closes the connections of a kind whose clients made no progress for longer than `limit` permits.
    pub fn close_overdue(&self, kind: ClientKind, limit: impl Fn(ClientState) -> Option<Duration>) {
        let mut state = self.lock();
        let closing = state.budget.overdue(Instant::now(), kind, limit);
        self.close(&state, closing);
    }

    pub(crate) fn set_state(&self, id: ClientId, before: ClientState, after: ClientState) {
        self.lock().budget.set_state(id, after, Instant::now());
        self.gauge(before).dec();
        self.gauge(after).inc();
    }

    pub(crate) fn progress(&self, id: ClientId) {
        self.lock().budget.progress(id, Instant::now());
    }

    pub(crate) fn hold(&self, id: ClientId, bytes: usize) {
        let mut state = self.lock();
        let closing = state.budget.hold(id, bytes, Instant::now());
        self.close(&state, closing);
        self.counters.bytes.set(i64::try_from(state.budget.bytes()).unwrap_or(i64::MAX));
    }

    pub(crate) fn is_tight(&self) -> bool {
        self.lock().budget.is_tight()
    }

    /// Begins a call. Returns whether there is room for it, and whether a connection must be closed for it.
    pub(crate) fn begin_call(&self, id: ClientId) -> (bool, bool) {
        let mut state = self.lock();
        let (is_admitted, closing) = state.budget.begin_call(id, Instant::now());
        self.close(&state, closing);
        if !is_admitted {
            self.counters.refused.inc();
        }
        (is_admitted, closing.is_some())
    }

    pub(crate) fn end_call(&self, id: ClientId) {
        self.lock().budget.end_call(id);
    }

    pub(crate) fn remove(&self, id: ClientId, last: ClientState) {
        let mut state = self.lock();
        state.budget.close(id);
        state.closers.remove(&id);
        self.counters.bytes.set(i64::try_from(state.budget.bytes()).unwrap_or(i64::MAX));
        drop(state);
        self.gauge(last).dec();
    }

    fn close(&self, state: &State, closing: impl IntoIterator<Item = Closing>) {
        for (id, reason) in closing {
            if let Some(closer) = state.closers.get(&id) {
                closer.notify_one();
            }
            if let Some(place) = REASONS.iter().position(|(other, _)| *other == reason) {
                self.counters.closed[place].inc();
            }
        }
    }

    fn gauge(&self, state: ClientState) -> &IntGauge {
        let place = STATES.iter().position(|(other, _)| *other == state).unwrap_or(0);
        &self.counters.connections[place]
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No operation on the state panics halfway.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ClientBudget {
    /// A budget without limits and without registered metrics.
    fn default() -> Self {
        Self::build(ClientLimits::default(), None).expect("the names of the metrics are valid")
    }
}
