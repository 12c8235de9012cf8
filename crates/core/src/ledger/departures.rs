//! Servers that have departed.

use {
    crate::ids::ServerId,
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Number of departures that are kept: one month at 130 restarts a day. By the time a departure is evicted, the
/// server has long been silent.
pub const MAX_DEPARTURES: usize = 4_096;

/// Last departed incarnation of each server, for the last [`MAX_DEPARTURES`] servers. Earlier incarnations of a
/// server count as departed too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Departures {
    recorded: u64,
    servers: BTreeMap<ServerId, Departure>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Departure {
    incarnation: u64,
    /// Number of departures that were recorded before this one.
    position: u64,
}

impl Departures {
    pub(super) fn record(&mut self, server: ServerId, incarnation: u64) -> u64 {
        if let Some(existing) = self.get(&server).filter(|existing| *existing >= incarnation) {
            return existing;
        }
        self.servers.insert(server, Departure { incarnation, position: self.recorded });
        self.recorded += 1;
        if self.servers.len() > MAX_DEPARTURES {
            let oldest = self.servers.iter().min_by_key(|(_, departure)| departure.position);
            if let Some(oldest) = oldest.map(|(server, _)| server.clone()) {
                self.servers.remove(&oldest);
            }
        }
        incarnation
    }

    pub(super) fn get(&self, server: &str) -> Option<u64> {
        self.servers.get(server).map(|departure| departure.incarnation)
    }

    /// The recorded departures, latest first.
    pub(super) fn latest(&self) -> Vec<(&ServerId, u64)> {
        let mut latest: Vec<_> = self.servers.iter().collect();
        latest.sort_unstable_by_key(|(_, departure)| Reverse(departure.position));
        latest.into_iter().map(|(server, departure)| (server, departure.incarnation)).collect()
    }
}
