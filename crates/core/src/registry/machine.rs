//! The state machine of the registry.

use {
    super::{
        Announcement, AnnouncementFault, Digest, Record, RegistryAction, RegistryEvent, TOMBSTONE, digest::bucket,
        held::Held, pack::pack,
    },
    crate::{
        collections::{FastMap, FastSet},
        dispatch::ServerView,
        ids::{InstanceId, ServerId, ServiceId},
    },
    std::time::{Duration, Instant},
};

/// Most servers that are held; twice the design target of 1,900.
const MAX_SERVERS: usize = 4_096;

/// Time for which renewals are collected before they are relayed together.
const RELAY_INTERVAL: Duration = Duration::from_millis(50);

/// Times that the news of a departure is relayed, because one lost datagram would otherwise cost the time
/// until the digests are compared.
const FINAL_REPEATS: u8 = 3;

/// Time between two rounds of questions about leases that run out.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Remaining lease below which another entry is asked. A server announces itself each 800 ms, so that less
/// than 1.3 s of 2.5 s remain only if an announcement was missed.
const ASK_BELOW: Duration = Duration::from_millis(1_300);

/// Most servers in one question.
const MAX_ASKED: usize = 16;

/// Most records sent for one repair; the next heartbeat repairs more.
const MAX_REPAIRED: usize = 64;

/// Time without any event after which the process is taken to have been frozen. Ticks come each 50 ms.
const FROZEN: Duration = Duration::from_millis(500);

/// Time after a freeze for which announcements are read that waited in socket buffers.
const RESUME_GRACE: Duration = Duration::from_millis(500);

/// Options of [`Registry`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryOptions {
    /// The other entries.
    pub peers: Vec<InstanceId>,
}

/// Servers that announced themselves.
#[derive(Clone, Debug)]
pub struct Registry {
    options: RegistryOptions,
    base: Instant,
    servers: FastMap<ServerId, Held>,
    /// Servers to relay, with the times that each is still to be relayed.
    pending: FastMap<ServerId, u8>,
    changed: FastSet<ServiceId>,
    last_event: Instant,
    resumed: Option<Instant>,
    last_relay: Instant,
    last_ask: Instant,
    next_asked: usize,
    next_repaired: usize,
}

