//! Tombstones of removed servers.

use {
    crate::{collections::FastMap, ids::ServerId},
    std::time::{Duration, Instant},
};

/// Lifetime of a tombstone. No message stays in a socket of a running process for longer.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of tombstones.
const MAX_TOMBSTONES: usize = 4_096;

/// Incarnation and sequence number of the last announcement of each removed server. Delayed copies of this or an
/// earlier announcement must not add the server again.
#[derive(Clone, Debug, Default)]
pub(super) struct Tombstones(FastMap<ServerId, ((u64, u64), Instant)>);

impl Tombstones {
    pub(super) fn add(&mut self, now: Instant, server: ServerId, order: (u64, u64)) {
        if self.0.len() >= MAX_TOMBSTONES {
            self.0.retain(|_, (_, added)| now.saturating_duration_since(*added) < TOMBSTONE_LIFETIME);
        }
        if self.0.len() >= MAX_TOMBSTONES {
            let oldest = self.0.iter().min_by_key(|(_, (_, added))| *added).map(|(server, _)| server.clone());
            if let Some(oldest) = oldest {
                self.0.remove(&oldest);
            }
        }
        self.0.insert(server, (order, now));
    }

    pub(super) fn covers(&self, server: &str, order: (u64, u64)) -> bool {
        self.0.get(server).is_some_and(|(tombstone, _)| order <= *tombstone)
    }

    pub(super) fn remove(&mut self, server: &str) {
        self.0.remove(server);
    }
}
