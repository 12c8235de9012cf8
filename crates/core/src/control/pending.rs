//! A request that waits for a reply.

use {
    super::Request,
    crate::{
        ids::{ChangeNumber, InstanceId},
        ledger::{ClaimKey, Holder},
    },
    std::time::{Duration, Instant},
};

/// Time after which an unanswered request is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(500);

/// Delay before a rejected request is sent again.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Purpose of a request, which determines how its reply is handled.
#[derive(Clone, Debug)]
pub(super) enum Waiter {
    Current,
    Submit { request: u64, number: ChangeNumber },
    Claim { request: u64, key: ClaimKey, holder: Holder },
    Settle,
    Release,
}

/// A request that waits for a reply.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) request: Request,
    pub(super) waiter: Waiter,
    pub(super) started: Instant,
    pub(super) deadline: Option<Instant>,
    /// Sequence numbers of the messages that carried the request.
    pub(super) sent_sequences: Vec<u64>,
    /// Those of them that a leader may have accepted.
    pub(super) unresolved_sequences: Vec<u64>,
    pub(super) sent_to: Option<InstanceId>,
    pub(super) next_send_at: Instant,
}

impl Pending {
    pub(super) fn new(now: Instant, request: Request, waiter: Waiter, deadline: Option<Instant>) -> Self {
        let (sent_sequences, unresolved_sequences) = (Vec::new(), Vec::new());
        Self {
            request,
            waiter,
            started: now,
            deadline,
            sent_sequences,
            unresolved_sequences,
            sent_to: None,
            next_send_at: now,
        }
    }

    pub(super) fn is_due(&self, now: Instant, leader: &InstanceId) -> bool {
        let is_new_leader = self.sent_to.as_ref().is_some_and(|sent_to| sent_to != leader);
        now >= self.next_send_at || (is_new_leader && !self.unresolved_sequences.is_empty())
    }

    pub(super) fn record_send(&mut self, now: Instant, leader: &InstanceId, sequence: u64) {
        self.sent_sequences.push(sequence);
        self.unresolved_sequences.push(sequence);
        self.sent_to = Some(leader.clone());
        self.next_send_at = now + RESEND_AFTER;
    }

    /// Records that a message was definitely not accepted.
    pub(super) fn record_rejection(&mut self, now: Instant, sequence: u64) {
        self.unresolved_sequences.retain(|unresolved| *unresolved != sequence);
        self.next_send_at = self.next_send_at.min(now + RETRY_AFTER);
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| now >= deadline)
    }
}
