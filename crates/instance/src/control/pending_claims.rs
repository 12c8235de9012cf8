//! PendingClaims of idempotency keys between the HTTP workers and the replicated log.

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

/// Time after which a claim that could not be recorded is given up. An election takes about 1.2 s.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

struct PendingClaim {
    key: ClaimKey,
    reply: oneshot::Sender<ClaimDecision>,
}

/// PendingClaims that were asked for, and those that are held.
#[derive(Default)]
pub(crate) struct PendingClaims {
    next: u64,
    asked: FastMap<u64, PendingClaim>,
    held: FastMap<ClaimTicket, (ClaimKey, Holder)>,
}

impl PendingClaims {
    /// Turns a worker's message into an event; `None` where nothing is to be done.
    pub(crate) fn take(&mut self, now: Instant, message: ClaimMessage) -> Option<ControlEvent> {
        match message {
            ClaimMessage::Claim(claim, reply) => {
                self.next += 1;
                let key = ClaimKey { service: claim.service, customer: claim.customer, key: claim.key };
                let request_digest = ContentDigest::of(&claim.request_digest.to_le_bytes());
                self.asked.insert(self.next, PendingClaim { key: key.clone(), reply });
                Some(ControlEvent::Claim { request: self.next, key, request_digest, deadline: now + CLAIM_TIMEOUT })
            }
            ClaimMessage::Settle { ticket, status, content_type, body } => {
                let (key, holder) = self.held.remove(&ticket)?;
                let outcome = SettledOutcome::new(status, content_type, body.as_deref());
                Some(ControlEvent::Settle { key, holder, outcome })
            }
            ClaimMessage::Release { ticket } => {
                let (key, holder) = self.held.remove(&ticket)?;
                Some(ControlEvent::Release { key, holder })
            }
        }
    }

    /// Passes an answer on to the worker that asked. Returns the name under which it is counted, and the
    /// release of a granted claim that nobody waits for.
    pub(crate) fn answer(&mut self, request: u64, answer: ClaimAnswer) -> (&'static str, Option<ControlEvent>) {
        let Some(PendingClaim { key, reply }) = self.asked.remove(&request) else { return ("unasked", None) };
        let (name, decision) = match answer {
            ClaimAnswer::Granted { holder, .. } => {
                self.held.insert(request, (key.clone(), holder.clone()));
                if reply.send(ClaimDecision::Granted { ticket: request }).is_err() {
                    self.held.remove(&request);
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
        // A worker that no longer waits needs no answer.
        let _ = reply.send(decision);
        (name, None)
    }
}
