//! State of a stand-in server that its thread shares with the control listener.

use {
    super::behaviour::Behaviour,
    hemlockford_core::dispatch::ServerState,
    serde::Serialize,
    std::{
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::{Notify, watch},
};

/// State of a stand-in server that its thread shares with the control listener.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) name: Box<str>,
    pub(super) address: SocketAddr,
    /// Start of the process, relative to which times are reported.
    pub(super) epoch: Instant,
    /// Notified when the announced state may have changed, which triggers an announcement.
    pub(super) changed: Notify,
    /// Whether the server is up. An emulated crash closes its listener and connections.
    pub(super) up: watch::Sender<bool>,
    state: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    behaviour: Behaviour,
    start: Instant,
    incarnation: u64,
    counts: Counts,
}

/// Counters of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct Counts {
    /// Requests received, except probes.
    pub(super) arrived: u64,
    pub(super) started: u64,
    pub(super) finished: u64,
    pub(super) cancelled: u64,
    pub(super) shed: u64,
    /// Requests intended for another server.
    pub(super) misdirected: u64,
    pub(super) failed_fast: u64,
    pub(super) probes: u64,
    /// Answers with a load report.
    pub(super) reports: u64,
    pub(super) in_flight: u32,
    pub(super) connections: u32,
    pub(super) refused_connections: u64,
    pub(super) last_started_ms: Option<u64>,
    pub(super) leaving_since_ms: Option<u64>,
    pub(super) started_after_leaving: u64,
}

/// Counters and behaviour of one server. Times are in milliseconds since the start of the process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerReport {
    server: Box<str>,
    address: SocketAddr,
    behaviour: Behaviour,
    #[serde(flatten)]
    counts: Counts,
}

impl SharedState {
    pub(super) fn new(name: Box<str>, address: SocketAddr, epoch: Instant, behaviour: Behaviour) -> Self {
        let state = Inner { behaviour, start: epoch, incarnation: wall_clock(), counts: Counts::default() };
        Self {
            name,
            address,
            epoch,
            changed: Notify::new(),
            up: watch::Sender::new(!behaviour.down),
            state: Mutex::new(state),
        }
    }

    pub(super) fn behaviour(&self) -> Behaviour {
        self.lock().behaviour
    }

    /// Returns the start time and the incarnation.
    pub(super) fn start(&self) -> (Instant, u64) {
        let state = self.lock();
        (state.start, state.incarnation)
    }

    /// Applies a mode. `restart` creates a new incarnation, which starts cold.
    pub(super) fn apply(&self, query: &str) -> Result<Behaviour, String> {
        let mut state = self.lock();
        if query.split('&').any(|pair| pair == "mode=restart") {
            state.start = Instant::now();
            state.incarnation = wall_clock().max(state.incarnation + 1);
            state.behaviour.state = ServerState::Ready;
            state.behaviour.down = false;
        } else {
            state.behaviour.apply(query)?;
        }
        let is_leaving = matches!(state.behaviour.state, ServerState::Draining | ServerState::Leaving);
        let since = state.counts.leaving_since_ms.filter(|_| is_leaving);
        state.counts.leaving_since_ms = is_leaving.then(|| since.unwrap_or(self.now_ms()));
        let behaviour = state.behaviour;
        drop(state);
        self.up.send_replace(!behaviour.down);
        self.changed.notify_one();
        Ok(behaviour)
    }

    pub(super) fn count<T>(&self, update: impl FnOnce(&mut Counts) -> T) -> T {
        update(&mut self.lock().counts)
    }

    pub(super) fn count_start(&self) {
        let now = self.now_ms();
        self.count(|counts| {
            counts.started += 1;
            counts.last_started_ms = Some(now);
            counts.started_after_leaving += u64::from(counts.leaving_since_ms.is_some());
        });
    }

    pub(super) fn report(&self) -> ServerReport {
        let state = self.lock();
        ServerReport {
            server: self.name.clone(),
            address: self.address,
            behaviour: state.behaviour,
            counts: state.counts,
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn wall_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64)
}
