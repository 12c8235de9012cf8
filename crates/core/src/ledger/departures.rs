//! Incarnations of servers that take no new work.

use {
    crate::ids::ServerId,
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Departures that are kept; at 130 restarts a day those of a month. A server is silent long before its
/// departure is forgotten.
pub const MAX_DEPARTURES: usize = 4_096;

/// Last departed incarnation of each server, for the last [`MAX_DEPARTURES`] servers. Earlier incarnations of
/// a server count as departed too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Departures {
    recorded: u64,
    servers: BTreeMap<ServerId, Departure>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Departure {
    incarnation: u64,
    /// Departures recorded before this one.
    position: u64,
}

impl Departures {
    pub(super) fn add(&mut self, server: ServerId, incarnation: u64) -> u64 {
        if let Some(held) = self.get(&server).filter(|held| *held >= incarnation) {
            return held;
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

    /// The departures, the latest first.
    pub(super) fn latest(&self) -> Vec<(&ServerId, u64)> {
        let mut latest: Vec<_> = self.servers.iter().collect();
        latest.sort_unstable_by_key(|(_, departure)| Reverse(departure.position));
        latest.into_iter().map(|(server, departure)| (server, departure.incarnation)).collect()
    }
}
