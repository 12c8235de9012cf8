//! Requests from this replica's task that wait for the leader.

use {
    crate::{
        fleet::{ReplicaAnswer, Reply, Request},
        ids::{ChangeNumber, InstanceId},
        ledger::{ContentDigest, Ledger, SubmitOutcome},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time after which an unanswered request is resent.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of pending requests.
const MAX_PENDING_REQUESTS: usize = 1_024;

/// A request that waits for an answer of the leader.
#[derive(Clone, Debug)]
struct PendingRequest {
    /// Id assigned by the task.
    id: u64,
    request: Request,
    digest: ContentDigest,
    deadline: Instant,
    /// Leader to which the request was last sent, and the time at which it is resent.
    sent: Option<(InstanceId, Instant)>,
}

/// Requests that wait for an answer of the leader.
#[derive(Debug)]
pub(super) struct PendingRequests {
    /// Number of the next request. The first number differs between incarnations, so that a late reply to an earlier
    /// process does not match any request.
    next: u64,
    pending: BTreeMap<u64, PendingRequest>,
}

impl PendingRequests {
    pub(super) fn new(first: u64) -> Self {
        Self { next: first, pending: BTreeMap::new() }
    }

    /// Adds a request; returns false if there are too many.
    pub(super) fn add(&mut self, id: u64, request: Request, deadline: Instant) -> bool {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return false;
        }
        let digest = match &request {
            Request::Submit { text, .. } => ContentDigest::of(text.as_bytes()),
            _ => ContentDigest::default(),
        };
        self.pending.insert(self.next, PendingRequest { id, request, digest, deadline, sent: None });
        self.next += 1;
        true
    }

    /// Returns the requests to send to the leader now.
    pub(super) fn due(&mut self, now: Instant, leader: &InstanceId) -> Vec<(u64, Request)> {
        let mut due = Vec::new();
        for (number, pending) in &mut self.pending {
            let is_due = pending.sent.as_ref().is_none_or(|(to, again)| to != leader || now >= *again);
            if is_due {
                // 1 us per byte is the transmission time on a link with 8 Mbit/s, so that copies do not queue up.
                let length = match &pending.request {
                    Request::Submit { text, .. } => text.len() as u64,
                    _ => 0,
                };
                pending.sent = Some((leader.clone(), now + RETRY_INTERVAL + Duration::from_micros(length)));
                due.push((*number, pending.request.clone()));
            }
        }
        due
    }

    /// Removes the request that a reply belongs to; returns its id and the answer for the task.
    pub(super) fn record_reply(&mut self, number: u64, reply: Reply) -> Option<(u64, ReplicaAnswer)> {
        let pending = self.pending.remove(&number)?;
        let change = match &pending.request {
            Request::Submit { number, .. } => *number,
            Request::Depart { .. } | Request::Read | Request::Evacuate { .. } => 0,
        };
        Some((pending.id, answer(change, reply)))
    }

    /// Answers submissions from the local ledger, as every change applied there is committed. Departures are only
    /// answered by the leader, which waits until the other replicas know of them.
    pub(super) fn answer_from_ledger(&mut self, ledger: &Ledger) -> Vec<(u64, ReplicaAnswer)> {
        let mut answers = Vec::new();
        self.pending.retain(|_, pending| {
            let reply = match &pending.request {
                Request::Submit { number, .. } => ledger.resubmission_outcome(*number, pending.digest).map(Reply::from),
                Request::Depart { .. } | Request::Read | Request::Evacuate { .. } => None,
            };
            let change = match &pending.request {
                Request::Submit { number, .. } => *number,
                Request::Depart { .. } | Request::Read | Request::Evacuate { .. } => 0,
            };
            let is_pending = reply.is_none();
            answers.extend(reply.map(|reply| (pending.id, answer(change, reply))));
            is_pending
        });
        answers
    }

    /// Removes the requests that have timed out; returns their ids.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<u64> {
        let expired = self.pending.extract_if(.., |_, pending| now >= pending.deadline);
        expired.map(|(_, pending)| pending.id).collect()
    }
}

fn answer(change: ChangeNumber, reply: Reply) -> ReplicaAnswer {
    match reply {
        Reply::Departed | Reply::Evacuated => ReplicaAnswer::Acknowledged,
        Reply::Accepted(digest) => ReplicaAnswer::Accepted { number: change, digest },
        Reply::Conflict(winner) => ReplicaAnswer::Conflict { number: change, winner },
        Reply::Superseded(current) => ReplicaAnswer::Superseded { current },
        Reply::TooLong => ReplicaAnswer::TooLong,
        Reply::Current { number: 0, .. } => ReplicaAnswer::NoChange,
        Reply::Current { number, text } => ReplicaAnswer::Current { number, text },
        Reply::Unavailable => ReplicaAnswer::Unavailable,
    }
}

impl From<SubmitOutcome> for Reply {
    fn from(outcome: SubmitOutcome) -> Self {
        match outcome {
            SubmitOutcome::Accepted { digest } => Self::Accepted(digest),
            SubmitOutcome::Conflict { winner } => Self::Conflict(winner),
            SubmitOutcome::Superseded { current } => Self::Superseded(current),
        }
    }
}
