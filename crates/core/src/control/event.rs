//! What the control part is told.

use {
    super::PeerMessage,
    crate::{
        ids::InstanceId,
        ledger::{ClaimKey, ContentDigest, Holder, SettledOutcome},
        registry::Announcement,
    },
    std::time::Instant,
};

/// One thing that the control part is told.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed; expected each [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
    /// A message from another instance has arrived.
    Receive {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// An operator submits a text.
    Submit {
        /// Number that the answer repeats, unique within one run of the process.
        request: u64,
        /// The text.
        text: Box<str>,
    },
    /// A request with an idempotency key is to be sent.
    Claim {
        /// Number that the answer repeats, unique within one run of the process.
        request: u64,
        /// The key.
        key: ClaimKey,
        /// Digest of the request.
        request_digest: ContentDigest,
        /// Time at which the request is given up as not run.
        deadline: Instant,
    },
    /// A claimed request was answered.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The attempt that the claim's answer named.
        holder: Holder,
        /// The answer.
        outcome: SettledOutcome,
    },
    /// A claimed request was certainly not sent.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt that the claim's answer named.
        holder: Holder,
    },
    /// A server announced itself here.
    Announce(Announcement),
    /// Every write with a sequence up to this one is durable.
    Persisted {
        /// Sequence of the last durable write.
        up_to: u64,
    },
    /// The instance is about to stop: it reports itself as not ready and goes on with everything else.
    Drain,
    /// The instance stops: leadership is handed over, then `Stopped` follows.
    Stop,
}
