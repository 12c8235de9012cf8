//! The servers of one service, with those of the own data centre first.

use {
    super::{FleetPosition, RunningProbe, Server, ServerLimit, WarmUp, WarmUpRule},
    crate::{
        collections::FastMap,
        dispatch::{Exclusions, ServerNotice, ServerView},
        ids::Incarnation,
        slots::{NameHash, name_hash},
    },
    rand::{RngExt, rngs::SmallRng},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Minimum share of a service's slots that is kept in use, regardless of failures.
const MIN_ACTIVE_SHARE: f64 = 0.5;
/// Age after which other entries have sent calls to a new server.
const NEW_SERVER_AGE: Duration = Duration::from_millis(6_500);
/// Age in milliseconds at which an entry sends a new server a first call: late enough for the server not to
/// be cold, and early enough for a call within 8 s. Each entry draws a random time, so that their calls do
/// not coincide.
const INTRODUCTION_MS: std::ops::Range<u64> = 3_200..5_000;
/// Time after the first servers are known within which all running servers have announced themselves.
const STARTUP_PERIOD: Duration = Duration::from_secs(4);
/// Entries of other data centres send their first calls later, when a new server has usually had calls
/// already.
const REMOTE_INTRODUCTION_MS: std::ops::Range<u64> = 5_000..6_000;
/// Mean number of entries that send a new server a first call. If all entries did, 44 entries would send each
/// of 60 new servers a call that may be late. With 3 on average, one server in 20 gets none and waits until
/// it is chosen by its cost.
const INTRODUCING_ENTRIES: f64 = 3.0;
/// Servers of other data centres considered for one choice, so that its cost does not grow with their number.
pub(super) const REMOTE_SAMPLE_SIZE: usize = 4;

/// Age at which an entry that may send calls to a cold server that joined sends it a first call, in milliseconds. Such
/// a server must get calls soon although it is cold, and it is slow anyway.
const COLD_INTRODUCTION_MS: std::ops::Range<u64> = 200..1_200;
/// The same for entries of other data centres.
const REMOTE_COLD_INTRODUCTION_MS: std::ops::Range<u64> = 1_000..2_000;
/// Time after which a server that was removed and is added again counts as one that has joined. A partition removes
/// servers for some seconds, an evacuation for longer.
const REMEMBERED_FOR: Duration = Duration::from_secs(15);
/// Maximum number of removed servers whose limits are remembered.
const MAX_REMOVED_LIMITS: usize = 1_024;

/// The servers of one service, with those of the own data centre first.
#[derive(Debug, Default)]
pub(super) struct Servers {
    all: Vec<Server>,
    positions: FastMap<NameHash, usize>,
    /// Number of servers in the own data centre.
    local_count: usize,
    /// When the first servers became known. Servers that announce themselves while the system starts do not
    /// count as new.
    first_known_at: Option<Instant>,
    exclusions: Exclusions,
    /// Limits of servers that the control plane has removed, which it may add again.
    removed: FastMap<NameHash, RemovedServer>,
    /// How the servers warm up, if that limits the calls to them.
    warm_up_rule: Option<WarmUpRule>,
    /// Whether a health response has stated how long its server stays cold.
    is_warm_up_stated: bool,
    /// Cold servers to which this entry is to send a first call.
    joined: Vec<NameHash>,
}

/// What is remembered of a server that the control plane has removed.
#[derive(Debug)]
struct RemovedServer {
    removed_at: Instant,
    incarnation: Incarnation,
    limit: Option<ServerLimit>,
    warm_up: Option<WarmUp>,
}

impl Servers {
    /// Replaces the servers. The state of a server is kept unless its address or the time at which it became
    /// ready has changed.
    pub(super) fn replace(
        &mut self,
        now: Instant,
        views: Vec<ServerView>,
        (data_centre, position): (&str, FleetPosition),
        rng: &mut SmallRng,
    ) {
        let mut known: FastMap<NameHash, Server> =
            self.all.drain(..).map(|server| (server.name_hash, server)).collect();
        self.positions.clear();
        self.joined.clear();
        let first_known_at = *self.first_known_at.get_or_insert(now);
        let has_started = now >= first_known_at + STARTUP_PERIOD;
        for view in views {
            let id = name_hash(&view.id);
            if self.positions.contains_key(&id) {
                continue;
            }
            let is_remote = *view.data_centre != *data_centre;
            let old = known.remove(&id);
            let known_limits = match &old {
                Some(old) => Some(RemovedServer::of(now, old)),
                None => self.removed.remove(&id),
            };
            let known_limits = known_limits.filter(|known| known.incarnation == view.incarnation);
            let is_remembered = known_limits.as_ref().is_some_and(|known| known.is_recent(now));
            let has_joined = has_started && !is_remembered;
            let (limit, warm_up) = known_limits.map_or((None, None), |known| (known.limit, known.warm_up));
            let same = old.filter(|old| old.view.address == view.address && old.view.ready_since == view.ready_since);
            let mut server = match same {
                Some(mut old) => {
                    old.view = view;
                    old.is_remote = is_remote;
                    old
                }
                None => {
                    let mut server = Server::new(now, id, view, is_remote);
                    let range = if is_remote { REMOTE_INTRODUCTION_MS } else { INTRODUCTION_MS };
                    let wait = Duration::from_millis(rng.random_range(range));
                    let is_introducer = rng.random_bool((INTRODUCING_ENTRIES / position.entries as f64).min(1.0));
                    let is_new = has_started && is_introducer && now < server.view.ready_since + NEW_SERVER_AGE;
                    server.introduction_due = is_new.then(|| server.view.ready_since + wait);
                    server
                }
            };
            self.positions.insert(id, 0);
            server.exclusion = self.exclusions.of(&server.view);
            server.limit = limit;
            server.warm_up = warm_up;
            self.warm_up_server(now, &mut server, has_joined, position, rng);
            self.all.push(server);
        }
        if self.removed.len() + known.len() > MAX_REMOVED_LIMITS {
            self.removed.clear();
        }
        let removed = known.into_iter().filter(|(_, server)| server.limit.is_some() || server.warm_up.is_some());
        self.removed.extend(removed.map(|(id, server)| (id, RemovedServer::of(now, &server))));
        self.all.sort_unstable_by(|a, b| (a.is_remote, &a.view.id).cmp(&(b.is_remote, &b.view.id)));
        self.positions = self.all.iter().enumerate().map(|(position, server)| (server.name_hash, position)).collect();
        self.local_count = self.all.iter().filter(|server| !server.is_remote).count();
        self.restore_capacity(now);
    }

    /// Records a notice of a server. Returns whether the server is one of this service.
    pub(super) fn record_notice(
        &mut self,
        now: Instant,
        (server, address): (NameHash, SocketAddr),
        notice: ServerNotice,
        position: FleetPosition,
        rng: &mut SmallRng,
    ) -> bool {
        let Some(at) = self.positions.get(&server).copied() else { return false };
        let server = &mut self.all[at];
        if server.view.address != address {
            return false;
        }
        match notice {
            ServerNotice::Limit(None) => server.limit = None,
            ServerNotice::Limit(Some(rate)) => {
                let limit = server.limit.get_or_insert_with(|| ServerLimit::new(now, rate));
                limit.record(now, rate, server.name_hash, position, rng);
            }
            ServerNotice::Leaving | ServerNotice::Pause(_) => {
                self.exclusions.record(now, &server.view, notice);
                server.exclusion = self.exclusions.of(&server.view);
            }
        }
        self.restore_capacity(now);
        true
    }

    /// Determines this entry's parts of the limits of the servers.
    pub(super) fn divide_limits(&mut self, now: Instant, position: FleetPosition) {
        for server in &mut self.all {
            let limits = server.limit.iter_mut().chain(server.warm_up.as_mut().map(WarmUp::limit_mut));
            limits.for_each(|limit| limit.divide(now, server.name_hash, position));
        }
    }

    /// Sets how the servers warm up.
    pub(super) fn set_warm_up_rule(&mut self, now: Instant, rule: Option<WarmUpRule>, position: FleetPosition) {
        if self.warm_up_rule == rule {
            return;
        }
        self.warm_up_rule = rule;
        for server in &mut self.all {
            let (id, warm_at) = (server.name_hash, server.view.warm_at);
            match (rule, &mut server.warm_up) {
                (Some(rule), Some(warm_up)) => warm_up.set_rule(now, rule, id, position),
                (Some(rule), None) => {
                    server.warm_up.insert(WarmUp::new(now, rule)).announce(now, warm_at, id, position);
                }
                (None, warm_up) => *warm_up = None,
            }
        }
    }

    /// Determines whether a server whose record has changed is cold. One that has joined counts as cold until it states
    /// otherwise.
    fn warm_up_server(
        &mut self,
        now: Instant,
        server: &mut Server,
        has_joined: bool,
        position: FleetPosition,
        rng: &mut SmallRng,
    ) {
        let Some(rule) = self.warm_up_rule else { return server.warm_up = None };
        let (id, warm_at, is_remote) = (server.name_hash, server.view.warm_at, server.is_remote);
        let warm_up = server.warm_up.get_or_insert_with(|| WarmUp::new(now, rule));
        warm_up.set_rule(now, rule, id, position);
        warm_up.announce(now, warm_at, id, position);
        if !has_joined {
            return;
        }
        if !warm_up.is_cold(now) {
            warm_up.assume(now, id, position);
        }
        if warm_up.share() > 0.0 {
            warm_up.grant(rng.random_range(0.0..=1.0));
            let range = if is_remote { REMOTE_COLD_INTRODUCTION_MS } else { COLD_INTRODUCTION_MS };
            server.introduction_due = Some(now + Duration::from_millis(rng.random_range(range)));
            self.joined.push(id);
        } else {
            server.introduction_due = None;
        }
    }

    /// Records a health response with the time for which its server stays cold, or a failed probe.
    pub(super) fn record_health(
        &mut self,
        now: Instant,
        probe: &RunningProbe,
        response: Option<Option<Duration>>,
        position: FleetPosition,
    ) {
        self.is_warm_up_stated |= response.flatten().is_some();
        let is_stated = self.is_warm_up_stated;
        let Some(server) = self.get_unchanged(probe.server, probe.known_since) else { return };
        let (is_ejected, id) = (server.ejection.is_ejected(), server.name_hash);
        let Some(warm_up) = &mut server.warm_up else { return };
        match response {
            Some(left) => warm_up.record_health(now, left, is_stated, id, position),
            // The server may start at any time after this.
            None if is_ejected && warm_up.is_assumed_cold(now) => warm_up.assume(now, id, position),
            None => {}
        }
    }

    /// Records that a server refused a connection, so that it may start anew.
    pub(super) fn assume_cold(&mut self, now: Instant, server: NameHash, since: Instant, position: FleetPosition) {
        if let Some(server) = self.get_unchanged(server, since)
            && let Some(warm_up) = &mut server.warm_up
        {
            warm_up.assume(now, server.name_hash, position);
        }
    }

    /// Returns the cold servers to which this entry is to send a first call.
    pub(super) fn joined(&self) -> impl Iterator<Item = &Server> {
        self.joined.iter().filter_map(|server| self.get(*server)).filter(|server| server.introduction_due.is_some())
    }

    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.all.iter_mut()
    }

    /// Returns when the first server that asked for a pause, named a limit or is cold takes calls again, if none does
    /// now.
    pub(super) fn pause_end(&self, now: Instant) -> Option<Instant> {
        let is_served = self.all.iter().any(|server| server.is_available(now));
        if is_served { None } else { self.all.iter().filter_map(|server| server.pause_end(now)).min() }
    }

    pub(super) fn get(&self, server: NameHash) -> Option<&Server> {
        self.all.get(*self.positions.get(&server)?)
    }

    pub(super) fn get_mut(&mut self, server: NameHash) -> Option<&mut Server> {
        self.all.get_mut(*self.positions.get(&server)?)
    }

    /// Returns a server if its record is still the one created at this time.
    pub(super) fn get_unchanged(&mut self, server: NameHash, since: Instant) -> Option<&mut Server> {
        self.get_mut(server).filter(|server| server.known_since == since)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.all.iter()
    }

    /// Returns the servers of the own data centre and a random sample of the others.
    pub(super) fn sample(&self, rng: &mut SmallRng) -> impl Iterator<Item = &Server> {
        let remote = self.all.len() - self.local_count;
        let start = if remote > 0 { rng.random_range(0..remote) } else { 0 };
        let others = (0..remote.min(REMOTE_SAMPLE_SIZE)).map(move |step| self.local_count + (start + step) % remote);
        (0..self.local_count).chain(others).map(|position| &self.all[position])
    }

    /// Ejects a server, or extends its ejection, if the others have enough slots.
    pub(super) fn eject(&mut self, now: Instant, server: NameHash) {
        let Some(position) = self.positions.get(&server).copied() else { return };
        let before = self.all[position].ejection;
        self.all[position].ejection.eject(now);
        if !before.is_ejected() && !self.has_enough_capacity(now) {
            self.all[position].ejection = before;
        }
    }

    /// Ends the ejection of a server.
    pub(super) fn reinstate(&mut self, server: NameHash) {
        if let Some(server) = self.get_mut(server) {
            server.ejection.reinstate();
        }
    }

    /// Reinstates ejected servers, those whose ejection ends first, until enough slots are in use.
    pub(super) fn restore_capacity(&mut self, now: Instant) {
        while !self.has_enough_capacity(now) {
            let out = self.all.iter().filter(|server| server.is_available(now));
            let first = out.filter_map(|server| Some((server.ejection.until()?, server.name_hash))).min();
            let Some((_, first)) = first else { return };
            self.reinstate(first);
        }
    }

    /// Returns whether the servers that are not ejected have enough of the slots of all available servers.
    fn has_enough_capacity(&self, now: Instant) -> bool {
        let (mut all, mut usable) = (0, 0);
        for server in self.all.iter().filter(|server| server.is_available(now)) {
            all += server.slots();
            usable += if server.ejection.is_ejected() { 0 } else { server.slots() };
        }
        f64::from(usable) >= MIN_ACTIVE_SHARE * f64::from(all)
    }
}

impl RemovedServer {
    fn of(now: Instant, server: &Server) -> Self {
        Self {
            removed_at: now,
            incarnation: server.view.incarnation,
            limit: server.limit.clone(),
            warm_up: server.warm_up.clone(),
        }
    }

    /// Returns whether the server cannot have become cold for lack of calls since it was removed.
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.removed_at) < REMEMBERED_FOR
    }
}
