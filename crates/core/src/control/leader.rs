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
const PROMPT_INTERVAL: Duration = Duration::from_millis(50);

/// Where a request came from.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    pub(super) peer: InstanceId,
    pub(super) id: RequestId,
}

/// A committed change that waits for the install quorum.
#[derive(Clone, Debug)]
struct Waiting {
    number: ChangeNumber,
    digest: ContentDigest,
    origin: Origin,
    until: Instant,
    held_since: Option<Instant>,
}

/// How far a change is installed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Spread {
    /// Whether enough entries confirmed it, though perhaps not at one moment.
    pub(super) is_confirmed: bool,
    /// Whether enough entries held it at one moment.
    pub(super) is_held: bool,
    /// Whether every live entry has it.
    pub(super) is_everywhere: bool,
}

/// The leader's side of forwarded requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Leader {
    proposals: FastMap<u64, (Origin, Option<ChangeNumber>)>,
    waiting: Vec<Waiting>,
    seen: FastMap<InstanceId, RequestId>,
    last_prompt: Option<Instant>,
}

impl Leader {
    /// Returns whether a message is new; each is taken at most once, in order.
    pub(super) fn is_new(&mut self, peer: &InstanceId, id: RequestId) -> bool {
        match self.seen.get_mut(peer) {
            Some(seen) if id <= *seen => false,
            Some(seen) => {
                *seen = id;
                true
            }
            None => {
                self.seen.insert(peer.clone(), id);
                true
            }
        }
    }

    /// Remembers where a proposal came from, and the number of a submitted change.
    pub(super) fn proposed(&mut self, proposal: u64, origin: Origin, number: Option<ChangeNumber>) {
        self.proposals.insert(proposal, (origin, number));
    }

    pub(super) fn take_origin(&mut self, proposal: u64) -> Option<(Origin, Option<ChangeNumber>)> {
        self.proposals.remove(&proposal)
    }

    /// Answers a submission once its change is held by the install quorum.
    pub(super) fn wait(&mut self, origin: Origin, number: ChangeNumber, digest: ContentDigest, until: Instant) {
        self.waiting.push(Waiting { number, digest, origin, until, held_since: None });
    }

    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the answers that are due, and whether heartbeats are wanted at once.
    pub(super) fn update(
        &mut self,
        now: Instant,
        spread: impl Fn(ChangeNumber) -> Spread,
    ) -> (Vec<(Origin, Reply)>, bool) {
        let mut replies = Vec::new();
        let mut is_prompt = false;
        self.waiting.retain_mut(|waiting| {
            let spread = spread(waiting.number);
            if spread.is_held {
                waiting.held_since.get_or_insert(now);
            }
            is_prompt |= spread.is_confirmed && waiting.held_since.is_none();
            let held_since = waiting.held_since;
            if held_since.is_some_and(|since| spread.is_everywhere || now >= since + EVERYWHERE_WAIT) {
                let reply = Reply::Accepted { digest: waiting.digest, everywhere: spread.is_everywhere };
                replies.push((waiting.origin.clone(), reply));
                return false;
            }
            now < waiting.until
        });
        let is_prompt = is_prompt && self.last_prompt.is_none_or(|last| now >= last + PROMPT_INTERVAL);
        if is_prompt {
            self.last_prompt = Some(now);
        }
        (replies, is_prompt)
    }

    /// Gives up what waits for the install quorum, as another instance leads.
    pub(super) fn step_down(&mut self) -> Vec<(Origin, Reply)> {
        self.waiting.drain(..).map(|waiting| (waiting.origin, Reply::Unknown)).collect()
    }
}
