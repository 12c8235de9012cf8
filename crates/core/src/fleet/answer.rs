//! Answers to requests that a replica received from its task.

use {
    super::RecordError,
    crate::{
        config::{CheckedConfig, ConfigError},
        ids::{ChangeNumber, DataCentreId, LogIndex},
        ledger::{ContentDigest, MAX_SUBMIT_BYTES},
    },
    derive_more::Debug,
};

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAnswer {
    /// The announcement was accepted, or the departure or the order for a data centre is committed, or it concerns a server that no machine can use.
    Acknowledged,
    /// The change is committed.
    Accepted {
        /// Number of the change.
        number: ChangeNumber,
        /// Digest of the configuration text.
        digest: ContentDigest,
    },
    /// A different change was accepted with this number.
    Conflict {
        /// Number of the change.
        number: ChangeNumber,
        /// Digest of the accepted configuration text.
        winner: ContentDigest,
    },
    /// The number is below the current one and is not known to have been accepted.
    Superseded {
        /// The current number.
        current: ChangeNumber,
    },
    /// The configuration is invalid.
    Invalid(Vec<ConfigError>),
    /// The announcement is invalid.
    InvalidAnnouncement(RecordError),
    /// The configuration is longer than [`MAX_SUBMIT_BYTES`](crate::ledger::MAX_SUBMIT_BYTES).
    TooLong,
    /// The newest change.
    Current {
        /// Number of the change.
        number: ChangeNumber,
        /// Configuration text.
        #[debug("{} bytes", text.len())]
        text: Box<str>,
    },
    /// No change has been accepted yet.
    NoChange,
    /// The data centre of an order is not one of those in the settings, or its name has no permitted length.
    UnknownDataCentre,
    /// The announced departure is of a service that the configuration does not name, as far as this replica knows.
    /// Nothing is recorded.
    UnknownService,
    /// The order may be outdated. Its sender is asked to send it again with the index.
    Redirected {
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether its servers get no calls.
        is_active: bool,
        /// Index of the last order for the data centre; 0 if there is none.
        known: LogIndex,
    },
    /// The result is not known in time. A change or departure may still be committed later.
    Unavailable,
}

/// Checks a text before it is submitted to a replica. Returns the answer to one that cannot be submitted.
///
/// ```
/// use hemlockford_core::fleet::{ReplicaAnswer, check_submission};
/// assert!(check_submission("[change]\nnumber = 7\n".into()).is_ok());
/// assert!(matches!(check_submission("[change]\n".into()), Err(ReplicaAnswer::Invalid(errors)) if errors.len() == 1));
/// assert_eq!(check_submission(" ".repeat(2 << 20).into()), Err(ReplicaAnswer::TooLong));
/// ```
pub fn check_submission(text: Box<str>) -> Result<CheckedConfig, ReplicaAnswer> {
    if text.len() > MAX_SUBMIT_BYTES {
        return Err(ReplicaAnswer::TooLong);
    }
    CheckedConfig::parse(text).map_err(ReplicaAnswer::Invalid)
}
