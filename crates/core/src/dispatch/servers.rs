//! The servers of one service, indexed for choosing one.

use {
    super::{Exclusions, ServerNotice, ServerState, ServerView},
    crate::{
        collections::FastMap,
        health::{Eligibility, HealthMonitor},
        slots::{NameHash, name_hash},
    },
    rand::{RngExt, rngs::SmallRng},
    std::{collections::BTreeSet, net::SocketAddr, time::Instant},
};

/// Servers considered for one choice, so that its cost does not depend on the number of servers.
const MAX_CANDIDATES: usize = 4;

/// The servers of one service, indexed for choosing one.
#[derive(Debug, Default)]
pub(super) struct Servers {
    views: FastMap<NameHash, ServerView>,
    ready: Vec<NameHash>,
    next: usize,
    /// Ready servers by calls in flight; a random number breaks ties.
    by_load: BTreeSet<(u32, u32, NameHash)>,
    loads: FastMap<NameHash, (u32, u32)>,
    /// Servers that are ejected, without those that are due for a trial.
    pub(super) ejected: BTreeSet<NameHash>,
    exclusions: Exclusions,
}

impl Servers {
    /// Replaces the servers. Of two servers with the same name hash only the first by name is used, because
    /// messages could not tell them apart.
    pub(super) fn replace(&mut self, mut views: Vec<ServerView>, rng: &mut SmallRng) {
        views.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        self.views.clear();
        for view in views {
            self.views.entry(name_hash(&view.id)).or_insert(view);
        }
        self.update_ready();
        self.by_load.clear();
        let views = &self.views;
        self.loads.retain(|hash, load| load.0 > 0 || views.contains_key(hash));
        for hash in &self.ready {
            let load = self.loads.entry(*hash).or_insert_with(|| (0, rng.random()));
            self.by_load.insert((load.0, load.1, *hash));
        }
        self.ejected.retain(|hash| views.contains_key(hash));
    }

    /// Records a notice of a server. Returns whether the server is one of this service.
    pub(super) fn record_notice(
        &mut self,
        now: Instant,
        server: NameHash,
        address: SocketAddr,
        notice: ServerNotice,
    ) -> bool {
        let Some(view) = self.views.get(&server).filter(|view| view.address == address) else { return false };
        self.exclusions.record(now, view, notice);
        self.update_ready();
        true
    }

    /// Updates the list of ready servers. A server that said that it is leaving is not ready, even if the registry
    /// does not know it yet.
    fn update_ready(&mut self) {
        let is_ready = |view: &ServerView| view.state == ServerState::Ready && !self.exclusions.of(view).is_leaving;
        self.ready = self.views.iter().filter(|(_, view)| is_ready(view)).map(|(hash, _)| *hash).collect();
        self.ready.sort_unstable();
    }

    pub(super) fn view(&self, server: NameHash) -> Option<&ServerView> {
        self.views.get(&server)
    }

    pub(super) fn views(&self) -> impl Iterator<Item = &ServerView> {
        self.views.values()
    }

    /// Ready servers.
    pub(super) fn ready(&self) -> &[NameHash] {
        &self.ready
    }

    /// Returns the servers whose slots are shared: ready, with a valid lease and not ejected.
    pub(super) fn open(&self, now: Instant) -> FastMap<NameHash, u32> {
        let open = self.ready.iter().filter(|hash| !self.ejected.contains(hash) && self.is_usable(now, **hash));
        open.filter_map(|hash| Some((*hash, self.views.get(hash)?.slots))).collect()
    }

    /// Returns whether a server may get a new call; its lease is checked at the time of use.
    pub(super) fn is_usable(&self, now: Instant, server: NameHash) -> bool {
        self.views.get(&server).is_some_and(|view| {
            view.state == ServerState::Ready && now < view.lease_end && !self.exclusions.of(view).applies(now)
        })
    }

    /// Returns when the first server that asked for a pause takes calls again, if no other server is usable.
    pub(super) fn pause_end(&self, now: Instant) -> Option<Instant> {
        if self.ready.iter().any(|server| self.is_usable(now, *server)) {
            return None;
        }
        let paused = self.ready.iter().filter_map(|server| self.views.get(server)).filter(|view| now < view.lease_end);
        paused.filter_map(|view| self.exclusions.of(view).paused_until.filter(|until| now < *until)).min()
    }

    /// Counts a call that starts or ends at a server.
    pub(super) fn update_load(&mut self, server: NameHash, has_started: bool, rng: &mut SmallRng) {
        let load = self.loads.entry(server).or_default();
        let was_ready = self.by_load.remove(&(load.0, load.1, server));
        load.0 = if has_started { load.0 + 1 } else { load.0.saturating_sub(1) };
        load.1 = rng.random();
        if was_ready {
            self.by_load.insert((load.0, load.1, server));
        }
    }

    /// Returns the calls of this entry that are in flight at a server.
    pub(super) fn in_flight(&self, server: NameHash) -> u32 {
        self.loads.get(&server).map_or(0, |load| load.0)
    }

    /// Picks the best of a few servers for which this entry has a free permit.
    pub(super) fn pick_permitted(
        &self,
        now: Instant,
        free: &[NameHash],
        tried: &[NameHash],
        health: &mut HealthMonitor,
        rng: &mut SmallRng,
    ) -> Option<NameHash> {
        let mut best: Option<(f64, NameHash)> = None;
        let start = if free.len() > MAX_CANDIDATES { rng.random_range(0..free.len()) } else { 0 };
        for step in 0..free.len().min(MAX_CANDIDATES) {
            // Consecutive servers from a random start are as good as independent choices, because the list
            // has no particular order.
            let server = free[(start + step) % free.len()];
            let Some(view) = self.views.get(&server).filter(|view| now < view.lease_end) else { continue };
            if tried.contains(&server) || view.state != ServerState::Ready || self.exclusions.of(view).applies(now) {
                continue;
            }
            match health.eligibility(now, &view.id) {
                Eligibility::Ejected => continue,
                Eligibility::WarmingUp { share } if !rng.random_bool(share.clamp(0.0, 1.0)) => continue,
                Eligibility::WarmingUp { .. } | Eligibility::Trial | Eligibility::Usable => {}
            }
            let score = health.score(now, &view.id);
            if best.is_none_or(|(best_score, _)| score < best_score) {
                best = Some((score, server));
            }
        }
        best.map(|(_, server)| server)
    }

    pub(super) fn pick_random(&self, now: Instant, tried: &[NameHash], rng: &mut SmallRng) -> Option<NameHash> {
        let start = rng.random_range(0..self.ready.len().max(1));
        self.first_usable(now, start, tried)
    }

    pub(super) fn pick_round_robin(&mut self, now: Instant, tried: &[NameHash]) -> Option<NameHash> {
        self.next = (self.next + 1) % self.ready.len().max(1);
        self.first_usable(now, self.next, tried)
    }

    pub(super) fn pick_least_loaded(&self, now: Instant, tried: &[NameHash]) -> Option<NameHash> {
        let mut by_load = self.by_load.iter().map(|(_, _, hash)| *hash);
        by_load.find(|hash| !tried.contains(hash) && self.is_usable(now, *hash))
    }

    fn first_usable(&self, now: Instant, start: usize, tried: &[NameHash]) -> Option<NameHash> {
        let mut all = self.ready.iter().cycle().skip(start).take(self.ready.len()).copied();
        all.find(|hash| !tried.contains(hash) && self.is_usable(now, *hash))
    }
}
