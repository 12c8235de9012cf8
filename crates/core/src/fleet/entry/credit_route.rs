//! The replica to which requests for credit are sent.

use {
    crate::{ids::InstanceId, quota::CreditRequest},
    std::time::{Duration, Instant},
};

/// Time without an answer of the leader after which the replica in use is asked for the leader again. It covers two
/// requests.
const LEADER_TIMEOUT: Duration = Duration::from_millis(250);

/// The replica to which requests for credit are sent: the leader, or the replica in use if the leader is unknown.
#[derive(Clone, Debug, Default)]
pub(super) struct CreditRoute {
    leader: Option<InstanceId>,
    /// When the first request since the last answer of the leader was sent.
    unanswered_since: Option<Instant>,
    /// Last request, unless it was sent a second time.
    last: Option<CreditRequest>,
}

impl CreditRoute {
    /// Returns the receiver of a request.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        replica: Option<&InstanceId>,
        request: &CreditRequest,
    ) -> Option<InstanceId> {
        let since = *self.unanswered_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= LEADER_TIMEOUT {
            self.leader = None;
        }
        self.last = Some(request.clone());
        self.leader.as_ref().or(replica).cloned()
    }

    /// Records that the leader answered.
    pub(super) fn record_leader(&mut self, leader: &InstanceId) {
        self.leader = Some(leader.clone());
        (self.unanswered_since, self.last) = (None, None);
    }

    /// Records that a replica that does not lead named the leader. Returns the request to send to it.
    pub(super) fn redirect(&mut self, leader: Option<InstanceId>, echo: u64) -> Option<(InstanceId, CreditRequest)> {
        self.leader = leader;
        self.unanswered_since = None;
        let request = self.last.take().filter(|last| last.number == echo)?;
        Some((self.leader.clone()?, request))
    }
}
