//! Recently applied departures.

use {
    crate::ids::ServerId,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Time for which a departure is reported. Within it every entry that searches for a replica polls this one, with a
/// margin for replicas and entries affected by faults.
const MAX_DEPARTURE_AGE: Duration = Duration::from_secs(10);
/// Maximum number of departures, so that they fit in a datagram.
const MAX_RECENT_DEPARTURES: usize = 16;

/// Recently applied departures. Every replica reports them to entries that search for a current replica, because none
/// may be current until a leader is elected.
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
