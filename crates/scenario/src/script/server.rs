//! A server that announces itself.

use {
    hemlockford_core::{
        dispatch::ServerState,
        ids::{Incarnation, ServerId, ServiceId},
        registry::Announcement,
    },
    std::net::SocketAddr,
};

/// A server that announces itself each 800 ms.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its name.
    pub id: ServerId,
    /// Its service.
    pub service: ServiceId,
    /// Entry that it announces itself to.
    pub entry: usize,
    /// State that it announces.
    pub state: ServerState,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Time of its start, in milliseconds.
    pub started_at_ms: u64,
    /// Number of its last announcement.
    pub sequence: u64,
    /// Time at which it last said that it is ready, or fell silent.
    pub silent_since: Option<u64>,
    /// Whether it announces itself.
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
