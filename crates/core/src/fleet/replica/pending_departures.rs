//! Departures that are committed and not yet known to every replica.

use {
    super::{Origin, Replica, ReplicaAction},
    crate::{
        collections::FastSet,
        fleet::Reply,
        ids::{InstanceId, LogIndex},
    },
    std::time::{Duration, Instant},
};

/// Time for which a departure waits for the other replicas. A server repeats its call after 1 s.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a replica is asked again.
const CONFIRM_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A departure that is committed and not yet known to every replica.
///
/// A follower that did not learn of the commit before the leader died could tell its entries only after the
/// next election, which may take more than the 2 s within which they must know.
#[derive(Clone, Debug)]
pub(super) struct PendingDeparture {
    origin: Origin,
    index: LogIndex,
    /// Replicas that have not said that they know of it.
    unaware_peers: FastSet<InstanceId>,
    deadline: Instant,
    retry_at: Instant,
}

impl Replica {
    /// Answers a departure once the replicas in reach know of it.
    pub(super) fn confirm_departure(&mut self, now: Instant, origin: Origin, index: LogIndex) {
        let unaware_peers = self.peers.live(now).collect();
        self.pending_departures.push(PendingDeparture {
            origin,
            index,
            unaware_peers,
            deadline: now + CONFIRM_TIMEOUT,
            retry_at: now,
        });
    }

    /// Takes note of what another replica knows to be committed.
    pub(super) fn record_peer_commit(&mut self, peer: &InstanceId, commit: LogIndex) {
        for pending_departures in
            self.pending_departures.iter_mut().filter(|pending_departures| pending_departures.index <= commit)
        {
            pending_departures.unaware_peers.remove(peer);
        }
    }

    /// Answers the departures that every replica knows of, and asks the others again.
    pub(super) fn answer_confirmed_departures(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let is_done = |pending_departures: &mut PendingDeparture| {
            pending_departures.unaware_peers.is_empty() || now >= pending_departures.deadline
        };
        let done: Vec<_> = self.pending_departures.extract_if(.., is_done).collect();
        for pending_departures in done {
            self.reply(pending_departures.origin, Reply::Departed, out);
        }
        let mut unaware_peers = FastSet::default();
        for pending_departures in
            self.pending_departures.iter_mut().filter(|pending_departures| now >= pending_departures.retry_at)
        {
            pending_departures.retry_at = now + CONFIRM_RETRY_INTERVAL;
            unaware_peers.extend(pending_departures.unaware_peers.iter().cloned());
        }
        for peer in unaware_peers {
            self.send_status_request(now, peer, false, out);
        }
    }
}
