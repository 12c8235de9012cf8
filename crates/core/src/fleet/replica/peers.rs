//! Other replicas that this one knows of.

use {
    crate::{
        collections::{FastMap, FastSet},
        fleet::ReplicaName,
        ids::{DataCentreId, Incarnation, InstanceId},
        membership::PeerClock,
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Most replicas that are remembered beside the seeds.
const MAX_PEERS: usize = 32;
/// Silence after which a replica that is not a seed is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Silence after which a replica is not named to others.
const ADVERTISED_WITHIN: Duration = Duration::from_secs(10);
/// Time for which the entries that a replica counted are added up. Longer than an entry needs to find another
/// replica, so that the sum is too high rather than too low in between.
const ENTRY_COUNT_LIFETIME: Duration = Duration::from_secs(5);
/// Silence after which a replica is out of reach: three batches of renewals.
const REACHABLE_WITHIN: Duration = Duration::from_millis(1_500);
/// Time within which a replica that is reached again has told what it hears: two announcements and a batch.
const SYNCHRONIZED_AFTER: Duration = Duration::from_millis(3_500);
/// Questions to one replica whose answer may yet arrive.
const MAX_SENT_REQUESTS: usize = 8;

/// Another replica.
#[derive(Clone, Debug)]
struct Peer {
    data_centre: DataCentreId,
    incarnation: Incarnation,
    clock: PeerClock,
    last_heard_at: Option<Instant>,
    /// Since when it is heard without a gap.
    reachable_since: Instant,
    known_since: Instant,
    entries: Option<(u32, Instant)>,
    sent_requests: VecDeque<(u64, Instant)>,
}

impl Peer {
    fn new(now: Instant) -> Self {
        Self {
            data_centre: DataCentreId::default(),
            incarnation: 0,
            clock: PeerClock::new(now),
            last_heard_at: None,
            reachable_since: now,
            known_since: now,
            entries: None,
            sent_requests: VecDeque::new(),
        }
    }

    fn is_heard_within(&self, now: Instant, time: Duration) -> bool {
        self.last_heard_at.is_some_and(|heard| now.saturating_duration_since(heard) < time)
    }
}

/// Other replicas that this one knows of: the seeds, those that the log names, and those heard of.
#[derive(Debug)]
pub(super) struct Peers {
    own: InstanceId,
    peers: FastMap<InstanceId, Peer>,
    /// Replicas that are never forgotten.
    pinned: FastSet<InstanceId>,
}

impl Peers {
    pub(super) fn new(own: InstanceId) -> Self {
        Self { own, peers: FastMap::default(), pinned: FastSet::default() }
    }

    /// Sets the replicas that are never forgotten.
    pub(super) fn pin(&mut self, now: Instant, names: impl IntoIterator<Item = InstanceId>) {
        self.pinned = names.into_iter().filter(|name| *name != self.own).collect();
        for name in &self.pinned {
            self.peers.entry(name.clone()).or_insert_with(|| Peer::new(now));
        }
    }

    /// Takes the name of a replica that another one knows.
    pub(super) fn learn(&mut self, now: Instant, name: ReplicaName) {
        if name.id == self.own || !self.peers.contains_key(&name.id) && self.peers.len() >= MAX_PEERS {
            return;
        }
        let peer = self.peers.entry(name.id).or_insert_with(|| Peer::new(now));
        if peer.data_centre.is_empty() {
            peer.data_centre = name.data_centre;
        }
    }

    /// Takes note of a message of a replica; returns whether it is of the last known incarnation.
    pub(super) fn record_message(&mut self, now: Instant, from: &InstanceId, incarnation: Incarnation) -> bool {
        self.learn(now, ReplicaName { id: from.clone(), data_centre: DataCentreId::default() });
        let Some(peer) = self.peers.get_mut(from) else { return false };
        if incarnation < peer.incarnation {
            return false;
        }
        if incarnation > peer.incarnation {
            // The first message of a replica may overtake its answer to a question from before it.
            let sent_requests =
                if peer.incarnation == 0 { std::mem::take(&mut peer.sent_requests) } else { VecDeque::new() };
            *peer = Peer { incarnation, data_centre: peer.data_centre.clone(), sent_requests, ..Peer::new(now) };
        }
        if !peer.is_heard_within(now, REACHABLE_WITHIN) {
            peer.reachable_since = now;
        }
        peer.last_heard_at = Some(now);
        true
    }

    /// Whether what a replica hears from servers is known here. That holds for one that is forgotten.
    pub(super) fn is_synchronized(&self, now: Instant, name: &InstanceId) -> bool {
        self.peers.get(name).is_none_or(|peer| {
            peer.is_heard_within(now, REACHABLE_WITHIN)
                && now.saturating_duration_since(peer.reachable_since) >= SYNCHRONIZED_AFTER
        })
    }

    pub(super) fn set_data_centre(&mut self, from: &InstanceId, data_centre: DataCentreId) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.data_centre = data_centre;
        }
    }

    pub(super) fn set_entries(&mut self, now: Instant, from: &InstanceId, entries: u32) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.entries = Some((entries, now));
        }
    }

    /// Notes that a question is sent.
    pub(super) fn record_request(&mut self, now: Instant, to: &InstanceId, number: u64) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.sent_requests.push_back((number, now));
            if peer.sent_requests.len() > MAX_SENT_REQUESTS {
                peer.sent_requests.pop_front();
            }
        }
    }

    /// Takes an answer to a question; returns whether it was asked.
    pub(super) fn record_response(&mut self, now: Instant, from: &InstanceId, number: u64, clock_ms: u64) -> bool {
        let Some(peer) = self.peers.get_mut(from) else { return false };
        let Some(position) = peer.sent_requests.iter().position(|(sent, _)| *sent == number) else { return false };
        if let Some((_, sent_at)) = peer.sent_requests.remove(position) {
            peer.clock.calibrate(now, clock_ms, now.saturating_duration_since(sent_at));
        }
        true
    }

    /// Time since a message was sent; none while the clock of its sender is not known.
    pub(super) fn age(&self, now: Instant, from: &InstanceId, clock_ms: u64) -> Option<Duration> {
        self.peers.get(from)?.clock.age(now, clock_ms)
    }

    /// Whether messages of a replica can be dated.
    pub(super) fn is_clock_known(&self, now: Instant, name: &InstanceId) -> bool {
        self.age(now, name, 0).is_some()
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.keys()
    }

    /// Replicas that are in reach.
    pub(super) fn live(&self, now: Instant) -> impl Iterator<Item = InstanceId> {
        let live = self.peers.iter().filter(move |(_, peer)| peer.is_heard_within(now, REACHABLE_WITHIN));
        live.map(|(name, _)| name.clone())
    }

    /// Replicas heard a short time ago, for others to know.
    pub(super) fn recently_heard(&self, now: Instant) -> Vec<ReplicaName> {
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard_within(now, ADVERTISED_WITHIN));
        let mut heard: Vec<_> =
            heard.map(|(id, peer)| ReplicaName { id: id.clone(), data_centre: peer.data_centre.clone() }).collect();
        heard.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        heard
    }

    /// Sum of the entries that the others counted.
    pub(super) fn entries(&self, now: Instant) -> u32 {
        let is_recent = |(_, at): &(u32, Instant)| now.saturating_duration_since(*at) < ENTRY_COUNT_LIFETIME;
        let counts = self.peers.values().filter_map(|peer| peer.entries.filter(is_recent));
        counts.fold(0, |sum, (entries, _)| sum.saturating_add(entries))
    }

    pub(super) fn remove_inactive(&mut self, now: Instant) {
        let pinned = &self.pinned;
        self.peers.retain(|name, peer| {
            let last = peer.last_heard_at.unwrap_or(peer.known_since);
            pinned.contains(name) || now.saturating_duration_since(last) < FORGET_AFTER
        });
    }
}
