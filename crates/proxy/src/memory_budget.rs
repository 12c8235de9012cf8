//! Decides whose connection is closed when clients make a process hold too much.

use {
    crate::client_limits::ClientLimits,
    hemlockford_core::collections::FastMap,
    std::{
        net::IpAddr,
        time::{Duration, Instant},
    },
};

/// Number of a connection.
pub type ClientId = u64;

/// Time without progress after which a client counts as stalled. An ordinary client sends its request within it.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// A connection that holds less is not closed for the sake of memory.
const MIN_FREED_BYTES: usize = 16 * 1_024;
/// Part of the connections of a listener from which on an address pays before others.
const HEAVY_SHARE: usize = 4;
/// Part of the bytes from which on bodies are not kept for another attempt.
const TIGHT_SHARE: usize = 2;

/// Kind of listener that accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientKind {
    /// A caller.
    Caller,
    /// Another entry that passes calls on.
    Relay,
    /// A server, an operator or the platform.
    Admin,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// For a request that has not begun.
    Idle,
    /// For the head of a request, also before the first one.
    Head,
    /// For the body of a request.
    Body,
    /// For the process or a server.
    Running,
    /// For the client to read.
    Response,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// There are too many connections.
    Connections,
    /// Too many bytes are held.
    Bytes,
    /// There are too many calls in progress.
    Calls,
    /// The client made no progress for too long.
    Time,
}

/// A connection that must be closed.
pub type Closing = (ClientId, CloseReason);

#[derive(Clone, Debug)]
struct Client {
    kind: ClientKind,
    address: IpAddr,
    state: ClientState,
    /// When the client last made progress.
    since: Instant,
    bytes: usize,
    calls: usize,
    /// Whether the body of the current request was awaited.
    has_body_begun: bool,
    /// Whether it must be closed, so that what it holds no longer counts.
    is_closing: bool,
}

/// Everything that clients make a process hold.
///
/// ```
/// use {
///     hemlockford_proxy::{ClientKind, ClientLimits, CloseReason, MemoryBudget},
///     std::{net::Ipv4Addr, time::Instant},
/// };
/// let (now, address) = (Instant::now(), Ipv4Addr::LOCALHOST.into());
/// let mut budget = MemoryBudget::new(ClientLimits { callers: 1, ..ClientLimits::default() });
/// let (first, closing) = budget.open(now, ClientKind::Caller, address);
/// assert_eq!(closing, []);
/// let (_, closing) = budget.open(now, ClientKind::Caller, address);
/// assert_eq!(closing, [(first, CloseReason::Connections)]);
/// ```
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limits: ClientLimits,
    clients: FastMap<ClientId, Client>,
    /// Connections that are not closing, by kind and address.
    by_address: FastMap<(ClientKind, IpAddr), usize>,
    /// Connections that are not closing, by kind.
    counts: FastMap<ClientKind, usize>,
    bytes: usize,
    calls: usize,
    last_id: ClientId,
}

