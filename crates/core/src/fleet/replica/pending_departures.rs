//! Departures that are committed but not yet known to every replica.

use {
    super::{Origin, Replica, ReplicaAction},
    crate::{
        collections::FastSet,
        fleet::Reply,
        ids::{InstanceId, LogIndex},
    },
    std::time::{Duration, Instant},
};

/// Maximum time for which the answer to a departure waits for the other replicas. A server repeats its call after 1 s.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between status requests to a replica that has not confirmed yet.
const CONFIRM_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A departure that is committed but not yet known to every replica, or an evacuation.
///
/// A follower that does not learn of the commit before the leader dies could inform its entries only after the next
/// election. This may take longer than the 2 s within which entries must learn of a departure.
#[derive(Clone, Debug)]
pub(super) struct PendingDeparture {
    origin: Origin,
    reply: Reply,
    index: LogIndex,
    /// Replicas that have not confirmed that they know of it.
    unaware_peers: FastSet<InstanceId>,
    deadline: Instant,
    retry_at: Instant,
}

impl Replica {
    /// Answers a departure, or an order to evacuate a data centre, once all reachable replicas know of it.
    pub(super) fn confirm_departure(&mut self, now: Instant, origin: Origin, reply: Reply, index: LogIndex) {
        let unaware_peers = self.peers.live(now).collect();
        self.pending_departures.push(PendingDeparture {
            origin,
            reply,
            index,
            unaware_peers,
            deadline: now + CONFIRM_TIMEOUT,
            retry_at: now,
        });
    }

    /// Records the commit index of another replica.
    pub(super) fn record_peer_commit(&mut self, peer: &InstanceId, commit: LogIndex) {
        for departure in self.pending_departures.iter_mut().filter(|departure| departure.index <= commit) {
            departure.unaware_peers.remove(peer);
        }
    }

    /// Answers the departures that every reachable replica knows of or that have timed out. Sends another status
    /// request to replicas that have not confirmed.
    pub(super) fn answer_confirmed_departures(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let is_done =
            |departure: &mut PendingDeparture| departure.unaware_peers.is_empty() || now >= departure.deadline;
        let done: Vec<_> = self.pending_departures.extract_if(.., is_done).collect();
        for departure in done {
            self.reply(departure.origin, departure.reply, out);
        }
        let mut unaware_peers = FastSet::default();
        for departure in self.pending_departures.iter_mut().filter(|departure| now >= departure.retry_at) {
            departure.retry_at = now + CONFIRM_RETRY_INTERVAL;
            unaware_peers.extend(departure.unaware_peers.iter().cloned());
        }
        for peer in unaware_peers {
            self.send_status_request(now, peer, false, out);
        }
    }
}
