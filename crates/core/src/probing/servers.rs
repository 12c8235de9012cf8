//! The servers of one service, with those of the own data centre first.

use {
    super::{FleetPosition, Server, ServerLimit},
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
    /// Limits named by servers that the control plane has removed, which it may add again.
    removed_limits: FastMap<NameHash, (Incarnation, ServerLimit)>,
}

impl Servers {
    /// Replaces the servers. The state of a server is kept unless its address or the time at which it became
    /// ready has changed.
    pub(super) fn replace(
        &mut self,
        now: Instant,
        views: Vec<ServerView>,
        (data_centre, entries): (&str, usize),
        rng: &mut SmallRng,
    ) {
        let mut known: FastMap<NameHash, Server> =
            self.all.drain(..).map(|server| (server.name_hash, server)).collect();
        self.positions.clear();
        let first_known_at = *self.first_known_at.get_or_insert(now);
        let has_started = now >= first_known_at + STARTUP_PERIOD;
        for view in views {
            let id = name_hash(&view.id);
            if self.positions.contains_key(&id) {
                continue;
            }
            let is_remote = *view.data_centre != *data_centre;
            let old = known.remove(&id);
            let limit = match &old {
                Some(old) => old.limit.clone().filter(|_| old.view.incarnation == view.incarnation),
                None => self.removed_limits.remove(&id).filter(|(it, _)| *it == view.incarnation).map(|(_, it)| it),
            };
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
                    let is_introducer = rng.random_bool((INTRODUCING_ENTRIES / entries as f64).min(1.0));
                    let is_new = has_started && is_introducer && now < server.view.ready_since + NEW_SERVER_AGE;
                    server.introduction_due = is_new.then(|| server.view.ready_since + wait);
                    server
                }
            };
            self.positions.insert(id, 0);
            server.exclusion = self.exclusions.of(&server.view);
            server.limit = limit;
            self.all.push(server);
        }
        if self.removed_limits.len() + known.len() > MAX_REMOVED_LIMITS {
            self.removed_limits.clear();
        }
        let removed = known.into_iter().filter_map(|(id, server)| Some((id, (server.view.incarnation, server.limit?))));
        self.removed_limits.extend(removed);
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

    /// Determines this entry's parts of the limits that servers have named.
    pub(super) fn divide_limits(&mut self, now: Instant, position: FleetPosition) {
        for server in &mut self.all {
            if let Some(limit) = &mut server.limit {
                limit.divide(now, server.name_hash, position);
            }
        }
    }

    /// Returns when the first server that asked for a pause or named a limit takes calls again, if none does now.
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
