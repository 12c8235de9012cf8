//! The leader's side of forwarded requests.

use {
    super::{Reply, RequestId},
    crate::{
        collections::FastMap,
        ids::{ChangeNumber, InstanceId},
        ledger::ContentDigest,
    },
    std::time::{Duration, Instant},
};

/// Time after the install quorum for which the leader waits for the other live entries before it answers.
const EVERYWHERE_WAIT: Duration = Duration::from_secs(1);

/// Time between two rounds of heartbeats that the leader asks for while a change waits for its quorum.
const HEARTBEAT_PROMPT_INTERVAL: Duration = Duration::from_millis(50);

/// Where a request came from.
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

/// How far a change is installed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InstallState {
    /// Whether enough entries confirmed it, though perhaps not at one moment.
    pub(super) is_confirmed: bool,
    /// Whether enough entries held it at one moment.
    pub(super) is_held_by_quorum: bool,
    /// Whether every live entry has it.
    pub(super) is_everywhere: bool,
}

/// The leader's side of forwarded requests.
#[derive(Clone, Debug, Default)]
pub(super) struct IncomingRequests {
    proposals: FastMap<u64, (Origin, Option<ChangeNumber>)>,
    pending_submissions: Vec<PendingSubmission>,
    last_request_ids: FastMap<InstanceId, RequestId>,
    last_prompt: Option<Instant>,
}

impl IncomingRequests {
    /// Returns whether a message is new; each is taken at most once, in order.
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

    /// Remembers where a proposal came from, and the number of a submitted change.
    pub(super) fn record_proposal(&mut self, proposal: u64, origin: Origin, number: Option<ChangeNumber>) {
        self.proposals.insert(proposal, (origin, number));
    }

    pub(super) fn take_origin(&mut self, proposal: u64) -> Option<(Origin, Option<ChangeNumber>)> {
        self.proposals.remove(&proposal)
    }

    /// Answers a submission once its change is held by the install quorum.
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

    /// Returns the answers that are due, and whether heartbeats are wanted at once.
    pub(super) fn update(
        &mut self,
        now: Instant,
        install_state: impl Fn(ChangeNumber) -> InstallState,
    ) -> (Vec<(Origin, Reply)>, bool) {
        let mut replies = Vec::new();
        let mut is_prompt = false;
        self.pending_submissions.retain_mut(|pending| {
            let install_state = install_state(pending.number);
            if install_state.is_held_by_quorum {
                pending.quorum_since.get_or_insert(now);
            }
            is_prompt |= install_state.is_confirmed && pending.quorum_since.is_none();
            let quorum_since = pending.quorum_since;
            if quorum_since.is_some_and(|since| install_state.is_everywhere || now >= since + EVERYWHERE_WAIT) {
                let reply = Reply::Accepted { digest: pending.digest, everywhere: install_state.is_everywhere };
                replies.push((pending.origin.clone(), reply));
                return false;
            }
            now < pending.until
        });
        let is_prompt = is_prompt && self.last_prompt.is_none_or(|last| now >= last + HEARTBEAT_PROMPT_INTERVAL);
        if is_prompt {
            self.last_prompt = Some(now);
        }
        (replies, is_prompt)
    }

    /// Gives up what waits for the install quorum, as another instance leads.
    pub(super) fn step_down(&mut self) -> Vec<(Origin, Reply)> {
        self.pending_submissions.drain(..).map(|pending| (pending.origin, Reply::Unknown)).collect()
    }
}
