//! Requests that instances forward to the leader.

use {
    crate::{
        ids::{ChangeNumber, Incarnation, InstanceId},
        ledger::{ClaimKey, ContentDigest, Holder, LedgerOutcome, SettledOutcome},
    },
    serde::{Deserialize, Serialize},
};

/// Number of one forwarded message. Each repetition of a request gets a new one, so that the receiver can
/// drop duplicates and a late answer never meets another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the instance that asks.
    pub incarnation: Incarnation,
    /// Number within the incarnation.
    pub sequence: u64,
}

/// A request to the leader. The leader adds the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for the highest accepted change.
    Current,
    /// Submits a checked text.
    Submit {
        /// Its number.
        number: ChangeNumber,
        /// The text.
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
    /// Records an answer.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        holder: Holder,
        /// The answer.
        outcome: SettledOutcome,
    },
    /// Gives up an attempt.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        holder: Holder,
    },
}

/// Answer of the instance that was taken for the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request was not taken, because this instance does not lead.
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The request was not taken, because a limit was reached.
    Refused,
    /// The request was taken, but it is not known what became of it.
    Unknown,
    /// The request was committed with this result.
    Outcome(LedgerOutcome),
    /// The submitted change is held by the install quorum.
    Accepted {
        /// Digest of its text.
        digest: ContentDigest,
        /// Whether it is in force on every live entry.
        everywhere: bool,
    },
}
