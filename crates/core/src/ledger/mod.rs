//! The replicated state machine: configuration changes, claims of idempotency keys, departures of servers and
//! evacuations of data centres.
//!
//! Commands are applied in log order and have the same result on every replica. The time advances only through
//! commands.

mod changes;
mod claim;
mod claims;
mod command;
mod departures;
mod digest;
mod evacuations;
mod machine;
mod outcome;
mod releases;

/// Reason for which a replica stops at a command that it cannot read. Only a later version can have proposed it.
pub const UNREADABLE_COMMAND: &str =
    "a command in the log cannot be read by this version; start a later version on this data folder";

pub use {
    changes::MAX_CHANGE_DIGESTS,
    claim::{ClaimKey, Holder, MAX_RECORDED_BODY_BYTES, SettledOutcome},
    claims::{MAX_CLAIMS, MIN_RETENTION_MS},
    command::{COMMAND_VERSION, Command, MAX_SUBMIT_BYTES},
    departures::MAX_DEPARTURES,
    digest::ContentDigest,
    evacuations::{Evacuation, MAX_EVACUATIONS},
    machine::Ledger,
    outcome::{ClaimOutcome, LedgerOutcome, ReleaseOutcome, SettleOutcome, SubmitOutcome},
};
