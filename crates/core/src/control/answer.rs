//! Answers to requests of this instance.

use {
    crate::{
        config::ConfigError,
        ids::ChangeNumber,
        ledger::{ContentDigest, Holder, SettledOutcome},
    },
    std::time::Instant,
};

/// An answer to a request of this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Answer to a submission.
    Submit {
        /// Identifier of the request.
        request: u64,
        /// The result.
        answer: SubmitAnswer,
    },
    /// Answer to a claim.
    Claim {
        /// Identifier of the request.
        request: u64,
        /// The result.
        answer: ClaimAnswer,
    },
}

/// Result of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// The configuration contains errors.
    Invalid(Vec<ConfigError>),
    /// The configuration is longer than [`MAX_SUBMIT_BYTES`](crate::ledger::MAX_SUBMIT_BYTES).
    TooLong,
    /// The change is accepted: it is durable, and a quorum of instances has installed it or a newer one.
    Accepted {
        /// Number of the change.
        number: ChangeNumber,
        /// Digest of the configuration.
        digest: ContentDigest,
        /// Whether all live instances have installed it.
        everywhere: bool,
    },
    /// A different configuration was accepted under this number.
    Conflict {
        /// Number of the change.
        number: ChangeNumber,
        /// Digest of the accepted configuration.
        winner: ContentDigest,
    },
    /// The number is below the current one and no record exists that it was accepted.
    Superseded {
        /// Number of the current change.
        current: ChangeNumber,
    },
    /// The change was not accepted and will not be.
    NotAccepted,
    /// It is unknown whether the change was accepted; the same configuration may be submitted again.
    Unknown,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request may be sent.
    Granted {
        /// The attempt, which `Settle` and `Release` refer to.
        holder: Holder,
        /// The request must not be sent at or after this time, which has to be checked when it is sent.
        send_before: Instant,
    },
    /// The request was answered before.
    Settled(SettledOutcome),
    /// Another attempt holds the key, and its outcome is unknown.
    InDoubt,
    /// The key was used for a different request.
    KeyReused,
    /// The key is empty or too long.
    Invalid,
    /// The claim may not have been recorded; the request must not be sent.
    NotRecorded,
}
