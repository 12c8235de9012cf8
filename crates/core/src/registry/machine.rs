//! Registry state machine.

use {
    super::{
        Announcement, AnnouncementError, Digest, Record, RegistryAction, RegistryEvent, TOMBSTONE, digest::bucket,
        pack::pack, registered_server::RegisteredServer,
    },
    crate::{
        collections::{FastMap, FastSet},
        dispatch::ServerView,
        ids::{InstanceId, ServerId, ServiceId},
    },
    std::time::{Duration, Instant},
};

/// Maximum number of servers in the registry; twice the design target of 1,900.
const MAX_SERVERS: usize = 4_096;

/// Time for which renewals are batched before they are relayed.
const RELAY_INTERVAL: Duration = Duration::from_millis(50);

/// Number of times that a departure is relayed. If it was sent only once and the datagram was lost, other entries
/// would learn of it only when digests are compared.
const DEPARTURE_REPEATS: u8 = 3;

/// Interval between requests for servers whose leases are about to expire.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Remaining lease below which another entry is asked for the server. A server announces itself every 800 ms, so less
/// than 1.3 s of the 2.5 s remain only if an announcement was missed.
const ASK_BELOW_REMAINING_LEASE: Duration = Duration::from_millis(1_300);

/// Maximum number of servers in one request.
const MAX_SERVERS_PER_REQUEST: usize = 16;

/// Maximum number of records sent for one repair; the next heartbeat triggers another repair.
const MAX_RECORDS_PER_REPAIR: usize = 64;

/// Time without any event after which the process is assumed to have been frozen. Ticks arrive every 50 ms.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(500);

/// Time after a freeze during which announcements may still come from socket buffers.
const RESUME_GRACE: Duration = Duration::from_millis(500);

/// Options of [`Registry`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryOptions {
    /// The other entries.
    pub peers: Vec<InstanceId>,
}

/// The servers that announced themselves to this or another entry.
#[derive(Clone, Debug)]
pub struct Registry {
    options: RegistryOptions,
    base: Instant,
    servers: FastMap<ServerId, RegisteredServer>,
    /// Servers to relay, with the number of times that each has yet to be relayed.
    pending: FastMap<ServerId, u8>,
    changed: FastSet<ServiceId>,
    last_event: Instant,
    resumed_at: Option<Instant>,
    last_relay: Instant,
    last_ask: Instant,
    next_peer: usize,
    next_repaired: usize,
}

