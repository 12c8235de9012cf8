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
    /// The command cannot be read; it changes nothing.
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
}

/// Result of submitting a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// This text holds the number. A repeated submission gets the same answer.
    Accepted {
        /// Digest of the text.
        digest: ContentDigest,
    },
    /// Another text holds the number.
    Conflict {
        /// Digest of the text that holds it.
        winner: ContentDigest,
    },
    /// The number is below the current one and is not known to have been accepted.
    Superseded {
        /// The current number.
        current: ChangeNumber,
    },
}

/// Result of claiming a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The attempt holds the key.
    Granted,
    /// The request was answered before.
    Settled(SettledOutcome),
    /// Another attempt holds the key, and its answer is not known.
    InDoubt,
    /// The key was used for a different request.
    KeyReused,
    /// The attempt was released and never claims.
    Released,
    /// As many claims are held as are permitted.
    Full,
    /// The key is empty or too long.
    Invalid,
}

/// Result of recording an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleOutcome {
    /// The answer is recorded, now or before.
    Recorded,
    /// The attempt does not hold the key.
    NotHeld,
}

/// Result of giving up an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// The attempt does not hold the key and never will.
    Released,
    /// The attempt's answer was recorded, so it is not given up.
    Settled,
}
