//! Claims of idempotency keys, between the HTTP workers and the replicated log.

use {
    hemlockford_core::{
        collections::FastMap,
        control::{ClaimAnswer, ControlEvent},
        ledger::{ClaimKey, ContentDigest, Holder, SettledOutcome},
    },
    hemlockford_proxy::{ClaimDecision, ClaimMessage, ClaimTicket},
    std::time::{Duration, Instant},
    tokio::sync::oneshot,
};

/// Timeout for recording a claim. It is longer than an election, which takes about 1.2 s.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// A claim that waits for its result.
struct PendingClaim {
    key: ClaimKey,
    reply: oneshot::Sender<ClaimDecision>,
}

/// Claims that wait for their result, and granted claims that are neither settled nor released.
#[derive(Default)]
pub(crate) struct PendingClaims {
    last_request: u64,
    pending: FastMap<u64, PendingClaim>,
    granted: FastMap<ClaimTicket, (ClaimKey, Holder)>,
}

impl PendingClaims {
    /// Converts a worker's message to an event; returns `None` if the ticket is not known any more.
    pub(crate) fn handle_message(&mut self, now: Instant, message: ClaimMessage) -> Option<ControlEvent> {
        match message {
            ClaimMessage::Claim(claim, reply) => {
                self.last_request += 1;
                let key = ClaimKey { service: claim.service, customer: claim.customer, key: claim.key };
                let request_digest = ContentDigest::of(&claim.request_digest.to_le_bytes());
                self.pending.insert(self.last_request, PendingClaim { key: key.clone(), reply });
                Some(ControlEvent::Claim {
                    request: self.last_request,
                    key,
                    request_digest,
                    deadline: now + CLAIM_TIMEOUT,
                })
            }
            ClaimMessage::Settle { ticket, status, content_type, body } => {
                let (key, holder) = self.granted.remove(&ticket)?;
                let outcome = SettledOutcome::new(status, content_type, body.as_deref());
                Some(ControlEvent::Settle { key, holder, outcome })
            }
            ClaimMessage::Release { ticket } => {
                let (key, holder) = self.granted.remove(&ticket)?;
                Some(ControlEvent::Release { key, holder })
            }
        }
    }

    /// Passes the result of a claim to the worker. Returns the label under which the result is counted, and the event
    /// that releases a granted claim if the worker no longer waits for it.
    pub(crate) fn complete(&mut self, request: u64, answer: ClaimAnswer) -> (&'static str, Option<ControlEvent>) {
        let Some(PendingClaim { key, reply }) = self.pending.remove(&request) else { return ("unasked", None) };
        let (name, decision) = match answer {
            ClaimAnswer::Granted { holder, .. } => {
                self.granted.insert(request, (key.clone(), holder.clone()));
                if reply.send(ClaimDecision::Granted { ticket: request }).is_err() {
                    self.granted.remove(&request);
                    return ("abandoned", Some(ControlEvent::Release { key, holder }));
                }
                return ("granted", None);
            }
            ClaimAnswer::Settled(outcome) => {
                let body = (!outcome.is_truncated).then(|| outcome.body.to_vec().into());
                let SettledOutcome { status, content_type, .. } = outcome;
                ("replayed", ClaimDecision::Replay { status, content_type, body })
            }
            ClaimAnswer::InDoubt => ("in-doubt", ClaimDecision::InDoubt),
            ClaimAnswer::KeyReused | ClaimAnswer::Invalid => ("key-reused", ClaimDecision::KeyReused),
            ClaimAnswer::NotRecorded => ("not-recorded", ClaimDecision::Unavailable),
        };
        // The worker may have dropped the call.
        let _ = reply.send(decision);
        (name, None)
    }
}
