//! Requests that were forwarded to this instance as the leader.

use {
    super::{Reply, RequestId},
    crate::{
        collections::FastMap,
        ids::{ChangeNumber, InstanceId},
        ledger::ContentDigest,
    },
    std::time::{Duration, Instant},
};

/// Time after the install quorum is reached for which the leader waits for the other live instances before it
/// answers.
const EVERYWHERE_WAIT: Duration = Duration::from_secs(1);

/// Minimum time between the extra heartbeats that the leader requests while a change waits for its quorum.
const HEARTBEAT_PROMPT_INTERVAL: Duration = Duration::from_millis(50);

/// Sender and identifier of a request.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    pub(super) peer: InstanceId,
    pub(super) id: RequestId,
}

/// A committed change that waits for the install quorum.
#[derive(Clone, Debug)]
struct PendingSubmission {
    number: ChangeNumber,
    digest: ContentDigest,
    origin: Origin,
    until: Instant,
    quorum_since: Option<Instant>,
}

/// Installation state of a change across the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InstallState {
    /// Whether a quorum of instances has confirmed the installation, possibly at different times.
    pub(super) is_confirmed: bool,
    /// Whether a quorum of instances had the change installed at the same time.
    pub(super) is_held_by_quorum: bool,
    /// Whether all live instances have installed the change.
    pub(super) is_everywhere: bool,
}

/// Requests that were forwarded to this instance as the leader.
#[derive(Clone, Debug, Default)]
pub(super) struct IncomingRequests {
    proposals: FastMap<u64, (Origin, Option<ChangeNumber>)>,
    pending_submissions: Vec<PendingSubmission>,
    last_request_ids: FastMap<InstanceId, RequestId>,
    last_prompt: Option<Instant>,
}

impl IncomingRequests {
    /// Returns whether a message is new. Messages of a peer are accepted at most once and in order.
    pub(super) fn is_new(&mut self, peer: &InstanceId, id: RequestId) -> bool {
        match self.last_request_ids.get_mut(peer) {
            Some(last) if id <= *last => false,
            Some(last) => {
                *last = id;
                true
            }
            None => {
                self.last_request_ids.insert(peer.clone(), id);
                true
            }
        }
    }

    /// Records the origin of a proposal and the number of a submitted change.
    pub(super) fn record_proposal(&mut self, proposal: u64, origin: Origin, number: Option<ChangeNumber>) {
        self.proposals.insert(proposal, (origin, number));
    }

    pub(super) fn take_origin(&mut self, proposal: u64) -> Option<(Origin, Option<ChangeNumber>)> {
        self.proposals.remove(&proposal)
    }

    /// Defers the answer to a submission until the install quorum is reached.
    pub(super) fn await_install_quorum(
        &mut self,
        origin: Origin,
        number: ChangeNumber,
        digest: ContentDigest,
        until: Instant,
    ) {
        self.pending_submissions.push(PendingSubmission { number, digest, origin, until, quorum_since: None });
    }

    pub(super) fn has_pending_submissions(&self) -> bool {
        !self.pending_submissions.is_empty()
    }

    /// Returns the answers that are due, and whether extra heartbeats are needed.
    pub(super) fn update(
        &mut self,
        now: Instant,
        install_state: impl Fn(ChangeNumber) -> InstallState,
    ) -> (Vec<(Origin, Reply)>, bool) {
        let mut replies = Vec::new();
        let mut needs_heartbeats = false;
        self.pending_submissions.retain_mut(|pending| {
            let install_state = install_state(pending.number);
            if install_state.is_held_by_quorum {
                pending.quorum_since.get_or_insert(now);
            }
            needs_heartbeats |= install_state.is_confirmed && pending.quorum_since.is_none();
            let quorum_since = pending.quorum_since;
            if quorum_since.is_some_and(|since| install_state.is_everywhere || now >= since + EVERYWHERE_WAIT) {
                let reply = Reply::Accepted { digest: pending.digest, everywhere: install_state.is_everywhere };
                replies.push((pending.origin.clone(), reply));
                return false;
            }
            // No reply is sent after the timeout: the instance that forwarded the submission has the same timeout and
            // answers its operator with "unknown" itself.
            now < pending.until
        });
        let needs_heartbeats =
            needs_heartbeats && self.last_prompt.is_none_or(|last| now >= last + HEARTBEAT_PROMPT_INTERVAL);
        if needs_heartbeats {
            self.last_prompt = Some(now);
        }
        (replies, needs_heartbeats)
    }

    /// Abandons the pending submissions because this instance is no longer the leader.
    pub(super) fn step_down(&mut self) -> Vec<(Origin, Reply)> {
        self.pending_submissions.drain(..).map(|pending| (pending.origin, Reply::Unknown)).collect()
    }
}
