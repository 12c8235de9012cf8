//! Servers that announced themselves.

mod announcement;

pub use announcement::Announcement;

use std::time::Duration;

/// Time between two announcements of a server.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(800);

/// Time for which one announcement entitles a server to new calls, counted from when it was sent. Three
/// announcements fit, so that two may be lost; it ends before the 3 s within which a server that leaves
/// must get no new work.
pub const SERVER_LEASE: Duration = Duration::from_millis(2_500);
