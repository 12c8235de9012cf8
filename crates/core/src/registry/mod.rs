//! Servers that announced themselves.
//!
//! A server announces itself to one entry, which relays the announcement to the others in bounded
//! datagrams. A lease is counted from when the announcement was sent: its age is judged by the clock of the
//! server and, for relays, by the clock of the relaying entry. Digests of what rarely changes repair losses.

mod action;
mod announcement;
mod digest;
mod event;
mod held;
mod machine;
mod pack;
mod record;

pub use {
    action::RegistryAction,
    announcement::{Announcement, AnnouncementFault},
    digest::Digest,
    event::RegistryEvent,
    machine::{Registry, RegistryOptions},
    pack::{MAX_RELAY_BYTES, pack},
    record::Record,
};

use std::time::Duration;

/// Time between two announcements of a server.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(800);

/// Time for which one announcement entitles a server to new calls, counted from when it was sent. Three
/// announcements fit, so that two may be lost; it ends before the 3 s within which a server that leaves
/// must get no new work.
pub const SERVER_LEASE: Duration = Duration::from_millis(2_500);

/// Time for which a server that left or fell silent is remembered, so that a late message of it is
/// recognised.
pub const TOMBSTONE: Duration = Duration::from_secs(60);
