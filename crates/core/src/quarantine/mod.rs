//! Requests that crash the servers that run them.
//!
//! A request is suspected after a server ended while it ran it, and quarantined after three different servers did.
//! [`SuspectTable`] collects this evidence. Instances exchange [`SuspectRecord`]s, whose union is the same in whatever
//! order and however often they are merged.

mod crash;
mod fingerprint;
mod record;
mod standing;
mod suspect;
mod table;

use suspect::Suspect;

pub use {
    crash::{Crash, RunId, run_id},
    fingerprint::{RequestDigest, RequestFingerprint},
    record::SuspectRecord,
    standing::Standing,
    table::{MAX_RECORDS, SuspectTable},
};