impl Registry {
    /// Creates an empty registry.
    ///
    /// ```
    /// use {
    ///     hemlockford_core::{
    ///         dispatch::ServerState,
    ///         registry::{ANNOUNCE_INTERVAL, Announcement, Registry, RegistryEvent, RegistryOptions, SERVER_LEASE},
    ///     },
    ///     std::time::Instant,
    /// };
    /// let now = Instant::now();
    /// let mut registry = Registry::new(RegistryOptions::default(), now);
    /// let announcement = Announcement {
    ///     server: "s1".into(), service: "stock".into(), address: "127.0.0.1:80".parse().unwrap(),
    ///     data_centre: "dc1".into(), slots: 2, connections: 250, state: ServerState::Ready,
    ///     sequence: 1, incarnation: 1, uptime_ms: 0, in_flight: 0,
    /// };
    /// registry.handle(now, RegistryEvent::Announce(announcement.clone()), &mut Vec::new());
    /// // The delay of the first announcement is unknown.
    /// assert!(registry.views(now, "stock").is_empty());
    /// let again = Announcement { sequence: 2, uptime_ms: 800, ..announcement };
    /// registry.handle(now + ANNOUNCE_INTERVAL / 2, RegistryEvent::Tick, &mut Vec::new());
    /// let now = now + ANNOUNCE_INTERVAL;
    /// registry.handle(now, RegistryEvent::Announce(again), &mut Vec::new());
    /// assert_eq!(registry.views(now, "stock").len(), 1);
    /// assert!(registry.views(now + SERVER_LEASE, "stock").is_empty());
    /// ```
    pub fn new(options: RegistryOptions, now: Instant) -> Self {
        Self {
            options,
            base: now,
            servers: FastMap::default(),
            pending: FastMap::default(),
            changed: FastSet::default(),
            last_event: now,
            resumed_at: None,
            last_relay: now,
            last_ask: now,
            next_peer: 0,
            next_repaired: 0,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, event: RegistryEvent, actions: &mut Vec<RegistryAction>) {
        if now.saturating_duration_since(self.last_event) > FREEZE_THRESHOLD {
            self.resumed_at = Some(now);
        }
        self.last_event = self.last_event.max(now);
        match event {
            RegistryEvent::Announce(announcement) => self.announce(now, announcement, actions),
            RegistryEvent::Relay { age, records } => {
                let corrections = records.iter().filter_map(|record| self.correction(now, age, record)).collect();
                for record in records {
                    self.apply_record(now, age, record, actions);
                }
                send(None, corrections, actions);
            }
            RegistryEvent::Digest { from, digest } => self.repair(now, from, &digest, actions),
            RegistryEvent::Ask { from, servers } => {
                let registered =
                    servers.iter().take(MAX_SERVERS_PER_REQUEST).filter_map(|server| self.servers.get(server));
                let records = registered
                    .filter(|registered| registered.is_in_digest(self.ms(now)))
                    .map(|registered| self.full_record(now, registered));
                send(Some(from), records.collect(), actions);
            }
            RegistryEvent::Tick => self.tick(now, actions),
        }
    }

    /// Returns the servers of a service that are starting or ready and whose leases are valid at `now`, sorted by
    /// name.
    pub fn views(&self, now: Instant, service: &str) -> Vec<ServerView> {
        let now_ms = self.ms(now);
        let usable = self.servers.values().filter(|registered| registered.is_usable(now_ms));
        let mut views: Vec<_> = usable
            .filter(|registered| *registered.announcement.service == *service)
            .map(|registered| registered.view(self.base))
            .collect();
        views.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        views
    }

    /// Returns the digest to report to the other entries.
    pub fn digest(&self, now: Instant) -> Digest {
        let now_ms = self.ms(now);
        let mut digest = Digest::default();
        for registered in self.servers.values().filter(|registered| registered.is_in_digest(now_ms)) {
            digest.add(&registered.announcement);
        }
        digest
    }

    /// Returns the number of servers, including tombstones.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether there are no servers and no tombstones.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn announce(&mut self, now: Instant, announcement: Announcement, actions: &mut Vec<RegistryAction>) {
        let server = announcement.server.clone();
        // Announcements that were queued while this process was frozen are late by an unknown time. They are only
        // accepted for servers whose clock is known; the others will announce themselves again.
        let is_resuming =
            self.resumed_at.is_some_and(|resumed_at| now.saturating_duration_since(resumed_at) < RESUME_GRACE);
        let known = self.servers.get(&server).filter(|registered| !registered.is_delay_unknown());
        let is_known = known.is_some_and(|registered| registered.announcement.incarnation >= announcement.incarnation);
        if is_resuming && !is_known && !announcement.is_final() {
            return;
        }
        // The delay of the first announcement of a server is unknown. It may have been queued in a socket buffer while
        // this process was frozen, or in the network while the server left.
        match self.apply_announcement(now, 0, announcement, true, actions) {
            Ok(true) => {
                let repeats = if self.servers[&server].announcement.is_final() { DEPARTURE_REPEATS } else { 1 };
                let is_final = repeats > 1;
                self.pending.insert(server, repeats);
                if is_final {
                    self.relay(now, actions);
                }
            }
            Ok(false) => {}
            Err(error) => actions.push(RegistryAction::Refused { server, error }),
        }
    }

    /// Returns the full record of a server if another entry relayed an announcement whose delay it does not know and
    /// which is known here to have been late.
    fn correction(&self, now: Instant, age: Duration, record: &Record) -> Option<Record> {
        let Record::Full { announcement, is_delay_unknown: true, age_ms } = record else { return None };
        let age_ms = i64::from(*age_ms) + age.as_millis() as i64;
        let registered = self.servers.get(&announcement.server)?;
        let is_same = registered.announcement.incarnation == announcement.incarnation;
        (is_same && registered.is_late(self.ms(now), age_ms, announcement.uptime_ms))
            .then(|| self.full_record(now, registered))
    }