impl Registry {
    /// Starts with no server known.
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
    /// // It is unknown how late the first one was.
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
            resumed: None,
            last_relay: now,
            last_ask: now,
            next_asked: 0,
            next_repaired: 0,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, event: RegistryEvent, actions: &mut Vec<RegistryAction>) {
        if now.saturating_duration_since(self.last_event) > FROZEN {
            self.resumed = Some(now);
        }
        self.last_event = self.last_event.max(now);
        match event {
            RegistryEvent::Announce(announcement) => self.announce(now, announcement, actions),
            RegistryEvent::Relay { age, records } => {
                let corrected = records.iter().filter_map(|record| self.correct(now, age, record)).collect();
                for record in records {
                    self.take_record(now, age, record, actions);
                }
                send(None, corrected, actions);
            }
            RegistryEvent::Digest { from, digest } => self.repair(now, from, &digest, actions),
            RegistryEvent::Ask { from, servers } => {
                let held = servers.iter().take(MAX_ASKED).filter_map(|server| self.servers.get(server));
                let records = held.filter(|held| held.is_compared(self.ms(now))).map(|held| self.full(now, held));
                send(Some(from), records.collect(), actions);
            }
            RegistryEvent::Tick => self.tick(now, actions),
        }
    }

    /// Returns the servers of a service that are starting or ready and whose leases hold at `now`, in order
    /// of their names.
    pub fn views(&self, now: Instant, service: &str) -> Vec<ServerView> {
        let now_ms = self.ms(now);
        let usable = self.servers.values().filter(|held| held.is_usable(now_ms));
        let mut views: Vec<_> =
            usable.filter(|held| *held.announcement.service == *service).map(|held| held.view(self.base)).collect();
        views.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        views
    }

    /// Returns the digest to report to the other entries.
    pub fn digest(&self, now: Instant) -> Digest {
        let now_ms = self.ms(now);
        let mut digest = Digest::default();
        for held in self.servers.values().filter(|held| held.is_compared(now_ms)) {
            digest.add(&held.announcement);
        }
        digest
    }

    /// Returns how many servers are held, tombstones included.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is held.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn announce(&mut self, now: Instant, announcement: Announcement, actions: &mut Vec<RegistryAction>) {
        let server = announcement.server.clone();
        // What waited while this process was frozen is late by an unknown time. It counts only for a server
        // whose clock is known; others are heard again.
        let is_resuming = self.resumed.is_some_and(|resumed| now.saturating_duration_since(resumed) < RESUME_GRACE);
        let known = self.servers.get(&server).filter(|held| !held.is_doubted());
        let is_known = known.is_some_and(|held| held.announcement.incarnation >= announcement.incarnation);
        if is_resuming && !is_known && !announcement.is_final() {
            return;
        }
        // It cannot be told how late the first announcement of a server is. It may have waited in a socket
        // buffer while this process was frozen, or in the network while the server left.
        match self.take(now, 0, announcement, true, actions) {
            Ok(true) => {
                let repeats = if self.servers[&server].announcement.is_final() { FINAL_REPEATS } else { 1 };
                let is_final = repeats > 1;
                self.pending.insert(server, repeats);
                if is_final {
                    self.relay(now, actions);
                }
            }
            Ok(false) => {}
            Err(fault) => actions.push(RegistryAction::Refused { server, fault }),
        }
    }

    /// Returns what is known of a server whose announcement another entry doubts and which was late.
    fn correct(&self, now: Instant, age: Duration, record: &Record) -> Option<Record> {
        let Record::Full { announcement, doubted: true, age_ms } = record else { return None };
        let age_ms = i64::from(*age_ms) + age.as_millis() as i64;
        let held = self.servers.get(&announcement.server)?;
        let is_same = held.announcement.incarnation == announcement.incarnation;
        (is_same && held.is_late(self.ms(now), age_ms, announcement.uptime_ms)).then(|| self.full(now, held))
    }

    fn take_record(&mut self, now: Instant, age: Duration, record: Record, actions: &mut Vec<RegistryAction>) {
        let age_ms = i64::from(record.age_ms()) + age.as_millis() as i64;
        let (announcement, is_doubted) = match record {
            Record::Full { announcement, doubted, .. } => (announcement, doubted),
            Record::Renewal { server, incarnation, sequence, uptime_ms, .. } => {
                // A renewal of something unknown is repaired by the digests.
                let held = self.servers.get(&server).filter(|held| held.announcement.incarnation == incarnation);
                let Some(held) = held else { return };
                (Announcement { sequence, uptime_ms, ..held.announcement.clone() }, true)
            }
        };
        let server = announcement.server.clone();
        if let Err(fault) = self.take(now, age_ms, announcement, is_doubted, actions) {
            actions.push(RegistryAction::Refused { server, fault });
        }
    }

    /// Takes an announcement of the given age; returns whether it was newer than what is held.
    fn take(
        &mut self,
        now: Instant,
        age_ms: i64,
        announcement: Announcement,
        is_doubted: bool,
        actions: &mut Vec<RegistryAction>,
    ) -> Result<bool, AnnouncementFault> {
        announcement.check()?;
        let now_ms = self.ms(now);
        let service = announcement.service.clone();
        let is_full = self.servers.len() >= MAX_SERVERS;
        let is_changed = match self.servers.get_mut(&announcement.server) {
            Some(held) if announcement.incarnation < held.announcement.incarnation => return Ok(false),
            Some(held) if announcement.incarnation == held.announcement.incarnation => {
                if !is_doubted {
                    held.trust();
                }
                if announcement.sequence <= held.announcement.sequence {
                    held.calibrate(now_ms, age_ms, announcement.uptime_ms);
                    self.changed.insert(service);
                    return Ok(false);
                }
                let was_service = held.announcement.service.clone();
                let is_changed = held.take(now_ms, age_ms, announcement) || !held.is_shown;
                if was_service != service {
                    self.changed.insert(was_service);
                }
                is_changed
            }
            _ if age_ms >= TOMBSTONE.as_millis() as i64 => return Ok(false),
            Some(held) => {
                self.changed.insert(held.announcement.service.clone());
                *held = Held::new(now_ms, age_ms, announcement, is_doubted);
                true
            }
            None if is_full => return Err(AnnouncementFault::TooMany),
            None => {
                let held = Held::new(now_ms, age_ms, announcement, is_doubted);
                self.servers.insert(held.announcement.server.clone(), held);
                true
            }
        };
        self.changed.insert(service);
        if is_changed {
            self.tell(now, actions);
        }
        Ok(true)
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<RegistryAction>) {
        let now_ms = self.ms(now);
        for held in self.servers.values().filter(|held| held.is_shown && !held.is_usable(now_ms)) {
            self.changed.insert(held.announcement.service.clone());
        }
        self.servers.retain(|_, held| !held.is_over(now_ms));
        if now.saturating_duration_since(self.last_relay) >= RELAY_INTERVAL {
            self.relay(now, actions);
        }
        if now.saturating_duration_since(self.last_ask) >= ASK_INTERVAL {
            self.ask(now, actions);
        }
        self.tell(now, actions);
    }

    /// Reports the services whose servers or leases have changed.
    fn tell(&mut self, now: Instant, actions: &mut Vec<RegistryAction>) {
        if self.changed.is_empty() {
            return;
        }
        let now_ms = self.ms(now);
        for held in self.servers.values_mut() {
            if self.changed.contains(&held.announcement.service) {
                held.is_shown = held.is_usable(now_ms);
            }
        }
        let mut changed: Vec<ServiceId> = self.changed.drain().collect();
        changed.sort_unstable();
        actions.extend(changed.into_iter().map(RegistryAction::Changed));
    }

    /// Relays what servers announced here.
    fn relay(&mut self, now: Instant, actions: &mut Vec<RegistryAction>) {
        self.last_relay = now;
        let mut pending: Vec<(ServerId, u8)> = self.pending.drain().collect();
        pending.sort_unstable();
        let mut records = Vec::new();
        for (server, repeats) in pending {
            let age_ms = self.servers.get(&server).map_or(0, |held| clamp(held.age_ms(self.ms(now))));
            let Some(held) = self.servers.get_mut(&server) else { continue };
            let doubted = held.is_doubted();
            let was = &held.announcement;
            records.push(if held.is_relayed && !was.is_final() {
                let (incarnation, sequence, uptime_ms) = (was.incarnation, was.sequence, was.uptime_ms);
                Record::Renewal { server: server.clone(), incarnation, sequence, uptime_ms, age_ms }
            } else {
                Record::Full { announcement: was.clone(), age_ms, doubted }
            });
            held.is_relayed = true;
            if repeats > 1 {
                self.pending.insert(server, repeats - 1);
            }
        }
        if !self.options.peers.is_empty() {
            send(None, records, actions);
        }
    }

    /// Asks one other entry for the servers whose leases run out.
    fn ask(&mut self, now: Instant, actions: &mut Vec<RegistryAction>) {
        self.last_ask = now;
        let now_ms = self.ms(now);
        let below = ASK_BELOW.as_millis() as i64;
        let is_asked = |held: &&Held| held.is_usable(now_ms) && held.lease_end_ms() - now_ms < below;
        let mut servers: Vec<ServerId> =
            self.servers.values().filter(is_asked).map(|held| held.announcement.server.clone()).collect();
        if servers.is_empty() || self.options.peers.is_empty() {
            return;
        }
        servers.sort_unstable();
        servers.truncate(MAX_ASKED);
        self.next_asked = (self.next_asked + 1) % self.options.peers.len();
        actions.push(RegistryAction::Ask { to: self.options.peers[self.next_asked].clone(), servers });
    }

    /// Sends another entry the servers of the buckets in which it differs.
    fn repair(&mut self, now: Instant, to: InstanceId, digest: &Digest, actions: &mut Vec<RegistryAction>) {
        let differing = self.digest(now).differing(digest);
        if !differing.contains(&true) {
            return;
        }
        let now_ms = self.ms(now);
        let is_sent = |held: &&Held| held.is_compared(now_ms) && differing[bucket(&held.announcement.server)];
        let mut held: Vec<&Held> = self.servers.values().filter(is_sent).collect();
        held.sort_unstable_by(|a, b| a.announcement.server.cmp(&b.announcement.server));
        let start = if held.len() > MAX_REPAIRED { self.next_repaired % held.len() } else { 0 };
        let records = held.iter().cycle().skip(start).take(held.len().min(MAX_REPAIRED));
        send(Some(to), records.map(|held| self.full(now, held)).collect(), actions);
        self.next_repaired = start + MAX_REPAIRED;
    }

    fn full(&self, now: Instant, held: &Held) -> Record {
        let age_ms = clamp(held.age_ms(self.ms(now)));
        Record::Full { announcement: held.announcement.clone(), age_ms, doubted: held.is_doubted() }
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
