//! The replicated state machine: changes of the operators' text, claims of idempotency keys and
//! departures of servers.
//!
//! Commands are applied in the order of the replicated log and give the same result on every replica. Time
//! comes only with the commands.

mod changes;
mod claim;
mod claims;
mod command;
mod departures;
mod digest;
mod machine;
mod outcome;
mod releases;

pub use {
    changes::MAX_CHANGE_DIGESTS,
    claim::{ClaimKey, Holder, MAX_RECORDED_BODY_BYTES, SettledOutcome},
    claims::{MAX_CLAIMS, MIN_RETENTION_MS},
    command::{Command, MAX_SUBMIT_BYTES},
    departures::MAX_DEPARTURES,
    digest::ContentDigest,
    machine::Ledger,
    outcome::{ClaimOutcome, LedgerOutcome, ReleaseOutcome, SettleOutcome, SubmitOutcome},
};
