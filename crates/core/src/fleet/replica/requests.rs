//! Requests of this replica's task that the leader answers.

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

/// Time after which an unanswered request is sent again.
const REPEAT_AFTER: Duration = Duration::from_millis(300);
/// Most requests that wait for an answer.
const MAX_WAITING: usize = 1_024;

/// A request that waits for the answer of the leader.
#[derive(Clone, Debug)]
struct Waiting {
    /// Number that the task gave.
    id: u64,
    request: Request,
    digest: ContentDigest,
    until: Instant,
    /// Leader that the request was sent to last, and when it is sent again.
    sent: Option<(InstanceId, Instant)>,
}

/// Requests that wait for the answer of the leader.
#[derive(Debug)]
pub(super) struct Requests {
    /// Number of the next request. The first one differs between incarnations, so that a late reply to an
    /// earlier process matches nothing.
    next: u64,
    waiting: BTreeMap<u64, Waiting>,
}

impl Requests {
    pub(super) fn new(first: u64) -> Self {
        Self { next: first, waiting: BTreeMap::new() }
    }

    /// Takes a request; returns whether there is room for it.
    pub(super) fn add(&mut self, id: u64, request: Request, until: Instant) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        let digest = match &request {
            Request::Submit { text, .. } => ContentDigest::of(text.as_bytes()),
            _ => ContentDigest::default(),
        };
        self.waiting.insert(self.next, Waiting { id, request, digest, until, sent: None });
        self.next += 1;
        true
    }

    /// Requests to send to the leader now.
    pub(super) fn due(&mut self, now: Instant, leader: &InstanceId) -> Vec<(u64, Request)> {
        let mut due = Vec::new();
        for (number, waiting) in &mut self.waiting {
            let is_due = waiting.sent.as_ref().is_none_or(|(to, again)| to != leader || now >= *again);
            if is_due {
                // 1 us per byte, the time of a long text on a link with 8 Mbit/s, keeps copies from queueing.
                let length = match &waiting.request {
                    Request::Submit { text, .. } => text.len() as u64,
                    _ => 0,
                };
                waiting.sent = Some((leader.clone(), now + REPEAT_AFTER + Duration::from_micros(length)));
                due.push((*number, waiting.request.clone()));
            }
        }
        due
    }

    /// Takes the answer of the leader; returns what to answer the task.
    pub(super) fn replied(&mut self, number: u64, reply: Reply) -> Option<(u64, ReplicaAnswer)> {
        let waiting = self.waiting.remove(&number)?;
        let change = match &waiting.request {
            Request::Submit { number, .. } => *number,
            Request::Depart { .. } | Request::Read => 0,
        };
        Some((waiting.id, answer(change, reply)))
    }

    /// Answers to submissions that the ledger of this replica gives by itself: what it has applied is committed.
    /// A departure is answered by the leader only, which waits for the other replicas to learn of it.
    pub(super) fn applied(&mut self, ledger: &Ledger) -> Vec<(u64, ReplicaAnswer)> {
        let mut answers = Vec::new();
        self.waiting.retain(|_, waiting| {
            let reply = match &waiting.request {
                Request::Submit { number, .. } => ledger.resubmission_outcome(*number, waiting.digest).map(Reply::from),
                Request::Depart { .. } | Request::Read => None,
            };
            let change = match &waiting.request {
                Request::Submit { number, .. } => *number,
                Request::Depart { .. } | Request::Read => 0,
            };
            let is_waiting = reply.is_none();
            answers.extend(reply.map(|reply| (waiting.id, answer(change, reply))));
            is_waiting
        });
        answers
    }

    /// Requests that have waited too long.
    pub(super) fn expired(&mut self, now: Instant) -> Vec<u64> {
        let expired = self.waiting.extract_if(.., |_, waiting| now >= waiting.until);
        expired.map(|(_, waiting)| waiting.id).collect()
    }
}

fn answer(change: ChangeNumber, reply: Reply) -> ReplicaAnswer {
    match reply {
        Reply::Departed => ReplicaAnswer::Acknowledged,
        Reply::Accepted(digest) => ReplicaAnswer::Accepted { number: change, digest },
        Reply::Conflict(winner) => ReplicaAnswer::Conflict { number: change, winner },
        Reply::Superseded(current) => ReplicaAnswer::Superseded { current },
        Reply::TooLong => ReplicaAnswer::TooLong,
        Reply::Current { number: 0, .. } => ReplicaAnswer::NoChange,
        Reply::Current { number, text } => ReplicaAnswer::Current { number, text },
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
