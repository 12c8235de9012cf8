//! Simulated servers, which announce themselves to one replica after another.

use {
    hemlockford_core::fleet::ServerRecord,
    std::{net::SocketAddr, time::Duration},
};

/// Interval between announcements.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Timeout of a call, after which the next replica is called.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A server.
#[derive(Clone, Debug)]
pub struct Server {
    pub record: ServerRecord,
    pub is_alive: bool,
    /// Replica to which it announces itself.
    pub replica: usize,
    /// Call that has not been answered yet.
    pub call: Option<u64>,
    /// Number of the next scheduled announcement; earlier ones are cancelled.
    pub announcement: u64,
    /// Last time at which a replica that is not isolated acknowledged an announcement.
    pub heard_at: Duration,
    /// Whether its departure was requested without draining.
    pub is_deregistered: bool,
    /// Time at which the departure was acknowledged.
    pub acknowledged_at: Option<Duration>,
    /// Replica that acknowledged it.
    pub acknowledged_by: Option<usize>,
}

impl Server {
    pub fn new(id: &str, service: &str, address: SocketAddr, data_centre: &str, incarnation: u64) -> Self {
        let record = ServerRecord {
            server: id.into(),
            service: service.into(),
            address,
            data_centre: data_centre.into(),
            slots: 2,
            version: "1".into(),
            incarnation,
            sequence: 0,
            warm_up: Duration::ZERO,
            is_draining: false,
        };
        Self {
            record,
            is_alive: true,
            replica: 0,
            call: None,
            announcement: 0,
            heard_at: Duration::ZERO,
            is_deregistered: false,
            acknowledged_at: None,
            acknowledged_by: None,
        }
    }
}
