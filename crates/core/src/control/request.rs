//! Requests that instances forward to the leader.

use {
    crate::{
        ids::{ChangeNumber, Incarnation, InstanceId},
        ledger::{ClaimKey, ContentDigest, Holder, LedgerOutcome, SettledOutcome},
    },
    derive_more::Debug,
    serde::{Deserialize, Serialize},
};

/// Identifier of one forwarded message. Every resend of a request gets a new one, so that the receiver can drop
/// duplicates and a delayed reply is never matched to another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the requesting instance.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

/// A request to the leader, which adds the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Queries the highest accepted change.
    Current,
    /// Submits a validated configuration.
    Submit {
        /// Number of the change.
        number: ChangeNumber,
        /// Source text of the configuration.
        #[debug("{} bytes", text.len())]
        text: Box<str>,
    },
    /// Claims a key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        holder: Holder,
        /// Digest of the request.
        request_digest: ContentDigest,
    },
    /// Records the response to a claimed request.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        holder: Holder,
        /// The response.
        outcome: SettledOutcome,
    },
    /// Abandons an attempt.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        holder: Holder,
    },
}

/// Reply of the presumed leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request was rejected because this instance is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The request was rejected because a limit was reached.
    Refused,
    /// The request was accepted, but its outcome is unknown.
    Unknown,
    /// The request was committed with this result.
    Outcome(LedgerOutcome),
    /// The submitted change has reached the install quorum.
    Accepted {
        /// Digest of the configuration.
        digest: ContentDigest,
        /// Whether all live instances have installed it.
        everywhere: bool,
    },
}
