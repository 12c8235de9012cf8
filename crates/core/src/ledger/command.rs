//! Commands of the replicated state machine.

use {
    super::{ClaimKey, ContentDigest, Holder, SettledOutcome},
    crate::{
        config::MAX_CONFIG_BYTES,
        consensus::MAX_COMMAND_BYTES,
        errors::{Result, corrupt, limit},
        ids::{ChangeNumber, ServerId},
    },
    serde::{Deserialize, Serialize},
};

/// Version of the encoding, the first byte of each command.
const VERSION: u8 = 1;

/// Longest text that can be submitted. A command has room for the longest text.
pub const MAX_SUBMIT_BYTES: usize = MAX_CONFIG_BYTES;

/// One command of the replicated state machine. `at` is the time of the leader in milliseconds; it
/// continues from the time of the last command when leadership changes and never falls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing but the time. Its outcome names the current change, so that an entry which started
    /// after this was proposed learns every change accepted before.
    Noop {
        /// Time of the leader.
        at: u64,
    },
    /// Proposes a change of the operators' text.
    Submit {
        /// Number of the change.
        number: ChangeNumber,
        /// The checked text.
        text: Box<str>,
    },
    /// Claims an idempotency key for one attempt.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        holder: Holder,
        /// Digest of the request.
        request_digest: ContentDigest,
        /// Time for which the claim is kept.
        retention_ms: u64,
        /// Time of the leader.
        at: u64,
    },
    /// Records the answer to a claimed request.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        holder: Holder,
        /// The answer.
        outcome: SettledOutcome,
        /// Time of the leader.
        at: u64,
    },
    /// Gives up an attempt whose request was not sent.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        holder: Holder,
        /// Time of the leader.
        at: u64,
    },
    /// Records that an incarnation of a server takes no new work. Its time is the wall clock of a replica and
    /// has no effect on claims.
    Depart {
        /// The server.
        server: ServerId,
        /// Time of its start in Unix milliseconds; none for every incarnation that started before `at`.
        incarnation: Option<u64>,
        /// Wall clock in Unix milliseconds.
        at: u64,
    },
}

impl Command {
    /// Encodes the command.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![VERSION]).map_err(|e| corrupt(e.to_string()))?;
        if bytes.len() > MAX_COMMAND_BYTES {
            return Err(limit("command is longer than one message"));
        }
        Ok(bytes)
    }

    /// Decodes a command.
    ///
    /// ```
    /// use hemlockford_core::ledger::Command;
    /// let command = Command::Noop { at: 7 };
    /// assert_eq!(Command::decode(&command.encode().unwrap()).unwrap(), command);
    /// assert!(Command::decode(&[9]).is_err());
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        match bytes.split_first() {
            Some((&VERSION, body)) => postcard::from_bytes(body).map_err(|e| corrupt(e.to_string())),
            _ => Err(corrupt("command of an unknown version")),
        }
    }

    /// Returns the digest of a submitted text.
    pub fn digest(&self) -> Option<ContentDigest> {
        match self {
            Self::Submit { text, .. } => Some(ContentDigest::of(text.as_bytes())),
            _ => None,
        }
    }
}
