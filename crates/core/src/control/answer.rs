//! Answers to the instance's own requests.

use {
    crate::{
        config::ConfigError,
        ids::ChangeNumber,
        ledger::{ContentDigest, Holder, SettledOutcome},
    },
    std::time::Instant,
};

/// Answer to a request of the instance itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Answer to a submission.
    Submit {
        /// Number of the request.
        request: u64,
        /// What became of it.
        answer: SubmitAnswer,
    },
    /// Answer to a claim.
    Claim {
        /// Number of the request.
        request: u64,
        /// What became of it.
        answer: ClaimAnswer,
    },
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// The text has faults.
    Invalid(Vec<ConfigError>),
    /// The text is longer than [`MAX_SUBMIT_BYTES`](crate::ledger::MAX_SUBMIT_BYTES).
    TooLong,
    /// The change is accepted: it is durable, and a quorum of entries has installed it or a newer one.
    Accepted {
        /// Its number.
        number: ChangeNumber,
        /// Digest of its text.
        digest: ContentDigest,
        /// Whether it is in force on every live entry.
        everywhere: bool,
    },
    /// Another text holds the number.
    Conflict {
        /// The number.
        number: ChangeNumber,
        /// Digest of the text that holds it.
        winner: ContentDigest,
    },
    /// The number is below the current one and was not accepted before, as far as is remembered.
    Superseded {
        /// The current number.
        current: ChangeNumber,
    },
    /// The change was certainly not accepted and will not be.
    NotAccepted,
    /// It is not known whether the change is accepted; the same text may be submitted again.
    Unknown,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request may be sent.
    Granted {
        /// The attempt, to be named in `Settle` or `Release`.
        holder: Holder,
        /// The request may be sent only before this time, to be compared at the time of sending.
        send_before: Instant,
    },
    /// The request was answered before.
    Settled(SettledOutcome),
    /// Another attempt holds the key, and its answer is not known.
    InDoubt,
    /// The key was used for a different request.
    KeyReused,
    /// The key is empty or too long.
    Invalid,
    /// The claim could not be recorded for certain; the request is not sent.
    NotRecorded,
}