    fn apply_record(&mut self, now: Instant, age: Duration, record: Record, actions: &mut Vec<RegistryAction>) {
        let age_ms = i64::from(record.age_ms()) + age.as_millis() as i64;
        let (announcement, is_delay_unknown) = match record {
            Record::Full { announcement, is_delay_unknown, .. } => (announcement, is_delay_unknown),
            Record::Renewal { server, incarnation, sequence, uptime_ms, .. } => {
                // The comparison of digests repairs renewals of unknown servers.
                let registered =
                    self.servers.get(&server).filter(|registered| registered.announcement.incarnation == incarnation);
                let Some(registered) = registered else { return };
                (Announcement { sequence, uptime_ms, ..registered.announcement.clone() }, true)
            }
        };
        let server = announcement.server.clone();
        if let Err(error) = self.apply_announcement(now, age_ms, announcement, is_delay_unknown, actions) {
            actions.push(RegistryAction::Refused { server, error });
        }
    }

    /// Applies an announcement of the given age; returns whether it was newer than the known one.
    fn apply_announcement(
        &mut self,
        now: Instant,
        age_ms: i64,
        announcement: Announcement,
        is_delay_unknown: bool,
        actions: &mut Vec<RegistryAction>,
    ) -> Result<bool, AnnouncementError> {
        announcement.check()?;
        let now_ms = self.ms(now);
        let service = announcement.service.clone();
        let is_full = self.servers.len() >= MAX_SERVERS;
        let is_changed = match self.servers.get_mut(&announcement.server) {
            Some(registered) if announcement.incarnation < registered.announcement.incarnation => return Ok(false),
            Some(registered) if announcement.incarnation == registered.announcement.incarnation => {
                if !is_delay_unknown {
                    registered.confirm_delay();
                }
                if announcement.sequence <= registered.announcement.sequence {
                    registered.calibrate(now_ms, age_ms, announcement.uptime_ms);
                    self.changed.insert(service);
                    return Ok(false);
                }
                let previous_service = registered.announcement.service.clone();
                let is_changed = registered.renew(now_ms, age_ms, announcement) || !registered.is_visible;
                if previous_service != service {
                    self.changed.insert(previous_service);
                }
                is_changed
            }
            _ if age_ms >= TOMBSTONE.as_millis() as i64 => return Ok(false),
            Some(registered) => {
                self.changed.insert(registered.announcement.service.clone());
                *registered = RegisteredServer::new(now_ms, age_ms, announcement, is_delay_unknown);
                true
            }
            None if is_full => return Err(AnnouncementError::TooMany),
            None => {
                let registered = RegisteredServer::new(now_ms, age_ms, announcement, is_delay_unknown);
                self.servers.insert(registered.announcement.server.clone(), registered);
                true
            }
        };
        self.changed.insert(service);
        if is_changed {
            self.report_changes(now, actions);
        }
        Ok(true)
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<RegistryAction>) {
        let now_ms = self.ms(now);
        for registered in
            self.servers.values().filter(|registered| registered.is_visible && !registered.is_usable(now_ms))
        {
            self.changed.insert(registered.announcement.service.clone());
        }
        self.servers.retain(|_, registered| !registered.is_expired(now_ms));
        if now.saturating_duration_since(self.last_relay) >= RELAY_INTERVAL {
            self.relay(now, actions);
        }
        if now.saturating_duration_since(self.last_ask) >= ASK_INTERVAL {
            self.ask(now, actions);
        }
        self.report_changes(now, actions);
    }

    /// Reports the services whose servers or leases have changed.
    fn report_changes(&mut self, now: Instant, actions: &mut Vec<RegistryAction>) {
        if self.changed.is_empty() {
            return;
        }
        let now_ms = self.ms(now);
        for registered in self.servers.values_mut() {
            if self.changed.contains(&registered.announcement.service) {
                registered.is_visible = registered.is_usable(now_ms);
            }
        }
        let mut changed: Vec<ServiceId> = self.changed.drain().collect();
        changed.sort_unstable();
        actions.extend(changed.into_iter().map(RegistryAction::Changed));
    }

