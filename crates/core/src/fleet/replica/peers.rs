//! Other replicas known to this one.

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

/// Maximum number of known replicas; pinned ones may exceed it.
const MAX_PEERS: usize = 32;
/// Time without a message after which a replica that is not pinned is removed.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time without a message after which a replica is no longer reported to others.
const ADVERTISED_WITHIN: Duration = Duration::from_secs(10);
/// Time for which the entry count of a replica is included in the sum. It is longer than an entry needs to find another
/// replica, so that the sum is temporarily too high rather than too low.
const ENTRY_COUNT_LIFETIME: Duration = Duration::from_secs(5);
/// Time without a message after which a replica is unreachable: three batches of renewals.
const REACHABLE_WITHIN: Duration = Duration::from_millis(1_500);
/// Time within which a replica that has become reachable again has sent all the announcements it receives: two
/// announcements and a batch.
const SYNCHRONIZED_AFTER: Duration = Duration::from_millis(3_500);
/// Maximum number of status requests to one replica that may still be answered.
const MAX_SENT_REQUESTS: usize = 8;

/// Another replica.
#[derive(Clone, Debug)]
struct Peer {
    data_centre: DataCentreId,
    incarnation: Incarnation,
    clock: PeerClock,
    last_heard_at: Option<Instant>,
    /// Time since which it has been reachable without interruption.
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

/// Other replicas known to this one: the seeds, the members of the replicated log, and those learned from messages.
#[derive(Debug)]
pub(super) struct Peers {
    own: InstanceId,
    peers: FastMap<InstanceId, Peer>,
    /// Replicas that are never removed.
    pinned: FastSet<InstanceId>,
}

impl Peers {
    pub(super) fn new(own: InstanceId) -> Self {
        Self { own, peers: FastMap::default(), pinned: FastSet::default() }
    }

    /// Sets the replicas that are never removed.
    pub(super) fn pin(&mut self, now: Instant, names: impl IntoIterator<Item = InstanceId>) {
        self.pinned = names.into_iter().filter(|name| *name != self.own).collect();
        for name in &self.pinned {
            self.peers.entry(name.clone()).or_insert_with(|| Peer::new(now));
        }
    }

    /// Adds a replica reported by another one.
    pub(super) fn learn(&mut self, now: Instant, name: ReplicaName) {
        if name.id == self.own || !self.peers.contains_key(&name.id) && self.peers.len() >= MAX_PEERS {
            return;
        }
        let peer = self.peers.entry(name.id).or_insert_with(|| Peer::new(now));
        if peer.data_centre.is_empty() {
            peer.data_centre = name.data_centre;
        }
    }

    /// Records a message from a replica; returns whether it is from the latest known incarnation.
    pub(super) fn record_message(&mut self, now: Instant, from: &InstanceId, incarnation: Incarnation) -> bool {
        self.learn(now, ReplicaName { id: from.clone(), data_centre: DataCentreId::default() });
        let Some(peer) = self.peers.get_mut(from) else { return false };
        if incarnation < peer.incarnation {
            return false;
        }
        if incarnation > peer.incarnation {
            // The first message from a replica may overtake its answer to an earlier request.
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

    /// Returns whether the announcements that a replica receives are known here. Removed replicas count as
    /// synchronized.
    pub(super) fn is_synchronized(&self, now: Instant, name: &InstanceId) -> bool {
        self.peers.get(name).is_none_or(|peer| {
            peer.is_heard_within(now, REACHABLE_WITHIN)
                && now.saturating_duration_since(peer.reachable_since) >= SYNCHRONIZED_AFTER
        })
    }

    /// Returns the latest known incarnation of a replica, 0 if it is unknown.
    pub(super) fn incarnation(&self, name: &InstanceId) -> Incarnation {
        self.peers.get(name).map_or(0, |peer| peer.incarnation)
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

    /// Records a sent status request.
    pub(super) fn record_request(&mut self, now: Instant, to: &InstanceId, number: u64) {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.sent_requests.push_back((number, now));
            if peer.sent_requests.len() > MAX_SENT_REQUESTS {
                peer.sent_requests.pop_front();
            }
        }
    }

    /// Records a response to a status request; returns whether it matches a sent request.
    pub(super) fn record_response(&mut self, now: Instant, from: &InstanceId, number: u64, clock_ms: u64) -> bool {
        let Some(peer) = self.peers.get_mut(from) else { return false };
        let Some(position) = peer.sent_requests.iter().position(|(sent, _)| *sent == number) else { return false };
        if let Some((_, sent_at)) = peer.sent_requests.remove(position) {
            peer.clock.calibrate(now, clock_ms, now.saturating_duration_since(sent_at));
        }
        true
    }

    /// Returns the time since a message was sent, or `None` while the clock of its sender is unknown.
    pub(super) fn age(&self, now: Instant, from: &InstanceId, clock_ms: u64) -> Option<Duration> {
        self.peers.get(from)?.clock.age(now, clock_ms)
    }

    /// Returns whether the clock of a replica is known, so that the age of its messages can be determined.
    pub(super) fn is_clock_known(&self, now: Instant, name: &InstanceId) -> bool {
        self.age(now, name, 0).is_some()
    }

    pub(super) fn contains(&self, name: &InstanceId) -> bool {
        self.peers.contains_key(name)
    }

    /// Returns the replicas of which any message came. Those that stay silent are removed after a time.
    pub(super) fn heard(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.iter().filter(|(_, peer)| peer.last_heard_at.is_some()).map(|(name, _)| name)
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.keys()
    }

    /// Returns the reachable replicas.
    pub(super) fn live(&self, now: Instant) -> impl Iterator<Item = InstanceId> {
        let live = self.peers.iter().filter(move |(_, peer)| peer.is_heard_within(now, REACHABLE_WITHIN));
        live.map(|(name, _)| name.clone())
    }

    /// Returns the replicas heard from recently, to be reported to others.
    pub(super) fn recently_heard(&self, now: Instant) -> Vec<ReplicaName> {
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard_within(now, ADVERTISED_WITHIN));
        let mut heard: Vec<_> =
            heard.map(|(id, peer)| ReplicaName { id: id.clone(), data_centre: peer.data_centre.clone() }).collect();
        heard.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        heard
    }

    /// Returns the sum of the entry counts of the other replicas.
    pub(super) fn entries(&self, now: Instant) -> u32 {
        self.sum_entries(now, |_| true)
    }

    /// Returns the sum of the entry counts of the replicas with lower names than this one.
    pub(super) fn entries_before(&self, now: Instant, own: &InstanceId) -> u32 {
        self.sum_entries(now, |name| name < own)
    }

    fn sum_entries(&self, now: Instant, is_counted: impl Fn(&InstanceId) -> bool) -> u32 {
        let is_recent = |(_, at): &(u32, Instant)| now.saturating_duration_since(*at) < ENTRY_COUNT_LIFETIME;
        let counted = self.peers.iter().filter(|(name, _)| is_counted(name));
        let counts = counted.filter_map(|(_, peer)| peer.entries.filter(is_recent));
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
