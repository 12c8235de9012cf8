//! Messages between HTTP workers and the task that records claims of idempotency keys.

use {
    bytes::Bytes,
    hemlockford_core::ids::{CustomerId, ServiceId},
    hemlockford_net::BootClock,
    std::time::{Duration, Instant},
    tokio::sync::{mpsc, oneshot},
};

/// Time after its proposal within which a claim permits sending the request. A holder that was suspended for longer
/// must not send, as its claim may have been given up meanwhile.
const CLAIM_VALIDITY: Duration = Duration::from_secs(10);

/// Maximum size of a body that is recorded with the outcome of a claimed request, in bytes.
pub const RECORDED_BODY_LIMIT: usize = 4_096;

/// Identifies one holder of a claim; assigned by the task that records claims.
pub type ClaimTicket = u64;

/// A claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Service that is called.
    pub service: ServiceId,
    /// Customer to whom the key belongs.
    pub customer: CustomerId,
    /// The key.
    pub key: Box<str>,
    /// Digest of method, target and body (or length only, if the body is large).
    pub request_digest: u128,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is recorded; the request may be sent once.
    Granted {
        /// Identifies the holder.
        ticket: ClaimTicket,
    },
    /// An earlier copy of the request was answered.
    Replay {
        /// Status of the response.
        status: u16,
        /// Content type of the response.
        content_type: Option<Box<str>>,
        /// Body of the response, unless it was too large to be recorded.
        body: Option<Bytes>,
    },
    /// An earlier copy of the request may have run, and its outcome is not known.
    InDoubt,
    /// The key belongs to a different request.
    KeyReused,
    /// It is not certain that the claim can be recorded.
    Unavailable,
}

/// A message to the task that records claims.
#[derive(Debug)]
pub enum ClaimMessage {
    /// Records a claim. A worker that no longer needs a granted claim releases it.
    Claim(Claim, oneshot::Sender<ClaimDecision>),
    /// The complete response to the request was received.
    Settle {
        /// Identifies the holder.
        ticket: ClaimTicket,
        /// Status of the response.
        status: u16,
        /// Content type of the response.
        content_type: Option<Box<str>>,
        /// Body of the response, if it has at most [`RECORDED_BODY_LIMIT`] bytes.
        body: Option<Bytes>,
    },
    /// The request is known not to have run.
    Release {
        /// Identifies the holder.
        ticket: ClaimTicket,
    },
}

/// A granted claim held by a call. It stays held, in doubt, unless it is settled or released.
#[derive(Debug)]
pub(crate) struct HeldClaim {
    tx: mpsc::UnboundedSender<ClaimMessage>,
    ticket: ClaimTicket,
    proposed_at: Instant,
}

impl HeldClaim {
    /// Returns whether the claim still permits sending the request.
    pub(crate) fn is_valid(&self) -> bool {
        BootClock::now().saturating_duration_since(self.proposed_at) < CLAIM_VALIDITY
    }

    pub(crate) fn settle(self, status: u16, content_type: Option<Box<str>>, body: Option<Bytes>) {
        // Without a receiver the claim stays in doubt, which reflects what is known.
        let _ = self.tx.send(ClaimMessage::Settle { ticket: self.ticket, status, content_type, body });
    }

    pub(crate) fn release(self) {
        let _ = self.tx.send(ClaimMessage::Release { ticket: self.ticket });
    }
}

/// A requested claim. A grant that arrives after it was dropped is released.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    tx: mpsc::UnboundedSender<ClaimMessage>,
    rx: Option<oneshot::Receiver<ClaimDecision>>,
    proposed_at: Instant,
}

/// Result of requesting a claim.
#[derive(Debug)]
pub(crate) enum Claimed {
    Held(HeldClaim),
    Refused(ClaimDecision),
}

impl PendingClaim {
    pub(crate) fn request(tx: &mpsc::UnboundedSender<ClaimMessage>, claim: Claim) -> Self {
        let (reply, rx) = oneshot::channel();
        let proposed_at = BootClock::now();
        // A failure to send drops `reply`, which the receiver treats as unavailable.
        let _ = tx.send(ClaimMessage::Claim(claim, reply));
        Self { tx: tx.clone(), rx: Some(rx), proposed_at }
    }

    pub(crate) async fn wait(&mut self) -> Claimed {
        let Some(rx) = &mut self.rx else { return Claimed::Refused(ClaimDecision::Unavailable) };
        let decision = rx.await.unwrap_or(ClaimDecision::Unavailable);
        self.rx = None;
        match decision {
            ClaimDecision::Granted { ticket } => {
                Claimed::Held(HeldClaim { tx: self.tx.clone(), ticket, proposed_at: self.proposed_at })
            }
            refused => Claimed::Refused(refused),
        }
    }
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        let Some(rx) = self.rx.take() else { return };
        let tx = self.tx.clone();
        actix_rt::spawn(async move {
            if let Ok(ClaimDecision::Granted { ticket }) = rx.await {
                let _ = tx.send(ClaimMessage::Release { ticket });
            }
        });
    }
}
