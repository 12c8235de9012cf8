//! Answers to the requests of a replica's task.

use crate::{config::ConfigError, ids::ChangeNumber, ledger::ContentDigest};

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAnswer {
    /// The announcement was taken, or the departure is committed.
    Acknowledged,
    /// The change is committed.
    Accepted {
        /// Its number.
        number: ChangeNumber,
        /// Digest of its text.
        digest: ContentDigest,
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
    /// The text, or the announcement (then without any fault of a text), is invalid.
    Invalid(Vec<ConfigError>),
    /// The text is longer than [`MAX_SUBMIT_BYTES`](crate::ledger::MAX_SUBMIT_BYTES).
    TooLong,
    /// The newest change.
    Current {
        /// Its number.
        number: ChangeNumber,
        /// Its text.
        text: Box<str>,
    },
    /// No change was accepted yet.
    NoChange,
    /// No clear answer could be had in time. A change or departure may yet be committed.
    Unavailable,
}
