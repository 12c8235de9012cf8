//! Commands of the replicated state machine.

use {
    super::{ClaimKey, ContentDigest, Holder, SettledOutcome},
    crate::{
        config::MAX_CONFIG_BYTES,
        consensus::MAX_COMMAND_BYTES,
        errors::{Result, corrupt, limit},
        ids::{ChangeNumber, DataCentreId, ServerId},
    },
    derive_more::Debug,
    serde::{Deserialize, Serialize},
};

/// Version of the encoding, stored in the first byte of each command.
pub const COMMAND_VERSION: u8 = 1;

/// Maximum size of a submitted configuration, in bytes. The largest configuration fits into a command.
pub const MAX_SUBMIT_BYTES: usize = MAX_CONFIG_BYTES;

/// A command of the replicated state machine. `at` is the ledger time in milliseconds, assigned by the leader. It
/// continues from the last command when the leader changes and never decreases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Advances the ledger time only. The outcome contains the current change, so that an instance which started
    /// after the proposal learns of every change that was accepted before.
    Noop {
        /// Ledger time.
        at: u64,
    },
    /// Submits a configuration change.
    Submit {
        /// Number of the change.
        number: ChangeNumber,
        /// The validated configuration.
        #[debug("{} bytes", text.len())]
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
        /// Retention of the claim, in milliseconds.
        retention_ms: u64,
        /// Ledger time.
        at: u64,
    },
    /// Records the response to a claimed request.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        holder: Holder,
        /// The response.
        outcome: SettledOutcome,
        /// Ledger time.
        at: u64,
    },
    /// Abandons an attempt whose request was not sent.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        holder: Holder,
        /// Ledger time.
        at: u64,
    },
    /// Records that an incarnation of a server accepts no more work. Its time is the wall clock of a replica and does
    /// not affect claims.
    Depart {
        /// The server.
        server: ServerId,
        /// Start time of the incarnation in Unix milliseconds; `None` for all incarnations that started before `at`.
        incarnation: Option<u64>,
        /// Wall-clock time in Unix milliseconds.
        at: u64,
    },
    /// Records whether the servers of a data centre get calls. Its time is the wall clock of a replica and does not
    /// affect claims.
    Evacuate {
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether its servers get no calls from now on.
        is_active: bool,
        /// Wall-clock time in Unix milliseconds.
        at: u64,
    },
}

impl Command {
    /// Encodes the command.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![COMMAND_VERSION]).map_err(|e| corrupt(e.to_string()))?;
        if bytes.len() > MAX_COMMAND_BYTES {
            return Err(limit("command exceeds the maximum size"));
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
            Some((&COMMAND_VERSION, body)) => postcard::from_bytes(body).map_err(|e| corrupt(e.to_string())),
            _ => Err(corrupt("unknown command version")),
        }
    }

    /// Returns the digest of a submitted configuration.
    pub fn digest(&self) -> Option<ContentDigest> {
        match self {
            Self::Submit { text, .. } => Some(ContentDigest::of(text.as_bytes())),
            _ => None,
        }
    }
}
