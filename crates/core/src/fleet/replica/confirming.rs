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
const CONFIRM_FOR: Duration = Duration::from_millis(500);
/// Time after which a replica is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// A departure that is committed and not yet known to every replica.
///
/// A follower that did not learn of the commit before the leader died could tell its entries only after the
/// next election, which may take more than the 2 s within which they must know.
#[derive(Clone, Debug)]
pub(super) struct Confirming {
    origin: Origin,
    index: LogIndex,
    /// Replicas that have not said that they know of it.
    unaware: FastSet<InstanceId>,
    until: Instant,
    ask_at: Instant,
}

impl Replica {
    /// Answers a departure once the replicas in reach know of it.
    pub(super) fn confirm(&mut self, now: Instant, origin: Origin, index: LogIndex) {
        let unaware = self.peers.live(now).collect();
        self.confirming.push(Confirming { origin, index, unaware, until: now + CONFIRM_FOR, ask_at: now });
    }

    /// Takes note of what another replica knows to be committed.
    pub(super) fn aware(&mut self, peer: &InstanceId, commit: LogIndex) {
        for confirming in self.confirming.iter_mut().filter(|confirming| confirming.index <= commit) {
            confirming.unaware.remove(peer);
        }
    }

    /// Answers the departures that every replica knows of, and asks the others again.
    pub(super) fn check_confirming(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let is_done = |confirming: &mut Confirming| confirming.unaware.is_empty() || now >= confirming.until;
        let done: Vec<_> = self.confirming.extract_if(.., is_done).collect();
        for confirming in done {
            self.reply(confirming.origin, Reply::Departed, out);
        }
        let mut unaware = FastSet::default();
        for confirming in self.confirming.iter_mut().filter(|confirming| now >= confirming.ask_at) {
            confirming.ask_at = now + ASK_AGAIN;
            unaware.extend(confirming.unaware.iter().cloned());
        }
        for peer in unaware {
            self.send_ask(now, peer, false, out);
        }
    }
}
