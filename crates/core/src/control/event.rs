//! Events that the control plane handles.

use {
    super::PeerMessage,
    crate::{
        ids::InstanceId,
        ledger::{ClaimKey, ContentDigest, Holder, SettledOutcome},
        registry::Announcement,
    },
    derive_more::Debug,
    std::time::Instant,
};

/// An event that the control plane handles.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed; expected every [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
    /// A message from another instance has arrived.
    Receive {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// An operator submits a configuration.
    Submit {
        /// Identifier that the answer repeats, unique within one run of the process.
        request: u64,
        /// Source text of the configuration.
        #[debug("{} bytes", text.len())]
        text: Box<str>,
    },
    /// A request with an idempotency key is to be sent.
    Claim {
        /// Identifier that the answer repeats, unique within one run of the process.
        request: u64,
        /// The key.
        key: ClaimKey,
        /// Digest of the request.
        request_digest: ContentDigest,
        /// Time after which the request is abandoned without being sent.
        deadline: Instant,
    },
    /// A claimed request was answered by a server.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The attempt that the claim was granted to.
        holder: Holder,
        /// The recorded response.
        outcome: SettledOutcome,
    },
    /// A claimed request was definitely not sent.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt that the claim was granted to.
        holder: Holder,
    },
    /// A server announced itself to this instance.
    Announce(Announcement),
    /// All writes up to this sequence number are durable.
    Persisted {
        /// Sequence number of the last durable write.
        up_to: u64,
    },
    /// The instance is about to stop: it reports itself as not ready and otherwise continues.
    Drain,
    /// The instance stops: leadership is transferred, then the action `Stopped` follows.
    Stop,
}
