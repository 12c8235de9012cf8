//! Registry of the servers that announced themselves.
//!
//! Entries are the instances that accept calls and forward them to servers. A server announces itself to one entry,
//! which relays the announcement to the others in bounded datagrams. A lease starts when the announcement was sent;
//! its age is computed from the clock of the server and, for relayed announcements, from the clock of the relaying
//! entry. Entries compare digests of the rarely changing fields to repair losses.

mod action;
mod announcement;
mod digest;
mod event;
mod machine;
mod pack;
mod record;
mod registered_server;

pub use {
    action::RegistryAction,
    announcement::{Announcement, AnnouncementError},
    digest::Digest,
    event::RegistryEvent,
    machine::{Registry, RegistryOptions},
    pack::{MAX_RELAY_BYTES, pack},
    record::Record,
};

use std::time::Duration;

/// Interval between announcements of a server.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(800);

/// Lease of a server, counted from when its last announcement was sent. It covers three announcements, so that two may
/// be lost, and is shorter than the 3 s within which a server that leaves must stop receiving calls.
pub const SERVER_LEASE: Duration = Duration::from_millis(2_500);

/// Time for which a server that left or timed out is remembered, so that late messages about it are recognised.
pub const TOMBSTONE: Duration = Duration::from_secs(60);