    /// Relays the pending announcements to the other entries.
    fn relay(&mut self, now: Instant, actions: &mut Vec<RegistryAction>) {
        self.last_relay = now;
        let mut pending: Vec<(ServerId, u8)> = self.pending.drain().collect();
        pending.sort_unstable();
        let mut records = Vec::new();
        for (server, repeats) in pending {
            let age_ms = self.servers.get(&server).map_or(0, |registered| clamp(registered.age_ms(self.ms(now))));
            let Some(registered) = self.servers.get_mut(&server) else { continue };
            let is_delay_unknown = registered.is_delay_unknown();
            let previous = &registered.announcement;
            records.push(if registered.is_relayed && !previous.is_final() {
                let (incarnation, sequence, uptime_ms) = (previous.incarnation, previous.sequence, previous.uptime_ms);
                Record::Renewal { server: server.clone(), incarnation, sequence, uptime_ms, age_ms }
            } else {
                Record::Full { announcement: previous.clone(), age_ms, is_delay_unknown }
            });
            registered.is_relayed = true;
            if repeats > 1 {
                self.pending.insert(server, repeats - 1);
            }
        }
        if !self.options.peers.is_empty() {
            send(None, records, actions);
        }
    }

    /// Asks one other entry for the servers whose leases are about to expire.
    fn ask(&mut self, now: Instant, actions: &mut Vec<RegistryAction>) {
        self.last_ask = now;
        let now_ms = self.ms(now);
        let below = ASK_BELOW_REMAINING_LEASE.as_millis() as i64;
        let is_asked =
            |registered: &&RegisteredServer| registered.is_usable(now_ms) && registered.lease_end_ms() - now_ms < below;
        let mut servers: Vec<ServerId> =
            self.servers.values().filter(is_asked).map(|registered| registered.announcement.server.clone()).collect();
        if servers.is_empty() || self.options.peers.is_empty() {
            return;
        }
        servers.sort_unstable();
        servers.truncate(MAX_SERVERS_PER_REQUEST);
        self.next_peer = (self.next_peer + 1) % self.options.peers.len();
        actions.push(RegistryAction::Ask { to: self.options.peers[self.next_peer].clone(), servers });
    }

    /// Sends another entry the servers of the buckets that differ from its digest.
    fn repair(&mut self, now: Instant, to: InstanceId, digest: &Digest, actions: &mut Vec<RegistryAction>) {
        let differing = self.digest(now).differing(digest);
        if !differing.contains(&true) {
            return;
        }
        let now_ms = self.ms(now);
        let is_sent = |registered: &&RegisteredServer| {
            registered.is_in_digest(now_ms) && differing[bucket(&registered.announcement.server)]
        };
        let mut registered: Vec<&RegisteredServer> = self.servers.values().filter(is_sent).collect();
        registered.sort_unstable_by(|a, b| a.announcement.server.cmp(&b.announcement.server));
        let start = if registered.len() > MAX_RECORDS_PER_REPAIR { self.next_repaired % registered.len() } else { 0 };
        let records = registered.iter().cycle().skip(start).take(registered.len().min(MAX_RECORDS_PER_REPAIR));
        send(Some(to), records.map(|registered| self.full_record(now, registered)).collect(), actions);
        self.next_repaired = start + MAX_RECORDS_PER_REPAIR;
    }

    fn full_record(&self, now: Instant, registered: &RegisteredServer) -> Record {
        let age_ms = clamp(registered.age_ms(self.ms(now)));
        Record::Full {
            announcement: registered.announcement.clone(),
            age_ms,
            is_delay_unknown: registered.is_delay_unknown(),
        }
    }

    fn ms(&self, now: Instant) -> i64 {
        now.saturating_duration_since(self.base).as_millis() as i64
    }
}

fn send(to: Option<InstanceId>, records: Vec<Record>, actions: &mut Vec<RegistryAction>) {
    actions.extend(pack(records).into_iter().map(|records| RegistryAction::Relay { to: to.clone(), records }));
}

fn clamp(age_ms: i64) -> u32 {
    u32::try_from(age_ms.max(0)).unwrap_or(u32::MAX)
}
