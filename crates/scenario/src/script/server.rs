//! Simulated server.

use {
    hemlockford_core::{
        dispatch::ServerState,
        ids::{Incarnation, ServerId, ServiceId},
        registry::Announcement,
    },
    std::net::SocketAddr,
};

/// Simulated server that announces itself every 800 ms.
#[derive(Clone, Debug)]
pub struct Server {
    /// Server ID.
    pub id: ServerId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Entry to which it announces itself.
    pub entry: usize,
    /// Announced state.
    pub state: ServerState,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Start time in milliseconds.
    pub started_at_ms: u64,
    /// Sequence number of the last announcement.
    pub sequence: u64,
    /// Time in milliseconds at which it left or stopped announcing itself.
    pub silent_since: Option<u64>,
    /// Whether it is announcing itself.
    pub is_announcing: bool,
}

impl Server {
    pub(super) fn announcement(&mut self, now: u64) -> Announcement {
        self.sequence += 1;
        Announcement {
            server: self.id.clone(),
            service: self.service.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
            data_centre: "dc1".into(),
            slots: 2,
            connections: 250,
            state: self.state,
            sequence: self.sequence,
            incarnation: self.incarnation,
            uptime_ms: now - self.started_at_ms,
            in_flight: 0,
        }
    }
}