impl MemoryBudget {
    /// Creates an empty budget.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            clients: FastMap::default(),
            by_address: FastMap::default(),
            counts: FastMap::default(),
            bytes: 0,
            calls: 0,
            last_id: 0,
        }
    }

    /// Returns the bytes that are held for clients whose connections stay open.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether memory is short, so that nothing is held that is not needed.
    pub fn is_tight(&self) -> bool {
        self.bytes > self.limits.bytes / TIGHT_SHARE
    }

    /// Adds a connection. Returns its number and the connections that must be closed for it, never itself.
    pub fn open(&mut self, now: Instant, kind: ClientKind, address: IpAddr) -> (ClientId, Vec<Closing>) {
        let limit = match kind {
            ClientKind::Caller => self.limits.callers,
            ClientKind::Relay => self.limits.relays,
            ClientKind::Admin => self.limits.admins,
        };
        let mut closing = Vec::new();
        while self.counts.get(&kind).is_some_and(|count| *count >= limit) {
            let Some(victim) = self.victim(now, |client| client.kind == kind) else { break };
            closing.push(self.close_for(victim, CloseReason::Connections));
        }
        self.last_id += 1;
        *self.counts.entry(kind).or_default() += 1;
        *self.by_address.entry((kind, address)).or_default() += 1;
        let state = ClientState::Head;
        let client =
            Client { kind, address, state, since: now, bytes: 0, calls: 0, has_body_begun: false, is_closing: false };
        self.clients.insert(self.last_id, client);
        (self.last_id, closing)
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, id: ClientId) {
        self.release(id);
        self.clients.remove(&id);
    }

    /// Sets what a connection waits for. A client that begins to wait for a request, or that begins to be waited for,
    /// starts a new count of its time without progress.
    pub fn set_state(&mut self, id: ClientId, state: ClientState, now: Instant) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let is_new = match state {
            ClientState::Idle | ClientState::Head | ClientState::Response => client.state != state,
            // A client that sends a byte now and then is awaited again after each.
            ClientState::Body => !std::mem::replace(&mut client.has_body_begun, true),
            ClientState::Running => false,
        };
        if is_new {
            client.since = now;
        }
        if matches!(state, ClientState::Idle | ClientState::Head) {
            client.has_body_begun = false;
        }
        client.state = state;
    }

    /// Records that a client sent or took a considerable amount of data.
    pub fn progress(&mut self, id: ClientId, now: Instant) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.since = now;
        }
    }

    /// Sets the bytes that are held for a client. Returns the connections that must be closed.
    pub fn hold(&mut self, id: ClientId, bytes: usize, now: Instant) -> Vec<Closing> {
        let Some(client) = self.clients.get_mut(&id) else { return Vec::new() };
        let before = std::mem::replace(&mut client.bytes, bytes);
        if client.is_closing {
            return Vec::new();
        }
        self.bytes = self.bytes.saturating_sub(before).saturating_add(bytes);
        let mut closing = Vec::new();
        while self.bytes > self.limits.bytes {
            let Some(victim) = self.victim(now, |client| client.bytes >= MIN_FREED_BYTES) else { break };
            closing.push(self.close_for(victim, CloseReason::Bytes));
        }
        closing
    }

    /// Begins a call. Returns whether there is room for it, and the connection that must be closed for it: one whose
    /// client keeps a call from ending.
    pub fn begin_call(&mut self, id: ClientId, now: Instant) -> (bool, Option<Closing>) {
        let mut closing = None;
        if self.calls >= self.limits.calls {
            let victim = self.victim(now, |client| client.calls > 0 && client.is_stalled(now));
            closing = victim.map(|victim| self.close_for(victim, CloseReason::Calls));
        }
        let is_admitted = self.calls < self.limits.calls;
        if is_admitted && let Some(client) = self.clients.get_mut(&id).filter(|client| !client.is_closing) {
            client.calls += 1;
            self.calls += 1;
        }
        (is_admitted, closing)
    }

    /// Ends a call that was admitted.
    pub fn end_call(&mut self, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id).filter(|client| !client.is_closing && client.calls > 0) {
            client.calls -= 1;
            self.calls = self.calls.saturating_sub(1);
        }
    }

    /// Returns the connections of a kind whose clients made no progress for longer than `limit` permits.
    pub fn overdue(
        &mut self,
        now: Instant,
        kind: ClientKind,
        limit: impl Fn(ClientState) -> Option<Duration>,
    ) -> Vec<Closing> {
        let is_overdue = |client: &Client| {
            let limit = limit(client.state).filter(|_| client.kind == kind && !client.is_closing);
            limit.is_some_and(|limit| client.stalled_for(now) > limit)
        };
        let overdue = self.clients.iter().filter(|(_, client)| is_overdue(client)).map(|(id, _)| *id);
        let overdue: Vec<_> = overdue.collect();
        overdue.into_iter().map(|id| self.close_for(id, CloseReason::Time)).collect()
    }

    /// Returns the connection that is closed first: one that waits for its client before one that waits for the
    /// process, one of an address with many connections before others, one that has stalled within a request before an
    /// idle one, and of these the one that has made no progress for longest.
    fn victim(&self, now: Instant, may_close: impl Fn(&Client) -> bool) -> Option<ClientId> {
        let candidates = self.clients.iter().filter(|(_, client)| !client.is_closing && may_close(client));
        let order = |id: ClientId, client: &Client| {
            let rank = match client.state {
                _ if client.is_stalled(now) => 0,
                ClientState::Idle => 1,
                ClientState::Head | ClientState::Body | ClientState::Response => 2,
                ClientState::Running => 3,
            };
            (client.state == ClientState::Running, !self.is_heavy(client), rank, client.since, id)
        };
        candidates.min_by_key(|(id, client)| order(**id, client)).map(|(id, _)| *id)
    }

    /// Whether the address of a client has many of the connections. Other entries pass on calls of many callers.
    fn is_heavy(&self, client: &Client) -> bool {
        let limit = match client.kind {
            ClientKind::Caller => self.limits.callers,
            ClientKind::Admin => self.limits.admins,
            ClientKind::Relay => return false,
        };
        self.by_address.get(&(client.kind, client.address)).is_some_and(|count| *count > limit / HEAVY_SHARE)
    }

    fn close_for(&mut self, id: ClientId, reason: CloseReason) -> Closing {
        self.release(id);
        (id, reason)
    }

    /// Stops counting what a connection holds.
    fn release(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id).filter(|client| !client.is_closing) else { return };
        client.is_closing = true;
        self.bytes = self.bytes.saturating_sub(client.bytes);
        self.calls = self.calls.saturating_sub(client.calls);
        if let Some(count) = self.counts.get_mut(&client.kind) {
            *count = count.saturating_sub(1);
        }
        let key = (client.kind, client.address);
        if let Some(count) = self.by_address.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.by_address.remove(&key);
            }
        }
    }
}

impl Client {
    fn stalled_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Whether the client keeps a request or its answer from ending.
    fn is_stalled(&self, now: Instant) -> bool {
        matches!(self.state, ClientState::Head | ClientState::Body | ClientState::Response)
            && self.stalled_for(now) > STALLED_AFTER
    }
}
