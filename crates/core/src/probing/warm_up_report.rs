//! Report on cold servers for operators.

use {
    super::{Balancer, warm_up::WarmUpChange},
    crate::ids::ServerId,
    std::time::{Duration, Instant},
};

/// A server that became cold or warm, at an entry that may send it calls meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub enum ColdServer {
    /// The server is cold.
    Cold {
        /// The server.
        server: ServerId,
        /// Time for which it stays cold.
        left: Duration,
        /// Calls per second that this entry may send it.
        rate: f64,
    },
    /// The server is warm.
    Warm {
        /// The server.
        server: ServerId,
        /// Calls that this entry sent it while it was cold.
        calls: u64,
    },
}

/// The cold servers of all services, and what changed since the last report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WarmUpReport {
    /// Number of cold servers.
    pub servers: usize,
    /// Calls per second that this entry may send to all of them together.
    pub rate: f64,
    /// Servers that became cold or warm.
    pub changes: Vec<ColdServer>,
}

impl Balancer {
    /// Returns the cold servers and those that became cold or warm since the last call.
    pub fn report_warm_up(&mut self, now: Instant) -> WarmUpReport {
        let mut report = WarmUpReport::default();
        for server in self.services.values_mut().flat_map(|state| state.servers.iter_mut()) {
            let Some(warm_up) = &mut server.warm_up else { continue };
            let id = server.view.id.clone();
            if warm_up.is_cold(now) {
                report.servers += 1;
                report.rate += warm_up.share();
            }
            match warm_up.take_change(now) {
                Some(WarmUpChange::Cold(left, rate)) => {
                    report.changes.push(ColdServer::Cold { server: id, left, rate })
                }
                Some(WarmUpChange::Warm(calls)) => report.changes.push(ColdServer::Warm { server: id, calls }),
                None => {}
            }
        }
        report
    }
}
