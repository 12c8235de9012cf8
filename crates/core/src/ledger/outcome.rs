//! Results of commands.

use {
    super::{ContentDigest, SettledOutcome},
    crate::ids::ChangeNumber,
    serde::{Deserialize, Serialize},
};

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerOutcome {
    /// The command was applied before.
    AlreadyApplied,
    /// The command cannot be decoded; it has no effect.
    Malformed,
    /// Result of `Noop`: the highest accepted change; 0 before the first.
    Current(ChangeNumber),
    /// Result of `Submit`.
    Submit(SubmitOutcome),
    /// Result of `Claim`.
    Claim(ClaimOutcome),
    /// Result of `Settle`.
    Settle(SettleOutcome),
    /// Result of `Release`.
    Release(ReleaseOutcome),
    /// Result of `Depart`: the last incarnation of the server that is recorded as departed.
    Departed(u64),
    /// Result of `Evacuate`: whether the data centre is in the ordered state. It is not if an evacuation begins while
    /// the maximum number of data centres is evacuated.
    Evacuated(bool),
}

/// Result of submitting a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// This configuration is accepted under the number. A repeated submission gets the same answer.
    Accepted {
        /// Digest of the configuration.
        digest: ContentDigest,
    },
    /// A different configuration was accepted under the number.
    Conflict {
        /// Digest of the accepted configuration.
        winner: ContentDigest,
    },
    /// The number is below the current one and there is no record that it was accepted.
    Superseded {
        /// Number of the current change.
        current: ChangeNumber,
    },
}

/// Result of claiming a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The attempt holds the key.
    Granted,
    /// The request was already answered.
    Settled(SettledOutcome),
    /// Another attempt holds the key, and its outcome is unknown.
    InDoubt,
    /// The key was used for a different request.
    KeyReused,
    /// The attempt was released and can no longer claim a key.
    Released,
    /// The maximum number of claims is reached.
    Full,
    /// The key is empty or too long.
    Invalid,
}

/// Result of recording a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleOutcome {
    /// The response is recorded, by this command or an earlier one.
    Recorded,
    /// The attempt does not hold the key.
    NotHeld,
}

/// Result of releasing an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// The attempt does not hold the key and never will.
    Released,
    /// The response to the attempt was recorded, so it is not released.
    Settled,
}
