//! Departures that were applied a short time ago.

use {
    crate::ids::ServerId,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Time within which every entry that looks for a replica has asked this one, with a margin for replicas and
/// entries that were disturbed.
const MAX_DEPARTURE_AGE: Duration = Duration::from_secs(10);
/// Most departures that are kept, so that they fit a datagram.
const MAX_RECENT_DEPARTURES: usize = 16;

/// Departures that were applied a short time ago. An entry that looks for a replica is told of them by each one
/// that it asks, since none may be current until a leader is elected.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentDepartures(VecDeque<(Instant, ServerId, u64)>);

impl RecentDepartures {
    pub(super) fn add(&mut self, now: Instant, server: ServerId, incarnation: u64) {
        self.0.push_back((now, server, incarnation));
        if self.0.len() > MAX_RECENT_DEPARTURES {
            self.0.pop_front();
        }
    }

    pub(super) fn get(&self, now: Instant) -> Vec<(ServerId, u64)> {
        let recent_departures = self.0.iter().filter(|(at, ..)| now.saturating_duration_since(*at) < MAX_DEPARTURE_AGE);
        recent_departures.map(|(_, server, incarnation)| (server.clone(), *incarnation)).collect()
    }
}
