//! Servers used by an entry.

use {
    crate::{
        collections::{FastMap, FastSet},
        dispatch::{ServerState, ServerView},
        fleet::{UsableServer, bounds::MAX_LEAVING},
        ids::{ServerId, ServiceId},
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Practically unlimited lease, as the directory decides when a server is removed.
const UNLIMITED_LEASE: Duration = Duration::from_secs(10 * 365 * 86_400);
/// Maximum number of departures to remember.
const MAX_DEPARTED: usize = 4_096;
/// Time for which a server is kept although the full directory of another replica lacks it. A lost message can make
/// replicas differ until the server's next announcement, which may take 1.5 s plus one batch of renewals.
const ABSENCE_GRACE: Duration = Duration::from_secs(2);
/// Maximum difference between two warm-up end times that count as equal.
const WARM_UP_TOLERANCE: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct ActiveServer {
    server: UsableServer,
    warm_until: Instant,
}

/// Servers used by an entry, and departures that it knows of.
#[derive(Debug, Default)]
pub(super) struct ServerSet {
    servers: FastMap<ServerId, ActiveServer>,
    /// Last departed incarnation of each server. A replica that is a few messages behind must not add it again.
    departed: FastMap<ServerId, u64>,
    departed_order: VecDeque<ServerId>,
    /// Servers missing from a complete directory, with the time at which they are removed.
    absent: FastMap<ServerId, Instant>,
    /// Servers in a complete directory whose id or address is used by a newer server in this set. The replica may not
    /// have learned of the newer one yet, so that one is first marked as absent; these are added once it is removed.
    superseded: FastMap<ServerId, ActiveServer>,
    /// Servers that told this entry that they are leaving, until the replicas remove them.
    leaving: Vec<(ServerId, u64)>,
    /// Services whose servers have changed since the last call of `take_changed`.
    changed: FastSet<ServiceId>,
}

impl ServerSet {
    /// Applies a committed departure.
    pub(super) fn mark_departed(&mut self, now: Instant, server: ServerId, incarnation: u64) {
        match self.departed.get_mut(&server) {
            Some(existing) => *existing = incarnation.max(*existing),
            None => {
                self.departed_order.push_back(server.clone());
                self.departed.insert(server.clone(), incarnation);
            }
        }
        if self.departed.len() > MAX_DEPARTED
            && let Some(oldest) = self.departed_order.pop_front()
        {
            self.departed.remove(&oldest);
        }
        if self.servers.get(&server).is_some_and(|active| active.server.incarnation <= incarnation) {
            self.remove(now, &server);
        }
    }

    /// Records that a server told this entry that it is leaving, so that the replicas and the other entries learn of it
    /// even if its own announcement is delayed.
    pub(super) fn report_leaving(&mut self, server: ServerId) {
        let Some(active) = self.servers.get(&server) else { return };
        let leaving = (server, active.server.incarnation);
        if self.leaving.len() < MAX_LEAVING && !self.leaving.contains(&leaving) {
            self.leaving.push(leaving);
        }
    }

    /// Returns the servers that told this entry that they are leaving and that the replicas have not removed yet.
    pub(super) fn leaving(&mut self) -> Vec<(ServerId, u64)> {
        let servers = &self.servers;
        self.leaving.retain(|(server, incarnation)| {
            servers.get(server).is_some_and(|active| active.server.incarnation == *incarnation)
        });
        self.leaving.clone()
    }

    /// Adds a usable server. A newer server with the same id or address stays, but is marked as absent if the directory
    /// is complete.
    pub(super) fn add(&mut self, now: Instant, server: UsableServer, is_complete: bool) {
        let warm_until = now + Duration::from_millis(u64::from(server.warm_up_ms));
        self.insert(now, ActiveServer { server, warm_until }, is_complete);
        self.retry_superseded(now);
    }

    /// Adds the superseded servers whose id and address have become free.
    fn retry_superseded(&mut self, now: Instant) {
        for active in std::mem::take(&mut self.superseded).into_values() {
            self.insert(now, active, true);
        }
    }

    fn insert(&mut self, now: Instant, active: ActiveServer, is_complete: bool) {
        let server = &active.server;
        if self.departed.get(&server.server).is_some_and(|incarnation| server.incarnation <= *incarnation) {
            return;
        }
        let newer_incarnation =
            self.servers.get(&server.server).filter(|existing| existing.server.incarnation > server.incarnation);
        let conflicting = self
            .servers
            .values()
            .find(|existing| existing.server.address == server.address && existing.server.server != server.server);
        let newer_conflicting = conflicting.filter(|conflicting| conflicting.order() > active.order());
        let newer: Vec<_> = newer_incarnation
            .into_iter()
            .chain(newer_conflicting)
            .map(|existing| existing.server.server.clone())
            .collect();
        if !newer.is_empty() {
            if is_complete {
                for newer in newer {
                    self.absent.entry(newer).or_insert(now + ABSENCE_GRACE);
                }
                self.superseded.insert(active.server.server.clone(), active);
            }
            return;
        }
        if let Some(conflicting) = conflicting.map(|conflicting| conflicting.server.server.clone()) {
            self.drop_server(&conflicting);
        }
        self.absent.remove(&active.server.server);
        self.superseded.remove(&active.server.server);
        match self.servers.get_mut(&active.server.server) {
            Some(existing) if existing.is_same(&active, now) => {}
            Some(existing) => {
                self.changed.insert(existing.server.service.clone());
                self.changed.insert(active.server.service.clone());
                *existing = active;
            }
            None => {
                self.changed.insert(active.server.service.clone());
                self.servers.insert(active.server.server.clone(), active);
            }
        }
    }

    /// Applies a removal from a complete directory. A server that is marked as absent stays until its grace period is
    /// over, because the removal concerns an older server with the same id.
    pub(super) fn apply_removal(&mut self, now: Instant, server: &ServerId) {
        self.superseded.remove(server);
        if !self.absent.contains_key(server) {
            self.remove(now, server);
        }
    }

    /// Removes a server and adds those that it superseded.
    fn remove(&mut self, now: Instant, server: &ServerId) {
        self.drop_server(server);
        self.retry_superseded(now);
    }

    fn drop_server(&mut self, server: &ServerId) {
        self.absent.remove(server);
        if let Some(active) = self.servers.remove(server) {
            self.changed.insert(active.server.service);
        }
    }

    /// Marks servers that a complete directory lacks as absent. They are removed later unless they are added again.
    pub(super) fn mark_absent(&mut self, now: Instant, servers: &[UsableServer]) {
        self.superseded.clear();
        let named: FastSet<&ServerId> = servers.iter().map(|server| &server.server).collect();
        let missing: Vec<_> = self.servers.keys().filter(|server| !named.contains(server)).cloned().collect();
        for server in missing {
            self.absent.entry(server).or_insert(now + ABSENCE_GRACE);
        }
    }

    /// Removes the servers whose grace period is over.
    pub(super) fn remove_absent(&mut self, now: Instant) {
        let due: Vec<_> = self.absent.iter().filter(|(_, at)| now >= **at).map(|(server, _)| server.clone()).collect();
        for server in due {
            self.remove(now, &server);
        }
    }

    /// Returns the time at which the next server is removed.
    pub(super) fn next_removal(&self) -> Option<Instant> {
        self.absent.values().min().copied()
    }

    /// Returns the services whose servers have changed, with their servers.
    pub(super) fn take_changed(&mut self, now: Instant, slow_start: Duration) -> Vec<(ServiceId, Vec<ServerView>)> {
        let mut services: Vec<_> = std::mem::take(&mut self.changed).into_iter().collect();
        services.sort_unstable();
        let views = |service: &ServiceId| {
            let active = self.servers.values().filter(|active| active.server.service == *service);
            let mut views: Vec<_> = active.map(|active| active.view(now, slow_start)).collect();
            views.sort_unstable_by(|a, b| a.id.cmp(&b.id));
            views
        };
        services.into_iter().map(|service| (service.clone(), views(&service))).collect()
    }
}

impl ActiveServer {
    /// Returns the key by which the newer of two servers with the same address is kept, as in the directory.
    fn order(&self) -> (u64, &ServerId) {
        (self.server.incarnation, &self.server.server)
    }

    fn is_same(&self, other: &Self, now: Instant) -> bool {
        let (a, b) = (&self.server, &other.server);
        let (warm_a, warm_b) = (self.warm_until.max(now), other.warm_until.max(now));
        a.service == b.service
            && a.address == b.address
            && a.data_centre == b.data_centre
            && a.slots == b.slots
            && a.incarnation == b.incarnation
            && warm_a.max(warm_b) - warm_a.min(warm_b) <= WARM_UP_TOLERANCE
    }

    fn view(&self, now: Instant, slow_start: Duration) -> ServerView {
        ServerView {
            id: self.server.server.clone(),
            incarnation: self.server.incarnation,
            address: self.server.address,
            data_centre: self.server.data_centre.clone(),
            slots: self.server.slots,
            // Not announced; the configuration limits the connections.
            connections: u32::MAX,
            state: ServerState::Ready,
            lease_end: now + UNLIMITED_LEASE,
            // Slow start ends together with the warm-up.
            warm_at: self.warm_until,
            ready_since: self.warm_until.checked_sub(slow_start).unwrap_or(now),
        }
    }
}
