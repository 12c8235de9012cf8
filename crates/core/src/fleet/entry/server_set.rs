//! Servers that an entry uses.

use {
    crate::{
        collections::{FastMap, FastSet},
        dispatch::{ServerState, ServerView},
        fleet::UsableServer,
        ids::{ServerId, ServiceId},
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// A lease that does not end: the directory decides when a server leaves.
const UNLIMITED_LEASE: Duration = Duration::from_secs(10 * 365 * 86_400);
/// Departures that are remembered.
const MAX_DEPARTED: usize = 4_096;
/// Time for which a server is kept that the whole directory of another replica lacks. The replicas differ by a
/// lost message until the next announcement of the server, which may take 1.5 s and a batch of renewals.
const ABSENCE_GRACE: Duration = Duration::from_secs(2);
/// Difference of two ends of a warm-up below which a server counts as the same.
const WARM_UP_TOLERANCE: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct ActiveServer {
    server: UsableServer,
    warm_until: Instant,
}

/// Servers that an entry uses, and departures that it has heard of.
#[derive(Debug, Default)]
pub(super) struct ServerSet {
    servers: FastMap<ServerId, ActiveServer>,
    /// Last departed incarnation of each server. A replica that lags behind another one by some messages must
    /// not bring a server back.
    departed: FastMap<ServerId, u64>,
    departed_order: VecDeque<ServerId>,
    /// Servers that a complete directory lacked, with the time at which they are removed.
    absent: FastMap<ServerId, Instant>,
    /// Servers that a complete directory names with the id or the address of a later one that is held. The later one
    /// may be news that the replica missed, so it is absent first; these follow once it is removed.
    superseded: FastMap<ServerId, ActiveServer>,
    /// Services whose servers have changed since they were last told.
    changed: FastSet<ServiceId>,
}

impl ServerSet {
    /// Takes a committed departure.
    pub(super) fn mark_departed(&mut self, now: Instant, server: ServerId, incarnation: u64) {
        match self.departed.get_mut(&server) {
            Some(held) => *held = incarnation.max(*held),
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

    /// Takes a usable server. A later server with its id or its address stays; a complete directory makes the later
    /// one absent.
    pub(super) fn add(&mut self, now: Instant, server: UsableServer, is_complete: bool) {
        let warm_until = now + Duration::from_millis(u64::from(server.warm_up_ms));
        self.insert(now, ActiveServer { server, warm_until }, is_complete);
        self.retry_superseded(now);
    }

    /// Takes the servers that no later one supersedes any more.
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
        let held = self.servers.get(&server.server).filter(|held| held.server.incarnation > server.incarnation);
        let conflicting = self
            .servers
            .values()
            .find(|held| held.server.address == server.address && held.server.server != server.server);
        let later_conflicting = conflicting.filter(|conflicting| conflicting.order() > active.order());
        let later: Vec<_> = held.into_iter().chain(later_conflicting).map(|held| held.server.server.clone()).collect();
        if !later.is_empty() {
            if is_complete {
                for later in later {
                    self.absent.entry(later).or_insert(now + ABSENCE_GRACE);
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
            Some(held) if held.is_same(&active, now) => {}
            Some(held) => {
                self.changed.insert(held.server.service.clone());
                self.changed.insert(active.server.service.clone());
                *held = active;
            }
            None => {
                self.changed.insert(active.server.service.clone());
                self.servers.insert(active.server.server.clone(), active);
            }
        }
    }

    /// Takes a removal that a complete directory tells of. A server that this directory lacks stays until its time as
    /// an absent one is over: what was removed is an earlier one of its id.
    pub(super) fn apply_removal(&mut self, now: Instant, server: &ServerId) {
        self.superseded.remove(server);
        if !self.absent.contains_key(server) {
            self.remove(now, server);
        }
    }

    /// Removes a server; those that it superseded follow.
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

    /// Notes which servers a complete directory lacks; they are removed unless they are told of again.
    pub(super) fn mark_absent(&mut self, now: Instant, servers: &[UsableServer]) {
        self.superseded.clear();
        let named: FastSet<&ServerId> = servers.iter().map(|server| &server.server).collect();
        let missing: Vec<_> = self.servers.keys().filter(|server| !named.contains(server)).cloned().collect();
        for server in missing {
            self.absent.entry(server).or_insert(now + ABSENCE_GRACE);
        }
    }

    /// Removes the servers that were absent for long enough.
    pub(super) fn remove_absent(&mut self, now: Instant) {
        let due: Vec<_> = self.absent.iter().filter(|(_, at)| now >= **at).map(|(server, _)| server.clone()).collect();
        for server in due {
            self.remove(now, &server);
        }
    }

    /// When the next server is removed.
    pub(super) fn next_removal(&self) -> Option<Instant> {
        self.absent.values().min().copied()
    }

    /// Services whose servers have changed, with their servers.
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
    /// Of two servers at one address the one with the higher order is kept, as in the directory.
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
            address: self.server.address,
            data_centre: self.server.data_centre.clone(),
            slots: self.server.slots,
            // Not announced; the settings of the fleet bound the connections.
            connections: u32::MAX,
            state: ServerState::Ready,
            lease_end: now + UNLIMITED_LEASE,
            // Slow start ends together with the warm-up.
            ready_since: self.warm_until.checked_sub(slow_start).unwrap_or(now),
        }
    }
}
